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

FAULTY, WITHIN = 5.0, 2.0   # seconds of faults; then a leader is there and a proposal answered within


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

    def __init__(self, world: World, until: float) -> None:
        self.world, self.random, self.until = world, world.random, until
        self.kinds = [self.crash, self.crash, self.crash_leader, self.crash_leader, self.pause, self.pause_leader,
                      self.cut_one, self.cut_one, self.cut_leader, self.halves, self.reset, self.lossy, self.lossy,
                      self.hand_over, self.hand_over, self.lose_folder, self.more, self.less, self.power]
        self.restarts = self.changes = 0
        self.next()

    def next(self) -> None:
        wait = self.random.expovariate(1 / 0.25)
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

    def clear(self) -> None:
        self.world.loss = self.world.double = self.world.far = 0.0

    def hand_over(self) -> None:
        node = self._leader()
        if node.up and not node.paused:
            node.core.hand_over(node.clock())
            node.turn()

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

    def heal(self) -> None:
        self.clear()
        self.world.cut.clear()
        for node in list(self.world.nodes.values()):
            self.world.restart(node)
            if node.paused:
                node.resume = self.world.now
                node.wake()


def play(seed: int, nodes: int = 5, settings: LogSettings = SMALL, node_class: type[Node] = Node,
         faulty: float = FAULTY) -> Played:
    """One schedule. Raises Broken, or whatever a log raises that must not."""
    world = World(seed, nodes, settings, node_class=node_class)
    faults = Faults(world, faulty)
    world.run(faulty)
    faults.heal()
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
    return Played(len(world.checks.chosen), len(world.reads), sum(w[4] is not None for w in writes), end - faulty,
                  faults.restarts, faults.changes)


def _settled(world: World) -> None:
    """All that was committed is there, and the same, wherever it should be."""
    leader = world.leaders()[0] if world.leaders() else None
    if leader:
        world.checks.kept(leader.core.config_at(leader.core.commit).voters)
    states = {}
    for node in world.nodes.values():
        if node.up and states.setdefault(node.applied, node.register.image()) != node.register.image():
            raise Broken("same-state", f"{node.id} is another at {node.applied}")


def kill(seed: int, nodes: int = 5) -> float:
    """Seconds (true) from a leader's death in a quiet world to the next leader."""
    world = World(seed, nodes)
    world.run(3.0 + world.random.random())
    leader, died, led = world.leaders()[0], world.now, []
    world.checks.on_leader = lambda node: led.append(world.now)
    leader.crash()
    world.run(died + 5.0)
    if not led:
        raise Broken("goes-on", "no leader 5 s after the last was killed")
    return led[0] - died


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--kills", action="store_true")
    args = parser.parse_args(argv)
    if not 1 <= args.nodes <= 9 or args.seeds < 1:
        parser.error("from 1 to 9 nodes, and one seed at least")
    begun, failed, played = time.monotonic(), 0, []
    for seed in range(args.seed, args.seed + args.seeds):
        try:
            played.append(kill(seed, args.nodes) if args.kills else play(seed, args.nodes))
        except Exception as error:   # every failure of a schedule is one line that plays it again
            failed += 1
            more = " --kills" if args.kills else ""
            print(f"python -m linkdock.lab.virtual_log --seed {seed} --nodes {args.nodes}{more}  # "
                  f"{type(error).__name__}: {error}", flush=True)
    took = time.monotonic() - begun
    print(f"{len(played)} schedules of {args.nodes} held, {failed} failed, {took:.1f} s")
    if played:
        times = sorted(played if args.kills else [p.healed for p in played])
        print(f"{'next leader' if args.kills else 'answer after faults'}: median {times[len(times) // 2]:.2f} s, "
              f"p99 {times[int(len(times) * 0.99)]:.2f} s, longest {times[-1]:.2f} s")
    if played and not args.kills:
        print(", ".join(f"{sum(getattr(p, what) for p in played)} {what}"
                        for what in ("committed", "writes", "reads", "restarts", "changes")))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
