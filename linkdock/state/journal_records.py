"""The records of a journal: how they stand in its file, and what they come to.

A record is its length, its check sum, a kind and a JSON head, and for a take the message's body.
"""

from __future__ import annotations

import json
import logging
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf
from pathlib import Path

log = logging.getLogger(__name__)

TAKE, SENT, NEVER, NOTICE, END, MOVED = b"T", b"S", b"N", b"O", b"E", b"M"
SPOILT = b""  # no record: what is passed over
MOST_MOVED = 900  # requests that one record may name: the longest ids fit into its head
HEAD = struct.Struct("<IIcH")  # length and check sum of what follows, kind, length of the JSON head,
HEAD_BEGINS = b'{"i'  # which begins with `id` or `in`
MOST_NUMBER = 1 << 53  # of what stands in a record
MOST_RECORD = 1 << 20
EARLIEST = 1e-6  # when a message was taken whose record says nothing of it: before all others, in their order


@dataclass(slots=True)
class Kept:
    """What the journal holds of one request. `doubt` are the dispatches not proven to have never run."""

    id: str
    key: str
    cls: str
    destination: int
    until: float  # by `SteadyClock`
    body: bytes
    used: int = 0  # dispatches, by the number of the last
    tries: int = 0  # and those that went out: a call counts once it has come to its server
    doubt: set[int] = field(default_factory=set)
    notice: dict | None = None
    again: bool = False  # sent again from the store of undeliverable messages
    idempotency_key: str = ""
    tenant: str = ""
    taken_at: float = EARLIEST  # by which the messages of one key go in order; see `Journal.stamp`

    def size(self) -> int:
        """The bytes that it counts for against the bounds of a journal."""
        return len(self.body) + 256


def record(kind: bytes, head: dict, body: bytes = b"") -> bytes:
    """One record as it stands in the file."""
    text = json.dumps(head, separators=(",", ":")).encode()
    rest = kind + struct.pack("<H", len(text)) + text + body
    return struct.pack("<II", len(rest), zlib.crc32(rest)) + rest


def records(data: bytes) -> Iterator[tuple[int, bytes, bytes, bytes]]:
    """The whole records of a journal: where each ends, its kind, head and body. A torn one ends them.

    Danger: a byte that the disk has spoilt, or a block of zeros. The next record stands where the spoilt one ends, if
    its length is right; else it is looked for by how every head begins. Not before: a client's body may hold what
    looks like a record.
    """
    at = 0
    while at >= 0 and at + HEAD.size <= len(data):
        length, check, kind, head_size = HEAD.unpack_from(data, at)
        whole, end = HEAD.size - 8 <= length <= MOST_RECORD, at + 8 + length
        if whole and end > len(data):
            return
        if whole and zlib.crc32(data[at + 8 : end]) == check:
            body = at + HEAD.size + head_size
            yield end, kind, data[at + HEAD.size : min(body, end)], data[body:end]
            at = end
        else:
            fits = whole and (end == len(data) or data.startswith(HEAD_BEGINS, end + HEAD.size))
            at = end if fits else max(-1, data.find(HEAD_BEGINS, at + 1 + HEAD.size) - HEAD.size)
            yield at, SPOILT, b"", b""


class Replay:
    """What a journal's records come to, applied some at a time. One that is no use costs itself alone."""

    def __init__(self, path: Path, data: bytes) -> None:
        """`data` is what stands in the file at `path`."""
        self.kept: dict[str, Kept] = {}
        self.ended: list[str] = []  # requests whose end stands there
        self.end = 0  # of the last whole record
        self._path, self._records = path, records(data)
        self._spoilt, self._why = 0, ""

    @classmethod
    def of(cls, path: Path) -> Replay:
        """Of a journal that is nobody's any more. Raises OSError other than that there is none."""
        try:
            return cls(path, path.read_bytes())
        except FileNotFoundError:
            return cls(path, b"")

    def advance(self, most: float = inf) -> int:
        """Apply so many records at the most; how many there were. Fewer than that: none is left."""
        count = 0
        for count, one in enumerate(self._records, 1):
            self._apply(*one)
            if count == most:
                return count
        if self._spoilt:
            name, spoilt = self._path.name, self._spoilt
            log.error("journal: %s: %d records cannot be used, and are passed over: %s", name, spoilt, self._why)
        return count

    def _apply(self, at: int, kind: bytes, text: bytes, body: bytes) -> None:
        try:
            if kind == SPOILT:
                raise ValueError("spoilt")
            self.end = at
            head = json.loads(text)
            if kind != MOVED:
                apply(self.kept, kind, head, body)
                if kind == END:
                    self.ended.append(head["id"])
            elif not (self._path.parent / head["in"]).exists():  # else the kill came before its file was in its place
                for request in head["ids"]:
                    self.kept.pop(request, None)
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as bad:
            self._spoilt, self._why = self._spoilt + 1, f"{type(bad).__name__}: {bad!s:.80}"
            # Danger: it may have said that one of these was sent. None of them is known to be untried any more.
            for one in self.kept.values():
                one.doubt.add(one.used)


def replay(path: Path, data: bytes) -> Replay:
    """All of a journal's records."""
    whole = Replay(path, data)
    whole.advance()
    return whole


def _whole(head: dict, body: bytes) -> Kept:
    """Raises ValueError or TypeError for a record that no version with this shape of records has written."""
    doubt = head.pop("doubt", [])
    head.setdefault("tries", head.get("used", 0))  # older versions counted no tries
    kept = Kept(**head, body=body, doubt=set(doubt))
    numbers = (kept.destination, kept.used, kept.tries, *doubt)
    times = (kept.until, kept.taken_at)
    if not (
        all(isinstance(word, str) for word in (kept.id, kept.key, kept.cls, kept.tenant, kept.idempotency_key))
        and all(map(_number, numbers))
        and all(type(time) in (int, float) and abs(time) < MOST_NUMBER for time in times)
        and (kept.notice is None or _notice(kept.id, kept.notice))
    ):
        raise ValueError("a message with values out of range")
    return kept


def _number(told: object) -> bool:
    return type(told) is int and 0 <= told < MOST_NUMBER


def _notice(request: str, told: object) -> bool:
    return isinstance(told, dict) and told.get("id") == request and isinstance(told.get("status"), str)


def apply(kept: dict[str, Kept], kind: bytes, head: dict, body: bytes) -> int:
    """Take one record in; by how many bytes more or less is owed. Where it raises, nothing has changed."""
    if kind == TAKE:
        fresh = _whole(head, body)
        before = kept.get(fresh.id)
        kept[fresh.id] = fresh
        return fresh.size() - (0 if before is None else before.size())
    if kind not in (SENT, NEVER, NOTICE, END):
        raise ValueError(f"kind {kind!r}")
    one = kept.get(head["id"])
    if one is None:
        return 0
    if kind in (SENT, NEVER) and not _number(head["n"]) or kind == NOTICE and not _notice(one.id, head["notice"]):
        raise ValueError(f"values out of range for {one.id}")
    if kind == SENT:
        one.used, one.tries = max(one.used, head["n"] + 1), one.tries + 1
        one.doubt.add(head["n"])
    elif kind == NEVER:
        one.doubt.discard(head["n"])
    elif kind == NOTICE:
        one.notice = head["notice"]
    elif kind == END:
        return -kept.pop(head["id"]).size()
    return 0


def owed(path: Path) -> dict[str, Kept]:
    """What a journal that is nobody's any more still holds. Raises OSError other than that there is none."""
    left = Replay.of(path)
    left.advance()
    return left.kept
