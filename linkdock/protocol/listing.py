"""Discovery's lines as they come in: rows one by one, without ever holding a line. No I/O.

A line is one JSON object with `seq`, `whole` and `hosts`. A whole list of 100,000 rows is 12 MB: kept as text and read
at once it would take several times that and hold the loop for half a second.
"""

from __future__ import annotations

import codecs
import json
import re
from typing import NamedTuple

from ..errors import LinkdockError

MOST_ROW = 16 * 1024    # characters of one row
MOST_REST = 64 * 1024   # and of a line besides its rows
_HOSTS = re.compile(r'"hosts"\s*:\s*\[')
_BETWEEN = re.compile(r"[\s,]*")
_DECODER = json.JSONDecoder()


class BadList(LinkdockError, ValueError):
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
        self._decode = codecs.getincrementaldecoder("utf-8")("strict").decode
        self._text = ""
        self._head = ""              # of the line, before its rows
        self._step = self._begin
        self._whole: bool | None = None

    def feed(self, data: bytes) -> list[Rows | Told]:
        try:
            self._text += self._decode(data)
        except UnicodeDecodeError as bad:
            raise BadList(f"no UTF-8: {bad}") from None
        parts: list[Rows | Told] = []
        while self._step(parts):
            pass
        return parts

    def _begin(self, parts: list) -> bool:
        """Up to the first row. An empty line says that nothing changed."""
        found, end = _HOSTS.search(self._text), self._text.find("\n")
        if found is not None and (end < 0 or found.start() < end):
            self._head, self._text = self._text[:found.end()], self._text[found.end():]
            if len(self._head) > MOST_REST:
                raise BadList("a line that is too long before its rows")
            told = re.search(r'"whole"\s*:\s*(true|false)', self._head)
            self._whole = None if told is None else told[1] == "true"
            self._step = self._rows
            return True
        if end >= 0:
            line, self._text = self._text[:end].strip(), self._text[end + 1:]
            if line:
                raise BadList(f"no list of hosts: {line[:60]!r}")
            return True
        if len(self._text) > MOST_REST:
            raise BadList("a line without end")
        return False

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
                try:
                    row, end = _DECODER.raw_decode(text, at)
                except (ValueError, RecursionError):
                    # Danger: half a row and a row that cannot be read look alike; only the line's end tells.
                    if "\n" in text[at:] or len(text) - at > MOST_ROW:
                        raise BadList(f"a row that cannot be read: {text[at:at + 60]!r}") from None
                    return False
                if end == len(text) and not isinstance(row, dict):
                    return False   # a number may go on
                rows.append(row)
                at = end
        finally:
            self._text = text[at:]
            if rows:
                parts.append(Rows(rows, self._whole))

    def _tail(self, parts: list) -> bool:
        end = self._text.find("\n")
        if end < 0:
            if len(self._text) > MOST_REST:
                raise BadList("a line without end")
            return False
        line, self._text = self._head + self._text[:end], self._text[end + 1:]
        try:
            told = json.loads(line)
        except (ValueError, RecursionError) as bad:
            raise BadList(f"no list: {bad}") from None
        version = told.get("seq", 0)
        if not isinstance(version, int) or isinstance(version, bool):
            raise BadList("seq is no whole number")
        self._step, self._whole = self._begin, None
        parts.append(Told(bool(told.get("whole")), version))
        return True
