"""The endpoints that operators have taken out by hand, above whatever discovery lists. Kept over the process's end.

An id in it counts as draining for this sender until one call puts it back, also while it is not listed. The file is
replaced as a whole before the operator hears a yes, so that a kill at any moment leaves the list before or after.
"""

from __future__ import annotations

import fcntl
import json
import logging
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from ..errors import LinkdockError, log_line

log = logging.getLogger(__name__)

MOST_OUT = 1000
KEPT_FOR = 24 * 3600.0  # seconds without being listed after which an id is forgotten
VERSION = 1


class TooManyError(LinkdockError):
    """As many are out as are kept."""

    code = "LD-ROTATION-FULL"
    what = "as many endpoints are out by hand as are kept"
    remedy = "Put back with `maint-off` those that may serve again; ids that are long gone are forgotten after 24 h"


class RotationError(LinkdockError):
    """The file of what is out by hand cannot be read or written."""

    code = "LD-ROTATION-FILE"
    what = "the file of the endpoints that are out by hand cannot be read or written"
    remedy = "Mend or remove the file and take the endpoints out again with `maint-on`; look at the disk of RELAY_STATE"


class Rotation:
    """Owner of the set and its file. Times are Unix time, for they outlast the process."""

    def __init__(self, path: Path, clock: Callable[[], float]) -> None:
        """Read `path`; `clock` gives seconds since the epoch."""
        self._path, self._clock = path, clock
        self._out: dict[str, float] = {}  # since when each is out,
        self._seen: dict[str, float] = {}  # and when it was last known to be listed, for this process
        self._read_of: tuple = ()
        self.read()

    def __contains__(self, name: object) -> bool:
        """Whether an endpoint is out by hand."""
        return name in self._out

    def __len__(self) -> int:
        """Endpoints that are out by hand."""
        return len(self._out)

    def __iter__(self) -> Iterator[str]:
        """Their names; they may change meanwhile."""
        return iter(list(self._out))

    def since(self, name: str) -> float:
        """Since when an endpoint is out. Raises KeyError if it is not."""
        return self._out[name]

    def read(self) -> None:
        """Take the file as it is now, if it is another than before. One that cannot be read costs a log line."""
        try:
            about = os.stat(self._path)
            mark = about.st_ino, about.st_mtime_ns, about.st_size
            if mark == self._read_of:
                return
            data = self._path.read_bytes()
            self._read_of = mark  # what cannot be read is not tried again until it has changed
            told = json.loads(data)
            if not isinstance(told, dict) or told.get("version") != VERSION:
                raise ValueError(f"no version {VERSION}")
            self._out = {str(name): float(since) for name, since in told["out"].items()}
        except FileNotFoundError:
            self._out, self._read_of = {}, ()
        except (OSError, ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError) as bad:
            log.error("%s", log_line(RotationError(f"{self._path}: endpoints out by hand are not known: {bad!s:.200}")))

    @contextmanager
    def _alone(self) -> Iterator[None]:
        """Danger: both processes of an upgrade change the list at once, and what one has said yes to is lost.

        Raises OSError where the other one is just at it: the operator hears a no, and calls again.
        """
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.read()
            yield
        finally:
            os.close(folder)

    def take_out(self, name: str) -> bool:
        """Whether it was not out before. Raises TooManyError, or OSError if it cannot be kept: nothing has changed."""
        with self._alone():
            if name in self._out:
                return False
            if len(self._out) >= MOST_OUT:
                raise TooManyError(f"{MOST_OUT} endpoints are out already")
            self._write({**self._out, name: self._clock()})
        return True

    def put_back(self, name: str) -> float | None:
        """Since when it was out; None if it was not. Raises OSError where that cannot be kept."""
        with self._alone():
            if name not in self._out:
                return None
            since = self._out[name]
            self._write({other: at for other, at in self._out.items() if other != name})
        return since

    def _write(self, out: dict[str, float]) -> None:
        beside = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            beside.write_text(json.dumps({"version": VERSION, "out": out}))
            os.replace(beside, self._path)
        except OSError:
            beside.unlink(missing_ok=True)
            raise
        about = os.stat(self._path)
        self._out, self._read_of = out, (about.st_ino, about.st_mtime_ns, about.st_size)

    def forget(self, listed: Callable[[str], bool]) -> None:
        """Let go of ids that discovery has not listed for long. Its owner calls it now and then."""
        now = self._clock()
        self._seen = {name: now if listed(name) else self._seen.get(name, now) for name in self._out}
        gone = [name for name, at in self._seen.items() if now - at > KEPT_FOR]
        if gone:
            log.info("endpoints out by hand that are long gone: %s", ", ".join(gone))
            try:
                with self._alone():
                    self._write({name: at for name, at in self._out.items() if name not in gone})
            except OSError as bad:
                log.error("%s", log_line(RotationError(f"{self._path}: {bad}")))
