"""Requests of this process on their way through the log, and those of others that this process, leading, has taken."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count

from . import leases
from .errors import ClusterError, NoQuorum, NotLeading, TooBusy, TooLarge
from .interface import MOST_ENTRY, Log
from .leases import Answer, Asked, Command
from .wire import Answered, AnyFrame, Forward

MOST_WAITING = 1024     # calls of `propose` that wait for one of the places in the log
MOST_FORWARDED = 4096   # requests of others whose askers are known


class _Open:
    """One request: proposed in `term` by this process, or sent to a leader; answered by the state, whoever leads."""

    def __init__(self, data: bytes, answer: asyncio.Future) -> None:
        self.data, self.answer, self.term = data, answer, -1


class Proposals:
    """Owner of the requests that are open. The same request is asked again until its answer, and carried out once."""

    def __init__(self, who: str, core: Callable[[], Log], send: Callable[[str, AnyFrame], None],
                 wake: Callable[[], None], clock: Callable[[], float], again: float) -> None:
        """`who`: one run of this process; `again`: seconds until a request is asked again that may have got lost."""
        self._who, self._core, self._send, self._wake, self._clock, self._again = who, core, send, wake, clock, again
        self._numbers = count(1)
        self._open: dict[int, _Open] = {}
        self._places = asyncio.Semaphore(leases.MOST_ANSWERS)
        self._waiting = 0
        self._forwarded: dict[tuple[str, int], tuple[str, int]] = {}   # by request: who sent it, in which term
        self.failed: ClusterError | None = None

    def __len__(self) -> int:
        return len(self._open) + self._waiting

    async def propose(self, command: Command, deadline: float) -> Answer:
        """The state's answer within `deadline` seconds. Raises NoQuorum, TooBusy, TooLarge, or what has failed."""
        until = self._clock() + deadline
        if self.failed is not None:
            raise self.failed
        if self._waiting >= MOST_WAITING:
            raise TooBusy
        self._waiting += 1
        try:
            await asyncio.wait_for(self._places.acquire(), deadline)
        except TimeoutError:
            raise TooBusy from None
        finally:
            self._waiting -= 1
        number = next(self._numbers)
        data = leases.request(self._who, number, command)
        try:
            if len(data) > MOST_ENTRY:
                raise TooLarge(f"{len(data)} bytes")
            if self.failed is not None:
                raise self.failed
            one = self._open[number] = _Open(data, asyncio.get_running_loop().create_future())
            one.answer.add_done_callback(lambda answer: answer.cancelled() or answer.exception())   # it may be too late
            while True:
                self._ask(number, one)
                left = until - self._clock()
                await asyncio.wait((one.answer,), timeout=max(0.0, min(left, self._again)))
                if one.answer.done():
                    return one.answer.result()
                if self._clock() >= until:
                    raise NoQuorum(f"within {deadline:g} s")
        finally:
            self._open.pop(number, None)
            self._places.release()

    def _ask(self, number: int, one: _Open) -> None:
        core = self._core()
        if core.leading:
            if one.term != core.term:
                try:
                    one.term, _ = core.propose(self._clock(), one.data)
                except (NotLeading, TooBusy):
                    return   # it is asked again
                self._wake()
        elif core.leader is not None:
            self._send(core.leader, Forward(number, one.data))

    def leader_changed(self) -> None:
        """Danger: what the last leader was asked may be lost with it."""
        for number, one in list(self._open.items()):
            self._ask(number, one)

    def forwarded(self, sender: str, message: Forward) -> None:
        """Another process asks this one, which leads or did. One that does not lead is silent: it is asked again."""
        core, asked = self._core(), leases.read_request(message.data)
        if not core.leading or asked is None or asked.number != message.number \
                or asked.who.rpartition("#")[0] != sender:
            return
        key = asked.who, asked.number
        if self._forwarded.get(key, ("", -1))[1] == core.term:
            return   # it is on its way
        try:
            term, _ = core.propose(self._clock(), message.data)
        except NotLeading:
            return
        except (TooBusy, TooLarge):
            self._send(sender, Answered(*key))
            return
        self._forwarded.pop(key, None)
        self._forwarded[key] = sender, term
        if len(self._forwarded) > MOST_FORWARDED:
            del self._forwarded[next(iter(self._forwarded))]
        self._wake()

    def answered(self, message: Answered) -> None:
        if message.who != self._who:
            return   # an earlier run's, whose numbers were the same
        try:
            self._give(message.number, leases.read_answer(message.data) if message.data else TooBusy())
        except ValueError:
            pass   # of another version; the entry itself will come

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
