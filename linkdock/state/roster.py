"""Discovery's list, packed: some 70 bytes a row, whatever its size, and no object for any.

Rows live in columns. Two indexes find them, by name and by destination; each is divided into many small parts, so
that growing one never holds the loop. A row is made into a `Server` when it is asked for.

Danger: lists of tens of thousands of rows, most of which are never used. As objects they took 2,214 bytes each, and
made every look over all of them longer than a tick.
"""

from __future__ import annotations

import socket
import struct
from array import array
from collections.abc import Callable, Iterator

from ..facade import Server

CELL = 16  # bytes for a name; a longer one is kept apart
PARTS = 1024  # of an index
LEAST_PART = 8  # places in one
BITS = 10  # rows of one block of a column, as a power of two
BLOCK = 1 << BITS
HEALTH = ("ready", "draining", "gone")
SEED = 0x9E3779B97F4A7C15  # spreads consecutive numbers over the parts
_FREE, _LEFT = -1, -2
_ADDRESS = struct.Struct("!I")
_CELL = struct.Struct("<QQ")


def _packed(address: str) -> int | None:
    """An IPv4 address as a number, or None for what would not come back as it was."""
    try:
        data = socket.inet_aton(address)
    except (OSError, ValueError):
        return None
    return _ADDRESS.unpack(data)[0] if socket.inet_ntoa(data) == address else None


class Column:
    """One figure of every row, in blocks. Danger: a single large array is moved whole when it grows."""

    __slots__ = ("_code", "_blocks", "_each")

    def __init__(self, code: str) -> None:
        self._code, self._blocks, self._each = code, [], array(code).itemsize

    def __getitem__(self, row: int):
        return self._blocks[row >> BITS][row & (BLOCK - 1)]

    def __setitem__(self, row: int, value) -> None:
        self._blocks[row >> BITS][row & (BLOCK - 1)] = value

    def reach(self, row: int) -> None:
        """Have a place for this row, which is at most one beyond the last block."""
        if row >> BITS == len(self._blocks):
            self._blocks.append(array(self._code, bytes(self._each * BLOCK)))

    def size(self) -> int:
        return len(self._blocks) * self._each * BLOCK


class Index:
    """Finds rows by a hash of their key; `same` tells whether a row has the key that is looked for."""

    def __init__(self, hash_of: Callable[[int], int], same: Callable[[int, object], bool]) -> None:
        self._hash_of, self._same = hash_of, same
        self._parts: list[array | None] = [None] * PARTS
        self._used = array("i", bytes(4 * PARTS))  # places in use in each part, those left included

    def find(self, hashed: int, key: object) -> int:
        """The row, or -1."""
        part = self._parts[hashed % PARTS]
        if part is None:
            return -1
        mask = len(part) - 1
        at = (hashed // PARTS) & mask
        while (row := part[at]) != _FREE:
            if row >= 0 and self._same(row, key):
                return row
            at = (at + 1) & mask
        return -1

    def add(self, hashed: int, row: int) -> None:
        """A row whose key is not there yet."""
        which = hashed % PARTS
        part = self._parts[which]
        if part is None or 3 * (self._used[which] + 1) > 2 * len(part):
            part = self._grow(which)
        mask = len(part) - 1
        at = (hashed // PARTS) & mask
        while part[at] >= 0:
            at = (at + 1) & mask
        self._used[which] += part[at] == _FREE
        part[at] = row

    def _grow(self, which: int) -> array:
        """Make one part anew with room, without what was left in it."""
        old = self._parts[which]
        rows = [row for row in old if row >= 0] if old is not None else []
        size = LEAST_PART
        while size < 2 * (len(rows) + 1):
            size *= 2
        part = self._parts[which] = array("i", [_FREE]) * size
        self._used[which] = len(rows)
        for row in rows:
            at = (self._hash_of(row) // PARTS) & (size - 1)
            while part[at] >= 0:
                at = (at + 1) & (size - 1)
            part[at] = row
        return part

    def change(self, hashed: int, row: int, new: int) -> None:
        """Put another row in one's place, or (-2) nothing."""
        part = self._parts[hashed % PARTS]
        mask = len(part) - 1
        at = (hashed // PARTS) & mask
        while part[at] != row:
            at = (at + 1) & mask
        part[at] = new

    def size(self) -> int:
        return 12 * PARTS + sum(64 + 4 * len(part) for part in self._parts if part is not None)


class Roster:
    """Owner of the rows. The order of a destination's rows is that in which they were told first."""

    def __init__(self) -> None:
        self._names, self._long = (Column("Q"), Column("Q")), {}  # the two halves of a cell
        self._ips, self._ports, self._texts = Column("I"), Column("H"), {}
        self._destinations, self._next = Column("q"), Column("i")
        self._health, self._kinds, self._zones = Column("B"), Column("H"), Column("H")
        self._shares, self._born = Column("f"), Column("d")
        self._columns = (
            *self._names,
            self._ips,
            self._ports,
            self._destinations,
            self._next,
            self._health,
            self._kinds,
            self._zones,
            self._shares,
            self._born,
        )
        self._rows = 0  # places so far, free ones included
        self._free: list[int] = []
        self._by_name = Index(lambda row: self._hash(self._name(row)), self._is_named)
        self._by_destination = Index(
            lambda row: self._spread(self._destinations[row]), lambda row, key: self._destinations[row] == key
        )
        self._partners: dict[int, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def size(self) -> int:
        """Bytes that it takes, nearly."""
        return (
            sum(column.size() for column in self._columns)
            + self._by_name.size()
            + self._by_destination.size()
            + 200 * (len(self._long) + len(self._texts))
            + 8 * len(self._free)
        )

    # --- Keys.

    @staticmethod
    def _hash(name: str) -> int:
        return hash(name) & 0x7FFFFFFFFFFFFFFF

    @staticmethod
    def _spread(destination: int) -> int:
        return (destination * SEED >> 16) & 0x7FFFFFFFFFFFFFFF

    def _name(self, row: int) -> str:
        first, second = self._names
        return self._long.get(row) or _CELL.pack(first[row], second[row]).rstrip(b"\0").decode()

    def _is_named(self, row: int, name: object) -> bool:
        return self._name(row) == name

    # --- In.

    def put(self, server: Server) -> None:
        """Add a row, or put a new one in its place. One that is gone is taken out."""
        if server.health == "gone":
            self.remove(server.name)
            return
        hashed = self._hash(server.name)
        row = self._by_name.find(hashed, server.name)
        if row >= 0 and self._destinations[row] != server.destination:
            self.remove(server.name)  # it has moved to another destination
            row = -1
        if row < 0:
            row = self._add(server, hashed)
        self._fill(row, server)

    def _add(self, server: Server, hashed: int) -> int:
        if self._free:
            row = self._free.pop()
        else:
            row = self._rows
            self._rows += 1
            for column in self._columns:
                column.reach(row)
        name = server.name.encode()
        if len(name) > CELL or name.endswith(b"\0") or not name:
            self._long[row] = server.name
        else:
            self._names[0][row], self._names[1][row] = _CELL.unpack(name.ljust(CELL, b"\0"))
        self._destinations[row], self._next[row] = server.destination, -1
        self._by_name.add(hashed, row)
        spread = self._spread(server.destination)
        head = self._by_destination.find(spread, server.destination)
        if head < 0:
            self._by_destination.add(spread, row)
            self._partners[server.kind] = self._partners.get(server.kind, 0) + 1
        else:
            while self._next[head] >= 0:
                head = self._next[head]
            self._next[head] = row
        self._count += 1
        return row

    def _fill(self, row: int, server: Server) -> None:
        address, port = server.dial
        packed = _packed(address)
        if packed is None:
            packed, self._texts[row] = 0, address
        else:
            self._texts.pop(row, None)
        self._ips[row], self._ports[row] = packed, port
        self._health[row] = HEALTH.index(server.health)
        self._kinds[row], self._zones[row] = server.kind, server.zone
        self._shares[row], self._born[row] = server.share, server.born

    def remove(self, name: str) -> bool:
        """Take a row out; whether it was there."""
        hashed = self._hash(name)
        row = self._by_name.find(hashed, name)
        if row < 0:
            return False
        self._by_name.change(hashed, row, _LEFT)
        destination, kind = self._destinations[row], self._kinds[row]
        spread = self._spread(destination)
        head = self._by_destination.find(spread, destination)
        if head == row:
            following = self._next[row]
            self._by_destination.change(spread, row, following if following >= 0 else _LEFT)
            if following < 0:
                self._partners[kind] = max(0, self._partners.get(kind, 0) - 1)
        else:
            while self._next[head] != row:
                head = self._next[head]
            self._next[head] = self._next[row]
        self._long.pop(row, None)
        self._texts.pop(row, None)
        self._free.append(row)
        self._health[row] = HEALTH.index("gone")
        self._count -= 1
        return True

    # --- Out.

    def _server(self, row: int) -> Server:
        address = self._texts.get(row)
        if address is None:
            address = socket.inet_ntoa(_ADDRESS.pack(self._ips[row]))
        return Server(
            self._name(row),
            (address, self._ports[row]),
            self._destinations[row],
            HEALTH[self._health[row]],
            self._kinds[row],
            self._zones[row],
            self._shares[row],
            self._born[row],
        )

    def row(self, name: str) -> Server | None:
        row = self._by_name.find(self._hash(name), name)
        return None if row < 0 else self._server(row)

    def health(self, name: str) -> str:
        """`ready`, `draining`, or `gone` for what is not listed."""
        row = self._by_name.find(self._hash(name), name)
        return HEALTH[self._health[row]] if row >= 0 else "gone"

    def of(self, destination: int) -> list[Server]:
        """The rows of one destination."""
        row, found = self._by_destination.find(self._spread(destination), destination), []
        while row >= 0:
            found.append(self._server(row))
            row = self._next[row]
        return found

    def knows(self, destination: int) -> bool:
        return self._by_destination.find(self._spread(destination), destination) >= 0

    def partners(self, kind: int) -> int:
        """How many destinations of a kind are listed."""
        return self._partners.get(kind, 0)

    def __iter__(self) -> Iterator[Server]:
        """All rows. Danger: of a long list this takes longer than a tick."""
        gone = HEALTH.index("gone")
        return (self._server(row) for row in range(self._rows) if self._health[row] != gone)
