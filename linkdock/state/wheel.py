"""A timer wheel with coarse ticks. Nothing fires early, and nothing fires more than about a tick late."""

from __future__ import annotations

from collections.abc import Callable


class Timer:
    """One callback on the wheel; it is given back by firing or by `cancel`."""

    __slots__ = ("spoke", "call")

    def __init__(self, spoke: set, call: Callable[[], None]) -> None:
        self.spoke, self.call = spoke, call

    def cancel(self) -> None:
        self.spoke.discard(self)


class Wheel:
    """Timers in buckets of one tick each; it advances when its owner says what time it is."""

    def __init__(self, tick: float, now: float) -> None:
        self.tick, self.now = tick, now
        self._turn = int(now / tick)
        self._spokes: dict[int, set[Timer]] = {}

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Call back once, `seconds` after the last advance."""
        turn = max(self._turn, int((self.now + max(seconds, 0.0)) / self.tick)) + 1
        spoke = self._spokes.setdefault(turn, set())
        timer = Timer(spoke, call)
        spoke.add(timer)
        return timer

    def advance(self, now: float) -> None:
        """Fire all that is due. A callback may set and cancel timers, also those due at this moment."""
        self.now, turn = now, int(now / self.tick)
        # After a long stall the wheel visits the spokes that exist, not every tick that passed.
        for due in sorted(t for t in self._spokes if t <= turn) if turn > self._turn else ():
            self._turn = due
            spoke = self._spokes.pop(due)
            while spoke:
                spoke.pop().call()
        self._turn = max(self._turn, turn)
