"""Small files that a sender writes now and then for its operators, and that a command reads: whole, or as before."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TypeVar

import msgspec

from ..errors import LinkdockError

MOST_BYTES = 4_000_000  # of a file that is read

State = TypeVar("State", bound=msgspec.Struct)


class StateError(LinkdockError, ValueError):
    """A state file that cannot be read. The text names it and what is wrong."""

    code = "LD-STATE-FILE"
    what = "a state file that a sender writes for operators cannot be read"
    remedy = "Name the file that this version of the sender writes in RELAY_STATE; its `file` key says which"


def write(path: Path, told: msgspec.Struct) -> None:
    """Beside the one before, in whose place it comes when it is whole. Raises OSError; the one before stays then."""
    beside = path.with_name(path.name + ".new")
    try:
        beside.write_bytes(msgspec.json.encode(told) + b"\n")
        os.replace(beside, path)
    except OSError:
        beside.unlink(missing_ok=True)
        raise


def read(path: Path, shape: type[State], version: int, what: str) -> State:
    """Raises StateError that names the file and what is wrong; `what` says what it should hold."""
    try:
        if path.stat().st_size > MOST_BYTES:
            raise StateError(f"{path}: longer than {MOST_BYTES} bytes")
        told = msgspec.json.decode(path.read_bytes(), type=shape)
    except OSError as bad:
        raise StateError(f"{path}: {bad.strerror}") from None
    except msgspec.MsgspecError as bad:
        raise StateError(f"{path}: no {what}: {bad}") from None
    if told.version != version:
        raise StateError(f"{path}: version {told.version}, not {version}")
    return told
