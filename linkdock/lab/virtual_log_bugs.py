"""Bugs planted into the replicated log, one at a time, to show that the checks see them. Never imported by a sender.

`with planted(name):` patches the transitions; `found(name)` plays seeds until a check breaks.
`python -m linkdock.lab.virtual_log_bugs` prints the table.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

import msgspec

from ..cluster import interface as i
from ..cluster.errors import BadChange
from ..cluster.log.checks import change_fault
from ..cluster.log.core import Core, Role
from ..cluster.log.entries import Entries
from ..cluster.log.leading import Leading, of_majority
from ..cluster.log.progress import Progress
from ..cluster.log.settings import LogSettings
from .virtual_log import KINDS, play
from .virtual_log_checks import Broken
from .virtual_log_node import Node
from .virtual_log_search import PLANS, Search
from .virtual_log_world import SMALL

STATES = 20_000  # of a search, at most
SHARP = replace(SMALL, span=0.04)  # the next leader comes as early as it may: what is wrong with a lease shows


@dataclass(frozen=True)
class Bug:
    """`check` sees it. `patches`: (class, attribute, what takes its place). `within`: the seeds that suffice."""

    words: str
    check: str
    patches: tuple[tuple[type, str, Callable], ...]
    nodes: int = 5
    within: int = 40
    kinds: tuple[str, ...] = KINDS
    settings: LogSettings = SMALL
    pace: float = 0.03
    plan: str = ""  # found by this search, not by schedules


def _forget_vote(init):
    def started(self, me, stored, *rest):
        init(self, me, i.Stored(i.Vote(stored.vote.term), stored.image, stored.entries), *rest)

    return started


def _counted_old(self, log, stable):
    index = of_majority([stable if peer == self.me else self.followers[peer].match for peer in log.config.voters])
    return index


def _counted_learners(self, log, stable):
    values = [stable, *(p.match for p in self.followers.values())]
    values.sort(reverse=True)
    index = values[len(log.config.voters) // 2]
    return index if index >= self.first else 0


def _counted_gone(self, log, stable):
    index = of_majority([stable, *(self.followers[peer].match for peer in log.config.voters if peer != self.me)])
    return index if index >= self.first else 0


def _sent_first(self, ready):
    for to, message in ready.messages:
        self.world.checks.sent(self, to, message)
        self.world.send(self.id, to, message)


def _heard_at_answer(self, sender, round):
    sent = self.rounds.get(round)
    if sent is not None:
        self.followers[sender].heard = self.now


def _step_with_time(step):
    def stepped(self, now, sender, message):
        if self._lead:
            self._lead.now = now
        step(self, now, sender, message)

    return stepped


def _prevote_raises(fire):
    def fired(self, now):
        if not self._lead and self.me in self.config.voters:
            self.term, self.voted = self.term + 1, ""
        fire(self, now)

    return fired


def _take_cuts_always(self, entries):
    if entries and self.log.term(entries[0].index) is not None:
        self.log.cut(entries[0].index)
        self._offered = min(self._offered, entries[0].index - 1)
        self._stable = min(self._stable, entries[0].index - 1)
    self.log.append(entries)


def _any_image(self, sender, message):
    taken = self._incoming.take(message)
    if isinstance(taken, int):
        self._send(sender, i.Appended(self.term, False, taken, message.round))
        return
    self.log.reset(taken)
    self.image = self._image_due = taken
    self.commit = self.applied = self._offered = self._stable = taken.index
    self._send(sender, i.Appended(self.term, True, taken.index, message.round))


def _change_at_once(self, now, config):
    lead, fault = self._leads(), change_fault(self.config, config)
    if fault:
        raise BadChange(fault)
    placed = self._append(i.Kind.CONFIG, msgspec.msgpack.encode(config))
    lead.meet(self.log)
    return placed


def _no_match(self, sender, message):
    entries = message.entries[max(0, self.commit - message.prev_index) :]
    if message.prev_index > self.log.last:
        self._send(sender, i.Appended(self.term, False, self.log.last, message.round))
        return
    self._take(entries)
    until = max(message.prev_index + len(message.entries), self.commit)
    self.commit = max(self.commit, min(message.commit, until))
    self._send(sender, i.Appended(self.term, True, until, message.round))


def _votes_twice(on_ask):
    def asked(self, now, sender, message):
        if self.role == Role.FOLLOWER and message.term == self.term:
            self.voted = ""
        on_ask(self, now, sender, message)

    return asked


def _any_log(self, sender, message):
    return True


def _own_last(on_append):
    def appended(self, sender, message):
        on_append(self, sender, message)
        to, said = self._messages[-1]
        if said.ok:
            self._messages[-1] = (to, i.Appended(said.term, True, self.log.last, said.round))

    return appended


def _commit_own_last(on_append):
    def appended(self, sender, message):
        on_append(self, sender, message)
        if self._messages[-1][1].ok:
            self.commit = max(self.commit, min(message.commit, self.log.last))

    return appended


def _started_willing(init):
    def started(self, *rest):
        init(self, *rest)
        self._refuse_until = 0.0

    return started


def _kept_config(self, index):
    del self.held[index - self.base - 1 :]


def _same_id(start):
    def started(self):
        if self.disk.vote.term and self.random.random() < 0.3:
            self.disk.__init__(i.Stored(image=self.world.first))
        start(self)

    return started


def _leased_though_over(self, now, log):
    return now < self.proven(now, log) + self.settings.lease


def _own_term_unseen(self, now):
    return self._lead is not None and self._lead.leased(now, self.log)


def _long_lease(self, now, log):
    return not self.to and now < self.proven(now, log) + self.settings.election


def _bound_to_none(self, now):
    return self.leading


def _match_beyond(answered):
    def taken(self, message, last):
        answered(self, replace_ok(message), last)

    return taken


def replace_ok(message):
    """The answer with `ok` set, as if the follower had taken the entries."""
    return message if message.ok else i.Appended(message.term, True, message.index, message.round)


BUGS: dict[str, Bug] = {
    "vote-forgotten": Bug(
        "a vote is forgotten by a restart", "one-vote", ((Core, "__init__", _forget_vote),), plan="rivals"
    ),
    "second-vote": Bug("a second vote in one term", "one-vote", ((Core, "_on_ask", _votes_twice),), plan="rivals"),
    "any-log": Bug("a vote for a log that is behind", "leader-complete", ((Core, "_would_vote", _any_log),)),
    "old-term": Bug(
        "entries of earlier terms committed by counting",
        "leader-complete",
        ((Leading, "counted", _counted_old),),
        plan="figure-8",
    ),
    "sent-first": Bug("messages sent before the sync", "disk-first", ((Node, "begun", _sent_first),)),
    "learner-counted": Bug(
        "a learner counts for the commit", "on-a-majority", ((Leading, "counted", _counted_learners),)
    ),
    "gone-counted": Bug(
        "a leader that is no voter counts itself",
        "on-a-majority",
        ((Leading, "counted", _counted_gone),),
        5,
        40,
        ("remove_leader", "more", "cut_leader", "halves", "lossy"),
    ),
    "lease-at-answer": Bug(
        "a lease counted from the answer",
        "reads",
        ((Leading, "heard", _heard_at_answer), (Core, "step", _step_with_time)),
        3,
        100,
        ("lossy", "far", "cut_leader", "cut_leader", "pause_leader"),
        SHARP,
    ),
    "lease-undrifted": Bug(
        "a lease as long as the election time-out, drift not counted",
        "reads",
        ((Leading, "leased", _long_lease),),
        3,
        100,
        ("cut_leader",),
        replace(SHARP, drift=0.2),
    ),
    "lease-handed-over": Bug(
        "a lease believed after hand-over",
        "reads",
        ((Leading, "leased", _leased_though_over),),
        3,
        100,
        ("hand_over_cut",),
        SHARP,
    ),
    "read-early": Bug("a read before an own entry is committed", "reads", ((Core, "may_read", _own_term_unseen),)),
    "willing-at-start": Bug(
        "a restarted voter votes at once",
        "reads",
        ((Core, "__init__", _started_willing),),
        3,
        100,
        ("partial_crash",),
        SHARP,
        1.5,
    ),
    "bound-to-none": Bug(
        "a voter that hears a leader votes for another",
        "reads",
        ((Core, "_bound", _bound_to_none),),
        3,
        100,
        ("partial",),
        SHARP,
        1.5,
    ),
    "prevote-raises": Bug("a pre-vote raises the term", "term-by-candidate", ((Core, "fire", _prevote_raises),)),
    "deaf-leader": Bug("check-quorum left out", "check-quorum", ((Leading, "deaf", lambda self, now, log: False),)),
    "cut-always": Bug("an old Append cuts without a conflict", "on-a-majority", ((Core, "_take", _take_cuts_always),)),
    "old-image": Bug("an image older than the commit is taken", "commit-goes-on", ((Core, "_on_install", _any_image),)),
    "change-open": Bug("a change while one is open", "one-change", ((Core, "change", _change_at_once),), 5, 100),
    "config-kept": Bug(
        "a change that was cut stays in force",
        "config-of-log",
        ((Entries, "cut", _kept_config),),
        5,
        40,
        ("more", "less", "cut_leader", "crash_leader"),
    ),
    "no-match": Bug(
        "an Append taken without the entry before it",
        "log-matching",
        ((Core, "_on_append", _no_match),),
        5,
        40,
        ("halves", "cut_leader", "lossy"),
    ),
    "own-last": Bug(
        "a follower answers with its own last entry",
        "true-answers",
        ((Core, "_on_append", _own_last),),
        5,
        100,
        ("halves", "cut_leader", "crash_leader"),
    ),
    "commit-own-last": Bug(
        "a follower commits beyond what matched",
        "same-state",
        ((Core, "_on_append", _commit_own_last),),
        5,
        100,
        ("halves", "cut_leader", "crash_leader"),
    ),
    "refused-taken": Bug("a refusal is taken for a match", "goes-on", ((Progress, "answered", _match_beyond),)),
    "same-id": Bug("a lost folder keeps its name and votes", "one-vote", ((Node, "start", _same_id),)),
}
_WRAPS = {
    "_forget_vote",
    "_step_with_time",
    "_prevote_raises",
    "_votes_twice",
    "_own_last",
    "_commit_own_last",
    "_started_willing",
    "_same_id",
    "_match_beyond",
}

# The first seed in which each is seen, where it is not 0: the tests begin there. `main` begins at 0.
FIRST = {
    "lease-undrifted": 8,
    "bound-to-none": 3,
    "old-image": 1,
    "own-last": 25,
    "learner-counted": 1,
    "change-open": 2,
    "commit-own-last": 11,
    "any-log": 2,
    "gone-counted": 12,
    "read-early": 4,
    "config-kept": 2,
    "lease-at-answer": 40,
    "willing-at-start": 2,
    "cut-always": 3,
    "same-id": 15,
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The log with one bug."""
    before = [(owner, attribute, owner.__dict__[attribute]) for owner, attribute, _ in BUGS[name].patches]
    try:
        for owner, attribute, by in BUGS[name].patches:
            wraps = by.__name__ in _WRAPS
            setattr(owner, attribute, by(owner.__dict__[attribute]) if wraps else by)
        yield
    finally:
        for owner, attribute, was in before:
            setattr(owner, attribute, was)


def found(name: str, first: int = 0) -> tuple[str, str] | None:
    """(where, check) of the first schedule or state in which it is seen, or None."""
    bug = BUGS[name]
    with planted(name):
        if bug.plan:
            bounds, start = PLANS[bug.plan]
            search = Search(replace(bounds, states=STATES), start)
            try:
                search.run()
            except Broken as broken:
                return f"search {bug.plan}, {search.states} states, depth {search.depth + 1}", broken.name
            return None
        for seed in range(first, bug.within):
            try:
                play(seed, bug.nodes, bug.settings, bug.kinds, bug.pace)
            except Broken as broken:
                return f"seed {seed}, {bug.nodes} processes", broken.name
    return None


def main() -> int:
    """Look for each bug, or for those named; the exit status, 1 if one is missed."""
    missed = 0
    print("| bug | check | found at | bound |\n| --- | --- | --- | --- |")
    for name, bug in BUGS.items():
        if len(sys.argv) > 1 and name not in sys.argv[1:]:
            continue
        seen = found(name)
        missed += seen is None or seen[1] != bug.check
        where, check = seen or ("-", "not found")
        bound = f"{STATES} states" if bug.plan else f"{bug.within} seeds"
        print(f"| {bug.words} (`{name}`) | {check} | {where} | {bound} |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
