"""The platform's agent: the list with its watch, and the notices."""

from __future__ import annotations

import json
import threading
import time

from .endpoint import Endpoint
from .http import Line, address, listen
from .record import Record

HEARTBEAT = 1.0  # seconds between the empty lines of a watch, which are due every 2 s


class Agent:
    """Answers at once with the list, keeps watches open, and takes every notice."""

    def __init__(self, record: Record, endpoints: list[Endpoint]) -> None:
        """The list holds `endpoints`, all ready, and does not change."""
        self._record, self._endpoints = record, endpoints
        self.notices: dict[str, list[tuple[float, str]]] = {}  # by id: when it came, and what it says
        self._sock = listen()
        self.address = address(self._sock)
        threading.Thread(target=self._accept, daemon=True).start()

    def list(self) -> dict:
        """The whole list."""
        return {"seq": 41, "whole": True, "hosts": [one.row() for one in self._endpoints]}

    def _accept(self) -> None:
        while True:
            sock, _ = self._sock.accept()
            threading.Thread(target=self._serve, args=(Line(sock),), daemon=True).start()

    def _serve(self, line: Line) -> None:
        while (request := line.request()) is not None:
            if request.method == "POST" and request.path == "/reports":
                for text in request.body.splitlines():
                    told = json.loads(text)
                    at = self._record.note("platform", f"notice {told['id']} {told['status']}")
                    self.notices.setdefault(told["id"], []).append((at, told["status"]))
                line.answer(204)
            elif "watch=1" in request.path:
                self._watch(line)
                return
            else:
                line.answer(200, None, json.dumps(self.list()).encode())

    def _watch(self, line: Line) -> None:
        line.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        text = json.dumps(self.list()).encode() + b"\n"
        while line.write(b"%x\r\n%s\r\n" % (len(text), text)):
            time.sleep(HEARTBEAT)
            text = b"\n"
