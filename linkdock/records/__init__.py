"""The record of each message's life, for outsiders: written by `recorder`, read by `reading`, judged by `audit`.

Nothing here is imported by a sender unless `deploy/records.json` switches it on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..service.config import Config
    from .observer import Observer


def open_observer(text: bytes, config: Config, clock: Callable[[], float], later: Callable) -> Observer:
    """The observer of one life, from the text of records.json. Raises OptionError, or OSError for its file."""
    try:
        from .observer import Observer
        from .recorder import Recorder
        from .settings import read
    except ImportError as bad:
        from ..options import OptionError
        raise OptionError(f"records.json: needs the packages of requirements-console.txt: {bad}") from None
    recorder = Recorder(read(text, config.state, int(config.disk_mb * 1e6)), config.state, clock, later)
    classes = {name: {"repeatable": config.repeatable(n), "deadline": config.settings.classes[n].deadline}
               for n, name in enumerate(config.class_names)}
    return Observer(recorder, config.name, classes)
