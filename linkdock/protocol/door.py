"""Who keeps a place at the door when there are more connections of clients than places. No I/O, no clock.

A connection on which a message was taken on is worth more than one that only connected, said PING or erred: the
usual clients keep theirs, and its next request fails if it is closed on them. Danger: an agency's script that holds
hundreds of connections and is turned away again and again: each lies idle after its error, younger than the usual
ones, so that making room by age alone closes the usual clients' connections for it.

Danger: clients have a bound of their own, of a third of this sender's sockets. One that asks once on each connection
and keeps it a while has soon reached it, all of them idle here, and hands in nothing more until it lets one go.
So only so many idle ones are kept, the last used: usual clients that use theirs again need few.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice, takewhile

BUSY, BAD, BEGUN, IDLE = range(4)  # a command is being answered; after an error; waiting for the rest of
#                                     a command, the first one included; between commands
FRESH = 0.25  # seconds from connecting in which a first command may well be on its way
REST = 0.05  # seconds of idleness before a connection may be closed as one too many
KEPT_PART = 4  # one part in so many of the clients' own bound that may lie idle after messages
BULK = 16  # one part in so many of the places is cleared at once of connections without use


class Place:
    """One connection's place: what it is doing since when, and its conduct so far."""

    __slots__ = ("number", "state", "since", "last", "held", "taken", "commands", "errors", "address")

    def __init__(self, number: int, now: float) -> None:
        self.number, self.state, self.since, self.last = number, BEGUN, now, now
        self.address = ""
        self.held = 0  # bytes of a command that is not whole yet
        self.taken = self.commands = self.errors = 0  # messages taken on, whole commands, errors

    def uselessness(self) -> float:
        """What it counts against its address once it is over: silence more than idle words, errors beside."""
        return (0.0 if self.taken else 0.25 if self.commands else 1.0) + 0.5 * min(self.errors, 4)


class Door:
    """Owner of the places. Times are seconds of one clock that never runs back."""

    def __init__(self, most: int, usual: int) -> None:
        """`most` places in all; `usual` is the bound that the usual clients keep by themselves."""
        self.most, self._ever, self._count = most, 0, 0
        self._kept = max(4, usual // KEPT_PART)
        # By state and whether a message was taken on; whoever has been in it the longest first.
        self._lines: list[tuple[dict[Place, None], dict[Place, None]]] = [({}, {}) for _ in range(4)]

    def __len__(self) -> int:
        return self._count

    def enter(self, now: float) -> Place:
        self._ever += 1
        self._count += 1
        place = Place(self._ever, now)
        self._line(place)[place] = None
        return place

    def leave(self, place: Place) -> None:
        self._count -= 1
        del self._line(place)[place]

    def _line(self, place: Place) -> dict[Place, None]:
        return self._lines[place.state][place.taken > 0]

    def put(self, place: Place, state: int, now: float) -> None:
        """It does something else from now on."""
        del self._line(place)[place]
        place.state, place.last = state, now
        self._line(place)[place] = None

    def took(self, place: Place) -> None:
        """A message that came on it was taken on."""
        del self._line(place)[place]
        place.taken += 1
        self._line(place)[place] = None

    def idle(self) -> Iterator[Place]:
        return chain(*self._lines[IDLE])

    def begun(self) -> Iterator[Place]:
        return chain(*self._lines[BEGUN])

    def full(self) -> bool:
        return self._count >= self.most

    def least_missed(self, now: float) -> tuple[list[Place], list[Place]]:
        """Who might make room, the least missed first: those of no use, some of whom go in bulk, and the rest.

        Never one whose command is being answered. The caller passes over those on which bytes have come.
        """
        begun, idle = self._lines[BEGUN], self._lines[IDLE]
        stale = [p for p in begun[0] if p.since < now - FRESH]
        useless = [*self._lines[BAD][0], *self._lines[BAD][1], *stale, *idle[0]]
        rest = [p for p in begun[0] if p.since >= now - FRESH]
        return useless, [*rest, *begun[1], *idle[1]]

    def too_many(self, now: float) -> list[Place]:
        """Idle ones beyond those that are kept, the longest idle first."""
        idle = self._lines[IDLE][1]
        count = len(idle) - self._kept
        if count <= 0:
            return []
        return list(takewhile(lambda p: p.last <= now - REST, islice(idle, count)))

    def bulk(self) -> int:
        """How many of no use go at once."""
        return max(1, self.most // BULK)
