"""Many bad clients at full speed: does the sender stay within its memory?

Left out of the cases, of which there are five at most; it is played as they are, TROUBLE=0 included.
"""

from __future__ import annotations

import re
import selectors
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import rig

HERE = Path(__file__).resolve().parent
CLIENTS = 300
MEMORY_MB = 64  # of 32 to 192
SOCKETS = 1024  # of 256 to 1,024
LARGE = 60_000  # bytes of a body
COUNT = 12  # commands of that size that a client sends at once
LOOK_EVERY = 0.01  # seconds between looks at the memory
PIECE = 65536  # bytes that a client writes or reads at once
OF_ITS_OWN = re.compile(r"^(?:RssAnon|RssShmem):\s+(\d+) kB", re.M)  # of /proc/PID/status; mapped files do not count


class Memory:
    """The platform's look at a process's memory: it is killed once it has more than its limit."""

    def __init__(self, case: rig.Case, sender: rig.Process) -> None:
        """Begin to look."""
        self.most = 0.0  # MB
        self.killed = False
        self._case, self._sender = case, sender
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        said, path = 0.0, Path(f"/proc/{self._sender.popen.pid}/status")
        while self._sender.status is None:
            now_mb = sum(int(kb) for kb in OF_ITS_OWN.findall(path.read_text())) * 1024 / 1e6
            self.most = max(self.most, now_mb)
            if abs(now_mb - said) >= 4:
                self._case.record(f"platform: the sender has {now_mb:.1f} MB")
                said = now_mb
            if now_mb > MEMORY_MB:
                self.killed = True
                self._case.record(f"platform: more than memory_mb ({MEMORY_MB}): killed")
                self._sender.popen.kill()
                return
            time.sleep(LOOK_EVERY)


def play(case: rig.Case) -> list[str]:
    """The breaks of the rule that were seen."""
    endpoint = rig.Endpoint(case.record, "s-1", 1, took=0.05)
    platform = rig.Platform(case.record, [endpoint])
    endpoint.start()
    platform.start()
    listen = rig.free_address()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": 3}
    sender = rig.Process(case, case.config(platform, listen, limits=limits), case.state(), "sender")
    sender.wait_ready(lambda: rig.answers_ping(listen))
    time.sleep(1.0)
    memory = Memory(case, sender)
    if case.trouble:
        flood(case, listen)
    else:
        usual(case, listen)
    time.sleep(1.0)
    case.record(f"platform: at the most {memory.most:.1f} MB of {MEMORY_MB}")
    if memory.killed:
        return [f"the sender took {memory.most:.1f} MB of the {MEMORY_MB} that it has, and was killed for it"]
    if sender.status is not None:
        return [f"the sender ended by itself with status {sender.status}"]
    return []


def usual(case: rig.Case, listen: str) -> None:
    """As many connections, each with one good command."""
    clients = [rig.Client(listen) for _ in range(CLIENTS)]
    heard = [
        client.ask(rig.enqueue(f"{number:016x}", "preview-update", 6000, 1, b"body"), 1.0)
        for number, client in enumerate(clients)
    ]
    case.record(f"clients: heard {sorted(set(heard))}")
    for client in clients:
        client.close()


def flood(case: rig.Case, listen: str) -> None:
    """Clients that send what cannot be taken, as fast as they can, and read all that they are sent."""
    small = rig.enqueue("f" * 16, "no-such-class", 6000, 1, b"body")
    large = rig.enqueue("f" * 16, "no-such-class", 6000, 1, b"z" * LARGE)
    data = small + COUNT * large
    host, _, port = listen.rpartition(":")
    selector = selectors.DefaultSelector()
    for _ in range(CLIENTS):
        try:
            sock = socket.create_connection((host, int(port)), 1.0)
        except OSError as bad:
            case.record(f"clients: not connected: {bad}")
            continue
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, [0])
    case.record(f"clients: {len(selector.get_map())} send {COUNT} commands of {LARGE} bytes each")
    until = time.monotonic() + 6.0
    while selector.get_map() and time.monotonic() < until:
        for key, events in selector.select(0.05):
            advance(selector, key, events, data)
    case.record(f"clients: {len(selector.get_map())} connections are still open")
    for key in list(selector.get_map().values()):
        key.fileobj.close()


def advance(selector: selectors.BaseSelector, key: selectors.SelectorKey, events: int, data: bytes) -> None:
    """Read what there is for one client, and write on; its data is how much it has written."""
    sock, at = key.fileobj, key.data
    try:
        if events & selectors.EVENT_READ and not sock.recv(PIECE):
            raise ConnectionError
        if events & selectors.EVENT_WRITE:
            at[0] += sock.send(data[at[0] : at[0] + PIECE])
            if at[0] == len(data):
                selector.modify(sock, selectors.EVENT_READ, at)
    except BlockingIOError:
        pass
    except OSError:
        selector.unregister(sock)
        sock.close()


rig.run(HERE, play)
