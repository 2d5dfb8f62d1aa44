"""Each process applies the shares to its own messages: slots by a hash of the id, and the overlay over the table.

A zone's demand for a destination is cut into SLOTS; a decision says for each to which zone it goes. The hash knows no
process and no time, so a message goes the same way after a restart. `remap` changes the fewest slots.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
from math import floor
from typing import Protocol, TypeVar

SLOTS = 256  # 0.4 % of a zone's demand each
MOST_ZONES = 256  # a zone is one byte of a slot


def slot_of(message: str) -> int:
    """The slot of a message, the same in every process."""
    return blake2b(message.encode(), digest_size=1, person=b"failover").digest()[0]


def remap(old: bytes, shares: Mapping[int, float], own: int) -> bytes:
    """Slots for the shares of other zones, each rounded down; the rest stays at `own`. Fewest slots change.

    Of those that must change the first ones do, and zones are filled by number: same arguments, same slots.
    """
    want = {zone: floor(share * SLOTS + 1e-9) for zone, share in shares.items() if zone != own}
    want[own] = SLOTS - sum(want.values())
    kept, free = bytearray(old), []
    for at, zone in enumerate(old):
        if want.get(zone, 0) > 0:
            want[zone] -= 1
        else:
            free.append(at)
    fill = [zone for zone in sorted(want) for _ in range(want[zone])]
    for at, zone in zip(free, fill, strict=True):
        kept[at] = zone
    return bytes(kept)


def choose(message: str, slots: bytes, doubt_zone: int | None = None) -> int:
    """The zone that a message goes to. `doubt_zone`: where it may have run, of a class that is bound to a zone.

    Danger: a bound order that is in doubt and goes elsewhere runs twice. No share moves it.
    """
    return slots[slot_of(message)] if doubt_zone is None else doubt_zone


def to_move(waiting: Iterable[tuple[str, int, int | None]], slots: bytes) -> list[tuple[str, int]]:
    """Of messages that wait, as (id, zone chosen, doubt zone): those that go elsewhere now, with their new zone."""
    moves = [(message, chosen, choose(message, slots, doubt)) for message, chosen, doubt in waiting]
    return [(message, now) for message, chosen, now in moves if now != chosen]


class Pace:
    """How fast one process may send to one far zone; `rate` in messages a second, a quarter of a second at once."""

    def __init__(self) -> None:
        """One message may go at once."""
        self._tokens, self._at = 1.0, 0.0

    def may_go(self, now: float, rate: float) -> bool:
        """Whether one message may go now at `rate` a second; it takes a token if so."""
        self._tokens = min(max(1.0, rate / 4), self._tokens + max(0.0, now - self._at) * rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Row(Protocol):
    """What the overlay needs of a row of the server table (`facade.Server`)."""

    destination: int
    zone: int
    kind: int
    health: str

    def _replace(self, **changed: object) -> Row: ...


R = TypeVar("R", bound=Row)


class Overlay:
    """Rows as the decisions are to see them. `apart`: by kind, whether each server has its own limit and wait.

    A kind that is apart is shown as one virtual destination a zone. Others have one limit and one wait for the whole
    destination, which must not be cut up: their rows in zones that are out drain, and the rest stays as it is.
    """

    def __init__(self, apart: Iterable[bool], zones: int) -> None:
        """`apart`: for each kind whether its zones are told apart. Raises ValueError for too many zones."""
        if not 1 <= zones <= MOST_ZONES:
            raise ValueError(f"zones must be 1 to {MOST_ZONES}")
        self._apart, self.zones = list(apart), zones

    def split(self, kind: int) -> bool:
        """Whether the zones of a kind are told apart."""
        return kind < len(self._apart) and self._apart[kind]

    def number(self, destination: int, kind: int, zone: int) -> int:
        """The number under which the decisions know a destination's zone. Real ones go up in steps of `zones` + 1."""
        return destination * (self.zones + 1) + (zone + 1 if self.split(kind) else 0)

    def real(self, number: int) -> tuple[int, int | None]:
        """Destination and zone; None where it is not split."""
        destination, part = divmod(number, self.zones + 1)
        return destination, part - 1 if part else None

    def shown(self, rows: Iterable[R], out: Callable[[int, int], bool]) -> Iterable[R]:
        """`out` says whether a zone is out at a destination. Only `ready` rows are changed: nothing is ever opened."""
        for row in rows:
            drains = row.health == "ready" and not self.split(row.kind) and out(row.destination, row.zone)
            yield row._replace(
                destination=self.number(row.destination, row.kind, row.zone),
                health="draining" if drains else row.health,
            )
