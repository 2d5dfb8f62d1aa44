"""What is too long for one message, in pieces: a whole membership, and what a shard's old owner hands over."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from .errors import BadMembershipError, StaleMessageError
from .membership import Change, Membership, changed, checked
from .messages import EpochChange, EpochSnapshot, HandOver, LearnedState, WaitingMessage
from .turns import Token

MEMBERS_A_PIECE = 1_000  # some 40 KB
HAND_OVER_BYTES = 512 << 10  # of bodies and learned data in one HandOver: half of what a message may have
MOST_WAITING = 10_000  # messages in one HandOver


def epoch_in_pieces(membership: Membership) -> list[EpochSnapshot]:
    """For one who comes, or who missed too many changes."""
    members = membership.members
    count = max(1, -(-len(members) // MEMBERS_A_PIECE))
    return [
        EpochSnapshot(
            membership.epoch,
            piece,
            count,
            members[piece * MEMBERS_A_PIECE : (piece + 1) * MEMBERS_A_PIECE],
            membership.zone_weights,
            membership.replicas,
            membership.digest,
        )
        for piece in range(count)
    ]


def epoch_of_pieces(pieces: Sequence[EpochSnapshot]) -> Membership | None:
    """The membership, once all of its pieces are there, in any order; else None.

    Raises BadMembershipError for a mixture.
    """
    first = pieces[0]
    if any((one.epoch, one.pieces, one.digest) != (first.epoch, first.pieces, first.digest) for one in pieces):
        raise BadMembershipError("pieces of two memberships")
    by_number = {one.piece: one for one in pieces}
    if by_number.keys() != set(range(first.pieces)):
        return None
    members = tuple(member for at in range(first.pieces) for member in by_number[at].members)
    whole = checked(Membership(first.epoch, members, first.zone_weights, first.replicas))
    if whole.digest != first.digest:
        raise BadMembershipError(f"epoch {first.epoch} does not come to the digest that its pieces name")
    return whole


def next_epoch(before: Membership, told: EpochChange) -> Membership:
    """The epoch that a change makes of the one in force. Raises StaleMessageError for a change that is known already.

    Raises BadMembershipError where the change starts from a later epoch, or does not come to the digest that it names:
    the whole membership is then to be asked for.
    """
    if told.change.base < before.epoch:
        raise StaleMessageError(f"a change from epoch {told.change.base}, in force is {before.epoch}")
    after = changed(before, told.change)
    if after.digest != told.digest:
        raise BadMembershipError(f"epoch {after.epoch} does not come to the digest that its change names")
    return after


def change_message(before: Membership, change: Change) -> EpochChange:
    """What a relay sends of a change."""
    return EpochChange(change, changed(before, change).digest)


def hand_overs(
    shard: int, token: Token, waiting: Iterable[WaitingMessage], learned: Iterable[LearnedState]
) -> Iterator[HandOver]:
    """In as many messages as it takes, what was learned first; at least one, so that the new owner knows the end.

    The order of waiting messages stays: of one key they are handed over as they are to be sent.
    """
    group: list[WaitingMessage] = []
    states = tuple(learned)
    size = sum(len(state.data) for state in states)
    for message in waiting:
        if group and (size + len(message.body) > HAND_OVER_BYTES or len(group) >= MOST_WAITING):
            yield HandOver(shard, token, tuple(group), states, last=False)
            group, states, size = [], (), 0
        group.append(message)
        size += len(message.body)
    yield HandOver(shard, token, tuple(group), states, last=True)
