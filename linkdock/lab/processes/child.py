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

MOST_ORDERS = 1024   # at a time
DEADLINE = 2.0       # seconds of an order that names none


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
        data = data[os.write(1, data):]


class Control:
    """Takes orders and carries them out, each with a deadline."""

    def __init__(self, wall: Wall, stop: Callable[[], None]) -> None:
        self._wall, self._stop = wall, stop
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        reader = asyncio.StreamReader(limit=1 << 20)
        transport, _ = await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
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
            say({"re": number, **(answer or {})})
        except Exception as bad:   # whatever was ordered, its answer says what became of it
            say({"re": number, "error": getattr(bad, "code", type(bad).__name__), "text": str(bad)})

    async def do_wall(self, deadline: float, seconds: float) -> None:
        """The wall clock jumps."""
        self._wall.ahead += seconds

    async def do_leave(self, deadline: float) -> None:
        os.kill(os.getpid(), signal.SIGTERM)


async def _run(wall: Wall) -> int:
    from ...service.config import load
    from ...service.run import Process
    process = Process(load())
    control = asyncio.create_task(Control(wall, process.stop).run())
    try:
        return await process.run()
    finally:
        control.cancel()


def main() -> int:
    wall = Wall()
    wall.put_on()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(name)s %(levelname)s %(message)s")
    from ...service.config import ConfigError
    try:
        return asyncio.run(_run(wall))
    except ConfigError as bad:
        print(f"linkdock: {bad}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
