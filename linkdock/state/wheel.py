"""A timer wheel with coarse ticks. Nothing fires early, and nothing fires more than about a tick late."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from math import inf

SPARE = 64  # turns that may be kept beside those of spokes, and as many as there are spokes
SURELY = 0.01  # part of a tick


class Timer:
    """One callback on the wheel; it is given back by firing or by `cancel`."""

    __slots__ = ("call", "turn", "wheel")

    def __init__(self, wheel: Wheel, turn: int, call: Callable[[], None]) -> None:
        """`turn` is the number of the tick in which `call` is due."""
        self.wheel, self.turn, self.call = wheel, turn, call

    def cancel(self) -> None:
        """Take the timer off the wheel; it will not fire."""
        self.wheel.remove(self)


class Wheel:
    """Timers on spokes of one tick each; it advances when its owner says what time it is.

    With a `clock` its owner may let it stand while nothing is due: `next_due` says until when, and `wake` is called
    with the time of each timer that is set.
    """

    def __init__(
        self,
        tick: float,
        now: float,
        clock: Callable[[], float] | None = None,
        wake: Callable[[float], None] | None = None,
    ) -> None:
        """Ticks of `tick` seconds, from `now` on."""
        self.tick, self._now, self._clock, self._wake = tick, now, clock, wake
        self._turn = int(now / tick)
        self._spokes: dict[int, set[Timer]] = {}
        self._order: list[int] = []  # a heap of their turns, some of which are gone

    @property
    def now(self) -> float:
        """Seconds: the clock's, or the last that the owner said."""
        return self._now if self._clock is None else self._clock()

    def __len__(self) -> int:
        """Spokes in use."""
        return len(self._spokes)

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Call back once, so many seconds from now."""
        turn = max(self._turn, int((self.now + max(seconds, 0.0)) / self.tick)) + 1
        timer = Timer(self, turn, call)
        spoke = self._spokes.get(turn)
        if spoke is not None:
            spoke.add(timer)
            return timer
        self._spokes[turn] = {timer}
        if len(self._order) > 2 * len(self._spokes) + SPARE:
            self._order = sorted(self._spokes)  # Danger: most timers are cancelled, and their turns would stay
        else:
            heapq.heappush(self._order, turn)
        if self._wake is not None:
            self._wake(self._time(turn))
        return timer

    def _time(self, turn: int) -> float:
        """When a spoke is surely due, whatever the division of its time by a tick comes to."""
        return (turn + SURELY) * self.tick

    def next_due(self) -> float:
        """When the next timer is due; infinite where none is set."""
        while self._order and self._order[0] not in self._spokes:
            heapq.heappop(self._order)
        return self._time(self._order[0]) if self._order else inf

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
        self._now, turn = now, int(now / self.tick)
        if turn - self._turn <= len(self._spokes):
            due = range(self._turn + 1, turn + 1)
        else:  # after a long stall: the spokes that exist, not every tick that passed
            due = sorted(t for t in self._spokes if t <= turn)
        for self._turn in due:
            while spoke := self._spokes.get(self._turn):
                timer = next(iter(spoke))
                self.remove(timer)
                timer.call()
        self._turn = max(self._turn, turn)
