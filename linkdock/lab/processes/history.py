"""One history of all that happened: what the harness did and what the processes said, in the harness's time."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Iterable
from pathlib import Path

MOST_EVENTS = 400_000
HARNESS = "harness"


class History:
    """Events `{"at": seconds since its start, "who": process, "event": word, ...}`; at a bound it takes no more."""

    def __init__(self, path: Path | None = None, clock: Callable[[], float] = time.monotonic) -> None:
        """Keep events in memory, and in the file `path` too if there is one."""
        self.events: list[dict] = []
        self.began, self._clock = clock(), clock
        self._file = open(path, "w", buffering=1) if path is not None else None
        self._news = asyncio.Event()
        self.told: list[Callable[[dict], None]] = []  # called with each event

    @property
    def now(self) -> float:
        """Seconds since the history began."""
        return self._clock() - self.began

    def append(self, who: str, event: str, **told: object) -> dict:
        """Raises RuntimeError beyond MOST_EVENTS: a history with a hole could not be judged."""
        if len(self.events) >= MOST_EVENTS:
            raise RuntimeError(f"more than {MOST_EVENTS} events")
        one = {"at": round(self.now, 6), "who": who, "event": event, **told}
        self.events.append(one)
        if self._file is not None:
            self._file.write(json.dumps(one, separators=(",", ":")) + "\n")
        self._news.set()
        for take in self.told:
            take(one)
        return one

    async def seen(self, wanted: Callable[[dict], bool], patience: float, since: int = 0) -> dict | None:
        """The first event from number `since` on that is wanted, waiting so long for it; else None."""
        until, at = self._clock() + patience, since
        while True:
            while at < len(self.events):
                at += 1
                if wanted(self.events[at - 1]):
                    return self.events[at - 1]
            self._news.clear()
            left = until - self._clock()
            if left <= 0:
                return None
            try:
                await asyncio.wait_for(self._news.wait(), left)
            except TimeoutError:
                return None

    def close(self) -> None:
        """Close the file, if there is one."""
        if self._file is not None:
            self._file.close()


def read(path: Path) -> list[dict]:
    """The events of a file. A last line that is torn is left out; raises ValueError for any other that is no event."""
    return list(_read(path.read_text().splitlines(True), path))


def _read(lines: Iterable[str], path: Path) -> Iterable[dict]:
    for number, line in enumerate(lines, 1):
        if not line.endswith("\n"):
            return
        try:
            one = json.loads(line)
            one["at"], one["who"], one["event"]
        except (ValueError, KeyError, TypeError) as bad:
            raise ValueError(f"{path}:{number}: no event: {bad}") from None
        yield one
