"""`python -m linkdock.lab.processes.child`: the real sender and, where `deploy/cluster.json` is on, its node.

Orders come as JSON lines on standard input, `{"id": N, "do": ORDER, ...}`, and are answered by `{"re": N, ...}` on
standard output, with `error` and `text` if they failed. What happens is told there too, `{"event": ...}`. The end of
the orders is the end of the process.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...cluster.points import point

if TYPE_CHECKING:
    from ...cluster.leases import Command, Held
    from ...cluster.node import Node

MOST_ORDERS = 1024  # at a time
DEADLINE = 2.0  # seconds of an order that names none
LOOK = 0.01  # seconds between looks at what the node does not tell by itself


class Wall:
    """The wall clock of this process, which may jump. Danger: only for what looks it up as `time.time`."""

    def __init__(self) -> None:
        self._true, self.ahead = time.time, 0.0

    def put_on(self) -> None:
        time.time = lambda: self._true() + self.ahead


def say(told: dict) -> None:
    """Whole lines, at once: what was said before a SIGKILL has been said."""
    data = json.dumps(told, separators=(",", ":")).encode() + b"\n"
    while data:
        data = data[os.write(1, data) :]


class Control:
    """Takes orders and carries them out, each with a deadline."""

    def __init__(self, wall: Wall, node: Node | None, stop: Callable[[], None]) -> None:
        self._wall, self._node, self._stop = wall, node, stop
        self._held: dict[str, Held] = {}  # the last of each name, also when it is over
        self._works: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        reader = asyncio.StreamReader(limit=1 << 20)
        transport, _ = await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        try:
            while line := await reader.readline():
                if len(self._tasks) >= MOST_ORDERS:
                    say({"re": json.loads(line).get("id"), "error": "busy", "text": "too many orders"})
                    continue
                task = asyncio.create_task(self._order(line))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            transport.close()
            self._stop()

    async def _order(self, line: bytes) -> None:
        number = None
        try:
            told = json.loads(line)
            number, order = told.pop("id"), getattr(self, f"do_{told.pop('do')}")
            deadline = float(told.pop("deadline", DEADLINE))
            answer = await asyncio.wait_for(order(deadline, **told), deadline + 1.0)
            point("answer")
            say({"re": number, **(answer or {})})
        except Exception as bad:  # whatever was ordered, its answer says what became of it
            say({"re": number, "error": getattr(bad, "code", type(bad).__name__), "text": str(bad)})

    async def do_wall(self, deadline: float, seconds: float) -> None:
        """The wall clock jumps."""
        self._wall.ahead += seconds

    async def do_leave(self, deadline: float) -> None:
        os.kill(os.getpid(), signal.SIGTERM)

    # --- Of the node.

    async def do_put(self, deadline: float, key: str, value: str) -> dict:
        """Propose an entry. Its index in the log."""
        from ...cluster.leases import Done, Put

        began = time.monotonic()
        answer = await self._node.propose(Put(key, value.encode()), deadline)
        if not isinstance(answer, Done):
            return {"error": type(answer).__name__, "text": repr(answer)}
        return {"index": answer.index, "ms": round(1000 * (time.monotonic() - began), 3)}

    async def do_read(self, deadline: float) -> dict:
        """Up to which entry the state is applied, if that is surely the newest."""
        reading = self._node.read()
        return {"index": reading.index} if reading.fresh else {"error": "old", "text": f"{reading.age:.2f} s"}

    async def do_final(self, deadline: float) -> dict:
        reading = self._node.read()
        return {"index": reading.index, "ops": {key: value.index for key, value in reading.state.register.items()}}

    async def do_stats(self, deadline: float) -> dict:
        return self._node.stats()

    async def do_acquire(self, deadline: float, name: str, ttl: float) -> dict:
        from ...cluster.leases import Held

        held = await self._node.acquire(name, ttl, deadline)
        since = time.monotonic()
        if not isinstance(held, Held):
            return {"error": type(held).__name__, "text": repr(held)}
        self._held[name] = held
        say({"event": "holds", "name": name, "token": held.token, "since": since, "until": held.until})
        task = self._works[f"{name} {held.token}"] = asyncio.create_task(self._hold(held))
        task.add_done_callback(lambda _: self._works.pop(f"{name} {held.token}"))
        return {"token": held.token}

    async def _hold(self, held: Held) -> None:
        """Say how long it is believed in, until it is over."""
        told = {"name": held.name, "token": held.token}
        until = held.until
        while held.holds(time.monotonic()):
            if held.until != until:
                until = held.until
                say({"event": "holds", **told, "since": time.monotonic(), "until": until})
            await asyncio.sleep(LOOK)
        say({"event": "ceased", **told, "until": min(time.monotonic(), held.until)})

    async def do_renew(self, deadline: float, name: str) -> dict:
        return {"held": await self._node.renew(self._held[name])}

    async def do_release(self, deadline: float, name: str) -> dict:
        return {"held": await self._release(self._held[name], deadline)}

    async def _release(self, held: Held, deadline: float) -> bool:
        say({"event": "ceased", "name": held.name, "token": held.token, "until": time.monotonic()})
        return await self._node.release(held, deadline)

    async def do_use(self, deadline: float, name: str) -> dict:
        """Use the resource with the last token, whatever is believed of it: the resource has to refuse an old one."""
        held = self._held[name]
        say({"event": "uses", "name": name, "token": held.token, "believed": held.holds(time.monotonic())})
        return {"token": held.token}

    async def do_work(self, deadline: float, name: str, ttl: float, pause: float, uses: int) -> None:
        """From now on: acquire the lease, use the resource so often while it is held, release it, and so on."""
        if name not in self._works:
            self._works[name] = asyncio.create_task(self._work(name, ttl, pause, uses))

    async def do_rest(self, deadline: float) -> None:
        """No more work."""
        for task in self._works.values():
            task.cancel()
        for held in self._held.values():
            if held.holds(time.monotonic()):
                await self._release(held, deadline)

    async def _work(self, name: str, ttl: float, pause: float, uses: int) -> None:
        from ...cluster.errors import ClusterError

        while True:
            try:
                if "token" in await self.do_acquire(DEADLINE, name, ttl):
                    held, left = self._held[name], uses
                    while left and held.holds(time.monotonic()):
                        say({"event": "uses", "name": name, "token": held.token, "believed": True})
                        left -= 1
                        await asyncio.sleep(pause)
                    await self._release(held, DEADLINE)
            except ClusterError:
                pass  # it comes again
            await asyncio.sleep(pause)


async def told(node: Node) -> None:
    """Say what the node does: who it is, when it leads, what it applies, whom it sees."""
    from ...cluster.leases import Done, Put

    def applied(index: int, command: Command | None, answer: object) -> None:
        if command is None:
            say({"event": "image", "index": index})
            return
        # The same request may stand in the log twice; it is carried out once.
        first = isinstance(command, Put) and isinstance(answer, Done) and answer.index == index
        say({"event": "applied", "index": index, "op": command.key if first else "", "what": type(command).__name__})

    node.watch(applied)
    known: dict[str, object] = {}
    look = float(os.environ.get("LINKDOCK_LOOK", LOOK))  # Danger: looking is not free where cost is measured
    while True:
        stats = node.stats()
        now = {
            "node": stats["id"],
            "failed": stats["failed"],
            "leads": stats.get("term") if stats.get("leading") else None,
            "members": {key[8:]: count for key, count in stats.items() if key.startswith("members_")},
            "voters": stats.get("voters"),
        }
        for word, what in now.items():
            if what and what != known.get(word):
                more = (
                    {"term": what, "id": stats["id"]}
                    if word == "leads"
                    else {{"node": "id", "failed": "code"}.get(word, word): what}
                )
                say({"event": word, **more})
        if known.get("leads") and not now["leads"]:
            say({"event": "follows", "term": stats.get("term"), "leader": stats.get("leader")})
        known = now
        await asyncio.sleep(look)


async def _run(wall: Wall) -> int:
    from ...service.config import load
    from ...service.run import Process

    process = Process(load())
    node = process.node
    tasks = [asyncio.create_task(Control(wall, node, process.stop).run())]
    if node is not None:
        tasks.append(asyncio.create_task(told(node)))
    try:
        return await process.run()
    finally:
        for task in tasks:
            task.cancel()


def main() -> int:
    wall = Wall()
    wall.put_on()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    from ...service.config import ConfigError

    try:
        return asyncio.run(_run(wall))
    except ConfigError as bad:
        print(f"linkdock: {bad}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
