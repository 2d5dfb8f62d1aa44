"""Faults planted into the assignment, one at a time, to show that a check finds each. Never imported by a sender.

`python -m linkdock.lab.virtual_assignment_faults` plants all of them and prints which check found each, and where;
`--fault NAME` plants one. Without a fault every check passes (`--fault none`).
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from unittest import mock

from ..assignment import membership, messages, moves, placement, rows, turns
from ..assignment.hashing import mix
from ..assignment.holder import Turn, TurnHolder, TurnState
from ..assignment.messages import Codec
from ..assignment.rows import Delta, RowStore
from ..assignment.turns import LeaseClock, Token, TurnTable
from .virtual_assignment_checks import CHECKS
from .virtual_log_checks import Broken


@dataclass(frozen=True)
class Fault:
    """`patches`: (where, attribute, what takes its place). `by`: the name of the check that finds it."""

    words: str
    by: str
    run: str  # of CHECKS
    patches: tuple[tuple[object, str, object], ...]


def _order_by_position(seed: int, zone: membership.Zone, how_many: int) -> list[str]:
    ranked = sorted(range(len(zone.members)), key=lambda at: -mix(seed ^ mix(at + 1)))
    return [zone.members[at].id for at in ranked[:how_many]]


def _by_remainder(seed: int, zone: membership.Zone, how_many: int) -> list[str]:
    return [zone.members[(seed + k) % len(zone.members)].id for k in range(how_many)]


def _claim_without_owner(self: TurnTable, index: int, command: turns.Claim) -> turns.Answer:
    if command.shard in self.owners:
        self._vacate(command.shard)
    return _CLAIM(self, index, command)


def _claim_of_any_epoch(self: TurnTable, index: int, command: turns.Claim) -> turns.Answer:
    if command.member not in self.leases:
        return turns.LeaseOver()
    token = Token(self.membership.epoch, index)
    self.owners[command.shard] = turns.Owner(command.member, token)
    return turns.Granted(command.shard, command.number, self.leases[command.member].opened, token)


def _expire_whatever(self: TurnTable, command: turns.Expire) -> turns.Answer:
    lease = self.leases.get(command.member)
    return (
        turns.Refused("none")
        if lease is None
        else _EXPIRE(self, turns.Expire(command.member, lease.opened, lease.renewed))
    )


def _clock_early(self: LeaseClock, ttl: float, drift: float) -> None:
    _CLOCK(self, ttl / 2, drift)


def _clock_without_drift(self: LeaseClock, ttl: float, drift: float) -> None:
    _CLOCK(self, ttl, 0.0)


def _begins_after_the_lease(self: TurnHolder, now: float, shard: int) -> bool:
    return self.state(shard) is TurnState.HELD and now >= self._begin_from


def _attempt_beyond_the_lease(self: TurnHolder, now: float, shard: int) -> bool:
    return self.state(shard) is TurnState.HELD and now >= self._begin_from and now < self._until


def _begins_while_releasing(self: TurnHolder, now: float, shard: int) -> bool:
    turn = self._turns.get(shard)
    return (
        turn is not None
        and turn.token is not None
        and now >= self._begin_from
        and now + self._settings.longest_attempt <= self._until
    )


def _released_with_attempts(self: TurnHolder, now: float) -> list[turns.Release]:
    return [
        turns.Release(shard, self.member, turn.token)
        for shard, turn in self._turns.items()
        if turn.state is TurnState.RELEASING and turn.token is not None
    ]


def _released_after_a_kill(self: TurnHolder, now: float) -> list[turns.Release]:
    return [release for release in _released_with_attempts(self, now) if release.shard not in self._attempts_out]


def _grant_of_any_claim(self: TurnHolder, grant: turns.Granted) -> bool:
    self._turns[grant.shard] = Turn(TurnState.HELD, grant.number, grant.token)
    return True


def _taken_anew(self: Codec, told: messages.Envelope) -> None:
    self._seen[told.sender] = (told.run, told.sequence)


def _any_epoch(self: Codec, data: bytes, epoch: int) -> messages.Envelope:
    return _DECODE(self, data, 0)


def _undigested(self: RowStore, delta: Delta) -> None:
    for row in delta.rows:
        self._rows[delta.after.shard][row.destination] = row


_CLAIM, _EXPIRE = TurnTable._claim, TurnTable._expire
_CLOCK, _DECODE = LeaseClock.__init__, Codec.decode

FAULTS: dict[str, Fault] = {
    "order-of-members": Fault(
        "the hash goes by a member's position, not by its id",
        "order-free",
        "placement: order-free",
        ((placement, "_ranked_in_zone", _order_by_position),),
    ),
    "zones-ignored": Fault(
        "all replicas of a shard are taken from one zone",
        "zone-spread",
        "placement: zone-spread",
        (
            (
                placement.ZoneTable,
                "order",
                lambda self, shard: (placement.order_of_zones(shard, self.shapes, 1)[0],) * 3,
            ),
        ),
    ),
    "by-remainder": Fault(
        "a shard goes to the member at its hash modulo their number",
        "least-moves",
        "placement: least-moves",
        ((placement, "_ranked_in_zone", _by_remainder),),
    ),
    "weights-at-once": Fault(
        "a zone's weight follows each single member",
        "least-moves",
        "placement: least-moves",
        ((membership, "TOLERANCE", -1.0),),
    ),
    "gains-overlooked": Fault(
        "the difference looks at the shards that are held alone",
        "incremental",
        "placement: incremental",
        ((moves, "_any_before", lambda *_: False),),
    ),
    "old-epoch-granted": Fault(
        "a claim is granted whatever epoch it goes by, and whoever owns the turn",
        "one-owner",
        "turns: hand-over",
        ((TurnTable, "_claim", _claim_of_any_epoch),),
    ),
    "granted-over-owner": Fault(
        "the new epoch's first replica is granted a turn that is not released",
        "one-owner",
        "turns: hand-over",
        ((TurnTable, "_claim", _claim_without_owner),),
    ),
    "lease-ended-early": Fault(
        "a lease is ended at half of its time", "one-owner", "turns: skewed", ((LeaseClock, "__init__", _clock_early),)
    ),
    "drift-not-counted": Fault(
        "the leader ends a lease at its time, the drift not added",
        "one-sender",
        "turns: skewed",
        ((LeaseClock, "__init__", _clock_without_drift),),
    ),
    "expired-though-renewed": Fault(
        "an expiry that was proposed before a renewal ends the lease after it",
        "one-owner",
        "turns: renewed",
        ((TurnTable, "_expire", _expire_whatever),),
    ),
    "old-epoch-not-fenced": Fault(
        "a process that wakes after its lease's end goes on",
        "one-owner",
        "turns: wakes-late",
        ((TurnHolder, "may_begin", _begins_after_the_lease),),
    ),
    "attempt-outlasts-lease": Fault(
        "an attempt is begun that ends after the lease",
        "one-sender",
        "turns: skewed",
        ((TurnHolder, "may_begin", _attempt_beyond_the_lease),),
    ),
    "begins-while-releasing": Fault(
        "attempts are begun after the turn was given up",
        "one-owner",
        "turns: leaves",
        ((TurnHolder, "may_begin", _begins_while_releasing),),
    ),
    "released-with-attempts": Fault(
        "a turn is released while an attempt is out",
        "one-sender",
        "turns: leaves",
        ((TurnHolder, "releases", _released_with_attempts),),
    ),
    "released-after-a-kill": Fault(
        "a new run releases at once what the killed run had begun under",
        "one-sender",
        "turns: killed-at-once",
        ((TurnHolder, "releases", _released_after_a_kill),),
    ),
    "late-grant-taken": Fault(
        "a grant is taken whose claim was given up",
        "one-owner",
        "turns: late-grant",
        ((TurnHolder, "granted", _grant_of_any_claim),),
    ),
    "replay-taken": Fault("a message is taken a second time", "replay", "messages", ((Codec, "_once", _taken_anew),)),
    "old-epoch-taken": Fault(
        "a message of an older epoch is taken", "stale", "messages", ((Codec, "decode", _any_epoch),)
    ),
    "replayed-delta-taken": Fault(
        "a delta is taken without its digest and versions",
        "rows-go-on",
        "rows",
        ((rows.RowStore, "change", _undigested),),
    ),
}


@contextmanager
def planted(name: str) -> Iterator[Fault]:
    """The fault is there inside of the block."""
    fault = FAULTS[name]
    with ExitStack() as stack:
        for where, attribute, instead in fault.patches:
            stack.enter_context(mock.patch.object(where, attribute, instead))
        yield fault


def found(name: str) -> str:
    """What its check says of a planted fault. Raises AssertionError if another check finds it, or none."""
    with planted(name) as fault:
        try:
            CHECKS[fault.run]()
        except Broken as broken:
            if broken.name != fault.by:
                raise AssertionError(f"{name}: found by {broken.name}, not by {fault.by}") from broken
            return str(broken)
    raise AssertionError(f"{name}: {fault.by} did not find it")


def main(argv: list[str] | None = None) -> int:
    """Plant the faults one by one; returns 1 if a check missed its fault. With "none", a failed check raises Broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fault", choices=["none", *FAULTS])
    args = parser.parse_args(argv)
    if args.fault == "none":
        for name, check in CHECKS.items():
            print(f"{name}: holds, {check()}", flush=True)
        return 0
    missed = 0
    for name in [args.fault] if args.fault else FAULTS:
        try:
            said = found(name)
        except AssertionError as bad:
            said, missed = f"MISSED: {bad}", missed + 1
        print(f"| {FAULTS[name].words} (`{name}`) | {said} |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
