"""The decisions alone against members, on a virtual clock: a day in seconds, and one seed is one schedule."""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import NamedTuple

from .. import interface as i
from ..decisions import Relay
from . import members as m

TRIP = 0.01  # seconds to a member and back
HANDSHAKE = 0.075  # seconds that a new connection takes, some three trips between zones


@dataclass(slots=True)
class Tally:
    """What became of the messages of one kind."""

    asked: int = 0
    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    waits: list[float] = field(default_factory=list)  # from the request to its delivery

    def share(self) -> float:
        return self.served / self.asked if self.asked else 1.0


class _Open(NamedTuple):
    """A message without its end."""

    asked: float
    deadline: float
    kind: str
    cls: int
    destination: int


class Lines:
    """One sender's idle connections, and its part in what each member has open."""

    def __init__(self, idle_for: float) -> None:
        self._idle_for = idle_for
        self._idle: dict[str, list[tuple[float, m.Member]]] = {}  # until when each stays, the freshest last

    def take(self, host: str) -> bool:
        """Whether an idle one is there; it is in use then."""
        kept = self._idle.get(host)
        if not kept:
            return False
        kept.pop()
        return True

    @staticmethod
    def open(member: m.Member) -> bool:
        """Whether the member accepts one more."""
        if member.places and member.lines >= member.places:
            return False
        member.lines += 1
        return True

    def give_back(self, host: str, member: m.Member, now: float) -> float:
        """It lies idle, until the time that is returned unless it is taken before."""
        until = now + self._idle_for
        self._idle.setdefault(host, []).append((until, member))
        return until

    def expire(self, host: str, until: float) -> None:
        kept = self._idle.get(host, [])
        while kept and kept[0][0] <= until:
            kept.pop(0)[1].lines -= 1

    def close(self, host: str) -> None:
        for _, member in self._idle.pop(host, ()):
            member.lines -= 1

    def drop(self) -> None:
        """The process has died, and all of its connections with it."""
        for host in list(self._idle):
            self.close(host)


class World:
    """One relay, its members and its clock. `host_of` names the members that a host belongs to."""

    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        sleeper: i.Sleeper | None,
        members: dict[int, m.Member],
        member_of: Callable[[str], int],
    ) -> None:
        self.lines: Lines | None = None  # where connections are counted
        self.alive: Callable[[str], bool] = lambda host: True  # whether a process runs there
        self.count: Callable[[float, int, str], None] = lambda now, destination, what: None
        self.marked: Callable[[float, i.Log], None] = lambda now, line: None  # what the decisions say of a host
        self.relay = Relay(settings, seed, sleeper)
        self.settings, self.members, self.member_of = settings, members, member_of
        self.now, self.random = 0.0, Random(seed)
        self._events: list[tuple[float, int, object]] = []
        self._order, self._ids = count(), count(1)
        self._batch: list[i.Event] = []
        self._open: dict[int, _Open] = {}
        self._out: dict[tuple[int, int], tuple[str, float]] = {}
        self._saw: dict[int, int] = {}  # the last outage of each member that a call met
        self._attempts: Counter[int] = Counter()
        self._bell: tuple[float, int] | None = None
        self.tallies: dict[str, Tally] = {}
        self.passes, self.pass_time, self.longest_pass = 0, 0.0, 0.0
        self.cpu: list[float] = []

    # --- What happens.

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), what))

    def ask(self, when: float, destination: int, cls: int = 0, kind: str = "") -> None:
        self.at(when, lambda: self._ask(destination, cls, kind))

    def _ask(self, destination: int, cls: int, kind: str) -> None:
        number, deadline = next(self._ids), self.settings.classes[cls].deadline
        self._open[number] = _Open(self.now, self.now + deadline, kind, cls, destination)
        self.tallies.setdefault(kind, Tally()).asked += 1
        self._batch.append(i.Message(number, cls, destination, deadline))

    def tell(self, event: i.Event) -> None:
        self._batch.append(event)

    # --- The clock.

    def run(self, until: float) -> None:
        """Go on to a time; passes are run at ticks, and only where there is something to decide."""
        tick = self.settings.tick
        while True:
            due = min(self._events[0][0] if self._events else until, self._bell[0] if self._bell else until)
            if due >= until and not self._batch:
                self.now = max(self.now, until)
                return
            self.now = max(self.now, (int(due / tick) + 1) * tick if due > self.now else self.now + tick)
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            if self._bell is not None and self._bell[0] <= self.now:
                self._batch.append(i.TimerDue(self._bell[1]))
                self._bell = None
            if self._batch:
                batch, self._batch = self._batch, []
                began = time.perf_counter()
                actions = self.relay.handle(self.now, batch)
                took = time.perf_counter() - began
                self.passes, self.pass_time = self.passes + 1, self.pass_time + took
                self.longest_pass = max(self.longest_pass, took)
                self.cpu.append(took)
                self._carry_out(actions)

    def _carry_out(self, actions: Iterable[i.Action]) -> None:
        for action in actions:
            match action:
                case i.Send(number, host, limit):
                    self._send(number, host, limit)
                case i.Refuse(number, _):
                    self._end(number, "refused")
                case i.Fail(number):
                    self._end(number, "failed")
                case i.Cancel(number, attempt):
                    if (number, attempt) in self._out:
                        self._outcome(number, attempt, i.Result.CANCELLED)
                case i.SetTimer(at, token):
                    self._bell = at, token
                case i.CloseIdle(host) if self.lines is not None:
                    self.lines.close(host)
                case i.Log():
                    self.marked(self.now, action)

    def _send(self, number: int, host: str, limit: float) -> None:
        attempt = self._attempts[number]
        self._attempts[number] += 1
        self._out[number, attempt] = host, self.now
        left = self._open[number].deadline - self.now
        limit = min(limit or left, left)
        number_of = self.member_of(host)
        member, opened = self.members[number_of], 0.0
        self.count(self.now, number_of, "resent" if attempt else "sent")
        held = self.lines is not None and self.lines.take(host)
        if self.lines is not None and not held:
            opened = HANDSHAKE
            self.count(self.now, number_of, "handshakes")
            held = self.lines.open(member)
        if not self.alive(host) or opened and not held:
            reply = m.Reply(m.UNREACHABLE, 0.002)
        else:
            reply = member.call(self.now + opened + TRIP / 2, 1, self._saw.get(number_of) == member.outages)
            if not member.up:
                self._saw[number_of] = member.outages
        if reply.how == m.UNREACHABLE and held:
            member.lines -= 1
        after = TRIP + opened + reply.delay
        report = None if reply.report is None else i.Report(*reply.report)
        if reply.how == m.UNREACHABLE:
            self.at(self.now + after, lambda: self._outcome(number, attempt, i.Result.CONNECT_FAILED))
        elif reply.how == m.RESET and after <= limit:
            self.at(self.now + after, lambda: self._outcome(number, attempt, i.Result.RESET))
        elif reply.how == m.SILENT or after > limit:
            self.at(self.now + limit, lambda: self._outcome(number, attempt, i.Result.TIMEOUT))
        else:
            result = i.Result.OK if reply.how == m.OK else i.Result.FULL
            self.at(self.now + after, lambda: self._outcome(number, attempt, result, reply.wait, report))

    def _outcome(
        self, number: int, attempt: int, result: i.Result, wait: float = 0.0, report: i.Report | None = None
    ) -> None:
        known = self._out.pop((number, attempt), None)
        if known is None:
            return
        host, sent = known
        if result is not i.Result.OK:
            self.count(self.now, self.member_of(host), "refused" if result is i.Result.FULL else "failed")
        if self.lines is not None and result is not i.Result.CONNECT_FAILED:
            member = self.members[self.member_of(host)]
            if result in (i.Result.OK, i.Result.FULL):
                until = self.lines.give_back(host, member, self.now)
                self.at(until, lambda: self.lines.expire(host, until))
            else:
                member.lines -= 1
        if result is i.Result.OK:
            self._end(number, "served")
        self._batch.append(
            i.Outcome(number, attempt, host, result, self.now - sent, result is i.Result.OK, wait, report)
        )

    def _end(self, number: int, how: str) -> None:
        known = self._open.pop(number, None)
        if known is None:
            return
        tally = self.tallies[known.kind]
        if how == "served" and self.now > known.deadline:
            how = "late"
        setattr(tally, how, getattr(tally, how) + 1)
        if how == "served":
            tally.waits.append(self.now - known.asked)

    def restart(self, seed: int, listed: i.Hosts) -> None:
        """The relay ends and begins again with what its journal holds: messages, their time left, attempts spent.

        What may have run and may not be repeated has ended; calls that were out tell nothing any more.
        """
        doubtful = {number for number, _ in self._out}
        for host, _ in self._out.values():
            if self.lines is not None:
                self.members[self.member_of(host)].lines -= 1
        self._out.clear()
        if self.lines is not None:
            self.lines.drop()
        self._bell, self._batch = None, [listed]
        self.relay = Relay(self.settings, seed)
        for number, told in list(self._open.items()):
            if number in doubtful and self.settings.classes[told.cls].effect is i.Effect.UNSAFE:
                self._end(number, "failed")
            else:
                self._batch.append(
                    i.Message(
                        number,
                        told.cls,
                        told.destination,
                        told.deadline - self.now,
                        orphaned=True,
                        attempts=self._attempts[number],
                    )
                )
