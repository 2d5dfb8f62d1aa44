"""HTTP/1.1 as a client writes and reads it: requests, and an incremental parser of answers."""

from __future__ import annotations

from typing import NamedTuple

MOST_HEAD = 16 * 1024


class BadAnswer(ValueError):
    """The bytes are no HTTP/1.1 answer that can be read."""


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


def request(method: str, path: str, dial: tuple[str, int], headers: dict[str, str] | None = None,
            body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {dial[0]}:{dial[1]}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class AnswerParser:
    """Reads one answer: feed it bytes, get `Head`, `Body` and `Whole` in turn.

    `eof` ends a body without length.
    """

    def __init__(self, most_body: int | None = 64 * 1024) -> None:
        self._data = bytearray()
        self._most, self._size = most_body, 0
        self._step = self._head
        self._left = 0
        self._keep = True
        self.whole = False

    def feed(self, data: bytes) -> list[Head | Body | Whole]:
        self._data += data
        parts: list[Head | Body | Whole] = []
        while not self.whole and self._step(parts):
            pass
        if self.whole and self._data:
            # Danger: bytes beyond the answer would be read as the answer to the next call.
            parts[-1] = Whole(False)
        return parts

    def eof(self) -> list[Whole]:
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
        del self._data[:end + 1]
        return line

    def _head(self, parts: list) -> bool:
        end = self._data.find(b"\r\n\r\n")
        if end < 0:
            if len(self._data) > MOST_HEAD:
                raise BadAnswer("a head without end")
            return False
        first, *lines = bytes(self._data[:end]).decode("latin-1").split("\r\n")
        del self._data[:end + 4]
        words = first.split(" ", 2)
        if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
            raise BadAnswer(f"no status line: {first[:60]!r}")
        status = int(words[1])
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon:
                raise BadAnswer(f"no header: {line[:60]!r}")
            headers[name.strip().lower()] = value.strip()
        if 100 <= status < 200:
            return True
        self._keep = words[0] == "HTTP/1.1" and headers.get("connection", "").lower() != "close"
        parts.append(Head(status, headers))
        if status in (204, 304):
            return self._finish(parts)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            self._step = self._chunk_size
        elif "content-length" in headers:
            if not headers["content-length"].isdigit():
                raise BadAnswer("a length that is no number")
            self._left = int(headers["content-length"])
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
        try:
            self._left = int(line.split(b";")[0], 16)
        except ValueError:
            raise BadAnswer("a chunk size that is no number") from None
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
        return self._finish(parts) if not line else True
