"""Named points at which a test may hold a process, to kill it there. Without LINKDOCK_POINT they cost one empty call.

`LINKDOCK_POINT=name:count` holds the process at the count-th time that it reaches the point of that name: it writes
the line `{"event": "point", "name": ...}` to standard output and stops itself (SIGSTOP); a harness kills it there, or
lets it go on.
"""

from __future__ import annotations

import json
import os
import signal
from collections.abc import Callable

VARIABLE = "LINKDOCK_POINT"


def _passed(name: str) -> None:
    pass


def held(told: str) -> Callable[[str], None]:
    """The function `point` for what the variable says. Raises ValueError unless that is `name:count`."""
    wanted, _, number = told.rpartition(":")
    if not wanted or not (number.isascii() and number.isdigit() and int(number) > 0):
        raise ValueError(f"{VARIABLE} must be name:count, not {told!r}")
    left = int(number)

    def point(name: str) -> None:
        nonlocal left
        if name != wanted or left <= 0:
            return
        left -= 1
        if not left:
            os.write(1, json.dumps({"event": "point", "name": name}).encode() + b"\n")
            os.kill(os.getpid(), signal.SIGSTOP)

    return point


point = held(os.environ[VARIABLE]) if os.environ.get(VARIABLE) else _passed
