"""The gate for clients, the budget of descriptors, and the file by which known addresses outlast the process."""

from __future__ import annotations

import logging
import os
import resource
from collections.abc import Callable
from pathlib import Path

from ..errors import log_line
from ..state import statefile
from ..state.wheel import Wheel
from . import view
from .budget import Budget, Held, Parts
from .gate import Gate
from .settings import read

log = logging.getLogger(__name__)

MEASURE_S = 0.5  # seconds between two looks at what the process holds


def descriptors() -> int | None:
    """What this process holds; None where the system does not tell, or has no descriptor for the look itself."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return None


class Clients:
    """Owner of the gate and its file. A file that cannot be read or written costs one log line, and nothing else."""

    def __init__(
        self,
        text: bytes,
        most: int,
        sockets: int,
        folder: Path,
        wheel: Wheel,
        unix_time: Callable[[], float],
        overloaded: Callable[[], bool],
    ) -> None:
        """Read the settings from `text`. Clients and servers share `most` connections and `sockets` descriptors.

        `unix_time` is the sender's clock, which is not stepped.
        """
        settings = read(text, most)
        self._budget, self._sockets, self._most = Budget(most), sockets, most
        self._told_leak = False
        self.gate = Gate(settings, most, overloaded)
        self._wheel, self._every, self._failing = wheel, settings.file_s, False
        self._unix_time = unix_time
        self._path = folder / settings.file if settings.file else None
        if self._path is not None:
            self._load()
            wheel.after(self._every, self._turn)

    def watch(self, held: Callable[[], tuple[int, int]], apply: Callable[[Parts], None]) -> None:
        """From now on: measure what is held (clients, servers), and say what each may hold."""

        def look() -> None:
            self._wheel.after(MEASURE_S, look)
            clients, servers = held()
            measured = descriptors()
            limit = min(self._sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
            # Without a descriptor for the look all are held.
            apply(
                self._budget.share(
                    self._wheel.now, Held(clients, servers, limit if measured is None else measured, limit)
                )
            )
            if self._budget.leaked and not self._told_leak:
                log.error("%d descriptors are held that nobody accounts for", self._budget.leaked)
            self._told_leak = self._budget.leaked > 0

        look()

    def _load(self) -> None:
        if not self._path.exists():
            return
        try:
            count = view.restore(self.gate, view.read(self._path), self._wheel.now, self._unix_time())
        except ValueError as bad:
            log.warning("known clients are not used: %s", log_line(bad))
        else:
            log.info("%d addresses of clients are known again", count)

    def _turn(self) -> None:
        self._wheel.after(self._every, self._turn)
        self._write()

    def _write(self) -> None:
        try:
            statefile.write(self._path, view.state(self.gate, self._wheel.now, self._unix_time()))
        except OSError as bad:
            if not self._failing:
                log.error("known clients are not written: %s", bad)
            self._failing = True
        else:
            self._failing = False

    def close(self) -> None:
        """Write the file a last time, if one is kept."""
        if self._path is not None:
            self._write()
