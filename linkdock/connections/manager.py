"""Which connection a call gets, when one is opened, and when one is closed. No I/O, no clock: events in, actions out.

A call asks, and is given an idle connection or waits: for one that is given back or for one that is being opened,
whichever comes first. So a handshake that is not needed any more leaves a connection ready for the next call, and a
surge begins no more handshakes at once than the settings allow; the rest of its calls go over what comes free.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from . import FRESH
from .ahead import Ahead
from .choice import Choice, ConnectionsSettings
from .demand import HOLD
from .endpoint_table import EndpointTable
from .orders import CAP_HOLD, REFUSALS, ROUND, Action, Close, Endpoint, Fail, Open, Ticket, Use

__all__ = [
    "CAP_HOLD",
    "HOLD",
    "REFUSALS",
    "ROUND",
    "Action",
    "Close",
    "ConnectionManager",
    "Fail",
    "Open",
    "Ticket",
    "Use",
]

FORGET = 60.0  # seconds without calls and connections after which nothing is kept of a server's demand
MOST_WAITING = 4096  # calls that wait at once
SLICE = 256  # servers that one round looks at


class ConnectionManager(EndpointTable):
    """The state machine of all that happens to connections; it carries nothing out.

    Seconds: `idle_for` as the server's idle-close allows, `connect_timeout` until a call without a connection fails,
    `cold_time` in which a server that has come back rises from `cold_share` of its work to all of it.
    """

    def __init__(
        self,
        settings: ConnectionsSettings,
        choice: Choice,
        most: int,
        idle_for: float,
        connect_timeout: float,
        cold_share: float = 1.0,
        cold_time: float = 0.0,
    ) -> None:
        """`most` connections at once; the other figures are as in the class's own description."""
        super().__init__(settings, choice, most, idle_for, cold_share, cold_time)
        self._patience, self._ahead = connect_timeout, Ahead(self)
        self._next = 0  # where the next round goes on

    # --- What calls say.

    def ask(self, now: float, ticket: Ticket) -> list[Action]:
        """A call wants a connection. Its answer comes now or later, once: Use or Fail."""
        endpoint = self._endpoint(now, ticket)
        endpoint.demand.asked(now)
        endpoint.asked_at = ticket.since = now
        ticket.until = now + self._patience
        if self._waiting >= MOST_WAITING:
            return [Fail(ticket, True)]
        done: list[Action] = []
        self._moved(ticket.server, endpoint, ticket.peer, done)
        endpoint.waiting.append(ticket)
        self._waiting += 1
        self._serve(now, endpoint, done)
        return done

    def again(self, now: float, ticket: Ticket, dead: object) -> list[Action]:
        """The connection that it was given had ended before a byte went out. It goes before others."""
        endpoint = self.endpoints[ticket.server]
        endpoint.counts["found dead"] += 1
        done = self.ended(now, dead)
        endpoint.waiting.appendleft(ticket)
        self._waiting += 1
        self._serve(now, endpoint, done)
        return done

    def give_up(self, now: float, ticket: Ticket) -> None:
        """Its call is over; what is being opened for it goes to another or lies idle."""
        endpoint = self.endpoints.get(ticket.server)
        if endpoint is not None and ticket in endpoint.waiting:
            self._drop(endpoint, ticket)

    def answered(self, now: float, connection: object, seconds: float) -> None:
        """The first byte of an answer came, so long after the request."""
        self._learn(now, connection, True)
        self.endpoints[connection.server].demand.took(now, seconds)

    def reset(self, now: float, connection: object) -> None:
        """It broke before anything came on it."""
        self._learn(now, connection, False)
        self.endpoints[connection.server].counts["reset at first byte"] += connection.age >= 0

    def _learn(self, now: float, connection: object, alive: bool) -> None:
        self.choice.used(now, connection.server, connection.kind, connection.age, alive, connection.uses)

    def unused(self, now: float, connection: object) -> list[Action]:
        """Its call was over before it began: it lies idle as before."""
        endpoint, done = self.endpoints[connection.server], []
        endpoint.busy -= 1
        if connection.peer != endpoint.peer:
            self._gone(endpoint, "moved")
            return [Close(connection)]
        self._lay(connection.idle_since, endpoint, connection)
        self._serve(now, endpoint, done)
        return done

    def serves(self, server: str) -> bool:
        """Whether a connection to it is up, so that a call which got none was only not served."""
        endpoint = self.endpoints.get(server)
        return endpoint is not None and endpoint.up > 0

    # --- What connections do.

    def ready(self, now: float, connection: object, seconds: float) -> list[Action]:
        """One that was being opened is up."""
        endpoint = self.endpoints[connection.server]
        endpoint.opening -= 1
        endpoint.counts["opened"] += 1
        endpoint.refusals = 0
        endpoint.handshake += (seconds - endpoint.handshake) / min(endpoint.counts["opened"], 20)
        if endpoint.unreachable:
            endpoint.unreachable, endpoint.cold_since = False, now
        connection.age, connection.uses = FRESH, 0
        done: list[Action] = []
        if connection.peer != endpoint.peer:
            self._gone(endpoint, "moved")
            return [Close(connection)]
        self._lay(now, endpoint, connection)
        self._serve(now, endpoint, done)
        return done

    def failed(self, now: float, server: str, peer: tuple) -> list[Action]:
        """One that was being opened could not be."""
        endpoint = self.endpoints[server]
        endpoint.opening -= 1
        self._gone(endpoint, "failed")
        done: list[Action] = []
        if peer != endpoint.peer:
            self._serve(now, endpoint, done)
            return done
        if endpoint.up:
            endpoint.refused(now)  # it serves, and may take no more: its calls go over what it has
            self._serve(now, endpoint, done)
        else:
            endpoint.unreachable = True
            if endpoint.waiting:
                ticket = endpoint.waiting[0]
                self._drop(endpoint, ticket)
                done.append(Fail(ticket, False))
            self._serve(now, endpoint, done)
        return done

    def rests(self, connection: object) -> None:
        """The call is over, and `give_back` or `ended` follows in a moment: nothing is opened in its stead."""
        self.endpoints[connection.server].resting.add(connection)

    def no_descriptor(self, now: float, server: str) -> list[Action]:
        """One was to be opened and this process has no descriptor for it: an idle one anywhere makes room.

        Danger: this says nothing of the server, and a call that failed at once would go through its attempts in no
        time. It waits, and nothing is taken for a cap.
        """
        endpoint, done = self.endpoints[server], []
        endpoint.opening -= 1
        self._gone(endpoint, "no descriptor")
        self._make_room(now, done)
        self.short[server] = None  # the next round tries again
        return done

    def give_back(self, now: float, connection: object) -> list[Action]:
        """The call is over and the connection can carry another."""
        endpoint, done = self.endpoints[connection.server], []
        endpoint.busy -= 1
        endpoint.resting.discard(connection)
        connection.uses += 1
        if connection.peer != endpoint.peer:
            self._gone(endpoint, "moved")
            return [Close(connection)]
        other = self._ahead.deserving(now, connection.server, endpoint)
        if other is not None:
            self._gone(endpoint, "room for others")
            done.append(Close(connection))
            del self.short[other]
            self._serve(now, self.endpoints[other], done)
            return done
        self._lay(now, endpoint, connection)
        self._serve(now, endpoint, done)
        return done

    def told_full(self, now: float, connection: object, seconds: float) -> None:
        """The server said at once that it takes no more: what it has now is what it takes."""
        endpoint = self.endpoints[connection.server]
        if seconds < endpoint.demand.usual / 2:
            endpoint.refused(now)

    def ended(self, now: float, connection: object) -> list[Action]:
        """One in use is closed, or an idle one was closed by its server."""
        endpoint, done = self.endpoints[connection.server], []
        if connection in endpoint.idle:
            endpoint.idle.remove(connection)
            self._gone(endpoint, "closed by the server")
        else:
            endpoint.busy -= 1
            endpoint.resting.discard(connection)
            self._gone(endpoint, "ended in use")
        self._serve(now, endpoint, done)
        return done

    def hold_at_most(self, now: float, most: int) -> list[Action]:
        """There may be so many from now on; idle ones beyond it are closed."""
        self.most, done = most, []
        while self.count > most and self._make_room(now, done):
            pass
        return done

    def retire(self, server: str, why: str = "retired by an outcome") -> list[Action]:
        """Idle connections to that server are closed."""
        endpoint, done = self.endpoints.get(server), []
        if endpoint is not None:
            while endpoint.idle:
                self._close(endpoint, endpoint.idle[-1], why, done)
        return done

    # --- What time does.

    def round(self, now: float, blocked: Callable[[str], str | None]) -> list[Action]:
        """To be called each ROUND. `blocked` says why nothing may be sent to a server just now."""
        done: list[Action] = []
        names = list(self.endpoints)
        self._next = self._next if self._next < len(names) else 0
        names, self._next = names[self._next : self._next + SLICE], self._next + SLICE
        for server in names:
            self._look(now, server, self.endpoints[server], done)
        self._serve_short(now, done)
        if self.settings.ahead > 0:
            self._open_ahead(now, names, blocked, done)
        return done

    def _look(self, now: float, server: str, endpoint: Endpoint, done: list[Action]) -> None:
        while endpoint.waiting and endpoint.waiting[0].until <= now:
            ticket = endpoint.waiting[0]
            self._drop(endpoint, ticket)
            done.append(Fail(ticket, endpoint.up > 0 or server in self.short))
        while endpoint.idle and now - endpoint.idle[0].idle_since >= self._idle_for:
            self._close(endpoint, endpoint.idle[0], "too old", done)
        endpoint.try_cap(now)
        if endpoint.waiting:
            self._serve(now, endpoint, done)
        elif not endpoint.held and now - endpoint.asked_at >= FORGET:
            del self.endpoints[server]

    def _open_ahead(
        self, now: float, names: Iterable[str], blocked: Callable[[str], str | None], done: list[Action]
    ) -> None:
        """Connections before they are needed, at a bounded rate."""
        most = self._ahead.most()
        for server, lack in self._ahead.lacks(now, names, blocked).items():
            endpoint = self.endpoints[server]
            while (
                lack > 0
                and endpoint.tokens >= 1
                and self.count < most
                and (endpoint.opening < self._handshakes(now, endpoint))
            ):
                endpoint.tokens, lack = endpoint.tokens - 1, lack - 1
                endpoint.counts["ahead"] += 1
                self._open(server, endpoint, done)

    def _serve_short(self, now: float, done: list[Action]) -> None:
        for server in list(self.short):
            endpoint = self.endpoints.get(server)
            if self.count >= self.most and not any(e.idle for e in self.endpoints.values()):
                return
            del self.short[server]
            if endpoint is not None:
                self._serve(now, endpoint, done)
