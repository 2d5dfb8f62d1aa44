"""`make run` without a configuration: three real senders on loopback with all their peers, to look at and to try."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections import Counter
from random import Random

from ..members import Member, Rules
from ..rig import Agent, Client, Members, Peer, settings
from .fleet import Child

SENDERS, MEMBERS, A_SECOND, EVERY, LAST = 3, 4, 6.0, 5.0, 12.0
HERE = ".venv/bin/python -m linkdock.lab.processes"


class Stand(Members):
    """Members that also take what was handed in by hand, whose ids name no member, and say so."""

    def _taken(self, peer: Peer, first: str, headers: dict, body: bytes) -> None:
        name = headers.get("x-trace-id", "")
        try:
            known = len(name) == 16 and int(name[:8], 16) in self.members
        except ValueError:
            known = False
        if known:
            return super()._taken(peer, first, headers, body)
        print(f"message {name} has arrived: {body[:60]!r}", flush=True)
        self.effects[name] += 1
        peer.answer(200)


class Show:
    """The senders, their peers, a trickle of messages, and a line on it every few seconds."""

    def __init__(self) -> None:
        luck, told = Random(1), settings(16, 200)
        self.agent = Agent()
        self.members = Stand({n: Member(n, Rules(), Random(n), rate=200.0, service=0.03) for n in range(MEMBERS)})
        self._luck, self._told, self._number = luck, told, 0
        self.children: list[Child] = []
        self.handed, self.delivered, self.noticed, self.refused = Counter(), 0, 0, 0

    async def open(self) -> None:
        await self.agent.start()
        await self.members.start()
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
        for n in range(SENDERS):
            self.children.append(Child(f"n{n + 1}", self.agent, {**self._told, "balancers": SENDERS, "me": n}))
        await asyncio.gather(*(child.start() for child in self.children))

    def lines(self) -> list[str]:
        first = self.children[0]
        return [
            *(
                f"{c.name}  clients 127.0.0.1:{c.port}  operators 127.0.0.1:{c.operators}  pid {c.process.pid}"
                for c in self.children
            ),
            f"{MEMBERS} backend servers at {self.members.dial} as destinations 0 to {MEMBERS - 1}, discovery at "
            f"{self.agent.dial}",
            "Try, in another terminal:",
            f"  {HERE} ask 127.0.0.1:{first.port} PING",
            f"  {HERE} ask 127.0.0.1:{first.port} ENQUEUE 0000000000000000 hello-1 c=order,d=8000,dest=2 Good-day",
            f"  {HERE} tell 127.0.0.1:{first.operators} stats",
            f"  {HERE} tell 127.0.0.1:{first.operators} maint-on m2      (maint-off m2: back again)",
            "Ctrl-C ends all of it.",
            "",
        ]

    async def trickle(self) -> None:
        """Messages in turn to each sender that lives."""
        clients = {child.name: Client(child.port) for child in self.children}
        try:
            while True:
                for child in self.children:
                    await asyncio.sleep(self._luck.expovariate(A_SECOND))
                    if not child.alive:
                        continue
                    self._number += 1
                    to = self._luck.randrange(MEMBERS)
                    said = await clients[child.name].enqueue(f"{to:08x}{self._number:08x}", "order", 8.0, to)
                    if said.startswith("+OK"):
                        self.handed[child.name] += 1
                    else:
                        self.refused += 1
        finally:
            for client in clients.values():
                client.close()

    @staticmethod
    async def watch(child: Child) -> None:
        print(f"{child.name} has ended by itself, status {await child.process.wait()}", flush=True)

    def line(self, since: float) -> str:
        """What was delivered so far. Danger: it may run for days, and what is counted is forgotten here."""
        self.delivered += sum(self.members.effects.values())
        self.noticed += len(self.agent.notices)
        for table in (self.members.effects, self.members.came, self.members.arrived, self.agent.notices):
            table.clear()
        taken = ", ".join(f"{c.name} {self.handed[c.name]}{'' if c.alive else ' (ended)'}" for c in self.children)
        return (
            f"{since:5.0f} s  taken: {taken}; delivered {self.delivered}, ended by a notice {self.noticed}, "
            f"turned away {self.refused}"
        )

    async def close(self) -> None:
        try:
            await asyncio.wait_for(asyncio.gather(*(c.stop() for c in self.children), return_exceptions=True), LAST)
        finally:
            for child in self.children:
                child.close()
            for peer in (self.members, self.agent):
                with contextlib.suppress(AttributeError):  # never started
                    peer.close()


async def play() -> int:
    """Until SIGINT or SIGTERM: 0. 1 if the senders could not be started or have all ended by themselves."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    told, show, tasks = loop.create_task(stop.wait()), Show(), []
    try:
        tasks.append(loop.create_task(show.open()))
        await asyncio.wait([told, *tasks], return_when=asyncio.FIRST_COMPLETED)
        if stop.is_set():
            return 0
        await tasks[0]
        print("\n".join(show.lines()), flush=True)
        began = time.monotonic()
        tasks += [loop.create_task(show.watch(child)) for child in show.children]
        tasks.append(loop.create_task(show.trickle()))
        while not stop.is_set():
            await asyncio.wait([told, tasks[-1]], timeout=EVERY, return_when=asyncio.FIRST_COMPLETED)
            print(show.line(time.monotonic() - began), flush=True)
            if tasks[-1].done() or not any(child.alive for child in show.children):
                print("all senders have ended" if not tasks[-1].done() else f"the load: {tasks[-1].exception()!r}")
                return 1
        return 0
    except (RuntimeError, OSError) as bad:
        print(f"the senders could not be started: {bad}", flush=True)
        return 1
    finally:
        for task in (told, *tasks):
            task.cancel()
        await asyncio.gather(told, *tasks, return_exceptions=True)
        await show.close()


def main() -> int:
    return asyncio.run(play())
