"""Notices to the platform: how a request that was taken on and not delivered has ended."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from ..errors import log_line
from ..state.wheel import Wheel
from ..streams import silent
from . import http

if TYPE_CHECKING:
    from ..records.observer import Observer

log = logging.getLogger(__name__)

# Danger: a connection that fell silent. A message may be given up as late as a call's time before its
# deadline, and is lost 0.3 s after that: the next try, over a new connection, must still make it.
ANSWER = 0.15  # seconds for one reply, which is due at once
PAUSE = 0.02  # first pause after a failure; it doubles
MOST_PAUSE = 0.1  # Danger: what is owed meanwhile waits for its end, and for a reply that may not come besides
MOST_BODY = 48 * 1024
MOST = 1024  # notices in one post


class Notices:
    """Owner of the notices that the platform has not confirmed. They are posted until it has."""

    def __init__(self, dial: tuple[str, int], wheel: Wheel, pause: Callable, confirmed: Callable[[str], None]) -> None:
        """Post to `dial`; `confirmed` is told the id of each notice that the platform has taken."""
        self._dial, self._wheel, self._pause, self._confirmed = dial, wheel, pause, confirmed
        self._owed: dict[str, bytes] = {}
        self._stream: IOStream | None = None
        self._behind: asyncio.Future | None = None  # the read that waits for what comes behind the last reply
        self._news = asyncio.Event()
        self.observer: Observer | None = None  # of the records, where they are on
        self._most = MOST  # halved by each 400, so that one bad notice cannot hold up the rest for long

    def __len__(self) -> int:
        """Notices that are not confirmed yet."""
        return len(self._owed)

    def post(self, notice: dict) -> None:
        """Owe the platform a notice until it confirms it."""
        self._owed[notice["id"]] = json.dumps(notice, separators=(",", ":")).encode() + b"\n"
        self._news.set()

    async def run(self) -> None:
        """Post what is owed, one after another, with a pause after a failure; never returns."""
        pause, doubted = PAUSE, ""
        while True:
            if not self._owed:
                self._news.clear()
                await self._news.wait()  # without a deadline: it waits for this process alone
            batch, size = [], 0
            for request, line in self._owed.items():
                size += len(line)
                if batch and (size > MOST_BODY or len(batch) == self._most):
                    break
                batch.append(request)
            fresh, began = not self._kept(), self._wheel.now
            try:
                status = await self._send(b"".join(self._owed[r] for r in batch), fresh)
            except (StreamClosedError, OSError, http.BadAnswer) as bad:
                status = 0
                log.info("notices: not confirmed: %s", log_line(bad))
            except Exception:
                status = 0
                log.exception("notices: a post failed and is made again")
            if self.observer is not None:
                self.observer.posted(batch, fresh, status, self._wheel.now - began)
            if status == 204:
                pause, self._most = PAUSE, min(MOST, 2 * self._most)
                for request in batch:
                    self._end(request)
                continue
            self.close()
            if status == 400 and len(batch) > 1:
                self._most = len(batch) // 2
                continue
            if status == 400 and batch[0] == doubted:  # twice: the first may have been cut on its way
                log.error("notices: the platform cannot read %r", self._owed[doubted])
                self._end(doubted)
            doubted = batch[0] if status == 400 else ""
            await self._pause(pause)
            pause = min(MOST_PAUSE, pause * 2)

    def _end(self, request: str) -> None:
        del self._owed[request]
        self._confirmed(request)

    def _kept(self) -> bool:
        """Whether the connection can carry a post.

        Danger: what came on it since the last reply would pass for the next one.
        """
        if self._stream is None or self._stream.closed():
            return False
        if self._behind is None or not silent(self._stream, self._behind):
            self._stream.close()
            return False
        return True

    async def _send(self, body: bytes, fresh: bool) -> int:
        if fresh:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._stream = IOStream(sock, max_buffer_size=1 << 17)
        stream, parser, status = self._stream, http.AnswerParser(), 0
        read, self._behind = None if fresh else self._behind, None
        timer = self._wheel.after(ANSWER, stream.close)
        try:
            if fresh:
                await stream.connect(self._dial)
            await stream.write(http.request("POST", "/reports", self._dial, None, body))
            while not parser.whole:
                data, read = await (read or stream.read_bytes(65536, partial=True)), None
                for part in parser.feed(data):
                    if isinstance(part, http.Head):
                        status = part.status
                    if isinstance(part, http.Whole) and not part.keep:
                        stream.close()
            with contextlib.suppress(OSError):
                self._behind = stream.read_bytes(65536, partial=True)
            return status
        finally:
            timer.cancel()

    def move(self, dial: tuple[str, int]) -> None:
        """The platform has another address. What it has not confirmed is posted there, at worst once more."""
        self._dial = dial
        self.close()  # a post that is out fails with it and is made again

    def close(self) -> None:
        """Close the connection; what is owed stays so."""
        if self._stream is not None:
            self._stream.close()
