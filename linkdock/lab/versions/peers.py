"""Peers that record what two versions of a sender do: members, discovery's agent, clients, operators and commands."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from ...errors import LinkdockError
from .. import rig
from ..members import FULL, OK, SILENT, Reply
from ..processes.fleet import ROOT

COMMAND_TIMEOUT = 60.0  # seconds for one run of the command `linkdock`
CALL_TIMEOUT = 5.0  # seconds for one operators' call
POLL_INTERVAL = 0.02  # seconds between two looks at a condition
READY_TIMEOUT = 15.0  # seconds from a start until a sender has its list
PROBLEMS = (" WARNING ", " ERROR ", " CRITICAL ", "Traceback")
CLASSES = [
    {"name": "preview", "idempotency": "read_like", "aim": 0.8, "hard-limit": 40.0, "late-share": 0.1},
    {"name": "order", "idempotency": "non_idempotent", "aim": 4.0, "hard-limit": 40.0, "importance": 2.0},
    {
        "name": "keyed",
        "idempotency": "idempotency_key",
        "aim": 4.0,
        "hard-limit": 40.0,
        "window": 60.0,
        "group": "all",
    },
    {"name": "sequence", "idempotency": "non_idempotent", "aim": 4.0, "hard-limit": 40.0, "keep-order": True},
]


class VersionsError(LinkdockError):
    """The play of two versions cannot go on: what has to happen next has not happened."""

    code = "LD-LAB-VERSIONS"
    what = "two versions of the program did not get through a play together"
    remedy = "Play it once more with `--only` and the name of the play; the line says what was waited for"


class ScriptedMember:
    """A member that gives every call the same reply, and notes the waits that it asked for."""

    def __init__(self) -> None:
        """Begin with a delivery to each call."""
        self.reply = Reply(OK, 0.02)
        self.waits: list[tuple[float, float]] = []  # from when until when, on the monotonic clock

    def call(self, now: float) -> Reply:
        """The reply to a call that arrives at `now`."""
        if self.reply.how == FULL:
            self.waits.append((now, now + self.reply.wait))
        return self.reply

    def answer(self) -> None:
        """Deliver from now on."""
        self.reply = Reply(OK, 0.02)

    def hang(self) -> None:
        """Read calls from now on and leave them without an answer."""
        self.reply = Reply(SILENT, 0.0)

    def refuse(self, wait: float) -> None:
        """Turn calls away from now on; each is asked to wait so many seconds."""
        self.reply = Reply(FULL, 0.0, wait)


class RecordingMembers(rig.Members):
    """Members that keep each message's call times and idempotency keys."""

    def __init__(self, count: int) -> None:
        """Make members with the numbers from 0 on."""
        super().__init__({number: ScriptedMember() for number in range(count)})
        self.times: dict[str, list[float]] = defaultdict(list)  # of each message's calls, on the monotonic clock
        self.keys: dict[str, set[str]] = defaultdict(set)

    def _taken(self, peer: rig.Peer, first: str, headers: dict, body: bytes) -> None:
        name = headers["x-trace-id"]
        self.times[name].append(time.monotonic())
        self.keys[name].add(headers.get("idempotency-key", ""))
        super()._taken(peer, first, headers, body)


class RecordingAgent(rig.Agent):
    """An agent that may leave notices without an answer; `unanswered` has the ids of those."""

    def __init__(self) -> None:
        """Begin with an answer to each notice."""
        super().__init__()
        self.confirms = True
        self.unanswered: set[str] = set()

    def _taken(self, peer: rig.Peer, first: str, headers: dict, body: bytes) -> None:
        if first.startswith("POST") and not self.confirms:
            self.unanswered |= {json.loads(line)["id"] for line in body.splitlines()}
        else:
            super()._taken(peer, first, headers, body)


class Order(NamedTuple):
    """One message as a client hands it in."""

    name: str  # its id: 8 hexadecimal digits of the member's number and 8 of its own
    cls: str
    seconds: float  # until it may not be delivered any more
    key: str = "0" * 16
    idempotency_key: str = ""

    @property
    def member(self) -> int:
        """The number of the member that it goes to."""
        return int(self.name[:8], 16)


def list_row(number: int, dial: str) -> dict:
    """One row of discovery's list: the member's only endpoint, which is its own destination."""
    return {
        "host": f"m{number}",
        "dial": dial,
        "site": "a",
        "class": "single",
        "block": number,
        "health": "ready",
        "share": 1.0,
        "born_ms": 0,
    }


def site_settings() -> dict:
    """The settings of a sender with a class of each effect, one of them in order."""
    return {**rig.settings(32, 400), "grades": CLASSES}


async def until(true: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until a condition holds. Raises VersionsError that says `what` was waited for."""
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            raise VersionsError(f"not within {seconds:g} s: {what}")
        await asyncio.sleep(POLL_INTERVAL)


async def hand_in(client: rig.Client, orders: list[Order]) -> None:
    """Hand in messages one after another. Raises VersionsError if one is not taken."""
    for order in orders:
        named = {"k": order.idempotency_key} if order.idempotency_key else {}
        answer = await client.enqueue(order.name, order.cls, order.seconds, order.member, order.key, **named)
        if answer != "+OK":
            raise VersionsError(f"{order.name} of {order.cls} was answered {answer!r}")


async def operate(port: int, line: str) -> str:
    """One operators' call: its whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(line.encode() + b"\n")
        return (await asyncio.wait_for(reader.read(), CALL_TIMEOUT)).decode()
    finally:
        writer.close()


async def figures(port: int) -> dict[str, int]:
    """Every series of `stats` with its value."""
    lines = (await operate(port, "stats")).splitlines()
    return {name: int(value) for name, _, value in (line.rpartition(" ") for line in lines if line != ".")}


async def ready(port: int, endpoints: int) -> None:
    """Wait until a sender takes clients and has all of discovery's list. Raises VersionsError if it does not."""
    end = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < end:
        entries = (await figures(port)).get("edge_relay_registry_entries")
        if entries == endpoints and await operate(port, "status") == "+OK taking clients\n":
            return
        await asyncio.sleep(POLL_INTERVAL)
    raise VersionsError(f"no sender that takes clients with edge_relay_registry_entries {endpoints}")


def problems(log: str) -> list[str]:
    """The lines of a sender's log that say that something is wrong."""
    return [line for line in log.splitlines() if any(word in line for word in PROBLEMS)]


async def command(root: str | None, *words: str) -> str:
    """What the command `linkdock` of a tree prints. Raises VersionsError if it fails other than by a found fault."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "linkdock.console",
        *words,
        cwd=root or ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    out, errors = await asyncio.wait_for(process.communicate(), COMMAND_TIMEOUT)
    if process.returncode not in (0, 1):
        raise VersionsError(f"linkdock {words[0]} of {root or 'the present tree'}: {errors.decode().strip()}")
    return out.decode()
