"""A real sender as its own process, and its peers on loopback: discovery's agent, members, clients.

Few sockets stand for many members: all share one listening server, and a message's id says whose it is. The id is 8
hexadecimal digits of the member's number and 8 of the message's.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import weakref
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

from .members import OK, RESET, SILENT, UNREACHABLE, Member, Reply

CHUNK_ROWS = 500
PATIENCE = 60.0

CLASSES = [
    {"name": "preview", "idempotency": "read_like", "aim": 0.8, "hard-limit": 6.0, "late-share": 0.1},
    {"name": "order", "idempotency": "non_idempotent", "aim": 4.0, "hard-limit": 16.0, "importance": 2.0},
]


def settings(slots: int, most_open: int) -> dict:
    """What the platform would tell a sender."""
    return {
        "grades": CLASSES,
        "zones": ["a"],
        "machine-types": ["single"],
        "balancers": 1,
        "me": 0,
        "limits": {
            "max-open": most_open,
            "max-attempts": 8,
            "connect-timeout": 1.5,
            "idle-close": 5.0,
            "cancel": True,
            "retry-after": True,
            "max-retry-after": 3.0,
            "second-copies": True,
        },
        "extra": {"calls-out": slots, "bundle-max": [1]},
        "report": {"fields": ["x0", "x1"]},
        "rules": {"drain-grace": 2.0, "fall-multiple": 1.5, "tip-after": 2.0, "cold-share": 0.35, "cold": 10.0},
    }


class Peer(asyncio.Protocol):
    """One connection of a scripted HTTP server. Reads requests one after another."""

    def __init__(self, taken: Callable) -> None:
        self._taken, self._data = taken, b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            first, *lines = self._data[:end].decode("latin-1").split("\r\n")
            headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
            size = int(headers.get("content-length", 0))
            if len(self._data) < end + 4 + size:
                return
            body, self._data = self._data[end + 4 : end + 4 + size], self._data[end + 4 + size :]
            self._taken(self, first, headers, body)

    def answer(self, status: int, body: bytes = b"", **headers: object) -> None:
        if self.transport.is_closing():
            return
        lines = [f"HTTP/1.1 {status} Told", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class RefusingAddress:
    """An address of 127.0.0.1 at which nobody listens; until `close` it keeps the port, so that nobody else can."""

    def __init__(self) -> None:
        self._sock = socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self.dial = f"127.0.0.1:{self._sock.getsockname()[1]}"

    def close(self) -> None:
        """Let go of the port."""
        self._sock.close()


class Agent:
    """Discovery's agent: a watch that streams the list in chunks, and notices."""

    def __init__(self) -> None:
        self.notices: dict[str, str] = {}
        self._watches: list[Peer] = []
        self._rows: Callable[[], Iterator[dict]] = lambda: iter(())
        self.version = 1

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Peer(self._taken), "127.0.0.1", 0)
        self.dial = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]  # noqa: UP031

    def list(self, rows: Callable[[], Iterator[dict]]) -> None:
        self._rows = rows

    def _taken(self, peer: Peer, first: str, headers: dict, body: bytes) -> None:
        if first.startswith("POST"):
            for line in body.splitlines():
                told = json.loads(line)
                self.notices[told["id"]] = told["status"]
            peer.answer(204)
            return
        peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watches.append(peer)
        self.task = asyncio.get_running_loop().create_task(self._whole(peer))

    async def _whole(self, peer: Peer) -> None:
        text = [f'{{"seq":{self.version},"whole":true,"hosts":[']
        for n, row in enumerate(self._rows()):
            text.append(("," if n else "") + json.dumps(row, separators=(",", ":")))
            if len(text) >= CHUNK_ROWS:
                self._chunk(peer, "".join(text).encode())
                text = []
                await asyncio.sleep(0)
        self._chunk(peer, ("".join(text) + "]}\n").encode())
        while not peer.transport.is_closing():
            await asyncio.sleep(1.5)
            self._chunk(peer, b"\n")

    def change(self, rows: list[dict]) -> None:
        self.version += 1
        text = json.dumps({"seq": self.version, "whole": False, "hosts": rows}).encode() + b"\n"
        for peer in self._watches:
            self._chunk(peer, text)

    @staticmethod
    def _chunk(peer: Peer, text: bytes) -> None:
        if not peer.transport.is_closing():
            peer.transport.write(b"%x\r\n%s\r\n" % (len(text), text))

    def close(self) -> None:
        self._server.close()


class Members:
    """One listening server for all members. `arrived` says when each message came.

    With an `idle_life` a connection that lay idle for longer is dropped as some fronts do: nothing is said of it, and
    what comes on it then is reset.
    """

    def __init__(self, members: dict[int, Member], idle_life: float | None = None) -> None:
        self.members, self.arrived, self._idle_life = members, {}, idle_life
        self.came: Counter[str] = Counter()  # how often each message did, and how often it took effect
        self.effects: Counter[str] = Counter()
        self._last: weakref.WeakKeyDictionary[Peer, float] = weakref.WeakKeyDictionary()
        self.dropped = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Peer(self._taken), "127.0.0.1", 0, backlog=1024)
        self.dial = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]  # noqa: UP031

    def _taken(self, peer: Peer, first: str, headers: dict, body: bytes) -> None:
        name, now = headers["x-trace-id"], time.monotonic()
        if self._idle_life is not None and now - self._last.get(peer, now) > self._idle_life:
            self.dropped += 1
            peer.transport.abort()
            return
        self.arrived.setdefault(name, now)
        self.came[name] += 1
        reply = self.members[int(name[:8], 16)].call(now)
        self.effects[name] += reply.how in (OK, RESET)
        if reply.how == UNREACHABLE:
            peer.transport.abort()
        elif reply.how != SILENT:
            asyncio.get_running_loop().call_later(reply.delay, self._answer, peer, reply)

    def _answer(self, peer: Peer, reply: Reply) -> None:
        self._last[peer] = time.monotonic()
        if reply.how == RESET:
            peer.transport.abort()
            return
        told = {}
        if reply.report is not None:
            told["Endpoint_Load_Metrics"] = f"x0={reply.report[0]:.3f},x1={reply.report[1]:.3f}"
        if reply.how == OK:
            peer.answer(200, **told)
        else:
            peer.answer(429, Retry_After=f"{reply.wait:.3f}", **told)

    def close(self) -> None:
        self._server.close()


class Client:
    """Clients that keep their connections and open further ones when all are busy. `host` is the address they have."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self._port, self._host, self._free = port, host, []

    async def enqueue(
        self, name: str, cls: str, seconds: float, destination: int, key: str = "0" * 16, **named: str
    ) -> str:
        """Hand in one message and return the answer's line, or "" for none; `named` adds to its list of values."""
        values = {"c": cls, "d": int(seconds * 1000), "dest": destination, **named}
        words = [
            b"ENQUEUE",
            key.encode(),
            name.encode(),
            ",".join(f"{word}={value}" for word, value in values.items()).encode(),
            b"x" * 64,
        ]
        data = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)
        writer = None
        try:
            if self._free:
                reader, writer = self._free.pop()
            else:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self._port, local_addr=(self._host, 0)), 2.0
                )
            writer.write(data)
            heard = await asyncio.wait_for(reader.readline(), 2.0)
        except (TimeoutError, OSError):
            if writer is not None:
                writer.close()
            return ""
        if not heard:
            writer.close()
            return ""
        self._free.append((reader, writer))
        return heard.decode().strip()

    def close(self) -> None:
        for _, writer in self._free:
            writer.close()


class Sender:
    """The real program as its own process, in a folder of its own."""

    def __init__(
        self, agent: Agent, deploy: dict[str, dict], limits: dict, told: dict, root: str | None = None
    ) -> None:
        """`root` names another tree of the program than this one."""
        self._root = Path(root) if root else Path(__file__).parent.parent.parent
        self._folder = tempfile.TemporaryDirectory(prefix="linkdock-lab-")
        self.path = Path(self._folder.name)
        (self.path / "state").mkdir()
        (self.path / "deploy").mkdir()
        for name, text in deploy.items():
            (self.path / "deploy" / f"{name}.json").write_text(json.dumps(text))
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": agent.dial,
            "seed": "1",
            "limits": limits,
            "settings": told,
        }
        (self.path / "config.json").write_text(json.dumps(config))

    async def start(self, port: int = 0) -> None:
        """Begin a life; a later one may listen where the one before did."""
        if port:
            config = json.loads((self.path / "config.json").read_text())
            (self.path / "config.json").write_text(json.dumps({**config, "listen": f"127.0.0.1:{port}"}))
        env = {
            **os.environ,
            "RELAY_CONFIG": str(self.path / "config.json"),
            "RELAY_STATE": str(self.path / "state"),
            "LINKDOCK_DEPLOY": str(self.path / "deploy"),
        }
        self.log = open(self.path / "log", "wb")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "linkdock", env=env, stderr=self.log, cwd=self._root
        )
        self.port = int((await self.logged("listens on ")).rsplit(":", 1)[1])

    async def logged(self, text: str, patience: float = PATIENCE) -> str:
        until = time.monotonic() + patience
        while time.monotonic() < until and self.process.returncode is None:
            for line in (self.path / "log").read_text().splitlines():
                if text in line:
                    return line
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the sender did not say {text!r}: {(self.path / 'log').read_text()[-2000:]}")

    def memory(self) -> int:
        """Resident bytes now."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
        return 0

    def cpu(self) -> float:
        """Seconds of CPU so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            await asyncio.wait_for(self.process.wait(), 10)
        self.log.close()

    def text(self) -> str:
        return (self.path / "log").read_text()

    def close(self) -> None:
        self._folder.cleanup()


def strike(sender: Sender, *peers: Agent | Members | RefusingAddress) -> None:
    """The end of a measurement, whatever happened in it: the one place where all of it is given back."""
    if sender.process.returncode is None:
        sender.process.kill()
    for peer in peers:
        peer.close()
    sender.close()
