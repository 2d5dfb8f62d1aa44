"""Discovery's lines as they come in: rows one by one, without ever holding a line. No I/O.

A line is one JSON object with `seq`, `whole` and `hosts`. A whole list of 100,000 rows is 12 MB: kept as text and read
at once it would take several times that and hold the loop for half a second.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Iterator
from typing import NamedTuple

from ..errors import LinkdockError

MOST_ROW = 16 * 1024  # characters of one row
MOST_REST = 64 * 1024  # and of a line besides its rows
_HOSTS = re.compile(r'"hosts"\s*:\s*\[')
_BETWEEN = re.compile(r"[\s,]*")
_EMPTY = re.compile(r"\n[ \t\r]*\n")
_WORDS, _NUMBER = ("true", "false", "null", "NaN", "Infinity", "-Infinity"), re.compile(r"\.|[eE][+-]?")
_DECODER = json.JSONDecoder()


class BadListError(LinkdockError, ValueError):
    """Bytes that are no list. What follows them cannot be read either."""

    code = "LD-DISCOVERY-LIST"
    what = "what came is no list of hosts"
    remedy = "Look at what answers at discovery's address; the list in force stays, and the watch is opened again"


class Rows(NamedTuple):
    """Some rows of the line that is being read; `whole` as far as the line has told it yet."""

    rows: list[object]
    whole: bool | None


class Told(NamedTuple):
    """The end of a line."""

    whole: bool
    version: int


class ListReader:
    """Feed it bytes; it gives `Rows` and, at the end of each line, `Told`."""

    def __init__(self) -> None:
        """Begin before the first character of a line."""
        self._decode = codecs.getincrementaldecoder("utf-8")("strict").decode
        self._text = ""
        self._head = ""  # of the line, before its rows
        self._step = self._begin
        self._whole: bool | None = None
        self.rows = self.lines = 0  # that have come so far; empty lines count, and each line's end

    def feed(self, data: bytes) -> Iterator[Rows | Told]:
        """Danger: bytes that are no list. What came ahead of them in the same piece counts, and is handed on first."""
        parts: list[Rows | Told] = []
        fault: BadListError | None = None
        try:
            self._text += self._decode(data)
        except UnicodeDecodeError as bad:
            self._text += bad.object[: bad.start].decode()
            fault = BadListError(f"no UTF-8: {bad}")
        try:
            while self._step(parts):
                pass
        except BadListError as bad:
            fault = bad
        yield from parts
        if fault is not None:
            raise fault

    def _begin(self, parts: list) -> bool:
        """Up to the first row. Between objects there are but line ends: empty lines say that nothing changed."""
        text = self._text.lstrip()
        self.lines += "\n" in self._text[: len(self._text) - len(text)]
        self._text = text
        if not text:
            return False
        if text[0] != "{":
            raise BadListError(f"no list of hosts: {text[:60]!r}")
        found = _HOSTS.search(text)
        if found is None:
            _, end = self._decoded(text, MOST_REST)
            if end:
                raise BadListError(f"no list of hosts: {text[:60]!r}")
            return False
        self._head, self._text = text[: found.end()], text[found.end() :]
        if len(self._head) > MOST_REST:
            raise BadListError("a line that is too long before its rows")
        try:
            self._whole = whole = json.loads(self._head + "]}").get("whole")
        except (ValueError, RecursionError) as bad:
            raise BadListError(f"no list: {bad}") from None
        if whole is not None and not isinstance(whole, bool):
            raise BadListError("`whole` is neither true nor false")
        self._step = self._rows
        return True

    def _rows(self, parts: list) -> bool:
        rows, at, text = [], 0, self._text
        try:
            while True:
                at = _BETWEEN.match(text, at).end()
                if at == len(text):
                    return False
                if text[at] == "]":
                    self._step = self._tail
                    return True
                row, end = self._decoded(text, MOST_ROW, at)
                if not end or end == len(text) and not isinstance(row, dict):
                    return False  # a number may go on
                rows.append(row)
                at = end
        finally:
            self._text = text[at:]
            self.rows += len(rows)
            if rows:
                parts.append(Rows(rows, self._whole))

    def _tail(self, parts: list) -> bool:
        told, end = self._decoded(self._head + self._text, len(self._head) + MOST_REST)
        if not end:
            return False
        self._text = self._text[end - len(self._head) :]
        version = told.get("seq", 0)
        if not isinstance(version, int) or isinstance(version, bool):
            raise BadListError("seq is no whole number")
        whole = told.get("whole", False)
        if not isinstance(whole, bool) or self._whole not in (None, whole):
            raise BadListError("`whole` is neither true nor false, or both")
        self._step, self._whole = self._begin, None
        self.lines += 1
        parts.append(Told(whole, version))
        return True

    @staticmethod
    def _decoded(text: str, most: int, at: int = 0) -> tuple[object, int]:
        """The value that begins there, and its end; 0 while it may still go on. Lists may come indented.

        Danger: half a value and one that cannot be read look alike. No value has an empty line in it, none is longer
        than `most`, and half a one fails at its end.
        """
        try:
            return _DECODER.raw_decode(text, at)
        except json.JSONDecodeError as bad:
            rest = text[bad.pos :].strip()
            half = (
                bad.msg.startswith("Unterminated")
                or any(word.startswith(rest) for word in _WORDS)
                or _NUMBER.fullmatch(rest)
                or "escape" in bad.msg
                and len(text) - bad.pos < 8
            )
            if not half or "control" in bad.msg or len(text) - at > most or _EMPTY.search(text, at):
                raise BadListError(f"what cannot be read: {text[at:at + 60]!r}") from None
            return None, 0
        except (RecursionError, ValueError):
            raise BadListError(f"what is nested too deep, or a number too long: {text[at:at + 60]!r}") from None
