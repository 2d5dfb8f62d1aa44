"""The file that outlasts a restart and that `linkdock clients` reads: who is known, who is here, who was refused."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated

import msgspec

from ..state import statefile
from .gate import Gate

MOST_LIVE, VERSION = 256, 1  # addresses with connections that are told of
Whole = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class Known(msgspec.Struct, kw_only=True, frozen=True):
    """An address and what it did, as of the file's writing."""

    address: str
    good: Positive
    bad: Positive


class Live(msgspec.Struct, kw_only=True, frozen=True):
    """An address that is connected now."""

    address: str
    connections: Whole
    standing: str


class Refused(msgspec.Struct, kw_only=True, frozen=True):
    """An address that was refused lately."""

    address: str
    ago_s: float
    why: str


class State(msgspec.Struct, kw_only=True, frozen=True):
    """The whole file."""

    version: int
    unix: float  # by the wall clock, to be shown
    clock: Positive | None = None  # by the sender's own clock, which is not stepped; None of earlier versions
    strangers: Whole
    known: list[Known]
    live: list[Live]
    refused: dict[str, Whole]
    last: list[Refused]


def state(gate: Gate, now: float, clock: float) -> State:
    """What the gate knows at `now`, which is `clock` on the sender's clock."""
    conduct = gate.conduct
    return State(
        version=VERSION,
        unix=round(time.time(), 3),
        clock=round(clock, 3),
        strangers=gate.strangers,
        known=[Known(address=key, good=round(good, 3), bad=round(bad, 3)) for key, good, bad in conduct.known(now)],
        live=[
            Live(address=key, connections=count, standing=conduct.standing(now, key))
            for key, count in gate.live.most_common(MOST_LIVE)
        ],
        refused=dict(gate.refused),
        last=[
            Refused(address=key, ago_s=round(now - when, 3), why=why)
            for key, (when, why) in reversed(gate.last.items())
        ],
    )


def read(path: Path) -> State:
    """Raises ValueError that names the file and what is wrong."""
    return statefile.read(path, State, VERSION, "state of clients")


def table(told: State) -> list[str]:
    """Lines for a terminal."""
    here = sum(row.connections for row in told.live)
    lines = [
        f"{here} connections, {told.strangers} of strangers; {len(told.known)} addresses known; written "
        f"{max(0.0, time.time() - told.unix):.0f} s ago"
    ]
    lines += [f"  {row.address:<40} {row.connections:>6}  {row.standing}" for row in told.live]
    lines += [f"refused {count} x {why}" for why, count in told.refused.items()]
    lines += [f"  {row.address:<40} {row.ago_s:>8.1f} s before: {row.why}" for row in told.last]
    return lines


def plain(told: State) -> dict:
    """The state as maps and lists, for JSON, without what the sender keeps for itself."""
    shown = msgspec.to_builtins(told)
    del shown["clock"]
    return shown


def restore(gate: Gate, told: State, now: float, clock: float) -> int:
    """Known addresses of an earlier life, faded by the time since; how many. `now` is `clock` on the sender's clock."""
    past = time.time() - told.unix if told.clock is None else clock - told.clock
    for row in told.known:
        gate.conduct.restore(now - max(0.0, past), row.address, row.good, row.bad)
    return len(told.known)
