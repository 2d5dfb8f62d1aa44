"""A fleet of real processes in zones, joined by the harness's own links; faults befall it as a schedule says."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import random
import signal
import socket
from collections.abc import Sequence
from random import Random

from ...cluster.errors import Fenced
from ...cluster.fence import Fence
from .. import rig
from ..members import Member, Rules
from . import schedule
from .fleet import END, START, Led
from .history import HARNESS, History
from .links import Net
from .schedule import Fault

ZONES = "abcdefg"
MEMBERS = 4
LOWEST, HIGHEST = 20_000, 32_000  # ports that the system does not give out by itself
PATIENCE = 1.5  # seconds beyond its deadline until an order counts as not answered
LONGEST_PROPOSAL = 10.0  # seconds within which every proposal is answered or given up


def free_ports(count: int) -> list[int]:
    """Ports of 127.0.0.1 that are free for TCP and UDP now. Raises OSError if there are not so many."""
    found: list[int] = []
    for port in random.sample(range(LOWEST, HIGHEST), HIGHEST - LOWEST):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"no {count} free ports")


def zones_of(size: int) -> dict[str, str]:
    """Names of so many processes, each with its zone: three zones, four from 12 on."""
    zones = ZONES[: 3 if size < 12 else 4]
    return {f"{zones[n % len(zones)]}{n // len(zones) + 1}": zones[n % len(zones)] for n in range(size)}


class Fleet:
    """Owner of processes, links, peers and load. `async with` gives all of it back, however it ends."""

    def __init__(
        self,
        history: History,
        size: int = 3,
        seed: int = 1,
        told: dict | None = None,
        roots: dict[str, str] | None = None,
    ) -> None:
        """`told` goes into deploy/cluster.json; `roots` names trees of other versions, by process."""
        self.history, self.zones, self._luck = history, zones_of(size), Random(seed)
        self.voters = 3 if size < 5 else 5
        self._size, self._seed, self._told, self._roots = size, seed, told or {}, roots or {}
        self.agent = rig.Agent()
        self.members = rig.Members(
            {n: Member(n, Rules(), Random(n), rate=2000.0, service=0.01) for n in range(MEMBERS)}
        )
        self.processes: dict[str, Led] = {}
        self.fence = Fence(lambda: None, lambda data: None)
        self._tasks: set[asyncio.Task] = set()
        self._up, self._messages = False, 0
        self._open_proposals: set[str] = set()
        self.leader: str | None = None  # who said last that it leads, if it lives and has not said otherwise
        history.told.append(self._happened)

    def _happened(self, one: dict) -> None:
        match one["event"]:
            case "leads":
                self.leader = one["who"]
            case "follows" | "ended" | "begins" if one["who"] == self.leader:
                self.leader = None
            case "uses":  # the harness keeps the resource: tokens are judged in the order in which they come
                try:
                    self.fence.check(one["name"], one["token"], self.processes[one["who"]].id)
                    ok = True
                except Fenced:
                    ok = False
                self.history.append(
                    one["who"], "used", name=one["name"], token=one["token"], ok=ok, believed=one["believed"]
                )

    async def __aenter__(self) -> Fleet:
        """Start the network and all processes; what had started is ended if one fails."""
        try:
            await self._open()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _open(self) -> None:
        await self.agent.start()
        await self.members.start()
        self._up = True
        self.agent.list(
            lambda: (
                {
                    "host": f"m{n}",
                    "dial": self.members.dial,
                    "site": "a",
                    "class": "single",
                    "block": n,
                    "health": "ready",
                    "share": 1.0,
                    "born_ms": 0,
                }
                for n in range(MEMBERS)
            )
        )
        ports = dict(zip(self.zones, free_ports(self._size), strict=True))
        self.net = Net(ports, self._luck.getrandbits(32))
        await self.net.open()
        founders = list(self.zones)[: self.voters]
        for name, zone in self.zones.items():
            routes = self.net.routes(name)
            cluster = {
                "on": True,
                "cluster": "laboratory",
                "key": "the key of the laboratory",
                "zone": zone,
                "listen": f"127.0.0.1:{ports[name]}",
                "routes": routes,
                "founders": founders,
                "voters": self.voters,
                "seeds": [routes[one] for one in founders if one != name],
                **self._told,
            }
            self.processes[name] = Led(
                name,
                zone,
                self.history,
                self.agent,
                {**rig.settings(16, 400), "balancers": self._size, "me": list(self.zones).index(name)},
                {"cluster": cluster},
                root=self._roots.get(name),
            )
        self.history.append(HARNESS, "fleet", zones=self.zones, seed=self._seed)
        await asyncio.gather(*(process.start() for process in self.processes.values()))

    async def __aexit__(self, *failure: object) -> None:
        """End everything, whatever failed."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        try:
            await asyncio.gather(*(one.stop() for one in self.processes.values()), return_exceptions=True)
        finally:
            for process in self.processes.values():
                process.close()
            if hasattr(self, "net"):
                self.net.close()
            if self._up:
                self.members.close()
                self.agent.close()

    def spawn(self, work) -> asyncio.Task:
        """Run `work` as a task that is cancelled at the end."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # --- Faults.

    async def play(self, faults: Sequence[Fault], healed_by: float) -> None:
        """All faults in their time, from now on; then make good what is not, and say so in the history."""
        schedule.check(faults, list(self.zones), healed_by)
        began = asyncio.get_running_loop().time()
        due = [(fault.at, 1, n, fault) for n, fault in enumerate(faults)]
        due += [
            (fault.healed, 0, n, fault)
            for n, fault in enumerate(faults)
            if fault.what not in (schedule.RESET, schedule.RUBBISH, schedule.JUMP)
        ]
        heapq.heapify(due)
        tasks = []
        while due:
            at, begins, key, fault = heapq.heappop(due)
            await asyncio.sleep(max(0.0, began + at - asyncio.get_running_loop().time()))
            self.history.append(HARNESS, "fault" if begins else "healed", what=fault.what, whom=list(fault.whom))
            if fault.what in schedule.WAYS:
                (self.net.begin if begins else self.net.heal)(key, fault)
            else:
                process = self.processes[fault.whom[0]]
                tasks.append(self.spawn((self._befall if begins else self._heal)(process, fault)))
        # Danger: one that is still to come would befall what was made good.
        await asyncio.wait_for(asyncio.gather(*tasks), START + END)
        await self.make_good()

    async def _befall(self, process: Led, fault: Fault) -> None:
        if fault.what == schedule.JUMP:  # asked of one that is stopped it would put off that one's healing
            await process.ask("wall", 2.0, seconds=fault.given["seconds"])
            return
        async with process.turn:
            match fault.what:
                case schedule.STOP:
                    process.signal(signal.SIGSTOP)
                case schedule.KILL | schedule.LOSE:
                    await process.kill()
                    if fault.what == schedule.LOSE:
                        process.lose_folder()
                case schedule.LEAVE:
                    await process.stop()
                case schedule.FULL:
                    process.fill_disk(True)

    async def _heal(self, process: Led, fault: Fault) -> None:
        async with process.turn:
            match fault.what:
                case schedule.STOP:
                    process.signal(signal.SIGCONT)
                case schedule.FULL:  # as an operator does: room first, then a restart
                    process.fill_disk(False)
                    await process.stop()
                    await process.start()
                case schedule.KILL | schedule.LOSE | schedule.LEAVE:
                    await process.start()

    async def dies_at(self, name: str, point: str, count: int = 1) -> asyncio.Task:
        """Restart a process so that it is killed at a named point; the task ends once it was, and it is down."""
        process = self.processes[name]
        await process.stop()
        process.extra["LINKDOCK_POINT"] = f"{point}:{count}"
        since = len(self.history.events)
        try:
            await process.start()
        finally:
            del process.extra["LINKDOCK_POINT"]

        async def die() -> bool:
            there = await self.history.seen(lambda one: one["event"] == "point" and one["who"] == name, END, since)
            if there is not None:
                await process.kill()
            return there is not None

        return self.spawn(die())

    async def make_good(self) -> None:
        """Wait for what is under way, and start what is not there. Raises RuntimeError if it cannot be."""
        async with asyncio.timeout(2 * (START + END)):
            for process in self.processes.values():
                async with process.turn:
                    process.signal(signal.SIGCONT)
                    if not process.alive:
                        await process.start()
        self.history.append(HARNESS, "healed all")

    # --- What is asked of it.

    async def put(self, name: str, op: str, deadline: float = 2.0) -> int | None:
        """Propose `op` at a process, on record. Its index, or None if it was not acknowledged."""
        self.history.append(HARNESS, "asked", op=op, of=name)
        self._open_proposals.add(op)
        try:
            told = await self.processes[name].ask("put", deadline + PATIENCE, key=op, value="x", deadline=deadline)
        finally:
            self._open_proposals.discard(op)
        self.history.append(
            HARNESS,
            "answered",
            op=op,
            of=name,
            ok="index" in told,
            **{key: told[key] for key in ("index", "ms", "error", "text") if key in told},
        )
        return told.get("index")

    async def read(self, name: str) -> int | None:
        """A read that is surely the newest, on record; None if this process cannot answer one."""
        begun = self.history.now
        told = await self.processes[name].ask("read", PATIENCE)
        if "index" in told:
            self.history.append(name, "reading", begun=begun, index=told["index"])
        return told.get("index")

    async def load(self, rate: float, prefix: str = "op") -> None:
        """Proposals and reads at a rate, at processes drawn by the seed, until cancelled."""
        number, names = 0, list(self.zones)
        open_now: set[asyncio.Task] = set()
        while True:
            await asyncio.sleep(self._luck.expovariate(rate))
            number += 1
            if len(open_now) > 200:
                continue
            name = self._luck.choice(names)
            work = self.put(name, f"{prefix}-{number}") if number % 4 else self._read_somewhere()
            task = self.spawn(work)
            open_now.add(task)
            task.add_done_callback(open_now.discard)

    async def _read_somewhere(self) -> None:
        if self.leader is not None:
            await self.read(self.leader)

    async def led(self, patience: float, since: int = 0) -> dict | None:
        """Wait until somebody says that it leads."""
        return await self.history.seen(lambda one: one["event"] == "leads", patience, since)

    async def committed(self, patience: float, prefix: str) -> float | None:
        """Propose at one process after another until one is acknowledged: after how many seconds."""
        began, number, names = self.history.now, 0, list(self.zones)
        while self.history.now - began < patience:
            name, number = names[number % len(names)], number + 1
            if await self.put(name, f"{prefix}-{number}", 1.0) is not None:
                return self.history.now - began
        return None

    async def delivered(self, name: str, patience: float = 5.0) -> bool:
        """Hand a message in at a process: whether it reaches its backend server in time."""
        self._messages += 1
        message, client = f"{self._messages % MEMBERS:08x}{self._messages:08x}", rig.Client(self.processes[name].port)
        try:
            until, said = self.history.now + patience, ""
            while not self.members.effects[message] and self.history.now < until:
                if not said.startswith("+OK"):  # one that has just started may not have its list yet
                    said = await client.enqueue(message, "order", patience, self._messages % MEMBERS)
                await asyncio.sleep(0.02)
            return bool(self.members.effects[message])
        finally:
            client.close()

    async def work(self, name: str = "job", ttl: float = 1.0) -> None:
        """Every process tries to hold one lease in turn and uses the resource under it."""
        for process in self.processes.values():
            if process.alive:
                await process.ask("work", 2.0, name=name, ttl=ttl, pause=0.02 * self._size, uses=10)

    async def rest(self) -> None:
        """Wait for the answer of every proposal, then ask each process to take no more orders.

        The end is judged by what each process holds then; a proposal acknowledged later would be missed in it. Each has
        a deadline of its own. Raises TimeoutError beyond that.
        """
        async with asyncio.timeout(LONGEST_PROPOSAL):
            while self._open_proposals:
                await asyncio.sleep(0.02)
        for process in self.processes.values():
            await process.ask("rest", 3.0)

    async def settled(self, patience: float = 10.0) -> dict[str, dict]:
        """What each holds, once all have applied the same."""
        until = self.history.now + patience
        while True:
            finals = {name: await one.ask("final", PATIENCE) for name, one in self.processes.items()}
            same = len({final.get("index", -n) for n, final in enumerate(finals.values(), 1)}) == 1
            if same or self.history.now > until:
                return finals
            await asyncio.sleep(0.1)

    async def final(self) -> None:
        """Put on record what each holds at the end."""
        for name, final in (await self.settled()).items():
            self.history.append(name, "final", index=final.get("index", 0), ops=final.get("ops", {}))


@contextlib.asynccontextmanager
async def running(work):
    """A task that is cancelled at the end of the block; its failure is the block's."""
    task = asyncio.create_task(work)
    try:
        yield task
        if task.done():
            task.result()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
