"""How a request that was taken on ends: with a notice that is owed, in the store, or with nothing."""

from __future__ import annotations

from math import inf

from .context import SenderContext

WAITED = 0.4  # seconds that a client waits for its answer: so much of a message's time may be gone when it is read
REMEMBERED = 4096  # ended requests that are remembered however long ago they ended,
MOST_REMEMBERED = 16384  # and at the most, while the longest time that a message may have has not passed since
ENDS = {"delivered": "fulfilled", "deferred": "throttled"}  # how the operators' figures call an end; else faulted


class Ends:
    """Owner of what is remembered of ended requests."""

    def __init__(self, context: SenderContext) -> None:
        self._context = context
        self._over: dict[str, float] = {}  # those that ended last, in order, and when
        self._longest = max(one.deadline for one in context.rules.settings.classes)  # seconds that a message may have
        self._calls: dict[str, int] = {}  # calls that may be running, of requests of ordered classes
        self._ended: set[str] = set()  # of these, whose record waits for the end of their calls

    def remembered(self, request: str) -> bool:
        """Whether it has ended already. Danger: a second message under its id, at whatever time."""
        return request in self._over

    def remember(self, request: str) -> None:
        """It has ended, here or in another process of this sender, or is that one's from now on."""
        now = self._context.clock()
        while len(self._over) >= min(REMEMBERED, MOST_REMEMBERED):
            oldest, ended_at = next(iter(self._over.items()))
            if len(self._over) < MOST_REMEMBERED and ended_at > now - self._longest:
                break
            del self._over[oldest]
        self._over[request] = now

    def finish(self, request: str, how: str, notice: dict | None = None, due: float = inf) -> None:
        """The one place where a taken request ends: with a notice that is owed, or with nothing.

        `due` is when the time was up of the first that shared the call which delivered it.
        """
        context = self._context
        known = context.requests.get(request)
        if known is None:
            return
        context.requests.remove(request)
        now = context.clock()
        if notice is None and now > min(known.until, due) - WAITED:
            # Danger: an answer written just after the message's time was up, which runs from its client's side and so
            # ends before ours by as much as it waited, or after the time of one that shared its call. It delivers
            # nothing; a notice about what is over does no harm.
            notice = {"id": request, "status": "undeliverable"}
        self.remember(request)
        if context.figures is not None:
            context.figures.over(known.cls, ENDS.get(how, "faulted"))
        if context.undeliverable is not None and request in context.undeliverable.again:
            self.over_again(request, how == "delivered")
        elif notice is None:
            self._end_record(request)
        else:
            self.owe_notice(request, notice, how == "delivered")
        if context.observer is not None:
            context.observer.over(request, how, known.until - now)

    def owe_notice(self, request: str, notice: dict, ran: bool) -> None:
        self._context.journal.notice(request, notice)
        self.keep(request, notice, ran)
        self._context.notices.post(notice)
        if self._context.observer is not None:
            self._context.observer.notice(notice)

    def over_again(self, request: str, delivered: bool) -> None:
        """The end of one that was sent again: the store hears it, nobody else."""
        kept = self._context.journal.kept.get(request)
        self._end_record(request)  # it is held until the store has it
        if kept is not None:
            self._context.undeliverable.over(kept, delivered)

    def keep(self, request: str, notice: dict, ran: bool) -> None:
        """Into the store, where it is on, whatever could not be delivered or came too late (`ran`)."""
        context = self._context
        kept = context.journal.kept.get(request)
        if context.undeliverable is not None and kept is not None:
            cls = context.rules.classes.get(kept.cls)
            context.undeliverable.keep(kept, notice["status"], cls is not None and context.rules.repeatable(cls), ran)

    def confirmed(self, request: str) -> None:
        """The platform has heard how a request ended."""
        self._end_record(request)
        if self._context.observer is not None:
            self._context.observer.confirmed(request)

    # --- The turn of a key: it passes on with the end of the record, which other processes read as well.

    def call_began(self, request: str) -> None:
        """A call with this request goes out: its record stays until that cannot be running any more."""
        self._calls[request] = self._calls.get(request, 0) + 1

    def call_over(self, request: str) -> None:
        """That call has ended at its server too."""
        self._calls[request] -= 1
        if self._calls[request]:
            return
        del self._calls[request]
        if request in self._ended:
            self._ended.discard(request)
            self._context.journal.end(request)

    def _end_record(self, request: str) -> None:
        if request in self._calls:
            self._ended.add(request)
        else:
            self._context.journal.end(request)
