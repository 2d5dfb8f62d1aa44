"""The program with one fault planted, named by LINKDOCK_PLANTED: what a soak that finds nothing has to be measured by.

LINKDOCK_PLANTED=twice python -m linkdock.lab.restart_soak.planted
"""

from __future__ import annotations

import os
import resource
import time
import traceback
from collections.abc import Callable
from dataclasses import replace

from ...decisions.relay import Relay
from ...protocol import discovery, resp
from ...sender.recovery import Recovery
from ...sender.sender import Sender
from ...service import run as process
from ...state.journal import Journal

ANSWER_EVERY = 40  # of so many answers one is swallowed
LEAKED = 1200  # descriptors


def _no_answer() -> None:
    """A client's answer is swallowed."""
    answer, count = resp.answer, [0]

    def swallow(said: object) -> bytes:
        count[0] += 1
        return b"" if count[0] % ANSWER_EVERY == 0 else answer(said)

    resp.answer = swallow


def _no_record() -> None:
    """A message is taken on without a record."""
    take = Journal.take
    Journal.take = lambda self, kept: True if kept.id[-1] in "02468ace" else take(self, kept)


def _no_sent_record() -> None:
    """A dispatch that may not be repeated goes out without a record."""
    Journal.sent = lambda self, request, attempt: True


def _no_order() -> None:
    """A key holds nothing back."""
    Relay.turn = lambda self, message: True


def _no_window() -> None:
    """A keyed message is repeated at any time."""
    Sender._window_over = lambda self, request, now: False
    worth, give_up_at = Relay.worth, Relay.give_up_at

    def undoubted(decide: Callable) -> Callable:
        def decided(self: Relay, message: object, *more: object) -> float:
            rules = message.rules
            message.rules = replace(rules, window=1e6)
            try:
                return decide(self, message, *more)
            finally:
                message.rules = rules

        return decided

    Relay.worth, Relay.give_up_at = undoubted(worth), undoubted(give_up_at)


def _drained_is_ready() -> None:
    """What is told to drain is held to be ready."""
    read_row = discovery.read_row

    def read_ready(row: dict, *names: list[str]) -> object:
        server = read_row(row, *names)
        return server._replace(health="ready") if server.health == "draining" else server

    discovery.read_row = read_ready


def _found_is_given_up() -> None:
    """What a restart finds is ended by a notice at once."""
    take_up = Recovery.take_up
    Recovery.take_up = lambda self, left: take_up(self, [replace(one, tries=99) for one in left])


def _bad_status() -> None:
    """The end is orderly, and its status says otherwise."""
    run = process.Process.run

    async def run_badly(self: process.Process) -> int:
        await run(self)
        return 3

    process.Process.run = run_badly


def _slow_end() -> None:
    """SIGTERM is not heard, and the process is still there when the platform kills it."""
    process.Process.stop = lambda self: None


def _slow_start() -> None:
    """The start takes too long."""
    time.sleep(11.0)


def _leak() -> None:
    """Descriptors are taken and not given back."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
    _leak.held = [os.open(os.devnull, os.O_RDONLY) for _ in range(LEAKED)]


def _traceback() -> None:
    """A pass fails now and then."""
    beat, count = Sender.beat, [0]

    def fail(self: Sender) -> None:
        beat(self)
        count[0] += 1
        if count[0] == 50:
            try:
                raise RuntimeError("planted")
            except RuntimeError:
                traceback.print_exc()

    Sender.beat = fail


PLANTED: dict[str, Callable[[], None]] = {
    "answer": _no_answer,
    "record": _no_record,
    "sent-record": _no_sent_record,
    "order": _no_order,
    "window": _no_window,
    "drained": _drained_is_ready,
    "found": _found_is_given_up,
    "status": _bad_status,
    "end": _slow_end,
    "start": _slow_start,
    "leak": _leak,
    "traceback": _traceback,
}

if __name__ == "__main__":
    PLANTED[os.environ["LINKDOCK_PLANTED"]]()
    process.leave(process.main())
