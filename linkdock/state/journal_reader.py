"""What the other processes of this sender hold, read from their journals.

An id belongs to the message whose record stands in a journal, whichever process owns that journal, and a message of an
ordered class keeps its key's turn as long. A process puts a message on record before it answers the client, and a
client hands in the next message of a key only after that answer. So whoever reads the other journals in the tick in
which it dispatches has seen all that was taken earlier.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from .journal_records import END, MOVED, SPOILT, TAKE, Kept, apply, records

MOST_UNREADABLE = 3  # polls on end after which a record that cannot be read is passed over: it is not being written


@dataclass(slots=True)
class JournalChanges:
    """What has changed since the last poll: messages of ordered classes that another process holds, and the ids of all
    that have ended."""

    held: list[Kept] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)


class JournalReader:
    """Follows the journal of one other process while that process writes it."""

    def __init__(self, path: Path, is_ordered: Callable[[str], bool]) -> None:
        """`is_ordered` says of a class's name whether its messages go in order; of others the ids are told apart."""
        self.path = path
        self.open: dict[str, Kept] = {}  # messages that have not ended, by id, without their bodies
        self._is_ordered = is_ordered
        self._moved: set[str] = set()  # of these, what was handed to another journal, where its end will stand
        self._file: int | None = None
        self._inode = 0
        self._offset = 0
        self._unreadable = 0  # polls on end that met a record that cannot be read

    def poll(self) -> JournalChanges:
        """What was written since the last poll. Raises OSError where the file is not there or cannot be read."""
        inode = os.stat(self.path).st_ino
        rewritten = inode != self._inode
        if rewritten:
            self._reopen(inode)
        data = self._unread()
        if not data and not rewritten:
            return JournalChanges()
        # A rewritten journal holds no ends: what it leaves out has ended.
        now_open = {} if rewritten else dict(self.open)
        moved = set(self._moved)
        ended: list[str] = []
        size = self._replay(data, now_open, moved, ended)
        if size is None:
            self._inode = 0  # the next poll reads the whole file
            return JournalChanges()
        self._offset += size
        return self._adopt(now_open, moved, ended)

    def forget(self, request: str) -> None:
        """The message has ended in another journal."""
        self.open.pop(request, None)
        self._moved.discard(request)

    def close(self) -> None:
        """Let go of the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _reopen(self, inode: int) -> None:
        self.close()
        self._inode = 0
        self._file = os.open(self.path, os.O_RDONLY)
        self._inode = inode
        self._offset = 0

    def _unread(self) -> bytes:
        size = os.fstat(self._file).st_size
        return os.pread(self._file, size - self._offset, self._offset) if size > self._offset else b""

    def _replay(self, data: bytes, now_open: dict[str, Kept], moved: set[str], ended: list[str]) -> int | None:
        """Apply whole records; how many bytes they take, or None where one cannot be read yet."""
        size = 0
        for end, kind, text, _ in records(data):
            if kind == SPOILT and self._unreadable < MOST_UNREADABLE:
                self._unreadable += 1
                return None
            size = end
            if kind not in (TAKE, END, MOVED):
                continue
            try:
                self._take_in(kind, json.loads(text), now_open, moved, ended)
            except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
                continue  # its owner passes over it as well
        self._unreadable = 0
        return size

    def _take_in(self, kind: bytes, head: dict, now_open: dict[str, Kept], moved: set[str], ended: list[str]) -> None:
        if kind == MOVED:
            moved.update(request for request in head["ids"] if request in now_open or request in self.open)
            return
        apply(now_open, kind, head, b"")
        if kind == END:
            ended.append(head["id"])

    def _adopt(self, now_open: dict[str, Kept], moved: set[str], ended: list[str]) -> JournalChanges:
        for request in moved & self.open.keys():
            now_open.setdefault(request, self.open[request])
        left_out = [request for request in self.open if request not in now_open]
        began_and_ended = [request for request in ended if request not in self.open and request not in now_open]
        changes = JournalChanges(
            held=[
                kept for request, kept in now_open.items() if request not in self.open and self._is_ordered(kept.cls)
            ],
            ended=left_out + began_and_ended,
        )
        self.open = now_open
        self._moved = moved & now_open.keys()
        return changes


class OtherJournals:
    """The journals of the other processes of this sender, alive or not yet taken up."""

    def __init__(self, path_of: Callable[[int], Path], is_ordered: Callable[[str], bool]) -> None:
        """`path_of` names the journal of a process by its number."""
        self._path_of = path_of
        self._is_ordered = is_ordered
        self._alive: set[int] = set()
        self._readers: dict[int, JournalReader] = {}
        self._changes = JournalChanges()  # read, and not told by `poll` yet

    def __len__(self) -> int:
        """How many journals are followed."""
        return len(self._readers)

    def follow(self, alive: Iterable[int]) -> None:
        """These processes live. One that has ended is followed until its journal is gone."""
        self._alive = set(alive)
        for number in self._alive - self._readers.keys():
            self._readers[number] = JournalReader(self._path_of(number), self._is_ordered)

    def poll(self, own: Container[str]) -> JournalChanges:
        """What has changed in all of them. `own`: the ids on record in this process's journal, which tell of them."""
        self._read(own)
        changes, self._changes = self._changes, JournalChanges()
        changes.held = [kept for kept in changes.held if kept.id not in own]
        return changes

    def holds(self, request: str, own: Container[str]) -> bool:
        """Whether the id stands in one of them by now, or ended there since the last poll. `own` as in `poll`."""
        self._read(own)
        return request in self._changes.ended or any(request in reader.open for reader in self._readers.values())

    def _read(self, own: Container[str]) -> None:
        changes = self._changes
        gone = []
        for number, reader in self._readers.items():
            try:
                found = reader.poll()
            except FileNotFoundError:
                if number not in self._alive:
                    gone.append(number)
                continue
            except OSError:  # no descriptor is free, for one: read at a later poll
                continue
            changes.held += found.held
            for request in found.ended:
                self._ended(request, own, changes)
        for number in gone:  # all others have been read: what was taken up from it stands there
            self._drop(number, own, changes)

    def _ended(self, request: str, own: Container[str], changes: JournalChanges) -> None:
        for reader in self._readers.values():
            reader.forget(request)
        if request not in own:
            changes.ended.append(request)

    def _drop(self, number: int, own: Container[str], changes: JournalChanges) -> None:
        """Its journal has been taken up. What nobody holds now has ended meanwhile."""
        reader = self._readers.pop(number)
        reader.close()
        for request in reader.open:
            if request not in own and not any(request in other.open for other in self._readers.values()):
                changes.ended.append(request)

    def close(self) -> None:
        """Let go of all files."""
        for reader in self._readers.values():
            reader.close()
        self._readers.clear()
