"""Who proposes changes of the membership, and when: a member that is gone for a short time changes nothing.

A restart ends within seconds and the folder keeps the member's id, so that its shards need not move: until the grace
time is over the other replicas of each shard serve it. Times are seconds of the proposer's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from .membership import Change, Member, Membership

GRACE = 60.0  # seconds; nine in ten restarted processes are ready within 10
LEAST_BETWEEN_EPOCHS = 2.0  # seconds: what comes meanwhile goes into one epoch
MOST_LEAVING = 0.05  # part of the members that may leave in one epoch while their zone is not wholly gone


class Departures:
    """The proposer's memory of who is missing. Another proposer begins anew, which delays and never hastens."""

    def __init__(self, grace: float = GRACE) -> None:
        """`grace`: seconds that a member has to be missing before it may leave."""
        self._grace = grace
        self._missing_since: dict[str, float] = {}
        self._proposed_at = float("-inf")

    @property
    def missing(self) -> int:
        """Members that are gone and have not left the membership."""
        return len(self._missing_since)

    def propose(self, now: float, present: Iterable[Member], membership: Membership) -> Change | None:
        """The change to propose now, or None. `present` is whom the membership protocol (SWIM) sees alive.

        Who comes is taken at once, who is missing leaves after the grace time. Where more members are missing than
        MOST_LEAVING and they are not whole zones, nobody leaves: so many missing at once is a cut that this proposer
        sees, and their leases end by themselves.
        """
        alive = {member.id: member for member in present}
        self._note(now, alive, membership)
        if now < self._proposed_at + LEAST_BETWEEN_EPOCHS:
            return None
        joined = tuple(
            member for member_id, member in sorted(alive.items()) if membership.by_id.get(member_id) != member
        )
        left = self._leaving(now, membership)
        if not joined and not left:
            return None
        self._proposed_at = now
        return Change(membership.epoch, joined, left)

    def _note(self, now: float, alive: dict[str, Member], membership: Membership) -> None:
        missing = [member.id for member in membership.members if member.id not in alive]
        self._missing_since = {member_id: self._missing_since.get(member_id, now) for member_id in missing}

    def _leaving(self, now: float, membership: Membership) -> tuple[str, ...]:
        due = [member_id for member_id, since in self._missing_since.items() if now - since >= self._grace]
        single = []
        for zone in membership.zones:
            gone = [member_id for member_id in due if member_id in zone.position]
            if len(gone) < len(zone.members):
                single += gone
        most = max(1, int(MOST_LEAVING * len(membership.members)))
        if len(single) > most:
            due = [member_id for member_id in due if member_id not in set(single)]
        return tuple(sorted(due)) if len(due) < len(membership.members) else ()
