"""What is held: connections that lie idle, are used or opened, the calls that wait, and the room for more. No I/O.

Events come in by the `ConnectionManager`, which is built on this; here each connection is counted once and given up in
one place.
"""

from __future__ import annotations

from math import inf

from . import FRESH
from .choice import Choice, ConnectionsSettings
from .demand import Demand
from .orders import Action, Close, Endpoint, Open, Ticket, Use

MOST = 4096  # servers whose demand is known
PATIENCE = 0.5  # times the usual call time that a call waits for a free connection while calls are slow
FRESH_FOR = 0.05  # seconds in which one that was never used counts as new


class EndpointTable:
    """The connections of all servers. `most` bounds them, those being opened among them."""

    def __init__(
        self,
        settings: ConnectionsSettings,
        choice: Choice,
        most: int,
        idle_for: float,
        cold_share: float,
        cold_time: float,
    ) -> None:
        """`most` connections at once; `idle_for` and `cold_time` in seconds, `cold_share` a part of a server's work."""
        self.settings, self.choice, self.most = settings, choice, most
        self._idle_for = min(idle_for, settings.idle_life or inf)
        self._cold_share, self._cold_time = cold_share, cold_time
        self.endpoints: dict[str, Endpoint] = {}
        self.short: dict[str, None] = {}  # servers whose calls found no room at all, the first first
        self.count = self._waiting = 0
        self.peak = 0

    def __len__(self) -> int:
        """Connections that are up or being opened."""
        return self.count

    # --- What each server may have.

    def target(self, now: float, server: str, endpoint: Endpoint) -> int:
        """Connections that it should have now: less while it is cold, none without traffic."""
        life = min(self._idle_for, self.choice.life(server, endpoint.kind) or inf)
        target = endpoint.demand.target(now, life, self.settings.used)
        warmth = self.warmth(now, endpoint)
        return target if warmth >= 1 else int(target * warmth)

    def warmth(self, now: float, endpoint: Endpoint) -> float:
        """The share of its work that a server can do that has come back, rising from the cold share to 1."""
        if self._cold_time <= 0 or now - endpoint.cold_since >= self._cold_time:
            return 1.0
        return self._cold_share + (1 - self._cold_share) * (now - endpoint.cold_since) / self._cold_time

    def usable(self, now: float, endpoint: Endpoint) -> int:
        """Idle connections that may still be used for what may be repeated."""
        return sum(self._may_use(now, c, False) for c in endpoint.idle)

    def _handshakes(self, now: float, endpoint: Endpoint) -> int:
        """Handshakes with one server at once: they are work there. Fewer while it is cold."""
        return max(1, int(self.settings.handshakes * self.warmth(now, endpoint)))

    def ceiling(self, endpoint: Endpoint) -> float:
        """Connections that a server may have: the setting's cap, or the one it was found to have."""
        return min(self.settings.cap, endpoint.cap)

    # --- Servers.

    def _endpoint(self, now: float, ticket: Ticket) -> Endpoint:
        known = self.endpoints.get(ticket.server)
        if known is None:
            if len(self.endpoints) >= MOST:
                for server, endpoint in self.endpoints.items():
                    if not endpoint.held and not endpoint.waiting:
                        del self.endpoints[server]
                        break
            known = self.endpoints[ticket.server] = Endpoint(ticket.kind, ticket.peer, Demand(now))
        return known

    def _moved(self, server: str, endpoint: Endpoint, peer: tuple, done: list[Action]) -> None:
        """Danger: an id that moves to another address. What was learned and kept belongs to the old one."""
        if endpoint.peer == peer:
            return
        while endpoint.idle:
            self._close(endpoint, endpoint.idle[-1], "moved", done)
        self.choice.forget(server)
        endpoint.peer, endpoint.cap, endpoint.hold, endpoint.unreachable = peer, inf, 0.0, False

    # --- Connections.

    def _may_use(self, now: float, connection: object, careful: bool) -> bool:
        age = now - connection.idle_since
        if connection.uses == 0 and age < FRESH_FOR:
            return True
        return self.choice.may_use(connection.server, connection.kind, age, careful, connection.uses)

    def _lay(self, now: float, endpoint: Endpoint, connection: object) -> None:
        connection.idle_since = now
        endpoint.idle.append(connection)

    def _serve(self, now: float, endpoint: Endpoint, done: list[Action]) -> None:
        """Waiting calls get what is idle; for the rest connections are opened as far as that is allowed."""
        passed: list[Ticket] = []
        while endpoint.waiting and endpoint.idle:
            ticket = endpoint.waiting.popleft()
            connection = endpoint.idle[-1]
            if not self._may_use(now, connection, ticket.careful):
                passed.append(ticket)
                if not ticket.careful:
                    while endpoint.idle:  # the others are older still
                        self._close(endpoint, endpoint.idle[-1], "too likely dead", done)
                continue
            endpoint.idle.pop()
            self._waiting -= 1
            endpoint.busy += 1
            fresh = connection.uses == 0 and now - connection.idle_since < FRESH_FOR
            connection.age = FRESH if fresh else now - connection.idle_since
            endpoint.counts["reused" if connection.uses else "used first"] += 1
            done.append(Use(ticket, connection))
        endpoint.waiting.extendleft(reversed(passed))
        if not endpoint.waiting:
            return
        wanted = len(endpoint.waiting)
        if endpoint.up and endpoint.demand.slow(now):
            # Danger: every call slows at once. What comes free serves the calls as well as one more connection to a
            # server that is late already; only those that have waited for long enough have one opened.
            patience = PATIENCE * endpoint.demand.usual
            wanted = sum(now - ticket.since >= patience for ticket in endpoint.waiting)
        wanted = min(wanted - len(endpoint.resting), self._handshakes(now, endpoint)) - endpoint.opening
        while wanted > 0 and self._room(now, endpoint, done):
            self._open(endpoint.waiting[0].server, endpoint, done)
            wanted -= 1

    def _room(self, now: float, endpoint: Endpoint, done: list[Action]) -> bool:
        """Make room for one more connection to that server; its own idle ones, which no call may use, go first."""
        if endpoint.held >= self.ceiling(endpoint) or self.count >= self.most:
            if endpoint.idle:
                self._close(endpoint, endpoint.idle[0], "room for others", done)
            elif endpoint.held >= self.ceiling(endpoint):
                return False
            elif not self._make_room(now, done):
                self.short[endpoint.waiting[0].server] = None
                return False
        return True

    def _make_room(self, now: float, done: list[Action]) -> bool:
        """Descriptors are short: the server with the most beyond its target gives up its longest idle."""
        idle = [
            (e.up - self.target(now, server, e), -e.idle[0].idle_since, server)
            for server, e in self.endpoints.items()
            if e.idle
        ]
        if not idle:
            return False
        best = self.endpoints[max(idle)[2]]
        self._close(best, best.idle[0], "room for others", done)
        return True

    def _open(self, server: str, endpoint: Endpoint, done: list[Action]) -> None:
        endpoint.opening += 1
        self.count += 1
        self.peak = max(self.peak, self.count)
        done.append(Open(server, endpoint.kind, endpoint.peer))

    def _close(self, endpoint: Endpoint, connection: object, why: str, done: list[Action]) -> None:
        endpoint.idle.remove(connection)
        self._gone(endpoint, why)
        done.append(Close(connection))

    def _gone(self, endpoint: Endpoint, why: str) -> None:
        """The one place where a connection stops being counted."""
        endpoint.counts[why] += 1
        self.count -= 1

    def _drop(self, endpoint: Endpoint, ticket: Ticket) -> None:
        endpoint.waiting.remove(ticket)
        self._waiting -= 1
