"""The discovery watch: the server table's news, line by line, for as long as the process runs."""

from __future__ import annotations

import json
import logging
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from ..facade import Server
from ..state.wheel import Wheel
from . import http

log = logging.getLogger(__name__)

SILENCE = 2.8    # an empty line comes every 2 s; without any the watch is dead, whatever TCP thinks
PAUSE = 0.2      # before it is opened again
MOST_LINE = 1 << 20


def read_news(told: object, zones: list[str], kinds: list[str]) -> tuple[bool, list[Server], int]:
    """A list as discovery and the configuration hold it: whether it is whole, its lines, its version."""
    if not isinstance(told, dict) or not isinstance(told.get("hosts"), list):
        raise ValueError("no list of hosts")
    servers = []
    for row in told["hosts"]:
        try:
            address, _, port = row["dial"].rpartition(":")
            health = row["health"]
            if health not in ("ready", "draining", "gone"):
                raise ValueError(f"health {health!r}")
            servers.append(Server(
                str(row["host"]), (address, int(port)), int(row["block"]), health,
                kinds.index(row["class"]) if row["class"] in kinds else 0,
                zones.index(row["site"]) if row["site"] in zones else 0,
                float(row.get("share", 1.0)), float(row.get("born_ms", 0)) / 1000))
        except (KeyError, TypeError, ValueError, AttributeError) as bad:
            log.warning("discovery: a line was passed over: %r: %s", row, bad)
    if not isinstance(told.get("seq", 0), int):
        raise ValueError("seq is no whole number")
    return bool(told.get("whole")), servers, told.get("seq", 0)


class Watch:
    """Keeps one watch open and hands its news on. `version` tells from where to go on."""

    def __init__(self, dial: tuple[str, int], wheel: Wheel, pause: Callable,
                 zones: list[str], kinds: list[str], version: Callable[[], int],
                 news: Callable[[bool, list[Server], int], None]) -> None:
        self._dial, self._wheel, self._pause = dial, wheel, pause
        self._zones, self._kinds, self._version, self._news = zones, kinds, version, news
        self._stream: IOStream | None = None
        self._closed = False

    async def run(self) -> None:
        while not self._closed:
            try:
                await self._watch()
            except (StreamClosedError, OSError, http.BadAnswer, ValueError) as bad:
                if not self._closed:
                    log.info("discovery: watch ended: %s", bad)
            except Exception:
                log.exception("discovery: the watch failed and is opened again")
            finally:
                self._stream.close()
            await self._pause(PAUSE)

    async def _watch(self) -> None:
        self._stream = stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM),
                                         max_buffer_size=4 * MOST_LINE)
        # Danger: discovery that is down stays silent on an open connection, and so does one cut off.
        timer = self._wheel.after(SILENCE, stream.close)
        try:
            await stream.connect(self._dial)
            path = f"/api/targets?watch=1&from={self._version()}"
            await stream.write(http.request("GET", path, self._dial))
            parser, rest = http.AnswerParser(most_body=None), b""
            while not parser.whole:
                data = await stream.read_bytes(MOST_LINE, partial=True)
                timer.cancel()
                timer = self._wheel.after(SILENCE, stream.close)
                for part in parser.feed(data):
                    if isinstance(part, http.Head) and part.status != 200:
                        raise http.BadAnswer(f"status {part.status}")
                    if isinstance(part, http.Body):
                        *lines, rest = (rest + part.data).split(b"\n")
                        for line in lines:
                            if line.strip():
                                self._news(*read_news(json.loads(line), self._zones, self._kinds))
                        if len(rest) > MOST_LINE:
                            raise http.BadAnswer("a line without end")
        finally:
            timer.cancel()

    def move(self, dial: tuple[str, int]) -> None:
        """Discovery has another address: the watch goes on there, from the version that is known."""
        self._dial = dial
        if self._stream is not None:
            self._stream.close()   # `run` opens it again

    def close(self) -> None:
        self._closed = True
        if self._stream is not None:
            self._stream.close()
