"""Second copies of answers over a network with the deployment's delays: is each order run once, or ended?"""

from __future__ import annotations

import collections
import queue
import random
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import rig

HERE = Path(__file__).resolve().parent
ORDERS = 2400
EVERY = 1 / 60  # seconds from one order to the next
DEADLINE = 16.0  # seconds of an order
SLOTS = 12  # calls that the sender may have out
ONE_WAY = 0.068  # seconds that the network takes between the two buildings, in the mean,
JITTER = 0.27  # and the part of it within which that varies
TOOK = (0.03, 0.06)  # seconds of a call at the endpoint
REFUSED = 8  # one call of so many is refused
BEHIND = 0.003  # seconds from an answer to its second copy
REPORT = "x0=0.5,x1=200"


class SlowNetwork:
    """Passes on between a sender and an endpoint: all that is written on one side comes later, and in its order."""

    def __init__(self, endpoint: rig.Endpoint) -> None:
        """Listen for the sender; each connection gets one to `endpoint`."""
        self._sock, self._endpoint, self._random = rig.listen(), endpoint.sock.getsockname(), random.Random(7)
        self.dial = rig.address(self._sock)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sender = self._sock.accept()[0]
            endpoint = socket.create_connection(self._endpoint)
            for source, sink in ((sender, endpoint), (endpoint, sender)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                under_way: queue.Queue[tuple[float, bytes]] = queue.Queue()
                threading.Thread(target=self._take, args=(source, under_way), daemon=True).start()
                threading.Thread(target=self._bring, args=(sink, under_way), daemon=True).start()

    def _take(self, source: socket.socket, under_way: queue.Queue) -> None:
        due, data = 0.0, b"-"
        while data:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            delay = ONE_WAY * (1 + JITTER * (self._random.random() - 0.5))
            due = max(due, time.monotonic() + delay)
            under_way.put((due, data))

    @staticmethod
    def _bring(sink: socket.socket, under_way: queue.Queue) -> None:
        while True:
            due, data = under_way.get()
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return


class CopyingEndpoint(rig.Endpoint):
    """Runs orders or refuses them. Behind each 200 it writes a second copy, if nothing waits on the connection."""

    def __init__(self, record: rig.Record, copies: bool) -> None:
        """`copies`: whether it writes any."""
        super().__init__(record, "s-1", 1)
        self._copies, self._random, self._calls = copies, random.Random(8), 0
        self.public_dial = ""  # where the sender reaches it

    def row(self, health: str = "ready") -> dict:
        """Its row in discovery's list."""
        return {**super().row(health), "dial": self.public_dial, "site": "building-b"}

    def handle(self, connection: rig.HttpConnection, call: rig.Call) -> None:
        """Serve one call."""
        self._calls += 1
        if self._calls % REFUSED == 0:
            self.record(f"s-1: call with {call.id}, 503")
            connection.answer(503, Endpoint_Load_Metrics=REPORT)
            return
        self.record(f"s-1: call with {call.id}")
        time.sleep(self._random.uniform(*TOOK))
        self.runs.append((time.monotonic(), call.id, call.body))
        self.record(f"s-1: {call.id} has run, 200")
        connection.answer(200, Endpoint_Load_Metrics=REPORT)
        if self._copies:
            time.sleep(BEHIND)
            if not waits(connection.sock):
                self.record("s-1: a second copy of that 200")
                connection.answer(200, Endpoint_Load_Metrics=REPORT)


def waits(sock: socket.socket) -> bool:
    """Whether anything has come on a connection."""
    sock.setblocking(False)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False
    finally:
        sock.setblocking(True)


def play(case: rig.Case) -> list[str]:
    """The breaks of the rule that were seen."""
    endpoint = CopyingEndpoint(case.record, copies=case.trouble)
    endpoint.public_dial = SlowNetwork(endpoint).dial
    platform = rig.Platform(case.record, [endpoint])
    endpoint.start()
    platform.start()
    listen = rig.free_address()
    told = rig.settings()
    told["extra"] = {**told["extra"], "calls-out": SLOTS}
    sender = rig.Process(case, case.config(platform, listen, settings=told), case.state(), "sender")
    sender.wait_ready(lambda: rig.answers_ping(listen))
    time.sleep(1.0)
    client, taken = rig.Client(listen), []
    for number in range(ORDERS):
        began, message = time.monotonic(), f"{number:016x}"
        body = f"order {number}".encode()
        said = client.ask(rig.enqueue(message, "licence-order", int(1000 * DEADLINE), 1, body))
        case.record(f"client: {message}, heard {said!r}")
        if said == "+OK":
            taken.append(message)
        elif not said.startswith("-BUSY"):
            raise rig.NotRunError(f"{message} heard {said!r}")
        time.sleep(max(0.0, began + EVERY - time.monotonic()))
    time.sleep(DEADLINE + 2.0)
    if sender.status is not None:
        raise rig.NotRunError(f"the sender has ended with status {sender.status}")
    runs = collections.Counter(message for _, message, _ in endpoint.runs)
    case.record(f"{len(taken)} orders taken on, {sum(runs.values())} runs, {len(platform.notices)} notices")
    broken = [f"{message} ran {count} times" for message, count in runs.items() if count > 1]
    broken += [
        f"{message} was taken on, has not run and was not ended by a notice"
        for message in taken
        if not runs[message] and message not in platform.notices
    ]
    return broken


rig.run(HERE, play)
