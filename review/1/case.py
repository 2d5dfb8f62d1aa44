"""Clumps of orders that go in the order of their keys, to a destination that takes several in a call.

The orders have no idempotency key. Endpoints are receivers that drop a repeat by idempotency key for some seconds.
Without the clumps the same orders come one by one, and each travels in a call of its own. Notices for another
destination come all the time.
"""

from __future__ import annotations

import base64
import copy
import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import TROUBLE, run  # noqa: E402
from stand_ins.client import Client, enqueue  # noqa: E402
from stand_ins.endpoint import Endpoint  # noqa: E402
from stand_ins.http import Line, Request  # noqa: E402
from stand_ins.platform import Agent  # noqa: E402
from stand_ins.record import Record  # noqa: E402
from stand_ins.sender import SETTINGS, Sender  # noqa: E402

SEVERAL = 20  # messages in a call at the most
CLUMP = 8  # orders of a clump, one of each key
CLUMPS = 3
KEY_GAP = 1.5  # seconds from one order of a key to its next
DROPS_FOR = 6.0  # seconds for which a receiver drops a repeat by its key
WORK = 0.33  # seconds that a call with orders takes,
QUICK = 0.13  # and one with a notice
EVERY = 0.025  # seconds from one notice to the next
DEADLINE = 8_000  # milliseconds
LATE = 0.35  # seconds after its time in which a message's end may come
KEYS = [f"00000000c0ffee{number:02x}" for number in range(1, CLUMP + 1)]


class Receiver(Endpoint):
    """Takes calls of one message and of several; one whose idempotency key it has had lately is done already."""

    def __init__(self, record: Record, name: str, destination: int, kind: str, work: float) -> None:
        """An endpoint of `destination`, of this kind; a call takes `work` seconds."""
        self.ran: set[str] = set()  # ids of the messages that took effect
        self.dropped: dict[str, str] = {}  # ids of those that were dropped as repeats: of which message
        self._had: dict[str, tuple[float, str]] = {}  # by idempotency key: when it came, and with which message
        super().__init__(record, name, destination, lambda request: work, kind)

    def _serve(self, line: Line) -> None:
        while (request := line.request()) is not None:
            messages = _messages(request)
            self._record.note(self.name, f"call with {', '.join(f'{one} key {key or None}' for one, key in messages)}")
            for one, key in messages:
                self._take(one, key)
            time.sleep(self._work(request))
            states = [{"id": one, "state": "done"} for one, _ in messages]
            body = json.dumps(states).encode() if request.path.endswith(":batch") else b""
            self._record.note(self.name, f"answer 200 for {', '.join(one for one, _ in messages)}")
            if not line.answer(200, None, body):
                break
        line.close()

    def _take(self, one: str, key: str) -> None:
        now = self._record.now()
        before = self._had.get(key) if key.strip("0") else None  # zeros are no key
        if before is not None and now < before[0] + DROPS_FOR:
            self.dropped[one] = before[1]
            self._record.note(self.name, f"{one} is dropped: a repeat of {before[1]} by its key {key}")
            return
        self._had[key] = now, one
        self.ran.add(one)
        self._record.note(self.name, f"run {one}")


def _messages(request: Request) -> list[tuple[str, str]]:
    """Id and idempotency key of each message in a call."""
    if not request.path.endswith(":batch"):
        return [(request.headers["x-trace-id"], request.headers.get("idempotency-key", ""))]
    told = json.loads(request.body)
    assert all(base64.b64decode(one["body"]) for one in told)
    return [(one["id"], one.get("key") or "") for one in told]


def settings() -> dict:
    """A small deployment whose orders go in the order of their keys, several in a call."""
    told = copy.deepcopy(SETTINGS)
    told["grades"] = [
        {
            "name": "notice",
            "idempotency": "idempotency_key",
            "group": "zone",
            "window": DROPS_FOR,
            "aim": 3.0,
            "hard-limit": 8.0,
        },
        {"name": "charge", "idempotency": "non_idempotent", "keep-order": True, "aim": 3.0, "hard-limit": 8.0},
    ]
    told["machine-types"] = ["heavy-user", "light-user"]
    told["extra"] |= {"bundle-max": [SEVERAL, 1], "separate-routes": [False, False]}
    return told


def case(record: Record, folder: Path) -> list[str]:
    """The breaks of the rule."""
    endpoint = Receiver(record, "s-east-1", 1, "heavy-user", WORK)
    agent = Agent(record, [endpoint, Receiver(record, "s-east-2", 2, "light-user", QUICK)])
    sender = Sender(record, agent, folder, settings())
    try:
        return _play(record, sender, agent, endpoint)
    finally:
        sender.close()


def _play(record: Record, sender: Sender, agent: Agent, endpoint: Receiver) -> list[str]:
    process = sender.start()
    time.sleep(1.0)
    taken: dict[str, float] = {}
    over = threading.Event()
    notices = threading.Thread(target=_notices, args=(record, sender, over))
    notices.start()
    for clump in range(CLUMPS):
        names = [f"4d0021c6f1{clump:02x}{number:04x}" for number in range(CLUMP)]
        clients = [
            threading.Thread(target=_hand_in, args=(record, sender, *one, taken))
            for one in zip(names, KEYS, strict=True)
        ]
        for client in clients:
            client.start()
            if not TROUBLE:
                time.sleep(WORK + 0.2)  # until the one before has been delivered
        for client in clients:
            client.join()
        time.sleep(KEY_GAP)
    over.set()
    notices.join()
    time.sleep(max(0.0, max(taken.values()) + DEADLINE / 1000 + LATE - record.now()))
    if process.poll() is not None or len(taken) < CLUMP:
        raise RuntimeError("hardly an order was taken on, or the process has ended")
    record.note("case", f"{len(taken)} taken on, {len(endpoint.ran)} run, {len(agent.notices)} ended by a notice")
    return [
        f"{one} was taken on and never run: it came with the idempotency key of {endpoint.dropped[one]}, and had none"
        for one in taken
        if one not in endpoint.ran and one not in agent.notices and one in endpoint.dropped
    ]


def _hand_in(record: Record, sender: Sender, name: str, key: str, taken: dict[str, float]) -> None:
    """One client, which hands in one order of a key; it names no idempotency key."""
    client = Client(sender.dial)
    at = record.now()
    client.send(enqueue(name, "charge", DEADLINE, 1, b"order " + name.encode(), key))
    heard = client.heard()
    record.note("client", f"handed in {name} of the order key {key}, heard {heard}")
    if heard == "+OK":
        taken[name] = at
    client.close()


def _notices(record: Record, sender: Sender, over: threading.Event) -> None:
    """Another client, which hands in notices for another destination, each with an idempotency key of its own."""
    client, number = Client(sender.dial), 0
    while not over.wait(EVERY):
        number += 1
        name, own = f"7f3a9c21e0{number:06x}", f"5c0f6e1a2b{number:06x}"
        client.send(enqueue(name, "notice", DEADLINE, 2, b"notice", idempotency_key=own))
        record.note("client", f"handed in {name} with the idempotency key {own}, heard {client.heard()}")
    client.close()


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
