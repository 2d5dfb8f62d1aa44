"""What may be said and how much of it fits: the check of a peer, the queue of rumours, sizes in bytes."""

from __future__ import annotations

import re
from collections.abc import Iterator
from heapq import nsmallest
from itertools import count
from math import ceil, log2

import msgspec
from msgspec.structs import replace

from ..interface import MOST_DATAGRAM, Packet, Peer, Rumour, Standing

MOST_PACKET = MOST_DATAGRAM - 64  # the rest is the digest's
MOST_ID, MOST_PLACE = 96, 48  # characters of an id, of a zone or region
HIGHEST = 1 << 32  # incarnation
_ID = re.compile(r"[!-}]{1,64}~[!-}]{1,31}", re.ASCII)
_PLACE = re.compile(r"[!-~]{1,48}", re.ASCII)
_BYTE = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_HOST = re.compile(rf"{_BYTE}(\.{_BYTE}){{3}}", re.ASCII)
_encode = msgspec.msgpack.Encoder().encode


def sound(peer: Peer) -> bool:
    """Whether this can be a process of the fleet: `name~life`, a zone, an IPv4 address with a port, all short."""
    return bool(
        _ID.fullmatch(peer.id)
        and _PLACE.fullmatch(peer.zone)
        and (not peer.region or _PLACE.fullmatch(peer.region))
        and _HOST.fullmatch(peer.host)
        and 0 < peer.port < 65536
        and 0 < peer.version < 65536
    )


def believable(rumour: Rumour) -> bool:
    """Danger: ill words of the highest incarnation could never be refuted, so nobody takes them from others."""
    return 0 <= rumour.incarnation <= HIGHEST - (rumour.standing is not Standing.ALIVE) and sound(rumour.peer)


def size(value: object) -> int:
    """Bytes on the wire."""
    return len(_encode(value))


class _Told:
    __slots__ = ("rumour", "bytes", "times", "order")

    def __init__(self, rumour: Rumour, order: int) -> None:
        self.rumour, self.bytes, self.times, self.order = rumour, size(rumour), 0, -order


class Rumours:
    """What is to be told on: one rumour a member, each so many times, least told first and of these the newest."""

    def __init__(self, spread: float) -> None:
        """`spread`: how often a rumour is told, in multiples of the logarithm of the members."""
        self._spread, self._told, self._order = spread, {}, count()

    def __len__(self) -> int:
        """Rumours that are still told."""
        return len(self._told)

    def put(self, rumour: Rumour) -> None:
        """Tell a rumour, in place of any earlier one about the same member."""
        self._told[rumour.peer.id] = _Told(rumour, next(self._order))

    def drop(self, peer_id: str) -> None:
        """Tell no more about a member."""
        self._told.pop(peer_id, None)

    def times(self, members: int) -> int:
        """How often each rumour is told among so many members."""
        return ceil(self._spread * log2(max(2, members)))

    def take(self, room: int, members: int, without: set[str]) -> Iterator[Rumour]:
        """Those that fit into so many bytes, but those of `without`; each counts as told once more."""
        if not self._told:
            return
        most = self.times(members)
        for told in nsmallest(40, self._told.values(), key=lambda one: (one.times, one.order)):
            peer_id = told.rumour.peer.id
            if peer_id in without or told.bytes > room:
                continue
            room -= told.bytes
            told.times += 1
            if told.times >= most:
                del self._told[peer_id]
            yield told.rumour


def fill(
    packet: Packet, first: list[Rumour], rumours: Rumours, members: int, without: set[str], known: list[Rumour]
) -> Packet:
    """The packet with the `first` words, then rumours, then of `known` (used up) what fits into one datagram."""
    room = MOST_PACKET - size(packet) - 2  # an array of more than 15 has a longer head
    told = []
    for rumour in first:
        if (needs := size(rumour)) <= room:
            told.append(rumour)
            room -= needs
    for rumour in rumours.take(room, members, without):
        told.append(rumour)
        room -= size(rumour)
    while known and (needs := size(known[0])) <= room:
        rumour = known.pop(0)
        if rumour.peer.id not in without:
            told.append(rumour)
            room -= needs
    return replace(packet, rumours=tuple(told))
