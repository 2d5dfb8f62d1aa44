"""The leases that this process holds: asked for, renewed at a third of their time, given up when in doubt."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from .errors import ClusterError
from .leases import Acquire, Answer, Command, Done, Granted, Held, Lost, Release, Renew, Taken

MOST_HELD = 256
AGAIN = 10  # a renewal that got no answer is asked for anew after this part of the lease's time
LEAST_PAUSE = 0.01


class Holding:
    """Owner of what is held. A lease is renewed until it is released, lost, or its time is over unanswered."""

    def __init__(
        self,
        me: str,
        drift: float,
        propose: Callable[[Command, float], Awaitable[Answer]],
        spawn: Callable[[Coroutine], asyncio.Task],
        clock: Callable[[], float],
    ) -> None:
        """`drift`: the part by which clocks may run apart; `propose` hands a command and its seconds to the log."""
        self._me, self._drift, self._propose, self._spawn, self._clock = me, drift, propose, spawn, clock
        self.held: dict[str, Held] = {}
        self._asking: set[str] = set()

    async def acquire(self, name: str, ttl: float, deadline: float) -> Held | Answer:
        """Held, and renewed from now on; else why not: Taken, Refused, or Lost if the answer came too late.

        Raises what `propose` does; the lease may then have been granted all the same, and ends by itself.
        """
        if name in self.held or name in self._asking or len(self.held) + len(self._asking) >= MOST_HELD:
            return Taken(self._me, self.held[name].token if name in self.held else 0)
        self._asking.add(name)
        try:
            asked_at = self._clock()  # Danger: not when the answer comes; the leader may count from here
            answer = await self._propose(Acquire(name, self._me, int(ttl * 1000)), deadline)
        finally:
            self._asking.discard(name)
        if not isinstance(answer, Granted):
            return answer
        held = Held(name, answer.token, answer.ttl_ms / 1000, asked_at, self._drift)
        if not held.holds(self._clock()):
            return Lost()
        self.held[name] = held
        self._spawn(self._keep(held))
        return held

    async def renew(self, held: Held) -> bool:
        """Whether it is held on. Raises what `propose` does."""
        asked_at = self._clock()
        if not held.holds(asked_at):
            self._lost(held)
            return False
        answer = await self._propose(Renew(held.name, self._me, held.token), held.until - asked_at)
        if isinstance(answer, Done):
            held.renewed(asked_at)
        elif isinstance(answer, Lost):
            self._lost(held)
        return held.holds(self._clock())

    async def _keep(self, held: Held) -> None:
        while not held.lost:
            now = self._clock()
            await asyncio.sleep(max(min(held.renew_at, held.until) - now, LEAST_PAUSE))
            if held.lost:
                return
            if not held.holds(self._clock()):
                self._lost(held)
                return
            try:
                await self.renew(held)
            except ClusterError:
                pass
            held.renew_at = max(held.renew_at, self._clock() + held.ttl / AGAIN)

    def _lost(self, held: Held) -> None:
        held.lost = True
        if self.held.get(held.name) is held:
            del self.held[held.name]

    async def release(self, held: Held, deadline: float) -> bool:
        """Nothing may be done under it from the call on. Whether it was still held; raises what `propose` does."""
        self._lost(held)
        return isinstance(await self._propose(Release(held.name, self._me, held.token), deadline), Done)

    def lose_all(self) -> None:
        """Give up every lease at once, as if all had run out."""
        for held in list(self.held.values()):
            self._lost(held)
