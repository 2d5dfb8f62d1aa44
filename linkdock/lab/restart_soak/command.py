"""Plays many runs of the soak of restarts side by side and prints what was found."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

from .plan import LONGEST_HOLD, draw
from .play import play


@dataclass(frozen=True, slots=True)
class Played:
    """What came of one seed."""

    seed: int
    ends: list[str]  # of each life
    requests: int
    taken: int
    longest_end: float  # seconds from SIGTERM to the end of the process
    calls: int
    untried: int  # messages that ended by a notice without a call
    held_up: float  # seconds for which the machine held the run up; what the clock judges counts only up to 0.15
    findings: list[str]
    faults: tuple[str, ...] = ()

    @property
    def again(self) -> str:
        """The command that plays this run once more."""
        faults = f" --faults {','.join(self.faults)}" if self.faults else ""
        return f"linkdock lab restart-soak --seed {self.seed} --runs 1{faults}"


def play_seed(seed: int, planted: str | None = None, faults: tuple[str, ...] = ()) -> Played:
    """One run; `planted` names a fault that the program then has, `faults` those of its machine."""
    findings, history = play(seed, planted, faults)
    requests = list(history.requests.values())
    longest = max((life.over - life.told for life in history.lives if life.told is not None), default=0.0)
    ends = [life.end for life in draw(seed).lives]
    return Played(
        seed,
        ends,
        len(requests),
        sum(one.taken for one in requests),
        round(longest, 2),
        sum(len(calls) for calls in history.calls.values()),
        sum(one.taken and one.name in history.notices and one.name not in history.calls for one in requests),
        round(history.held_up, 3),
        findings,
        faults,
    )


def play_all(
    first: int, runs: int, jobs: int, planted: str | None = None, faults: tuple[str, ...] = ()
) -> Iterator[Played]:
    """Runs with seeds from `first` on, so many side by side, in the order of their seeds."""
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_seed, range(first, first + runs), [planted] * runs, [faults] * runs)


def report(
    first: int,
    runs: int,
    jobs: int,
    planted: str | None,
    faults: tuple[str, ...],
    as_json: bool,
    say: Callable[[str], None],
) -> int:
    """Play and say what was found; how many findings."""
    found = held_up = taken = calls = untried = 0
    for one in play_all(first, runs, jobs, planted, faults):
        taken, calls, untried = taken + one.taken, calls + one.calls, untried + one.untried
        found += len(one.findings)
        held_up += one.held_up > LONGEST_HOLD
        if as_json:
            say(json.dumps(asdict(one) | {"again": one.again}))
            continue
        say(f"seed {one.seed}: {', '.join(one.ends)}; {one.taken} of {one.requests} taken")
        say(f"    longest end {one.longest_end} s, held up {one.held_up} s")
        for text in one.findings:
            say(f"    {text}")
        if one.findings:
            say(f"    again: {one.again}")
    if held_up:
        say(f"{held_up} runs were held up by the machine for over {LONGEST_HOLD} s and not judged by the clock")
    say(f"taken {taken}, calls {calls}, ended without a call {untried}")
    say(f"runs {runs}, findings {found}")
    return found
