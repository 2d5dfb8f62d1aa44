"""The record of each message's life, for outsiders: written by `recorder`, read by `reading`, judged by `audit`.

Nothing here is imported by a sender unless `deploy/records.json` switches it on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from .observer import Observer


def open_observer(
    text: bytes,
    name: str,
    folder: Path,
    disk_bytes: int,
    classes: dict[str, dict],
    clock: Callable[[], float],
    later: Callable,
) -> Observer:
    """The observer of one life, from the text of records.json. Raises OptionError, or OSError for its file.

    `classes` says of each whether it is `repeatable`, and its `deadline` in seconds.
    """
    try:
        from .observer import Observer
        from .recorder import Recorder
        from .settings import read
    except ImportError as bad:
        from ..options import OptionError

        raise OptionError(f"records.json: needs the packages of requirements-console.txt: {bad}") from None
    return Observer(Recorder(read(text, folder, disk_bytes), folder, clock, later), name, classes)
