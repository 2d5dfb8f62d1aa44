"""Clients that leave in the middle of their second command, beside one usual client."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import rig

HERE = Path(__file__).resolve().parent
CLIENTS = 60  # that come and leave, one after another
EVERY = 0.05  # seconds from one to the next
PAUSES = (0.0005, 0.001, 0.002, 0.003)  # seconds between a client's first command and the half one behind it, in turn


def play(case: rig.Case) -> list[str]:
    """The breaks of the rule that were seen."""
    endpoint = rig.Endpoint(case.record, "s-1", 1)
    platform = rig.Platform(case.record, [endpoint])
    endpoint.start()
    platform.start()
    listen = rig.free_address()
    sender = rig.Process(case, case.config(platform, listen), case.state(), "sender")
    sender.wait_ready(lambda: rig.answers_ping(listen))
    time.sleep(1.0)
    for number in range(CLIENTS):
        hand_in(case, listen, number)
        if sender.status is not None:
            return [f"the sender ended by itself with status {sender.status} after {number + 1} clients"]
        time.sleep(EVERY)
    time.sleep(1.0)
    if sender.status is not None:
        return [f"the sender ended by itself with status {sender.status}"]
    if not rig.answers_ping(listen):
        return ["the sender answers no PING"]
    return []


def hand_in(case: rig.Case, listen: str, number: int) -> None:
    """One client: a whole command, then half a command and a close; without the trouble it waits for its answer."""
    first = rig.enqueue(f"a{number:015x}", "preview-update", 6000, 1, b"first")
    second = rig.enqueue(f"b{number:015x}", "preview-update", 6000, 1, b"second")
    try:
        client = rig.Client(listen)
        if case.trouble:
            client.sock.sendall(first)
            time.sleep(PAUSES[number % len(PAUSES)])
            client.sock.sendall(second[: len(second) // 2])
            case.record(f"client {number}: one command, half a command, close")
        else:
            case.record(f"client {number}: one command, heard {client.ask(first)!r}")
        client.close()
    except OSError as bad:
        case.record(f"client {number}: {bad}")


rig.run(HERE, play)
