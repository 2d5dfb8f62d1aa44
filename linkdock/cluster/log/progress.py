"""A leader's view of one follower: what it surely has, what is on the way to it, when it was heard."""

from __future__ import annotations

from collections import deque

from ..interface import Append, Appended, Install
from .entries import Entries
from .images import Outgoing
from .settings import LogSettings

NEVER = float("-inf")


class Progress:
    """`match` is on the follower's disk; `next` goes out next. Probing: one Append at a time until a match is known."""

    __slots__ = ("match", "next", "probing", "asked", "flights", "told", "beat", "heard", "out")

    def __init__(self, last: int) -> None:
        """Begin with the guess that the follower holds all up to index `last`."""
        self.match, self.next = 0, last + 1
        self.probing, self.asked = True, False
        self.flights: deque[int] = deque()  # the last index of each Append with entries on the way
        self.told = 0  # the commit that was sent last
        self.beat = True  # the round of now has not gone to it yet
        self.heard = NEVER  # when the round was sent that it answered last
        self.out: Outgoing | None = None

    def answered(self, message: Appended, last: int) -> None:
        """Take an answer of this term. Duplicates and old ones change nothing that matters."""
        if message.ok:
            if message.index > last:
                return  # Danger: a match beyond the leader's own log would commit what nobody has
            self.match = max(self.match, message.index)
            self.next = max(self.next, self.match + 1)
            while self.flights and self.flights[0] <= self.match:
                self.flights.popleft()
            if self.out and self.match >= self.out.index:
                self.out = None
                self.next = self.match + 1
            self.probing = self.asked = False
        elif self.out:
            self.out.answered(message.index, message.round)
        elif self.match <= message.index < self.next - 1:
            self.next = message.index + 1
            self.flights.clear()
            self.probing, self.asked = True, False

    def more(self, term: int, round: int, commit: int, log: Entries, settings: LogSettings) -> list[Append | Install]:
        """What goes to it now, within the bounds on what is on the way."""
        if self.out:
            beat, self.beat = self.beat, False
            return self.out.pieces(term, round, beat, settings.piece, settings.most_pieces)
        sent = []
        if self.probing:
            if self.beat or not self.asked:
                sent.append(self._append(term, round, commit, log, log.batch(self.next, settings.most_append)))
                self.asked = True
        else:
            while self.next <= log.last and len(self.flights) < settings.most_flights:
                entries = log.batch(self.next, settings.most_append)
                sent.append(self._append(term, round, commit, log, entries))
                self.next = entries[-1].index + 1
                self.flights.append(entries[-1].index)
            if not sent and (self.beat or (self.told < commit and not self.flights)):
                sent.append(self._append(term, round, commit, log, ()))
        self.beat = False
        return sent

    def _append(self, term: int, round: int, commit: int, log: Entries, entries: tuple) -> Append:
        self.told = commit
        before = self.next - 1
        return Append(term, before, log.term(before), commit, round, entries)
