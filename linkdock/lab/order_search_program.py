"""The one module of the order search that knows the program: it runs `service.run.Process` without sockets.

The whole process is the program's own: `Process` with its start, beat, look, stop and end, `Sender`, `Books`, `Lives`,
`Ends`, `Facade` with the decisions, `Shift`, `Succession`, boards, journals (real files), `Call` and the connection
pool. Replaced are the front (`Front`), discovery's watch (`NoWatch`), the poster of notices (`ScriptedNotices`), the
stream of a connection, the loop's clock and timers, `time.time` and `time.monotonic`.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from contextvars import copy_context
from dataclasses import replace
from functools import cache
from pathlib import Path
from types import SimpleNamespace

from ..connections import pool
from ..protocol.calls import Call
from ..service import run, switched
from ..service.config import Config, check
from ..state.requests import Answer, Request, Taken
from .order_search_stand_ins import Front, NoWatch, ScriptedNotices, VirtualLoop
from .order_search_streams import MESSAGES, PROCESS, Observer, ScriptedStream

CLASS = "billing"
DESTINATION = 1
SERVERS = ("s1", "s2")
UNIX = 1_700_000_000.0  # Unix time where the world's clock says 0
TICK = 0.005  # seconds
SETTINGS = {
    "grades": [{"name": CLASS, "idempotency": "non_idempotent", "aim": 3.0, "hard-limit": 24.0, "keep-order": True}],
    "zones": ["a"],
    "machine-types": ["single"],
    "weights": "nominal",
    "tick": TICK,
    "limits": {
        "max-open": 50,
        "max-attempts": 6,
        "connect-timeout": 1.5,
        "idle-close": 5.0,
        "cancel": True,
        "retry-after": True,
        "max-retry-after": 3.0,
    },
    "extra": {"calls-out": 8},
    "rules": {"fall-multiple": 1.5, "tip-after": 3.0},
}


def _named(run_call: Callable[[Call], Coroutine]) -> Callable[[Call], Coroutine]:
    """A call whose connection knows its messages."""

    async def named(call: Call) -> None:
        MESSAGES.set(tuple(call.items))
        await run_call(call)

    return named


@cache
def _config(shared: bool) -> Config:
    rows = [
        {
            "host": name,
            "dial": f"127.0.0.1:{1 + n}",
            "site": "a",
            "class": "single",
            "block": DESTINATION,
            "health": "ready",
            "share": 100.0,
            "born_ms": 0,
        }
        for n, name in enumerate(SERVERS)
    ]
    told = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": rows},
    }
    return replace(check(told, Path()), accept_fd=0 if shared else None)


@contextmanager
def installed(loop: VirtualLoop, observer: Callable[[], Observer]) -> Iterator[None]:
    """Put the replacements in place. `observer` says who hears of connections just now."""
    clock = SimpleNamespace(**{**vars(time), "time": lambda: UNIX + loop.now, "monotonic": lambda: loop.now})
    stub = SimpleNamespace(SIGTERM=15, SIGHUP=1, SIGINT=2, SIG_IGN=1, signal=lambda *told: None)
    changes: list[tuple[object, str, object]] = [
        (run, "Frontend", Front),
        (run, "Watch", NoWatch),
        (run, "Notices", ScriptedNotices),
        (run, "inherited", lambda number: None),
        (run, "bind_sockets", lambda *a, **k: []),
        (run, "signal", stub),
        (run, "switched_on", lambda name: None),
        (switched, "switched_on", lambda name: None),
        (Call, "run", _named(Call.run)),
        (pool, "new_stream", lambda: ScriptedStream(observer())),
    ]
    changes += [
        (module, "time", clock)
        for name, module in list(sys.modules.items())
        if name.startswith(("linkdock.sender.", "linkdock.state.", "linkdock.service."))
        and getattr(module, "time", None) is time
    ]
    before = [(module, name, getattr(module, name)) for module, name, _ in changes]
    logged = logging.root.manager.disable
    for module, name, value in changes:
        setattr(module, name, value)
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        for module, name, value in before:
            setattr(module, name, value)
        logging.disable(logged)


class Program:
    """One process of the sender. `shared`: it may have a sibling on the same folder."""

    def __init__(self, loop: VirtualLoop, folder: Path, number: int, shared: bool) -> None:
        """Start process `number` on the state folder."""
        self._loop, self.number = loop, number
        self._context = copy_context()
        self._context.run(PROCESS.set, number)
        self.alive, self.stopping = True, False
        self._made: list[run.Process] = []
        config = replace(_config(shared), state=folder)
        self._run(lambda: self._made.append(run.Process(config)))
        self.process = self._made[0]
        self._main: list[asyncio.Task] = []
        self._run(lambda: self._main.append(loop.create_task(self.process.run())))

    def _run(self, work: Callable[[], object]) -> None:
        self._loop.call_soon(work, context=self._context)
        self._loop.settle()

    def has_ended(self) -> bool:
        """Whether it has ended by itself. Raises what it failed with."""
        if self.alive and self._main[0].done():
            self.alive = False
            if self._main[0].result() != 0:
                raise self.process._failed
        return not self.alive

    # --- Events.

    def accepts(self) -> bool:
        """Whether it takes new clients."""
        return self.process.frontend.accepts

    def ask(self, name: str, key: str, left: float, answer: Callable[[Answer], bool]) -> None:
        """A client hands a message in."""
        front = self.process.frontend
        front.waiting.add(name)

        def answered(said: Answer) -> bool:
            front.waiting.discard(name)
            return answer(said)

        request = Request(name, key, 0, DESTINATION, 0.0, b"body", answer=answered)
        self._run(lambda: self.process.sender.ask(CLASS, DESTINATION, left, request, False, False))

    @staticmethod
    def took(said: Answer) -> bool:
        """Whether an answer is `+OK`."""
        return isinstance(said, Taken)

    def beat(self) -> None:
        """One tick of the process: its timers, then a decision pass."""
        self._run(self.process._tick)

    def look(self) -> None:
        """It looks for its siblings now, and not only when its timer says so."""
        self._run(self.process._shift.look)

    def stop(self) -> None:
        """SIGTERM."""
        self.stopping = True
        self._run(self.process.stop)

    def kill(self) -> None:
        """SIGKILL: its descriptors close, and nothing that its tasks still do reaches a file."""
        self.alive = False
        process = self.process
        process._ended = True
        process._ticks.stop()
        (process._shift or process._journal).close()
        for task in [*process._tasks, *self._main]:
            task.cancel()
        self._loop.settle()

    def owes(self) -> dict[str, str]:
        """The notices that wait for the platform's answer, by message."""
        return self.process._notices.owed

    def confirm(self, name: str) -> str:
        """The platform answers 204 to the notice about one message; the status that it heard."""
        statuses: list[str] = []
        self._run(lambda: statuses.append(self.process._notices.confirm(name)))
        return statuses[0]
