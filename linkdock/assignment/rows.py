"""The rows (of discovery's list) that a sender holds: those of its shards, each with a version, and their digests.

A shard's digest is the number of its rows and the sum of their hashes: the order of arrival has no say in it, and one
row's change costs one hash. Two holders whose digests are alike hold the same rows in the same versions.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from .errors import DivergedRowsError, StaleMessageError
from .hashing import MASK, SHARD_COUNT, shard_of

MOST_ROW = 4096  # bytes of one row's data
MOST_ROWS = 100_000  # of one shard, five thousand times what is ordinary
_encode = msgspec.msgpack.Encoder().encode


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What is known of one destination. `version`: of discovery's list; `data`: its entries as they were told."""

    destination: int
    version: int
    data: bytes


class Removed(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A destination that is listed no more, from `version` on."""

    destination: int
    version: int


class ShardDigest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """`total`: the sum of the rows' hashes, modulo 2**64."""

    shard: int
    count: int
    total: int


class PartDigest(msgspec.Struct, frozen=True, array_like=True):
    """Of all shards that a holder has: shards, rows, and the sum of their totals. Asked first; mostly it is enough."""

    shards: int
    count: int
    total: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """All rows of one shard."""

    shard: int
    rows: tuple[Row, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag="delta"):
    """Changes of one shard; `after` is what its rows come to with them."""

    after: ShardDigest
    rows: tuple[Row, ...]
    removed: tuple[Removed, ...] = ()


def row_hash(row: Row) -> int:
    """Eight bytes of a row, its version included."""
    return int.from_bytes(blake2b(_encode(row), digest_size=8, person=b"row").digest(), "big")


class RowStore:
    """Rows by shard, of the shards that are held. What is refused changes nothing."""

    def __init__(self) -> None:
        """No shard is held yet."""
        self._rows: dict[int, dict[int, Row]] = {}
        self._totals: dict[int, int] = {}

    @property
    def held(self) -> frozenset[int]:
        """The shards that are held, those without rows included."""
        return frozenset(self._rows)

    def row(self, destination: int) -> Row | None:
        """The row of a destination; None if it has none or its shard is not held."""
        return self._rows.get(shard_of(destination), {}).get(destination)

    def rows(self, shard: int) -> tuple[Row, ...]:
        """Raises KeyError for a shard that is not held."""
        return tuple(self._rows[shard].values())

    def hold(self, shards: Iterable[int]) -> None:
        """From now on these shards and no others; one that is new has no rows until its snapshot comes."""
        wanted = set(shards)
        if not all(0 <= shard < SHARD_COUNT for shard in wanted):
            raise ValueError(f"a shard is 0 to {SHARD_COUNT - 1}")
        for shard in self._rows.keys() - wanted:
            del self._rows[shard], self._totals[shard]
        for shard in wanted - self._rows.keys():
            self._rows[shard], self._totals[shard] = {}, 0

    def digest(self, shard: int) -> ShardDigest:
        """Of the rows of one shard. Raises KeyError for a shard that is not held."""
        return ShardDigest(shard, len(self._rows[shard]), self._totals[shard])

    def digests(self) -> tuple[ShardDigest, ...]:
        """Of every held shard, in the order of shards."""
        return tuple(self.digest(shard) for shard in sorted(self._rows))

    def part_digest(self) -> PartDigest:
        """Of all held shards together."""
        count = sum(len(rows) for rows in self._rows.values())
        return PartDigest(len(self._rows), count, sum(self._totals.values()) & MASK)

    def put(self, snapshot: Snapshot) -> None:
        """All rows of a shard.

        Raises DivergedRowsError if it is not of one held shard, StaleMessageError if a row is older.
        """
        held = self._of(snapshot.shard, snapshot.rows)
        rows = {row.destination: row for row in snapshot.rows}
        if len(rows) != len(snapshot.rows):
            raise DivergedRowsError(f"shard {snapshot.shard}: a destination comes twice in a snapshot")
        for destination, row in rows.items():
            if destination in held and row.version < held[destination].version:
                raise StaleMessageError(
                    f"destination {destination}: version {row.version} in a snapshot, "
                    f"{held[destination].version} is held"
                )
        self._rows[snapshot.shard] = rows
        self._totals[snapshot.shard] = sum(map(row_hash, rows.values())) & MASK

    def change(self, delta: Delta) -> None:
        """Raises DivergedRowsError where the outcome is not what the delta says, StaleMessageError if a row is older.

        After a DivergedRowsError the whole shard is to be asked for.
        """
        shard = delta.after.shard
        held = self._of(shard, (*delta.rows, *delta.removed))
        after, total = dict(held), self._totals[shard]
        for change in (*delta.removed, *delta.rows):
            old = after.get(change.destination)
            if old is not None and change.version < old.version:
                raise StaleMessageError(
                    f"destination {change.destination}: version {change.version} in a delta, " f"{old.version} is held"
                )
            if old is not None:
                total -= row_hash(after.pop(change.destination))
            if isinstance(change, Row):
                after[change.destination] = change
                total += row_hash(change)
        came_to = ShardDigest(shard, len(after), total & MASK)
        if came_to != delta.after:
            raise DivergedRowsError(
                f"shard {shard}: {came_to.count} rows of digest {came_to.total:x} after a delta that "
                f"says {delta.after.count} of {delta.after.total:x}"
            )
        self._rows[shard], self._totals[shard] = after, came_to.total

    def _of(self, shard: int, changes: tuple[Row | Removed, ...]) -> dict[int, Row]:
        held = self._rows.get(shard)
        if held is None:
            raise DivergedRowsError(f"shard {shard} is not held")
        if len(changes) > MOST_ROWS:
            raise DivergedRowsError(f"shard {shard}: {len(changes)} rows, {MOST_ROWS} at the most")
        for change in changes:
            if shard_of(change.destination) != shard:
                raise DivergedRowsError(f"destination {change.destination} is not of shard {shard}")
            if isinstance(change, Row) and len(change.data) > MOST_ROW:
                raise DivergedRowsError(f"destination {change.destination}: a row of {len(change.data)} bytes")
        return held


def snapshots_for(source: RowStore, told: Iterable[ShardDigest]) -> list[Snapshot]:
    """What a relay answers to digests: the whole rows of each shard that differs, of those that it has itself."""
    return [
        Snapshot(one.shard, source.rows(one.shard))
        for one in told
        if one.shard in source.held and source.digest(one.shard) != one
    ]
