"""Unix time that is not stepped: the monotonic clock and an offset that is kept for as long as the machine runs.

A machine's wall clock may be set forward or back, also while no process of the sender runs. `CLOCK_MONOTONIC` runs on
over the end of a process, but begins anew when the machine is booted. So the offset between the two is settled by the
first process after a boot, and kept in the sender's folder with the boot's id (`/proc/sys/kernel/random/boot_id`) for
all later ones. The moments in the journal are of this clock; their form is that of Unix time, which earlier versions
wrote. After a reboot the wall clock is all there is.
"""

from __future__ import annotations

import contextlib
import json
import logging
import os
import time
from math import isfinite
from pathlib import Path
from typing import NamedTuple

from ..errors import LinkdockError, log_line

log = logging.getLogger(__name__)

FILE = "clock"  # in RELAY_STATE
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
MOST_BYTES = 1024  # of the file
TRIES = 3  # at a file that another process may have written meanwhile


class ClockError(LinkdockError, ValueError):
    """The kept offset is no use."""

    code = "LD-CLOCK"
    what = "the file that keeps the offset of the sender's clock cannot be read or written, or is of no use"
    remedy = "Look at the file `clock` in RELAY_STATE and at its disk; deadlines go by the wall clock meanwhile"


class MomentError(LinkdockError, ValueError):
    """A moment on record cannot be right."""

    code = "LD-CLOCK-MOMENT"
    what = "the time that a message on record has left cannot be right; it ends by a notice"
    remedy = "See whether the machine was booted with its wall clock wrong, or the journal was damaged"


class _Kept(NamedTuple):
    """What the file holds."""

    boot: str
    offset: float  # seconds from the monotonic clock to Unix time
    monotonic: float  # when it was written; the clock cannot be behind that in the same boot


def _parse(data: bytes) -> _Kept:
    """What a file holds. Raises ValueError, TypeError or KeyError."""
    found = json.loads(data)
    kept = _Kept(str(found["boot"]), float(found["offset"]), float(found["monotonic"]))
    if not isfinite(kept.offset) or not isfinite(kept.monotonic):
        raise ValueError("a number that is not finite")
    return kept


class SteadyClock:
    """Seconds since the epoch, as the wall clock had them when the first process after a boot asked."""

    def __init__(self, folder: Path) -> None:
        """Go on by the offset that is kept in `folder`, or settle and keep it."""
        self._path = folder / FILE
        self._offset = self._settle()

    def now(self) -> float:
        """The time now."""
        return time.monotonic() + self._offset

    def _settle(self) -> float:
        offset = time.time() - time.monotonic()
        try:
            boot = BOOT_ID.read_text("ascii").strip()
            for _ in range(TRIES):
                kept = self._read(boot)
                if kept is not None:
                    self._clear()
                    return kept.offset
                if self._write(_Kept(boot, offset, time.monotonic())):
                    break
        except (OSError, ValueError) as bad:
            log.warning("%s", log_line(ClockError(f"{self._path}: {bad}")))
        return offset

    def _clear(self) -> None:
        """Remove what processes left that were killed while they wrote."""
        for made in self._path.parent.glob(f"{FILE}.*.new"):
            made.unlink(missing_ok=True)

    def _read(self, boot: str) -> _Kept | None:
        """What is kept of this boot, if anything. Of an earlier boot, or unreadable, it makes room for a new one."""
        try:
            with self._path.open("rb") as file:
                kept = _parse(file.read(MOST_BYTES))
        except FileNotFoundError:
            return None
        except (ValueError, TypeError, KeyError, RecursionError) as bad:
            log.warning("%s", log_line(ClockError(f"{self._path}: {bad}")))
            kept = None
        if kept is not None and kept.boot == boot and kept.monotonic <= time.monotonic():
            return kept
        if kept is not None:
            log.info("the machine was booted since: time goes on by the wall clock")
        self._path.unlink(missing_ok=True)
        return None

    def _write(self, kept: _Kept) -> bool:
        """Write the file whole; False where another process was first."""
        made = self._path.with_name(f"{FILE}.{os.getpid()}.new")
        try:
            made.write_text(json.dumps(kept._asdict()))
            os.link(made, self._path)
        except FileExistsError:
            return False
        finally:
            with contextlib.suppress(OSError):
                made.unlink()
        return True
