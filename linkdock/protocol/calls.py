"""Calls to backend servers: one dispatch over one connection, alone or as a batch, and how it ended."""

from __future__ import annotations

import logging
from asyncio import Future
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from ..connections.pool import BUFFER, Connection, PoolFull
from ..errors import log_line
from ..facade import CANCELLED, DELIVERED, ERROR, NOT_CONNECTED, NOT_SENT, RESET, TIMED_OUT
from ..facade import Dispatch as Order
from ..state.requests import Request
from ..streams import answer_lag, silent
from . import ambiguous, batches, http, outcomes
from .ambiguous import AmbiguousAnswer
from .backend import Backend
from .connection_wish import ConnectionWish

if TYPE_CHECKING:
    from ..state.wheel import Timer

log = logging.getLogger(__name__)

MOST_BODY = 64 * 1024
ROOM_OF_ONE = 200  # bytes of a batch that one message takes at most besides its body
MARGIN = 0.05  # seconds before the told end of a call at which it is given up
REST_OF_ANSWER = 0.5  # seconds that an answer may take from its first byte to its last
SECOND_ANSWER = 2.0  # times the slowest of a server's last answers: so long a second one is waited for
CLOSED = 0.1  # seconds until a server has surely met the close of a connection


class Call:
    """One dispatch. It owns its connection while it runs, and ends each of its items once."""

    def __init__(self, backend: Backend, order: Order, requests: list[Request]) -> None:
        self._backend, self.server, self._row = backend, order.server, backend.table.row(order.server)
        self._requests = {r.id: r for r in requests}
        self.items = {item.request: item for item in order.items}  # without an outcome yet
        self._began, self._given_up = backend.clock(), set()  # the latter: items given up, for a late answer
        self._writing: Future | None = None  # of its bytes, from the first on
        self._fresh = False  # whether it goes over a connection that nothing went over before
        self._single = True  # whether one answer counts for one item
        self._named: frozenset[str] = frozenset()  # the requests of a shared call, as it was written
        self._ordered = any(r.ordered for r in requests)
        self._carried: list[str] = []  # requests of ordered classes whose first byte went out
        self._answered = False  # whether the whole answer was read
        self._spoilt = False  # whether the answer began and did not end in time, or stays ambiguous
        self._read: Future | None = None  # the read that waits for the answer
        self._silent_after = False  # whether nothing had come when a copy of an earlier answer would have
        self._crossing = 0.0  # seconds after its last byte in which a copy of an earlier answer may come
        self._first_byte_after = 0.0  # seconds from its last byte until the first line of what came was read,
        self._surely_after = 0.0  # and by the kernel's times, where they tell
        self._unproven = False  # whether what came may have been on its way before the call
        self._too_soon = False  # whether what came may have been written before the server had the call
        self._in_step = True  # whether the answers on its connection are those to its calls
        self._ambiguous: AmbiguousAnswer | None = None  # held back until a second one tells whose it is
        self._behind = b""  # what came behind it, not read yet
        self._no_second: Timer | None = None  # when none is waited for any more
        self._wish = ConnectionWish(backend, order.server, self._row, lambda: bool(self.items))
        self._written_at, self._parser = 0.0, http.AnswerParser(MOST_BODY)
        self._last_byte_at = 0.0  # when all of it was written
        # Danger: an answer to several after the time of one of them. The platform takes a shared call's time from one
        # message, and a later answer delivers none of them, whatever it says of the others.
        self._due = min((r.until for r in requests), default=inf)
        self._timers = {
            r: backend.wheel.after(max(item.limit - MARGIN, item.limit / 2), lambda r=r: self._late(r))
            for r, item in self.items.items()
        }

    @property
    def _connection(self) -> Connection | None:
        return self._wish.connection

    @property
    def _sent(self) -> bool:
        """Whether the last byte is written, also where the loop has not come back to `_exchange` since.

        Danger: a proof that is none. At the process's end the wait for the write is cancelled, not the write.
        """
        write = self._writing
        return (
            write is not None
            and write.done()
            and (not self._connection.stream.writing() if write.cancelled() else write.exception() is None)
        )

    @property
    def _told(self) -> bool:
        """Whether a first line with 200 has come to a call with one message: it is delivered, whatever follows."""
        return self._single and self._parser.status == 200 and not self._too_soon

    # --- Ends.

    def _end(self, request: str, how: str, **more) -> None:
        item = self.items.pop(request, None)
        if item is not None:
            if how == DELIVERED and self._backend.clock() - self._began > item.limit:
                how = TIMED_OUT  # Danger: after its time an answer delivers nothing, even before the timer
            if how in (RESET, TIMED_OUT):
                # Danger: a machine that is gone or cut off leaves its connections open and silent, and resets
                # them once it is back, with whatever was written. Costs a new one where the server was slow.
                self._backend.pool.retire(self.server)
            self._timers.pop(request).cancel()
            if how == DELIVERED:
                more["due"] = self._due
            elif self._ambiguous is not None:
                more |= self._in_both_cases(request)
            if self._backend.observer is not None:
                more["read"] = self._parser.so_far()
            self._backend.owner.ended(self.server, item, how, self._backend.clock() - self._began, **more)

    def _end_all(self, how: str, **more) -> None:
        for request in list(self.items):
            self._end(request, how, **more)

    def _once_read(self, then: Callable[[], None]) -> bool:
        """Whether something lies in the socket that a process which was held up has not read; `then` follows on it."""
        if self._connection is None or self._read is None or silent(self._connection.stream, self._read):
            return False
        self._read.add_done_callback(lambda _: then())  # behind the call, which waits for it already
        return True

    def _give_up(self, request: str, how: str, read: bool = False) -> None:
        """End an item that no more is waited for; `read`: what had come by then has been read."""
        if request not in self.items or not read and self._once_read(lambda: self._give_up(request, how, True)):
            return
        self._end(request, DELIVERED if self._told else how)
        self._given_up.add(request)
        if self.items:
            return
        self._wish.give_up()  # the one way to take a call back; it frees the slot

    def cancel(self, request: str) -> None:
        """Stop waiting for one item."""
        self._give_up(request, CANCELLED if self._sent else NOT_SENT)

    def _late(self, request: str) -> None:
        self._give_up(request, TIMED_OUT if self._sent else NOT_SENT if self._wish.not_served() else NOT_CONNECTED)

    # --- The call.

    async def run(self) -> None:
        """Carry the call out. Whatever happens, every item ends and the connection goes back."""
        reusable, how = False, None
        try:
            if self.items:
                reusable = await self._exchange()
        except PoolFull:
            how = NOT_SENT
        except (StreamClosedError, OSError):
            if self._spoilt:  # else by the other side, or by giving up
                what = "an answer without end" if self._ambiguous is None else "no second answer"
                log.warning("backend server %s: %s to %s", self.server, what, self._ids())
                how = await self._closed()
            elif (
                self._writing is not None
                and self.items
                and not self._parser.read
                and self._ambiguous is None
                and self._backend.kept is not None
            ):
                self._backend.kept.used(self._connection, False)  # given up by nobody here, and nothing came on it
        except http.BadAnswer as bad:
            log.warning("backend server %s: %s", self.server, log_line(bad))
            how = await self._closed()
        finally:
            self._end_all(DELIVERED if self._told else how or (RESET if self._sent else NOT_CONNECTED))
            if self._connection is not None:
                pool = self._backend.pool
                (pool.give_back if reusable else pool.discard)(self._connection)
            self._let_go()

    def _let_go(self) -> None:
        """Tell when the call cannot be running any more, which the next message of a key waits for."""
        carried, self._carried = self._carried, []
        if not carried:
            return

        def over() -> None:
            for request in carried:
                self._backend.owner.call_over(request)

        if self._sent and not self._answered:
            self._backend.wheel.after(CLOSED, over)  # the server has not met the close of the connection yet
        else:
            over()

    async def _closed(self) -> str:
        """Close over a spoilt answer. Danger: the next of its key would come to its server before the close does."""
        self._connection.stream.close()
        if not self._ordered:
            return ERROR
        await self._backend.wheel.pause(CLOSED)
        return RESET  # it may be running still

    async def _exchange(self) -> bool:
        if self._row is None:  # gone since the decisions chose it
            self._end_all(NOT_SENT)
            return False
        backend = self._backend
        await self._wish.fulfil(
            careful=not all(backend.owner.repeatable(request) for request in self._requests.values())
        )
        if not self.items:
            return backend.kept is not None  # the keeper's lies untouched; else it was closed to give the call up
        if self._wish.replaced():
            self._end_all(NOT_SENT, tried=False)
            return False
        backend.first_bytes.reached(self.server, self._connection.peer)
        stream, size = self._connection.stream, 0
        for request, item in list(self.items.items()):
            # Danger: while the connection came up a wait, a drain or an end may have been told. And a batch
            # of large bodies would be too long as a whole: what does not fit goes in a call of its own.
            room = len(self._requests[request].body) * 4 // 3 + ROOM_OF_ONE
            if size and size + room > MOST_BODY:
                self._end(request, NOT_SENT, tried=False)
            elif not backend.owner.may_go(self.server, item):
                # With what is left of a wait, which another process of this sender may have been told.
                self._end(request, NOT_SENT, wait=backend.table.waits(self.server, backend.clock()))
            else:
                size += room
        if not self.items:
            return True
        if self._connection.first is not None and not silent(stream, self._connection.first):
            self._end_all(NOT_SENT)  # something came while this was put on record, and would pass for its answer
            return False
        self._carried = [request for request in self.items if self._requests[request].ordered]
        for request in self._carried:
            backend.owner.call_began(request)
        self._fresh = self._connection.first is None or backend.kept is not None and self._connection.age < 0
        self._written_at, count = backend.clock(), len(self.items)
        self._writing = stream.write(self._encode())
        await self._writing
        self._last_byte_at = backend.clock()
        if backend.figures is not None:
            backend.figures.relayed += count
        if backend.observer is not None:
            backend.observer.written(self.server, self.items, self._fresh)
        return await self._answer()

    def _encode(self) -> bytes:
        left = max(item.limit for item in self.items.values()) - (self._backend.clock() - self._began)
        headers = {"X-Expires-In": f"{max(left, 0.001):.3f}"}
        dial = self._connection.peer.address
        requests = [self._requests[r] for r in self.items]
        self._single = len(requests) == 1
        if self._single:
            headers["X-Trace-Id"], key = requests[0].id, requests[0].idempotency_key
            headers |= {"Idempotency-Key": key} if key else {}
            return http.request("POST", "/v1/messages", dial, headers, requests[0].body)
        self._named = frozenset(self.items)
        headers["Content-Type"] = "application/json"
        return http.request("POST", "/v1/messages:batch", dial, headers, batches.encode(requests))

    async def _answer(self) -> bool:
        """Read the answer, and return whether its connection can carry another call.

        Danger: a spoilt answer. A single call's first line with 200 is true by itself, whatever follows; any
        other answer counts only if the whole of it can be read, or else the call may have run.
        """
        head, body, timer = None, bytearray(), None
        self._crossing = self._backend.first_bytes.crossing(self.server)
        look = None if self._fresh else self._backend.wheel.after(self._crossing, self._look)
        try:
            while True:
                for part in await self._next_parts():
                    if isinstance(part, http.Head):
                        head = part
                    elif isinstance(part, http.Body):
                        body += part.data
                    elif self._take_answer(head, bytes(body)):
                        return part.keep and self._in_step
                    else:
                        head, body = None, bytearray()
                if self._told and self.items and not self._ordered:  # else others of its key wait for all of it
                    if head is not None:
                        self._judge(head, bytes(body))
                    self._end_all(DELIVERED)
                if timer is not None and not self._parser.begun:
                    timer.cancel()  # what had begun was a 1xx answer in pieces, and the one to the call is to come
                    timer = None
                elif timer is None and self._parser.begun:
                    timer = self._backend.wheel.after(REST_OF_ANSWER, self._without_end)
        finally:
            for one in (look, timer, self._no_second):
                if one is not None:
                    one.cancel()

    async def _next_parts(self) -> list[http.Head | http.Body | http.Whole]:
        """What the next bytes bring. Raises StreamClosedError where the connection ends within an answer."""
        if self._behind:
            data, self._behind = self._behind, b""
            return self._feed(data)
        connection = self._connection
        self._read = connection.first or connection.stream.read_bytes(BUFFER, partial=True)
        connection.first = None
        try:
            data = await self._read
        except StreamClosedError:
            if parts := self._parser.eof():
                return parts
            raise
        if not self._parser.read and self._ambiguous is None and self._backend.kept is not None:
            self._backend.kept.used(self._connection, True, self._backend.clock() - self._written_at)
        return self._feed(data)

    def _feed(self, data: bytes) -> list[http.Head | http.Body | http.Whole]:
        begun = self._parser.status is not None or self._ambiguous is not None
        try:
            return self._parser.feed(data)
        finally:  # also of an answer that cannot be read beyond its first line
            if not begun and self._parser.status is not None:
                self._answer_began()

    def _look(self) -> None:
        """A copy of an earlier answer that crossed the call has come by now."""
        self._silent_after = (
            self._read is not None and not self._parser.begun and silent(self._connection.stream, self._read)
        )

    def _lag(self) -> float:
        """At least how many seconds the answer came after the call; 0.0 where more has come than this answer."""
        more = self._parser.whole and self._parser.rest
        return 0.0 if more else answer_lag(self._connection.stream)

    def _answer_began(self) -> None:
        """The first line of the answer has come, behind any 1xx."""
        lag, self._first_byte_after = self._lag(), self._backend.clock() - self._last_byte_at
        # The kernel's time of it is no later than the true one, however late a process that was held up comes to it.
        self._surely_after = min(lag, self._first_byte_after) or self._first_byte_after
        self._unproven = not self._fresh and not self._silent_after and lag <= self._crossing
        delivery = self._parser.status == 200
        self._too_soon = self._unproven and self._backend.first_bytes.is_slow(self.server, delivery)

    def _take_answer(self, head: http.Head, body: bytes) -> bool:
        """A whole answer has come; whether it was judged. Raises BadAnswer where nothing more is to be had of it."""
        repeats = self._connection.repeats(head.status, head.headers, body)
        if self._ambiguous is not None:
            # Behind a copy comes the answer, and behind an answer at the most a copy of it: the second one is true.
            log.info("backend server %s: a second answer, %d, to %s", self.server, head.status, self._ids())
            self._ambiguous, self._in_step = None, False
        elif repeats and (self._too_soon or self._unproven and self._single and head.status in ambiguous.OVER_UNSERVED):
            self._hold_back(head, body)
            return False
        else:
            self._note_first_byte(head)
        self._answered = True
        self._judge(head, body)
        return True

    def _note_first_byte(self, head: http.Head) -> None:
        """Learn from what was taken for the answer how soon the server begins one."""
        self._backend.first_bytes.note(self.server, self._first_byte_after, head.status == 200)
        if not self._connection.repeated:
            self._backend.first_bytes.note_sure(self.server, self._surely_after)

    def _hold_back(self, head: http.Head, body: bytes) -> None:
        """Wait for a second answer behind one that may be a copy of the one before the call.

        Raises BadAnswer where none could do better. Its connection serves no further.
        """
        backend, now = self._backend, self._backend.clock()
        after = now - self._last_byte_at
        states = outcomes.states(self.server, body) if head.status == 200 and not self._single else None
        self._ambiguous = AmbiguousAnswer(head.status, states, self._single, now + self._bind_wait(head))
        self._behind, self._parser, self._too_soon = self._parser.rest, http.AnswerParser(MOST_BODY), False
        requests = [self._requests[request] for request in self.items]
        if not any(self._ambiguous.worth_waiting(r.id, backend.owner.repeatable(r)) for r in requests):
            raise http.BadAnswer(f"{head.status} to {self._ids()}, {after:.4f} s after it, as to the call before")
        log.info(
            "backend server %s: %d to %s, %.4f s after it, as to the call before: held back",
            self.server,
            head.status,
            self._ids(),
            after,
        )
        wait = SECOND_ANSWER * backend.first_bytes.longest(self.server)
        self._no_second = backend.wheel.after(wait, self._without_end)

    def _in_both_cases(self, request: str) -> dict:
        """What holds for a message whether the answer that is held back is the call's or a copy of an earlier one."""
        over = self._ambiguous.over(request)
        return {"over": over, "owed": over, "wait": max(0.0, self._ambiguous.wait_until - self._backend.clock())}

    def _ids(self) -> str:
        return " ".join(self.items)

    def _without_end(self, read: bool = False) -> None:
        """No more of an answer, or of a second one, is waited for; `read`: what had come by then has been read."""
        if not read and self._once_read(lambda: self._without_end(True)):
            return
        self._spoilt = True
        self._connection.stream.close()

    def _said(self, head: http.Head) -> dict:
        """What every answer may tell besides its outcome: a wait and a load report."""
        return {"wait": self._bind_wait(head), "load": self._backend.load(head.headers)}

    def _bind_wait(self, head: http.Head) -> float:
        """The wait that an answer tells, in seconds; from now on it binds."""
        wait = http.number(head.headers.get("retry-after", "")) or 0.0
        if wait:
            route = self._backend.table.told_wait(self._row, self._backend.clock() + wait)
            if self._backend.observer is not None:
                self._backend.observer.wait(self.server, route, wait)
        return wait

    def _judge(self, head: http.Head, body: bytes) -> None:
        """End every item of the call by what the whole answer says."""
        more = self._said(head)
        if head.status == 200 and not self._single:
            return self._judge_batch(body, more)
        outcome = outcomes.of_status(head, self._single, self._fresh)
        if outcome.how == NOT_CONNECTED:
            self._began = self._written_at  # how long the dial took says nothing of it
        if head.status == 503 and self._backend.kept is not None:
            self._backend.kept.told_full(self._connection, self._backend.clock() - self._written_at)
        if head.status in outcomes.UNUSABLE:
            for request in self._requests.values():
                request.alone = True  # else it would spoil each call that it shares, on and on
            log.error("backend server %s turned away what it cannot use: %d", self.server, head.status)
        self._end_all(outcome.how, over=outcome.over, owed=outcome.owed, **more)

    def _judge_batch(self, body: bytes, more: dict) -> None:
        states = outcomes.states(self.server, body)
        self._in_step = states.keys() == self._named  # else it may be the answer to an earlier call
        for request in list(self.items):
            outcome = outcomes.of_state(states.get(request), self._in_step)
            self._end(request, outcome.how, over=outcome.over, owed=outcome.owed, **more)
        for request in self._given_up:
            if states.get(request) == "done":
                self._backend.owner.delivered_late(request, self._due)
