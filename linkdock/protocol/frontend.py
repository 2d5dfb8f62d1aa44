"""The RESP2 frontend: clients hand in messages with ENQUEUE, and each is answered once.

It knows RESP and the words of a command, nothing of decisions; another front would call the same sender.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from tornado.iostream import IOStream

from ..state.wheel import Wheel
from ..streams import ClosingStreams
from .client_session import BUFFER, MOST_REFUSING, READ_CHUNK, ClientSession, Sender, begin_read
from .connection_table import ConnectionEntry, ConnectionState, ConnectionTable
from .listening import Listener

if TYPE_CHECKING:
    from ..admission.gate import Gate
    from ..records.observer import Observer
    from ..state.serving_mode import ServingMode


class Frontend:
    """Owner of the listening socket and of every client's connection; `client_session` speaks with each.

    Bad clients may connect by hundreds. What all connections take of sockets and memory is bounded here, and the usual
    clients, which send one whole command and wait for its answer, come first.
    """

    def __init__(
        self,
        sender: Sender,
        sockets: list[socket.socket],
        wheel: Wheel,
        spawn: Callable,
        limit: int,
        usual: int,
        most_held_bytes: int,
        gate: Gate | None = None,
    ) -> None:
        """Accept on `sockets`: `limit` connections, and so many bytes of commands that all of them hold together.

        `usual` is the bound that the usual clients keep by themselves. `gate`: where `deploy/admission.json` is on.
        """
        self._sender, self._wheel, self._spawn, self._gate = sender, wheel, spawn, gate
        self._most_held_bytes = most_held_bytes
        self._table = ConnectionTable(limit, usual)
        self._sessions: dict[ConnectionEntry, ClientSession] = {}
        self._closing_streams = ClosingStreams(wheel.after, spawn)  # given back and not closed yet
        self._accepting = True
        self.ending = False  # nothing more is read
        self.refusing = asyncio.Semaphore(MOST_REFUSING)
        self._last_early = 0  # number of the last connection that may have waited for the start
        self.observer: Observer | None = None  # of the records, where they are on
        self.serving_mode: ServingMode | None = None  # whether clients are taken, where there are operators
        self.port = sockets[0].getsockname()[1]
        self._listener = Listener(sockets, wheel, self._accepted)

    def __len__(self) -> int:
        """Connections of clients."""
        return len(self._table) + len(self._closing_streams)

    def _accepted(self, sock: socket.socket, address: tuple) -> None:
        now, gate, host = self._wheel.now, self._gate, address[0]
        if gate is not None and gate.arrives(now, host) is not None:
            sock.close()
            return
        if not self._has_room(host):
            sock.close()  # all are in the middle of a request; its client has not been read, and comes again
            if gate is not None:
                gate.no_room(now, host)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(sock, max_buffer_size=BUFFER, read_chunk_size=READ_CHUNK, max_write_buffer_size=BUFFER)
        try:
            read = begin_read(stream)
        except OSError:
            return
        self._open(ClientSession(stream, read, self._table.add(now), self, self._sender, self._wheel), address)

    def _open(self, session: ClientSession, address: tuple) -> None:
        entry = session.entry
        entry.address = address[0]
        self._sessions[entry] = session
        if self._listener.catching_up:
            self._last_early = entry.number
        if self._gate is not None:
            self._gate.enter(self._wheel.now, entry)
        if self.observer is not None:
            self.observer.joined(entry.number, f"{address[0]}:{address[1]}", len(self._table))
        self._spawn(session.run())

    # --- Room.

    def hold_at_most(self, limit: int) -> None:
        """Bound the connections anew; the least missed are closed, none while it is answered."""
        self._table.limit = limit
        if self._gate is not None:
            self._gate.hold_at_most(limit)
        self._close_down_to(limit, "")

    def hold_bytes_at_most(self, most_held_bytes: int) -> None:
        """Bound anew what the commands of all connections take together."""
        self._most_held_bytes = most_held_bytes
        self._keep_within_memory()

    def _has_room(self, host: str) -> bool:
        """Whether one more connection, from `host`, finds room or room was made for it."""
        if self._gate is not None and self._gate.crowded(self._wheel.now, host) and not self._make_room(host):
            return False
        return self._close_down_to(self._table.limit - 1, host)

    def _close_down_to(self, limit: int, host: str) -> bool:
        """Whether no more than so many are open now; a few that were given back may not be closed yet."""
        while len(self._table) > limit:
            if not self._make_room(host):
                return False
        while len(self) > limit + self._table.bulk_size() and self._closing_streams.close_oldest():
            pass
        return True

    def _make_room(self, host: str) -> bool:
        """Close what is least missed; not a connection on which a command may just have come."""
        now = self._wheel.now
        useless, rest = self._table.eviction_candidates(now)
        if self._gate is not None:
            useless, rest = (self._gate.may_make_room(now, part, host) for part in (useless, rest))
        return self._close_useless(useless) or self._close_first_silent(rest)

    def _close_useless(self, entries: Iterable[ConnectionEntry]) -> bool:
        closed = 0
        for entry in entries:
            if closed >= self._table.bulk_size():
                break
            session = self._sessions[entry]
            if entry.state == ConnectionState.PENALISED or session.silent():
                self.drop(session, "room")
                closed += 1
        return closed > 0

    def _close_first_silent(self, entries: Iterable[ConnectionEntry]) -> bool:
        session = next((one for one in map(self._sessions.__getitem__, entries) if one.silent()), None)
        if session is None:
            return False
        self.drop(session, "room")
        return True

    # --- What sessions say.

    def set_state(self, session: ClientSession, state: ConnectionState) -> None:
        """It does something else from now on; what is too much of that is closed, itself perhaps."""
        if not session.dropped:
            self._table.set_state(session.entry, state, self._wheel.now)
        if state == ConnectionState.IDLE:
            for entry in self._table.excess_idle(self._wheel.now):
                self.drop_if_silent(self._sessions[entry], "too many idle")
        elif state in (ConnectionState.READING, ConnectionState.PENALISED):
            self._keep_within_memory()

    def hold(self, session: ClientSession, held_bytes: int) -> None:
        """Its commands take so many bytes from now on, the one that is being answered included."""
        if not session.dropped:
            self._table.set_held(session.entry, held_bytes)
            self._keep_within_memory()

    def _keep_within_memory(self) -> None:
        """Close those that hold most, none whose command is being answered: it was read, and is owed its answer."""
        while self._table.held_bytes > self._most_held_bytes:
            largest = self._table.largest_unanswered()
            if largest is None:
                break
            self.drop(self._sessions[largest], "memory")

    def message_taken(self, session: ClientSession) -> None:
        """A message that came on it was taken on."""
        self._table.count_message(session.entry)
        if self._gate is not None:
            self._gate.took(self._wheel.now, session.entry)

    def is_early(self, entry: ConnectionEntry) -> bool:
        """Whether it may have waited in the socket's queue until this process had started."""
        return entry.number <= self._last_early

    def turns_away(self, session: ClientSession) -> bool:
        """Whether one that is between commands is to be closed now, because this process takes no more clients.

        Not one whose first command is on its way, or on which the next has just come: they are answered first. At the
        very end nothing more is waited for, and what has not been read comes again elsewhere.
        """
        if self.ending:
            return not session.next_read.done()
        if self._accepting and (self.serving_mode is None or self.serving_mode.taking):
            return False
        return session.between_commands()

    def drop_if_silent(self, session: ClientSession, why: str) -> None:
        """Give a connection back, unless a request has just come, which must not be met by a close."""
        if not session.dropped and session.silent():
            self.drop(session, why)

    def drop(self, session: ClientSession, why: str) -> None:
        """The one place where a connection is given back; its `run` ends by it, or with it."""
        if session.dropped:
            return
        session.dropped = True
        entry, stream = session.entry, session.stream
        if not stream.closed():
            self._closing_streams.add(stream, session.next_read if stream.reading() else None)
        del self._sessions[entry]
        session.wake()
        self._table.remove(entry)
        if self._gate is not None:
            self._gate.leave(self._wheel.now, entry, entry.uselessness())
        if self.observer is not None:
            self._tell_left(entry, why if stream.error is None else f"{why}: {stream.error}")

    def _tell_left(self, entry: ConnectionEntry, why: str) -> None:
        now = self._wheel.now
        idle = now - entry.state_since if entry.state == ConnectionState.IDLE else 0.0
        self.observer.left(entry.number, why, entry.messages, entry.commands, now - entry.connected_at, idle)

    # --- The end.

    def stop_accepting(self, shared: bool) -> None:
        """Close the listening socket and every connection between requests; the others after their answer.

        `shared`: the socket stays open elsewhere, and who waits in its queue will be served there.
        """
        if not shared:
            self._listener.take_waiting()
        self._accepting = False
        self._listener.close()
        self.empty()

    def empty(self) -> None:
        """Close the connections between requests."""
        for entry in list(self._table.idle()):
            self.drop_if_silent(self._sessions[entry], "stopping")

    def end(self) -> None:
        """Close every connection, also in the middle of a command. What has come whole is still answered."""
        self.ending = True
        for entry, session in list(self._sessions.items()):
            if entry.state != ConnectionState.ANSWERING:
                self.drop_if_silent(session, "the end")

    def close(self) -> None:
        """Give everything back at once. What was read and not handed in is denied."""
        self._listener.close()
        for session in list(self._sessions.values()):
            session.deny_rest()
            self.drop(session, "the end")
        while self._closing_streams.close_oldest():
            pass
