"""The life of a request: handed in, decided on, dispatched, ended. Any front may hand requests in."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from .facade import (
    DELIVERED,
    NEVER_RAN,
    Cancel,
    Deny,
    Dispatch,
    Drop,
    End,
    Facade,
    Item,
    Remark,
    Retire,
    Server,
    Table,
    Take,
    Withdraw,
)
from .protocol.calls import Backend, Call
from .protocol.notices import Notices
from .service.config import Config
from .state.journal import MOST_MOVED, Journal, Kept
from .state.requests import Answer, Busy, Failed, Refused, Request, Requests, Taken
from .state.roster import Roster
from .state.table import ServerTable

if TYPE_CHECKING:
    from .records.observer import Observer
    from .service.shift import Shift
    from .state.duty import Duty
    from .state.figures import Figures
    from .state.undeliverable import Undeliverable
    from .undeliverable.facts import Message

log = logging.getLogger(__name__)

CLOSE = 0.25   # seconds before its deadline in which a delivery may have come too late for the platform
REMEMBERED, MOST_REMEMBERED = 5.0, 4096   # seconds for which ended requests are remembered, and how many
WAITED, EARLY = 0.4, 0.05   # seconds that a client waits for its answer; and after a start until what comes is fresh
NO_LIST = 1.0   # seconds after which to come again to a sender that has no list yet
ENDS = {"delivered": "fulfilled", "deferred": "throttled"}   # how the operators' figures call an end; else faulted


class Sender:
    """The desk between fronts, decisions and calls. It owns the requests and runs the decisions' ticks."""

    def __init__(self, config: Config, clock: Callable[[], float], spawn: Callable, facade: Facade,
                 journal: Journal, table: ServerTable) -> None:
        self._config, self._clock, self._spawn = config, clock, spawn
        self._facade, self._journal, self._table = facade, journal, table
        self._requests = Requests(config.settings.max_open)
        self._asking: dict[str, Request] = {}      # not answered yet
        self._calls: dict[tuple[str, int], Call] = {}
        self._over: dict[str, float] = {}          # ended lately: until when that is remembered
        self._unsafe_until: float | None = None    # set while stopping
        self._left = 0                             # requests left for the next life
        self._fresh_from = -inf                    # what is read before may have waited for this process to start
        self.observer: Observer | None = None      # of the records, where they are on
        self.spread: Callable[[float], float] | None = None   # of times to come back, where the gate is on
        self.undeliverable: Undeliverable | None = None   # the store, where it is on
        self.figures: Figures | None = None        # where there are operators,
        self.duty: Duty | None = None              # and whether clients are taken
        self.shift: Shift | None = None            # where another process of this sender may live
        self.backend: Backend
        self.notices: Notices

    # --- What comes in.

    def ask(self, cls: str, destination: int, left: float, request: Request, again: bool, held: bool) -> None:
        """A front hands in a request, which is answered at the next tick at the latest."""
        if self.observer is None:
            return self._ask(cls, destination, left, request, again, held)
        self.observer.handed_in(request, cls, left, again, held)
        try:
            self._ask(cls, destination, left, request, again, held)
        except Refused as why:
            self.observer.refused(request.id, cls, destination, str(why))
            raise

    def _ask(self, cls: str, destination: int, left: float, request: Request, again: bool, held: bool) -> None:
        if cls not in self._config.classes:
            raise Refused("unknown class")
        unknown = not self._table.knows(destination)
        if unknown and self._table.told:
            raise Refused("unknown destination")
        if left > 2 * self._config.settings.classes[self._config.classes[cls]].deadline:
            raise Refused("d is beyond the deadline of its class")
        if self._clock() < self._fresh_from:
            # Danger: its time runs from when the client sent it, which may be as long ago as a client waits: it lay in
            # the socket until this process had started. Told too late, its end counts as none.
            left = max(0.0, left - WAITED)
        known = self._requests.get(request.id)
        if known is not None and known.answer is not None:
            raise Refused("this id is being handed in already")
        if known is not None or self._over.get(request.id, 0.0) > self._clock():
            # The client came again over a new connection: what is owed is owed once. Danger: or another
            # client uses the id, and its message would go out under it once the first is over.
            self._say(request, Taken(known=True))
            return
        request.cls, request.until = self._config.classes[cls], self._clock() + left
        key = self._order_key(request)
        if self.figures is not None:
            self.figures.came += 1
        if unknown:
            # Danger: no list has come yet. Nobody can say that there is no such destination.
            self._say(request, Busy(NO_LIST))
            return
        if self.duty is not None and self.duty.denies(self._clock()):
            self._say(request, Busy(self.duty.again))
            return
        if self._requests.full():
            self._say(request, self._no_room(destination))
            return
        self._requests.add(request)
        self._asking[request.id] = request
        self._facade.report(Take(request.id, request.cls, destination, left, key, again, held))

    def _no_room(self, destination: int) -> Busy:
        """Turned away for want of room here, whatever the destination could do."""
        wait = self._facade.advice(destination)
        return Busy(wait if self.spread is None else self.spread(wait))

    def overloaded(self) -> bool:
        """Whether a message would be denied for want of room, whatever it is."""
        return self._requests.full() or self._journal.full()

    def _order_key(self, request: Request) -> int:
        if not self._config.settings.classes[request.cls].in_order:
            return 0
        try:
            return int(request.key, 16)
        except ValueError:
            raise Refused("the key is not hexadecimal") from None

    def changed(self, servers: list[Server], version: int | None) -> None:
        """Discovery has told of changes; the version comes with the last of them."""
        self._table.update(servers, self._table.version if version is None else version)
        if self.observer is not None and servers:
            self.observer.table(self._table.version, False, len(servers), servers)
        if servers:
            self._facade.report(Table("changes", self._table.shown(servers), self._table.version))

    def whole(self, roster: Roster, version: int) -> None:
        """Discovery has told its whole list: what that leaves out is gone."""
        self._table.replace(roster, version)
        if self.observer is not None:
            self.observer.table(version, True, len(roster), roster)
        self._facade.report(Table("whole", self._table.shown(roster), version))

    def doubted(self, servers: dict[str, float]) -> None:
        """Another process of this sender has seen these fail since then: they are met as from an outage."""
        rows = [row._replace(out_since=since) for name, since in servers.items()
                if (row := self._table.row(name)) is not None]
        if rows:
            self._facade.report(Table("changes", self._table.shown(rows), self._table.version))

    def by_hand(self, name: str, out_since: float | None = None) -> None:
        """A server was taken out by hand, or put back after having been out since then.

        It was restarted meanwhile: its connections are dead, and it comes back cold.
        """
        self.backend.pool.retire(name)
        row = self._table.row(name)
        if row is not None:
            self._facade.report(Table("changes", self._table.shown([row._replace(out_since=out_since)]),
                                      self._table.version))

    def started(self) -> None:
        """Clients are let in from now on."""
        self._fresh_from = self._clock() + EARLY

    def restore(self) -> None:
        """Take up what an earlier life of this sender took on."""
        self.take_up(list(self._journal.kept.values()))

    def take_up(self, left: list[Kept]) -> None:
        """Take up what is owed by the journal, and by nobody else any more."""
        now, unix = self._clock(), time.time()
        for kept in left:
            if self.observer is not None:
                self.observer.restored(kept)
            again = self.undeliverable is not None and kept.id in self.undeliverable.again
            if kept.again and not again:
                # Danger: one that was sent again, and whose outcome the store has. Only the journal's end is missing.
                # Where the store cannot be asked it waits for a life that can.
                if self.undeliverable is not None and self.undeliverable.readable:
                    self._journal.end(kept.id)
                continue
            if kept.notice is not None:
                # What is in the store already stays as it is there; a kill may have come before.
                self._keep(kept.id, kept.notice, False)
                self.notices.post(kept.notice)
                continue
            cls = self._config.classes.get(kept.cls)
            safe = cls is not None and self._config.repeatable(cls)
            if cls is None or kept.doubt and not safe:
                # It may have run and may not be repeated: nobody can know more, so that it ends now.
                if again:
                    self._over_again(kept.id, False)
                    continue
                self._owe_notice(kept.id, {"id": kept.id, "status": "undeliverable"}, False)
                if self.figures is not None:
                    self.figures.came += 1
                    self.figures.over(cls, "faulted")
                if self.observer is not None:
                    self.observer.over(kept.id, "undeliverable", kept.until - unix)
                continue
            left = max(0.0, kept.until - unix)
            request = Request(kept.id, kept.key, cls, kept.destination, now + left, kept.body)
            self._requests.add(request)
            if self.figures is not None:
                self.figures.came += 1
            self._facade.report(Take(kept.id, cls, kept.destination, left, self._order_key(request),
                                     held=True, used=kept.used))

    # --- Ticks.

    def beat(self) -> None:
        """Run a decision pass if there is anything to decide, and carry out what it orders."""
        now = self._clock()
        if not self._facade.due(now):
            return
        self._facade.tick(now)
        orders = list(iter(self._facade.pick, None))
        finals = {order.request: order for order in orders if isinstance(order, Deny | Drop)}
        # Clients hear first: a dispatch counts only if its client knows that the request was taken.
        asking, self._asking = self._asking, {}
        for request in asking.values():
            self._answer(request, finals.pop(request.id, None))
        for order in orders:
            match order:
                case Dispatch():
                    self._dispatch(order, now)
                case Deny(request, wait) if request in finals:
                    notice = {"id": request, "status": "deferred"}
                    if wait > 0:
                        notice["again_ms"] = max(1, round(wait * 1000))
                    self._finish(request, "deferred", notice)
                case Drop(request) if request in finals:
                    self._finish(request, "undeliverable", {"id": request, "status": "undeliverable"})
                case Cancel(request, attempt):
                    call = self._calls.get((request, attempt))
                    if call is not None:
                        call.cancel(request)
                case Retire(server):
                    self.backend.pool.retire(server)
                case Remark(text, server, state):
                    log.info("%s", text)
                    if self.shift is not None and server:
                        self.shift.health(server, state)

    def _say(self, request: Request, said: Answer) -> bool:
        """Tell a client its one answer; whether it was still there."""
        answer, request.answer = request.answer, None
        heard = answer(said)
        if self.figures is not None and not isinstance(said, Taken):
            self.figures.over(request.cls, "throttled" if isinstance(said, Busy) else "faulted")
        if self.observer is not None:
            again = isinstance(said, Taken) and said.known
            until = time.time() + request.until - self._clock()
            self.observer.answered(request, said, heard, until, again)
        return heard

    def _answer(self, request: Request, final: Deny | Drop | None) -> None:
        """Answer a client, on record first. What is not taken on is forgotten."""
        if final is not None:
            self._requests.remove(request.id)
            self._say(request, Busy(final.wait) if isinstance(final, Deny) else Failed("not delivered"))
            return
        left = request.until - self._clock()
        kept = Kept(request.id, request.key, self._config.class_names[request.cls], request.destination,
                    time.time() + left, request.body)
        if not self._journal.take(kept):
            self._requests.remove(request.id)
            self._facade.report(Withdraw(request.id))
            self._say(request, self._no_room(request.destination))
        elif not self._say(request, Taken()):
            # Its client left unanswered and may hand it in again: nothing is owed, and nothing may be sent.
            if self.figures is not None:
                self.figures.over(request.cls, "throttled")
            self._journal.end(request.id)
            self._requests.remove(request.id)
            self._facade.report(Withdraw(request.id))

    def _dispatch(self, order: Dispatch, now: float) -> None:
        items, requests = [], []
        for item in order.items:
            request = self._requests.get(item.request)
            apart = request is not None and items and (request.alone or requests[0].alone)
            if request is None or apart or self._held_back(request, now):
                self.ended(order.server, item, "not sent", 0.0)
                continue
            left = request.until - now
            items.append(item._replace(limit=min(item.limit or left, left)))
            requests.append(request)
        if not self._config.settings.second_copies:
            # A call is given up whole: one that is let go of while the call lasts could go out a second time.
            longest = max((item.limit for item in items), default=0.0)
            items = [item._replace(limit=min(longest, request.until - now))
                     for item, request in zip(items, requests, strict=True)]
        if items:
            call = Call(self.backend, Dispatch(order.server, items), requests)
            self._calls.update(((item.request, item.attempt), call) for item in items)
            if self.observer is not None:
                self.observer.dispatched(order.server, items)
            self._spawn(call.run())

    def _held_back(self, request: Request, now: float) -> bool:
        """While stopping, what may not be repeated and might not finish waits in the journal."""
        if self._unsafe_until is None or now < self._unsafe_until or self._config.repeatable(request.cls):
            return False
        self._requests.remove(request.id)
        self._left += 1
        self._facade.report(Withdraw(request.id))
        return True

    # --- What calls say (protocol.calls.Desk).

    def may_go(self, server: str, item: Item) -> bool:
        """The last look before the first byte goes out, and the record that it does."""
        now, request = self._clock(), self._requests.get(item.request)
        if request is None or request.until <= now or self._held_back(request, now):
            why = "its request is over, or waits for the next life"
        elif (closed := self._table.closed(server, now)) is not None:
            why = closed
            log.info("dispatch of %s not sent: %s %s", item.request, server, closed)
        elif not self._journal.sent(item.request, item.attempt):
            why = "the journal has no room"
        else:
            if self.observer is not None:
                self.observer.sent(server, item)
            return True
        if self.observer is not None:
            self.observer.held_up(server, item, why)
        return False

    def repeatable(self, request: Request) -> bool:
        return self._config.repeatable(request.cls)

    def ended(self, server: str, item: Item, how: str, elapsed: float, wait: float = 0.0,
              load: tuple[float, float] | None = None, over: bool = False, owed: bool = False,
              due: float = inf, read: str = "") -> None:
        """A dispatch has its outcome: on record what matters for the next life, then for the decisions."""
        self._calls.pop((item.request, item.attempt), None)
        if self.observer is not None:
            self.observer.outcome(server, item, how, elapsed, wait, over, read)
        if how in NEVER_RAN:
            self._journal.never(item.request, item.attempt)
        self._facade.report(End(item.request, item.attempt, server, how, elapsed, wait, load, over))
        if owed:
            self._finish(item.request, "undeliverable", {"id": item.request, "status": "undeliverable"})
        elif over or how == DELIVERED:
            self._finish(item.request, "delivered" if how == DELIVERED else "void", due=due)

    def delivered_late(self, request: str, due: float) -> None:
        if self._requests.get(request) is not None:
            if self.observer is not None:
                self.observer.delivered_late(request)
            self._facade.report(Withdraw(request))
            self._finish(request, "delivered", due=due)

    # --- Ends.

    def _finish(self, request: str, how: str, notice: dict | None = None, due: float = inf) -> None:
        """The one place where a taken request ends: with a notice that is owed, or with nothing.

        `due` is when the time was up of the first that shared the call which delivered it.
        """
        known = self._requests.get(request)
        if known is None:
            return
        self._requests.remove(request)
        now = self._clock()
        if notice is None and now > min(known.until, due) - CLOSE:
            # Danger: an answer written just after the message's time was up, which runs from its client's side and
            # so ends before ours, or after the time of one that shared its call. It delivers nothing; a notice
            # about what is over does no harm.
            notice = {"id": request, "status": "undeliverable"}
        while self._over and (len(self._over) >= MOST_REMEMBERED or next(iter(self._over.values())) <= now):
            del self._over[next(iter(self._over))]
        self._over[request] = now + REMEMBERED
        if self.figures is not None:
            self.figures.over(known.cls, ENDS.get(how, "faulted"))
        if self.undeliverable is not None and request in self.undeliverable.again:
            self._over_again(request, how == "delivered")
        elif notice is None:
            self._journal.end(request)
        else:
            self._owe_notice(request, notice, how == "delivered")
        if self.observer is not None:
            self.observer.over(request, how, known.until - now)

    def _owe_notice(self, request: str, notice: dict, ran: bool) -> None:
        self._journal.notice(request, notice)
        self._keep(request, notice, ran)
        self.notices.post(notice)
        if self.observer is not None:
            self.observer.notice(notice)

    def resend(self, message: Message) -> bool:
        """Take one that could not be delivered on again, as new work with a deadline of its own; False where it cannot.

        The platform has heard its end; it hears nothing of this. Live traffic has the first half of the room.
        """
        cls = self._config.classes.get(message.cls)
        busy = 2 * len(self._requests) >= self._config.settings.max_open or self._unsafe_until is not None
        if cls is None or busy or not self._table.knows(message.destination) or self._requests.get(message.id):
            return False
        left = self._config.settings.classes[cls].deadline
        kept = Kept(message.id, message.key, message.cls, message.destination, time.time() + left, message.body,
                    again=True)
        request = Request(message.id, message.key, cls, message.destination, self._clock() + left, message.body)
        try:
            key = self._order_key(request)
        except Refused:
            return False
        if not self._journal.take(kept):
            return False
        self._journal.hold(message.id)
        self._requests.add(request)
        if self.figures is not None:
            self.figures.came += 1
        self._facade.report(Take(message.id, cls, message.destination, left, key, held=True))
        return True

    def _over_again(self, request: str, delivered: bool) -> None:
        """The end of one that was sent again: the store hears it, nobody else."""
        kept = self._journal.kept.get(request)
        self._journal.end(request)   # it is held until the store has it
        if kept is not None:
            self.undeliverable.over(kept, delivered)

    def _keep(self, request: str, notice: dict, ran: bool) -> None:
        """Into the store, where it is on, whatever could not be delivered or came too late (`ran`)."""
        kept = self._journal.kept.get(request)
        if self.undeliverable is not None and kept is not None:
            cls = self._config.classes.get(kept.cls)
            self.undeliverable.keep(kept, notice["status"], cls is not None and self._config.repeatable(cls), ran)

    def confirmed(self, request: str) -> None:
        """The platform has heard how a request ended."""
        self._journal.end(request)
        if self.observer is not None:
            self.observer.confirmed(request)

    # --- Stopping.

    def calls_out(self) -> int:
        return len({id(call) for call in self._calls.values()})

    def hold_at_most(self, most: int) -> None:
        """So many requests from now on; those beyond it stay."""
        self._requests.hold_at_most(most)

    def hand_over(self) -> None:
        """Leave what waits to the process that takes clients. What has a call out is brought to its end here."""
        out = {request for request, _ in self._calls}
        waiting = [r.id for r in self._requests
                   if r.id not in out and r.id not in self._asking and r.id in self._journal.kept][:MOST_MOVED]
        if not waiting or not self.shift.hand_over(waiting):
            return
        for request in waiting:
            self._requests.remove(request)
            self._facade.report(Withdraw(request))
        if self.figures is not None:
            self.figures.came -= len(waiting)   # the other counts them

    def open(self) -> int:
        """Messages that were taken on and have not ended, those left for the next life among them."""
        return len(self._requests) - len(self._asking) + self._left

    def stop_unsafe(self, at: float) -> None:
        """From then on start nothing that may not be repeated."""
        self._unsafe_until = at

    def finishing(self) -> bool:
        """While stopping: whether anything is left that this life can still bring to its end."""
        late = self._unsafe_until is not None and self._clock() >= self._unsafe_until
        return bool(self._calls or self.notices) or any(
            not late or self._config.repeatable(request.cls) for request in self._requests)
