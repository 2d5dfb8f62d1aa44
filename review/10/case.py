"""Orders during an outage, then a resend by the operators' page: does each order take effect once?"""

from __future__ import annotations

import collections
import json
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import rig

HERE = Path(__file__).resolve().parent
ORDERS = 16
EVERY = 0.1  # seconds from one order to the next
OUTAGE = 6.0  # seconds for which the member refuses connections
MAX_OPEN = 12  # messages that the sender holds
RETRIES = 2  # of a client after a refusal,
BACKOFF = 0.7  # seconds after which it comes again, if no other time is told
SETTLED = 30.0  # seconds that all orders have for their ends


class Buyer:
    """A client with one order. After a refusal it hands the order in again, as a message with a new id."""

    def __init__(self, case: rig.Case, where: str, platform: rig.Platform, number: int) -> None:
        """Begin in a thread."""
        self._case, self._where, self._platform, self._number = case, where, platform, number
        self.body = f"order {number}".encode()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        until = time.monotonic() + 16.0
        for attempt in range(1 + RETRIES):
            left = until - time.monotonic()
            message = f"{self._number:08x}{attempt:08x}"
            client = rig.Client(self._where)
            mark = ",r=1" if attempt else ""
            said = client.ask(rig.enqueue(message, "licence-order", int(1000 * left), 2, self.body, mark))
            client.close()
            self._case.record(f"client: {self.body.decode()} as {message}, heard {said!r}")
            if said == "+OK" and not self._refused(message, until):
                return
            if not said.startswith(("+OK", "-BUSY")):
                return
            wait = int(said.split()[1]) / 1000 if said.startswith("-BUSY ") else BACKOFF
            time.sleep(wait)

    def _refused(self, message: str, until: float) -> bool:
        """Whether the platform hears that the message is deferred, which it tells its client."""
        while time.monotonic() < until + 1.0:
            notice = self._platform.notices.get(message)
            if notice is not None:
                return notice[1] == "deferred"
            if message in self._case.delivered:
                return False
            time.sleep(0.01)
        return False


def play(case: rig.Case) -> list[str]:
    """The breaks of the rule that were seen."""
    try:
        import click  # noqa: F401
        import msgspec  # noqa: F401
    except ImportError as bad:
        raise rig.NotRunError(f"review/build-2.sh has not installed requirements-console.txt: {bad}") from None
    (case.folder / "deploy" / "undeliverable.json").write_text('{"on": true}')
    sock = socket.socket()
    sock.bind((rig.HOST, 0))  # it refuses until it listens
    member = rig.Endpoint(case.record, "s-2", 2, took=0.2, sock=sock)
    case.delivered = set()

    def serve(connection: rig.HttpConnection, call: rig.Call) -> bool:
        case.record(f"s-2: call with {call.id}")
        time.sleep(member.took)
        member.runs.append((time.monotonic(), call.id, call.body))
        case.record(f"s-2: {call.id} has run: {call.body.decode()}; 200")
        connection.answer(200)
        case.delivered.add(call.id)
        return True

    member.decide = serve
    platform = rig.Platform(case.record, [member])
    platform.start()
    listen, state = rig.free_address(), case.state()
    told = rig.settings()
    told["limits"] = {**told["limits"], "max-open": MAX_OPEN}
    sender = rig.Process(case, case.config(platform, listen, settings=told), state, "sender")
    sender.wait_ready(lambda: rig.answers_ping(listen))
    time.sleep(1.0)
    began = time.monotonic()

    def up() -> None:
        sock.listen(128)
        member.start()
        case.record("s-2: takes connections")

    if not case.trouble:
        up()
    buyers = []
    for number in range(ORDERS):
        buyers.append(Buyer(case, listen, platform, number))
        time.sleep(EVERY)
    if case.trouble:
        time.sleep(began + OUTAGE - time.monotonic())
        up()
    for buyer in buyers:
        buyer.thread.join(max(0.1, began + SETTLED - time.monotonic()))
    time.sleep(3.0)
    before = len(member.runs)
    operate(case, state / "undeliverable.db")
    time.sleep(15.0)
    case.record(f"s-2: {before} runs before the resend, {len(member.runs)} in all")
    if sender.status is not None:
        raise rig.NotRunError("the sender has ended")
    times = collections.Counter(body for _, _, body in member.runs)
    return [f"{body.decode()} took effect {count} times" for body, count in sorted(times.items()) if count > 1]


def operate(case: rig.Case, store: Path) -> None:
    """Step 2 of docs/operate/undeliverable.md, "The day after an outage"."""
    words = ["resend", str(store), "--destination", "2", "--no-doubt", "--yes", "--batch", "outage", "--json"]
    done = subprocess.run(
        [sys.executable, "-m", "linkdock.console", "undeliverable", *words],
        cwd=rig.ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    case.record(f"operator: {' '.join(words[2:])}: {done.returncode} {done.stdout.strip()} {done.stderr.strip()}")
    if done.returncode:
        raise rig.NotRunError(f"resend: {done.stderr}")
    case.record(f"operator: in line: {json.loads(done.stdout)['in line']}")


rig.run(HERE, play)
