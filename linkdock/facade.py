"""The decisions in blocking style: `report` what happened, `tick`, then `pick` what to do until None.

The only module that sees the events and actions of `decisions`; everyone else uses the plain values below.
A request is named by its id on the wire, a backend server by its name in the server table.

Facts of one pass take effect one after another, in the order of their reports, and any order may come: a restored
message before the first list, a list before a message, changes between both, what another process holds before or
after its end. No fact may therefore be judged when it is reported by what an earlier pass has left; what depends on
the decisions' state (which destinations are awake, which servers are known) is looked up in the pass itself.
`tests/test_fact_order.py` forces the orders, with a sleeper and without.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import islice
from math import inf
from typing import NamedTuple

from . import interface as i
from .decisions import Relay

# How a dispatch ended, in the words that staff use.
DELIVERED, ERROR, TURNED_AWAY, TIMED_OUT = "delivered", "error", "turned away", "timed out"
NOT_CONNECTED, RESET, CANCELLED, NOT_SENT = "not connected", "reset", "cancelled", "not sent"
NEVER_RAN = frozenset({TURNED_AWAY, NOT_CONNECTED, NOT_SENT})

_RESULTS = {
    DELIVERED: i.Result.OK,
    ERROR: i.Result.ERROR,
    TURNED_AWAY: i.Result.FULL,
    TIMED_OUT: i.Result.TIMEOUT,
    NOT_CONNECTED: i.Result.CONNECT_FAILED,
    RESET: i.Result.RESET,
    CANCELLED: i.Result.CANCELLED,
    NOT_SENT: i.Result.MOOT,
}
_STATES = {"ready": i.HostState.READY, "draining": i.HostState.DRAINING, "gone": i.HostState.GONE}
_LISTS = {"kept": i.ListKind.CACHED, "whole": i.ListKind.FULL, "changes": i.ListKind.DELTA}


class Peer(NamedTuple):
    """The process behind a row: one with another address, destination or start names another process.

    A process that has gone may leave its name and its address to the next one while connections to it live on.
    """

    host: str
    port: int
    destination: int
    born: float  # Unix time in seconds of its last start; 0.0 means long ago

    @property
    def address(self) -> tuple[str, int]:
        """Where it is dialled."""
        return self.host, self.port


class Server(NamedTuple):
    """One line of the server table."""

    name: str
    dial: tuple[str, int]
    destination: int
    health: str = "ready"
    kind: int = 0
    zone: int = 0
    share: float = 1.0
    born: float = 0.0
    out_since: float | None = None  # it comes back cold from being out since then, on the loop's clock

    @property
    def peer(self) -> Peer:
        """The process that it names."""
        return Peer(*self.dial, self.destination, self.born)


# --- Facts, for `report`.


class Table(NamedTuple):
    """News of the server table: as `kept` from before, the `whole` of it, or `changes`."""

    how: str
    servers: Iterable[Server]
    version: int = 0


class Take(NamedTuple):
    """A request came in; `used` dispatches were spent on it by an earlier life of this sender."""

    request: str
    cls: int
    destination: int
    left: float
    key: int = 0
    again: bool = False
    held: bool = False
    used: int = 0
    tenant: int = 0
    tries: int | None = None  # how many of those count as attempts; none told: all
    taken_at: float = 0.0  # where its key's messages go in order: by this, and its end is told by `Settled`


class KeyHeld(NamedTuple):
    """Another process of this sender holds a message of this key; what was taken later waits for its end."""

    request: str
    key: int
    taken_at: float


class Settled(NamedTuple):
    """The end of a request is confirmed, and no call of it can be running any more: its key passes on."""

    request: str


class End(NamedTuple):
    """A dispatch ended; `over` where the request itself is over with it."""

    request: str
    attempt: int
    server: str
    how: str
    elapsed: float
    wait: float = 0.0
    load: tuple[float, float] | None = None
    over: bool = False
    tried: bool = True  # whether it counts as one of the request's attempts


class Withdraw(NamedTuple):
    """Nobody waits for this request any more, or it ended outside the decisions."""

    request: str


Fact = Table | Take | KeyHeld | Settled | End | Withdraw

# --- Orders, from `pick`.


class Item(NamedTuple):
    """One request in a dispatch; `limit` is how long it may last in seconds, 0 for the time left."""

    request: str
    attempt: int
    limit: float


class Dispatch(NamedTuple):
    """One call to one backend server, with one request or, where its kind batches, several."""

    server: str
    items: list[Item]


class Deny(NamedTuple):
    """Final: handing the request in again is harmless, after `wait` seconds (0: no advice)."""

    request: str
    wait: float


class Drop(NamedTuple):
    """Final: the request failed, and nothing is promised about its effect."""

    request: str


class Cancel(NamedTuple):
    """Stop waiting for one dispatch."""

    request: str
    attempt: int


class Retire(NamedTuple):
    """Close the idle connections to one backend server."""

    server: str


class Remark(NamedTuple):
    """A line for staff; of a server, what it is held to be from now on: suspect, returning or healthy."""

    text: str
    server: str = ""
    state: str = ""


class Learned(NamedTuple):
    """What a process knows of one server; times are of the machine's monotonic clock."""

    server: str
    limit: float
    part: float
    ramp: float | None  # since when it comes back, cold
    since: float | None  # and since when it had been out


@dataclass(slots=True)
class _Known:
    """A request that the decisions still know: by number there, by id here."""

    request: str
    number: int
    attempts: int
    over: bool = False
    out: set[int] = field(default_factory=set)
    unsettled: bool = False  # whether its key waits for its end to be confirmed


class Facade:
    """One sender's decisions. Nothing is decided between ticks."""

    def __init__(self, settings: i.Settings, seed: int, sleeper: i.Sleeper | None = None) -> None:
        self._settings, self._sleeper = settings, sleeper
        self._relay = Relay(settings, seed, sleeper)
        self._facts: list[i.Event] = []
        self._orders: deque = deque()
        self._known: dict[str, _Known] = {}
        self._numbers: dict[int, _Known] = {}
        self._last = 0
        self._bell: tuple[float, int] | None = None
        self._begun = False  # whether a pass has run
        self.wake: Callable[[], None] | None = None  # called whenever there is something for a tick

    # --- In.

    def report(self, fact: Fact) -> None:
        """Queue a fact for the next tick. What is unknown or long over is passed over."""
        self._take_in(fact)
        if self._facts and self.wake is not None:
            self.wake()

    def _take_in(self, fact: Fact) -> None:
        match fact:
            case Table(how, servers, version):
                if self._sleeper is not None and how != "changes":
                    servers = ()  # the decisions ask the sleeper for the rows of those that are awake by then
                entries = [
                    i.HostEntry(s.name, s.destination, _STATES[s.health], s.kind, s.zone, s.share, s.born, s.out_since)
                    for s in servers
                ]
                self._facts.append(i.Hosts(_LISTS[how], entries, version))
            case Take(request, cls, destination, left, key, again, held, used, tenant, tries, taken_at):
                self._settle(request)  # of what was held elsewhere, and is this process's own from now on
                taken_at = taken_at if key else 0.0
                known = self._name(request, used, unsettled=taken_at > 0)
                self._facts.append(
                    i.Message(known.number, cls, destination, left, tenant, key, again, held, used, tries, taken_at)
                )
            case KeyHeld(request, key, taken_at):
                if request not in self._known:
                    known = self._name(request, 0, unsettled=True)
                    known.over = True
                    self._facts.append(i.KeyHeld(known.number, key, taken_at))
            case Settled(request):
                self._settle(request)
            case End(request, attempt, server, how, elapsed, wait, load, over, tried):
                known = self._known.get(request)
                if known is None or attempt not in known.out:
                    return
                known.out.discard(attempt)
                done = known.over = known.over or over or how == DELIVERED
                self._facts.append(
                    i.Outcome(
                        known.number,
                        attempt,
                        server,
                        _RESULTS[how],
                        elapsed,
                        done,
                        wait,
                        None if load is None else i.Report(*load),
                        tried,
                    )
                )
                self._forget(known)
            case Withdraw(request):
                known = self._known.get(request)
                if known is not None and not known.over:
                    known.over = True
                    self._facts.append(i.Withdrawn(known.number))
                    self._forget(known)

    def _name(self, request: str, attempts: int, unsettled: bool) -> _Known:
        self._last += 1
        known = _Known(request, self._last, attempts, unsettled=unsettled)
        self._known[request] = self._numbers[self._last] = known
        return known

    def _settle(self, request: str) -> None:
        known = self._known.get(request)
        if known is not None and known.unsettled:
            known.unsettled = False
            self._facts.append(i.Settled(known.number))
            self._forget(known)

    def _forget(self, known: _Known) -> None:
        """The names of a request go once it is over and settled, and the last of its dispatches has ended."""
        if known.over and not known.out and not known.unsettled:
            self._known.pop(known.request, None)
            self._numbers.pop(known.number, None)

    # --- Out.

    def due(self, now: float) -> bool:
        """Whether a tick has anything to do."""
        return bool(self._facts) or self._bell is not None and self._bell[0] <= now

    def next_due(self) -> float:
        """When the next tick has something to do, as far as is known; -inf for at once, inf for never."""
        return -inf if self._facts else inf if self._bell is None else self._bell[0]

    def tick(self, now: float) -> None:
        """One decision pass over all that was reported."""
        facts, self._facts, self._begun = self._facts, [], True
        if self._bell is not None and self._bell[0] <= now:
            facts.append(i.TimerDue(self._bell[1]))
            self._bell = None
        open_calls: dict[str, Dispatch] = {}
        for action in self._relay.handle(now, facts):
            match action:
                case i.Send(number, host, limit):
                    self._dispatch(self._numbers[number], host, limit, open_calls)
                case i.Refuse(number, wait):
                    self._final(number, lambda request, wait=wait: Deny(request, wait))
                case i.Fail(number):
                    self._final(number, Drop)
                case i.Cancel(number, attempt):
                    known = self._numbers.get(number)
                    if known is not None and attempt in known.out:
                        self._orders.append(Cancel(known.request, attempt))
                case i.SetTimer(at, token):
                    self._bell = at, token
                case i.CloseIdle(host):
                    self._orders.append(Retire(host))
                case i.Log(text, host, state):
                    self._orders.append(Remark(text, host or "", state))

    def _dispatch(self, known: _Known, server: str, limit: float, open_calls: dict[str, Dispatch]) -> None:
        """Requests of one tick for one server travel together, as many as its kind takes."""
        item = Item(known.request, known.attempts, limit)
        known.out.add(known.attempts)
        known.attempts += 1
        call = open_calls.get(server)
        if call is None or len(call.items) >= self._settings.kinds[self._relay.links[server].entry.kind].batch:
            call = open_calls[server] = Dispatch(server, [])
            self._orders.append(call)
        call.items.append(item)

    def _final(self, number: int, order) -> None:
        known = self._numbers.get(number)
        if known is not None and not known.over:
            known.over = True
            self._orders.append(order(known.request))
            self._forget(known)

    def pick(self) -> Dispatch | Deny | Drop | Cancel | Retire | Remark | None:
        """The next thing to do, or None when there is nothing before another tick."""
        return self._orders.popleft() if self._orders else None

    def awake(self) -> list[tuple[int, object]]:
        """The destinations with work or lately so, for who keeps what was learned of them."""
        return list(self._relay.dests.items())

    def hold_slots(self, slots: int) -> None:
        """So many calls out at most from the next tick on; one in any case."""
        if self._relay.s.slots != max(1, slots):
            self._relay.s = replace(self._settings, slots=max(1, slots))

    @property
    def took_in_learned(self) -> bool:
        """Whether `learned` counts all that `told` has brought: from the first pass after it."""
        return self._begun and not any(isinstance(fact, i.Inherited) for fact in self._facts)

    def learned(self, most: int) -> list[Learned]:
        """What another process of this sender should know of servers: limits, paces, and returns that are not over."""
        known = (
            Learned(link.host, link.route.limit, link.route.part, link.ramp, link.since)
            for dest in self._relay.dests.values()
            for link in dest.links
            if link.route.limit or link.ramp is not None
        )
        return list(islice(known, most))

    def told(self, learned: Iterable[Learned]) -> None:
        """What an older process has learned. What this one has seen by itself holds; a report overrides a limit."""
        events = [i.Inherited(one.server, one.limit, one.part, one.ramp, one.since) for one in learned]
        if self._begun and not self._facts:
            for event in events:
                self._relay.on_inherited(event)
            return
        self._facts += events  # in its place behind the list, or before a list that is yet to come
        if self._facts and self.wake is not None:
            self.wake()

    def stopped(self) -> list[str]:
        """The servers that the decisions avoid by choice."""
        return [link.host for link in self._relay.down]

    def advice(self, destination: int) -> float:
        """How many seconds a client that is denied at the door should stay away."""
        dest = self._relay.dests.get(destination)
        wait = self._relay.wait_for(dest) if dest is not None and self._settings.retry_after else 0.0
        return min(self._settings.max_retry_after, wait if wait < inf else 0.0)
