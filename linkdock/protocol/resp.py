"""RESP2 as a server reads and writes it: an incremental parser of commands, and replies."""

from __future__ import annotations

from contextlib import suppress

from ..errors import LinkdockError
from ..state.requests import Answer, Busy, Failed, Taken

MOST_WORD = 64 * 1024  # bytes of one word, as of a body
MOST_COMMAND = 65 * 1024  # and of all words of one command
MOST_WORDS = 64
LONG_WORD = 4 * 1024  # bytes from which a word that is not whole yet is kept as it came, and not moved as it grows
MOST_LINE = 32
MOST_EMPTY = 8  # commands without a word on end
MOST_BEHIND = 64  # whole commands that may wait behind one that is being answered; bad clients send hundreds
MOST_SKIP = 256 * 1024  # bytes of an oversize word that are passed over to reach the next command


class MalformedError(LinkdockError, ValueError):
    """The bytes are no command. What follows them cannot be read either."""

    code = "LD-CLIENT-MALFORMED"
    what = "a client's bytes are no RESP2 command; it heard so, and its connection was closed"
    remedy = "Look at that client: what it speaks, and whether it sends anything before its answer"


class FloodError(MalformedError):
    """More whole commands at once than may wait behind one. None of them is taken."""

    code = "LD-CLIENT-FLOOD"
    what = "a client sent more commands than may wait behind one; each heard an error, and its connection was closed"
    remedy = "Have that client wait for its answers, or send fewer commands before it does"


class OversizeError(LinkdockError, ValueError):
    """A command that is too long. It is said once, at once; the rest is skipped, and the next can be read."""

    code = "LD-CLIENT-OVERSIZE"
    what = "a client's command is longer than 64 KiB; it heard so, and nothing was taken"
    remedy = "Have that client send shorter bodies; the bound is fixed"


class CommandParser:
    """Feed it bytes; `next` gives a whole command as a list of words, or None until more bytes come."""

    def __init__(self) -> None:
        """Begin before a command's first byte."""
        self._data = bytearray()
        self._at = 0
        self._missing = 0  # words of the command being read
        self._words: list[bytes] = []
        self._size = 0
        self._pieces: list[bytes] = []  # of a long word that is not whole yet,
        self._expected = 0  # and bytes of it, with the line's end behind it, still to come
        self._skip = 0  # bytes of an oversize word still to pass over
        self._oversize = False
        self._checked = -1  # bytes beyond those taken that `check_behind` has found in order; -1 before it has looked

    def feed(self, data: bytes) -> None:
        """Take bytes as they came."""
        self._data += data
        self._checked = -1

    @property
    def partial(self) -> bool:
        """Whether a command has begun that is not whole yet."""
        return bool(self._data) or self._missing > 0

    @property
    def held(self) -> int:
        """Bytes that are kept for the rest of a command."""
        return len(self._data) + self._size + sum(map(len, self._pieces))

    def check_behind(self, more: bytes = b"") -> None:
        """Look at what has come behind the last command, `more` with it, and take nothing of it.

        The last of it may have only begun: its rest has the time that any command has. Raises FloodError where more
        whole commands have come than may wait, and MalformedError where they cannot be read.
        """
        if len(more) <= self._checked:
            return
        rest = CommandParser()
        rest.feed(bytes(self._data) + more)
        try:
            for _ in range(MOST_BEHIND + 1):
                if rest.next() is None:
                    break
            else:
                raise FloodError("too many commands at once")
        except OversizeError as bad:
            raise MalformedError(str(bad)) from None
        self._checked = len(more)

    def skip(self, most: int) -> int:
        """Pass over commands that are whole or too long, `most` at the most; how many. Raises MalformedError."""
        count = 0
        with suppress(OversizeError):
            while count < most and self.next() is not None:
                count += 1
            return count
        return count + 1

    def next(self) -> list[bytes] | None:
        """The words of the next command that is whole, or None. Raises OversizeError and MalformedError."""
        try:
            return self._next()
        finally:
            del self._data[: self._at]
            self._at = 0

    def _next(self) -> list[bytes] | None:
        empty = 0
        while not self._missing:
            count = self._number(b"*")
            if count is None:
                return None
            if count > MOST_WORDS:
                raise MalformedError("too many words")
            empty += count <= 0
            if empty > MOST_EMPTY:  # nobody else would get a turn
                raise MalformedError("nothing but empty commands")
            self._missing, self._words, self._size, self._oversize = max(count, 0), [], 0, False
        while self._missing:
            if self._expected and not self._rest_of_long_word():
                return None
            if not self._missing:
                break
            if not self._skip:
                mark = self._at
                length = self._number(b"$")
                if length is None:
                    return None
                if length < 0:
                    raise MalformedError("a word without length")
                if length <= MOST_WORD and self._size + length <= MOST_COMMAND:
                    end = self._at + length
                    if len(self._data) < end + 2:
                        if length < LONG_WORD:
                            self._at = mark
                        else:
                            self._expected = length + 2
                            self._rest_of_long_word()
                        return None
                    if self._data[end : end + 2] != b"\r\n":
                        raise MalformedError("a word does not end where it should")
                    self._size += length
                    self._words.append(bytes(self._data[self._at : end]))
                    self._at = end + 2
                    self._missing -= 1
                    continue
                if length > MOST_SKIP:
                    raise MalformedError("a word is far too long")
                self._skip, self._words, self._size = length + 2, [], 0
                if not self._oversize:
                    # A client that sends such a word slowly, or never ends it, is owed its error now.
                    self._oversize = True
                    raise OversizeError("the command is longer than 64 KiB")
            # An oversize command must cost no more memory than a lawful one.
            passed = min(self._skip, len(self._data) - self._at)
            self._at += passed
            self._skip -= passed
            if self._skip:
                return None
            self._missing -= 1
        if self._oversize:
            return self._next()  # it has been said, and the next may be there
        words, self._words, self._size = self._words, [], 0
        return words

    def _rest_of_long_word(self) -> bool:
        """Take what has come of a long word; whether it is whole. Raises MalformedError."""
        end = min(self._at + self._expected, len(self._data))
        self._pieces.append(bytes(memoryview(self._data)[self._at : end]))
        self._expected -= end - self._at
        self._at = end
        if self._expected:
            return False
        word, self._pieces = b"".join(self._pieces), []
        if not word.endswith(b"\r\n"):
            raise MalformedError("a word does not end where it should")
        self._words.append(word[:-2])
        self._size += len(word) - 2
        self._missing -= 1
        return True

    def _number(self, mark: bytes) -> int | None:
        end = self._data.find(b"\r\n", self._at, self._at + MOST_LINE)
        start = bytes(self._data[self._at : self._at + 1])
        if start and start != mark:
            raise MalformedError(f"expected {mark.decode()!r}")
        if end < 0:
            if len(self._data) - self._at >= MOST_LINE:
                raise MalformedError("a length without end")
            return None
        digits = bytes(self._data[self._at + 1 : end])
        if not digits.removeprefix(b"-").isdigit():  # of bytes: 0 to 9 alone
            raise MalformedError("a length that is no number")
        self._at = end + 2
        return int(digits)


def simple(text: str) -> bytes:
    """A simple string of RESP2."""
    return b"+" + text.encode() + b"\r\n"


def error(text: str) -> bytes:
    """An error of RESP2, on one line whatever is in the text."""
    return b"-" + text.replace("\r", " ").replace("\n", " ").encode() + b"\r\n"


def answer(said: Answer) -> bytes:
    """What the client of a message hears."""
    match said:
        case Taken():
            return simple("OK")
        case Busy(wait=wait):
            return error(f"BUSY {max(1, round(wait * 1000))}" if wait > 0 else "BUSY")
        case Failed(text=text):
            return error(f"ERR {text}")
    raise TypeError(said)
