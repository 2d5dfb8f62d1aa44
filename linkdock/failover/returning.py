"""The return of a zone is slow for the fleet as a whole: its allowance is shared out as leases that end by themselves.

Each process alone keeps to the cold rule for what it sends; a zone that returns meets all of them at once, and most of
them do not know how many they are. Pure: the ledger is a value, `now` is the decider's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

SAFETY = 0.6  # part of the fall multiple that is used, as for one sender's cold link
TERM = 1.0  # seconds of a lease by the decider's clock; never renewed, a new one is asked for
DRIFT = 0.02  # part by which two clocks may differ over a term
LEAST = 4.0  # messages in a tip span that a lease is worth at least: each holder may be one over its rate
MOST_LEASES = 512


class Rules(msgspec.Struct, frozen=True):
    """The settings' numbers: `fall_multiple`, `tip_after` (s), `cold_share`, `cold_time` (s)."""

    fall_multiple: float = 1.0
    tip_after: float = 1.0
    cold_share: float = 1.0
    cold_time: float = 0.0

    def allowance(self, limit: float, age: float) -> float:
        """Messages a second that a zone may be given by all, so long after its return; warm it takes `limit`."""
        share = max(self.cold_share, 1e-3)
        warm = min(1.0, share + (1 - share) * max(0.0, age) / max(self.cold_time, 1e-9))
        return limit * min(1.0, self.fall_multiple * SAFETY) * warm


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """`rate` messages a second for one process; for the decider it is live until `until`, the drift counted."""

    token: int
    holder: str
    rate: float
    until: float


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """The leases of one returning zone at one destination. `served` has when each holder was last given one."""

    token: int = 0
    leases: tuple[Lease, ...] = ()
    served: tuple[tuple[str, int], ...] = ()

    def live(self, now: float) -> tuple[Lease, ...]:
        """The leases that have not run out."""
        return tuple(lease for lease in self.leases if lease.until > now)

    def out(self, now: float) -> float:
        """Messages a second that may be sent under the leases that have not run out."""
        return sum(lease.rate for lease in self.live(now))


def share_out(ledger: Ledger, now: float, wants: Mapping[str, float], allowed: float, rules: Rules) -> Ledger:
    """Grant what is free of `allowed` (messages a second) to those who want; who went longest without comes first.

    Danger: a lease is counted until its holder's slowest clock has ended it, also if the holder is known to have died.
    """
    live = ledger.live(now)
    free = allowed - sum(lease.rate for lease in live)
    least = LEAST / max(rules.tip_after, 1e-9)
    has = {}
    for lease in live:
        has[lease.holder] = has.get(lease.holder, 0.0) + lease.rate
    served = dict(ledger.served)
    asks = {h: w - has.get(h, 0.0) for h, w in wants.items() if w - has.get(h, 0.0) > 1e-9}
    # A small want is rounded up to the least lease: unused, it ends by itself, or is given back.
    order = sorted(asks, key=lambda h: (served.get(h, 0), h))[: MOST_LEASES - len(live)]
    order = order[: max(0, int(free / least + 1e-9))]
    asks = {h: max(least, asks[h]) for h in order}
    given, token, left = {}, ledger.token, free
    for at, holder in enumerate(sorted(order, key=lambda h: (asks[h], h))):  # the smallest want first: max-min fair
        given[holder] = min(asks[holder], left / (len(order) - at))
        left -= given[holder]
    leases = list(live)
    for holder in order:
        token += 1
        leases.append(Lease(token, holder, given[holder], now + TERM * (1 + DRIFT)))
        served[holder] = token
    newest = sorted(served.items(), key=lambda pair: -pair[1])[:MOST_LEASES]
    return Ledger(token, tuple(leases), tuple(sorted(newest)))


def give_back(ledger: Ledger, holder: str, token: int) -> Ledger:
    """The holder itself says that it sends nothing under this lease any more."""
    return msgspec.structs.replace(
        ledger, leases=tuple(lease for lease in ledger.leases if (lease.holder, lease.token) != (holder, token))
    )


class Spender:
    """A holder's side: whether a message may go now. `asked` is its own clock, before it asked for the lease."""

    def __init__(self, lease: Lease, asked: float) -> None:
        """`asked`: when the lease was asked for, by this process's clock, from which its time counts."""
        self.lease, self.until = lease, asked + TERM * (1 - DRIFT)
        self._at, self._tokens = asked, 0.0

    def may_go(self, now: float) -> bool:
        """Whether one message may be sent now; it takes a token if so."""
        if now >= self.until:
            return False
        self._tokens = min(1.0, self._tokens + max(0.0, now - self._at) * self.lease.rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
