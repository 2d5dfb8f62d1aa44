"""HTTP/1.1 as a client writes and reads it: requests, and an incremental parser of answers."""

from __future__ import annotations

import re
from typing import NamedTuple

from ..errors import LinkdockError

MOST_HEAD = 16 * 1024
MOST_FIELDS = 256  # of a head or a trailer; many short ones take far more memory and time than their bytes,
MOST_CHUNKS = 2048  # as do many short chunks of a body that is bounded,
MOST_INTERIM = 64  # and 1xx answers ahead of one
START = b"HTTP/1."
# Danger: `isdigit` and `int` take signs, underscores and digits of other scripts.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-9][0-9]{2})(?: [^\r\n]*)?\Z")
HEADER = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n\0]*?)[ \t]*\Z")
LENGTH = re.compile(r"[0-9]{1,12}\Z", re.ASCII)
NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,400})?\Z", re.ASCII)  # a double takes up to 325 decimals, written out
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?\Z")


class BadAnswer(LinkdockError, ValueError):
    """The bytes are no HTTP/1.1 answer that can be read."""

    code = "LD-HTTP-ANSWER"
    what = "a peer's HTTP answer cannot be read, or is not the one that was asked for"
    remedy = "Look at the peer that the line names: what answers at its address, and its own log"


class Head(NamedTuple):
    """Status line and headers, names in lower case."""

    status: int
    headers: dict[str, str]


class Body(NamedTuple):
    """A piece of the body."""

    data: bytes


class Whole(NamedTuple):
    """The answer is complete; `keep` tells whether the connection can carry another call."""

    keep: bool


def request(
    method: str, path: str, dial: tuple[str, int], headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """A request of HTTP/1.1 with all its bytes."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {dial[0]}:{dial[1]}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def number(text: str) -> float | None:
    """A number as the protocol writes it, or None. Danger: `float` also takes `nan`, `1_0` and `1e300`."""
    text = text.strip()
    return float(text) if NUMBER.match(text) else None


def load_report(headers: dict[str, str], fields: list[str]) -> tuple[float, float] | None:
    """The load report that an answer carries, where one can be read with the fields that it should have."""
    told: dict[str, float] = {}
    for part in headers.get("endpoint-load-metrics", "").split(","):
        name, _, value = part.partition("=")
        name, figure = name.strip(), number(value)
        if name in fields:
            # Danger: half a report would pass for one of a limit that is used up, or of none.
            if figure is None or name in told or name == "x0" and figure > 1:
                return None
            told[name] = figure
    if not told or any(name not in told for name in ("x0", "x1") if name in fields):
        return None
    return told.get("x0", 0.0), told.get("x1", 0.0)


class AnswerParser:
    """Reads one answer: feed it bytes, get `Head`, `Body` and `Whole` in turn.

    `eof` ends a body without length. `status` is known as soon as the first line is whole, also where what
    follows cannot be read; `begun` tells that the answer has begun, beyond any 1xx ahead of it.
    """

    def __init__(self, most_body: int | None = 64 * 1024) -> None:
        """Read a reply whose body has `most_body` bytes at most; None for any number."""
        self._data = bytearray()
        self._most, self._size = most_body, 0
        self._step = self._head
        self._left = 0
        self._fields = self._chunks = self._interim = 0  # of the trailer, of the body, ahead of the answer
        self._keep = True
        self.status: int | None = None
        self.whole = False
        self.read = 0  # bytes

    def so_far(self) -> str:
        """What came, in a few words."""
        return f"{self.status or 'no'} status, {self.read} bytes, {'whole' if self.whole else 'not whole'}"

    @property
    def begun(self) -> bool:
        """Whether any byte has come."""
        return self.status is not None or bool(self._data)

    @property
    def rest(self) -> bytes:
        """What has come behind a whole answer."""
        return bytes(self._data)

    def feed(self, data: bytes) -> list[Head | Body | Whole]:
        """Take bytes as they came; the parts that they bring. Raises BadAnswer."""
        self._data += data
        self.read += len(data)
        parts: list[Head | Body | Whole] = []
        while not self.whole and self._step(parts):
            pass
        if self.whole and self._data:
            # Danger: bytes beyond the answer would be read as the answer to the next call.
            parts[-1] = Whole(False)
        return parts

    def eof(self) -> list[Whole]:
        """The connection has ended: a reply without a length is whole by that."""
        if self._step == self._until_close and not self.whole:
            self.whole = True
            return [Whole(False)]
        return []

    def _line(self, most: int = MOST_HEAD) -> bytes | None:
        end = self._data.find(b"\n")
        if end < 0:
            if len(self._data) > most:
                raise BadAnswer("a line without end")
            return None
        line = bytes(self._data[:end]).rstrip(b"\r")
        del self._data[: end + 1]
        return line

    def _head(self, parts: list) -> bool:
        if not self._data.startswith(START[: len(self._data)]):
            raise BadAnswer(f"no status line: {bytes(self._data[:60])!r}")
        first_end, end = self._data.find(b"\r\n"), self._data.find(b"\r\n\r\n")
        if first_end < 0:
            if len(self._data) > MOST_HEAD:
                raise BadAnswer("a first line without end")
            return False
        first = STATUS_LINE.match(self._data[:first_end])
        if first is None:
            raise BadAnswer(f"no status line: {bytes(self._data[:60])!r}")
        status = int(first[1])
        self.status = status if status >= 200 else None
        if end < 0:
            if len(self._data) > MOST_HEAD:
                raise BadAnswer("a head without end")
            return False
        if end > MOST_HEAD or self._data.count(b"\r\n", 0, end) > MOST_FIELDS:
            raise BadAnswer("a head that is too long")
        version, *lines = bytes(self._data[:end]).decode("latin-1").split("\r\n")
        del self._data[: end + 4]
        headers: dict[str, str] = {}
        for line in lines:
            header = HEADER.match(line)
            if header is None:
                raise BadAnswer(f"no header: {line[:60]!r}")
            name, value = header[1].lower(), header[2]
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        if status < 200:
            self._interim += 1
            if self._interim > MOST_INTERIM:
                raise BadAnswer("nothing but 1xx answers")
            return True
        self._keep = version.startswith("HTTP/1.1 ") and "close" not in headers.get("connection", "").lower()
        parts.append(Head(status, headers))
        length, coding = headers.get("content-length"), headers.get("transfer-encoding")
        if length is not None and (coding is not None or not LENGTH.match(length)):
            raise BadAnswer(f"a length that cannot be right: {length[:60]!r}")
        if status in (204, 304):
            return self._finish(parts)
        if coding is not None:
            if coding.lower() != "chunked":
                raise BadAnswer(f"an unknown coding: {coding[:60]!r}")
            self._step = self._chunk_size
        elif length is not None:
            self._left = int(length)
            if self._most is not None and self._left > self._most:
                raise BadAnswer("the body is too long")  # at once, however slowly it comes
            self._step = self._counted
        else:
            self._step = self._until_close
        return True

    def _finish(self, parts: list) -> bool:
        self.whole = True
        parts.append(Whole(self._keep))
        return False

    def _piece(self, parts: list, size: int) -> None:
        self._size += size
        if self._most is not None and self._size > self._most:
            raise BadAnswer("the body is too long")
        if size:
            parts.append(Body(bytes(self._data[:size])))
            del self._data[:size]

    def _counted(self, parts: list) -> bool:
        size = min(self._left, len(self._data))
        self._left -= size
        self._piece(parts, size)
        return self._finish(parts) if not self._left else False

    def _until_close(self, parts: list) -> bool:
        self._piece(parts, len(self._data))
        return False

    def _chunk_size(self, parts: list) -> bool:
        line = self._line()
        if line is None:
            return False
        size = CHUNK_SIZE.match(line)
        if size is None:
            raise BadAnswer("a chunk size that is no number")
        self._chunks += 1
        if self._most is not None and self._chunks > MOST_CHUNKS:
            raise BadAnswer("a body in too many chunks")
        self._left = int(size[1], 16)
        if self._most is not None and self._size + self._left > self._most:
            raise BadAnswer("the body is too long")
        self._step = self._chunk if self._left else self._trailer
        return True

    def _chunk(self, parts: list) -> bool:
        size = min(self._left, len(self._data))
        self._left -= size
        self._piece(parts, size)
        if not self._left:
            self._step = self._chunk_end
            return True
        return False

    def _chunk_end(self, parts: list) -> bool:
        line = self._line()
        if line:
            raise BadAnswer("a chunk does not end where it should")
        if line is None:
            return False
        self._step = self._chunk_size
        return True

    def _trailer(self, parts: list) -> bool:
        line = self._line()
        if line is None:
            return False
        self._fields += 1
        if self._fields > MOST_FIELDS:
            raise BadAnswer("a trailer that is too long")
        return self._finish(parts) if not line else True
