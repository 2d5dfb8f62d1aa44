"""How requests pass from life to life: what an earlier one owed, what the store sends again, what another takes on."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ..errors import log_line
from ..facade import KeyHeld, Take, Withdraw
from ..interface import Effect
from ..protocol.calls import CLOSED
from ..state.journal_records import Kept
from ..state.requests import Refused, Request
from ..state.steady_clock import MomentError
from .context import SenderContext
from .ends import Ends

if TYPE_CHECKING:
    from ..undeliverable.facts import Message


log = logging.getLogger(__name__)

HAND_OVER_BATCH = 64  # requests left to another process at once, `MOST_MOVED` at most: clients are answered in between


class Recovery:
    """Requests that no client waits for: they begin, or go, by the journal alone."""

    def __init__(self, context: SenderContext, ends: Ends) -> None:
        self._context, self._ends = context, ends

    def take_up(self, left: Iterable[Kept]) -> None:
        """Take up what is owed by the journal, and by nobody else any more."""
        context = self._context
        for kept in left:
            if context.observer is not None:
                context.observer.restored(kept)
            resent = context.undeliverable is not None and kept.id in context.undeliverable.again
            if kept.again and not resent:
                self._end_resent(kept)
            elif kept.notice is not None:
                self._post_again(kept)
            elif not self._may_go_on(kept):
                self._end_at_once(kept, resent)
            else:
                self._go_on(kept)

    def _end_resent(self, kept: Kept) -> None:
        """One that was sent again from the store, which has its outcome: only the journal's end is missing.

        Where the store cannot be asked it waits for a life that can.
        """
        context = self._context
        if context.undeliverable is None or not context.undeliverable.readable:
            return
        context.journal.end(kept.id)
        if context.observer is not None:
            context.observer.over(kept.id, "withdrawn", kept.until - context.journal.clock.now())

    def _post_again(self, kept: Kept) -> None:
        """One that is over, and whose notice the platform has not confirmed."""
        self._ends.remember(kept.id)
        self._keep_turn(kept)
        # What is in the store already stays as it is there; a kill may have come before.
        self._ends.keep(kept.id, kept.notice, False)
        self._context.notices.post(kept.notice)

    def _may_go_on(self, kept: Kept) -> bool:
        """Whether it may be dispatched: it surely has not run or may be repeated, and has a try left."""
        rules = self._context.rules
        cls = rules.classes.get(kept.cls)
        if cls is None:
            log.warning("%s of the class %r, which is not configured, ends undelivered", kept.id, kept.cls)
            return False
        # No client is given more time than the front lets it ask for.
        left = kept.until - self._context.journal.clock.now()
        longest = 2 * max(one.deadline for one in rules.settings.classes)
        if left > longest or kept.until < 0:
            bad = MomentError(f"{kept.id} has {left:.0f} s left, and {longest:.0f} at the most")
            log.warning("%s", log_line(bad))
            return False
        return (not kept.doubt or rules.repeatable(cls)) and kept.tries < rules.settings.max_attempts

    def _end_at_once(self, kept: Kept, resent: bool) -> None:
        """One for which nobody can do more. `resent`: the store of undeliverable messages hears of it alone."""
        context = self._context
        if resent:
            self._ends.over_again(kept.id, False)
        else:
            self._ends.remember(kept.id)
            self._keep_turn(kept)
            self._ends.owe_notice(kept.id, {"id": kept.id, "status": "undeliverable"}, False)
            if context.figures is not None:
                context.figures.came += 1
                context.figures.over(context.rules.classes.get(kept.cls), "faulted")
        if context.observer is not None:
            context.observer.over(kept.id, "undeliverable", kept.until - context.journal.clock.now())

    def _go_on(self, kept: Kept) -> None:
        """One that is tried again, in the time that it has left."""
        context = self._context
        cls = context.rules.classes[kept.cls]
        rest = max(0.0, kept.until - context.journal.clock.now())
        request = Request(
            kept.id,
            kept.key,
            cls,
            kept.destination,
            context.clock() + rest,
            kept.body,
            tenant=kept.tenant,
            idempotency_key=kept.idempotency_key,
            taken_at=kept.taken_at,
        )
        order = self._key(kept)
        request.ordered = order != 0
        context.requests.add(request)
        if context.figures is not None:
            context.figures.came += 1
        context.facade.report(
            Take(
                kept.id,
                cls,
                kept.destination,
                rest,
                order,
                held=True,
                used=kept.used,
                tenant=context.tenant(kept.tenant),
                tries=kept.tries,
                taken_at=kept.taken_at,
            )
        )

    def _keep_turn(self, kept: Kept) -> None:
        """One that ends by a notice keeps its key until that is confirmed, and the calls of its process have ended."""
        context = self._context
        key = self._key(kept)
        if not key:
            return
        context.facade.report(KeyHeld(kept.id, key, kept.taken_at))
        self._ends.call_began(kept.id)
        context.after(CLOSED, lambda: self._ends.call_over(kept.id))

    def _key(self, kept: Kept) -> int:
        try:
            return self._context.key_on_record(kept)
        except Refused as why:  # its class did not go in order when it was taken on
            log.warning("%s goes in no order: %s", kept.id, why)
            return 0

    def resend(self, message: Message) -> bool:
        """Take one that could not be delivered on again, as new work with a deadline of its own; False where it cannot.

        The platform has heard its end; it hears nothing of this. Live traffic has the first half of the room.
        """
        context = self._context
        cls = context.rules.classes.get(message.cls)
        busy = 2 * len(context.requests) >= context.rules.settings.max_open
        # Danger: the store has no idempotency key, without which a server could not drop a repeat.
        keyed = cls is not None and context.rules.settings.classes[cls].effect is Effect.KEYED
        if (
            cls is None
            or keyed
            or busy
            or not context.table.knows(message.destination)
            or context.requests.get(message.id)
        ):
            return False
        left = context.rules.settings.classes[cls].deadline
        request = Request(message.id, message.key, cls, message.destination, context.clock() + left, message.body)
        try:
            key = context.order_key(request)
        except Refused:
            return False
        kept = Kept(
            message.id,
            message.key,
            message.cls,
            message.destination,
            context.journal.clock.now() + left,
            message.body,
            again=True,
            taken_at=request.taken_at,
        )
        if not context.journal.take(kept):
            return False
        context.journal.hold(message.id)
        if context.observer is not None:
            context.observer.resent(kept)
        context.requests.add(request)
        if context.figures is not None:
            context.figures.came += 1
        context.facade.report(
            Take(
                message.id,
                cls,
                message.destination,
                left,
                key,
                held=True,
                tenant=context.tenant(""),
                taken_at=request.taken_at,
            )
        )
        return True

    def hand_over(self, busy: Callable[[str], bool], give: Callable[[list[str]], bool]) -> bool:
        """Leave a batch of what is on record and not `busy` here to another process, by `give`; whether more waits.

        It stays where that fails.
        """
        context = self._context
        waiting = [r.id for r in context.requests if r.id in context.journal.kept and not busy(r.id)]
        batch = waiting[:HAND_OVER_BATCH]
        if not batch or not give(batch):
            return False
        for request in batch:
            context.requests.remove(request)
            self._ends.remember(request)
            context.facade.report(Withdraw(request))
        if context.figures is not None:
            context.figures.came -= len(batch)  # the other counts them
        return len(waiting) > len(batch)
