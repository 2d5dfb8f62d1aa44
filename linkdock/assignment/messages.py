"""Messages about assignment between members and relays, as bytes and back. No I/O.

    16 bytes of keyed digest, MessagePack of [fleet, sender, receiver, run, sequence, epoch, body]

What cannot be right is refused by type: spoilt, foreign, replayed, stale. `run` is a number that rises with each run of
a process (its start on the wall clock, in milliseconds), `sequence` counts within it; both together never go back.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b

import msgspec

from .errors import ForeignMessageError, ReplayedMessageError, SpoiltMessageError, StaleMessageError
from .membership import Change, Member, Membership, ZoneWeight
from .rows import Delta, PartDigest, ShardDigest, Snapshot
from .turns import Token

DIGEST = 16  # bytes
MOST_MESSAGE = 1 << 20  # bytes, as a frame of cluster/wire.py
MOST_PEERS = 20_000  # whose newest sequence is kept
_BAD = (msgspec.MsgspecError, ValueError, RecursionError)


class EpochChange(msgspec.Struct, frozen=True, array_like=True, tag="epoch"):
    """To the next epoch. `digest`: of the membership that comes of it."""

    change: Change
    digest: bytes


class EpochSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """A whole membership in pieces: for one who comes, or who missed too many changes."""

    epoch: int
    piece: int
    pieces: int
    members: tuple[Member, ...]
    zone_weights: tuple[ZoneWeight, ...]
    replicas: int
    digest: bytes


class PartOffer(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """What I hold in all. No answer means that it is what the relay has."""

    digest: PartDigest


class DigestsWanted(msgspec.Struct, frozen=True, array_like=True, tag="digests?"):
    """Your part is not what I have: name each shard's digest."""


class DigestOffer(msgspec.Struct, frozen=True, array_like=True, tag="digests"):
    """What I hold of each shard; answered by snapshots of those that differ."""

    shards: tuple[ShardDigest, ...]


class WaitingMessage(msgspec.Struct, frozen=True, array_like=True):
    """One message that waits and of which no attempt is in doubt. Times are what is left: clocks are not compared."""

    id: str
    key: str
    destination: int
    left_ms: int
    body: bytes


class LearnedState(msgspec.Struct, frozen=True, array_like=True):
    """What the old owner learned of a destination: a prior to the new one. `wait_ms`: left of a wait that was told."""

    destination: int
    age_ms: int
    wait_ms: int
    data: bytes


class HandOver(msgspec.Struct, frozen=True, array_like=True, tag="hand"):
    """From a shard's old owner to the new one, before the release. Where the old owner is dead the new one is cold."""

    shard: int
    token: Token
    waiting: tuple[WaitingMessage, ...]
    learned: tuple[LearnedState, ...]
    last: bool = True  # of the shard's


Body = EpochChange | EpochSnapshot | PartOffer | DigestsWanted | DigestOffer | Snapshot | Delta | HandOver


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """`epoch`: that the sender of the message goes by."""

    fleet: bytes
    sender: str
    receiver: str
    run: int
    sequence: int
    epoch: int
    body: Body


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode


class Codec:
    """One run of one process: what it signs with, and the newest sequence of each peer. Bounded by MOST_PEERS."""

    def __init__(self, fleet: str, key: str, me: str, run: int) -> None:
        """`key` is the fleet's secret, `me` this member's id; `run` has to be higher than that of any run before."""
        self._me = me
        self._run = run
        self._sequence = 0
        self._fleet = blake2b(fleet.encode(), digest_size=8, person=b"fleet").digest()
        self._key = blake2b(key.encode(), digest_size=32, person=b"assignment").digest()
        self._seen: dict[str, tuple[int, int]] = {}

    def encode(self, receiver: str, epoch: int, body: Body) -> bytes:
        """Raises ValueError if it would be larger than MOST_MESSAGE."""
        self._sequence += 1
        data = _encode(Envelope(self._fleet, self._me, receiver, self._run, self._sequence, epoch, body))
        if DIGEST + len(data) > MOST_MESSAGE:
            raise ValueError(f"a message of {DIGEST + len(data)} bytes, {MOST_MESSAGE} at the most")
        return self._digest(data) + data

    def decode(self, data: bytes, epoch: int) -> Envelope:
        """Raises SpoiltMessageError, ForeignMessageError, ReplayedMessageError, StaleMessageError.

        Stale is what goes by an epoch before `epoch`.
        A relay, which answers those who are behind, gives 0 as the epoch.
        """
        told = self._read(data)
        if told.fleet != self._fleet:
            raise ForeignMessageError("it is of another fleet")
        if told.receiver != self._me:
            raise ForeignMessageError(f"it is for {told.receiver!r:.80}")
        self._once(told)
        if told.epoch < epoch:
            raise StaleMessageError(f"{told.sender:.80} goes by epoch {told.epoch}, in force is {epoch}")
        return told

    def forget(self, members: Membership) -> None:
        """Peers that are not in the membership: their ids are never used again."""
        self._seen = {peer: newest for peer, newest in self._seen.items() if peer in members.by_id}

    def _digest(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=DIGEST, key=self._key).digest()

    def _read(self, data: bytes) -> Envelope:
        if not DIGEST < len(data) <= MOST_MESSAGE:
            raise SpoiltMessageError(f"{len(data)} bytes")
        body = data[DIGEST:]
        if not hmac.compare_digest(self._digest(body), data[:DIGEST]):
            raise SpoiltMessageError("the digest is not right")
        try:
            return _decode(body)
        except _BAD as bad:
            raise SpoiltMessageError(f"its form: {bad}") from None

    def _once(self, told: Envelope) -> None:
        newest = self._seen.get(told.sender)
        came = (told.run, told.sequence)
        if newest is not None and came <= newest:
            raise ReplayedMessageError(f"{told.sender:.80}: {came} after {newest}")
        if newest is None and len(self._seen) >= MOST_PEERS:
            raise ForeignMessageError(f"{told.sender:.80} is one peer more than {MOST_PEERS}")
        self._seen[told.sender] = came
