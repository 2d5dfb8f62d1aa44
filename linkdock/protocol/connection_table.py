"""Clients' connections: what each is doing, and which are closed when there are too many. No I/O, no clock.

A connection on which a message was taken on is worth more than one that only connected, said PING or erred: the
usual clients keep theirs, and its next request fails if it is closed on them. Age alone would not do: a script that
holds hundreds of connections and is turned away again and again leaves each idle after its error, younger than the
usual ones, so that these would be closed for it.

Clients have a bound of their own, of a third of this sender's sockets. One that asks once on each connection and keeps
it a while has soon reached it, all of them idle here, and hands in nothing more until it lets one go. So only a part
of them may lie idle, those used last: usual clients that use theirs again need few.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from itertools import chain, islice, takewhile

FIRST_COMMAND_S = 0.25  # seconds from connecting in which a first command may well be on its way
LEAST_IDLE_S = 0.05  # seconds of idleness before a connection may be closed as one too many
IDLE_DIVISOR = 4  # one part in so many of the clients' own bound may lie idle after messages
BULK_DIVISOR = 16  # one part in so many of all connections is closed at once where they were of no use


class ConnectionState(IntEnum):
    """What a connection is doing."""

    ANSWERING = 0  # a command is being answered
    PENALISED = 1  # it waits after an error
    READING = 2  # it waits for the rest of a command, the first one included
    IDLE = 3  # between commands


class ConnectionEntry:
    """One connection: what it is doing since when, and its conduct so far."""

    __slots__ = (
        "number",
        "address",
        "state",
        "connected_at",
        "state_since",
        "held_bytes",
        "messages",
        "commands",
        "errors",
    )

    def __init__(self, number: int, now: float) -> None:
        """A connection that was accepted at `now`, the first of a process being number 1."""
        self.number, self.address = number, ""
        self.state, self.connected_at, self.state_since = ConnectionState.READING, now, now
        self.held_bytes = 0  # of commands, whole or not; set by the table
        self.messages = self.commands = self.errors = 0  # messages taken on, whole commands, errors

    def uselessness(self) -> float:
        """What it counts against its address once it is over: silence more than idle words, errors beside."""
        return (0.0 if self.messages else 0.25 if self.commands else 1.0) + 0.5 * min(self.errors, 4)


class ConnectionTable:
    """Owner of the entries. Times are seconds of one clock that never runs back."""

    def __init__(self, limit: int, usual: int) -> None:
        """`limit` connections in all; `usual` is the bound that the usual clients keep by themselves."""
        self.limit = limit
        self._accepted = self._count = 0
        self.held_bytes = 0  # of all connections together
        self._idle_limit = max(4, usual // IDLE_DIVISOR)
        # By state and whether a message was taken on; whoever has been in it the longest first.
        self._by_state: list[tuple[dict[ConnectionEntry, None], dict[ConnectionEntry, None]]]
        self._by_state = [({}, {}) for _ in ConnectionState]

    def __len__(self) -> int:
        """Connections that are open."""
        return self._count

    def add(self, now: float) -> ConnectionEntry:
        """The entry of a connection that has just been accepted; `remove` gives it back."""
        self._accepted += 1
        self._count += 1
        entry = ConnectionEntry(self._accepted, now)
        self._group(entry)[entry] = None
        return entry

    def remove(self, entry: ConnectionEntry) -> None:
        """Its connection is closed."""
        self.set_held(entry, 0)
        self._count -= 1
        del self._group(entry)[entry]

    def _group(self, entry: ConnectionEntry) -> dict[ConnectionEntry, None]:
        return self._by_state[entry.state][entry.messages > 0]

    def set_state(self, entry: ConnectionEntry, state: ConnectionState, now: float) -> None:
        """It does something else from now on."""
        del self._group(entry)[entry]
        entry.state, entry.state_since = state, now
        self._group(entry)[entry] = None

    def set_held(self, entry: ConnectionEntry, held_bytes: int) -> None:
        """It holds so many bytes of commands from now on, whatever it is doing."""
        self.held_bytes += held_bytes - entry.held_bytes
        entry.held_bytes = held_bytes

    def count_message(self, entry: ConnectionEntry) -> None:
        """A message that came on it was taken on."""
        del self._group(entry)[entry]
        entry.messages += 1
        self._group(entry)[entry] = None

    def idle(self) -> Iterator[ConnectionEntry]:
        """Those between commands."""
        return chain(*self._by_state[ConnectionState.IDLE])

    def largest_unanswered(self) -> ConnectionEntry | None:
        """The one that holds most of those that wait for the rest of a command, or after an error."""
        waiting = chain(*self._by_state[ConnectionState.READING], *self._by_state[ConnectionState.PENALISED])
        largest = max(waiting, key=lambda entry: entry.held_bytes, default=None)
        return largest if largest is not None and largest.held_bytes else None

    def eviction_candidates(self, now: float) -> tuple[list[ConnectionEntry], list[ConnectionEntry]]:
        """Who might make room, the least missed first: those of no use, some of whom go in bulk, and the rest.

        Never one whose command is being answered. The caller passes over those on which bytes have come.
        """
        penalised, reading, idle = (self._by_state[state] for state in list(ConnectionState)[1:])
        silent = [entry for entry in reading[0] if entry.connected_at < now - FIRST_COMMAND_S]
        fresh = [entry for entry in reading[0] if entry.connected_at >= now - FIRST_COMMAND_S]
        useless = [*penalised[0], *penalised[1], *silent, *idle[0]]
        return useless, [*fresh, *reading[1], *idle[1]]

    def excess_idle(self, now: float) -> list[ConnectionEntry]:
        """Idle ones beyond those that may lie idle after messages, the longest idle first."""
        idle = self._by_state[ConnectionState.IDLE][1]
        count = len(idle) - self._idle_limit
        if count <= 0:
            return []
        return list(takewhile(lambda entry: entry.state_since <= now - LEAST_IDLE_S, islice(idle, count)))

    def bulk_size(self) -> int:
        """How many of no use are closed at once."""
        return max(1, self.limit // BULK_DIVISOR)
