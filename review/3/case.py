"""Usual clients that send many commands at once: the next are written before the answer to the first.

Twelve requests come on one connection in one piece. Each is whole and can be taken.
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
from stand_ins.sender import SETTINGS, Sender  # noqa: E402

AT_ONCE = 12  # requests that a client writes without waiting; the bench's clients wrote up to 15
CLIENTS = 5
DEADLINE = 4.0  # seconds
LATE = 0.5  # seconds after a request's time in which its answer only earns nothing
WORK = 0.02  # seconds that the endpoint works on a call


def case(record: Record, folder: Path) -> list[str]:
    """The breaks of the rule."""
    endpoint = Endpoint(record, "s-east-1", 1, lambda request: WORK)
    agent = Agent(record, [endpoint])
    sender = Sender(record, agent, folder, SETTINGS)
    try:
        sender.start()
        time.sleep(1.0)
        return [broken for number in range(CLIENTS) for broken in _client(record, sender, number)]
    finally:
        sender.close()


def _client(record: Record, sender: Sender, number: int) -> list[str]:
    """One client and its requests: without the disruption it waits for each answer before it writes the next."""
    names = [f"9b1f03aa5c{number:02x}{one:04x}" for one in range(AT_ONCE)]
    client, answered, ended = Client(sender.dial), [], ""
    until = record.now() + DEADLINE + LATE
    try:
        for group in [names] if TROUBLE else [[name] for name in names]:
            client.send(b"".join(enqueue(name, "news", int(DEADLINE * 1000), 1, b"body") for name in group))
            record.note("client", f"{number} wrote {' '.join(group)}")
            for name in group:
                heard = client.heard(max(0.001, until - record.now()))
                if heard is None:
                    break
                answered.append(name)
                record.note("client", f"{number} heard for {name}: {heard}")
    except ConnectionError:
        ended = ", and its connection was ended"
        record.note("client", f"{number}: its connection was ended, {len(answered)} of {AT_ONCE} were answered")
    client.close()
    missing = [name for name in names if name not in answered]
    return [f"client {number}: {len(missing)} of {AT_ONCE} requests got no answer{ended}"] if missing else []


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, case)
