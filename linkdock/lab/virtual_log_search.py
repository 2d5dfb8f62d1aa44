"""Breadth-first search over all interleavings of a small replicated log; no clock: time-outs are events.

A state is what three voters hold, the messages on the way and what is committed. A message may be delivered at any
later time or never, so a lost one is a late one; doubled ones and crashes are counted against the bounds. Between two
events a process has done all that was ready. Ids are not folded by symmetry. Leases and check-quorum are out
(`election` is 0: voters are never bound), so the search is of elections, the log, commits and restarts.

`python -m linkdock.lab.virtual_log_search [--states N]` prints states, edges, depth and the bounds.
"""

from __future__ import annotations

import argparse
import hashlib
import sys
import time
from dataclasses import dataclass, replace
from functools import lru_cache

import msgspec

from ..cluster.interface import AnyMessage, Config, Entry, Image, Kind, Stored, Vote
from ..cluster.log.core import Core
from ..cluster.log.entries import Entries
from ..cluster.log.leading import Leading
from ..cluster.log.progress import Progress
from ..cluster.log.settings import LogSettings
from .virtual_log_checks import Broken

IDS = ("a~0", "b~0", "c~0")
SETTINGS = LogSettings(election=0.0, most_append=1, most_flights=1)  # one entry an Append: the most interleavings
_BYTES, _DECODE = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(AnyMessage).decode
_MESSAGE = lru_cache(100_000)(_DECODE)


@dataclass(frozen=True)
class Bounds:
    """Of a search: what may happen how often, and the highest term. `asks`: elections begin with a pre-vote."""

    term: int = 2
    stands: int = 2
    proposals: int = 1
    beats: int = 1
    doubled: int = 1
    crashes: int = 1
    asks: bool = True
    states: int = 100_000


START = tuple(Stored(image=Image(0, 0, Config(IDS), b"")) for _ in IDS)


def figure_8() -> tuple[Stored, ...]:
    """Three logs as in figure 8 of the Raft paper, before the leader of term 4 is elected."""
    one, image = Entry(1, 1, Kind.EMPTY), START[0].image
    return (
        Stored(Vote(3, ""), image, (one, Entry(2, 2, Kind.COMMAND, b"x"))),
        Stored(Vote(3, "c~0"), image, (one,)),
        Stored(Vote(3, "c~0"), image, (one, Entry(2, 3, Kind.COMMAND, b"y"))),
    )


def _copy(core: Core) -> Core:
    new = object.__new__(type(core))
    new.__dict__.update(core.__dict__)
    new.log = log = object.__new__(Entries)
    log.base, log.base_term = core.log.base, core.log.base_term
    log.held, log.configs = list(core.log.held), list(core.log.configs)
    new._messages, new._votes = [], set(core._votes)
    if core._lead:
        new._lead = lead = object.__new__(Leading)
        lead.__dict__.update(core._lead.__dict__)
        lead.rounds = dict(core._lead.rounds)
        lead.followers = {}
        for peer, progress in core._lead.followers.items():
            lead.followers[peer] = twin = object.__new__(Progress)
            p, twin.flights = progress, progress.flights.copy()
            twin.match, twin.next, twin.probing, twin.asked = p.match, p.next, p.probing, p.asked
            twin.told, twin.beat, twin.heard, twin.out = p.told, p.beat, p.heard, p.out
    return new


def _form(core: Core) -> bytes:
    """All of a process that its further steps depend on. Rounds are always 1 and times 0, so they are left out."""
    lead = core._lead and [
        core._lead.first,
        [
            [peer, p.match, p.next, p.probing, p.asked, list(p.flights), p.told, p.beat]
            for peer, p in sorted(core._lead.followers.items())
        ],
    ]
    return _BYTES(
        [core.role, core.term, core.voted, core.leader, core.commit, core.log.held, sorted(core._votes), lead]
    )


class State:
    """`nodes`: (core, vote on disk, form) each; `way`: messages on the way, sorted; `left`: what is still allowed."""

    __slots__ = ("nodes", "way", "chosen", "left", "depth")

    def __init__(self, nodes, way, chosen, left, depth) -> None:
        """The processes, the messages on the way, what clients chose, the faults left and the steps so far."""
        self.nodes, self.way, self.chosen, self.left, self.depth = nodes, way, chosen, left, depth

    def key(self) -> bytes:
        """A digest by which two equal states are known."""
        form = _BYTES([[n[2] for n in self.nodes], self.way, self.chosen, self.left])
        return hashlib.blake2b(form, digest_size=16).digest()


class Search:
    """`run` raises Broken with the trace's length; else gives (states, edges, depth, whether all were seen)."""

    def __init__(self, bounds: Bounds, start: tuple[Stored, ...] = START, core_class: type[Core] = Core) -> None:
        """Search within `bounds` from what the processes have stored at `start`."""
        self.bounds, self.start, self.core_class = bounds, start, core_class
        self.states = self.edges = self.depth = 0

    def run(self) -> tuple[int, int, int, bool]:
        """Visit all states within the bounds: states, edges, greatest depth, and whether none was left out."""
        b = self.bounds
        nodes = []
        for id, stored in zip(IDS, self.start, strict=True):
            core = self.core_class(id, stored, SETTINGS, 1, 0.0)
            core.ready()
            nodes.append((core, stored.vote, _form(core)))
        first = State(tuple(nodes), (), (), (b.stands, b.proposals, b.beats, b.doubled, b.crashes), 0)
        seen, front = {first.key()}, [first]
        self.states = 1
        while front:
            following = []
            for state in front:
                for after in self._after(state):
                    self.edges += 1
                    key = after.key()
                    if key not in seen:
                        seen.add(key)
                        following.append(after)
                self.states = len(seen)
                if self.states >= b.states:
                    return self.states, self.edges, self.depth, False
            self.depth += bool(following)
            front = following
        return self.states, self.edges, self.depth, True

    def _after(self, state: State):
        stands, proposals, beats, doubled, crashes = left = state.left
        last = None
        for at, sent in enumerate(state.way):
            if sent == last:
                continue  # the same message twice: one delivery stands for both
            last = sent
            rest = state.way[:at] + state.way[at + 1 :]
            yield self._delivered(state, sent, rest, left)
            if doubled:
                yield self._delivered(state, sent, state.way, (stands, proposals, beats, doubled - 1, crashes))
        for k, (core, _, _) in enumerate(state.nodes):
            if stands and not core.leading and core.term < self.bounds.term:
                yield self._turn(state, k, self._stand, state.way, (stands - 1, *left[1:]))
            if core.leading and proposals:
                yield self._turn(
                    state,
                    k,
                    lambda c: c.propose(0.0, b"%d" % proposals),
                    state.way,
                    (stands, proposals - 1, beats, doubled, crashes),
                )
            if core.leading and beats:
                yield self._turn(state, k, self._beat, state.way, (stands, proposals, beats - 1, doubled, crashes))
            if crashes:
                yield self._turn(state, k, None, state.way, (stands, proposals, beats, doubled, crashes - 1))

    def _stand(self, core: Core) -> None:
        if self.bounds.asks:
            core.fire(0.0)
        else:
            core._stand(0.0)

    @staticmethod
    def _beat(core: Core) -> None:
        core._lead.round = 0
        core.fire(0.0)

    def _delivered(self, state: State, sent: tuple, rest: tuple, left: tuple) -> State:
        sender, to, message = sent
        return self._turn(state, to, lambda core: core.step(0.0, IDS[sender], _MESSAGE(message)), rest, left)

    def _turn(self, state: State, k: int, event, way: tuple, left: tuple) -> State:
        """One event at one process, and all that it then does; None is a crash and a restart."""
        core, vote, _ = state.nodes[k]
        if event:
            core = _copy(core)
            event(core)
        else:
            stored = Stored(vote, core.image, tuple(core.log.held))
            core = self.core_class(IDS[k], stored, SETTINGS, 1, 0.0)
        out, chosen = [], state.chosen
        while ready := core.ready():
            if ready.vote:
                if ready.vote.term == vote.term and vote.voted not in ("", ready.vote.voted):
                    raise Broken("one-vote", f"{IDS[k]} votes twice in term {vote.term}")
                vote = ready.vote
            out += [(k, IDS.index(to), _BYTES(message)) for to, message in ready.messages]
            for entry in ready.committed:
                if entry.index > len(chosen):
                    chosen += ((entry, core.term),)
                elif chosen[entry.index - 1][0] != entry:
                    raise Broken("same-state", f"{IDS[k]} applies another entry {entry.index}")
        nodes = state.nodes[:k] + ((core, vote, _form(core)),) + state.nodes[k + 1 :]
        self._check(state, nodes, k, chosen)
        return State(nodes, tuple(sorted(way + tuple(out))) if out else way, chosen, left, state.depth + 1)

    def _check(self, state: State, nodes: tuple, k: int, chosen: tuple) -> None:
        core = nodes[k][0]
        if _went_back(state.nodes[k][0], core):
            raise Broken("commit-goes-on", f"{IDS[k]} forgot a commit")
        for at, (other, _, _) in enumerate(nodes):
            if at != k and core.leading and other.leading and core.term == other.term:
                raise Broken("one-leader", f"{IDS[k]} and {IDS[at]} lead term {core.term}")
            if at != k:
                _matching(core.log.held, other.log.held)
        more = chosen[len(state.chosen) :]
        began = core.leading and not state.nodes[k][0].leading
        for at, (other, _, _) in enumerate(nodes):
            for entry, term in chosen if at == k and began else more if other.leading else ():
                if other.term > term and other.log.term(entry.index) != entry.term:
                    raise Broken("leader-complete", f"{IDS[at]} leads term {other.term} without {entry.index}")
        for entry, _ in more:
            if 2 * sum(n[0].log.term(entry.index) == entry.term for n in nodes) <= len(nodes):
                raise Broken("on-a-majority", f"{entry.index} is committed and not on a majority")


def _went_back(before: Core, after: Core) -> bool:
    """A restart forgets the commit, which is right; it is then 0."""
    return 0 < after.commit < before.commit


def _matching(one: list[Entry], other: list[Entry]) -> None:
    """Two logs that hold an entry of one index and term are the same up to there."""
    for at in range(min(len(one), len(other)) - 1, -1, -1):
        if one[at].term == other[at].term:
            if one[: at + 1] != other[: at + 1]:
                raise Broken("log-matching", f"two logs differ below {at + 1}")
            return


PLANS: dict[str, tuple[Bounds, tuple[Stored, ...]]] = {
    "asked": (Bounds(term=1, stands=1, proposals=1, beats=0, doubled=0, crashes=0), START),
    "rivals": (Bounds(term=1, stands=2, proposals=0, beats=0, doubled=0, crashes=1, asks=False), START),
    "doubled": (Bounds(term=1, stands=2, proposals=0, beats=0, doubled=1, crashes=0, asks=False), START),
    "two-terms": (Bounds(term=2, stands=2, proposals=0, beats=0, doubled=0, crashes=0, asks=False), START),
    "figure-8": (Bounds(term=5, stands=2, proposals=0, beats=0, doubled=0, crashes=0, asks=False), figure_8()),
}


def main(argv: list[str] | None = None) -> int:
    """Run what the command line asks for; the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--states", type=int, default=200_000)
    parser.add_argument("--plan", choices=PLANS, action="append")
    args = parser.parse_args(argv)
    for name in args.plan or PLANS:
        bounds, start = PLANS[name]
        bounds, begun = replace(bounds, states=args.states), time.monotonic()
        states, edges, depth, whole = Search(bounds, start).run()
        print(
            f"{name}: {states} states, {edges} edges, depth {depth}, {'all' if whole else 'not all'} within "
            f"{bounds}, {time.monotonic() - begun:.1f} s",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
