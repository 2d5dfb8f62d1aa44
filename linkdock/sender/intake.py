"""How requests come in: checked, reported to the decisions, and answered at the next tick, on record first."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..facade import Deny, Drop, Settled, Take, Withdraw
from ..state.journal_records import Kept
from ..state.requests import Answer, Busy, Failed, Refused, Request, Taken
from .context import SenderContext
from .ends import WAITED, Ends

if TYPE_CHECKING:
    from ..state.serving_mode import ServingMode

NO_LIST = 1.0  # seconds after which to come again to a sender that has no list yet


class Intake:
    """Owner of the requests whose clients have not been answered."""

    def __init__(self, context: SenderContext, ends: Ends, held_by_others: Callable[[str], bool]) -> None:
        """`ends` remembers which requests are over.

        `held_by_others` says whether another process of this sender has taken an id on.
        """
        self._context, self._ends, self._held_by_others = context, ends, held_by_others
        self._unanswered: dict[str, Request] = {}
        self.spread: Callable[[float], float] | None = None  # of times to come back, where the gate is on
        self.serving_mode: ServingMode | None = None  # whether clients are taken, where there are operators

    def __len__(self) -> int:
        """How many wait for their answer."""
        return len(self._unanswered)

    def __contains__(self, request: str) -> bool:
        """Whether the client of this id waits for its answer."""
        return request in self._unanswered

    def answer(self, finals: dict[str, Deny | Drop]) -> None:
        """Answer all that wait. What the decisions ended at once is taken out of `finals`: nothing more is owed."""
        unanswered, self._unanswered = self._unanswered, {}
        for request in unanswered.values():
            self._answer_one(request, finals.pop(request.id, None))

    def ask(
        self, cls: str, destination: int, left: float, request: Request, again: bool, held: bool, early: bool = False
    ) -> None:
        """A front hands in a request, which is answered at the next tick at the latest. Raises Refused.

        `early`: it may have lain in the socket until this process had started, however late it is read.
        """
        if self._context.observer is None:
            return self._ask(cls, destination, left, request, again, held, early)
        self._context.observer.handed_in(request, cls, left, again, held)
        try:
            self._ask(cls, destination, left, request, again, held, early)
        except Refused as why:
            self._context.observer.refused(request.id, cls, destination, str(why))
            raise

    def _ask(
        self, cls: str, destination: int, left: float, request: Request, again: bool, held: bool, early: bool
    ) -> None:
        if cls not in self._context.rules.classes:
            raise Refused("unknown class")
        unknown = not self._context.table.knows(destination)
        if unknown and self._context.table.told:
            raise Refused("unknown destination")
        if request.tenant not in self._context.rules.tenants:
            if request.tenant and self._context.rules.tenants:
                raise Refused("unknown tenant")
            request.tenant = ""  # nobody's, or of no interest here: nothing is kept of it
        if left > 2 * self._context.rules.settings.classes[self._context.rules.classes[cls]].deadline:
            raise Refused("d is beyond the deadline of its class")
        if early:
            # Danger: its time runs from when the client sent it, which may be as long ago as a client waits: it lay in
            # the socket until this process had started. Told too late, its end counts as none.
            left = max(0.0, left - WAITED)
        known = self._context.requests.get(request.id)
        if known is not None and known.answer is not None:
            raise Refused("this id is being handed in already")
        if known is not None or request.id in self._context.journal.kept or self._belongs_to_another(request.id):
            # The client came again over a new connection: what is owed is owed once. Danger: or another
            # client uses the id, and its message would go out under it once the first is over.
            self._tell(request, Taken(known=True))
            return
        request.cls, request.until = self._context.rules.classes[cls], self._context.clock() + left
        key = self._context.order_key(request)
        if self._context.figures is not None:
            self._context.figures.came += 1
        if unknown:
            # Danger: no list has come yet. Nobody can say that there is no such destination.
            self._tell(request, Busy(NO_LIST))
            return
        if self.serving_mode is not None and self.serving_mode.denies(self._context.clock()):
            self._tell(request, Busy(self.serving_mode.again))
            return
        if self._context.requests.full():
            self._tell(request, self._no_room(destination))
            return
        self._context.requests.add(request)
        self._unanswered[request.id] = request
        self._context.facade.report(
            Take(
                request.id,
                request.cls,
                destination,
                left,
                key,
                again,
                held,
                tenant=self._context.tenant(request.tenant),
                taken_at=request.taken_at,
            )
        )

    def _belongs_to_another(self, request: str) -> bool:
        """Whether the id is that of a message that has ended, or that another process of this sender has taken on."""
        return self._ends.remembered(request) or self._held_by_others(request)

    def give_way(self, request_id: str) -> None:
        """The id is that of a message which another process took on: whoever hands one in under it here is denied."""
        request = self._unanswered.pop(request_id, None)
        if request is not None:
            self._undo(request)
            self._tell(request, Busy(0.0))

    def deny_all(self) -> None:
        """No tick comes any more: whoever waits for one is denied."""
        for request_id in list(self._unanswered):
            self.give_way(request_id)

    def _undo(self, request: Request) -> None:
        """Begin nothing with a request that was reported to the decisions."""
        self._context.requests.remove(request.id)
        self._context.facade.report(Withdraw(request.id))
        self._context.facade.report(Settled(request.id))

    def _no_room(self, destination: int) -> Busy:
        """Turned away for want of room here, whatever the destination could do."""
        wait = self._context.facade.advice(destination)
        return Busy(wait if self.spread is None else self.spread(wait))

    def _tell(self, request: Request, said: Answer) -> bool:
        """Tell a client its one answer; whether it was still there."""
        answer, request.answer = request.answer, None
        heard = answer(said)
        if self._context.figures is not None and not isinstance(said, Taken):
            self._context.figures.over(request.cls, "throttled" if isinstance(said, Busy) else "faulted")
        if self._context.observer is not None:
            again = isinstance(said, Taken) and said.known
            until = self._context.journal.clock.now() + request.until - self._context.clock()
            self._context.observer.answered(request, said, heard, until, again)
        return heard

    def _answer_one(self, request: Request, final: Deny | Drop | None) -> None:
        """Answer a client, on record first. What is not taken on is forgotten."""
        if final is not None:
            self._context.requests.remove(request.id)
            self._context.facade.report(Settled(request.id))
            self._tell(request, Busy(final.wait) if isinstance(final, Deny) else Failed("not delivered"))
            return
        left = request.until - self._context.clock()
        kept = Kept(
            request.id,
            request.key,
            self._context.rules.class_names[request.cls],
            request.destination,
            self._context.journal.clock.now() + left,
            request.body,
            idempotency_key=request.idempotency_key,
            tenant=request.tenant,
            taken_at=request.taken_at,
        )
        if not self._context.journal.take(kept):
            self._undo(request)
            self._tell(request, self._no_room(request.destination))
        elif self._belongs_to_another(request.id):
            # Each process looks once its own record stands: of two that take an id on, one at least sees the other.
            self._context.journal.end(request.id)
            self._undo(request)
            self._tell(request, Busy(0.0))
        elif not self._tell(request, Taken()):
            # Its client left unanswered and may hand it in again: nothing is owed, and nothing may be sent.
            if self._context.figures is not None:
                self._context.figures.over(request.cls, "throttled")
            self._context.journal.end(request.id)
            self._context.requests.remove(request.id)
            self._context.facade.report(Withdraw(request.id))
