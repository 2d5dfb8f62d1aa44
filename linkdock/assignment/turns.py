"""Who owns a shard's turn, the right to begin sending of its keys: the state that the replicated log is applied to.

A member has one lease for all its shards. Under it, it claims the turn of each; a turn has one owner at most, and each
grant a fencing token that is higher than all before. An owner that is no longer the first replica keeps the turn until
it releases it or its lease has ended: an epoch alone takes nothing from anybody. Same entries, same state.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from .errors import BadMembershipError
from .membership import Change, Membership, changed
from .placement import Placement, assign

MOST_GIVE_UP = 256  # turns asked back in one answer


class Token(NamedTuple):
    """A fencing token. Compared as a pair; of two grants the later one is the higher, whatever the shard."""

    epoch: int
    index: int  # of the entry that granted


# --- Commands, each an entry of the log.


class OpenLease(msgspec.Struct, frozen=True, array_like=True, tag="open"):
    """A member's run asks for its lease. An older lease of the same member ends with it."""

    member: str


class Renew(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """`lease`: the index of the entry that opened it. `epoch`: that the member goes by."""

    member: str
    lease: int
    epoch: int


class Expire(msgspec.Struct, frozen=True, array_like=True, tag="expire"):
    """By the leader: the time since `renewed` is over. A later renewal outlives this."""

    member: str
    lease: int
    renewed: int


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """`number` comes back in the answer, so that an answer to a claim given up meanwhile is known as such."""

    shard: int
    member: str
    lease: int
    epoch: int
    number: int


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """No attempt of the shard is out, and none will be begun under this token."""

    shard: int
    member: str
    token: Token


class NextEpoch(msgspec.Struct, frozen=True, array_like=True, tag="epoch"):
    """The next membership is to be in force. Answered with Refused if the change does not fit the present one."""

    change: Change


Command = OpenLease | Renew | Expire | Claim | Release | NextEpoch


# --- Answers.


class Opened(msgspec.Struct, frozen=True, array_like=True, tag="opened"):
    """`lease`: the index of the entry that opened it."""

    lease: int


class Renewed(msgspec.Struct, frozen=True, array_like=True, tag="renewed"):
    """`give_up`: turns of this member that the first live replica has claimed; to be released."""

    lease: int
    give_up: tuple[tuple[int, Token], ...] = ()


class Behind(msgspec.Struct, frozen=True, array_like=True, tag="behind"):
    """Not done: the request goes by an older epoch than `epoch`. It is to be made again with the newer one."""

    epoch: int


class LeaseOver(msgspec.Struct, frozen=True, array_like=True, tag="over"):
    """Not done: there is no such lease, or the member is not in the membership."""


class Granted(msgspec.Struct, frozen=True, array_like=True, tag="granted"):
    """The member owns the turn under `token`. `number` is the claim's, `lease` the one that it was claimed under."""

    shard: int
    number: int
    lease: int
    token: Token


class Taken(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """Another owns the turn, or goes before: an earlier replica whose lease lives."""

    shard: int
    number: int
    by: str


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """Released, expired or adopted."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Not done: the token is not the turn's, or the member is no replica of the shard."""

    why: str


Answer = Opened | Renewed | Behind | LeaseOver | Granted | Taken | Done | Refused


class Lease(NamedTuple):
    """Of a member. `opened` and `renewed` are indices of entries."""

    opened: int
    renewed: int


class Owner(NamedTuple):
    """The member that owns a turn, and the token of its grant."""

    member: str
    token: Token


class TurnTable:
    """Leases of members and owners of turns. Bounded by shards, and by members and those that left within a lease."""

    def __init__(self, membership: Membership, placed: Callable[[int, Membership], Placement] = assign) -> None:
        """`membership` is the first one in force; `placed` gives the replicas of a shard in an epoch."""
        self.membership = membership
        self.leases: dict[str, Lease] = {}
        self.owners: dict[int, Owner] = {}
        self._shards_of: dict[str, set[int]] = {}  # of each owner
        self._wanted: set[int] = set()  # turns to be given up: the first live replica has claimed them
        self._placed = placed

    def apply(self, index: int, command: Command) -> Answer:
        """Entry `index` of the log. Only this changes the table."""
        match command:
            case OpenLease(member):
                return self._open(index, member)
            case Renew():
                return self._renew(index, command)
            case Expire():
                return self._expire(command)
            case Claim():
                return self._claim(index, command)
            case Release():
                return self._release(command)
            case NextEpoch(change):
                return self._next_epoch(change)

    def _next_epoch(self, change: Change) -> Answer:
        try:
            self.membership = changed(self.membership, change)
        except BadMembershipError as bad:
            return Refused(str(bad))
        return Done()

    def _open(self, index: int, member: str) -> Answer:
        if member not in self.membership.by_id:
            return LeaseOver()
        # The turns of the lease before stay this member's: its new run claims them anew and gets higher tokens. So a
        # restart moves nothing, and nobody else begins while attempts of the run before may be out.
        self.leases[member] = Lease(index, index)
        return Opened(index)

    def _renew(self, index: int, command: Renew) -> Answer:
        lease = self.leases.get(command.member)
        if lease is None or lease.opened != command.lease or command.member not in self.membership.by_id:
            return LeaseOver()
        if command.epoch != self.membership.epoch:
            return Behind(self.membership.epoch)
        self.leases[command.member] = Lease(lease.opened, index)
        return Renewed(lease.opened, self._to_give_up(command.member))

    def _to_give_up(self, member: str) -> tuple[tuple[int, Token], ...]:
        wanted = sorted(self._shards_of.get(member, set()) & self._wanted)[:MOST_GIVE_UP]
        return tuple((shard, self.owners[shard].token) for shard in wanted)

    def _expire(self, command: Expire) -> Answer:
        if self.leases.get(command.member) != Lease(command.lease, command.renewed):
            return Refused("it has been renewed")
        del self.leases[command.member]
        for shard in sorted(self._shards_of.get(command.member, ())):
            self._vacate(shard)
        return Done()

    def _vacate(self, shard: int) -> None:
        member = self.owners.pop(shard).member
        self._wanted.discard(shard)
        shards = self._shards_of[member]
        shards.discard(shard)
        if not shards:
            del self._shards_of[member]

    def _claim(self, index: int, command: Claim) -> Answer:
        lease = self.leases.get(command.member)
        if lease is None or lease.opened != command.lease:
            return LeaseOver()
        if command.epoch != self.membership.epoch:
            return Behind(self.membership.epoch)
        members = self._placed(command.shard, self.membership).members
        if command.member not in members:
            return Refused("it is no replica of this shard")
        first = next(member for member in members if member in self.leases)
        owner = self.owners.get(command.shard)
        if first != command.member:
            return Taken(command.shard, command.number, first)
        if owner is not None and owner.member != command.member:
            self._wanted.add(command.shard)
            return Taken(command.shard, command.number, owner.member)
        token = Token(self.membership.epoch, index)
        self.owners[command.shard] = Owner(command.member, token)
        self._shards_of.setdefault(command.member, set()).add(command.shard)
        self._wanted.discard(command.shard)
        return Granted(command.shard, command.number, lease.opened, token)

    def _release(self, command: Release) -> Answer:
        if self.owners.get(command.shard) != Owner(command.member, command.token):
            return Refused("the turn has another token")
        self._vacate(command.shard)
        return Done()


class LeaseClock:
    """The leader's side: when a member's lease has ended for everybody. A new leader gives each its whole time anew."""

    def __init__(self, ttl: float, drift: float) -> None:
        """`ttl` in seconds; `drift`: by what part any two clocks differ at the most."""
        self._length = ttl * (1 + drift)
        self._due: dict[str, tuple[float, Lease]] = {}

    def lead(self, now: float, leases: dict[str, Lease]) -> None:
        """From the moment that this process leads."""
        self._due = {member: (now + self._length, lease) for member, lease in leases.items()}

    def applied(self, now: float, member: str, lease: Lease | None) -> None:
        """An entry about this member was applied just now; `lease` is what came of it."""
        if lease is None:
            self._due.pop(member, None)
        elif member not in self._due or self._due[member][1] != lease:
            self._due[member] = (now + self._length, lease)

    def expired(self, now: float) -> list[Expire]:
        """What to propose now."""
        return [Expire(member, lease.opened, lease.renewed) for member, (due, lease) in self._due.items() if due <= now]
