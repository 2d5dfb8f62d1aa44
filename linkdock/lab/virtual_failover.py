"""Failover between zones on a virtual clock: twenty processes, three zones in two regions, and policies side by side.

    python -m linkdock.lab.virtual_failover                         all stories, 20 seeds, as a table
    python -m linkdock.lab.virtual_failover --story NAME --seed N   one of them again, the same to the last figure

Policies: `ours`; `near` (the own zone only); `even` (each attempt at any zone, all alike); `alone` (each process by its
own sight the nearest zone that does not fail it); `truth` (knows at once which backend servers have room). All keep the
sender's own rules: a stopped zone gets a trial each 0.5 s, what comes back is met slowly, told waits bind.
"""

from __future__ import annotations

import argparse
import heapq
from collections import Counter, defaultdict, deque
from concurrent.futures import ProcessPoolExecutor
from itertools import count
from math import exp
from random import Random
from statistics import median

from ..failover import evidence, judge, observe, returning, shares
from ..failover.evidence import Known
from ..failover.judge import Decision, State
from .failover_parts import RULES, STEP, Backend, Gate, Message
from .failover_stories import STORIES, Story

REGIONS = {0: 0, 1: 0, 2: 1}
PROCESSES, DESTINATIONS, ZONES, VOTERS = 20, 4, 3, 5
TRIP = {0: 0.01, 1: 0.02, 3: 0.08}  # seconds there and back, by the flow's cost
RETRY, CONNECT = 0.3, 0.5  # after a failure; until a connection is given up
NEAREST = [sorted(range(ZONES), key=lambda z, a=a: (judge.flow.cost_of(a, z, REGIONS), z)) for a in range(ZONES)]
MEMBERS_LAG = 1.5  # seconds after which the membership knows who is gone
ELECTION = 1.0
POLICIES = ("ours", "near", "even", "alone", "truth")


class Process:
    def __init__(self, number: int) -> None:
        self.number, self.zone, self.name = number, number % ZONES, f"p{number}~1"
        self.sight = observe.Observer(self.name, self.zone)
        self.waiting: deque[Message] = deque()
        self.gates: dict[tuple[int, int], Gate] = defaultdict(Gate)
        self.decision, self.slots = Decision(), {}
        self.inbox: dict[str, Known] = {}  # a voter's
        self.spenders: dict[tuple[int, int], list[returning.Spender]] = defaultdict(list)
        self.far: dict[tuple[int, int], shares.Pace] = defaultdict(shares.Pace)
        self.paces, self.paused_until = {}, 0.0

    def adopt(self, came: Decision) -> None:
        self.decision = judge.newer(self.decision, came)
        self.slots = {(r.destination, r.zone): r.slots for r in self.decision.routes}
        self.paces = {(r.destination, r.zone): dict(r.pace) for r in self.decision.routes}


class World:
    """One run of one story under one policy. The same seed draws the same fleet for every policy."""

    def __init__(self, story: Story, policy: str, seed: int) -> None:
        self.story, self.policy = story, policy
        fleet = Random(f"{story.name}/{seed}")
        self.chance = Random(f"{story.name}/{seed}/{policy}")
        self.arrivals = Random(f"{story.name}/{seed}/arrivals")
        self.now, self.order, self.events, self.ids = 0.0, count(), [], count()
        self.processes = [Process(n) for n in range(PROCESSES)]
        self.in_zone = Counter(p.zone for p in self.processes)
        self.demand = {(d, z): fleet.uniform(12, 24) for d in range(DESTINATIONS) for z in range(ZONES)}
        self.backends = {key: Backend(rate * fleet.uniform(*story.room)) for key, rate in self.demand.items()}
        self.cut: dict[frozenset[int], float] = {}  # pairs of zones that do not reach one another, and since when
        self.control_cut: dict[frozenset[int], float] = {}  # the same for reports and decisions alone
        self.alone: dict[int, float] = {}  # processes all of whose calls fail, and since when
        self.loss, self.slow, self.pauses = 0.0, {}, 0.0
        self.leader, self.leads_at, self.last = self.processes[0], 0.0, Decision()
        self.published, self.ledgers = Decision(), {}
        self.asked = self.served = self.near = self.all_served = self.lost = 0
        self.asked_all, self.decided, self.moves = 0, {}, Counter()
        story.prepare(self)

    # --- Links.

    def reaches(self, p: Process, zone: int) -> bool:
        return p.number not in self.alone and frozenset((p.zone, zone)) not in self.cut

    def talks(self, p: Process, q: Process) -> bool:
        pair = frozenset((p.zone, q.zone))
        return pair not in self.cut and pair not in self.control_cut and self.chance.random() >= self.loss

    def members(self, p: Process) -> float:
        if self.alone.get(p.number, self.now) < self.now - MEMBERS_LAG:
            return 0.0
        gone = {
            pair for side in (self.cut, self.control_cut) for pair, at in side.items() if at < self.now - MEMBERS_LAG
        }
        return sum(frozenset((p.zone, q.zone)) not in gone for q in self.processes) / PROCESSES

    def trip(self, a: int, b: int) -> float:
        return TRIP[judge.flow.cost_of(a, b, REGIONS)] + self.slow.get(frozenset((a, b)), 0.0)

    def at(self, when: float, what: object, *args: object) -> None:
        heapq.heappush(self.events, (when, next(self.order), what, args))

    # --- The run.

    def run(self) -> dict[str, float]:
        for k in range(int(self.story.ends / STEP)):
            self.now = round((k + 1) * STEP, 6)
            while self.events and self.events[0][0] <= self.now:
                _, _, what, args = heapq.heappop(self.events)
                what(*args)
            self.story.step(self, self.now)
            for key in self.backends:
                self.backends[key].step(self.now)
            for p in self.processes:
                self.come(p)
                if p.paused_until <= self.now:
                    if self.pauses and self.chance.random() < self.pauses * STEP:
                        p.paused_until = self.now + 1.0
                        continue
                    self.work(p)
                    if self.policy == "ours" and (k + p.number) % 5 == 0:
                        self.try_out(p, judge.cells_to_try(p.decision))
                    if self.policy == "ours" and (k + p.number) % 10 == 3:
                        self.tell(p)
            if self.policy == "ours" and k % 5 == 0:
                self.decide()
        return self.figures()

    def come(self, p: Process) -> None:
        rate = sum(self.demand[d, p.zone] for d in range(DESTINATIONS)) / self.in_zone[p.zone]
        least, chance = exp(-rate * STEP), self.arrivals.random()
        while chance > least:
            chance *= self.arrivals.random()
            d = self.arrivals.choices(range(DESTINATIONS), [self.demand[d, p.zone] for d in range(DESTINATIONS)])[0]
            message = Message(self.now, self.now + self.story.deadline, d, shares.slot_of(f"m{next(self.ids)}"))
            p.waiting.append(message)
            p.sight.came(self.now, d)
            self.asked_all += 1
            self.asked += self.story.begins <= self.now < self.story.over

    def work(self, p: Process) -> None:
        closed, kept = set(), deque()
        for m in p.waiting:
            if self.now >= m.deadline:
                self.lost += 1
                continue
            zone = self.pick(p, m)
            key = (m.destination, zone)
            if zone is None or key in closed or not self.gate(p, key):
                closed.add(key)
                kept.append(m)
                continue
            self.call(p, m, key)
        p.waiting = kept

    def pick(self, p: Process, m: Message) -> int | None:
        if self.policy == "near":
            return p.zone
        if self.policy == "even":
            return (m.slot + m.tried) % ZONES
        if self.policy == "ours":
            slots = p.slots.get((m.destination, p.zone))
            return slots[m.slot] if slots else p.zone
        for zone in NEAREST[p.zone]:
            backend = self.backends[m.destination, zone]
            if self.policy == "alone":
                gate = p.gates[m.destination, zone]
                if gate.fails < 3 or gate.trial_at <= self.now:
                    return zone
                continue
            if backend.up and backend.tokens >= 1 and self.reaches(p, zone):
                return zone
        return None

    def gate(self, p: Process, key: tuple[int, int]) -> bool:
        if self.policy == "truth":
            return True
        if self.policy == "ours" and judge.needs_lease(p.decision, *key, p.zone):
            p.spenders[key] = [s for s in p.spenders[key] if s.until > self.now]
            return any(s.may_go(self.now) for s in p.spenders[key])
        if self.policy == "ours" and key[1] != p.zone:
            rate = p.paces.get((key[0], p.zone), {}).get(key[1], 0.0) * p.sight.demand(self.now, key[0])
            return p.far[key].may_go(self.now, rate)
        knowers = PROCESSES if self.policy == "even" else self.in_zone[key[1]]
        return p.gates[key].may_go(self.now, self.backends[key].rate, knowers)

    def call(self, p: Process, m: Message, key: tuple[int, int]) -> None:
        m.tried += 1
        trip = self.trip(p.zone, key[1])
        if self.loss and self.chance.random() < self.loss:
            trip += 0.2  # TCP sends again
        backend = self.backends[key]
        if not self.reaches(p, key[1]):
            self.at(self.now + CONNECT, self.ended, p, m, key, observe.BAD)
        elif not backend.up:
            self.at(self.now + trip, self.ended, p, m, key, observe.BAD)
        else:
            how = observe.GOOD if backend.take(self.now, key[1] != p.zone) else observe.REFUSED
            self.at(self.now + trip + 0.02, self.ended, p, m, key, how)

    def ended(self, p: Process, m: Message, key: tuple[int, int], how: str) -> None:
        answered = how != observe.BAD
        p.sight.ended(self.now, *key, how, self.backends[key].rate if answered else 0.0)
        p.gates[key].ended(self.now, how)
        if how == observe.GOOD and self.now <= m.deadline:
            self.all_served += 1
            self.near += key[1] == p.zone
            self.served += self.story.begins <= m.born < self.story.over
            return
        self.at(self.now + RETRY, p.waiting.append, m)

    # --- What the processes tell one another.

    def tell(self, p: Process) -> None:
        """Each 0.5 s: the report, two trials drawn, and the newest decision."""
        report = p.sight.report(self.now, self.members(p), Counter(m.destination for m in p.waiting))
        for q in self.processes[:VOTERS]:
            if q is p or self.talks(p, q):
                self.at(self.now + self.trip(p.zone, q.zone), self.heard, q, report)
        self.try_out(p, [(self.chance.randrange(DESTINATIONS), self.chance.randrange(ZONES)) for _ in range(2)])
        if self.leader is not None and (self.leader is p or self.talks(self.leader, p)):
            self.at(self.now + self.trip(p.zone, self.leader.zone), p.adopt, self.published)

    def try_out(self, p: Process, cells: list[tuple[int, int]]) -> None:
        for key in cells:
            good = self.reaches(p, key[1]) and self.backends[key].up and self.chance.random() >= self.loss
            after = self.trip(p.zone, key[1]) if self.reaches(p, key[1]) else CONNECT
            self.at(
                self.now + after,
                p.sight.ended,
                self.now + after,
                *key,
                observe.GOOD if good else observe.BAD,
                self.backends[key].rate if good else 0.0,
            )

    def heard(self, q: Process, report: observe.Report) -> None:
        q.inbox[report.observer] = Known(self.now, observe.decode(observe.encode(report)))

    def decide(self) -> None:
        voters = self.processes[:VOTERS]

        def leads(q: Process) -> bool:
            pairs = [frozenset((q.zone, v.zone)) for v in voters if v is not q]
            there = sum(pair not in self.cut and pair not in self.control_cut for pair in pairs)
            return q.paused_until <= self.now and 2 * (there + 1) > VOTERS

        if self.leader is None or not leads(self.leader):
            if self.leader is not None:
                self.leader, self.leads_at = None, self.now + ELECTION
            able = [v for v in voters if leads(v)]
            if self.now < self.leads_at or not able:
                return
            self.leader, self.last = able[0], judge.rebased(self.published, self.now)
            self.ledgers.clear()  # Danger: leases of the one before still run; the new one waits out a term
            self.leads_at = self.now
        known = list(self.leader.inbox.values())
        self.last = judge.judge(self.last, known, self.now, REGIONS, RULES)
        if self.last.epoch > self.published.epoch:
            before, self.published = self.published, self.last
            for s in self.last.standings:
                if s.state in (State.OUT, State.RETURNING) and before.state(s.destination, s.zone) is not s.state:
                    self.moves[s.destination, s.zone] += 1
                    if s.state is State.OUT:
                        self.decided.setdefault((s.destination, s.zone), self.now)
            for p in self.processes:
                if p is self.leader or self.talks(self.leader, p):
                    self.at(self.now + 0.05 + self.trip(p.zone, self.leader.zone), p.adopt, self.published)
        self.lease(known)

    def lease(self, known: list[Known]) -> None:
        back = [s for s in self.last.standings if s.state is State.RETURNING]
        if not back or self.now < self.leads_at + returning.TERM * (1 + returning.DRIFT) and self.leads_at:
            return
        view = evidence.look(known, self.now)
        for s in back:
            key = s.destination, s.zone
            wants = {}
            for p in self.processes:
                if p is self.leader or self.talks(p, self.leader):
                    slots = p.slots.get((s.destination, p.zone))
                    if not judge.needs_lease(self.last, *key, p.zone):
                        continue
                    wants[p.name] = float(
                        sum(
                            m.destination == s.destination and (slots[m.slot] if slots else p.zone) == s.zone
                            for m in p.waiting
                        )
                    )
            old = self.ledgers.get(key, returning.Ledger())
            allowed = judge.lease_room(s, view, self.now, RULES)
            self.ledgers[key] = new = returning.share_out(old, self.now, wants, allowed, RULES)
            for lease in set(new.leases) - set(old.leases):
                p = next(p for p in self.processes if p.name == lease.holder)
                if p is self.leader or self.talks(self.leader, p):
                    self.at(self.now + 0.1, p.spenders[key].append, returning.Spender(lease, self.now - 0.05))

    def figures(self) -> dict[str, float]:
        nan, falls = float("nan"), self.story.begins
        times = [self.decided.get(key, nan) - falls for key in self.story.falls]
        times += [self.decided.get(key, nan) - falls - 8.0 for key in self.story.later]
        return {
            "service": self.served / max(1, self.asked),
            "near": self.near / max(1, self.all_served),
            "decided": nan if not times or any(t != t for t in times) else max(times),
            "passed": sum(b.passed for b in self.backends.values()),
            "shifts": max(self.moves.values(), default=0),
            "false": sum(n for key, n in self.moves.items() if key not in self.story.falls_ever),
            "toppled": sum(b.toppled for b in self.backends.values()),
        }


def run(story: str, seed: int) -> dict[str, dict[str, float]]:
    """All policies, one after another."""
    return {policy: World(STORIES[story](), policy, seed).run() for policy in POLICIES}


def line(story: str, runs: list[dict[str, dict[str, float]]]) -> str:
    def told(values: list[float]) -> str:
        known = sorted(v for v in values if v == v)
        if not known:
            return "none"
        return f"{median(known):.2f} ({known[0]:.2f}-{known[-1]:.2f})"

    ours = [r["ours"] for r in runs]
    ratio = told([r["ours"]["service"] / max(1e-9, r["truth"]["service"]) for r in runs])
    service = " | ".join(told([r[p]["service"] for r in runs]) for p in POLICIES)
    passed = " / ".join(f"{max(r[p]['passed'] for r in runs):.1f}" for p in POLICIES)
    toppled = " / ".join(f"{max(r[p]['toppled'] for r in runs)}" for p in POLICIES)
    return (
        f"| {story} | {told([o['decided'] for o in ours])} | {service} | {ratio} | {passed} | {toppled} | "
        f"{max(o['shifts'] for o in ours)} | "
        f"{sum(o['false'] for o in ours)} | {told([o['near'] for o in ours])} |"
    )


HEAD = (
    "| story | decided, s | ours | near | even | alone | truth | ours / truth | s passed, most (same order) | "
    "toppled, most | shifts | false | near share |\n" + "| --- " * 13 + "|"
)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--story", choices=sorted(STORIES))
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=4)
    asked = parser.parse_args()
    seeds = list(range(asked.seeds)) if asked.seed is None else [asked.seed]
    print(HEAD)
    with ProcessPoolExecutor(asked.jobs) as pool:
        for story in [asked.story] if asked.story else STORIES:
            print(line(story, list(pool.map(run, [story] * len(seeds), seeds))), flush=True)


if __name__ == "__main__":
    main()
