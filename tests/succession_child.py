"""One process of a sender that takes up what dead ones left, ended by SIGKILL's like at the n-th step.

    python succession_child.py FOLDER POINT [ID...]

With ids it hands those over afterwards, and the steps are counted from there.

Points are the writes, replacements and removals of files, before each, in the middle of a write, and after.
"""

import os
import sys
from pathlib import Path
from types import SimpleNamespace

from linkdock.service import shift
from linkdock.state import journal as journals

FOLDER, POINT = Path(sys.argv[1]), int(sys.argv[2])
passed = 0
write, replace, unlink = os.write, os.replace, Path.unlink


def point():
    global passed
    passed += 1
    if passed == POINT:
        os._exit(9)


def faulty_write(file, data):
    point()
    if passed + 1 == POINT:
        write(file, data[: len(data) // 2])
    point()
    return write(file, data)


def faulty_replace(one, other):
    point()
    replace(one, other)
    point()


def faulty_unlink(self, missing_ok=False):
    point()
    unlink(self, missing_ok)
    point()


class FaultyOs:
    def __getattr__(self, name):
        return {"write": faulty_write, "replace": faulty_replace}.get(name) or getattr(os, name)


def faults():
    journals.os = FaultyOs()
    Path.unlink = faulty_unlink


if not sys.argv[3:]:
    faults()
process = shift.Shift(SimpleNamespace(state=FOLDER, disk_mb=3.0, settings=SimpleNamespace(classes=[])), lambda: 0.0)
if sys.argv[3:]:
    faults()
    assert process.hand_over(sys.argv[3:])
    point()  # before the lock of what was handed over would be let go of with the process
