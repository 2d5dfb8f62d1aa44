"""One budget of descriptors for the process: who may have how many now. No I/O; what is held is told to it.

Two parts grow with traffic, clients and backend servers. Each has a floor that the other cannot take, and borrows what
the other does not use. Everything else that the process holds (discovery, notices, files, the loop's own) is measured
as the rest, and so a leak shows itself: as descriptors that nobody accounts for.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

REST = 16  # descriptors that the rest may need at least
RESERVE = 4  # kept free: for a file that is read, a socket that is made anew
FLOOR = 1 / 3  # of what is left, for each of the two
LEAK = 16  # descriptors beyond the rest's usual from which somebody does not give his back
SETTLE = 30.0  # seconds after the start in which the rest's usual is learned


class Held(NamedTuple):
    """What is held now, and what there may be."""

    clients: int
    servers: int
    measured: int  # by the whole process
    limit: int  # of the system for this process, or of its configuration if that is less


class Parts(NamedTuple):
    """What the two may hold at most. Below what one holds, it is to give back."""

    clients: int
    servers: int


@dataclass
class Budget:
    """`most_clients` bounds clients also where descriptors abound, for the sake of memory."""

    most_clients: int
    usual_rest: int = 0
    since: float | None = None
    leaked: int = 0  # held by nobody that is known

    def share(self, now: float, held: Held) -> Parts:
        """Called now and then, and when the system has had none."""
        rest = max(0, held.measured - held.clients - held.servers)
        self._look(now, rest)
        left = max(2, held.limit - max(rest, REST) - RESERVE)
        floor = max(1, int(FLOOR * left))
        clients = min(self.most_clients, left - max(floor, min(held.servers, left - floor)))
        return Parts(clients, left - max(floor, min(held.clients, left - floor)))

    def _look(self, now: float, rest: int) -> None:
        self.since = now if self.since is None else self.since
        if now - self.since <= SETTLE:
            self.usual_rest = max(self.usual_rest, rest)
        beyond = rest - self.usual_rest
        self.leaked = beyond if beyond >= LEAK else 0
