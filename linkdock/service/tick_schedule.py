"""When the loop's next tick runs, in which timers fire and decisions are made."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

MOST_IDLE = 1.0  # seconds without a tick at the most
MOST_REST = 0.05  # seconds without a tick after one, at the most; else as long as that one took
COMMAND_TURNS = 5  # turns of the loop from a client's connection to its request, at the most


class TickSchedule:
    """Owner of the timer of the next tick.

    A tick runs when it is wanted, but leaves the loop as long for all else as it took itself. A command needs some
    turns of the loop to be read, and its client waits for the answer: with a long tick in each of these turns nobody
    would be answered in time. Nor is that time alone enough: the process may get no core in it. So a tick that
    follows a long one also lets the loop have the turns of a command first, unless they take long as well.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, interval: float, run: Callable[[], None]) -> None:
        """`run` is called by timers of `loop`, with at least `interval` seconds between two beginnings."""
        self._loop, self._interval, self._run = loop, interval, run
        self._timer: asyncio.Handle | None = None  # none in the middle of a tick, and before the first
        self._began = self._due = self._earliest = loop.time()
        self._turns = 0  # of the loop, before a tick that is due
        self.longest_hold = 0.0  # seconds that a tick took, or came late by, at the most

    def expect(self) -> float:
        """The first tick is due now; what time that is."""
        self._due = self._loop.time()
        return self._due

    def begin(self) -> float:
        """A tick begins; what time it is."""
        self._timer = None
        self._began = self._loop.time()
        self.longest_hold = max(self.longest_hold, self._began - self._due)
        return self._began

    def end(self, due: float) -> None:
        """It has ended, and the next is due then."""
        ended = self._loop.time()
        took = ended - self._began
        self.longest_hold = max(self.longest_hold, took)
        self._earliest = ended + min(took, MOST_REST)
        # Whatever is due, the next tick is the first to see to it, or there would be ticks without end; and none would
        # run any more by a time that is no number.
        if not due < self._began + MOST_IDLE:
            due = self._began + MOST_IDLE
        self._turns = COMMAND_TURNS if self._earliest > self._began + self._interval else 0
        self._call_at(max(due, self._began + self._interval, self._earliest))

    def want(self, due: float) -> None:
        """A tick is wanted by then; an idle process runs none before."""
        due = max(due, self._earliest)
        if self._timer is not None and due < self._due:
            self._timer.cancel()
            self._call_at(due)

    def soon(self) -> None:
        """Something has come in: the interval in which it came ends with a tick."""
        self.want((int(self._loop.time() / self._interval) + 1) * self._interval)

    def stop(self) -> None:
        """No tick runs any more, unless one that is under way calls `end`."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None  # what a cancelled call reports would ask for another tick

    def _call_at(self, due: float) -> None:
        self._due = due
        self._timer = self._loop.call_at(due, self._after, self._turns)

    def _after(self, turns: int, until: float = math.inf) -> None:
        """Run the tick that is due now, after so many turns of the loop; nothing that is wanted meanwhile delays it.

        Where each turn is long, those who were read in the first would wait too long for the last.
        """
        now = self._loop.time()
        if turns == 0 or now >= until:
            self._run()
            return
        self._earliest = self._due
        self._timer = self._loop.call_soon(self._after, turns - 1, min(until, now + MOST_REST))
