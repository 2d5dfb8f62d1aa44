"""A sender's side of its turns: whether it may begin, and what it has to release. Times by its own monotonic clock.

Nothing that is asked here waits for the network. What a class without order needs is `assigned` alone, which no lease
ends: without a quorum a sender goes on with its last assignment. Keys in order need the turn as well.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from .errors import FencedTurnError, StaleMessageError
from .turns import Claim, Granted, Release, Renew, Token


class TurnSettings(NamedTuple):
    """Seconds, and a part. The same at all processes of a fleet."""

    ttl: float = 10.0  # of a member's lease
    drift: float = 0.02  # by what part any two clocks differ at the most
    longest_attempt: float = 2.0  # an attempt is given up by then, its connection closed


class TurnState(Enum):
    """How far this member is with the turn of one shard."""

    CLAIMING = auto()  # asked for, not granted
    HELD = auto()
    RELEASING = auto()  # nothing is begun any more; released once no attempt is out


@dataclass(slots=True)
class Turn:
    """Of one shard. `token` is None until granted."""

    state: TurnState
    number: int  # of the last claim
    token: Token | None = None


class TurnHolder:
    """One run of a member. Whoever calls sends what is returned and brings back the answers."""

    def __init__(self, member: str, settings: TurnSettings, started_at: float) -> None:
        """`started_at`: when this run began. No attempt is begun until `longest_attempt` after it."""
        self.member = member
        self.epoch = 0
        self.assigned: dict[int, int] = {}  # shards with this member's role, in the last epoch that came
        self.lease: int | None = None
        self._settings = settings
        self._until = float("-inf")
        # An attempt of a run that was killed may be out until then: it is not seen here.
        self._begin_from = started_at + settings.longest_attempt
        self._turns: dict[int, Turn] = {}
        self._attempts_out: dict[int, int] = {}  # by shard, whatever lease or token each was begun under
        self._number = 0

    # --- The lease.

    def lease_opened(self, asked_at: float, lease: int) -> None:
        """`asked_at`: when the request was made, not when it was answered: the leader may have counted from then."""
        if self.lease is not None and lease <= self.lease:
            return  # an answer that came late
        self.lease = lease
        self._turns = {}
        self._until = float("-inf")
        self.lease_renewed(asked_at, lease)

    def lease_renewed(self, asked_at: float, lease: int) -> None:
        """`asked_at` as in `lease_opened`. A renewal of any other lease than the present one changes nothing."""
        if lease == self.lease:
            settings = self._settings
            self._until = max(self._until, asked_at + settings.ttl * (1 - settings.drift))

    def lease_over(self, lease: int) -> None:
        """The table knows no such lease; every turn under it is lost."""
        if lease == self.lease:
            self.lease = None
            self._turns = {}
            self._until = float("-inf")

    def holds_lease(self, now: float) -> bool:
        """Whether a lease is open and has not ended by this member's clock, the drift taken off."""
        return self.lease is not None and now < self._until

    def renewal(self) -> Renew | None:
        """The renewal to send; None without a lease."""
        return None if self.lease is None else Renew(self.member, self.lease, self.epoch)

    # --- Epochs.

    def adopt(self, epoch: int, assigned: dict[int, int]) -> None:
        """A newer epoch. Turns of shards not among `assigned` are to be released. Raises StaleMessageError."""
        if epoch <= self.epoch:
            raise StaleMessageError(f"epoch {epoch} after {self.epoch}")
        self.epoch = epoch
        self.assigned = assigned
        for shard in [shard for shard in self._turns if shard not in assigned]:
            self._give_up(shard)

    def _give_up(self, shard: int) -> None:
        turn = self._turns[shard]
        if turn.token is None:
            del self._turns[shard]  # what may be granted all the same is asked back with the next renewal
        else:
            turn.state = TurnState.RELEASING

    # --- Turns.

    def claim(self, shard: int) -> Claim | None:
        """The claim to send, under a new number; None where there is nothing to claim with, or no need."""
        turn = self._turns.get(shard)
        if self.lease is None or shard not in self.assigned or turn and turn.state != TurnState.CLAIMING:
            return None
        self._number += 1
        self._turns[shard] = Turn(TurnState.CLAIMING, self._number)
        return Claim(shard, self.member, self.lease, self.epoch, self._number)

    def granted(self, grant: Granted) -> bool:
        """Whether it is taken: an answer to a claim that was given up, or under an older lease, is not."""
        turn = self._turns.get(grant.shard)
        if turn is None or turn.state != TurnState.CLAIMING or turn.number != grant.number or grant.lease != self.lease:
            return False
        turn.state = TurnState.HELD
        turn.token = grant.token
        return True

    def asked_back(self, shard: int, token: Token) -> None:
        """By an answer to a renewal. A turn that is not held here under this token can be released at once."""
        turn = self._turns.get(shard)
        if turn is not None and turn.token is not None and turn.token > token:
            return  # that answer is older than this turn
        if turn is None or turn.token is None:
            self._turns[shard] = Turn(TurnState.RELEASING, 0, token)
        else:
            turn.state = TurnState.RELEASING

    def releases(self, now: float) -> list[Release]:
        """To be sent now, and again until one is answered. None while attempts of an earlier run may be out."""
        if now < self._begin_from:
            return []
        return [
            Release(shard, self.member, turn.token)
            for shard, turn in self._turns.items()
            if turn.state == TurnState.RELEASING and turn.token is not None and shard not in self._attempts_out
        ]

    def released(self, shard: int, token: Token) -> None:
        """Answered, with Done or with Refused: either way the turn is not this one's any more."""
        turn = self._turns.get(shard)
        if turn is not None and turn.state == TurnState.RELEASING and turn.token == token:
            del self._turns[shard]

    def state(self, shard: int) -> TurnState | None:
        """Of the turn of this shard; None if it is neither claimed nor held here."""
        turn = self._turns.get(shard)
        return turn.state if turn else None

    # --- Sending.

    def may_begin(self, now: float, shard: int) -> bool:
        """Whether an attempt of a key of this shard may be begun: it must be over before the lease can be another's."""
        turn = self._turns.get(shard)
        return (
            turn is not None
            and turn.state == TurnState.HELD
            and now >= self._begin_from
            and now + self._settings.longest_attempt <= self._until
        )

    def begin(self, now: float, shard: int) -> Token:
        """Right before the first byte of an attempt; the token goes into the record of it. Raises FencedTurnError."""
        if not self.may_begin(now, shard):
            raise FencedTurnError(f"shard {shard}: the turn is not held, or its lease ends before an attempt would")
        token = self._turns[shard].token
        assert token is not None
        self._attempts_out[shard] = self._attempts_out.get(shard, 0) + 1
        return token

    def ended(self, shard: int) -> None:
        """An attempt of this shard is over: answered, or given up and its connection closed."""
        left = self._attempts_out[shard] - 1
        if left:
            self._attempts_out[shard] = left
        else:
            del self._attempts_out[shard]
