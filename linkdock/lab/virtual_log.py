"""Schedules of faults on a virtual clock for the replicated log, each from one seed, with checks after every step.

`python -m linkdock.lab.virtual_log --seed N [--seeds 1000] [--nodes 5]` prints a line for each seed that fails, which
plays it again, and the figures of all. `--kills` kills a leader in an otherwise quiet world, and times the next one.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import dataclass

from ..cluster.log.settings import LogSettings
from .virtual_log_checks import Broken
from .virtual_log_node import Node
from .virtual_log_world import SMALL, World

DEFAULT = LogSettings(heartbeat=0.15, election=1.0, span=1.0)  # a process's
FAULTY, WITHIN = 5.0, 2.0  # seconds of faults; then a leader is there and a proposal answered within

KINDS = (
    "crash",
    "crash",
    "crash_leader",
    "crash_leader",
    "pause",
    "pause_leader",
    "cut_one",
    "cut_one",
    "cut_leader",
    "halves",
    "reset",
    "lossy",
    "lossy",
    "hand_over",
    "hand_over_cut",
    "lose_folder",
    "more",
    "less",
    "power",
)


@dataclass
class Played:
    """One schedule that held: entries committed, reads, seconds from the end of faults to an answer."""

    committed: int
    reads: int
    writes: int
    healed: float
    restarts: int
    changes: int


class Faults:
    """What goes wrong, at random times."""

    def __init__(self, world: World, until: float, kinds: tuple[str, ...] = KINDS) -> None:
        self.world, self.random, self.until = world, world.random, until
        self.kinds = [getattr(self, kind) for kind in kinds]
        self.restarts, self.changes, self.rest = 0, 0, 0.0
        self.next()

    def next(self) -> None:
        wait, self.rest = self.rest + self.random.expovariate(1 / 0.25), 0.0
        if self.world.now + wait < self.until:
            self.world.after(wait, self.strike)

    def strike(self) -> None:
        self.random.choice(self.kinds)()
        self.next()

    def _some(self) -> Node:
        return self.random.choice([n for n in self.world.nodes.values() if not n.lost])

    def _leader(self) -> Node:
        leaders = self.world.leaders()
        return leaders[0] if leaders else self._some()

    def _crash(self, node: Node, most: float) -> None:
        if node.up:
            node.crash()
            self.restarts += 1
            self.world.after(self.random.choice((0.002, self.random.uniform(0, most))), self.world.restart, node)

    def crash(self) -> None:
        self._crash(self._some(), 1.5)

    def crash_leader(self) -> None:
        self._crash(self._leader(), 1.0)

    def power(self) -> None:
        for node in list(self.world.nodes.values()):
            if self.random.random() < 0.8:
                self._crash(node, 0.5)

    def pause(self) -> None:
        self.world.pause(self._some(), self.random.uniform(0.1, 2.0))

    def pause_leader(self) -> None:
        self.world.pause(self._leader(), self.random.uniform(0.3, 2.0))

    def _cut(self, links: set[tuple[str, str]], seconds: float) -> None:
        self.world.cut |= links
        self.world.after(seconds, self.world.cut.difference_update, links)

    def _round(self, node: Node) -> None:
        way = self.random.randrange(3)
        others = [n for n in self.world.nodes if n != node.id and self.random.random() < 0.9]
        links = {(node.id, o) for o in others if way != 1} | {(o, node.id) for o in others if way != 2}
        self._cut(links, self.random.uniform(0.1, 2.0))

    def cut_one(self) -> None:
        self._round(self._some())

    def cut_leader(self) -> None:
        self._round(self._leader())

    def partial(self, crash: bool = False) -> None:
        """One follower loses the leader and keeps the others; when it has had time to stand, the leader loses all."""
        leader, at = self._leader(), self.world.settings.election
        self.rest = 4 * at  # or others' faults would end it
        others = [n for n in self.world.nodes if n != leader.id]
        one = self.random.choice(others)
        self._cut({(leader.id, one), (one, leader.id)}, 3 * at)
        self.world.after(self.random.uniform(0.9, 1.2) * at, self._then, leader, others, one if crash else None)

    def _then(self, leader: Node, others: list[str], but: str | None) -> None:
        self._cut({(leader.id, o) for o in others} | {(o, leader.id) for o in others}, 1.0)
        for other in others if but else ():
            if other != but:
                self._crash(self.world.nodes[other], 0.003)

    def partial_crash(self) -> None:
        self.partial(crash=True)

    def halves(self) -> None:
        side = {n for n in self.world.nodes if self.random.random() < 0.5}
        links = {(a, b) for a in self.world.nodes for b in self.world.nodes if (a in side) != (b in side)}
        self._cut(links, self.random.uniform(0.1, 2.0))

    def reset(self) -> None:
        for a in self.world.nodes:
            for b in self.world.nodes:
                if self.random.random() < 0.5:
                    self.world.epoch[a, b] = self.world.epoch.get((a, b), 0) + 1

    def lossy(self) -> None:
        world = self.world
        world.loss, world.double, world.far = (self.random.choice((0, 0.05, 0.3)) for _ in range(3))
        world.after(self.random.uniform(0.2, 1.5), self.clear)

    def far(self) -> None:
        """Half of all messages come late, by 0.1 s and more."""
        self.world.far = 0.5
        self.world.after(1.0, self.clear)

    def clear(self) -> None:
        self.world.loss = self.world.double = self.world.far = 0.0

    def hand_over(self) -> None:
        node = self._leader()
        if node.up and not node.paused:
            node.core.hand_over(node.clock())
            node.turn()

    def hand_over_cut(self) -> None:
        """The leader's last word gets through, and it hears of nothing that follows."""
        node = self._leader()
        self.hand_over()
        others = [n for n in self.world.nodes if n != node.id]
        self.world.after(0.003, self._cut, {(o, node.id) for o in others}, 0.6)

    # --- Changes of members: one at a time, the next once the last is made.

    def lose_folder(self) -> None:
        node = self._some()
        leaders = self.world.leaders()
        if self.world.task or not leaders or node.id not in leaders[0].core.config.voters:
            return
        if len(leaders[0].core.config.voters) >= 3:
            node.crash()
            node.lost = True
            self.world.checks.lost.add(node.id)
            self.changes += 1
            id = self.world.newcomer(node.id.rpartition("~")[0])
            self.world.task = {"add": id, "remove": node.id, "first": self.random.random() < 0.5}

    def more(self) -> None:
        if not self.world.task and len(self.world.nodes) < 9:
            self.changes += 1
            self.world.task = {"add": self.world.newcomer()}

    def less(self) -> None:
        leaders = self.world.leaders()
        if not self.world.task and leaders and len(leaders[0].core.config.voters) > 3:
            self.changes += 1
            self.world.task = {"remove": self.random.choice(leaders[0].core.config.voters)}

    def remove_leader(self) -> None:
        leaders = self.world.leaders()
        if not self.world.task and leaders and len(leaders[0].core.config.voters) > 3:
            self.changes += 1
            self.world.task = {"remove": leaders[0].id}

    def heal(self) -> None:
        self.clear()
        self.world.cut.clear()
        for node in list(self.world.nodes.values()):
            self.world.restart(node)
            if node.up and node.paused:
                node.resume = self.world.now
                node.wake()


def play(
    seed: int,
    nodes: int = 5,
    settings: LogSettings = SMALL,
    kinds: tuple[str, ...] = KINDS,
    pace: float = 0.03,
    faulty: float = FAULTY,
) -> Played:
    """One schedule; `pace` is the mean rest of a client (s). Raises Broken, or whatever a log raises that must not."""
    world = World(seed, nodes, settings, pace=pace)
    faults = Faults(world, faulty, kinds)
    world.run(faulty)
    faults.heal()
    world.pace = min(pace, 0.03)
    end = faulty
    while world.last_answer < faulty:
        if end >= faulty + WITHIN:
            raise Broken("goes-on", f"no answer {WITHIN} s after the faults")
        end += 0.05
        world.run(end)
    world.run(max(end, faulty + 0.5))
    _settled(world)
    writes = list(world.writes.values())
    world.checks.history(writes, world.reads)
    return Played(
        len(world.checks.chosen),
        len(world.reads),
        sum(w[4] is not None for w in writes),
        end - faulty,
        faults.restarts,
        faults.changes,
    )


def _settled(world: World) -> None:
    """All that was committed is there, and the same, wherever it should be."""
    leader = world.leaders()[0] if world.leaders() else None
    if leader:
        world.checks.kept(leader.core.config_at(leader.core.commit).voters)
    states = {}
    for node in world.nodes.values():
        if node.up and states.setdefault(node.applied, node.register.image()) != node.register.image():
            raise Broken("same-state", f"{node.id} is another at {node.applied}")


def kill(seed: int, nodes: int = 5, slow: bool = False) -> float:
    """Seconds (true) from a leader's death in a quiet world to the next leader.

    `slow`: a process's default times, every write takes 1 to 40 ms and every message 5 to 50.
    """
    world = World(seed, nodes, DEFAULT if slow else SMALL, pace=0.5 if slow else 0.03)
    if slow:
        world.slow_disk, world.delay = 1.0, (0.005, 0.05)
    world.run(3.0 + slow + world.random.random())
    leader, died, led = world.leaders()[0], world.now, []
    world.checks.on_leader = lambda node: led.append(world.now)
    leader.crash()
    world.run(died + 10.0)
    if not led:
        raise Broken("goes-on", "no leader 10 s after the last was killed")
    return led[0] - died


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--kills", action="store_true")
    parser.add_argument("--slow", action="store_true", help="with --kills: default times, slow writes and messages")
    args = parser.parse_args(argv)
    if not 1 <= args.nodes <= 9 or args.seeds < 1:
        parser.error("from 1 to 9 nodes, and one seed at least")
    begun, failed, played = time.monotonic(), 0, []
    for seed in range(args.seed, args.seed + args.seeds):
        try:
            played.append(kill(seed, args.nodes, args.slow) if args.kills else play(seed, args.nodes))
        except Exception as error:  # every failure of a schedule is one line that plays it again
            failed += 1
            more = " --kills" * args.kills + " --slow" * args.slow
            print(
                f"python -m linkdock.lab.virtual_log --seed {seed} --nodes {args.nodes}{more}  # "
                f"{type(error).__name__}: {error}",
                flush=True,
            )
    took = time.monotonic() - begun
    print(f"{len(played)} schedules of {args.nodes} held, {failed} failed, {took:.1f} s")
    if played:
        times = sorted(played if args.kills else [p.healed for p in played])
        print(
            f"{'next leader' if args.kills else 'answer after faults'}: median {times[len(times) // 2]:.2f} s, "
            f"p99 {times[int(len(times) * 0.99)]:.2f} s, longest {times[-1]:.2f} s"
        )
    if played and not args.kills:
        print(
            ", ".join(
                f"{sum(getattr(p, what) for p in played)} {what}"
                for what in ("committed", "writes", "reads", "restarts", "changes")
            )
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
