"""A timer wheel with coarse ticks. Nothing fires early, and nothing fires more than about a tick late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Timer:
    """One callback on the wheel; it is given back by firing or by `cancel`."""

    __slots__ = ("call", "turn", "wheel")

    def __init__(self, wheel: Wheel, turn: int, call: Callable[[], None]) -> None:
        self.wheel, self.turn, self.call = wheel, turn, call

    def cancel(self) -> None:
        self.wheel.remove(self)


class Wheel:
    """Timers on spokes of one tick each; it advances when its owner says what time it is."""

    def __init__(self, tick: float, now: float) -> None:
        self.tick, self.now = tick, now
        self._turn = int(now / tick)
        self._spokes: dict[int, set[Timer]] = {}

    def __len__(self) -> int:
        """Spokes in use."""
        return len(self._spokes)

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Call back once, `seconds` after the last advance."""
        turn = max(self._turn, int((self.now + max(seconds, 0.0)) / self.tick)) + 1
        timer = Timer(self, turn, call)
        self._spokes.setdefault(turn, set()).add(timer)
        return timer

    async def pause(self, seconds: float) -> None:
        """Let others run for so long."""
        done = asyncio.get_running_loop().create_future()
        self.after(seconds, lambda: done.done() or done.set_result(None))
        await done

    def remove(self, timer: Timer) -> None:
        """Take a timer back; one that has fired is passed over."""
        spoke = self._spokes.get(timer.turn)
        if spoke is not None:
            spoke.discard(timer)
            # Danger: most timers are cancelled. Empty spokes would stay for minutes, and each costs memory.
            if not spoke:
                del self._spokes[timer.turn]

    def advance(self, now: float) -> None:
        """Fire all that is due. A callback may set and cancel timers, also those due at this moment."""
        self.now, turn = now, int(now / self.tick)
        if turn - self._turn <= len(self._spokes):
            due = range(self._turn + 1, turn + 1)
        else:   # after a long stall: the spokes that exist, not every tick that passed
            due = sorted(t for t in self._spokes if t <= turn)
        for self._turn in due:
            while spoke := self._spokes.get(self._turn):
                timer = next(iter(spoke))
                self.remove(timer)
                timer.call()
        self._turn = max(self._turn, turn)
