"""The log's folder: who this process is, its vote, the entries, an image of the shared state.

    lock                one process at a time
    identity            the life, drawn at random once
    image               the state as of an entry
    log.NUMBER          records: votes, entries, and where the log begins anew; the oldest number first

Every record has a checksum over its length and one over its body. Only what a crash can leave, a record that is cut off
at the end of the last file, is dropped; any other damage raises Torn: what was promised by it must not be forgotten.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from pathlib import Path

import msgspec

from .disk import (
    VERSION,
    Begin,
    EntriesRecord,
    FileHead,
    Files,
    FolderInUse,
    Identity,
    ImageRecord,
    StorageFailed,
    VoteRecord,
    pack,
    unpack,
)
from .errors import ClusterError, Torn
from .interface import Entry, Image, Stored, Vote

PARTS = 8  # log files that half of the room is shared out to


class Storage:
    """Owner of the folder. One caller at a time; every call may block on the disk.

    Raises StorageFailed for whatever the disk refuses. After a sync that failed nobody knows what is on disk,
    and the next one may say yes all the same; so the first failure is the last call that does anything.
    """

    def __init__(
        self, folder: Path, disk_bytes: int, files: Files | None = None, draw: Callable[[int], bytes] = os.urandom
    ) -> None:
        """Raises FolderInUse, Torn, StorageFailed; nothing is then held."""
        self._folder, self._most, self._files = folder, disk_bytes, files or Files()
        self._part = max(disk_bytes // (2 * PARTS), 4096)
        self.failed: StorageFailed | None = None
        self._lock = self._file = -1
        self._size = 0  # of the file that is written
        self._old: deque[tuple[int, int, int]] = deque()  # number, bytes, last index of those before it
        self._number = self._image_bytes = self._imaged = 0
        self._grown = 0  # bytes written since the last image
        self._vote = Vote()
        self._first, self._terms = 1, []  # index of the first entry kept, the terms from it on
        try:
            self._files.make_folder(folder)
            self._files.sync_folder(folder.parent)
            self._lock = self._files.open(folder / "lock", make=True)
            self._files.lock(self._lock)
        except BlockingIOError:
            self.close()
            raise FolderInUse(str(folder)) from None
        except OSError as bad:
            self.close()
            raise StorageFailed(f"{folder}: {bad.strerror}") from None
        try:
            self.life = self._identity(draw)
            self.stored = self._load()
        except OSError as bad:
            self.close()
            raise StorageFailed(f"{folder}: {bad.strerror}") from None
        except ClusterError:
            self.close()
            raise

    # --- Reading.

    def _whole(self, name: str) -> bytes:
        file = self._files.open(self._folder / name)
        try:
            parts, at = [], 0
            while piece := self._files.read(file, 1 << 20, at):
                parts.append(piece)
                at += len(piece)
            return b"".join(parts)
        finally:
            self._files.close(file)

    def _only(self, name: str, kind: type) -> msgspec.Struct:
        data = self._whole(name)
        records, _ = unpack(data, name, last=False)
        if len(records) != 1 or not isinstance(records[0], kind):
            raise Torn(f"{name}: is not what it should be")
        return records[0]

    def _identity(self, draw: Callable[[int], bytes]) -> str:
        names = self._files.names(self._folder)
        for name in names:
            if name.endswith(".new"):
                self._files.remove(self._folder / name)
        if "identity" in names:
            return self._only("identity", Identity).life
        if any(name == "image" or name.startswith("log.") for name in names):
            # The votes in that log were cast under an identity that is lost.
            raise Torn("identity: is missing beside a log")
        life = draw(8).hex()
        self._put("identity", pack(Identity(life)))
        return life

    def _load(self) -> Stored:
        names = self._files.names(self._folder)
        image = self._only("image", ImageRecord).image if "image" in names else None
        numbers = sorted(int(name[4:]) for name in names if name.startswith("log.") and name[4:].isdigit())
        entries: list[Entry] = []
        begin = 0
        for place, number in enumerate(numbers):
            name, last = f"log.{number}", place == len(numbers) - 1
            if place and number != numbers[place - 1] + 1:
                raise Torn(f"{name}: the file before it is missing")
            data = self._whole(name)
            records, valid = unpack(data, name, last)
            if (records or not last) and records[:1] != [FileHead(VERSION, number)]:
                raise Torn(f"{name}: is of another version or another place")
            begin = self._replay(name, records, entries, begin if place else -1)
            if last:
                self._go_on(name, number, valid, len(data))
            else:
                self._old.append((number, len(data), begin + len(entries)))
        if not numbers:
            if image is not None:
                raise Torn("the log's files are missing beside an image")
            self._next_file(1)
        if image is not None:
            self._image_bytes, self._imaged = len(pack(ImageRecord(image))), image.index
        entries, void = self._after(image, entries, begin)
        if void:  # else the next entry would seem to follow them
            self._append(pack(Begin(image.index)))
        self._first = entries[0].index if entries else (image.index if image else 0) + 1
        self._terms = [entry.term for entry in entries]
        return Stored(self._vote, image, tuple(entries))

    def _replay(self, name: str, records: list, entries: list[Entry], begin: int) -> int:
        """`begin`: the index that the entries come after; -1 where that is not known yet."""
        for record in records:
            match record:
                case VoteRecord(vote):
                    self._vote = vote
                case Begin(index):
                    entries.clear()
                    begin = index
                case EntriesRecord(new):
                    for entry in new:
                        if begin < 0:
                            begin = entry.index - 1
                        if not begin < entry.index <= begin + len(entries) + 1:
                            raise Torn(f"{name}: entry {entry.index} does not follow {begin + len(entries)}")
                        del entries[entry.index - begin - 1 :]
                        entries.append(entry)
        return begin

    @staticmethod
    def _after(image: Image | None, entries: list[Entry], begin: int) -> tuple[list[Entry], bool]:
        """The entries that go on from the image; and whether there are others, which a crash kept from being voided."""
        index = image.index if image else 0
        if begin > index:
            raise Torn(f"entries {index + 1} to {begin} are missing")
        if begin < 0 or begin == index:
            return entries, False
        if begin + len(entries) < index or entries[index - begin - 1].term != image.term:
            return [], True
        return entries[index - begin :], False

    # --- Writing.

    @property
    def used(self) -> int:
        """Bytes of the log's files and the image."""
        return self._size + sum(size for _, size, _ in self._old) + self._image_bytes

    def wants_image(self, applied: int) -> bool:
        """Half of the room is used, and an image as of `applied` would give some of it back.

        With no room left nothing is proposed, so nothing grows: then every entry applied since counts.
        """
        return self.used > self._most // 2 and (
            self._grown > self._most // PARTS or self.room < self._most // PARTS and applied > self._imaged
        )

    @property
    def room(self) -> int:
        """Bytes of entries that may be proposed; a quarter of the limit is kept for an image, which frees the rest."""
        return self._most // 4 * 3 - self.used

    def write(self, vote: Vote | None, entries: tuple[Entry, ...], image: Image | None) -> None:
        """What a `Ready` has to keep: on disk once this returns. Raises StorageFailed, for good."""
        self._try(lambda: self._write(vote, entries, image))

    def compact(self, image: Image) -> None:
        """Keep the image of this log's own state and give back the files whose entries it holds."""
        self._try(lambda: self._compact(image))

    def _try(self, work: Callable[[], None]) -> None:
        if self.failed is not None:
            raise self.failed
        try:
            work()
        except StorageFailed as bad:
            self.failed = bad
            raise
        except OSError as bad:
            self.failed = StorageFailed(f"{self._folder}: {bad.strerror}")
            raise self.failed from None

    def _write(self, vote: Vote | None, entries: tuple[Entry, ...], image: Image | None) -> None:
        records = []
        if image is not None:
            goes_on = self._goes_on(image)
            self._put_image(image)
            if not goes_on:
                self._first, self._terms = image.index + 1, []
                records.append(pack(Begin(image.index)))
        if entries:
            at = entries[0].index - self._first
            if not 0 <= at <= len(self._terms):
                raise StorageFailed(f"entry {entries[0].index} does not follow {self._first + len(self._terms) - 1}")
            self._terms[at:] = [entry.term for entry in entries]
            records.append(pack(EntriesRecord(entries)))
        if vote is not None:
            records.append(pack(VoteRecord(vote)))
            self._vote = vote
        if records:
            self._append(b"".join(records))
        if image is not None:
            self._give_back(image.index)

    def _goes_on(self, image: Image) -> bool:
        """Whether the entries after the image stay: only where the log holds the image's own entry."""
        at = image.index - self._first
        return 0 <= at < len(self._terms) and self._terms[at] == image.term

    def _compact(self, image: Image) -> None:
        self._put_image(image)
        self._next_file(self._number + 1)
        self._give_back(image.index)

    def _put_image(self, image: Image) -> None:
        data = pack(ImageRecord(image))
        # Without room for an image the log could never be cut, which is why `room` keeps a quarter of the limit free.
        if self.used + len(data) > self._most:
            raise StorageFailed(f"{self._folder}: disk_mb is used up")
        self._put("image", data)
        self._image_bytes, self._imaged, self._grown = len(data), image.index, 0

    def _give_back(self, index: int) -> None:
        """Remove the oldest files as long as they hold nothing after `index`. The vote stands in each file's head."""
        gone = max(0, min(index + 1 - self._first, len(self._terms)))
        del self._terms[:gone]
        self._first += gone
        while self._old and self._old[0][2] <= index:
            self._files.remove(self._folder / f"log.{self._old[0][0]}")
            self._old.popleft()

    def _append(self, data: bytes) -> None:
        if self.used + len(data) > self._most:
            raise StorageFailed(f"{self._folder}: disk_mb is used up")
        if self._size > self._part:
            self._next_file(self._number + 1)
        self._fill(self._file, data, self._size)
        self._files.sync(self._file)
        self._size += len(data)
        self._grown += len(data)

    def _fill(self, file: int, data: bytes, at: int) -> None:
        done = 0
        try:
            while done < len(data):
                done += self._files.write(file, data[done:], at + done)
        except OSError:
            self._files.truncate(file, at)  # what was valid stays so, to the byte
            raise

    def _put(self, name: str, data: bytes) -> None:
        """A file of its own: whole, or as it was before."""
        new = self._folder / f"{name}.new"
        file = self._files.open(new, make=True)
        try:
            self._files.truncate(file, 0)
            self._fill(file, data, 0)
            self._files.sync(file)
        finally:
            self._files.close(file)
        self._files.rename(new, self._folder / name)
        self._files.sync_folder(self._folder)

    def _next_file(self, number: int) -> None:
        file = self._files.open(self._folder / f"log.{number}", make=True)
        data = pack(FileHead(VERSION, number)) + pack(VoteRecord(self._vote))
        try:
            self._fill(file, data, 0)
            self._files.sync(file)
            self._files.sync_folder(self._folder)
        except OSError:
            self._files.close(file)
            raise
        if self._file >= 0:
            self._old.append((self._number, self._size, self._first + len(self._terms) - 1))
            self._files.close(self._file)
        self._file, self._number, self._size = file, number, len(data)

    def _go_on(self, name: str, number: int, valid: int, size: int) -> None:
        """Write on where the valid records of the last file end."""
        self._file = self._files.open(self._folder / name)
        self._number, self._size = number, valid
        if valid < size:
            self._files.truncate(self._file, valid)
            self._files.sync(self._file)
        if not valid:
            data = pack(FileHead(VERSION, number)) + pack(VoteRecord(self._vote))
            self._fill(self._file, data, 0)
            self._files.sync(self._file)
            self._size = len(data)

    def close(self) -> None:
        """Give back the folder. No write may be under way."""
        for file in (self._file, self._lock):
            if file >= 0:
                self._files.close(file)
        self._file = self._lock = -1
