"""The shape of a world: what two schedules must have in common to count as one state.

Every object of the program that can be reached from its processes is walked. Times are folded to past and future, and
what only counts (sizes, descriptors, turns of a timer wheel) or draws by chance is left out, so that two states that
differ by milliseconds are one. Of a journal counts what a reader would find in it.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections import deque
from collections.abc import Callable
from enum import Enum
from math import inf, isnan
from pathlib import Path
from random import Random

from ..connections.pool import Connection
from ..decisions.estimates import Estimate
from ..interface import HostEntry, Settings
from ..protocol.http import AnswerParser
from ..service.config import Config
from ..state.board import Figures
from ..state.journal_records import Kept, owed
from ..state.roster import Roster
from ..state.wheel import Timer, Wheel
from .order_search_streams import ScriptedStream
from .order_search_world import World

LEFT_OUT = (
    Random,
    Path,
    Config,
    Settings,
    HostEntry,
    Estimate,
    Roster,
    AnswerParser,
    Connection,
    asyncio.AbstractEventLoop,
    asyncio.Future,
    asyncio.TimerHandle,
)
SOON = 0.02  # seconds: what is due this soon counts as due
COUNTS = frozenset(
    {
        "_file",
        "_due",
        "_blind_until",
        "_lock",
        "_size",
        "_live",
        "_turn",
        "turn",
        "_hold",
        "_batches",
        "_inode",
        "_latest",
        "timer",
        "lot",
        "_last",
        "_most_file",
        "_most_live",
        "_context",
        "_read_of",
        "_numbers",
        "_tasks",
        "_orders",
    }
)


class _Walk:
    """One walk; a thing that is met again stands for its first meeting."""

    def __init__(self, now: float) -> None:
        self._now, self._met = now, {}

    def of(self, value: object) -> object:
        kind = type(value)
        if value is None or kind in (bool, int, str, bytes):
            return value
        if kind is float:
            return value if value in (inf, -inf) or isnan(value) else value > self._now + SOON
        if isinstance(value, Enum):
            return value.name
        if kind in (list, tuple, deque):
            return tuple(map(self.of, value))
        if kind in (set, frozenset):
            return tuple(sorted(repr(self.of(one)) for one in value))
        if kind is dict:
            return tuple((self.of(key), self.of(one)) for key, one in value.items())
        if isinstance(value, LEFT_OUT):
            return kind.__name__
        if isinstance(value, asyncio.Event):
            return value.is_set()
        if callable(value) and not hasattr(value, "__dict__") or hasattr(value, "__qualname__"):
            return getattr(value, "__qualname__", kind.__name__)
        return self._object(value, kind)

    def _object(self, value: object, kind: type) -> object:
        if id(value) in self._met:
            return self._met[id(value)]
        self._met[id(value)] = f"#{len(self._met)}"
        if isinstance(value, Wheel):
            timers = [timer.call for spoke in value._spokes.values() for timer in spoke]
            return tuple(sorted(getattr(call, "__qualname__", "") for call in timers))
        if isinstance(value, Timer | ScriptedStream):
            return kind.__name__
        if hasattr(value, "_offset") and hasattr(value, "path"):  # a reader of another journal: what it has read
            return kind.__name__, self.of(value.open), _size(value.path) > value._offset
        if kind is Figures:
            return value.state  # the counts bound slots and room, which are never short here
        if isinstance(value, tuple):
            return kind.__name__, *map(self.of, value)
        if not kind.__module__.startswith("linkdock."):
            return kind.__name__
        return kind.__name__, *((name, self.of(one)) for name, one in _fields(value, kind) if name not in COUNTS)


def _fields(value: object, kind: type) -> list[tuple[str, object]]:
    names = [name for base in kind.__mro__ for name in getattr(base, "__slots__", ())]
    slots = [(name, getattr(value, name)) for name in names if hasattr(value, name)]
    return slots + list(getattr(value, "__dict__", {}).items())


def _size(path: Path) -> int:
    return path.stat().st_size if path.exists() else 0


def _kept(kept: Kept) -> tuple:
    return kept.id, kept.used, kept.tries, tuple(sorted(kept.doubt)), str(kept.notice)


def _stamped(folder: Path) -> list[str]:
    """The messages of all journals in the order in which they say that they were taken."""
    found = [
        (getattr(kept, "taken_at", 0.0), kept.id) for path in folder.glob("journal*") for kept in owed(path).values()
    ]
    return [name for _, name in sorted(set(found))]


def _files(folder: Path) -> list[tuple]:
    return [
        (path.name, tuple(map(_kept, owed(path).values())))
        for path in sorted(folder.iterdir())
        if path.name.startswith("journal")
    ] + [path.name for path in sorted(folder.glob("lock.*"))]


def shape(world: World) -> bytes:
    """A digest that is equal for equal states."""
    walk: Callable[[object], object] = _Walk(world.loop.now).of
    messages = [
        (m.id, m.heard.name, m.there, m.may_have_run, m.delivered, m.noticed, m.until > world.loop.now)
        for m in world.messages
    ]
    handed_in = [(key, [m.id for m in queue]) for key, queue in world.referee.handed_in.items()]
    streams = [(s.messages, s.process, s.state.name) for s in world.streams if s.state.name != "ENDED"]
    programs = [(p.number, p.stopping, walk(p.process)) if p.alive else p.number for p in world.programs]
    told = repr(
        (
            messages,
            handed_in,
            streams,
            programs,
            _files(world.folder),
            _stamped(world.folder),
            sorted(world.used.items()),
        )
    )
    return hashlib.blake2b(told.encode(), digest_size=16).digest()
