"""An upgrade while much is held, and bad clients that use the ids of other clients' open requests.

Orders come in a burst and wait for their turn. A new process is started and says yes, the old one is told to end and
hands over what waits. Meanwhile bad clients hand in requests with ids of orders that wait.
"""

from __future__ import annotations

import copy
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import TROUBLE, run  # noqa: E402
from stand_ins.client import Client, enqueue  # noqa: E402
from stand_ins.endpoint import Endpoint  # noqa: E402
from stand_ins.platform import Agent  # noqa: E402
from stand_ins.record import Record  # noqa: E402
from stand_ins.sender import KILL_AFTER, SETTINGS, Sender  # noqa: E402

ORDERS, EVERY = 400, 0.01  # orders of the burst, and seconds from one to the next: 100 a second at the most
WORK = 0.36  # seconds that the endpoint works on a call: the usual pace of a site's classes is 0.21 to 0.36 s
SLOTS = 4  # calls out at once
DEADLINE = 12.0  # seconds
LATE = 0.35  # seconds after an order's time in which its end may come; what has none
NEVER = 2.0  # so many seconds later has none at all
BAD_CLIENTS = 8
BAD_FOR = 1.0  # seconds from SIGTERM for which they go on
USUAL, BAD = b"order of the usual client", b"bytes of a bad client"


def settings() -> dict:
    """A small deployment."""
    told = copy.deepcopy(SETTINGS)
    told["extra"]["calls-out"] = SLOTS
    told["limits"]["max-open"] = 2 * ORDERS
    told["grades"][1]["hard-limit"] = DEADLINE
    return told


def case(record: Record, folder: Path) -> list[str]:
    """The breaks of the rule."""
    endpoint = Endpoint(record, "s-east-1", 1, lambda request: WORK, takes=lambda request: request.body == USUAL)
    agent = Agent(record, [endpoint])
    sender = Sender(record, agent, folder, settings(), shared=True)
    try:
        return _play(record, sender, agent, endpoint)
    finally:
        sender.close()


def _play(record: Record, sender: Sender, agent: Agent, endpoint: Endpoint) -> list[str]:
    old = sender.start()
    time.sleep(1.0)
    taken = _burst(record, sender)
    new = sender.start()
    over = threading.Event()
    bad = [threading.Thread(target=_misuse, args=(record, sender, n, list(taken), over)) for n in range(BAD_CLIENTS)]
    for client in bad if TROUBLE else ():
        client.start()
    sender.terminate(old)
    told = record.now()
    time.sleep(BAD_FOR)
    over.set()
    while old.poll() is None and record.now() < told + KILL_AFTER:
        time.sleep(0.01)
    if old.poll() is None:
        sender.kill(old)
    record.note("platform", f"the old process ended {record.now() - told:.2f} s after it was told to")
    time.sleep(max(0.0, max(taken.values(), default=0.0) + DEADLINE + LATE + NEVER - record.now()))
    if new.poll() is not None or len(taken) < ORDERS // 2:
        raise RuntimeError("hardly an order was taken on, or the new process has ended")
    ended = [one for one in taken if endpoint.runs_of(one) or one in agent.notices]
    record.note("case", f"{len(taken)} orders taken on, {len(ended)} of them run or ended by a notice")
    return [f"order {one} was taken on, and neither run nor ended by a notice" for one in taken if one not in ended]


def _burst(record: Record, sender: Sender) -> dict[str, float]:
    """The usual client: it waits for each answer. The orders that were taken on, and when each was handed in."""
    taken, client = {}, Client(sender.dial)
    for number in range(ORDERS):
        name, at = f"7f3a9c21e0b{number:05x}", record.now()
        client.send(enqueue(name, "charge", int(DEADLINE * 1000), 1, USUAL))
        heard = client.heard()
        record.note("client", f"handed in {name}, heard {heard}")
        if heard == "+OK":
            taken[name] = at
        time.sleep(EVERY)
    client.close()
    return taken


def _misuse(record: Record, sender: Sender, number: int, names: list[str], over: threading.Event) -> None:
    """A bad client: at full speed it hands in requests with ids of other clients' open requests."""
    drawn = random.Random(number)
    while not over.is_set():
        name = drawn.choice(names)
        try:
            client = Client(sender.dial)
            client.send(enqueue(name, "charge", int(DEADLINE * 1000), 1, BAD))
            heard = client.heard()
            client.close()
        except OSError:
            heard = "the end of its connection"
        record.note(f"bad client {number}", f"used the id {name}, heard {heard}")


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
