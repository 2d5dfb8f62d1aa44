"""The stand-ins of the soak of restarts: members, discovery's agent and clients, which put on record what they see."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from random import Random

from .. import rig
from ..members import FULL, OK, SILENT, Reply
from .history import Call, History, Request
from .plan import ANSWERS, HANGS, REFUSES, RESETS_LATE, SLOW, Plan

ANSWER_WITHIN = 3.0  # seconds without an answer on an open connection until a client holds its request for lost
RESET_DELAY = 1.0  # seconds after which a late reset comes
PAUSE = 0.02  # seconds between two requests of a client, in the mean
DOWN_PAUSE = 0.05  # seconds until a client that was turned away comes again
CLASSES = ("preview", "order", "keyed", "sequence")


class SoakMember:
    """A member whose conduct may change."""

    def __init__(self) -> None:
        """Answer at first."""
        self.conduct = ANSWERS

    def call(self, now: float) -> Reply:
        """The reply to a call that arrives at `now`."""
        return {
            ANSWERS: Reply(OK, 0.02),
            SLOW: Reply(OK, 0.4),
            HANGS: Reply(SILENT, 0.0),
            RESETS_LATE: Reply(SILENT, 0.0),
            REFUSES: Reply(FULL, 0.0, 0.3),
        }[self.conduct]


class SoakMembers(rig.Members):
    """All members; each call is put on record."""

    def __init__(self, count: int, history: History, idle_life: float | None) -> None:
        """Make so many; their connections are dropped after `idle_life` seconds without a call, if any."""
        super().__init__({number: SoakMember() for number in range(count)}, idle_life)
        self._history = history

    def _taken(self, peer: rig.Peer, first: str, headers: dict, body: bytes) -> None:
        name, dropped = headers["x-trace-id"], self.dropped
        super()._taken(peer, first, headers, body)
        if self.dropped > dropped:
            return  # reset unread: the connection had lain idle for too long
        conduct = self.members[int(name[:8], 16)].conduct
        self._history.calls[name].append(Call(time.monotonic(), conduct != REFUSES))
        if conduct == RESETS_LATE:
            asyncio.get_running_loop().call_later(RESET_DELAY, peer.transport.abort)


class SoakAgent(rig.Agent):
    """Discovery's agent, which may fall silent: asks and notices are then left without an answer, and lists stay."""

    def __init__(self, history: History) -> None:
        """Answer at first; notices go to `history`."""
        super().__init__()
        self._history, self.silent = history, False

    def _taken(self, peer: rig.Peer, first: str, headers: dict, body: bytes) -> None:
        if self.silent:
            return
        if first.startswith("POST"):
            for line in body.splitlines():
                self._history.notices.setdefault(json.loads(line)["id"], time.monotonic())
        super()._taken(peer, first, headers, body)

    def fall_silent(self) -> None:
        """From now on nothing is answered, and open watches end."""
        self.silent = True
        for peer in self._watches:
            peer.transport.abort()
        self._watches.clear()


class SoakClient:
    """One client: it uses its connection for as long as that stays open, and hands in one message after another."""

    def __init__(self, number: int, plan: Plan, history: History, port: Callable[[], int]) -> None:
        """`port` gives the port of the process that takes clients now."""
        self._number, self._plan, self._history, self._port = number, plan, history, port
        self._luck, self._made, self.stopped = Random(f"{plan.seed} client {number}"), 0, False
        self.answered = asyncio.Event()  # set with each +OK

    async def run(self) -> None:
        """Hand in until `stopped`."""
        while not self.stopped:
            writer = None
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port())
                while not self.stopped and await self._ask(reader, writer):
                    await asyncio.sleep(self._luck.expovariate(1 / PAUSE))
            except OSError:
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(DOWN_PAUSE)

    def _request(self) -> Request:
        self._made += 1
        member, cls = self._luck.randrange(len(self._plan.lives[0].conducts)), self._luck.choice(CLASSES)
        name = f"{member:08x}{self._number:02x}{self._made:06x}"
        # The messages of a key go to one member, and come from one client: their order is that of the answers.
        key = f"{self._number + 1:08x}{member + 1:08x}" if cls == "sequence" else "0" * 16
        now = time.monotonic()
        return Request(name, cls, member, key, now, now + self._plan.deadline)

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Hand one message in, unless the connection is closed by now; whether it can be used again."""
        if reader.at_eof():
            return False
        one = self._request()
        self._history.requests[one.name] = one
        data = _command(one, self._plan.deadline)
        try:
            if self._plan.pieces and self._luck.random() < 0.3:
                cut = self._luck.randrange(1, len(data))
                writer.write(data[:cut])
                await asyncio.sleep(0.005)
                writer.write(data[cut:])
            else:
                writer.write(data)
            line = await asyncio.wait_for(reader.readline(), ANSWER_WITHIN)
        except TimeoutError:
            one.answered, one.lost = time.monotonic(), f"none within {ANSWER_WITHIN:g} s on an open connection"
            return False
        except OSError:
            one.answered, one.lost = time.monotonic(), "its connection was reset"
            return False
        one.answered = time.monotonic()
        if line:
            one.answer = line.decode().strip()
            if one.taken:
                one.until = one.answered + self._plan.deadline
                self.answered.set()
            return True
        one.lost = "its connection was closed"
        return False


def _command(one: Request, deadline: float) -> bytes:
    values = {"c": one.cls, "d": int(deadline * 1000), "dest": one.member}
    if one.cls == "keyed":
        values["k"] = one.name
    words = [b"ENQUEUE", one.key.encode(), one.name.encode()]
    words += [",".join(f"{name}={value}" for name, value in values.items()).encode(), b"x" * 64]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
