"""A restart by SIGKILL while a call with an order of a key is out, and the next order of that key.

The connection of the first call breaks with the process, so that it may be running still; the key has to rest before
the next order goes out.
"""

from __future__ import annotations

import copy
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import TROUBLE, run  # noqa: E402
from stand_ins.client import Client, enqueue  # noqa: E402
from stand_ins.endpoint import Endpoint  # noqa: E402
from stand_ins.platform import Agent  # noqa: E402
from stand_ins.record import Record  # noqa: E402
from stand_ins.sender import SETTINGS, Sender  # noqa: E402

WORK = 0.58  # seconds that the endpoint works on a call: the longest that a site tells of such a class at usual pace
SETTLE = 2.0  # `rules.settle-after-doubt` of this deployment
RESTART_AFTER = 0.6  # seconds from SIGKILL to the next start
KEY = "00000000c0ffee01"
FIRST, SECOND = "4d0021c6f1a80001", "4d0021c6f1a80002"
DEADLINE = 16_000  # milliseconds


def settings() -> dict:
    """A small deployment whose orders go in the order of their keys."""
    told = copy.deepcopy(SETTINGS)
    told["grades"][1]["keep-order"] = True
    told["rules"]["settle-after-doubt"] = SETTLE
    return told


def case(record: Record, folder: Path) -> list[str]:
    """The breaks of the rule."""
    endpoint = Endpoint(record, "s-east-1", 1, lambda request: WORK)
    agent = Agent(record, [endpoint])
    sender = Sender(record, agent, folder, settings())
    try:
        return _play(record, sender, endpoint)
    finally:
        sender.close()


def _play(record: Record, sender: Sender, endpoint: Endpoint) -> list[str]:
    process = sender.start()
    time.sleep(1.0)
    client = Client(sender.dial)
    for name in (FIRST, SECOND):
        client.send(enqueue(name, "charge", DEADLINE, 1, b"order", KEY))
        heard = client.heard()
        record.note("client", f"handed in {name} of key {KEY}, heard {heard}")
        if heard != "+OK":
            raise RuntimeError("an order was not taken on")
    time.sleep(WORK / 3)
    if TROUBLE:
        sender.kill(process)
        time.sleep(RESTART_AFTER)
        process = sender.start()
    until = time.monotonic() + SETTLE + 3 * WORK
    while not endpoint.runs_of(SECOND) and time.monotonic() < until:
        time.sleep(0.01)
    first, second = endpoint.runs_of(FIRST), endpoint.runs_of(SECOND)
    if len(first) != 1 or not first[0].ended or process.poll() is not None:
        raise RuntimeError("the first order was not run once")
    if not second:
        record.note("case", f"{SECOND} was not sent")
        return []
    rested = second[0].began - first[0].ended[0]
    record.note("case", f"{SECOND} was sent {rested:.3f} s after the call with {FIRST} had ended")
    if TROUBLE and rested < SETTLE:
        return [f"{SECOND} was sent {rested:.2f} s after the call with {FIRST} was reset; its key rests {SETTLE} s"]
    return []


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
