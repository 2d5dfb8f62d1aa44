"""An endpoint of a destination: it takes calls of one message, works on each for a while, and answers."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from .http import Line, Request, address, listen
from .record import Record


class Run(NamedTuple):
    """One call that came whole, and was run."""

    id: str
    body: bytes
    began: float
    ended: list[float]  # when its answer was written or its connection ended, whichever was first; empty until then


class Endpoint:
    """Runs every call that comes to it. A call whose connection ends runs on, and its work takes as long."""

    def __init__(
        self,
        record: Record,
        name: str,
        destination: int,
        work: Callable[[Request], float],
        kind: str = "plain",
        takes: Callable[[Request], bool] = lambda request: True,
    ) -> None:
        """`work` says for how many seconds a call is worked on, `kind` what the list calls its class.

        What it does not take it answers with 400, and does not run it.
        """
        self._record, self.name, self.destination, self._work = record, name, destination, work
        self._kind, self._takes = kind, takes
        self.runs: list[Run] = []
        self._sock = listen()
        self.address = address(self._sock)
        threading.Thread(target=self._accept, daemon=True).start()

    def row(self) -> dict:
        """Its entry in the list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "east",
            "class": self._kind,
            "block": self.destination,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }

    def _accept(self) -> None:
        while True:
            sock, _ = self._sock.accept()
            threading.Thread(target=self._serve, args=(Line(sock),), daemon=True).start()

    def _serve(self, line: Line) -> None:
        while (request := line.request()) is not None:
            name = request.headers.get("x-trace-id", "")
            if not self._takes(request):
                self._record.note(self.name, f"answer {name} 400, it is not what it can use: {request.body[:40]!r}")
                if not line.answer(400):
                    break
                continue
            run = Run(name, request.body, self._record.now(), [])
            self.runs.append(run)
            self._record.note(self.name, f"run {name} body {request.body[:40]!r}")
            until = time.monotonic() + self._work(request)
            if line.ended(until - time.monotonic()):
                run.ended.append(self._record.note(self.name, f"connection of {name} ended, its work goes on"))
                time.sleep(max(0.0, until - time.monotonic()))
                self._record.note(self.name, f"work on {name} is done")
                break
            run.ended.append(self._record.note(self.name, f"answer {name} 200"))
            if not line.answer(200):
                break
        line.close()

    def runs_of(self, name: str) -> list[Run]:
        """Every run of this message."""
        return [run for run in self.runs if run.id == name]
