"""Requests of this process on their way through the log, and those of others that this process, leading, has taken."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from . import leases
from .errors import ClusterError, NoQuorum, NotLeading, TooBusy, TooLarge
from .interface import MOST_ENTRY
from .leases import Answer, Asked, Command
from .wire import Answered, AnyFrame, Forward

if TYPE_CHECKING:
    from .engine import Engine

MOST_WAITING = 1024  # calls of `propose` that wait for a number
MOST_FORWARDED = 4096  # requests of others whose askers are known


class _Open:
    """One request: proposed in `term` by this process, or sent to a leader; answered by the state, whoever leads."""

    def __init__(self, answer: asyncio.Future) -> None:
        self.data, self.answer, self.term = b"", answer, -1
        answer.add_done_callback(lambda told: told.cancelled() or told.exception())  # nobody may wait any more


class Proposals:
    """Owner of the requests that are open. The same request is asked again until its answer, and carried out once."""

    def __init__(
        self, who: str, engine: Engine, send: Callable[[str, AnyFrame], None], clock: Callable[[], float], again: float
    ) -> None:
        """`who`: one run of this process; `again`: seconds until a request is asked again that may have got lost."""
        self._who, self._engine, self._send, self._clock, self._again = who, engine, send, clock, again
        self._last = 0
        self._open: dict[int, _Open] = {}
        self._line: deque[asyncio.Future] = deque()  # calls that wait for a number
        self._forwarded: dict[tuple[str, int], tuple[str, int]] = {}  # by request: who sent it, in which term
        self.failed: ClusterError | None = None

    def __len__(self) -> int:
        """Proposals that have no answer yet, sent or still waiting."""
        return len(self._open) + len(self._line)

    def _free(self) -> bool:
        """Whether a next number is not so far beyond an open one that the answer kept for that one would be dropped."""
        return not self._open or self._last + 1 - min(self._open) < leases.MOST_ANSWERS

    def _next(self) -> int:
        self._last += 1
        self._open[self._last] = _Open(asyncio.get_running_loop().create_future())
        return self._last

    async def _number(self, deadline: float) -> int:
        if not self._line and self._free():
            return self._next()
        if len(self._line) >= MOST_WAITING:
            raise TooBusy
        turn = asyncio.get_running_loop().create_future()
        self._line.append(turn)
        try:
            return await asyncio.wait_for(turn, deadline)
        except TimeoutError:
            raise TooBusy from None

    def _over(self, number: int) -> None:
        del self._open[number]
        while self._line and self._free():
            turn = self._line.popleft()
            if not turn.done():
                turn.set_result(self._next())

    async def propose(self, command: Command, deadline: float) -> Answer:
        """The state's answer within `deadline` seconds.

        Raises NoQuorum (in doubt), TooBusy (no place in line here; not asked), TooLarge, or what has failed.
        """
        until = self._clock() + deadline
        if self.failed is not None:
            raise self.failed
        number = await self._number(deadline)
        one = self._open[number]
        try:
            data = leases.request(self._who, number, command)
            if len(data) > MOST_ENTRY:
                raise TooLarge(f"{len(data)} bytes")
            if self.failed is not None:
                raise self.failed
            one.data = data
            while True:
                self._ask(number, one)
                left = until - self._clock()
                await asyncio.wait((one.answer,), timeout=max(0.0, min(left, self._again)))
                if one.answer.done():
                    return one.answer.result()
                if self._clock() >= until:
                    raise NoQuorum(f"within {deadline:g} s")
        finally:
            self._over(number)

    def _ask(self, number: int, one: _Open) -> None:
        core = self._engine.core
        if not one.data:
            return  # it has just been let in
        if core.leading:
            if one.term != core.term:
                try:
                    one.term = self._engine.propose(one.data)
                except (NotLeading, TooBusy):
                    return  # it is asked again
        elif core.leader is not None:
            self._send(core.leader, Forward(number, one.data))

    def leader_changed(self) -> None:
        """Ask the new leader for all that is open: what the last one was asked may be lost with it."""
        for number, one in list(self._open.items()):
            self._ask(number, one)

    def forwarded(self, sender: str, message: Forward) -> None:
        """Another process asks this one, which leads or did. One that cannot take it is silent: it is asked again."""
        core, asked = self._engine.core, leases.read_request(message.data)
        if (
            not core.leading
            or asked is None
            or asked.number != message.number
            or asked.who.rpartition("#")[0] != sender
        ):
            return
        key = asked.who, asked.number
        if self._forwarded.get(key, ("", -1))[1] == core.term:
            return  # it is on its way
        try:
            term = self._engine.propose(message.data)
        except (NotLeading, TooBusy, TooLarge):
            return
        self._forwarded.pop(key, None)
        self._forwarded[key] = sender, term
        if len(self._forwarded) > MOST_FORWARDED:
            del self._forwarded[next(iter(self._forwarded))]

    def answered(self, message: Answered) -> None:
        """Hand an answer to whoever waits for it; one for an earlier run of this process is dropped."""
        if message.who != self._who:
            return  # an earlier run's, whose numbers were the same
        try:
            self._give(message.number, leases.read_answer(message.data))
        except ValueError:
            pass  # of another version; the entry itself will come

    def applied(self, asked: Asked, answer: Answer) -> None:
        """A request was carried out here, whoever asked it."""
        if asked.who == self._who:
            self._give(asked.number, answer)
        asker = self._forwarded.pop((asked.who, asked.number), None)
        if asker is not None:
            self._send(asker[0], Answered(asked.who, asked.number, leases.encode(answer)))

    def _give(self, number: int, answer: Answer | ClusterError) -> None:
        one = self._open.get(number)
        if one is None or one.answer.done():
            return
        if isinstance(answer, ClusterError):
            one.answer.set_exception(answer)
        else:
            one.answer.set_result(answer)

    def fail(self, bad: ClusterError) -> None:
        """Nothing is asked any more."""
        self.failed = bad
        for number in list(self._open):
            self._give(number, bad)
