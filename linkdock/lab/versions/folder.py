"""One version of a sender writes a folder and is killed; another one goes on from it, with every optional part on.

The members are m0, which answers, m1, which is taken out by hand, m2, which reads calls and never answers, and m3, at
whose address nobody listens. So the folder holds messages that were delivered, are untried, may have run, and could not
be delivered.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from pathlib import Path

from .. import rig
from ..processes.fleet import ROOT, Child
from .peers import (
    Order,
    RecordingAgent,
    RecordingMembers,
    VersionsError,
    command,
    figures,
    hand_in,
    list_row,
    operate,
    problems,
    ready,
    site_settings,
    until,
)

MEMBERS = 4
ANSWERS, OUT_BY_HAND, SILENT, SHUT = range(MEMBERS)
LIMITS = {"memory_mb": 96, "sockets": 512, "disk_mb": 4}
# What is set beside `on` in the files under deploy/, so that each part writes its file within seconds.
DEPLOYED = {
    "records": {},
    "dormancy": {"snapshot": True, "snapshot_s": 1},
    "connections": {"file": "connections.json", "file_s": 1},
    "admission": {"file_s": 1, "known_after": 1},
    "undeliverable": {},
    "cluster": {"key": "the key of the laboratory", "founders": ["n0"], "voters": 1},
}
FILES = (
    "learned",
    "connections.json",
    "clients.json",
    "rotation",
    "undeliverable.db",
    "records.jsonl",
    "journal",
    "cluster",
)
SHORT, LONG = 1.0, 30.0  # seconds that a message may take: one that must end soon, and one that must not
FIRST, NOTICE, DELIVERY, WRITTEN = 10.0, 4.0, 12.0, 5.0  # seconds within which each of these has to come
LONGEST = 120.0  # seconds of a play
RECORDS_DELAY = 0.5  # seconds: records are written on later turns of the sender's loop


def named(member: int, first: int, orders: list[tuple[str, float]], **more: str) -> list[Order]:
    """Messages for a member, numbered from `first` on: the class and the seconds of each."""
    return [Order(f"{member:08x}{first + n:08x}", cls, seconds, **more) for n, (cls, seconds) in enumerate(orders)]


DELIVERED = named(ANSWERS, 1, [("preview", LONG), ("order", LONG), ("keyed", LONG), ("sequence", LONG)] * 2)
NEW = named(ANSWERS, 21, [("preview", LONG), ("order", LONG)])
KEPT = named(SHUT, 1, [("preview", SHORT), ("order", SHORT)] * 2)
UNCONFIRMED = named(SHUT, 11, [("order", SHORT)])
DOUBTFUL = named(SILENT, 1, [("order", LONG)] * 2) + named(SILENT, 11, [("keyed", LONG)], idempotency_key="5c0f6e1a")
UNTRIED = [
    *named(OUT_BY_HAND, 1, [("preview", LONG), ("order", LONG)]),
    *named(OUT_BY_HAND, 11, [("keyed", LONG)], idempotency_key="9a41b27e"),
    *named(OUT_BY_HAND, 21, [("sequence", LONG)] * 3, key="00000000000000a7"),
]


def audit_words(state: Path) -> tuple[str, ...]:
    """The command that judges all parts of the record in a folder."""
    return "audit", *map(str, sorted(state.glob("records.jsonl*"))), "--json"


class FolderPlay:
    """The play of one writer and one reader. `findings` says what the reader did not make of the folder."""

    def __init__(self, writer: str | None, reader: str | None) -> None:
        """Take the trees of both versions; None names the present one."""
        self.findings: list[str] = []
        self._writer, self._reader = writer, reader
        self._agent, self._members = RecordingAgent(), RecordingMembers(MEMBERS)
        self._refusing = rig.RefusingAddress()

    async def run(self) -> list[str]:
        """Play it and return the findings. Raises VersionsError or RuntimeError where it cannot go on."""
        await self._agent.start()
        await self._members.start()
        refusing = self._refusing.dial
        self._agent.list(lambda: (list_row(n, refusing if n == SHUT else self._members.dial) for n in range(MEMBERS)))
        self._sender = Child("n0", self._agent, site_settings(), self._deployed(), self._writer)
        self._use_limits()
        try:
            await self._write()
            shutil.copytree(self._state, self._copy)
            await self._read()
            await self._compare_commands()
        finally:
            self._sender.close()
            self._members.close()
            self._agent.close()
            self._refusing.close()
        return self.findings

    def _deployed(self) -> dict[str, dict]:
        """The writer's own files under deploy/, switched on."""
        folder = (Path(self._writer) if self._writer else ROOT) / "deploy"
        return {
            name: {**json.loads((folder / f"{name}.json").read_text()), "on": True, **more}
            for name, more in DEPLOYED.items()
        }

    def _use_limits(self) -> None:
        path = self._sender.path / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "limits": LIMITS}))

    @property
    def _state(self) -> Path:
        return self._sender.path / "state"

    @property
    def _copy(self) -> Path:
        """What the writer left, as it was."""
        return self._sender.path / "written"

    def _check(self, true: bool, finding: str) -> None:
        if not true:
            self.findings.append(finding)

    def _called(self, order: Order) -> int:
        return self._members.came[order.name]

    # --- The writer's life.

    async def _write(self) -> None:
        """Fill the folder and end the writer by SIGKILL."""
        sender, members, agent = self._sender, self._members, self._agent
        members.members[SILENT].hang()
        await sender.start()
        client = rig.Client(sender.port)
        await ready(sender.operators, MEMBERS)
        await hand_in(client, DELIVERED)
        await until(lambda: all(map(self._called, DELIVERED)), FIRST, "messages for m0 are delivered")
        await hand_in(client, KEPT)
        await until(lambda: all(one.name in agent.notices for one in KEPT), FIRST, "messages for m3 end by a notice")
        agent.confirms = False
        await hand_in(client, UNCONFIRMED)
        await until(lambda: UNCONFIRMED[0].name in agent.unanswered, FIRST, "a notice is posted")
        await hand_in(client, DOUBTFUL)
        await until(lambda: all(map(self._called, DOUBTFUL)), FIRST, "messages for m2 are on their way")
        await self._written()
        answer = await operate(sender.operators, f"maint-on m{OUT_BY_HAND}")
        if not answer.startswith("+OK"):
            raise VersionsError(f"maint-on was answered {answer!r}")
        await hand_in(client, UNTRIED)
        self._series = set(await figures(sender.operators))
        await asyncio.sleep(RECORDS_DELAY)
        client.close()
        sender.signal(signal.SIGKILL)
        await sender.ended()
        self._names = {path.name for path in self._state.iterdir()}
        self._check(set(FILES) <= self._names, f"the writer left {sorted(self._names)}, without some of {FILES}")
        self._check(not any(map(self._called, UNTRIED)), "the writer called an endpoint that was out by hand")

    async def _written(self) -> None:
        """Wait until each part that writes now and then has written all that was learned so far."""
        seen = {name: self._changed(name) for name in ("learned", "connections.json", "clients.json")}
        await until(
            lambda: all(self._changed(name) > before for name, before in seen.items()),
            WRITTEN,
            f"{', '.join(seen)} are written again",
        )

    def _changed(self, name: str) -> int:
        """When a file was last written, in nanoseconds; 0 where there is none."""
        path = self._state / name
        return path.stat().st_mtime_ns if path.exists() else 0

    # --- The commands of both versions on what the writer left.

    async def _compare_commands(self) -> None:
        """Each command that reads the folder must tell the same of what the writer left in both versions."""
        store = str(self._copy / "undeliverable.db")
        listing = ("undeliverable", "list", store, "--json")
        for words in (
            listing,
            ("undeliverable", "show", store, KEPT[0].name),
            ("connections", str(self._copy / "connections.json"), "--json"),
            ("clients", str(self._copy / "clients.json"), "--json"),
            audit_words(self._copy),
        ):
            told = [await command(root, *words) for root in (self._writer, self._reader)]
            self._check(told[0] == told[1], f"`linkdock {words[0]} {words[1]}` tells otherwise in the two versions")
        stored = {row["id"] for row in json.loads(await command(self._reader, *listing))}
        wanted = {one.name for one in (*KEPT, *UNCONFIRMED)}
        self._check(wanted <= stored, f"not in the store of undeliverable messages: {sorted(wanted - stored)}")

    # --- The reader's life.

    async def _read(self) -> None:
        """Go on from the folder with the other version, and see that every message ends as it must."""
        sender, members, agent = self._sender, self._members, self._agent
        written = {name: self._changed(name) for name in self._names}
        members.members[SILENT].answer()  # a call that must not be repeated would be seen
        agent.confirms = True
        sender.run_from(self._reader)
        await sender.start()
        await ready(sender.operators, MEMBERS)
        await self._ends(DOUBTFUL, "may have run, and has no notice")
        await self._ends(UNCONFIRMED, "was owed a notice, and has none")
        told = await figures(sender.operators)
        self._check(set(told) == self._series, f"other figures: {sorted(set(told) ^ self._series)}")
        self._check(told.get("edge_relay_out_of_rotation") == 1, "the endpoint that is out by hand is not out")
        self._check(not any(map(self._called, UNTRIED)), "an endpoint that is out by hand was called")
        await self._take_new_work()
        answer = await operate(sender.operators, f"maint-off m{OUT_BY_HAND}")
        self._check(answer.startswith("+OK"), f"maint-off was answered {answer!r}")
        await self._delivered(UNTRIED)
        await self._audit()  # it does not know of messages that are sent again, so before that
        await self._resent()
        await self._written()
        self._check(all(self._called(one) == 1 for one in DOUBTFUL), "what may have run went out once more")
        self._check(all(self._called(one) == 1 for one in DELIVERED), "what was delivered went out once more")
        self._check(await sender.stop() == 0, "the reader's end was not orderly")
        self._check_files(written)
        self._check_log()

    async def _take_new_work(self) -> None:
        """The reader delivers what comes now: its decisions have seen the list, and what they restored."""
        client = rig.Client(self._sender.port)
        try:
            await hand_in(client, NEW)
        finally:
            client.close()
        await self._delivered(NEW)

    async def _ends(self, orders: list[Order], finding: str) -> None:
        """Each of these ends by a notice at once."""
        notices = self._agent.notices
        try:
            await until(lambda: all(one.name in notices for one in orders), NOTICE, finding)
        except VersionsError:
            self.findings += [f"{one.name} of {one.cls} {finding}" for one in orders if one.name not in notices]

    async def _delivered(self, orders: list[Order]) -> None:
        """Each of these is delivered once, in the order of its key, under the key that its client gave."""
        try:
            await until(lambda: all(map(self._called, orders)), DELIVERY, "all are delivered")
        except VersionsError:
            self.findings += [f"{one.name} of {one.cls} is not delivered" for one in orders if not self._called(one)]
            return
        self.findings += [f"{one.name} went out {self._called(one)} times" for one in orders if self._called(one) > 1]
        first = [self._members.times[one.name][0] for one in orders if one.cls == "sequence"]
        self._check(first == sorted(first), "messages of one key went out in another order")
        for one in orders:
            if one.idempotency_key:
                keys = self._members.keys[one.name]
                self._check(keys == {one.idempotency_key}, f"{one.name} went out under the keys {sorted(keys)}")

    async def _resent(self) -> None:
        """What was kept as undeliverable is sent again by the reader once its member is there."""
        self._agent.change([list_row(SHUT, self._members.dial)])
        store = str(self._state / "undeliverable.db")
        await self._state_never_ran(store, [one.name for one in (*KEPT, *UNCONFIRMED)])
        await command(self._reader, "undeliverable", "resend", store, "--batch", "play", "--yes")
        await self._delivered([*KEPT, *UNCONFIRMED])

    async def _state_never_ran(self, store: str, names: list[str]) -> None:
        """Orders that were handed back are in doubt, as their clients may have handed them in anew; here none did."""
        for row in json.loads(await command(self._reader, "undeliverable", "list", store, "--json")):
            if row["id"] in names and row["in doubt"]:
                words = ("resolve", store, row["id"], "--never-ran", "--why", "no client handed it in again")
                try:
                    await command(self._reader, "undeliverable", *words)
                except VersionsError as bad:
                    self.findings.append(f"{row['id']} stays in doubt: {bad}")

    def _check_files(self, written: dict[str, int]) -> None:
        """The reader goes on in the writer's files, and makes none of other names."""
        now = {path.name for path in self._state.iterdir()}
        passing = ("-wal", "-shm")  # of the database, while it is open
        strays = {
            name
            for name in now ^ self._names
            if not name.endswith(passing) and not name.startswith("records.jsonl.")  # further parts of the records
        }
        self._check(not strays, f"files of one version alone: {sorted(strays)}")
        stale = [name for name in FILES if name != "cluster" and self._changed(name) <= written.get(name, 0)]
        self._check(not stale, f"the reader has not written {stale}")

    def _check_log(self) -> None:
        """The reader finds nothing wrong with the folder."""
        self.findings += [f"the reader's log: {line}" for line in problems(self._sender.text())]

    async def _audit(self) -> None:
        """The records of both lives are one record without a fault."""
        await asyncio.sleep(RECORDS_DELAY)
        words = audit_words(self._state)
        reports = [json.loads(await command(root, *words)) for root in (self._writer, self._reader)]
        self._check(reports[0] == reports[1], "`linkdock audit` tells otherwise in the two versions after the restart")
        self._check(not reports[1]["faults"], f"the audit found {reports[1]['faults']}")
        self._check(not reports[1]["passed_over"], f"the audit passed over {reports[1]['passed_over']} lines")


async def play(writer: str | None, reader: str | None) -> list[str]:
    """What the version in `reader` does not make of the folder of the one in `writer`, a line each."""
    async with asyncio.timeout(LONGEST):
        return await FolderPlay(writer, reader).run()
