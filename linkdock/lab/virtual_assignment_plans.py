"""What the search of turns plays: plans, and the state of a small world of two senders and one shard."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from copy import copy
from dataclasses import dataclass

import msgspec

from ..assignment.holder import TurnHolder
from ..assignment.membership import Membership
from ..assignment.placement import Placement
from ..assignment.turns import LeaseClock, Token, TurnTable

SHARD = 0
MEMBERS = ("a~1", "b~1")
TTL, DRIFT = 4.0, 0.25  # ticks; a part
TABLE = 2  # where a message goes that is for the log
STARTED_AT = -2.0  # of both at the beginning: their first attempts need not wait
_BYTES = msgspec.msgpack.Encoder(enc_hook=str).encode


@dataclass(frozen=True)
class Left:
    """What may happen to one sender, and how often."""

    opens: int = 0
    renewals: int = 0
    claims: int = 0
    releases: int = 0
    kills: int = 0
    slow_ticks: int = 0
    begins: int = 1  # attempts
    answers: int = 0  # attempts that end before their time


@dataclass(frozen=True)
class Plan:
    """What may happen to the first owner, to the other sender, and to all."""

    first: Left
    second: Left
    fast_ticks: int = 0
    epochs: int = 1
    starts_at: float = 2.0  # of all clocks: the first sender's lease was asked for at 0, the second one's just now
    ticks: int = 4
    second_stays: bool = True  # the first epoch's owner is a replica in the second epoch too
    longest_attempt: float = 1.0  # ticks
    skewed: bool = False  # at the start the leader's clock is a tick ahead and the first sender's one behind
    grant_on_its_way: bool = False  # the first owner's grant has not arrived yet
    asked_back: bool = False  # the second epoch is there, its first replica knows it and has claimed
    states: int = 200_000


@dataclass(frozen=True)
class Attempt:
    """Out at the server, until its sender's clock has reached `over`."""

    over: float
    token: Token


@dataclass(frozen=True)
class Sent:
    """On the way. `to` is a sender or TABLE; `asked_at`: of the request, by the asker's clock."""

    to: int
    asker: int
    asked_at: float
    body: object


@dataclass(frozen=True)
class State:
    """Machines are never changed in place: an event copies those that it touches."""

    table: TurnTable
    clock: LeaseClock
    holders: tuple[TurnHolder, TurnHolder]
    attempts: tuple[Attempt | None, Attempt | None]
    way: tuple[Sent, ...]
    left: tuple[Left, Left]
    index: int = 0
    now: float = 0.0  # of the leader's clock
    clocks: tuple[float, float] = (0.0, 0.0)
    ticks: int = 0
    fast_ticks: int = 0
    epochs: int = 0

    def key(self) -> bytes:
        """A digest of 16 bytes; states that differ only in the order of messages on their way have the same."""
        table, clock = self.table, self.clock
        holders = [
            [
                h.epoch,
                h.lease,
                h._until,
                h._begin_from,
                h._number,
                sorted(h._attempts_out.items()),
                [[s, t.state.value, t.number, t.token] for s, t in sorted(h._turns.items())],
            ]
            for h in self.holders
        ]
        way = sorted(_BYTES([m.to, m.asker, m.asked_at, type(m.body).__name__, m.body]) for m in self.way)
        form = [
            table.membership.epoch,
            sorted(table.leases.items()),
            sorted(table.owners.items()),
            sorted(table._wanted),
            sorted(clock._due.items()),
            holders,
            way,
            [a and [a.over, a.token] for a in self.attempts],
            [vars(one) for one in self.left],
            self.index,
            self.now,
            self.clocks,
            self.ticks,
            self.fast_ticks,
            self.epochs,
        ]
        return hashlib.blake2b(_BYTES(form), digest_size=16).digest()


def placed_in_two_epochs(second_stays: bool) -> Callable[[int, Membership], Placement]:
    """The first sender goes first in the first epoch, the second one in the second."""

    def placed(shard: int, epoch: Membership) -> Placement:
        first, second = MEMBERS if epoch.epoch == 1 else MEMBERS[::-1]
        return Placement(shard, (first, second) if second_stays or epoch.epoch == 1 else (first,))

    return placed


def copied_holder(holder: TurnHolder) -> TurnHolder:
    """A copy that can be changed without changing `holder`."""
    twin = copy(holder)
    twin._turns = {shard: copy(turn) for shard, turn in holder._turns.items()}
    twin._attempts_out = dict(holder._attempts_out)
    return twin


def copied_table(table: TurnTable) -> TurnTable:
    """A copy that can be changed without changing `table`."""
    twin = copy(table)
    twin.leases, twin.owners, twin._wanted = dict(table.leases), dict(table.owners), set(table._wanted)
    twin._shards_of = {member: set(shards) for member, shards in table._shards_of.items()}
    return twin


def copied_clock(clock: LeaseClock) -> LeaseClock:
    """A copy that can be changed without changing `clock`."""
    twin = copy(clock)
    twin._due = dict(clock._due)
    return twin


PLANS = {
    "hand-over": Plan(
        Left(renewals=1, releases=2, claims=1, answers=1), Left(claims=2, answers=1), starts_at=0.0, ticks=2
    ),
    "leaves": Plan(Left(releases=1, answers=1), Left(claims=1), second_stays=False, ticks=3),
    "clocks": Plan(
        Left(slow_ticks=1),
        Left(renewals=1, claims=1),
        fast_ticks=1,
        epochs=0,
        starts_at=1.0,
        ticks=5,
        longest_attempt=2.0,
    ),
    "skewed": Plan(Left(), Left(claims=1, renewals=1), epochs=0, ticks=3, longest_attempt=2.0, skewed=True),
    "wakes-late": Plan(Left(renewals=1), Left(renewals=1, claims=1), epochs=0),
    "renewed": Plan(Left(renewals=1), Left(claims=1), epochs=0, starts_at=4.0, ticks=2),
    "late-grant": Plan(
        Left(renewals=1, releases=1),
        Left(claims=2),
        second_stays=False,
        starts_at=0.0,
        ticks=0,
        grant_on_its_way=True,
    ),
    "killed": Plan(Left(opens=1, kills=1, renewals=1, releases=1), Left(claims=2), starts_at=0.0, ticks=1),
    "killed-at-once": Plan(
        Left(opens=1, kills=1, renewals=1, releases=1),
        Left(claims=1),
        epochs=0,
        starts_at=0.0,
        ticks=0,
        asked_back=True,
    ),
    "killed-asked-back": Plan(
        Left(opens=1, kills=1, renewals=1, releases=1),
        Left(claims=1),
        epochs=0,
        starts_at=0.0,
        ticks=1,
        asked_back=True,
    ),
}
