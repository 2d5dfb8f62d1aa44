"""Two upgrades, six and a half seconds apart, while one destination is silent, and what the folder that lasts holds.

A quarter of the orders goes to the silent destination, with bodies of 20 KB; they wait. The folder has the room that
the configuration names, and the two processes of an upgrade share it.
"""

from __future__ import annotations

import copy
import os
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import TROUBLE, run  # noqa: E402
from stand_ins.client import Client, enqueue  # noqa: E402
from stand_ins.endpoint import Endpoint  # noqa: E402
from stand_ins.platform import Agent  # noqa: E402
from stand_ins.record import Record  # noqa: E402
from stand_ins.sender import KILL_AFTER, SETTINGS, Sender  # noqa: E402

BODY, SMALL = 20_000, 100  # bytes of the bodies for the silent destination, and for others; 64 KiB are allowed
DEADLINE = 16_000  # milliseconds, the class's own
FEEDERS, EVERY = 2, 0.0167  # clients, and seconds from one order of each to its next: 120 a second at the most
DESTINATIONS = 4  # of one endpoint each; the first is silent
SILENT = 15.0  # seconds for which it is
WORK = 0.05  # seconds that the others work on a call
SENDERS = 3  # of the deployment, each with clients of its own
SLOTS = 4  # calls out at once, the least that a site tells
OPEN = 400  # messages that the sender may hold
FIRST, SECOND = 2.5, 9.0  # seconds from the beginning of the traffic to the start of each new process; each further
APART = 0.2  # sender is upgraded so many seconds later
TOGETHER = 2.0  # seconds from the new process's yes to SIGTERM for the old one
END = 15.5  # seconds from the beginning of the traffic to its end
LOOK = 0.01  # seconds between looks at the folder
BLOCK = 512  # bytes in which the files are counted
LONG = 0.5  # seconds on end over the limit, from which on it is no matter of a moment


class Folder:
    """Looks at the folder that lasts, all the time."""

    def __init__(self, record: Record, path: Path, most: int) -> None:
        """`most` bytes may lie in it."""
        self._record, self._path, self._most = record, path, most
        self.spans: list[tuple[float, int]] = []  # seconds on end over the limit, and the most that lay there then
        self.peak = (0, "")
        self._over = False
        threading.Thread(target=self._look, daemon=True).start()

    def _size(self) -> tuple[int, str]:
        found = {}
        for entry in os.scandir(self._path):
            try:
                found[entry.name] = -(-entry.stat().st_size // BLOCK) * BLOCK
            except FileNotFoundError:  # it has gone since
                continue
        return sum(found.values()), ", ".join(f"{name} {size}" for name, size in sorted(found.items()) if size > BLOCK)

    def _look(self) -> None:
        began = 0.0
        while True:
            try:
                size, files = self._size()
            except FileNotFoundError:  # the case is over, and the folder has gone
                return
            self.peak = max(self.peak, (size, files))
            if size > self._most:
                if not self._over:
                    began = self._record.note("folder", f"{size} bytes, over {self._most}: {files}")
                    self.spans.append((0.0, 0))
                self.spans[-1] = (self._record.now() - began, max(size, self.spans[-1][1]))
            elif self._over:
                self._record.note("folder", f"{size} bytes, no more over {self._most}")
            self._over = size > self._most
            time.sleep(LOOK)


def settings() -> dict:
    """A small deployment."""
    told = copy.deepcopy(SETTINGS)
    told["extra"]["calls-out"] = SLOTS
    told["limits"]["max-open"] = OPEN
    return told


def case(record: Record, folder: Path) -> list[str]:
    """The breaks of the rule."""
    until = record.now() + SILENT
    silent, answer = (lambda request: max(WORK, until - record.now())), (lambda request: WORK)
    endpoints = [
        Endpoint(record, f"s-east-{number}", number, silent if number == 1 else answer)
        for number in range(1, DESTINATIONS + 1)
    ]
    agent = Agent(record, endpoints)
    senders, broken = [], []
    for number in range(SENDERS):
        (folder / f"n{number}").mkdir()
        senders.append(Sender(record, agent, folder / f"n{number}", settings(), shared=True))
    try:
        with ThreadPoolExecutor(SENDERS) as plays:
            for found in plays.map(lambda n: _play(record, senders[n], n), range(SENDERS)):
                broken += found
    finally:
        for sender in senders:
            sender.close()
    return broken


def _play(record: Record, sender: Sender, number: int) -> list[str]:
    process = sender.start()
    folder, over = Folder(record, sender.state, int(sender.disk_mb * 1e6)), threading.Event()
    heard: dict[str, int] = {}
    names = [f"{number:x}d0021c6f1{feeder:02x}" for feeder in range(FEEDERS)]
    feeders = [threading.Thread(target=_feed, args=(record, sender, name, over, heard)) for name in names]
    began = record.now()
    for feeder in feeders:
        feeder.start()
    for at in (FIRST, SECOND):
        time.sleep(max(0.0, began + at + number * APART - record.now()))
        if TROUBLE:
            process = _upgrade(record, sender, process)
    time.sleep(max(0.0, began + END - record.now()))
    over.set()
    for feeder in feeders:
        feeder.join()
    record.note(
        "case",
        f"sender {number}: clients heard {heard}; at most {folder.peak[0]} bytes lay in the folder: {folder.peak[1]}",
    )
    if process.poll() is not None or heard.get("+OK", 0) < 10:
        raise RuntimeError("hardly an order was taken on, or the process has ended")
    return [
        f"{most} bytes lay in the folder of sender {number}, it was over its limit for {seconds:.2f} s on end"
        for seconds, most in folder.spans
        if seconds > LONG
    ]


def _upgrade(record: Record, sender: Sender, old: subprocess.Popen) -> subprocess.Popen:
    new = sender.start()
    time.sleep(TOGETHER)
    sender.terminate(old)
    told = record.now()
    while old.poll() is None and record.now() < told + KILL_AFTER:
        time.sleep(0.01)
    if old.poll() is None:
        sender.kill(old)
    record.note("platform", f"the old process ended {record.now() - told:.2f} s after it was told to")
    return new


def _feed(record: Record, sender: Sender, names: str, over: threading.Event, heard: dict[str, int]) -> None:
    """One order after another, each on a connection of its own; one that is turned away stays away."""
    number = 0
    while not over.wait(EVERY):
        number += 1
        name = f"{names}{number:04x}"
        try:
            client = Client(sender.dial)
            destination = number % DESTINATIONS + 1
            body = b"x" * (BODY if destination == 1 else SMALL)
            client.send(enqueue(name, "charge", DEADLINE, destination, body))
            said = (client.heard() or "nothing").split(" ")[0]
            client.close()
        except OSError:
            said = "the end of its connection"
        heard[said] = heard.get(said, 0) + 1
        record.note("client", f"handed in {name}, heard {said}")


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
