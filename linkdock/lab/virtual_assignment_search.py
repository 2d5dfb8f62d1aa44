"""Breadth-first search: two senders, one shard, two epochs; is there ever a time at which both send?

The program's own `TurnTable`, `LeaseClock` and `TurnHolder` are run, from a state in which both senders have a lease
and the first one the turn. Events: a tick of time, a sender opens or renews its
lease, claims, begins and ends an attempt, releases; the log takes a request, an answer arrives, the leader ends a
lease, the next epoch comes, a sender learns of it, a sender is killed and starts again. A message may arrive at any
later time or never, so that a lost one needs no event, and a stopped process that wakes late is one that has no events
for a while. Clocks differ by the drift: a sender's may lose a tick, the leader's may gain one. An attempt is out at
the server until it is answered or its sender's clock has reached its end, whatever has become of the sender.

`python -m linkdock.lab.virtual_assignment_search [--states N]` prints states, edges and depth of each plan.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Iterator
from dataclasses import replace

from ..assignment import turns
from ..assignment.holder import TurnHolder, TurnSettings, TurnState
from ..assignment.membership import Change, Member, made
from ..assignment.turns import LeaseClock, Token, TurnTable
from .virtual_assignment_plans import (
    DRIFT,
    MEMBERS,
    PLANS,
    SHARD,
    STARTED_AT,
    TABLE,
    TTL,
    Attempt,
    Plan,
    Sent,
    State,
    copied_clock,
    copied_holder,
    copied_table,
    placed_in_two_epochs,
)
from .virtual_log_checks import Broken


class Search:
    """`run` raises Broken at the first state in which a property does not hold."""

    def __init__(self, plan: Plan) -> None:
        """`plan` bounds what may happen and how many states are seen."""
        self.plan = plan
        self.settings = TurnSettings(TTL, DRIFT, plan.longest_attempt)
        self.states = self.edges = self.depth = 0
        self.passed_on = 0  # begins by a sender after the other one's: the search is not of an empty world

    def run(self) -> bool:
        """Whether all states within the plan were seen."""
        first = self._first()
        seen, front = {first.key()}, [first]
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
                if self.states >= self.plan.states:
                    return False
            self.depth += bool(following)
            front = following
        return True

    def _first(self) -> State:
        plan = self.plan
        table = TurnTable(made(1, [Member(name, "z") for name in MEMBERS]), placed_in_two_epochs(plan.second_stays))
        holders = tuple(self._started(k, STARTED_AT) for k in (0, 1))
        clock = LeaseClock(TTL, DRIFT)
        first, second, leader = plan.starts_at - plan.skewed, plan.starts_at, plan.starts_at + plan.skewed
        for index, holder, asked_at, opened_at in ((1, holders[0], 0.0, 0.0), (2, holders[1], second, leader)):
            opened = table.apply(index, turns.OpenLease(holder.member))
            holder.lease_opened(asked_at, opened.lease)
            clock.applied(opened_at, holder.member, table.leases[holder.member])
        claim = holders[0].claim(SHARD)
        grant = table.apply(3, claim)
        way: tuple[Sent, ...] = ()
        if plan.grant_on_its_way:
            way = (Sent(0, 0, 0.0, (claim, grant)),)
        else:
            holders[0].granted(grant)
        if plan.asked_back:
            table.apply(4, turns.NextEpoch(Change(1)))
            holders[1].adopt(2, {SHARD: 0})
            table.apply(4, holders[1].claim(SHARD))
        left = (plan.first, plan.second)
        return State(table, clock, holders, (None, None), way, left, 4, leader, (first, second))

    def _started(self, k: int, at: float) -> TurnHolder:
        holder = TurnHolder(MEMBERS[k], self.settings, at)
        holder.adopt(1, {SHARD: k})  # after a restart too: it has an old epoch
        return holder

    # --- Events.

    def _after(self, state: State) -> Iterator[State]:
        if state.ticks < self.plan.ticks:
            yield from self._ticks(state)
        if state.epochs < self.plan.epochs:
            yield self._applied(replace(state, epochs=state.epochs + 1), turns.NextEpoch(Change(1)), None)
        asked_to_end = [sent.body for sent in state.way if isinstance(sent.body, turns.Expire)]
        for expire in state.clock.expired(state.now):
            if expire not in asked_to_end:  # proposed; it is applied at some later time
                yield replace(state, way=(*state.way, Sent(TABLE, TABLE, 0.0, expire)))
        for at, sent in enumerate(state.way):
            rest = replace(state, way=state.way[:at] + state.way[at + 1 :])
            if sent.to == TABLE:
                yield self._applied(rest, sent.body, sent)
            else:
                yield self._arrived(rest, sent)
        for k in (0, 1):
            yield from self._by_sender(state, k)

    def _ticks(self, state: State) -> Iterator[State]:
        yield self._ticked(state, 1.0, (1.0, 1.0))
        if state.fast_ticks < self.plan.fast_ticks:
            yield replace(self._ticked(state, 2.0, (1.0, 1.0)), fast_ticks=state.fast_ticks + 1)
        for k in (0, 1):
            if state.left[k].slow_ticks:
                steps = (0.0, 1.0) if k == 0 else (1.0, 0.0)
                yield self._spent(self._ticked(state, 1.0, steps), k, "slow_ticks")

    def _ticked(self, state: State, leader: float, steps: tuple[float, float]) -> State:
        clocks = tuple(clock + step for clock, step in zip(state.clocks, steps, strict=True))
        state = replace(state, now=state.now + leader, clocks=clocks, ticks=state.ticks + 1)
        for k in (0, 1):
            attempt = state.attempts[k]
            if attempt and clocks[k] >= attempt.over:
                state = self._ended(state, k)
        return state

    def _ended(self, state: State, k: int) -> State:
        holder = copied_holder(state.holders[k])
        if holder._attempts_out:  # a run that was killed knows nothing of it
            holder.ended(SHARD)
        attempts = tuple(None if at == k else one for at, one in enumerate(state.attempts))
        return replace(self._with(state, k, holder), attempts=attempts)

    def _by_sender(self, state: State, k: int) -> Iterator[State]:
        holder, left, now = state.holders[k], state.left[k], state.clocks[k]
        if left.opens:
            yield self._asked(self._spent(state, k, "opens"), k, turns.OpenLease(MEMBERS[k]))
        if left.renewals and holder.renewal():
            yield self._asked(self._spent(state, k, "renewals"), k, holder.renewal())
        if left.claims:
            twin = copied_holder(holder)
            if claim := twin.claim(SHARD):
                yield self._asked(self._spent(self._with(state, k, twin), k, "claims"), k, claim)
        if left.releases:
            for release in holder.releases(now):
                yield self._asked(self._spent(state, k, "releases"), k, release)
        if holder.epoch < state.table.membership.epoch:
            twin = copied_holder(holder)
            twin.adopt(2, {SHARD: 0} if k else {SHARD: 1} if self.plan.second_stays else {})
            yield self._with(state, k, twin)
        if left.begins and holder.may_begin(now, SHARD) and state.attempts[k] is None:
            yield self._began(self._spent(state, k, "begins"), k)
        if left.answers and state.attempts[k] and holder._attempts_out:
            yield self._ended(self._spent(state, k, "answers"), k)
        if left.kills:
            yield self._spent(self._with(state, k, self._started(k, now)), k, "kills")

    def _began(self, state: State, k: int) -> State:
        other = state.attempts[1 - k]
        if other:
            raise Broken(
                "one-sender",
                f"{MEMBERS[k]} begins while an attempt of {MEMBERS[1 - k]} is out, " f"depth {self.depth + 1}",
            )
        holder = copied_holder(state.holders[k])
        token = holder.begin(state.clocks[k], SHARD)
        self.passed_on += k
        attempt = Attempt(state.clocks[k] + self.settings.longest_attempt, token)
        attempts = tuple(attempt if at == k else one for at, one in enumerate(state.attempts))
        return replace(self._with(state, k, holder), attempts=attempts)

    # --- What is sent and what comes.

    def _asked(self, state: State, k: int, body: object) -> State:
        return replace(state, way=(*state.way, Sent(TABLE, k, state.clocks[k], body)))

    def _applied(self, state: State, command: turns.Command, sent: Sent | None) -> State:
        table, clock = copied_table(state.table), copied_clock(state.clock)
        before = max((owner.token for owner in table.owners.values()), default=Token(0, 0))
        answer = table.apply(state.index + 1, command)
        for member in MEMBERS:
            clock.applied(state.now, member, table.leases.get(member))
        if isinstance(answer, turns.Granted) and answer.token <= before:
            raise Broken("token-rises", f"{answer.token} after {before}, depth {self.depth + 1}")
        used = isinstance(answer, turns.Opened | turns.Renewed | turns.Granted)
        state = replace(state, table=table, clock=clock, index=state.index + used)
        told = used or isinstance(answer, turns.LeaseOver) or isinstance(command, turns.Release)
        if sent is not None and sent.asker != TABLE and told:  # other answers change nothing at the asker
            state = replace(state, way=(*state.way, Sent(sent.asker, sent.asker, sent.asked_at, (command, answer))))
        return self._checked(state)

    def _arrived(self, state: State, sent: Sent) -> State:
        holder = copied_holder(state.holders[sent.to])
        command, answer = sent.body
        match answer:
            case turns.Opened(lease):
                holder.lease_opened(sent.asked_at, lease)
            case turns.Renewed(lease, give_up):
                holder.lease_renewed(sent.asked_at, lease)
                for shard, token in give_up:
                    holder.asked_back(shard, token)
            case turns.LeaseOver():
                holder.lease_over(getattr(command, "lease", 0))
            case turns.Granted():
                holder.granted(answer)
        if isinstance(command, turns.Release):
            holder.released(command.shard, command.token)
        return self._with(state, sent.to, holder)

    def _with(self, state: State, k: int, holder: TurnHolder) -> State:
        return self._checked(
            replace(state, holders=tuple(holder if at == k else one for at, one in enumerate(state.holders)))
        )

    def _spent(self, state: State, k: int, what: str) -> State:
        spent = replace(state.left[k], **{what: getattr(state.left[k], what) - 1})
        return replace(state, left=tuple(spent if at == k else one for at, one in enumerate(state.left)))

    def _checked(self, state: State) -> State:
        if all(holder.may_begin(clock, SHARD) for holder, clock in zip(state.holders, state.clocks, strict=True)):
            raise Broken("one-owner", f"both may begin, depth {self.depth + 1}")
        for holder in state.holders:
            turn = holder._turns.get(SHARD)
            if turn and turn.state is TurnState.HELD and turn.token is None:
                raise Broken("token-held", f"{holder.member} holds a turn without a token, depth {self.depth + 1}")
        return state


def main(argv: list[str] | None = None) -> int:
    """Search the chosen plans, or all, and print what was seen; returns 0. Raises Broken as `Search.run` does."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--states", type=int, default=200_000)
    parser.add_argument("--plan", choices=PLANS, action="append")
    args = parser.parse_args(argv)
    for name in args.plan or PLANS:
        begun = time.monotonic()
        search = Search(replace(PLANS[name], states=args.states))
        whole = search.run()
        print(
            f"{name}: {search.states} states, {search.edges} edges, depth {search.depth}, "
            f"{'all' if whole else 'not all'} within the plan, {search.passed_on} begins of the second sender, "
            f"{time.monotonic() - begun:.1f} s",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
