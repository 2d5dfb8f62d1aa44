"""The harness's own links: for each ordered pair of processes a TCP and UDP proxy on loopback, which does as told.

What a process A writes to B, on whoever's connection, goes the way (A, B); faults lie on ways. A way that is cut
loses datagrams and holds streams up, as lost packets that are sent again do; all of them go on when it is healed.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from random import Random

from . import schedule

MOST_HELD = 256 << 10  # bytes of a stream on their way in one direction; beyond, it is not read from
MOST_DATAGRAMS = 2000  # on their way; beyond, the last is lost
AGAIN = 0.2  # seconds until a lost piece of a stream would have been sent again
SHUFFLED = 0.05  # seconds at the most by which a datagram comes late, behind others
CONNECT = 2.0


class Way:
    """From one process to another: the faults on it now. Each has a key, so that they may overlap."""

    def __init__(self, name: str, luck: Random) -> None:
        self.name, self._luck, self._faults = name, luck, {}
        self.streams: set[Side] = set()  # what waits on it
        self.cut = False
        self.lost = 0

    def put(self, key: object, what: str, given: dict[str, float]) -> None:
        self._faults[key] = what, given
        self._changed()

    def heal(self, key: object) -> None:
        self._faults.pop(key, None)
        self._changed()

    def _changed(self) -> None:
        self.cut = any(what == schedule.CUT for what, _ in self._faults.values())
        for stream in list(self.streams):
            stream.flush()

    def _chance(self, what: str) -> bool:
        return any(kind == what and self._luck.random() < given["share"] for kind, given in self._faults.values())

    def _late(self) -> float:
        return sum(
            given["seconds"] + given["jitter"] * self._luck.random()
            for what, given in self._faults.values()
            if what == schedule.DELAY
        )

    def piece(self) -> float:
        """By how much a piece of a stream comes late."""
        if not self._faults:
            return 0.0
        return self._late() + (AGAIN if self._chance(schedule.LOSS) else 0.0)

    def datagram(self) -> list[float]:
        """When a datagram comes, seconds from now, as often as it does."""
        if not self._faults:
            return [0.0]
        if self.cut or self._chance(schedule.LOSS):
            self.lost += 1
            return []
        times = 2 if self._chance(schedule.TWICE) else 1
        return [
            self._late() + (SHUFFLED * self._luck.random() if self._chance(schedule.SHUFFLE) else 0.0)
            for _ in range(times)
        ]

    def rubbish(self, size: int) -> bytes:
        return self._luck.randbytes(size)


class Side(asyncio.Protocol):
    """One end of a connection through a link. What comes in here goes `way` and out at `other`."""

    def __init__(self, link: Link, way: Way) -> None:
        self.link, self.way = link, way
        self.other: Side | None = None
        self.transport: asyncio.Transport | None = None
        self.gone = False  # this end; what came before still goes on to the other
        self.kept = False  # Danger: the other end of a half open one is not told
        self._queue: deque[tuple[float, bytes | None]] = deque()  # None: this end is over
        self._held, self._last, self._paused, self._full = 0, 0.0, False, False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.way.streams.add(self)
        self.link.sides.add(self)
        if self.other is not None:
            self.other.flush()

    def data_received(self, data: bytes) -> None:
        self.put(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, bad: Exception | None) -> None:
        self.gone = True
        self.link.sides.discard(self)
        if not self.kept:
            self.put(None)

    def put(self, data: bytes | None) -> None:
        self._last = max(self._last, asyncio.get_running_loop().time() + self.way.piece())
        self._queue.append((self._last, data))
        self._held += len(data or b"")
        self.flush()

    def flush(self) -> None:
        """Pass on what is due, if the way is open and the other end is there."""
        now, other = asyncio.get_running_loop().time(), self.other
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        ready = other is not None and other.transport is not None and not self.way.cut and not self._full
        while ready and self._queue and self._queue[0][0] <= now:
            _, data = self._queue.popleft()
            if data is None:
                other.transport.close()
            else:
                self._held -= len(data)
                if not other.gone:
                    other.transport.write(data)
            ready = not self._full
        if ready and self._queue:
            self._timer = asyncio.get_running_loop().call_at(self._queue[0][0], self.flush)
        if not self._queue and self.gone:
            self.way.streams.discard(self)
        self._pace()

    def _pace(self) -> None:
        over = self._held > MOST_HELD
        if self.transport is not None and not self.gone and over != self._paused:
            self._paused = over
            (self.transport.pause_reading if over else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        if self.other is not None:
            self.other._full = True

    def resume_writing(self) -> None:
        if self.other is not None:
            self.other._full = False
            self.other.flush()

    def drop(self) -> None:
        """End it at once, and forget what waits."""
        self.kept, self._held = True, 0
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
        self.way.streams.discard(self)
        if self.transport is not None:
            self.transport.abort()


class Link(asyncio.DatagramProtocol):
    """The proxy at which A finds B: one port, TCP and UDP. `to` is where B really is."""

    def __init__(self, there: Way, back: Way, to: tuple[str, int]) -> None:
        self.there, self.back, self.to = there, back, to
        self.sides: set[Side] = set()
        self._tasks: set[asyncio.Task] = set()
        self._from: tuple[str, int] | None = None
        self._out = self.port = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(50):
            server = await loop.create_server(self._accepted, "127.0.0.1", 0, backlog=64)
            port = server.sockets[0].getsockname()[1]
            try:
                self._udp, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", port))
            except OSError:  # somebody else has that one for datagrams
                server.close()
                continue
            self._server, self.port = server, port
            return
        raise OSError("no port that is free for both TCP and UDP")

    def _accepted(self) -> Side:
        side = Side(self, self.there)
        task = asyncio.get_running_loop().create_task(self._connect(side))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return side

    async def _connect(self, near: Side) -> None:
        """Danger: the system accepts for us what a cut would never have let through. It is held until healed."""
        while self.there.cut or self.back.cut:
            await asyncio.sleep(0.02)
            if near.gone:
                return
        far = Side(self, self.back)
        far.other, near.other = near, far
        try:
            await asyncio.wait_for(asyncio.get_running_loop().create_connection(lambda: far, *self.to), CONNECT)
        except (OSError, TimeoutError):
            near.drop()
            return
        if near.kept:  # dropped meanwhile
            far.drop()

    # --- Datagrams.

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        if address == self.to:
            if self._from is not None:
                self._send(self.back, data, self._from)
        else:
            self._from = address
            self._send(self.there, data, self.to)

    def _send(self, way: Way, data: bytes, to: tuple[str, int]) -> None:
        for late in way.datagram():
            if late <= 0:
                self._udp.sendto(data, to)
            elif self._out < MOST_DATAGRAMS:
                self._out += 1
                asyncio.get_running_loop().call_later(late, self._later, way, data, to)

    def _later(self, way: Way, data: bytes, to: tuple[str, int]) -> None:
        self._out -= 1
        if not way.cut and not self._udp.is_closing():
            self._udp.sendto(data, to)

    # --- What is done once.

    def reset(self) -> None:
        """Both ends of all that is open."""
        for side in list(self.sides):
            linger_never(side.transport)
            side.drop()

    def hold_half(self) -> list[Side]:
        """The near ends of all that is open are reset; the far ones are told nothing until `let_go`."""
        held = []
        for side in list(self.sides):
            if side.way is self.there:
                if side.other is not None:
                    side.other.kept = True
                    held.append(side.other)
                linger_never(side.transport)
                side.drop()
        return held

    @staticmethod
    def let_go(held: list[Side]) -> None:
        for side in held:
            side.drop()

    def soil(self, data: bytes) -> None:
        """Bytes in the middle of all streams there, and a datagram."""
        for side in list(self.sides):
            if side.way is self.there:
                side.put(data)
        self._udp.sendto(data[:1400], self.to)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for side in list(self.sides):
            side.drop()
        if self.port:
            self._server.close()
            self._udp.close()


def linger_never(transport: asyncio.Transport | None) -> None:
    """So that an abort is a reset, not an end."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")


class Net:
    """All links between processes, by (from, to). `ports` says where each process really takes TCP and UDP."""

    def __init__(self, ports: dict[str, int], seed: int) -> None:
        luck = Random(seed)
        pairs = [(a, b) for a in ports for b in ports if a != b]
        self.ways = {pair: Way(">".join(pair), Random(luck.random())) for pair in pairs}
        self.links = {(a, b): Link(self.ways[a, b], self.ways[b, a], ("127.0.0.1", ports[b])) for a, b in pairs}
        self._held: dict[object, list[Side]] = {}

    async def open(self) -> None:
        await asyncio.gather(*(link.open() for link in self.links.values()))

    def routes(self, name: str) -> dict[str, str]:
        """Where this process finds each other one."""
        return {b: f"127.0.0.1:{link.port}" for (a, b), link in self.links.items() if a == name}

    def begin(self, key: object, fault: schedule.Fault) -> None:
        pair, given = fault.whom, fault.given
        way = self.ways[pair]
        match fault.what:
            case schedule.RESET:
                self.links[pair].reset()
            case schedule.HALF_OPEN:
                self._held[key] = self.links[pair].hold_half()
            case schedule.RUBBISH:
                self.links[pair].soil(way.rubbish(int(given["bytes"])))
            case _:
                way.put(key, fault.what, given)

    def heal(self, key: object, fault: schedule.Fault) -> None:
        self.ways[fault.whom].heal(key)
        Link.let_go(self._held.pop(key, []))

    def close(self) -> None:
        for link in self.links.values():
            link.close()
