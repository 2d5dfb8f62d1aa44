"""The processes of one sender that share its folder: which are alive, and who takes up what a dead one left.

Each has a number, the newest the highest, and under it a lock that it holds for life, a journal and a board:

    lock.7  journal.7  board.7

Only the holder of a lock touches the files of its number. When a process ends, however it ends, its lock falls;
whoever gets the lock then owns what was left. A process that leaves hands over what waits in the same way, under a
further number (`handed.7.8` until it is whole). `learned.7` is what it tells a newer one of servers. `journal` without
a number is the file of a process that runs alone, and is taken up by a start as if it were the oldest.

Danger: a kill at any step. What was left goes into the survivor's own journal first, as a whole, then the old files go,
and only then is anything done about it. A kill before the old files are gone leaves some messages in both journals,
with nothing done about them since; the next to read both takes what the higher number says.
"""

from __future__ import annotations

import fcntl
import os
import re
import time
from collections.abc import Container, Iterator
from contextlib import suppress
from pathlib import Path

LOCK = re.compile(r"lock\.([0-9]{1,9})\Z")
ALONE = "journal"  # of a process that has no number
CLAIM_AGE = 60.0  # seconds after which an unnamed lock is no longer being named


def numbered(folder: Path) -> list[int]:
    """The numbers in use in a folder, dead or alive."""
    return sorted(int(found[1]) for name in os.listdir(folder) if (found := LOCK.match(name)))


class Left:
    """What a dead process left, ours by its lock. `done` removes it, `keep` leaves it for a later look."""

    def __init__(self, folder: Path, number: int, lock: int | None) -> None:
        """What the process `number` left in `folder`; `lock` is its lock's descriptor, held here."""
        self.number, self._folder, self._lock = number, folder, lock
        self.journal = folder / (ALONE if lock is None else f"journal.{number}")

    def done(self) -> None:
        """The lock goes last: as long as it is there, what else is left is known to be."""
        names = [self.journal.name, f"{self.journal.name}.new"]
        if self._lock is not None:
            names += [
                f"board.{self.number}",
                f"learned.{self.number}",
                f"learned.{self.number}.new",
                f"lock.{self.number}",
            ]
        names += [path.name for path in self._folder.glob(f"handed.{self.number}.*")]
        for name in sorted(names, key=lambda name: name.startswith("lock")):
            (self._folder / name).unlink(missing_ok=True)
        self.keep()

    def keep(self) -> None:
        """Let go of the lock and leave the files as they are."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


class Succession:
    """Owner of this process's number and lock."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError where the folder takes no files."""
        self._folder = folder
        self._clear_claims()
        self.number = max(numbered(folder), default=0) + 1
        while (lock := self._claim(self.number)) is None:
            self.number += 1
        self._lock = lock

    def _claim(self, number: int) -> int | None:
        """The lock of a number, held; None where somebody has the number.

        It is held before it has its name: a sibling takes a lock that it finds free for a dead process's.
        """
        unnamed = self._folder / f"claim.{os.urandom(8).hex()}"
        lock = os.open(unnamed, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.link(unnamed, self._folder / f"lock.{number}")
        except OSError as bad:
            os.close(lock)
            if not isinstance(bad, FileExistsError):
                raise
            return None
        finally:
            unnamed.unlink(missing_ok=True)
        return lock

    def _clear_claims(self) -> None:
        """Remove what processes left that were killed in the middle of a claim."""
        for unnamed in self._folder.glob("claim.*"):
            with suppress(FileNotFoundError):
                if time.time() - unnamed.stat().st_mtime > CLAIM_AGE:
                    unnamed.unlink()

    def _held(self, number: int, lock: int) -> bool:
        """Whether the lock is ours now, and still the one that has this number."""
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return os.stat(self._folder / f"lock.{number}").st_ino == os.fstat(lock).st_ino
        except OSError:
            return False

    @property
    def journal(self) -> str:
        """The name of this process's journal."""
        return f"journal.{self.number}"

    def board(self, number: int) -> Path:
        """Where the board of the process `number` lies."""
        return self._folder / f"board.{number}"

    def learned(self, number: int) -> Path:
        """Where the snapshot of the process `number` lies."""
        return self._folder / f"learned.{number}"

    def alone(self) -> Iterator[Left]:
        """What a process without a number left. Asked at the start alone."""
        if (self._folder / ALONE).exists():
            yield Left(self._folder, 0, None)

    def spare(self) -> tuple[int, int]:
        """A further number and its lock, for what is handed over: to let go of the lock leaves it as a dead one's."""
        number = max(numbered(self._folder)) + 1
        while (lock := self._claim(number)) is None:
            number += 1
        return number, lock

    def look(self, taken: Container[int] = ()) -> tuple[list[int], list[Left]]:
        """The others that are alive, and what is left of those that are not, the newest first.

        `taken`: numbers whose locks are held here already, which would seem to be somebody's.
        """
        alive, left = [], []
        for number in reversed(numbered(self._folder)):
            if number == self.number or number in taken:
                continue
            try:
                lock = os.open(self._folder / f"lock.{number}", os.O_RDWR)
            except FileNotFoundError:
                continue
            except OSError:  # no descriptor: who cannot be asked is held to live
                alive.append(number)
                continue
            if self._held(number, lock):
                left.append(Left(self._folder, number, lock))
                continue
            os.close(lock)
            alive.append(number)
        return alive, left

    def close(self) -> None:
        """Let go: what is left in the journal is the next one's."""
        os.close(self._lock)
