"""An upgrade while one endpoint hangs and connections to others come up late: does each order get its end in time?"""

from __future__ import annotations

import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import rig

HERE = Path(__file__).resolve().parent
ORDERS = 4
TIME = 3.2  # seconds that each order may still be delivered
HANGS = 6.0  # and the order to the endpoint that hangs
BEFORE = 0.7  # seconds from the orders to SIGTERM
LATE_UNTIL = 1.2  # seconds after SIGTERM until which connections are not let in
GRACE = 0.5 + 0.05  # seconds after a request's time in which its end still counts


class LateEndpoint(rig.Endpoint):
    """An endpoint to which connections come up late: until `open` its queue of new connections is full."""

    def __init__(self, record: rig.Record, name: str, block: int) -> None:
        """Fill the queue with a connection of its own."""
        super().__init__(record, name, block, sock=rig.listen(backlog=0))
        self._filler = socket.create_connection(self.sock.getsockname())

    def open(self) -> None:
        """Let connections in from now on, those that wait first."""
        self._filler.close()
        self.sock.listen(128)
        self.start()
        self.record(f"{self.name}: lets connections in")


def play(case: rig.Case) -> list[str]:
    """The breaks of the rule that were seen."""
    hanging = rig.Endpoint(case.record, "s-hangs", 1)
    late = [LateEndpoint(case.record, f"s-late-{n}", 2) for n in (1, 2)]
    usual = rig.Endpoint(case.record, "s-usual", 3)

    def hang(connection: rig.HttpConnection, call: rig.Call) -> bool:
        case.record(f"{hanging.name}: call with {call.id}, hangs")
        connection.read()  # until the sender closes
        return True

    hanging.decide = hang
    platform = rig.Platform(case.record, [hanging, *late, usual])
    for server in (hanging, usual, platform):
        server.start()
    clients = rig.listen()
    where, accept = rig.address(clients), rig.inheritable(clients)
    admins = [rig.free_address(), rig.free_address()]
    state = case.state()

    def start(n: int) -> rig.Process:
        config = case.config(platform, where, admin_addr=admins[n])
        process = rig.Process(case, config, state, ("old", "new")[n], accept)
        process.wait_ready(lambda: rig.operator(admins[n], "status").startswith("+OK"))
        return process

    old = start(0)
    time.sleep(1.0)
    client = rig.Client(where)  # kept: the old process has it
    said = client.ask(rig.enqueue("0" * 16, "preview-update", 6000, 3, b"first"))
    if said != "+OK":
        raise rig.NotRunError(f"the first message heard {said!r}")
    if case.trouble:
        start(1)
    due: dict[str, float] = {}

    def hand_in(message: str, block: int, seconds: float) -> None:
        began = time.monotonic()
        said = client.ask(rig.enqueue(message, "licence-order", int(1000 * seconds), block, b"order", ",again=1"))
        case.record(f"client: order {message} for {block}, {seconds} s left, heard {said!r}")
        if said == "+OK":
            due[message] = began + seconds

    hand_in("a" * 16, 1, HANGS)
    for n in range(ORDERS):
        hand_in(f"b{n:015x}", 2, TIME)
    if len(due) < ORDERS + 1:
        raise rig.NotRunError("not all orders were taken on")
    time.sleep(BEFORE)
    began = time.monotonic()
    if case.trouble:
        old.send(signal.SIGTERM)
    time.sleep(LATE_UNTIL)
    for endpoint in late:
        endpoint.open()
    time.sleep(max(0.0, began + rig.SIGKILL_AFTER - time.monotonic()))
    if case.trouble and old.status is None:
        old.send(signal.SIGKILL)
    time.sleep(max(0.0, max(due.values()) + 1.0 - time.monotonic()))
    client.close()
    return list(judge(case, due, [*late, usual], platform))


def judge(case: rig.Case, due: dict[str, float], endpoints: list[rig.Endpoint], platform: rig.Platform) -> list[str]:
    """Each order that was taken on and had no end in time."""
    ends = {message: at for message, (at, _) in platform.notices.items()}
    for endpoint in endpoints:
        for at, message, _ in endpoint.runs:
            ends[message] = min(at, ends.get(message, at))
    broken = []
    for message, until in due.items():
        end = ends.get(message)
        late = None if end is None else end - until
        case.record(f"{message}: " + ("no end" if late is None else f"its end came {late:+.3f} s after its time"))
        if late is None or late > GRACE:
            broken.append(f"{message} was taken on; " + ("no end" if late is None else f"end {late:.2f} s late"))
    return broken


rig.run(HERE, play)
