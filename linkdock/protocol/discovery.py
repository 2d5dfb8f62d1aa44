"""The discovery watch: the server table's news, row by row, for as long as the process runs."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable
from math import inf
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from ..errors import LinkdockError, log_line
from ..facade import Server
from ..state.roster import Roster
from ..state.watch_schedule import SILENCE_TIMEOUT, WatchSchedule
from ..state.wheel import Timer, Wheel
from . import http
from .listing import BadListError, ListReader, Rows

log = logging.getLogger(__name__)

# Bytes that are read between two turns of the loop: some 16 rows. Danger: the parts of an index fill evenly and so grow
# nearly together; a row costs 20 µs mostly, and ten times that then.
PIECE = 2 * 1024
LOOK_EVERY = 500  # rows of a whole list between looks at its size
MOST_CHANGES = 200  # rows of a change that are handed on at once
MOST_UNTOLD = 20_000  # rows that are held while a line has not told whether it is whole
MOST_PASSED = 20  # rows of one line that cannot be read and are named in the log
MOST_LINE = 60.0  # seconds for which the rows of one line count as news while they come in
MOST_FIGURE = 1e38  # of a share or a time


class BadRowError(LinkdockError, ValueError):
    """A row of a list that cannot be read."""

    code = "LD-DISCOVERY-ROW"
    what = "a row of discovery's list cannot be read and is passed over"
    remedy = "Correct the row where the list is made; until then the sender goes on without it"


class LongListError(LinkdockError):
    """A whole list that is longer than there is room for."""

    code = "LD-DISCOVERY-LONG"
    what = "a whole list does not fit into a tenth of the memory, and is refused"
    remedy = "Raise limits.memory_mb and restart, or shorten the list; meanwhile calls go by the list before"


def read_row(row: object, zones: list[str], kinds: list[str]) -> Server:
    """One line of a list. Raises ValueError, KeyError, TypeError or AttributeError for one that cannot be read."""
    name = str(row["host"])
    address, _, port = row["dial"].rpartition(":")
    # Danger: what only fails later, in the table or when it is connected to, takes the rest of its list with it.
    if not name or not address.isprintable() or not address.isascii() or not address:
        raise BadRowError(f"host {name!r:.60}, dial {address!r:.60}")
    name.encode()
    health = row["health"]
    if health not in ("ready", "draining", "gone"):
        raise BadRowError(f"health {health!r}")
    number = int(port)
    if not 0 <= number <= 65535:
        raise BadRowError(f"port {port}")
    destination = int(row["block"])
    if not -(1 << 63) <= destination < 1 << 63 or isinstance(row["block"], float) and destination != row["block"]:
        raise BadRowError(f"block {row['block']}")
    share, born = float(row.get("share", 1.0)), float(row.get("born_ms", 0)) / 1000
    if not (abs(share) < MOST_FIGURE and abs(born) < MOST_FIGURE):
        raise BadRowError(f"share {share}, born {born}")
    return Server(
        name,
        (address, number),
        destination,
        health,
        kinds.index(row["class"]) if row["class"] in kinds else 0,
        zones.index(row["site"]) if row["site"] in zones else 0,
        share,
        born,
    )


def read_rows(rows: Iterable[object], zones: list[str], kinds: list[str], passed: int = 0) -> list[Server]:
    """The rows that can be read; the log names those that cannot, the first of a line: so many were `passed` before."""
    servers: list[Server] = []
    for row in rows:
        try:
            servers.append(read_row(row, zones, kinds))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
            passed += 1
            if passed <= MOST_PASSED:
                log.warning("discovery: %s", log_line(BadRowError(f"a line was passed over: {row!r:.200}: {bad}")))
            elif passed == MOST_PASSED + 1:
                log.warning("discovery: more lines were passed over, which are not named")
    return servers


def read_news(told: object, zones: list[str], kinds: list[str]) -> tuple[bool, list[Server], int]:
    """A list as the configuration holds it: whether it is whole, its rows, its version."""
    if not isinstance(told, dict) or not isinstance(told.get("hosts"), list):
        raise BadListError("no list of hosts")
    servers = read_rows(told["hosts"], zones, kinds)
    if not isinstance(told.get("seq", 0), int):
        raise BadListError("seq is no whole number")
    return bool(told.get("whole")), servers, told.get("seq", 0)


class OldListError(LinkdockError, ValueError):
    """A whole list of a version before the one that is known."""

    code = "LD-DISCOVERY-OLD"
    what = "discovery told a whole list of a version before the one that is known"
    remedy = "Look at discovery's replicas if it comes again; the list counts once it is told a second time"


class Desk(Protocol):
    """Who takes the news."""

    def changed(self, servers: list[Server], version: int | None) -> None:
        """Rows that changed; the version comes with the last of a line."""

    def whole(self, roster: Roster, version: int) -> None:
        """A whole list."""


class Staging:
    """One line while it comes in: a whole list is built beside the one in force, changes are handed on."""

    def __init__(self, desk: Desk, most: int) -> None:
        """Give the rows of a line to `desk`; a whole list of over `most` bytes is refused."""
        self._desk, self._most = desk, most
        self.passed = 0  # rows of this line that could not be read
        self._roster: Roster | None = None
        self._untold: list[Server] = []
        self._count, self._refused = 0, False

    def rows(self, servers: list[Server], whole: bool | None) -> None:
        """Take rows; `whole`: whether they belong to a whole list, None while that is not known."""
        self._count += len(servers)
        if self._refused:
            return
        if whole is None:
            self._untold += servers
            if len(self._untold) > MOST_UNTOLD:
                self._refuse(f"more than {MOST_UNTOLD} rows come before `whole`")
            return
        if not whole:
            for n in range(0, len(servers), MOST_CHANGES):
                self._desk.changed(servers[n : n + MOST_CHANGES], None)
            return
        self._roster = self._roster or Roster()
        for server in servers:
            self._roster.put(server)
        if self._count % LOOK_EVERY < len(servers) and self._roster.size() > self._most:
            self._refuse(
                f"{len(self._roster)} rows are as many as limits.memory_mb gives room for "
                f"({self._most / 1e6:.1f} MB)"
            )

    def _refuse(self, why: str) -> None:
        """Danger: half a list in force. What cannot be held whole is not taken at all."""
        log.error("discovery: %s", log_line(LongListError(f"a whole list was refused: {why}; the list in force stays")))
        self._refused, self._roster, self._untold = True, None, []

    def told(self, whole: bool, version: int, oldest: float = -inf) -> None:
        """The line's end. A whole list before the version `oldest` is no news."""
        untold, self._untold = self._untold, []
        if untold:
            self.rows(untold, whole)
        if not self._refused:
            if whole and version < oldest:
                raise OldListError(f"a whole list of version {version} is older than {oldest}")
            if whole:
                self._desk.whole(self._roster or Roster(), version)
            else:
                self._desk.changed([], version)
        self._roster, self._count, self._refused, self.passed = None, 0, False, 0


class Watch:
    """Keeps one watch open and hands its news on. `version` tells from where to go on."""

    def __init__(
        self,
        dial: tuple[str, int],
        wheel: Wheel,
        schedule: WatchSchedule,
        zones: list[str],
        kinds: list[str],
        version: Callable[[], int],
        desk: Desk,
        most_list: int,
    ) -> None:
        """Watch discovery at `dial`; `zones` and `kinds` give the numbers of their names, `version` the list's own."""
        self._dial, self._wheel, self._schedule = dial, wheel, schedule
        self._zones, self._kinds, self._version = zones, kinds, version
        self._desk, self._most_list = desk, most_list
        self._stream: IOStream | None = None
        self._served = self._moved = self._closed = False
        self.told = False  # whether anything has been told in this life
        self._old = False  # whether the last whole list was older than what is known
        self._resting: Timer | None = None  # until the next ask
        self._rested = asyncio.Event()

    async def run(self) -> None:
        """Open the watch and open it again whenever it ends; returns after `close`."""
        await self._rest(self._schedule.first_delay())
        while not self._closed:
            self._served = False
            try:
                await self._watch()
            except OldListError as old:
                # Danger: a replica that lags would bring back what drains or is gone. Told once more it is no lag:
                # discovery has begun anew.
                self._old = True
                log.warning("discovery: %s", log_line(old))
            except (StreamClosedError, OSError, http.BadAnswer, ValueError) as bad:
                if not self._closed:
                    log.info("discovery: watch ended: %s", log_line(bad))
            except Exception:
                log.exception("discovery: the watch failed and is opened again")
            finally:
                if self._stream is not None:  # else there was no descriptor for it
                    self._stream.close()
            pause = self._schedule.moved_delay() if self._moved else self._schedule.next_delay(self._served)
            if not self._served and pause > 1.0:
                log.info("discovery: asked again in %.1f s", pause)
            await self._rest(pause)

    async def _rest(self, seconds: float) -> None:
        """Ask nothing for so long, or until discovery has another address."""
        self._moved = False
        self._rested.clear()
        self._resting = self._wheel.after(seconds, self._rested.set)
        await self._rested.wait()
        self._resting.cancel()  # Danger: `move` has set another since it rang, which would cut a later rest short
        self._resting = None

    async def _watch(self) -> None:
        self._stream = stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=1 << 20)
        # Danger: discovery that is down stays silent on an open connection, and so does one cut off.
        timer = self._wheel.after(self._schedule.answer_timeout(), stream.close)
        try:
            await stream.connect(self._dial)
            path = f"/api/targets?watch=1&from={self._version()}"
            await stream.write(http.request("GET", path, self._dial))
            parser, reader = http.AnswerParser(most_body=None), ListReader()
            staging = Staging(self._desk, self._most_list)
            lines, rows, since = -1, -1, 0.0  # so many were read; and since when the line that comes in has been
            while not parser.whole:
                data = await stream.read_bytes(PIECE, partial=True)
                for part in parser.feed(data):
                    if isinstance(part, http.Head) and part.status != 200:
                        raise http.BadAnswer(f"status {part.status}")
                    if isinstance(part, http.Body):
                        self._served = True
                        self._take(staging, reader, part.data)
                # Danger: bytes that come in and never make a line. Only what was read breaks the silence: a line, or
                # for a while the rows of one that is long.
                now = self._wheel.now
                if reader.lines != lines:
                    lines, rows, since = reader.lines, -1, now
                if reader.rows != rows and now - since < MOST_LINE:
                    rows = reader.rows
                    timer.cancel()
                    timer = self._wheel.after(SILENCE_TIMEOUT, stream.close)
                # Danger: a long list that has all come in. Without a turn for others no tick runs until its end.
                await asyncio.sleep(0)
        finally:
            timer.cancel()

    def _take(self, staging: Staging, reader: ListReader, data: bytes) -> None:
        for part in reader.feed(data):
            if isinstance(part, Rows):
                servers = read_rows(part.rows, self._zones, self._kinds, staging.passed)
                staging.passed += len(part.rows) - len(servers)
                staging.rows(servers, part.whole)
            else:
                staging.told(part.whole, part.version, -inf if self._old else self._version())
                self._old, self.told = False, True

    def move(self, dial: tuple[str, int]) -> None:
        """Discovery has another address: the watch goes on there, from the version that is known."""
        self._dial = dial
        if self._resting is not None:
            self._resting.cancel()
            self._resting = self._wheel.after(self._schedule.moved_delay(), self._rested.set)
            return
        self._moved = True
        if self._stream is not None:
            self._stream.close()  # `run` opens it again

    def close(self) -> None:
        """End the watch."""
        self._closed = True
        if self._stream is not None:
            self._stream.close()
