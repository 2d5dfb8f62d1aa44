"""One sender is upgraded from one version to another and back, under traffic, on one inherited listening socket.

The members are m0, which answers, m1, which once asks for a wait, and m2, which is taken out by hand during each
change. Three processes come one after another: the first and the third run one version, the second the other one.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from itertools import count
from pathlib import Path

from .. import rig
from ..processes.fleet import Child
from .peers import (
    Order,
    RecordingAgent,
    RecordingMembers,
    VersionsError,
    figures,
    hand_in,
    list_row,
    operate,
    problems,
    ready,
    site_settings,
    until,
)

MEMBERS = 3
ANSWERS, ASKS_TO_WAIT, OUT_BY_HAND = range(MEMBERS)
INTERVAL = 0.02  # seconds between two messages of a stream
STREAMS = 4  # of messages that are handed in one after another, each stream with a key of its own
LIMIT = 30.0  # seconds that a message may take
WAIT = 2.5  # seconds that m1 asks for
WAIT_SLACK = 0.5  # seconds in which calls that were on their way still arrive after the wait was asked for
TOGETHER = 1.5  # seconds of traffic with both processes, before one is told to end
LEARNED, FOLLOWED, ENDED = 8.0, 4.0, 16.0  # seconds within which each of these has to come
LONGEST = 120.0  # seconds of a play
CLASSES = ("order", "sequence", "preview", "sequence")


class UpgradePlay:
    """The play of two versions. `findings` says what went otherwise than with one."""

    def __init__(self, first: str | None, second: str | None) -> None:
        """Take the trees of both versions; None names the present one."""
        self.findings: list[str] = []
        self._trees = (first, second, first)
        self._agent, self._members = RecordingAgent(), RecordingMembers(MEMBERS)
        self._children: list[Child] = []
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._port = self._socket.getsockname()[1]
        self._numbers = count(1)
        self._taken: list[Order] = []  # in the order in which each stream was answered
        self._traffic = True  # until the streams have to end; Python 3.11 may lose a cancellation in `wait_for`

    async def run(self) -> list[str]:
        """Play it and return the findings. Raises VersionsError or RuntimeError where it cannot go on."""
        await self._agent.start()
        await self._members.start()
        self._agent.list(lambda: (list_row(n, self._members.dial) for n in range(MEMBERS)))
        streams: list[asyncio.Task] = []
        try:
            await self._begin()
            streams += [asyncio.create_task(self._stream(n)) for n in range(STREAMS)]
            for _ in self._trees[1:]:
                await self._replace()
            await self._stop_streams(streams)
            await self._all_ended()
            self._check(await self._children[-1].stop() == 0, "the last process's end was not orderly")
            self._judge()
        finally:
            self._traffic = False
            for task in streams:
                task.cancel()
            for child in self._children:
                child.close()
            self._socket.close()
            self._members.close()
            self._agent.close()
        return self.findings

    def _check(self, true: bool, finding: str) -> None:
        if not true:
            self.findings.append(finding)

    # --- Processes.

    @property
    def _state(self) -> Path:
        """The folder that all processes share: the first one's."""
        return self._children[0].path / "state"

    async def _begin(self) -> Child:
        """Start the next process and wait until it takes clients and has discovery's list."""
        number = len(self._children)
        child = Child("n0", self._agent, site_settings(), {}, self._trees[number])
        self._children.append(child)
        descriptor = self._socket.fileno()
        child.extra = {"RELAY_ACCEPT_FD": str(descriptor), "RELAY_STATE": str(self._state)}
        child.inherited = (descriptor,)
        await child.start()
        await ready(child.operators, MEMBERS)
        return child

    async def _replace(self) -> None:
        """Start the next process beside the present one, and end that once they know of each other."""
        old, number = self._children[-1], len(self._children)
        await self._ask_to_wait()
        new = await self._begin()
        await until((self._state / f"learned.{number}").exists, LEARNED, f"process {number} leaves what it has learned")
        self._check_files(number)
        await self._out_by_hand(old, new)
        held = await self._hold_back()
        await asyncio.sleep(TOGETHER)
        old.signal(signal.SIGTERM)
        self._check(await old.ended() == 0, f"the end of process {number} was not orderly")
        self._check(not any(self._members.came[one.name] for one in held), "an endpoint out by hand was called")
        await self._back_by_hand(new, held)

    async def _ask_to_wait(self) -> None:
        """Have m1 ask the present process for one wait, which the next one has to keep as well."""
        member = self._members.members[ASKS_TO_WAIT]
        asked = len(member.waits)
        member.refuse(WAIT)
        await until(lambda: len(member.waits) > asked, FOLLOWED, "m1 is called and asks for a wait")
        member.answer()

    async def _back_by_hand(self, child: Child, held: list[Order]) -> None:
        """Put back the endpoint that is out; what was held for it goes out. What is missing is found at the end."""
        answer = await operate(child.operators, f"maint-off m{OUT_BY_HAND}")
        self._check(answer.startswith("+OK"), f"maint-off was answered {answer!r}")
        with contextlib.suppress(VersionsError):
            await until(lambda: all(self._members.came[one.name] for one in held), ENDED, "held messages go out")

    def _check_files(self, number: int) -> None:
        """Both processes keep their files under the same names."""
        names = {path.name for path in self._state.iterdir()}
        wanted = {f"{kind}.{n}" for kind in ("lock", "journal", "board") for n in (number, number + 1)}
        self._check(wanted <= names, f"with processes {number} and {number + 1} the folder holds {sorted(names)}")

    async def _out_by_hand(self, old: Child, new: Child) -> None:
        """An endpoint that is taken out at the old process is out at the new one too."""
        answer = await operate(old.operators, f"maint-on m{OUT_BY_HAND}")
        self._check(answer.startswith("+OK"), f"maint-on was answered {answer!r}")
        for _ in range(int(FOLLOWED / 0.05)):
            if (await figures(new.operators)).get("edge_relay_out_of_rotation", 0) >= 1:
                return
            await asyncio.sleep(0.05)
        self.findings.append(f"process {len(self._children)} does not learn of an endpoint that is out by hand")

    # --- Traffic.

    def _order(self, member: int, cls: str, key: str = "0" * 16) -> Order:
        return Order(f"{member:08x}{next(self._numbers):08x}", cls, LIMIT, key)

    async def _stream(self, stream: int) -> None:
        """Hand in messages, each once the one before has its answer."""
        client = rig.Client(self._port)
        key = f"{stream + 1:016x}"
        try:
            for n in count():
                if not self._traffic:
                    return
                cls = CLASSES[n % len(CLASSES)]
                member = ANSWERS if cls == "sequence" else n // 2 % 2
                order = self._order(member, cls, key if cls == "sequence" else "0" * 16)
                await self._hand_in(client, order)
                await asyncio.sleep(INTERVAL)
        finally:
            client.close()

    async def _hand_in(self, client: rig.Client, order: Order) -> None:
        """As clients do: what crosses the close of its connection is sent once more, on a new one."""
        words = (order.name, order.cls, order.seconds, order.member, order.key)
        answer = await client.enqueue(*words) or await client.enqueue(*words)
        if answer.startswith("+OK"):
            self._taken.append(order)
        elif not answer.startswith("-BUSY"):
            self.findings.append(f"{order.name} of {order.cls} was answered {answer!r}")

    async def _hold_back(self) -> list[Order]:
        """Messages for the endpoint that is out by hand: they wait, and are handed over with the process's end."""
        client = rig.Client(self._port)
        held = [self._order(OUT_BY_HAND, "order") for _ in range(2)]
        held += [self._order(OUT_BY_HAND, "sequence", "00000000000000b5") for _ in range(3)]
        try:
            await hand_in(client, held)
        finally:
            client.close()
        self._taken += held
        return held

    async def _stop_streams(self, streams: list[asyncio.Task]) -> None:
        """End the traffic. Raises what a stream failed with."""
        self._traffic = False
        await asyncio.wait_for(asyncio.gather(*streams), ENDED)

    async def _all_ended(self) -> None:
        with contextlib.suppress(VersionsError):
            await until(lambda: not self._open(), ENDED, "all messages end")

    def _open(self) -> list[Order]:
        """Messages that were taken and have neither been delivered nor ended by a notice."""
        notices, effects = self._agent.notices, self._members.effects
        return [one for one in self._taken if not effects[one.name] and one.name not in notices]

    # --- The verdict.

    def _judge(self) -> None:
        """Every message ended, none ran twice, keys were kept in order, and a wait bound both processes."""
        self.findings += [f"{one.name} of {one.cls} has no end" for one in self._open()]
        twice = [one for one in self._taken if one.cls != "preview" and self._members.came[one.name] > 1]
        self.findings += [f"{one.name} of {one.cls} went out {self._members.came[one.name]} times" for one in twice]
        self._judge_keys()
        self._judge_waits()
        for number, child in enumerate(self._children, 1):
            self.findings += [f"the log of process {number}: {line}" for line in problems(child.text())]

    def _judge_keys(self) -> None:
        times = self._members.times
        for key in {one.key for one in self._taken if one.cls == "sequence"}:
            went = [one for one in self._taken if one.cls == "sequence" and one.key == key and one.name in times]
            first = [times[one.name][0] for one in went]
            self._check(first == sorted(first), f"messages of the key {key} went out in another order")

    def _judge_waits(self) -> None:
        times = [at for name, calls in self._members.times.items() if int(name[:8], 16) == ASKS_TO_WAIT for at in calls]
        for begin, end in self._members.members[ASKS_TO_WAIT].waits:
            early = [at for at in times if begin + WAIT_SLACK < at < end]
            self._check(not early, f"m1 was called {len(early)} times during a wait of {WAIT:g} s that it asked for")


async def play(first: str | None, second: str | None) -> list[str]:
    """What goes wrong when a sender goes from the version in `first` to the one in `second` and back, a line each."""
    async with asyncio.timeout(LONGEST):
        return await UpgradePlay(first, second).run()
