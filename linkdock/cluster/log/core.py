"""The replicated log as a machine without I/O: roles, elections and steps (Raft; Ongaro's thesis, 2014).

Behind `interface.Log`. What is not there: time and messages are handed in, `Ready` says what is to be done.
"""

from __future__ import annotations

from enum import IntEnum
from random import Random

import msgspec

from .. import interface as i
from ..errors import BadChange, ChangeOpen, NotLeading, TooBusy, TooLarge
from .checks import change_fault, sound
from .entries import Entries
from .images import Incoming
from .leading import Leading
from .settings import LogSettings

_ANSWERS = (i.PreVoted, i.Voted, i.Appended)
_FROM_LEADERS = (i.Append, i.Install)


class Role(IntEnum):
    FOLLOWER = 0  # a learner too
    ASKING = 1  # asks whether it would be voted for; its term is as it was
    CANDIDATE = 2
    LEADER = 3


def founded(voters: tuple[str, ...]) -> i.Stored:
    """What each of the first voters starts from: who decides, before any entry. All others start from Stored()."""
    return i.Stored(image=i.Image(0, 0, i.Config(tuple(sorted(voters))), b""))


class Core:
    """One process's log. `stored` is what its folder holds; the state is the caller's, as of `stored.image`.

    Entries of `stored` are on disk; those committed come out of `ready` again. Raises Torn where they cannot be right.
    """

    def __init__(self, me: str, stored: i.Stored, settings: LogSettings, seed: int, now: float) -> None:
        self.me, self.settings, self._random = me, settings, Random(seed)
        self.log = Entries(stored.image, stored.entries)
        self.image = stored.image
        # Danger: a crash between entries and vote leaves a vote of an earlier term than the entries.
        self.term = max(stored.vote.term, self.log.last_term)
        self.voted = stored.vote.voted if stored.vote.term == self.term else ""
        self.role, self.leader, self.commit = Role.FOLLOWER, None, self.log.base
        self.applied = self.log.base  # the last committed entry that was handed out
        self._offered = self._stable = self.log.last  # handed out to be written; surely on disk
        self._vote_offered = stored.vote
        self._image_due: i.Image | None = None
        self._messages: list[tuple[str, i.AnyMessage]] = []
        self._lead: Leading | None = None
        self._incoming = Incoming()
        self._votes: set[str] = set()
        self._handed_over = False
        # Danger: it may have promised a leader its lease before it was started again; it does not know, so it waits.
        self._refuse_until = now + settings.election
        self._ask_again = 0.0
        self._due = 0.0
        self._rest(now)

    # --- What others see.

    @property
    def leading(self) -> bool:
        return self._lead is not None

    @property
    def config(self) -> i.Config:
        return self.log.config

    def config_at(self, index: int) -> i.Config:
        """As of a committed entry: what an Image of it must hold."""
        return self.log.config_at(index)

    def may_read(self, now: float) -> bool:
        lead = self._lead
        return lead is not None and self.commit >= lead.first and lead.leased(now, self.log)

    def next_due(self) -> float:
        if self._lead:
            return self._lead.next_beat
        if self.role == Role.FOLLOWER:
            return self._due
        return min(self._due, self._ask_again)

    # --- Time.

    def tick(self, now: float) -> None:
        lead = self._lead
        if lead:
            if lead.deaf(now, self.log) or (lead.to and now >= lead.over_by):
                self._follow(now, self.term, None)
            elif now >= lead.next_beat:
                self.fire(now)
        elif now >= self._due:
            self.fire(now)
        elif self.role != Role.FOLLOWER and now >= self._ask_again:
            self._ask(now)

    def fire(self, now: float) -> None:
        """The time-out, whatever the clock says: a leader's next round, else an election asked for."""
        if self._lead:
            self._lead.beat(now)
            return
        self._rest(now)
        self.leader = None
        if self.me not in self.config.voters:
            return
        self.role, self._votes, self._handed_over = Role.ASKING, {self.me}, False
        self._ask(now)
        self._count(now)

    def _rest(self, now: float) -> None:
        self._due = now + self.settings.election + self._random.random() * self.settings.span

    def _follow(self, now: float, term: int, leader: str | None) -> None:
        if term > self.term:
            self.term, self.voted = term, ""
        if self._lead or self.role != Role.FOLLOWER:
            self._rest(now)
        self.role, self.leader, self._lead = Role.FOLLOWER, leader, None

    # --- Elections.

    def _stand(self, now: float, handed_over: bool = False) -> None:
        self._rest(now)
        self.role, self.leader = Role.CANDIDATE, None
        self.term, self.voted, self._votes = self.term + 1, self.me, {self.me}
        self._handed_over = handed_over
        self._ask(now)
        self._count(now)

    def _ask(self, now: float) -> None:
        """Ask those who have not said yes. Messages get lost: it is done again within the same election."""
        self._ask_again = now + self.settings.heartbeat * (1 + self._random.random())
        last, last_term = self.log.last, self.log.last_term
        for peer in self.config.voters:
            if peer in self._votes:
                continue
            if self.role == Role.ASKING:
                self._send(peer, i.PreVote(self.term + 1, last, last_term))
            else:
                self._send(peer, i.AskVote(self.term, last, last_term, self._handed_over))

    def _count(self, now: float) -> None:
        voters = self.config.voters
        if 2 * sum(peer in self._votes for peer in voters) <= len(voters):
            return
        if self.role == Role.ASKING:
            self._stand(now)
            return
        self.role, self.leader = Role.LEADER, self.me
        self._incoming.clear()
        self._lead = Leading(self.me, now, self.term, self.log, self.settings)
        self._append(i.Kind.EMPTY, b"")

    def _would_vote(self, sender: str, message: i.PreVote | i.AskVote) -> bool:
        """By the logs, and by who asks. One who is no voter here counts only with a later log than this one: that may
        hold the change that made it a voter; a removed voter's cannot."""
        theirs, mine = (message.last_term, message.last_index), (self.log.last_term, self.log.last)
        return theirs >= mine if sender in self.config.voters else theirs > mine

    def _bound(self, now: float) -> bool:
        """Whether a leader may hold a lease on this voter's word (check-quorum)."""
        return self.leading or now < self._refuse_until

    def _on_prevote(self, now: float, sender: str, message: i.PreVote) -> None:
        granted = message.term > self.term and not self._bound(now) and self._would_vote(sender, message)
        self._send(sender, i.PreVoted(self.term, granted))

    def _on_ask(self, now: float, sender: str, message: i.AskVote) -> None:
        # Danger: also in this term. It may be known here from others, while an earlier leader counts on this voter.
        if message.term >= self.term and self._bound(now) and not message.handed_over:
            return
        would = self._would_vote(sender, message)
        if message.term > self.term:
            if sender not in self.config.voters and not would:
                return
            self._follow(now, message.term, None)
        granted = message.term == self.term and would and self.voted in ("", sender)
        if granted:
            self.role, self.voted = Role.FOLLOWER, sender
            self._rest(now)
        elif self.role == Role.CANDIDATE and message.term == self.term and self._precedes(sender, message):
            self._due = min(self._due, now + self.settings.heartbeat)
        self._send(sender, i.Voted(self.term, granted))

    def _precedes(self, sender: str, message: i.AskVote) -> bool:
        """Of two candidates of one term, each voted for by itself, which one soon asks again; the other one rests on.
        Danger: if both rested, or neither did, the next leader would be late, or they would meet again."""
        return (self.log.last_term, self.log.last, self.me) > (message.last_term, message.last_index, sender)

    def _on_voted(self, now: float, sender: str, message: i.Voted | i.PreVoted) -> None:
        asked = Role.ASKING if isinstance(message, i.PreVoted) else Role.CANDIDATE
        if self.role == asked and message.granted and message.term <= self.term:
            self._votes.add(sender)
            self._count(now)

    def _on_take_over(self, now: float, sender: str, message: i.TakeOver) -> None:
        if sender == self.leader and not self._lead and self.me in self.config.voters:
            self._stand(now, handed_over=True)

    # --- Following.

    def step(self, now: float, sender: str, message: i.AnyMessage) -> None:
        if sender == self.me or not sound(message, self.settings):
            return
        if isinstance(message, i.PreVote):
            self._on_prevote(now, sender, message)
            return
        if isinstance(message, i.AskVote):
            self._on_ask(now, sender, message)
            return
        if isinstance(message, _ANSWERS):
            # Danger: answers of processes outside the Config must neither count nor raise the term.
            if sender not in self.config.voters and sender not in self.config.learners:
                return
            if message.term > self.term:
                self._follow(now, message.term, None)
            elif isinstance(message, i.Appended):
                if self._lead and message.term == self.term and sender in self._lead.followers:
                    self._lead.answered(sender, message, self.log)
            elif message.term == self.term or isinstance(message, i.PreVoted):
                self._on_voted(now, sender, message)
            return
        if isinstance(message, i.TakeOver):
            if message.term == self.term:
                self._on_take_over(now, sender, message)
            return
        if not isinstance(message, _FROM_LEADERS):
            return
        if message.term < self.term:
            # Danger: round 0. The same round of a later term of that sender's must not count as answered.
            self._send(sender, i.Appended(self.term, False, self.commit, 0))
            return
        if message.term == self.term and (self._lead or self.leader not in (None, sender)):
            return  # two leaders of one term cannot be
        self._follow(now, message.term, sender)
        self._refuse_until = now + self.settings.election
        self._rest(now)
        if isinstance(message, i.Append):
            self._on_append(sender, message)
        else:
            self._on_install(sender, message)

    def _on_append(self, sender: str, message: i.Append) -> None:
        prev, entries = message.prev_index, message.entries
        until = prev + len(entries)
        if prev < self.commit:
            # What is committed here is the leader's too, also where it is no longer held.
            entries, prev = entries[self.commit - prev :], self.commit
        elif self.log.term(prev) != message.prev_term:
            hint = max(self.commit, self.log.hint(prev, message.prev_term))
            self._send(sender, i.Appended(self.term, False, min(hint, prev - 1), message.round))
            return
        self._incoming.clear()
        self._take(entries)
        until = max(until, self.commit)
        self.commit = max(self.commit, min(message.commit, until))
        self._send(sender, i.Appended(self.term, True, until, message.round))

    def _take(self, entries: tuple[i.Entry, ...]) -> None:
        """Append what is not there yet. Danger: only a conflict cuts, for an old Append may hold less than the log."""
        for at, entry in enumerate(entries):
            have = self.log.term(entry.index)
            if have == entry.term:
                continue
            if have is not None:
                self.log.cut(entry.index)
                self._offered = min(self._offered, entry.index - 1)
                self._stable = min(self._stable, entry.index - 1)
            self.log.append(entries[at:])
            return

    def _on_install(self, sender: str, message: i.Install) -> None:
        if message.index > self.commit and self.log.term(message.index) == message.image_term:
            self.commit = message.index  # all of it is here already
        if message.index <= self.commit:
            self._incoming.clear()
            self._send(sender, i.Appended(self.term, True, self.commit, message.round))
            return
        taken = self._incoming.take(message)
        if isinstance(taken, int):
            self._send(sender, i.Appended(self.term, False, taken, message.round))
            return
        self.log.reset(taken)
        self.image = self._image_due = taken
        self.commit = self.applied = self._offered = self._stable = taken.index
        self._send(sender, i.Appended(self.term, True, taken.index, message.round))

    # --- Leading.

    def _append(self, kind: i.Kind, data: bytes) -> tuple[int, int]:
        entry = i.Entry(self.log.last + 1, self.term, kind, data)
        self.log.append((entry,))
        return entry.term, entry.index

    def _leads(self) -> Leading:
        if not self._lead:
            raise NotLeading(self.leader)
        if self._lead.to:
            raise NotLeading(self._lead.to)
        return self._lead

    def propose(self, now: float, data: bytes) -> tuple[int, int]:
        self._leads()
        if len(data) > i.MOST_ENTRY:
            raise TooLarge(f"{len(data)} bytes")
        if self.log.last - self.commit >= self.settings.most_open:
            raise TooBusy
        return self._append(i.Kind.COMMAND, data)

    def change(self, now: float, config: i.Config) -> tuple[int, int]:
        lead = self._leads()
        # Danger: without an own entry committed, a change of the last leader's could still take effect beside this one
        # (Ongaro, raft-dev, 2015).
        if self.log.config_index > self.commit or self.commit < lead.first:
            raise ChangeOpen
        fault = change_fault(self.config, config)
        for peer in set(config.voters) - set(self.config.voters) if not fault else ():
            progress = lead.followers.get(peer)
            if progress and progress.match < max(self.log.base, self.log.last - self.settings.most_open):
                fault = f"{peer} has not caught up yet"
        if fault:
            raise BadChange(fault)
        data = msgspec.msgpack.encode(config)
        if len(data) > i.MOST_ENTRY:
            raise TooLarge(f"{len(data)} bytes")
        placed = self._append(i.Kind.CONFIG, data)
        lead.meet(self.log)
        return placed

    def hand_over(self, now: float, to: str | None = None) -> str | None:
        lead = self._lead
        if not lead or lead.to:
            return lead.to if lead else None
        to = to or lead.heir(now, self.log)
        if to is None or to == self.me or to not in self.config.voters:
            return None
        lead.to, lead.over_by = to, now + self.settings.election
        return to

    def compact(self, image: i.Image) -> None:
        """Raises ValueError for an image of what was not committed and handed out here, or with another Config."""
        if image.index <= self.log.base:
            return
        if image.index > self.applied or image.term != self.log.term(image.index):
            raise ValueError("an image must be of entries that were applied")
        if image.config != self.config_at(image.index):
            raise ValueError("an image holds the Config as of its entry: see config_at")
        self.log.compact(image)
        self.image = image

    def _lead_on(self) -> None:
        """Commit by counting, and send what followers lack. A removed leader goes once its removal is committed."""
        lead = self._lead
        self.commit = max(self.commit, lead.counted(self.log, self._stable))
        gone = self.me not in self.config.voters and self.log.config_index <= self.commit
        if gone:
            for progress in lead.followers.values():
                progress.beat = True
        self._messages += lead.messages(self.commit, self.log, self.image)
        if gone:
            heir = lead.heir(lead.next_beat, self.log)
            if heir:
                self._send(heir, i.TakeOver(self.term))
            self._follow(lead.next_beat, self.term, None)

    # --- What is to be done.

    def _send(self, to: str, message: i.AnyMessage) -> None:
        self._messages.append((to, message))

    def ready(self) -> i.Ready | None:
        """Danger: an `image` in it takes the place of the whole log. Entries on disk must not come back after it,
        unless the folder holds the image's own entry, by index and term, before them."""
        self._stable = self._offered
        if self._lead:
            self._lead_on()
        vote = i.Vote(self.term, self.voted)
        if vote == self._vote_offered:
            vote = None
        else:
            self._vote_offered = vote
        entries = self.log.since(self._offered + 1)
        upto = min(self.commit, self.applied + self.settings.most_applied)
        committed = self.log.since(self.applied + 1, upto)
        image, self._image_due = self._image_due, None
        messages, self._messages = tuple(self._messages), []
        if not (vote or entries or image or messages or committed):
            return None
        self._offered, self.applied = self.log.last, upto
        return i.Ready(vote, entries, image, messages, committed)
