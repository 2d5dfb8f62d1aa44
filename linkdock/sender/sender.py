"""The life of a request: handed in, decided on, dispatched, ended. Any front may hand requests in."""

from __future__ import annotations

import logging
from collections.abc import Callable
from contextlib import suppress
from math import inf
from typing import TYPE_CHECKING, Protocol

from ..facade import (
    DELIVERED,
    NEVER_RAN,
    NOT_CONNECTED,
    Cancel,
    Deny,
    Dispatch,
    Drop,
    End,
    Item,
    KeyHeld,
    Remark,
    Retire,
    Server,
    Settled,
    Table,
    Withdraw,
)
from ..interface import Effect
from ..protocol.backend import Backend
from ..protocol.calls import Call
from ..state.journal_records import Kept
from ..state.requests import Refused, Request
from ..state.roster import Roster
from .context import SenderContext
from .ends import Ends
from .intake import Intake
from .recovery import Recovery

if TYPE_CHECKING:
    from ..state.journal_reader import JournalChanges
    from ..undeliverable.facts import Message

log = logging.getLogger(__name__)

JOURNAL_PAUSE = 0.05  # seconds until a dispatch for which the journal had no room is tried again


class Beside(Protocol):
    """What a sender tells the process that is another one of it, and leaves to it."""

    def health(self, server: str, state: str) -> None:
        """The decisions think otherwise of a server now."""

    def hand_over(self, requests: list[str]) -> bool:
        """Leave these to the one that takes clients; whether they are its from now on."""

    def holds(self, request: str) -> bool:
        """Whether another process has taken this id on."""


class Sender:
    """Between fronts, decisions and calls: it owns the open requests and runs the decisions' ticks."""

    def __init__(self, context: SenderContext, spawn: Callable) -> None:
        self._context, self._spawn = context, spawn
        self._ends = Ends(context)
        self._recovery = Recovery(context, self._ends)
        self.intake = Intake(context, self._ends, self._held_by_others)
        self._calls: dict[tuple[str, int], Call] = {}
        self._unsafe_until: float | None = None  # set while stopping
        self._relieved = False  # while stopping: whether another process lives to hand over to
        self._left = 0  # requests left for the next life
        self._no_room_until = -inf  # the journal had no room for a dispatch; until then it is not asked again
        self.beside: Beside | None = None  # where another process of this sender may live
        self.backend: Backend

    # --- What comes in.

    def ask(
        self, cls: str, destination: int, left: float, request: Request, again: bool, held: bool, early: bool = False
    ) -> None:
        """A front hands in a request (see `Intake.ask`). Raises Refused."""
        self.intake.ask(cls, destination, left, request, again, held, early)

    def _held_by_others(self, request: str) -> bool:
        return self.beside is not None and self.beside.holds(request)

    def overloaded(self) -> bool:
        """Whether a message would be denied for want of room, whatever it is."""
        return self._context.requests.full() or self._context.journal.full()

    def changed(self, servers: list[Server], version: int | None) -> None:
        """Discovery has told of changes; the version comes with the last of them."""
        self._context.table.update(servers, self._context.table.version if version is None else version)
        if self._context.observer is not None and servers:
            self._context.observer.table(self._context.table.version, False, len(servers), servers)
        if servers:
            self._context.facade.report(
                Table("changes", self._context.table.shown(servers), self._context.table.version)
            )

    def whole(self, roster: Roster, version: int) -> None:
        """Discovery has told its whole list: what that leaves out is gone."""
        self._context.table.replace(roster, version)
        if self._context.observer is not None:
            self._context.observer.table(version, True, len(roster), roster)
        self._context.facade.report(Table("whole", self._context.table.shown(roster), version))

    def doubted(self, servers: dict[str, float]) -> None:
        """Another process of this sender has seen these fail since then: they are met as from an outage."""
        rows = [
            row._replace(out_since=since)
            for name, since in servers.items()
            if (row := self._context.table.row(name)) is not None
        ]
        if rows:
            self._context.facade.report(Table("changes", self._context.table.shown(rows), self._context.table.version))

    def by_hand(self, name: str, out_since: float | None = None) -> None:
        """A server was taken out by hand, or put back after having been out since then.

        It was restarted meanwhile: its connections are dead, and it comes back cold.
        """
        self.backend.pool.retire(name)
        row = self._context.table.row(name)
        if row is not None:
            self._context.facade.report(
                Table(
                    "changes",
                    self._context.table.shown([row._replace(out_since=out_since)]),
                    self._context.table.version,
                )
            )

    # --- From life to life.

    def restore(self) -> None:
        """Take up what an earlier life of this sender took on; what ended in it is remembered."""
        for request in self._context.journal.ended_before:
            self._ends.remember(request)
        self._context.journal.ended_before.clear()
        self.take_up(list(self._context.journal.kept.values()))

    def take_up(self, left: list[Kept]) -> None:
        """Take up what is owed by the journal, and by nobody else any more."""
        for kept in left:
            self.intake.give_way(kept.id)
        self._recovery.take_up(left)

    def resend(self, message: Message) -> bool:
        """Take one that could not be delivered on again, as new work; False where it cannot be."""
        return self._unsafe_until is None and self._recovery.resend(message)

    def hand_over(self) -> bool:
        """Leave a batch of what waits to the process that takes clients; whether more waits.

        What has a call out is brought to its end here.
        """
        out = {request for request, _ in self._calls}
        return self._recovery.hand_over(lambda request: request in out or request in self.intake, self.beside.hand_over)

    def held_elsewhere(self, changes: JournalChanges) -> None:
        """What other processes of this sender hold of ordered keys, and what has ended there."""
        for kept in changes.held:
            self.intake.give_way(kept.id)
            with suppress(Refused):  # its class went in no order when it was taken
                if key := self._context.key_on_record(kept):
                    self._context.facade.report(KeyHeld(kept.id, key, kept.taken_at))
        for request in changes.ended:
            self._ends.remember(request)
            self._context.facade.report(Settled(request))

    def confirmed(self, request: str) -> None:
        """The platform has heard how a request ended."""
        self._ends.confirmed(request)

    # --- Ticks.

    def beat(self) -> None:
        """Run a decision pass if there is anything to decide, and carry out what it orders."""
        now = self._context.clock()
        if not self._context.facade.due(now):
            return
        self._context.facade.tick(now)
        orders = list(iter(self._context.facade.pick, None))
        finals = {order.request: order for order in orders if isinstance(order, Deny | Drop)}
        # Clients hear first: a dispatch counts only if its client knows that the request was taken.
        self.intake.answer(finals)
        for order in orders:
            match order:
                case Dispatch():
                    self._dispatch(order, now)
                case Deny(request, wait) if request in finals:
                    notice = {"id": request, "status": "deferred"}
                    if wait > 0:
                        notice["again_ms"] = max(1, round(wait * 1000))
                    self._ends.finish(request, "deferred", notice)
                case Drop(request) if request in finals:
                    self._ends.finish(request, "undeliverable", {"id": request, "status": "undeliverable"})
                case Cancel(request, attempt):
                    call = self._calls.get((request, attempt))
                    if call is not None:
                        call.cancel(request)
                case Retire(server):
                    self.backend.pool.retire(server)
                case Remark(text, server, state):
                    log.info("%s", text)
                    if self.beside is not None and server:
                        self.beside.health(server, state)

    def _dispatch(self, order: Dispatch, now: float) -> None:
        items, requests = [], []
        for item in order.items:
            request = self._context.requests.get(item.request)
            apart = request is not None and items and (request.alone or requests[0].alone)
            if request is None or apart or self._held_back(request, now):
                self.ended(order.server, item, "not sent", 0.0, tried=not apart)
                continue
            left = request.until - now
            items.append(item._replace(limit=min(item.limit or left, left)))
            requests.append(request)
        if not self._context.rules.settings.second_copies:
            # A call is given up whole: one that is let go of while the call lasts could go out a second time.
            longest = max((item.limit for item in items), default=0.0)
            items = [
                item._replace(limit=min(longest, request.until - now))
                for item, request in zip(items, requests, strict=True)
            ]
        if items:
            call = Call(self.backend, Dispatch(order.server, items), requests)
            self._calls.update(((item.request, item.attempt), call) for item in items)
            if self._context.observer is not None:
                self._context.observer.dispatched(order.server, items)
            self._spawn(call.run())

    def _held_back(self, request: Request, now: float) -> bool:
        """While stopping, what may not be repeated and might not finish is begun no more.

        In an upgrade it stays open until `hand_over` gives it to the process that lives, whose it is in time. Else it
        waits in the journal for the next life.
        """
        if self._unsafe_until is None or now < self._unsafe_until or self._context.rules.repeatable(request.cls):
            return False
        if not self._relieved:
            self._context.requests.remove(request.id)
            self._left += 1
        self._context.facade.report(Withdraw(request.id))
        return True

    # --- What calls say (protocol.backend.CallOwner).

    def may_go(self, server: str, item: Item) -> bool:
        """The last look before the first byte goes out, and the record that it does."""
        now, request = self._context.clock(), self._context.requests.get(item.request)
        if request is None or request.until <= now or self._held_back(request, now):
            why = "its request is over, or waits for the next life"
        elif (closed := self._context.table.closed(server, now, request.destination)) is not None:
            why = closed
            log.info("dispatch of %s not sent: %s %s", item.request, server, closed)
        elif self._window_over(request, now):
            why = "it may have run, and the window for repeats is over"
        elif not self._context.journal.sent(item.request, item.attempt):
            why = "the journal has no room"
            self._no_room_until = now + JOURNAL_PAUSE
        else:
            request.sent[item.attempt] = now
            if self._context.observer is not None:
                self._context.observer.sent(server, item)
            return True
        if self._context.observer is not None:
            self._context.observer.held_up(server, item, why)
        return False

    def _window_over(self, request: Request, now: float) -> bool:
        """Danger: a repeat that was decided on in time; its connection came up after the receiver forgot the first."""
        rules = self._context.rules.settings.classes[request.cls]
        return rules.effect is Effect.KEYED and bool(request.sent) and now > min(request.sent.values()) + rules.window

    def repeatable(self, request: Request) -> bool:
        return self._context.rules.repeatable(request.cls)

    def ended(
        self,
        server: str,
        item: Item,
        how: str,
        elapsed: float,
        wait: float = 0.0,
        load: tuple[float, float] | None = None,
        over: bool = False,
        owed: bool = False,
        due: float = inf,
        read: str = "",
        tried: bool = True,
    ) -> None:
        """A dispatch has its outcome: on record what matters for the next life, then for the decisions."""
        self._calls.pop((item.request, item.attempt), None)
        if self._context.observer is not None:
            self._context.observer.outcome(server, item, how, elapsed, wait, over, read)
        request = self._context.requests.get(item.request)
        if how in NEVER_RAN:
            self._context.journal.never(item.request, item.attempt)
            if request is not None:
                # By the protocol a call counts once it has come to its server: servers that refuse connections, or a
                # journal without room, would use up all attempts in no time.
                no_room = self._no_room_until - self._context.clock()
                came = request.sent.pop(item.attempt, None) is not None
                tried = came or tried and how != NOT_CONNECTED and no_room <= 0
                wait = wait if came else max(wait, no_room)
        self._context.facade.report(End(item.request, item.attempt, server, how, elapsed, wait, load, over, tried))
        if owed:
            self._ends.finish(item.request, "undeliverable", {"id": item.request, "status": "undeliverable"})
        elif over or how == DELIVERED:
            self._ends.finish(item.request, "delivered" if how == DELIVERED else "void", due=due)

    def call_began(self, request: str) -> None:
        self._ends.call_began(request)

    def call_over(self, request: str) -> None:
        self._ends.call_over(request)

    def delivered_late(self, request: str, due: float) -> None:
        if self._context.requests.get(request) is not None:
            if self._context.observer is not None:
                self._context.observer.delivered_late(request)
            self._context.facade.report(Withdraw(request))
            self._ends.finish(request, "delivered", due=due)

    # --- Stopping.

    def calls_out(self) -> int:
        return len({id(call) for call in self._calls.values()})

    def hold_at_most(self, most: int) -> None:
        """So many requests from now on; those beyond it stay."""
        self._context.requests.hold_at_most(most)

    def open(self) -> int:
        """Messages that were taken on and have not ended, those left for the next life among them."""
        return len(self._context.requests) - len(self.intake) + self._left

    def stop_unsafe(self, at: float, relieved: bool = False) -> None:
        """From then on start nothing that may not be repeated; `relieved`: `hand_over` is called until the end."""
        self._unsafe_until, self._relieved = at, relieved

    def finishing(self) -> bool:
        """While stopping: whether anything is left that this life can still bring to its end."""
        late = self._unsafe_until is not None and self._context.clock() >= self._unsafe_until
        return bool(self._calls or self._context.notices) or any(
            not late or self._context.rules.repeatable(request.cls) for request in self._context.requests
        )
