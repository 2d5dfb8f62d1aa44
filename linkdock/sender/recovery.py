"""How requests pass from life to life: what an earlier one owed, what the store sends again, what another takes on."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ..facade import KeyHeld, Take, Withdraw
from ..interface import Effect
from ..protocol.calls import CLOSED
from ..state.journal_records import Kept
from ..state.requests import Refused, Request
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
        b = self._context
        now, unix = b.clock(), time.time()
        longest = 2 * max(cls.deadline for cls in b.rules.settings.classes)
        for kept in left:
            if b.observer is not None:
                b.observer.restored(kept)
            again = b.undeliverable is not None and kept.id in b.undeliverable.again
            if kept.again and not again:
                # Danger: one that was sent again, and whose outcome the store has. Only the journal's end is missing.
                # Where the store cannot be asked it waits for a life that can.
                if b.undeliverable is not None and b.undeliverable.readable:
                    b.journal.end(kept.id)
                    if b.observer is not None:
                        b.observer.over(kept.id, "withdrawn", kept.until - unix)
                continue
            if kept.notice is not None:
                self._ends.remember(kept.id)
                self._keep_turn(kept)
                # What is in the store already stays as it is there; a kill may have come before.
                self._ends.keep(kept.id, kept.notice, False)
                b.notices.post(kept.notice)
                continue
            cls = b.rules.classes.get(kept.cls)
            if cls is None:
                log.warning("%s of the class %r, which is not configured, ends undelivered", kept.id, kept.cls)
            if cls is None or kept.doubt and not b.rules.repeatable(cls) or kept.tries >= b.rules.settings.max_attempts:
                # It may have run and may not be repeated, or has no try left: nobody can do more, so that it ends now.
                if again:
                    self._ends.over_again(kept.id, False)
                    if b.observer is not None:
                        b.observer.over(kept.id, "undeliverable", kept.until - unix)
                    continue
                self._ends.remember(kept.id)
                self._keep_turn(kept)
                self._ends.owe_notice(kept.id, {"id": kept.id, "status": "undeliverable"}, False)
                if b.figures is not None:
                    b.figures.came += 1
                    b.figures.over(cls, "faulted")
                if b.observer is not None:
                    b.observer.over(kept.id, "undeliverable", kept.until - unix)
                continue
            # A clock may have been set back: no client is given more than the front lets it ask for.
            rest = min(max(0.0, kept.until - unix), longest)
            request = Request(
                kept.id,
                kept.key,
                cls,
                kept.destination,
                now + rest,
                kept.body,
                tenant=kept.tenant,
                idempotency_key=kept.idempotency_key,
                taken_at=kept.taken_at,
            )
            order = self._key(kept)
            request.ordered = order != 0
            b.requests.add(request)
            if b.figures is not None:
                b.figures.came += 1
            b.facade.report(
                Take(
                    kept.id,
                    cls,
                    kept.destination,
                    rest,
                    order,
                    held=True,
                    used=kept.used,
                    tenant=b.tenant(kept.tenant),
                    tries=kept.tries,
                    taken_at=kept.taken_at,
                )
            )

    def _keep_turn(self, kept: Kept) -> None:
        """One that ends by a notice keeps its key until that is confirmed, and the calls of its process have ended."""
        b = self._context
        key = self._key(kept)
        if not key:
            return
        b.facade.report(KeyHeld(kept.id, key, kept.taken_at))
        self._ends.call_began(kept.id)
        b.after(CLOSED, lambda: self._ends.call_over(kept.id))

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
        b = self._context
        cls = b.rules.classes.get(message.cls)
        busy = 2 * len(b.requests) >= b.rules.settings.max_open
        # Danger: the store has no idempotency key, without which a server could not drop a repeat.
        keyed = cls is not None and b.rules.settings.classes[cls].effect is Effect.KEYED
        if cls is None or keyed or busy or not b.table.knows(message.destination) or b.requests.get(message.id):
            return False
        left = b.rules.settings.classes[cls].deadline
        request = Request(message.id, message.key, cls, message.destination, b.clock() + left, message.body)
        try:
            key = b.order_key(request)
        except Refused:
            return False
        kept = Kept(
            message.id,
            message.key,
            message.cls,
            message.destination,
            time.time() + left,
            message.body,
            again=True,
            taken_at=request.taken_at,
        )
        if not b.journal.take(kept):
            return False
        b.journal.hold(message.id)
        if b.observer is not None:
            b.observer.resent(kept)
        b.requests.add(request)
        if b.figures is not None:
            b.figures.came += 1
        b.facade.report(
            Take(
                message.id,
                cls,
                message.destination,
                left,
                key,
                held=True,
                tenant=b.tenant(""),
                taken_at=request.taken_at,
            )
        )
        return True

    def hand_over(self, busy: Callable[[str], bool], give: Callable[[list[str]], bool]) -> bool:
        """Leave a batch of what is on record and not `busy` here to another process, by `give`; whether more waits.

        It stays where that fails.
        """
        b = self._context
        waiting = [r.id for r in b.requests if r.id in b.journal.kept and not busy(r.id)]
        batch = waiting[:HAND_OVER_BATCH]
        if not batch or not give(batch):
            return False
        for request in batch:
            b.requests.remove(request)
            self._ends.remember(request)
            b.facade.report(Withdraw(request))
        if b.figures is not None:
            b.figures.came -= len(batch)  # the other counts them
        return len(waiting) > len(batch)
