"""An upgrade, and a bad client that uses the id of another client's open request.

A request with an order (a class that must never take effect twice) is open at the old process, its call is out. The new
process runs beside it. A bad client hands in a request with that id.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import TROUBLE, run  # noqa: E402
from stand_ins.client import Client, enqueue  # noqa: E402
from stand_ins.endpoint import Endpoint  # noqa: E402
from stand_ins.platform import Agent  # noqa: E402
from stand_ins.record import Record  # noqa: E402
from stand_ins.sender import KILL_AFTER, SETTINGS, Sender  # noqa: E402

WORK = 0.36  # seconds that the endpoint works on a call: the usual pace of a site's classes is 0.21 to 0.36 s
ORDERS = [f"7f3a9c21e0b4d{number:03x}" for number in range(8)]
DEADLINE = 16_000  # milliseconds
YES_WITHIN = 6.0  # seconds after which the old process is told to end
TOGETHER = 0.6  # seconds from one order to the next
USES = 6  # connections on which the bad client uses one id, one after another


def case(record: Record, folder: Path) -> list[str]:
    """The breaks of the rule."""
    endpoint = Endpoint(record, "s-east-1", 1, lambda request: WORK)
    agent = Agent(record, [endpoint])
    sender = Sender(record, agent, folder, SETTINGS, shared=True)
    try:
        return _play(record, sender, endpoint)
    finally:
        sender.close()


def _play(record: Record, sender: Sender, endpoint: Endpoint) -> list[str]:
    old = sender.start()
    time.sleep(1.0)
    began = record.now()
    new = sender.start()
    taken = []
    for name in ORDERS:
        taken += _hand_in(record, sender, name)
        if TROUBLE:
            _misuse(record, sender, name)
        time.sleep(TOGETHER - WORK if TROUBLE else TOGETHER)
    time.sleep(max(0.0, began + YES_WITHIN - record.now()))
    sender.terminate(old)
    time.sleep(KILL_AFTER)
    if old.poll() is None:
        sender.kill(old)
    record.note("case", f"old process {old.poll()}, new process {new.poll()}")
    if len(taken) < len(ORDERS) // 2 or new.poll() is not None:
        raise RuntimeError("hardly an order was taken on, or the new process has ended")
    return [
        f"order {name} was run {len(endpoint.runs_of(name))} times" for name in taken if len(endpoint.runs_of(name)) > 1
    ]


def _hand_in(record: Record, sender: Sender, name: str) -> list[str]:
    """The usual client: one request, and a wait for its answer."""
    client = Client(sender.dial)
    client.send(enqueue(name, "charge", DEADLINE, 1, b"order of the usual client"))
    heard = client.heard()
    record.note("client", f"handed in {name}, heard {heard}")
    client.close()
    return [name] if heard == "+OK" else []


def _misuse(record: Record, sender: Sender, name: str) -> None:
    """The bad client: while that request is open it hands in one with its id."""
    for _ in range(USES):
        time.sleep(WORK / 2 / USES)
        client = Client(sender.dial)
        client.send(enqueue(name, "charge", DEADLINE, 1, b"bytes of the bad client"))
        try:
            heard = client.heard()
        except OSError:
            heard = "the end of its connection"
        record.note("bad client", f"used the id {name}, heard {heard}")
        client.close()


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
