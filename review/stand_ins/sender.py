"""The sender as the platform starts it: by the command `run` of the deploy file, with a folder that lasts."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from .client import Client
from .platform import Agent
from .record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_IN = 30.0  # seconds that a start may take
KILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL

SETTINGS = {
    "balancers": 1,
    "me": 0,
    "tick": 0.005,
    "discovery": "automatic",
    "zones": ["east"],
    "zone": 0,
    "machine-types": ["plain"],
    "grades": [
        {"name": "news", "idempotency": "read_like", "aim": 1.0, "hard-limit": 8.0, "late-share": 0.1},
        {"name": "charge", "idempotency": "non_idempotent", "aim": 4.0, "hard-limit": 16.0, "late-share": 0.3},
    ],
    "limits": {
        "max-open": 200,
        "max-attempts": 6,
        "connect-timeout": 1.5,
        "idle-close": 5.0,
        "max-retry-after": 3.0,
        "retry-after": True,
        "cancel": True,
        "probes": False,
        "peer-messages": False,
        "second-copies": False,
        "streams-per-conn": 1,
    },
    "extra": {"calls-out": 16, "bundle-max": [1], "separate-routes": [False], "loses-worth": "even"},
    "report": {"fields": [], "source": "silent"},
    "rules": {
        "answer-slack": 0.02,
        "drain-grace": 2.0,
        "fall-multiple": 1.5,
        "tip-after": 2.0,
        "cold-share": 0.3,
        "cold": 12.0,
    },
    "weights": "silent",
}


class NotReadyError(Exception):
    """The sender could not be started: the case could not run."""


class Sender:
    """One sender: its folder, its configuration, and the processes that the platform starts for it."""

    def __init__(self, record: Record, agent: Agent, folder: Path, settings: dict, shared: bool = False) -> None:
        """`shared`: the platform holds the clients' listening socket, as it does on days with upgrades."""
        self._record, self._folder = record, folder
        self._command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.state, self._tmp = folder / "state", folder / "tmp"
        self.state.mkdir()
        self._tmp.mkdir()
        self.disk_mb = 3
        self._held = socket.create_server(("127.0.0.1", 0), backlog=512) if shared else None
        self.dial = ("127.0.0.1", _free_port()) if self._held is None else self._held.getsockname()
        self._config = {
            "name": "n1",
            "listen": f"{self.dial[0]}:{self.dial[1]}",
            "discovery": agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512, "disk_mb": self.disk_mb},
            "known": agent.list(),
            "settings": settings,
        }
        self._count = 0
        self._processes: list[subprocess.Popen] = []

    def start(self) -> subprocess.Popen:
        """Start one process, and wait until it takes clients."""
        self._count += 1
        told = dict(self._config)
        env = {name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "LINKDOCK_"))}
        admin = None
        if self._held is not None:
            admin = ("127.0.0.1", _free_port())
            told["admin_addr"] = f"{admin[0]}:{admin[1]}"
            env["RELAY_ACCEPT_FD"] = str(self._held.fileno())
        path = self._folder / f"config{self._count}.json"
        path.write_text(json.dumps(told))
        env |= {
            "RELAY_NAME": told["name"],
            "RELAY_LISTEN": told["listen"],
            "RELAY_DISCOVERY": told["discovery"],
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(self._tmp),
        }
        process = subprocess.Popen(
            ["/bin/sh", "-c", self._command],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=(self._folder / f"log{self._count}.txt").open("wb"),
            pass_fds=() if self._held is None else (self._held.fileno(),),
        )
        self._processes.append(process)
        self._record.note("platform", f"process {self._count} is started")
        until = self._record.now() + READY_IN
        while not (self._says_pong() if admin is None else self._says_yes(admin)):
            if process.poll() is not None or self._record.now() > until:
                raise NotReadyError(f"process {self._count} did not become ready, status {process.poll()}")
            time.sleep(0.02)
        self._record.note("platform", f"process {self._count} is ready")
        return process

    def _says_pong(self) -> bool:
        try:
            client = Client(self.dial)
        except OSError:
            return False
        try:
            client.send(b"*1\r\n$4\r\nPING\r\n")
            return client.heard(1.0) == "+PONG"
        except OSError:
            return False
        finally:
            client.close()

    def _says_yes(self, admin: tuple[str, int]) -> bool:
        try:
            with socket.create_connection(admin, timeout=1.0) as sock:
                sock.sendall(b"status\n")
                return sock.recv(100).startswith(b"+OK")
        except OSError:
            return False

    def kill(self, process: subprocess.Popen) -> None:
        """SIGKILL, and wait for its end."""
        process.send_signal(signal.SIGKILL)
        process.wait()
        self._record.note("platform", f"process {self._processes.index(process) + 1} is killed")

    def terminate(self, process: subprocess.Popen) -> None:
        """SIGTERM; `finish` sends SIGKILL where it is due."""
        process.send_signal(signal.SIGTERM)
        self._record.note("platform", f"process {self._processes.index(process) + 1} is told to end")

    def close(self) -> None:
        """End every process that was started here."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
