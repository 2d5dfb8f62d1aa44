"""What every case needs: a record, a temporary folder, the sender's processes, the platform and endpoints.

All addresses are loopback. Every process that was started is ended, whatever happens.
"""

from __future__ import annotations

import fcntl
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
ANSWER_WAIT = 0.4  # seconds that a client waits for its answer
READY_WAIT = 30.0  # seconds that a sender may take until it is ready
SIGKILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit status of a case
LIMIT = 115.0  # seconds after which a case is ended that has not come to its end

GRADES = [
    {
        "name": "preview-update",
        "idempotency": "read_like",
        "group": "all",
        "aim": 0.8,
        "hard-limit": 6.0,
        "importance": 1.0,
        "late-share": 0.1,
        "window": 5.0,
    },
    {
        "name": "licence-order",
        "idempotency": "non_idempotent",
        "group": "all",
        "aim": 4.0,
        "hard-limit": 16.0,
        "importance": 2.0,
        "late-share": 0.3,
        "window": 5.0,
    },
]


def settings(**more: object) -> dict:
    """The settings of a small deployment, with the figures of the wire page's example."""
    told = {
        "balancers": 1,
        "me": 0,
        "discovery": "automatic",
        "family": "deliver",
        "extra": {
            "bundle-max": [1, 1],
            "calls-out": 16,
            "loses-worth": "even",
            "refusal-cost": 0.03,
            "separate-routes": [False, False],
            "zone-fee": [0.0, 0.0],
        },
        "grades": GRADES,
        "limits": {
            "cancel": True,
            "connect-timeout": 1.5,
            "idle-close": 5.0,
            "max-attempts": 12,
            "max-open": 274,
            "max-retry-after": 3.0,
            "retry-after": True,
            "second-copies": True,
            "streams-per-conn": 1,
        },
        "machine-types": ["distributor", "small-label"],
        "projects": [],
        "report": {"fields": ["x0", "x1"], "source": "piggyback"},
        "rules": {
            "answer-slack": 0.02,
            "cold": 12.0,
            "cold-share": 0.31,
            "drain-grace": 2.0,
            "fall-multiple": 1.5,
            "tip-after": 2.0,
        },
        "tariffs": {"handshake": 0.02},
        "tick": 0.005,
        "weights": "silent",
        "zone": 0,
        "zones": ["building-a", "building-b"],
    }
    return {**told, **more}


class Record:
    """`record.txt`: what was sent, answered and run, with seconds from the start of the case."""

    def __init__(self, path: Path) -> None:
        """Begin the file anew."""
        self._file, self._began, self._lock = path.open("w"), time.monotonic(), threading.Lock()

    def __call__(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f}  {text}\n")
            self._file.flush()


def listen(backlog: int = 128) -> socket.socket:
    """A listening socket on a free loopback port."""
    sock = socket.socket()
    sock.bind((HOST, 0))
    sock.listen(backlog)
    return sock


def address(sock: socket.socket) -> str:
    """The address of a socket, as the configuration names it."""
    return f"{HOST}:{sock.getsockname()[1]}"


def free_address() -> str:
    """An address that nobody listens on just now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return address(sock)


class Call:
    """One HTTP request as an endpoint or the platform has read it."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        """`headers` have names in lower case."""
        self.method, self.path, _ = first.split(" ", 2)
        self.headers, self.body = headers, body
        self.id = headers.get("x-trace-id", "")


class HttpConnection:
    """One accepted connection."""

    def __init__(self, sock: socket.socket) -> None:
        """Own `sock`."""
        self.sock, self._file = sock, sock.makefile("rb")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self) -> Call | None:
        """The next whole request; None once the other side has closed."""
        first = self._file.readline().decode("latin-1").strip()
        if not first:
            return None
        headers: dict[str, str] = {}
        while line := self._file.readline().decode("latin-1").strip():
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", 0))
        body = self._file.read(size)
        return Call(first, headers, body) if len(body) == size else None

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Write a whole answer."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def close(self) -> None:
        """Close it."""
        self._file.close()
        self.sock.close()


class HttpServer:
    """Accepts connections and gives each request to `handle`, in a thread for each connection."""

    def __init__(self, sock: socket.socket | None = None) -> None:
        """Listen on a free port, or on `sock`."""
        self.sock = sock or listen()
        self.dial = address(self.sock)

    def start(self) -> None:
        """Begin to accept."""
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection = HttpConnection(self.sock.accept()[0])
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: HttpConnection) -> None:
        try:
            while (call := connection.read()) is not None:
                self.handle(connection, call)
        except OSError:
            pass
        finally:
            connection.close()

    def handle(self, connection: HttpConnection, call: Call) -> None:
        """Answer one request."""
        raise NotImplementedError


class Endpoint(HttpServer):
    """An endpoint that serves each call after a usual time. `decide` may do something else with a call first."""

    def __init__(
        self,
        record: Record,
        name: str,
        block: int,
        took: float = 0.25,
        sock: socket.socket | None = None,
    ) -> None:
        """Of the destination `block`; a call takes `took` seconds."""
        super().__init__(sock)
        self.record, self.name, self.block, self.took = record, name, block, took
        self.runs: list[tuple[float, str, bytes]] = []  # what has run: when, id and body
        # Returns True where it has dealt with the call itself.
        self.decide: Callable[[HttpConnection, Call], bool] = lambda connection, call: False

    def row(self, health: str = "ready") -> dict:
        """Its row in discovery's list."""
        return {
            "host": self.name,
            "dial": self.dial,
            "site": "building-a",
            "class": "small-label",
            "block": self.block,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    def handle(self, connection: HttpConnection, call: Call) -> None:
        """Serve one call."""
        if self.decide(connection, call):
            return
        self.record(f"{self.name}: call with {call.id}")
        time.sleep(self.took)
        self.runs.append((time.monotonic(), call.id, call.body))
        self.record(f"{self.name}: {call.id} has run, 200")
        connection.answer(200)


class Platform(HttpServer):
    """Discovery's agent: one list, an empty line every 2 s, and notices that are answered 204 at once."""

    def __init__(self, record: Record, endpoints: list[Endpoint]) -> None:
        """List these endpoints."""
        super().__init__()
        self.record, self.endpoints = record, endpoints
        self.notices: dict[str, tuple[float, str]] = {}  # by id: when the first one came, and its status

    def handle(self, connection: HttpConnection, call: Call) -> None:
        """Serve the list, a watch or notices."""
        if call.method == "POST":
            for line in call.body.splitlines():
                told = json.loads(line)
                self.record(f"platform: notice {told['status']} for {told['id']}")
                self.notices.setdefault(told["id"], (time.monotonic(), told["status"]))
            connection.answer(204)
            return
        rows = {"seq": 1, "whole": True, "hosts": [endpoint.row() for endpoint in self.endpoints]}
        text = json.dumps(rows).encode() + b"\n"
        if "watch=1" not in call.path:
            connection.answer(200, text)
            return
        connection.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            connection.sock.sendall(b"%x\r\n%s\r\n" % (len(text), text))
            text = b"\n"
            time.sleep(2.0)


class Process:
    """One process of a sender, started with the command of the deploy file."""

    def __init__(self, case: Case, config: dict, state: Path, name: str, accept: int | None = None) -> None:
        """`accept`: the descriptor of the clients' listening socket, where the platform holds it."""
        self.case, self.name, self.config = case, name, config
        folder = case.folder / name
        folder.mkdir()
        (folder / "tmp").mkdir()
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(folder / "tmp"),
            "RELAY_NAME": config["name"],
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "RELAY_STATE": str(state),
            "RELAY_CONFIG": str(path),
            **case.environment,
        }
        if accept is not None:
            env["RELAY_ACCEPT_FD"] = str(accept)
        self.log = folder / "log.txt"
        with self.log.open("wb") as log:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=() if accept is None else (accept,),
            )
        case.processes.append(self)
        case.record(f"{name}: started")

    @property
    def status(self) -> int | None:
        """Its exit status; None while it runs."""
        return self.popen.poll()

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.case.record(f"{self.name}: {number.name}")
        self.popen.send_signal(number)

    def wait_ready(self, say: Callable[[], bool]) -> None:
        """Wait until `say` tells that it is ready. Raises NotRunError if that does not come in time."""
        until = time.monotonic() + READY_WAIT
        while not say():
            if self.status is not None or time.monotonic() > until:
                raise NotRunError(f"{self.name} is not ready: {self.log.read_text()[-2000:]}")
            time.sleep(0.02)
        self.case.record(f"{self.name}: ready")

    def end(self) -> None:
        """End it if it runs."""
        if self.status is None:
            self.popen.kill()
        self.popen.wait()


class NotRunError(Exception):
    """The case could not run."""


def command(*words: str | bytes) -> bytes:
    """A command of RESP2."""
    parts = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def enqueue(message: str, cls: str, milliseconds: int, block: int, body: bytes, more: str = "") -> bytes:
    """The command that hands in a message."""
    return command("ENQUEUE", "0" * 16, message, f"c={cls},d={milliseconds},dest={block}{more}", body)


class Client:
    """One connection of a client."""

    def __init__(self, where: str) -> None:
        """Connect to a sender."""
        host, _, port = where.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), 2.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self.sock.makefile("rb")

    def ask(self, data: bytes, seconds: float = ANSWER_WAIT) -> str:
        """Send a command and read its answer; "" where none comes in that time."""
        self.sock.settimeout(seconds)
        try:
            self.sock.sendall(data)
            return self._file.readline().decode().strip()
        except OSError:
            return ""

    def close(self) -> None:
        """Leave."""
        self._file.close()
        self.sock.close()


def answers_ping(where: str) -> bool:
    """Whether a sender is in service."""
    try:
        client = Client(where)
    except OSError:
        return False
    said = client.ask(command("PING"))
    client.close()
    return said == "+PONG"


def operator(where: str, line: str) -> str:
    """An operator's call, and its answer."""
    host, _, port = where.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.settimeout(1.0)
            sock.sendall(line.encode() + b"\n")
            return sock.makefile("rb").readline().decode().strip()
    except OSError:
        return ""


class Case:
    """One run of a case: its record, its folder and its processes."""

    def __init__(self, folder: Path) -> None:
        """`folder` is the one that `run.sh` stands in."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="linkdock-case-"))
        self.processes: list[Process] = []
        (self.folder / "deploy").mkdir()  # what is switched on: nothing, unless a case puts a file there
        self.environment = {"LINKDOCK_DEPLOY": str(self.folder / "deploy")}
        self.record(f"TROUBLE={int(self.trouble)}")

    def config(self, platform: Platform, listen: str, **more: object) -> dict:
        """The configuration of a sender."""
        return {
            "name": "n0",
            "listen": listen,
            "discovery": platform.dial,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"seq": 0, "whole": True, "hosts": [endpoint.row() for endpoint in platform.endpoints]},
            "settings": settings(),
            **more,
        }

    def state(self, name: str = "state") -> Path:
        """A folder that lasts."""
        path = self.folder / name
        path.mkdir(exist_ok=True)
        return path

    def close(self) -> None:
        """End what was started."""
        for process in self.processes:
            process.end()
        for process in self.processes:
            if "Traceback" in (text := process.log.read_text(errors="replace")):
                self.record(f"{process.name}: its log holds a traceback:\n{text[-3000:]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def inheritable(sock: socket.socket) -> int:
    """The socket's descriptor for `RELAY_ACCEPT_FD`: 5, or the next one that is free."""
    number = fcntl.fcntl(sock.fileno(), fcntl.F_DUPFD, 5)
    os.set_inheritable(number, True)
    return number


def run(folder: Path, play: Callable[[Case], list[str]]) -> None:
    """Play a case and exit: `play` gives the breaks of the rule, one line each."""
    case = Case(folder)

    def give_up(*why: object) -> None:
        case.record("could not run: it was ended before its end")
        case.close()
        os._exit(NOT_RUN)

    limit = threading.Timer(LIMIT, give_up)
    limit.daemon = True
    limit.start()
    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    try:
        broken = play(case)
        for line in broken:
            case.record(f"BROKEN: {line}")
            print(line)
        status = BROKEN if broken else HELD
    except (NotRunError, OSError) as bad:
        case.record(f"could not run: {bad}")
        print(f"could not run: {bad}")
        traceback.print_exc()
        status = NOT_RUN
    finally:
        case.close()
    case.record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[status])
    sys.stdout.flush()
    os._exit(status)  # threads of the stand-ins may still wait
