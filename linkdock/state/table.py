"""The server table: discovery's list as told so far, and the waits that destinations have asked for."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from math import inf

from ..facade import Server
from .roster import Roster

# Danger: a destination whose last server has just gone, before its next one is told: its messages must wait for that
# one, and a client must not hear that nobody knows it.
KNOWN_FOR, MOST_KNOWN = 60.0, 4096  # seconds, and destinations
MOST_WAITS = 1024  # kept before those that are over are looked for


class ServerTable:
    """Owner of the rows and the waits. `clock` says the time for what is forgotten."""

    def __init__(self, apart: Iterable[bool], clock: Callable[[], float] = lambda: 0.0) -> None:
        """`apart`: for each kind whether a wait binds one server alone; `clock` gives seconds."""
        self._apart, self._clock = list(apart), clock  # by kind: whether a wait binds one server or its destination
        self.roster, self._before = Roster(), Roster()
        self.version = 0
        self.told = False  # whether any list or change has come
        self._waits: dict[tuple, float] = {}
        self._most_waits = MOST_WAITS
        self._emptied: dict[int, float] = {}  # destinations without a row: until when they are known
        self._before_until = -inf
        self.out: Container[str] = ()  # by hand, where there are operators
        self.heard: Callable[[tuple, float], None] | None = None  # told of each wait, where another process is too

    def update(self, servers: Iterable[Server], version: int) -> None:
        """Take in changes."""
        self.told = True
        for server in servers:
            destination = self._destination(server) if server.health == "gone" else None
            self.roster.put(server)
            if destination is not None and not self.roster.knows(destination):
                self._emptied.pop(destination, None)
                while len(self._emptied) >= MOST_KNOWN:
                    del self._emptied[next(iter(self._emptied))]
                self._emptied[destination] = self._clock() + KNOWN_FOR
        self.version = version

    def _destination(self, server: Server) -> int | None:
        known = self.roster.row(server.name)
        return None if known is None else known.destination

    def replace(self, roster: Roster, version: int) -> Roster:
        """Take in a whole list, whose roster is this table's from now on; the one before is returned."""
        self._before, self.roster, self.version, self.told = self.roster, roster, version, True
        self._before_until = self._clock() + KNOWN_FOR
        return self._before

    def forget(self) -> None:
        """Let go of what has been known for long enough. Its owner calls it now and then."""
        now = self._clock()
        if len(self._before) and now >= self._before_until:
            self._before = Roster()
        while self._emptied and next(iter(self._emptied.values())) <= now:
            del self._emptied[next(iter(self._emptied))]

    def row(self, name: str) -> Server | None:
        """The row of the list with this name, or None."""
        return self.roster.row(name)

    def shown(self, servers: Iterable[Server]) -> Iterable[Server]:
        """Rows as the decisions are to see them: what is out by hand drains, whatever is listed."""
        if not self.out:
            return servers
        return (s._replace(health="draining") if s.health == "ready" and s.name in self.out else s for s in servers)

    def knows(self, destination: int) -> bool:
        """Whether a destination is listed, or was until just now."""
        return self.roster.knows(destination) or self._before.knows(destination) or destination in self._emptied

    def _route(self, row: Server) -> tuple:
        apart = row.kind < len(self._apart) and self._apart[row.kind]
        return (row.destination, row.name) if apart else (row.destination,)

    def told_wait(self, row: Server, until: float) -> tuple:
        """A server's answer asked for quiet until then; what that binds."""
        route = self._route(row)
        self.wait(route, until)
        return route

    def wait(self, route: tuple, until: float) -> None:
        """Bind a route until then, unless it is bound for longer already."""
        if until <= self._waits.get(route, -inf):
            return
        self._waits[route] = until
        if self.heard is not None:
            self.heard(route, until)
        if len(self._waits) > self._most_waits:
            now = self._clock()
            self._waits = {r: u for r, u in self._waits.items() if u > now}
            self._most_waits = max(MOST_WAITS, 2 * len(self._waits))

    def in_force(self, now: float) -> list[tuple[tuple, float]]:
        """The waits that are not over: what each binds, and until when."""
        return [(route, until) for route, until in self._waits.items() if until > now]

    def waits(self, name: str, now: float) -> float:
        """For how many seconds from now nothing may be sent to this server because of a wait."""
        row = self.roster.row(name)
        return 0.0 if row is None else max(0.0, self._waits.get(self._route(row), -inf) - now)

    def closed(self, name: str, now: float, destination: int | None = None) -> str | None:
        """Why nothing for this destination, or for any, may be sent to this server just now, or None."""
        row = self.roster.row(name)
        if row is None:
            return "is gone"
        if destination is not None and row.destination != destination:
            return f"serves {row.destination} now"  # Danger: it was chosen for another, whose messages are not its own
        if row.health != "ready":
            return f"is {row.health}"
        if name in self.out:
            return "is out by hand"
        if self._waits.get(self._route(row), -inf) > now:
            return "asked to wait"
        return None
