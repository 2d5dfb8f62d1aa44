"""What a case has seen, in the order in which it was seen, and written to `record.txt` as it comes."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Lines of `SECONDS WHO WHAT`, seconds from the start of the case."""

    def __init__(self, path: Path) -> None:
        """Begin a new file at `path`."""
        self._file = path.open("w", encoding="ascii")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds from the start of the case."""
        return time.monotonic() - self._began

    def note(self, who: str, what: str) -> float:
        """Write one line, and return its time."""
        with self._lock:
            at = self.now()
            self._file.write(f"{at:9.4f} {who}: {what}\n")
            self._file.flush()
        return at
