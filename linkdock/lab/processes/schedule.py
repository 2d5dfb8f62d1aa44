"""Faults over time, drawn from a seed: what happens to whom, when, for how long. Pure; healed by a stated time."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

# What befalls the way from one process to another, whom = (from, to).
CUT, DELAY, LOSS, TWICE, SHUFFLE = "cut", "delay", "loss", "twice", "shuffle"
HALF_OPEN, RESET, RUBBISH = "half-open", "reset", "rubbish"
# What befalls a process, whom = (name,).
STOP, KILL, LOSE, FULL, LEAVE, JUMP = "stop", "kill", "lose", "full", "leave", "jump"
WAYS = (CUT, DELAY, LOSS, TWICE, SHUFFLE, HALF_OPEN, RESET, RUBBISH)
PROCESSES = (STOP, KILL, LOSE, FULL, LEAVE, JUMP)
ENDS = (KILL, LOSE, LEAVE)  # the process is down until the fault is healed

MOST_FAULTS = 1000


class Fault(NamedTuple):
    """`at` and `lasting` in seconds; `given` is what it takes: seconds, a share, a number of bytes."""

    at: float
    what: str
    whom: tuple[str, ...]
    lasting: float = 0.0
    given: dict[str, float] = {}  # never changed

    @property
    def healed(self) -> float:
        """When the fault is over, in seconds from the start."""
        return self.at + self.lasting

    def __str__(self) -> str:
        """One line for the log of a run."""
        whom = ">".join(self.whom) if self.what in WAYS else ",".join(self.whom)
        given = "".join(f" {key}={value:g}" for key, value in self.given.items())
        return f"{self.at:6.2f} s  {self.what} {whom} for {self.lasting:.2f} s{given}"


def check(faults: Sequence[Fault], names: Sequence[str], healed_by: float) -> None:
    """Raises ValueError for a schedule that cannot be played, or that is not healed by then."""
    if len(faults) > MOST_FAULTS:
        raise ValueError(f"{len(faults)} faults are more than {MOST_FAULTS}")
    for fault in faults:
        if fault.what not in WAYS + PROCESSES:
            raise ValueError(f"{fault}: there is no such fault")
        if len(fault.whom) != (2 if fault.what in WAYS else 1) or not set(fault.whom) <= set(names):
            raise ValueError(f"{fault}: cannot befall that")
        if not 0 <= fault.at <= fault.healed <= healed_by:
            raise ValueError(f"{fault}: not healed within {healed_by:g} s")


def parted(side: Sequence[str], other: Sequence[str], at: float, lasting: float) -> list[Fault]:
    """Both sides hear nothing of one another."""
    return [Fault(at, CUT, way, lasting) for a in side for b in other for way in ((a, b), (b, a))]


def _given(what: str, luck: Random) -> dict[str, float]:
    match what:
        case "delay":
            return {"seconds": round(luck.uniform(0.02, 0.25), 3), "jitter": round(luck.uniform(0.0, 0.15), 3)}
        case "loss" | "twice" | "shuffle":
            return {"share": round(luck.uniform(0.05, 0.5), 2)}
        case "rubbish":
            return {"bytes": luck.randrange(1, 2000)}
        case "jump":
            return {"seconds": round(luck.choice((-1, 1)) * luck.uniform(60, 90_000))}
    return {}


def storm(
    seed: int, zones: dict[str, str], seconds: float, faults: int | None = None, loses: bool = True
) -> list[Fault]:
    """A storm on processes (name: zone): parted zones, bad ways, ends of processes, in any order and mixture.

    Processes are down or stopped one at a time and never the majority (what is down with a majority lost is a story of
    its own), parted and bad ways any. With `loses` one folder may be lost in a storm, at the most.
    """
    luck, names, made = Random(seed), list(zones), []
    down: list[tuple[float, float]] = []  # when a process is
    lost = not loses
    for _ in range(faults if faults is not None else luck.randrange(4, 9)):
        at = round(luck.uniform(0.0, seconds * 0.8), 3)
        lasting = round(luck.uniform(0.2, min(seconds * 0.4, seconds - at)), 3)
        what = luck.choices(("parted", *WAYS, *PROCESSES), (4, 3, 3, 3, 1, 1, 2, 2, 2, 4, 4, 1, 1, 2, 1))[0]
        if what == "parted":
            zone = zones[luck.choice(names)]
            inside = [n for n in names if zones[n] == zone]
            made += parted(inside, [n for n in names if n not in inside], at, lasting)
            continue
        whom = tuple(luck.sample(names, 2 if what in WAYS else 1))
        if what in (STOP, *ENDS, FULL):
            if any(at < until + 1.0 and begun < at + lasting + 1.0 for begun, until in down) or lost and what == LOSE:
                what = JUMP
            else:
                down.append((at, at + lasting))
                lost = lost or what == LOSE
        made.append(Fault(at, what, whom, lasting if what not in (RESET, RUBBISH, JUMP) else 0.0, _given(what, luck)))
    return sorted(made, key=lambda fault: (fault.at, fault.what, fault.whom))
