"""What stands in for sockets and time in the order search: the loop, the front, discovery's watch, the notices."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose clock stands until it is set, and whose own timers never fire: the search says what is due."""

    def __init__(self) -> None:
        """Nothing has happened yet."""
        super().__init__()
        self.now, self.failure = 0.0, None
        self.set_exception_handler(self._failed)

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.failure = self.failure or context.get("exception")

    def time(self) -> float:
        """The world's clock, in seconds."""
        return self.now

    def call_at(self, when: float, callback: Callable, *args: Any, context: Any = None) -> asyncio.TimerHandle:
        """A timer, which the search alone lets fire."""
        return asyncio.TimerHandle(when, callback, args, self, context)

    def add_signal_handler(self, sig: int, callback: Callable, *args: Any) -> None:
        """Signals are events of the search."""

    def settle(self) -> None:
        """Run until nothing is ready. Raises what a callback raised."""
        while self._ready:
            self.call_soon(self.stop)
            self.run_forever()
        failure, self.failure = self.failure, None
        if failure is not None:
            raise failure

    def clear(self) -> None:
        """Cancel all that is left of a world."""
        for task in asyncio.all_tasks(self):
            task.cancel()
        while self._ready:
            self.call_soon(self.stop)
            self.run_forever()
        self.failure = None


class Front:
    """Clients' connections: each is open while its message waits for an answer."""

    def __init__(self, *told: Any) -> None:
        """Nothing has happened yet."""
        self.port, self.accepts, self.waiting = 0, True, set()
        self.observer = self.duty = None

    def __len__(self) -> int:
        """How many are open."""
        return len(self.waiting)

    def hold_at_most(self, most: int) -> None:
        """There are never as many."""

    def hold_bytes_at_most(self, most: int) -> None:
        """They hold none."""

    def stop_accepting(self, shared: bool) -> None:
        """No new clients from now on."""
        self.accepts = False

    def empty(self) -> None:
        """No connection is idle."""

    def end(self) -> None:
        """The end of the process has begun."""
        self.accepts = False

    def close(self) -> None:
        """All clients are let go of."""
        self.accepts = False
        self.waiting.clear()


class NoWatch:
    """Discovery, which has nothing to tell beyond the list of the configuration."""

    told = True

    def __init__(self, *told: Any) -> None:
        """Nothing has happened yet."""
        pass

    async def run(self) -> None:
        """Nothing comes."""

    def move(self, dial: tuple[str, int]) -> None:
        """It stays where it is."""

    def close(self) -> None:
        """Nothing is open."""


class ScriptedNotices:
    """Notices that are posted at once, and answered 204 when the search says so."""

    def __init__(self, dial: tuple[str, int], wheel: object, pause: Callable, confirmed: Callable[[str], None]) -> None:
        """Nothing has happened yet."""
        self._confirmed, self.owed, self.observer = confirmed, {}, None

    def __len__(self) -> int:
        """How many are open."""
        return len(self.owed)

    def post(self, notice: dict) -> None:
        """A notice is owed; the search says when it is answered."""
        self.owed[notice["id"]] = notice["status"]

    def confirm(self, name: str) -> str:
        """The platform answers 204; which status it heard."""
        status = self.owed.pop(name)
        self._confirmed(name)
        return status

    async def run(self) -> None:
        """Answers come as events."""

    def move(self, dial: tuple[str, int]) -> None:
        """The platform stays where it is."""

    def close(self) -> None:
        """Nothing is open."""
