"""What the `ConnectionManager` is asked and what it orders, and what is known of one server. No I/O, no clock.

A connection is any object with `server`, `kind`, `peer`, `age`, `idle_since` and `uses`; its owner reads and writes
none of the last three. A ticket is one call's wish for a connection.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from .demand import Demand

ROUND = 0.1  # seconds between rounds
REFUSALS = 3  # in a row that are taken for a cap: one may be chance
CAP_HOLD = 0.5  # seconds in which a cap that has shown itself is not tried; twice that each further time
CAP_HOLD_MOST = 8.0


class Use(NamedTuple):
    """The ticket's call goes over this connection."""

    ticket: Ticket
    connection: object


class Open(NamedTuple):
    """Begin to open a connection; say `ready` or `failed` in the end."""

    server: str
    kind: int
    peer: tuple


class Close(NamedTuple):
    """The connection is not known here any more."""

    connection: object


class Fail(NamedTuple):
    """The ticket's call gets no connection: `full` if there is none to be had, else the server cannot be reached."""

    ticket: Ticket
    full: bool


Action = Use | Open | Close | Fail


@dataclass(slots=True, eq=False)
class Ticket:
    """One call's wish."""

    server: str
    kind: int
    peer: tuple
    careful: bool  # what it carries may not be repeated
    since: float = 0.0
    until: float = inf


@dataclass(slots=True, eq=False)
class Endpoint:
    """What is known of one server."""

    kind: int
    peer: tuple
    demand: Demand
    idle: list = field(default_factory=list)  # the longest idle first
    waiting: deque[Ticket] = field(default_factory=deque)
    busy: int = 0
    resting: set = field(default_factory=set)  # of those busy: answered, and free in a moment
    opening: int = 0
    cap: float = inf  # connections beyond which it refused
    capped_at: float = -inf
    hold: float = 0.0  # seconds for which the cap is not tried
    refusals: int = 0  # in a row
    unreachable: bool = False  # the last connect failed, and none is up
    away: bool = False  # seen gone, drained or stopped
    cold_since: float = -inf
    tokens: float = 0.0  # handshakes that may be begun ahead
    looked_at: float = 0.0
    asked_at: float = 0.0
    counts: Counter = field(default_factory=Counter)
    handshake: float = 0.0  # seconds, averaged

    @property
    def up(self) -> int:
        """Connections that are open."""
        return self.busy + len(self.idle)

    @property
    def held(self) -> int:
        """Connections that are open or being opened."""
        return self.up + self.opening

    def refused(self, now: float) -> None:
        """Danger: one connect that fails by chance. Only some in a row, or one at a cap that is tried, are a cap."""
        self.refusals += 1
        if self.refusals >= REFUSALS or self.cap < inf:
            self.cap, self.capped_at, self.refusals = max(1, self.up), now, 0
            self.hold = min(max(CAP_HOLD, 2 * self.hold), CAP_HOLD_MOST)

    def try_cap(self, now: float) -> None:
        """What it takes is tried by a quarter more; when far more is allowed than is used it shows no cap."""
        if self.cap < inf and now - self.capped_at >= self.hold:
            self.cap, self.capped_at = self.cap + max(1, self.cap // 4), now
            if self.cap > 2 * max(self.held, 4):
                self.cap, self.hold = inf, 0.0
