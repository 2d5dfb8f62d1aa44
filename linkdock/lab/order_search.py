"""Search of small cases for the rule `order`: every order of events, by replay of the program itself.

Two keys, three messages, up to three processes of one sender; `order_search_world` lists the events and
`order_search_referee` the checks. Breadth first: each edge replays a schedule from an empty folder on a virtual clock,
so that a counterexample is its list of events, and the first is a shortest. `--walks` draws whole schedules by chance
in its place, which see deep states and count none; what they find is shortened.

    python -m linkdock.lab.order_search [--plan NAME] [--states N] [--seconds S] [--fault NAME] [--all]
    python -m linkdock.lab.order_search --plan NAME --walks N [--seed N]
    python -m linkdock.lab.order_search --plan NAME --replay "start; take A1@1; beat 1; ..."

Left out: the front's sockets and its limits, discovery's news, shared calls of several messages, classes that may be
repeated, waits that servers tell, kills in the middle of one event (tests/test_succession.py has those of hand-overs),
the network's delays but for the close of a call that is given up (a dead process's connections end with it), a full
or ill disk, and a process that is stopped by SIGSTOP. Keys and servers are not folded by symmetry; states that differ
in times alone are (order_search_shape).
"""

from __future__ import annotations

import argparse
import sys
import time
from contextlib import nullcontext
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

from ..errors import LinkdockError
from .order_search_faults import FAULTS
from .order_search_finish import finish
from .order_search_plans import PLANS, Bounds
from .order_search_program import VirtualLoop, installed
from .order_search_referee import Check, RuleBrokenError
from .order_search_shape import shape
from .order_search_world import World

MEMORY_FOLDER = Path("/dev/shm")  # where it is, journals cost no disk
MOST_STEPS = 40  # of one walk


@dataclass(frozen=True)
class Counterexample:
    """A check that failed, and the schedule that led there."""

    broken: RuleBrokenError
    events: tuple[str, ...]

    def __str__(self) -> str:
        """The failed check, and below it the events that lead there."""
        return f"{self.broken}\n    {'; '.join(self.events)}"


@dataclass
class Found:
    """What a search came to. `whole`: every state within the bounds was seen."""

    states: int = 0
    edges: int = 0
    depth: int = 0
    whole: bool = False
    walks: int = 0
    seconds: float = 0.0
    counterexamples: dict[tuple[Check, str], Counterexample] = field(default_factory=dict)


class SearchLimitError(LinkdockError):
    """A bound of the search is met, or the first counterexample where one is enough."""

    code = "LD-LAB-LIMIT"
    what = "a search of small cases met its bound of states or seconds"
    remedy = "Nothing: what was searched until then is printed; give it more by --states and --seconds"


class Search:
    """Over one plan's events, within so many states and seconds; `go_on` beyond the first counterexample."""

    def __init__(
        self,
        bounds: Bounds,
        states: int = 100_000,
        seconds: float = 60.0,
        fault: str = "",
        go_on: bool = False,
        ignored: frozenset[Check] = frozenset(),
        finish_every: int = 4,
    ) -> None:
        """`finish_every`: of so many states one is played to its end, to see that each message ends."""
        self._bounds, self._most_states, self._seconds = bounds, states, seconds
        self._fault, self._go_on, self._ignored, self._finish_every = fault, go_on, ignored, finish_every
        self._loop = VirtualLoop()
        self._world: World | None = None
        self._found = Found()
        self._until = 0.0

    def run(self) -> Found:
        """Breadth first."""
        return self._within(self._breadth_first)

    def walk(self, count: int, seed: int) -> Found:
        """So many schedules by chance, each brought to its end."""
        return self._within(lambda: self._walks(count, Random(seed)))

    def replay(self, events: tuple[str, ...]) -> Found:
        """Play one schedule, and from its end on a fair one. Raises ValueError for an event that cannot come."""
        self._finish_every = 1
        return self._within(lambda: self._state(events))

    def _within(self, work) -> Found:
        began = time.monotonic()
        self._until = began + self._seconds
        planted = FAULTS[self._fault].planted() if self._fault else nullcontext()
        try:
            with installed(self._loop, lambda: self._world), planted:
                work()
        except SearchLimitError:
            pass
        finally:
            self._loop.close()
        self._found.seconds = time.monotonic() - began
        return self._found

    def _breadth_first(self) -> None:
        found, begin = self._found, self._bounds.begin
        key, enabled = self._state(begin)
        seen, front = {key}, [(begin, enabled)]
        found.states = 1
        while front:
            following = []
            for events, enabled in front:
                for event in enabled:
                    self._go_on_only_within_bounds()
                    found.edges += 1
                    after = (*events, event)
                    key, coming = self._state(after)
                    if key not in seen:
                        seen.add(key)
                        found.states = len(seen)
                        following.append((after, coming))
            found.depth += bool(following)
            front = following
        found.whole = True

    def _go_on_only_within_bounds(self) -> None:
        """Raises SearchLimitError."""
        if time.monotonic() > self._until or self._found.states >= self._most_states:
            raise SearchLimitError
        if self._found.counterexamples and not self._go_on:
            raise SearchLimitError

    def _new_world(self) -> World:
        parent = MEMORY_FOLDER if MEMORY_FOLDER.is_dir() else None
        self._world = World(self._loop, self._bounds, parent, self._ignored)
        return self._world

    def _state(self, events: tuple[str, ...]) -> tuple[bytes, list[str]]:
        """The shape of the state behind a schedule, and what may come next: nothing behind a counterexample."""
        world = self._new_world()
        try:
            for event in events:
                world.apply(event)
            key, enabled = shape(world), list(world.enabled())
            if self._finish_every and key[0] % self._finish_every == 0:
                finish(world)
        except RuleBrokenError as broken:
            self._note(Counterexample(broken, events))
            return b"", []
        finally:
            world.close()
        return key, enabled

    def _note(self, one: Counterexample) -> None:
        self._found.counterexamples.setdefault((one.broken.check, one.broken.kind), one)

    def _walks(self, count: int, random: Random) -> None:
        for _ in range(count):
            self._go_on_only_within_bounds()
            self._found.walks += 1
            world, events = self._new_world(), []
            try:
                for event in self._bounds.begin:
                    events.append(event)
                    world.apply(event)
                for _ in range(random.randrange(MOST_STEPS)):
                    if not (enabled := list(world.enabled())):
                        break
                    events.append(random.choice(enabled))
                    world.apply(events[-1])
                    self._found.edges += 1
                finish(world)
            except RuleBrokenError as broken:
                if (broken.check, broken.kind) not in self._found.counterexamples:
                    self._note(self._shortened(Counterexample(broken, tuple(events))))
            finally:
                world.close()

    def _shortened(self, found: Counterexample) -> Counterexample:
        """The same without every event that it does not need."""
        at = len(found.events) - 1
        while at >= len(self._bounds.begin):
            fewer = found.events[:at] + found.events[at + 1 :]
            broken = self._breaks(fewer)
            if broken is not None and broken.check is found.broken.check:
                found = Counterexample(broken, fewer)
            at -= 1
        return found

    def _breaks(self, events: tuple[str, ...]) -> RuleBrokenError | None:
        world = self._new_world()
        try:
            for event in events:
                if event not in world.enabled():
                    return None
                world.apply(event)
            finish(world)
        except RuleBrokenError as broken:
            return broken
        finally:
            world.close()
        return None


def _report(name: str, bounds: Bounds, found: Found) -> None:
    how = f"{found.walks} walks" if found.walks else f"{found.states} states"
    whole = "" if found.walks else f", depth {found.depth}, {'all' if found.whole else 'not all'}"
    print(f"{name}: {how}, {found.edges} edges{whole} within {bounds}, {found.seconds:.1f} s", flush=True)
    for one in found.counterexamples.values():
        print(f"{name}: {one}", flush=True)


def main(argv: list[str] | None = None) -> int:
    """Run the command line; 1 where a counterexample was found."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--plan", choices=PLANS, action="append")
    parser.add_argument("--states", type=int, default=100_000)
    parser.add_argument("--seconds", type=float, default=60.0, help="of each plan")
    parser.add_argument("--fault", choices=FAULTS, default="", help="plant a fault")
    parser.add_argument("--all", action="store_true", help="go on beyond the first counterexample")
    parser.add_argument("--ignore", choices=[check.name for check in Check], action="append", default=[])
    parser.add_argument("--walks", type=int, default=0, help="so many schedules by chance")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--prompt", action="store_true", help="the others look at once where a process starts")
    parser.add_argument("--replay", metavar="EVENTS")
    args = parser.parse_args(argv)
    ignored, broken = frozenset(Check[name] for name in args.ignore), False
    for name in args.plan or PLANS:
        bounds = replace(PLANS[name], prompt=args.prompt)
        search = Search(bounds, args.states, args.seconds, args.fault, args.all, ignored)
        if args.replay is not None:
            found = search.replay(tuple(event.strip() for event in args.replay.split(";")))
        else:
            found = search.walk(args.walks, args.seed) if args.walks else search.run()
        _report(name, bounds, found)
        broken = broken or bool(found.counterexamples)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
