"""What was taken on, kept in one file so that it outlasts the process.

Records are appended with one write each and never synced: what was written outlives the process, SIGKILL
included. A record torn by the end of the process is cut off at the next start. The file is rewritten with only what is
still owed before it grows near the limit of the folder; old and new file count together meanwhile.
"""

from __future__ import annotations

import contextlib
import logging
import os
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path

from .journal_records import EARLIEST, END, MOVED, NEVER, NOTICE, SENT, TAKE, Kept, apply, record, replay
from .steady_clock import SteadyClock

log = logging.getLogger(__name__)

BLOCK = 512  # the folder is counted in whole blocks
FILE_PART = 0.55  # of the folder that the file may take; the rest is for its successor,
NEARLY = 0.9  # of that, from which it is as good as full
LIVE_PART = 0.35  # which holds what is owed; a take beyond this is denied
ROOM_TO_END = 0.1  # beside what is owed, which the file may take in any case
STAMP_STEP = 1e-6  # seconds by which two stamps of one process differ at least
CLOSED = -1  # in place of the descriptor, once it is let go of


def _remove(path: Path) -> None:
    """Of what was written in vain. Danger: a folder that can only be read: what serves must go on."""
    with contextlib.suppress(OSError):
        path.unlink()


class Journal:
    """Owner of the file and of the record of each request in it, from `take` to `end`."""

    def __init__(self, folder: Path, disk_bytes: int, name: str = "journal") -> None:
        self._path, self._next = folder / name, folder / f"{name}.new"
        self._disk_bytes = disk_bytes
        self.clock = SteadyClock(folder)
        self.hold_at_most(FILE_PART, LIVE_PART)
        self.kept: dict[str, Kept] = {}
        self.ended_before: list[str] = []  # requests that ended in an earlier life, as far as the file still says
        self.on_end: Callable[[str], None] = lambda request: None  # called once a record has ended here
        self._moved = b""  # what says which messages another journal owes, for who reads this one
        self._latest = EARLIEST  # the last stamp that is known here
        self._holds: dict[str, bool] = {}  # what is not to be let go of yet: whether its end has come
        self._live, self._torn = 0, False
        # A rewrite that the end of the process cut short: the old file still holds everything.
        self._next.unlink(missing_ok=True)
        self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._size = self._load()

    # --- Reading.

    def _load(self) -> int:
        data = self._path.read_bytes()
        found = replay(self._path, data)
        self.kept, self.ended_before, at = found.kept, found.ended, found.end
        self._live = sum(kept.size() for kept in self.kept.values())
        self.seen(kept.taken_at for kept in self.kept.values())
        if at < len(data):
            # Danger: a record torn by SIGKILL. What follows it is unreadable, so that new ones must not.
            log.warning("journal: cut off %d torn bytes", len(data) - at)
            os.ftruncate(self._file, at)
        return at

    # --- Order.

    def stamp(self) -> float:
        """The moment at which a message is taken (`SteadyClock`), later than every stamp that was seen.

        A clock that is set back cannot put a message before those that were taken earlier.
        """
        self._latest = max(self.clock.now(), self._latest + STAMP_STEP)
        return self._latest

    def seen(self, stamps: Iterable[float]) -> None:
        """Stamps of messages that were taken before the next one here."""
        self._latest = max(self._latest, max(stamps, default=EARLIEST))

    # --- Writing.

    def hold_at_most(self, file_part: float, live_part: float) -> None:
        """So much of the folder from now on, for the file and for what is owed."""
        self._most_file = int(self._disk_bytes * file_part) // BLOCK * BLOCK
        self._most_live = int(self._disk_bytes * live_part) // BLOCK * BLOCK

    def _take_record(self, kept: Kept) -> bytes:
        head = {
            "id": kept.id,
            "key": kept.key,
            "cls": kept.cls,
            "destination": kept.destination,
            "until": kept.until,
            "used": kept.used,
            "tries": kept.tries,
            "doubt": sorted(kept.doubt),
        }
        if kept.again:
            head["again"] = True
        if kept.taken_at != EARLIEST:
            head["taken_at"] = kept.taken_at
        for name in ("idempotency_key", "tenant"):
            if value := getattr(kept, name):
                head[name] = value
        if kept.notice is not None and kept.id not in self._holds:
            return record(TAKE, {**head, "notice": kept.notice})  # its body is not needed any more
        if kept.notice is not None:
            head["notice"] = kept.notice
        return record(TAKE, head, kept.body)

    def _append(self, data: bytes) -> bool:
        if self._file == CLOSED:
            return False
        # What was adopted may be more than the bounds say, and its ends must have room all the same.
        most = max(self._most_file, self._live + int(self._disk_bytes * ROOM_TO_END))
        if self._size + len(data) > most:
            self._compact()
        if self._size + len(data) > most:
            return False
        return self._write(data)

    def _write(self, data: bytes) -> bool:
        try:
            self._cut_torn()
            self._torn = True
            if os.write(self._file, data) < len(data):
                raise OSError("short write")
        except OSError as bad:  # a full folder, or one that can only be read
            log.error("journal: %s", bad)
            with contextlib.suppress(OSError):
                self._cut_torn()  # now: who reads this journal must not take the first part for the whole
            return False
        self._torn = False
        self._size += len(data)
        return True

    def _cut_torn(self) -> None:
        """Danger: half a record would hide all that follow it, and a disk that is ill may not let go of it."""
        if self._torn:
            os.ftruncate(self._file, self._size)
            self._torn = False

    def _compact(self) -> bool:
        """Rewrite the file with what is owed; the old one stays until the new one is whole."""
        data = b"".join(map(self._take_record, self.kept.values())) + self._moved
        fresh = None
        try:
            # Danger: descriptors that have run out. The new file is written by the one that it is kept open with, so
            # that the old one is not let go of before there is another.
            fresh = os.open(self._next, os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC, 0o600)
            if os.write(fresh, data) < len(data):
                raise OSError("short write")
            os.replace(self._next, self._path)
        except OSError as bad:
            log.error("journal: not rewritten: %s", bad)
            if fresh is not None:
                os.close(fresh)
                _remove(self._next)
            return False
        os.close(self._file)
        self._file, self._size, self._torn = fresh, len(data), False
        return True

    def full(self) -> bool:
        """Whether there is hardly room for what is owed."""
        return self._live > NEARLY * self._most_live

    def take(self, kept: Kept) -> bool:
        """Keep a request; False where there is no room, or its id is owed already, and it must be denied."""
        # Danger: an id whose notice is still owed. What ends with the notice would be the second one's record.
        if (
            kept.id in self.kept
            or self._live + kept.size() > self._most_live
            or not self._append(self._take_record(kept))
        ):
            return False
        self.kept[kept.id] = kept
        self._live += kept.size()
        return True

    def records_of(self, others: Iterable[Kept]) -> dict[str, bytes]:
        """The records by which `adopt` would hold these, by id."""
        return {kept.id: self._take_record(kept) for kept in others}

    def adopt(self, others: list[Kept], records: Mapping[str, bytes] | None = None) -> bool:
        """Take over what another process owed, whatever the bounds say: it is owed already. False: nothing was taken.

        It costs by what is taken over, not by what is held: one write behind all that is here, or by a file in this
        one's place where there is no room for that. `records` has those that were made before, by `records_of`.
        A kill in the middle of the write leaves a part here, and all of it with the other process.
        """
        fresh = {kept.id: kept for kept in others if kept.id not in self.kept}
        if not fresh:
            return True
        made = records or {}
        data = b"".join(made.get(kept.id) or self._take_record(kept) for kept in fresh.values())
        before, self.kept = self.kept, {**self.kept, **fresh}
        fits = self._size + len(data) <= self._most_file
        if not (self._write(data) if fits else self._compact()):
            self.kept = before
            return False
        self._live += sum(kept.size() for kept in fresh.values())
        self.seen(kept.taken_at for kept in fresh.values())
        return True

    def hand_over(self, requests: list[str], beside: Path, path: Path) -> bool:
        """Let another journal, at `path`, owe these from now on; False where all stays here.

        It is written `beside` first. A record here says that they have moved; it counts once that file is in its place,
        which is one step. A kill before leaves them here, a kill after there.
        """
        data = b"".join(self._take_record(self.kept[request]) for request in requests)
        try:
            file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            try:
                if os.write(file, data) < len(data):
                    raise OSError("short write")
            finally:
                os.close(file)
        except OSError as bad:
            log.error("journal: nothing is handed over: %s", bad)
            _remove(beside)
            return False
        moved = record(MOVED, {"in": beside.name, "ids": requests})
        if not self._append(moved):
            _remove(beside)
            return False
        self._moved += moved
        try:
            os.replace(beside, path)
        except OSError as bad:
            log.error("journal: nothing is handed over: %s", bad)
            return False  # `beside` stays, so that the record does not count
        for request in requests:
            self._live -= self.kept.pop(request).size()
        return True

    def _note(self, kind: bytes, head: dict) -> bool:
        if head["id"] not in self.kept:
            return False
        done = self._append(record(kind, head))
        if done or kind in (NOTICE, END):  # an end that could not be written is at worst told again
            self._live += apply(self.kept, kind, head, b"")
        if kind == END:
            self.on_end(head["id"])
        return done

    def sent(self, request: str, attempt: int) -> bool:
        """A dispatch is about to send its first byte; False where it must not."""
        return self._note(SENT, {"id": request, "n": attempt})

    def never(self, request: str, attempt: int) -> None:
        """That dispatch is proven not to have run."""
        if request in self.kept and attempt in self.kept[request].doubt:
            self._note(NEVER, {"id": request, "n": attempt})

    def notice(self, request: str, notice: dict) -> None:
        """The request is over for the decisions; the platform must still hear of it."""
        self._note(NOTICE, {"id": request, "notice": notice})

    def end(self, request: str) -> None:
        """Nothing is owed any more; one that is held ends once it is released."""
        if request in self._holds:
            self._holds[request] = True
        else:
            self._note(END, {"id": request})

    def hold(self, request: str) -> None:
        """Keep it with its body, also beyond its end, until it is released."""
        self._holds.setdefault(request, False)

    def release(self, request: str) -> None:
        """It is kept elsewhere, or will not be."""
        if self._holds.pop(request, False):
            self.end(request)

    def close(self) -> None:
        """Danger: a descriptor that is closed is soon another's; a late record would go to a server."""
        os.close(self._file)
        self._file = CLOSED
