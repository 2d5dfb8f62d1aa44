"""Plays one run of the soak of restarts: processes of the program one after another on one folder, under a plan."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

from .. import rig
from ..processes.fleet import Child
from . import history as seen
from .history import History
from .judge import MEMORY_MB, NO_ANSWER, judge
from .peers import CLASSES, SoakAgent, SoakClient, SoakMembers
from .plan import (
    ANSWERS,
    HELD_UP,
    KILL_AFTER,
    KILL_BEHIND_ANSWER,
    KILLS,
    MEMBERS,
    RELOAD_AND_TERM,
    RELOAD_TWICE,
    RESTART_AFTER,
    TERM_EARLY,
    TERM_TWICE,
    UPGRADE,
    Life,
    Plan,
    draw,
)
from .system_faults import SOCKETS

LONGEST = 90.0  # seconds of a run
CLOCK = 0.02  # seconds between two looks at the clock
SAMPLE = 0.1  # seconds between two looks at a process's descriptors and memory
SETTLE = 3.0  # seconds beyond the last message's time in which every end must be known
TOGETHER = 0.6  # seconds with both processes of an upgrade
EARLY = 5.0  # times the time drawn for a hold, from the start of a process until it is told to end
BEFORE_END = 0.4  # seconds for which members behave so until the end of a life begins
SILENCE = 1.5  # seconds for which discovery is silent
STEPS = (-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0)  # seconds by which the wall clock may be off after a step
BEFORE, BETWEEN, AFTER = "before the end", "while none runs, or two do", "after the start"


class SoakChild(Child):
    """A process whose lives have names of their own in the run's record."""

    life: seen.Life


def settings(plan: Plan) -> dict:
    """What the platform would tell the sender of this run."""
    told = rig.settings(plan.slots, 400)
    effects = ("read_like", "non_idempotent", "idempotency_key", "non_idempotent")
    told["grades"] = [
        {"name": name, "idempotency": effect, "aim": 0.8, "hard-limit": plan.deadline, "late-share": 0.1}
        for name, effect in zip(CLASSES, effects, strict=True)
    ]
    told["grades"][2] |= {"window": plan.window, "group": "all"}
    told["grades"][3] |= {"keep-order": True}
    return told


class Run:
    """One run; `history` is what its peers saw."""

    def __init__(self, plan: Plan, planted: str | None = None, faults: tuple[str, ...] = ()) -> None:
        """`planted` names a fault of `planted.py` that the program has, `faults` those of `system_faults.py`."""
        self._plan, self._planted, self.history = plan, planted, History()
        self._faults, self._steps = faults, Random(f"steps {plan.seed}")
        self._agent = SoakAgent(self.history)
        self._members = SoakMembers(MEMBERS, self.history, plan.idle_life)
        self._children: list[SoakChild] = []
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=256) if plan.shares_socket else None
        self._port = 0
        self._clients = [SoakClient(n, plan, self.history, lambda: self._port) for n in range(plan.clients)]
        self._tasks: list[asyncio.Task] = []

    async def play(self) -> None:
        """Play it. Raises TimeoutError, OSError or RuntimeError where it cannot go on."""
        await self._agent.start()
        await self._members.start()
        self._agent.list(lambda: (self._row(n) for n in range(MEMBERS)))
        try:
            async with asyncio.timeout(LONGEST):
                await self._play_ends()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for child in self._children:
                self._take_log(child)
                child.close()
            self._members.close()
            self._agent.close()
            if self._socket is not None:
                self._socket.close()
            self.history.over = time.monotonic()

    def _row(self, number: int) -> dict:
        return {
            "host": f"m{number}",
            "dial": self._members.dial,
            "site": "a",
            "class": "single",
            "block": number,
            "health": "draining" if number in self.history.drained else "ready",
            "share": 1.0,
            "born_ms": 0,
        }

    # --- Lives.

    async def _play_ends(self) -> None:
        self._tasks.append(asyncio.create_task(self._watch_clock()))
        child = await self._begin()
        self._tasks += [asyncio.create_task(client.run()) for client in self._clients]
        self._tasks.append(asyncio.create_task(self._crowd()))
        for number, life in enumerate(self._plan.lives):
            if number == 0 and self._plan.drained is not None:
                self._tasks.append(asyncio.create_task(self._drain(self._plan.drained)))
            if number == 1 and self._plan.silent_discovery:
                self._tasks.append(asyncio.create_task(self._silence()))
            child = await self._end(child, life)
        await self._finish(child)

    async def _finish(self, child: SoakChild) -> None:
        """The last life: members answer, clients stop, and every message must have its end."""
        self._conduct((ANSWERS,) * MEMBERS)
        await asyncio.sleep(0.5)
        for client in self._clients:
            client.stopped = True
        until = time.monotonic() + self._plan.deadline + SETTLE
        while time.monotonic() < until and self._open():
            await asyncio.sleep(0.05)
        await self._stop(child)

    def _open(self) -> bool:
        seen_by = self.history
        return any(
            one.taken
            and one.name not in seen_by.notices
            and not any(c.may_have_run for c in seen_by.calls.get(one.name, ()))
            for one in list(seen_by.requests.values())
        )

    async def _begin(self, ready: bool = True) -> SoakChild:
        first = self._children[0] if self._children else None
        child = SoakChild("n0", self._agent, settings(self._plan), dict.fromkeys(self._plan.deploy, {"on": True}))
        if "records" in self._plan.deploy:
            path = child.path / "deploy" / "records.json"
            path.write_text(json.dumps({"on": True, "file": str(child.path / "records.jsonl")}))
        self._children.append(child)
        if first is None:
            self._clock_file.write_text("0")
        config = json.loads((child.path / "config.json").read_text())
        config["limits"] = {"memory_mb": MEMORY_MB, "sockets": self._plan.sockets, "disk_mb": 3}
        config["listen"] = f"127.0.0.1:{0 if self._socket is not None else self._port}"
        (child.path / "config.json").write_text(json.dumps(config))
        if first is not None:
            child.extra["RELAY_STATE"] = str(first.path / "state")
        if self._socket is not None:
            child.extra["RELAY_ACCEPT_FD"] = str(self._socket.fileno())
            child.inherited = (self._socket.fileno(),)
        if self._planted is not None:
            child.module = "linkdock.lab.restart_soak.planted"
            child.extra["LINKDOCK_PLANTED"] = self._planted
        if self._faults:
            child.module = "linkdock.lab.restart_soak.system_faults"
            child.extra["LINKDOCK_FAULTS"] = ",".join(self._faults)
            child.extra["LINKDOCK_FAULT_SEED"] = f"{self._plan.seed} {len(self._children)}"
            child.extra["LINKDOCK_CLOCK"] = str(self._clock_file)
        child.life = seen.Life(len(self._children), time.monotonic())
        self.history.lives.append(child.life)
        if not ready:
            await child.begin()
            return child
        await child.start()
        child.life.ready = time.monotonic()
        self._port = child.port if self._socket is None else self._socket.getsockname()[1]
        self._tasks.append(asyncio.create_task(self._sample(child)))
        return child

    @property
    def _clock_file(self) -> Path:
        """What holds the seconds by which the processes' wall clock is off."""
        return self._children[0].path / "clock"

    def _step(self) -> None:
        """Step the wall clock of all processes from now on."""
        beside = self._clock_file.with_suffix(".new")
        beside.write_text(str(self._steps.choice(STEPS)))
        beside.replace(self._clock_file)

    async def _end(self, child: SoakChild, life: Life) -> SoakChild:
        """Bring this life to its end as the plan says; the next one, ready."""
        when = self._steps.choice((BEFORE, BETWEEN, AFTER))
        await asyncio.sleep(life.serves)
        if when == BEFORE:
            self._step()
        self._conduct(life.conducts)
        await asyncio.sleep(BEFORE_END)  # messages have to wait for those that do not answer
        if life.end == UPGRADE:
            newer = await self._begin()
            if when == BETWEEN:
                self._step()
            await asyncio.sleep(TOGETHER)
            await self._stop(child)
            self._conduct((ANSWERS,) * MEMBERS)
            if when == AFTER:
                self._step()
            return newer
        if life.end == KILL_BEHIND_ANSWER:
            await self._next_answer()
        if life.end in KILLS:
            child.signal(signal.SIGKILL)
            child.life.killed = time.monotonic()
            await self._gone(child)
        else:
            await self._signals(child, life)
            await self._stop(child)
        await asyncio.sleep(RESTART_AFTER)
        if when == BETWEEN:
            self._step()
        self._conduct((ANSWERS,) * MEMBERS)
        if life.end == TERM_EARLY:
            early = await self._begin(ready=False)
            await asyncio.sleep(life.held_up * EARLY)
            await self._stop(early, early=True)
        newer = await self._begin()
        if when == AFTER:
            self._step()
        return newer

    async def _signals(self, child: SoakChild, life: Life) -> None:
        """What comes before SIGTERM."""
        if life.end in (RELOAD_TWICE, RELOAD_AND_TERM):
            child.signal(signal.SIGHUP)
        if life.end == RELOAD_TWICE:
            child.signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        if life.end == HELD_UP:
            child.signal(signal.SIGSTOP)
            await asyncio.sleep(life.held_up)
            child.signal(signal.SIGCONT)
        if life.end == TERM_TWICE:
            child.signal(signal.SIGTERM)

    async def _stop(self, child: SoakChild, early: bool = False) -> None:
        """As the platform does: SIGTERM, and SIGKILL after 3.7 s whether or not it has gone."""
        began = time.monotonic()
        child.signal(signal.SIGTERM)
        if early:
            child.life.early = True
        else:
            child.life.told = began
        try:
            await asyncio.wait_for(child.process.wait(), KILL_AFTER)
        except TimeoutError:
            child.signal(signal.SIGKILL)
            child.life.killed = time.monotonic()
        await self._gone(child)

    async def _gone(self, child: SoakChild) -> None:
        child.life.status = await asyncio.wait_for(child.process.wait(), 5.0)
        child.life.over = time.monotonic()
        self._take_log(child)

    def _take_log(self, child: SoakChild) -> None:
        with contextlib.suppress(OSError):
            child.life.log = child.text()

    async def _next_answer(self) -> None:
        """Until a client has just heard that its message is taken on."""
        waits = []
        for client in self._clients:
            client.answered.clear()
            waits.append(asyncio.create_task(client.answered.wait()))
        await asyncio.wait(waits, timeout=1.0, return_when=asyncio.FIRST_COMPLETED)
        for task in waits:
            task.cancel()

    # --- What befalls it besides.

    def _conduct(self, conducts: tuple[str, ...]) -> None:
        for number, conduct in enumerate(conducts):
            self._members.members[number].conduct = conduct

    async def _drain(self, member: int) -> None:
        await asyncio.sleep(0.3)
        self.history.drained[member] = time.monotonic()
        self._agent.change([self._row(member)])

    async def _silence(self) -> None:
        began = time.monotonic()
        self._agent.fall_silent()
        try:
            await asyncio.sleep(SILENCE)
        finally:
            self._agent.silent = False
            self.history.silent.append((began, time.monotonic() + 6.0))

    async def _crowd(self) -> None:
        """Idle clients that come again when they are turned away."""
        held: list[asyncio.StreamWriter] = []
        try:
            while True:
                held = [writer for writer in held if not writer.transport.is_closing()]
                for _ in range(self._plan.crowd - len(held)):
                    with contextlib.suppress(OSError):
                        held.append((await asyncio.open_connection("127.0.0.1", self._port))[1])
                await asyncio.sleep(0.3)
        finally:
            for writer in held:
                writer.close()

    async def _watch_clock(self) -> None:
        """How long the machine holds this run up, which it does to the processes as well."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(CLOCK)
            self.history.held_up = max(self.history.held_up, time.monotonic() - began - CLOCK)

    async def _sample(self, child: SoakChild) -> None:
        while child.alive:
            for descriptors, memory in _held(child.process.pid):
                child.life.descriptors = max(child.life.descriptors, descriptors)
                child.life.memory = max(child.life.memory, memory)
            await asyncio.sleep(SAMPLE)


def _held(pid: int) -> Iterator[tuple[int, int]]:
    """Descriptors and bytes of memory of a process, where it is still there."""
    with contextlib.suppress(OSError):
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        yield len(os.listdir(f"/proc/{pid}/fd")), pages * os.sysconf("SC_PAGE_SIZE")


async def _play(plan: Plan, planted: str | None, faults: tuple[str, ...]) -> tuple[list[str], History]:
    run = Run(plan, planted, faults)
    try:
        await run.play()
    except (TimeoutError, OSError, RuntimeError) as bad:
        run.history.harness.append(f"{type(bad).__name__}: {bad}"[:500])
    found = judge(plan, run.history)
    if SOCKETS in faults:  # a connection that fails while an answer is written takes the answer with it
        found = [text for text in found if not text.startswith(NO_ANSWER)]
    return found, run.history


def play(seed: int, planted: str | None = None, faults: tuple[str, ...] = ()) -> tuple[list[str], History]:
    """The findings of a seed's run, in an event loop of its own, and what its peers saw."""
    return asyncio.run(_play(draw(seed), planted, faults))
