"""What operators see of the connections: a state file that the sender writes and `linkdock connections` reads."""

from __future__ import annotations

import logging
import os
import time
from pathlib import Path
from typing import Annotated

import msgspec

from ..state import statefile
from .manager import ConnectionManager

log = logging.getLogger(__name__)

MOST_ROWS = 512  # servers in the file, those with the most calls
VERSION = 1
# How connections end, in the manager's words.
CAUSES = (
    "too old",
    "too likely dead",
    "room for others",
    "retired by an outcome",
    "closed by the server",
    "ended in use",
    "no descriptor",
    "moved",
)

Count = Annotated[int, msgspec.Meta(ge=0)]


class Row(msgspec.Struct, kw_only=True, frozen=True):
    """One server: what is up now, what happened since the start, and what is known of it. Times in seconds."""

    server: str
    busy: Count
    idle: Count
    opening: Count
    waiting: Count
    target: Count
    cap: Count | None
    opened: Count
    ahead: Count
    failed: Count
    reused: Count
    found_dead: Count
    reset_at_first_byte: Count
    ended: dict[str, int]
    handshake_s: float
    call_s: float
    calls_per_s: float
    slow: bool
    idle_life_s: float | None


class State(msgspec.Struct, kw_only=True, frozen=True):
    """The whole file."""

    version: int
    unix: float
    pid: int
    up: Count
    peak: Count
    left_out: Count
    servers: list[Row]


def rows(manager: ConnectionManager, now: float) -> State:
    """The manager's facts, those servers first that were called the most."""
    ranked = sorted(
        manager.endpoints.items(), key=lambda pair: -pair[1].counts["reused"] - pair[1].counts["used first"]
    )
    told = []
    for server, e in ranked[:MOST_ROWS]:
        fast, _ = e.demand.rates(now)
        told.append(
            Row(
                server=server,
                busy=e.busy,
                idle=len(e.idle),
                opening=e.opening,
                waiting=len(e.waiting),
                target=manager.target(now, server, e),
                cap=None if e.cap == float("inf") else int(e.cap),
                opened=e.counts["opened"],
                ahead=e.counts["ahead"],
                failed=e.counts["failed"],
                reused=e.counts["reused"],
                found_dead=e.counts["found dead"],
                reset_at_first_byte=e.counts["reset at first byte"],
                ended={why: e.counts[why] for why in CAUSES if e.counts[why]},
                handshake_s=round(e.handshake, 4),
                call_s=round(e.demand.usual, 4),
                calls_per_s=round(fast, 2),
                slow=e.demand.slow(now),
                idle_life_s=manager.choice.life(server, e.kind),
            )
        )
    return State(
        version=VERSION,
        unix=round(time.time(), 3),
        pid=os.getpid(),
        up=len(manager),
        peak=manager.peak,
        left_out=max(0, len(ranked) - MOST_ROWS),
        servers=told,
    )


class StateFile:
    """Owner of the file. A disk that is full costs one log line."""

    def __init__(self, path: Path) -> None:
        """Write to `path` from now on."""
        self._path, self._failing = path, False

    def write(self, state: State) -> None:
        """Write the file anew; a failure is logged once, until a write succeeds again."""
        try:
            statefile.write(self._path, state)
        except OSError as bad:
            if not self._failing:
                log.error("the connections' state is not written: %s", bad)
            self._failing = True
        else:
            self._failing = False


def read(path: Path, server: str | None = None) -> State:
    """A state file, or what it says of one server. Raises ValueError that names the file and what is wrong."""
    state = statefile.read(path, State, VERSION, "state of connections")
    if server is not None:
        state = msgspec.structs.replace(state, servers=[r for r in state.servers if r.server == server], left_out=0)
        if not state.servers:
            raise statefile.StateError(f"{path}: no server {server}")
    return state


def plain(state: State) -> dict:
    """The state as maps and lists, for JSON."""
    return msgspec.to_builtins(state)


def table(state: State) -> list[str]:
    """Lines for a terminal."""
    ago = max(0.0, time.time() - state.unix)
    lines = [f"{state.up} connections up, {state.peak} at most, written {ago:.0f} s ago by process {state.pid}"]
    head = (
        "server",
        "busy",
        "idle",
        "opening",
        "waiting",
        "target",
        "cap",
        "opened",
        "ahead",
        "failed",
        "reused",
        "dead",
        "reset",
        "handshake",
        "call",
        "calls/s",
        "idle life",
    )
    cells = [head] + [
        (
            r.server,
            r.busy,
            r.idle,
            r.opening,
            r.waiting,
            r.target,
            "-" if r.cap is None else r.cap,
            r.opened,
            r.ahead,
            r.failed,
            r.reused,
            r.found_dead,
            r.reset_at_first_byte,
            f"{r.handshake_s * 1000:.0f} ms",
            f"{r.call_s * 1000:.0f} ms{' slow' if r.slow else ''}",
            f"{r.calls_per_s:g}",
            "-" if r.idle_life_s is None else f"{r.idle_life_s:g} s",
        )
        for r in state.servers
    ]
    widths = [max(len(str(row[n])) for row in cells) for n in range(len(head))]
    for row in cells:
        lines.append(
            "  ".join(
                str(cell).ljust(w) if n == 0 else str(cell).rjust(w)
                for n, (cell, w) in enumerate(zip(row, widths, strict=True))
            ).rstrip()
        )
    for row in state.servers:
        if row.ended:
            lines.append(f"{row.server} ended: " + ", ".join(f"{count} {why}" for why, count in row.ended.items()))
    if state.left_out:
        lines.append(f"and {state.left_out} more servers")
    return lines
