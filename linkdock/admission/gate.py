"""Whether a connection that arrives is let in, and who may make room for it. No I/O; one clock, that never runs back.

Refusing must cost little: the flood decides how often it is done. So what is looked at first is cheapest, and where a
search for room has found none, others that arrive in the same moment are refused without one.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from typing import Protocol

from .conduct import BAD, KNOWN, Conduct, key_of
from .settings import AdmissionSettings

MOST_RATES = 4096  # addresses whose rate is kept; the one that came the longest ago goes first
BAD_PART = 0.05  # of the rate, for an address that is bad
NO_ROOM = 0.05  # seconds for which a search that found no room holds
MOST_SPREAD = 2.0  # seconds that a return may be put off to spread it
MOST_LAST = 32  # refusals that operators can read


class Connection(Protocol):
    """A client's connection, as far as the gate knows it."""

    address: str


class Gcra:
    """The generic cell rate algorithm: so many a second, and so many at once."""

    __slots__ = ("_due",)

    def __init__(self) -> None:
        """Full: a whole burst may go at once."""
        self._due = 0.0  # when the next one is due if they came evenly

    def pass_(self, now: float, rate: float, burst: float) -> bool:
        """Whether one more may go now, of `rate` a second and `burst` at once; it counts if so."""
        due = max(self._due, now)
        if due - now > (burst - 1) / rate:
            return False
        self._due = due + 1 / rate
        return True


class Gate:
    """Owner of rates and counts by address. `enter` and `leave` go together."""

    def __init__(self, settings: AdmissionSettings, most: int, overloaded: Callable[[], bool]) -> None:
        """`most` connections in all; `overloaded`: whether messages would be denied anyway."""
        self._settings, self._overloaded = settings, overloaded
        self.hold_at_most(most)
        self.conduct = Conduct(settings.most_known, settings.known_after, settings.memory_s)
        self._rates: OrderedDict[str, Gcra] = OrderedDict()
        self._all = Gcra()
        self.live: Counter[str] = Counter()
        self._strangers = 0
        self._stranger: dict[object, bool] = {}  # of those let in: whether it was one then
        self._no_room_until = self._return_at = 0.0
        self.refused: Counter[str] = Counter()
        self.last: OrderedDict[str, tuple[float, str]] = OrderedDict()  # addresses refused last: when and why

    def hold_at_most(self, most: int) -> None:
        """There may be so many connections from now on."""
        self._open_to_all = most - int(self._settings.reserve * most)

    def arrives(self, now: float, address: str) -> str | None:
        """Why it is not let in, or None."""
        key = key_of(address)
        standing = self.conduct.standing(now, key)
        why = None if standing == KNOWN else self._refuse_stranger(now, key, standing)
        if why is not None:
            self._note(now, key, why)
        return why

    def _refuse_stranger(self, now: float, key: str, standing: str) -> str | None:
        told = self._settings
        if now < self._no_room_until:
            return "no room"
        if told.each and self.live[key] >= told.each:
            return "cap of its address"
        part = BAD_PART if standing == BAD else 1.0
        if not self._rate(key).pass_(now, told.rate * part, max(1.0, told.burst * part)):
            return "rate of its address"
        if not self._all.pass_(now, told.strangers, told.strangers_burst):
            return "rate of strangers"
        return "overload" if self._overloaded() else None

    def _rate(self, key: str) -> Gcra:
        known = self._rates.get(key)
        if known is None:
            known = self._rates[key] = Gcra()
            if len(self._rates) > MOST_RATES:
                self._rates.popitem(last=False)
        else:
            self._rates.move_to_end(key)
        return known

    def _note(self, now: float, key: str, why: str) -> None:
        self.refused[why] += 1
        self.last[key] = now, why
        self.last.move_to_end(key)
        if len(self.last) > MOST_LAST:
            self.last.popitem(last=False)

    def crowded(self, now: float, address: str) -> bool:
        """Whether strangers have all that is not kept for known clients, and this would be one more."""
        return self._strangers >= self._open_to_all and self.conduct.standing(now, key_of(address)) != KNOWN

    def no_room(self, now: float, address: str) -> None:
        """All connections are in use, or all that strangers may have, and none could be closed for this one."""
        self._no_room_until = now + NO_ROOM
        self._note(now, key_of(address), "no room")

    def may_make_room(self, now: float, connections: Iterable[Connection], address: str) -> list[Connection]:
        """Of those who might make room, least missed first, who does so for this address.

        Strangers before known ones, and of strangers those of the address with the most connections first. Danger: a
        flood that pushes out known clients' idle connections. Only another known client may.
        """
        known = self.conduct.standing(now, key_of(address)) == KNOWN
        strangers, others = [], []
        for connection in connections:
            (others if self._is_known(now, connection) else strangers).append(connection)
        strangers.sort(key=lambda p: -self.live[key_of(p.address)])  # stable: else as the table has it
        return strangers + others if known else strangers

    def _is_known(self, now: float, connection: Connection) -> bool:
        return self.conduct.standing(now, key_of(connection.address)) == KNOWN

    def spread(self, now: float, wait: float) -> float:
        """When one that is turned away for want of room is told to come back, seconds.

        Danger: all that hear the same time come back at the same time. They are dealt out at the rate that strangers
        have, and nobody is told more than MOST_SPREAD beyond what the decisions say.
        """
        self._return_at = min(max(now + wait, self._return_at + 1 / self._settings.strangers), now + wait + MOST_SPREAD)
        return self._return_at - now

    def enter(self, now: float, connection: Connection) -> None:
        """Count a connection that has been accepted against its address."""
        key = key_of(connection.address)
        self.live[key] += 1
        stranger = self._stranger[connection] = self.conduct.standing(now, key) != KNOWN
        self._strangers += stranger

    def took(self, now: float, connection: Connection) -> None:
        """A message that came on it was taken on; from then on it is no stranger's."""
        self.conduct.good(now, key_of(connection.address))
        if self._stranger.get(connection) and self._is_known(now, connection):
            self._stranger[connection] = False
            self._strangers -= 1

    def leave(self, now: float, connection: Connection, useless: float) -> None:
        """It is closed; how useless it was, 0 if it was of use."""
        key = key_of(connection.address)
        self.live[key] -= 1
        if self.live[key] <= 0:
            del self.live[key]
        self._strangers -= self._stranger.pop(connection)
        if useless > 0:
            self.conduct.bad(now, key, useless)

    @property
    def strangers(self) -> int:
        """Connections of addresses that are not known."""
        return self._strangers
