"""What a leader knows and does beside its log: its followers, rounds, lease, the commit by counting, hand-over."""

from __future__ import annotations

import msgspec

from ..interface import AnyMessage, Appended, Image, TakeOver
from .entries import Entries
from .images import Outgoing
from .progress import Progress
from .settings import LogSettings

MOST_ROUNDS = 64  # whose sending is remembered; an answer to an older one does not count


def of_majority(values: list) -> object:
    """The largest value that a majority has reached."""
    values.sort(reverse=True)
    return values[len(values) // 2]


class Leading:
    """One term of one leader; dropped when it steps down."""

    def __init__(self, me: str, now: float, term: int, log: Entries, settings: LogSettings) -> None:
        """Begin a term of leadership as process `me`, with `log` as it stands."""
        self.me, self.since, self.term, self.settings = me, now, term, settings
        self.followers: dict[str, Progress] = {}
        self.first = log.last + 1  # its own first entry: before it is committed nothing is counted or read
        self.round, self.rounds = 0, {}
        self.next_beat = now
        self.to: str | None = None  # to whom it hands over
        self.over_by = 0.0
        self.told_over = False
        self._whole: tuple[Image, bytes] | None = None
        self.meet(log)
        self.beat(now)

    def meet(self, log: Entries) -> None:
        """The Config has changed: follow those who are in it, and nobody else."""
        there = [peer for peer in (*log.config.voters, *log.config.learners) if peer != self.me]
        self.followers = {peer: self.followers.get(peer) or Progress(log.last) for peer in there}

    # --- Rounds, and what they prove.

    def beat(self, now: float) -> None:
        """Begin a round. Danger: its time is before any of its messages is sent, never when an answer comes."""
        self.round += 1
        self.rounds[self.round] = now
        self.rounds.pop(self.round - MOST_ROUNDS, None)
        self.next_beat = now + self.settings.heartbeat
        self.told_over = False
        for progress in self.followers.values():
            progress.beat = True

    def heard(self, sender: str, round: int) -> None:
        """Danger: the answer to a refused message of another term has round 0, which is never one of these."""
        sent = self.rounds.get(round)
        if sent is not None:
            self.followers[sender].heard = max(self.followers[sender].heard, sent)

    def proven(self, now: float, log: Entries) -> float:
        """When the latest round was sent that a majority of the voters has answered."""
        heard = [now if peer == self.me else self.followers[peer].heard for peer in log.config.voters]
        return of_majority(heard)

    def deaf(self, now: float, log: Entries) -> bool:
        """Whether no majority has answered for an election time-out: another may lead already."""
        return now - max(self.proven(now, log), self.since) >= self.settings.election

    def leased(self, now: float, log: Entries) -> bool:
        """Whether no other can have been elected yet. Not once it asked another to stand: its word may come late."""
        return not self.to and now < self.proven(now, log) + self.settings.lease

    # --- Counting.

    def counted(self, log: Entries, stable: int) -> int:
        """The last entry that a majority of the voters has on disk. Learners do not count, nor a leader not among them.

        Danger: entries of earlier terms are not committed by counting (Ongaro and Ousterhout, 5.4.2).
        """
        index = of_majority([stable if peer == self.me else self.followers[peer].match for peer in log.config.voters])
        return index if index >= self.first else 0

    def answered(self, sender: str, message: Appended, log: Entries) -> None:
        """Take a follower's answer to an `Append`."""
        self.heard(sender, message.round)
        self.followers[sender].answered(message, log.last)

    # --- Sending.

    def messages(self, commit: int, log: Entries, image: Image | None) -> list[tuple[str, AnyMessage]]:
        """What is to be sent now, by peer: entries, or pieces of `image` where the log no longer reaches back."""
        out = []
        for peer, progress in self.followers.items():
            if image and not progress.out and progress.next <= log.base:
                progress.out = Outgoing(image, self._encoded(image), self.round)
                progress.flights.clear()
            for message in progress.more(self.term, self.round, commit, log, self.settings):
                out.append((peer, message))
        if self.to and not self.told_over and self.followers[self.to].match == log.last:
            self.told_over = True
            out.append((self.to, TakeOver(self.term)))
        return out

    def _encoded(self, image: Image) -> bytes:
        if self._whole is None or self._whole[0] is not image:
            self._whole = (image, msgspec.msgpack.encode(image))
        return self._whole[1]

    # --- Leaving.

    def heir(self, now: float, log: Entries) -> str | None:
        """The most caught-up other voter of those heard lately."""
        known = [
            (progress.match, peer)
            for peer, progress in self.followers.items()
            if peer in log.config.voters and progress.heard > now - 2 * self.settings.election
        ]
        return max(known)[1] if known else None
