"""Records with checksums in files, and the operations on files, as the log's folder is made of them."""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from pathlib import Path

import msgspec

from .errors import ClusterError, Torn
from .interface import Entry, Image, Vote

HEAD = struct.Struct("<III")  # bytes of the body, its crc32, crc32 of the eight bytes before
SECTOR = 512
LEAST_TAIL = 16  # zeros at a file's end that count as never written
VERSION = 1
_BAD = (msgspec.MsgspecError, ValueError, RecursionError)


class StorageFailed(ClusterError):
    """The disk is full, broken or read-only, or `disk_mb` is used up. What was valid before still is."""

    code = "LD-CLUSTER-DISK"
    what = "the cluster's folder could not be written"
    remedy = "Make room or raise `disk_mb`, then restart the process; it delivers messages meanwhile"


class FolderInUse(ClusterError):
    """Another process has the folder."""

    code = "LD-CLUSTER-FOLDER"
    what = "another process uses this cluster folder"
    remedy = "Give each process a state folder of its own; an upgrade's next process takes it up when the old one ends"


class Files:
    """The operations on files that the folder is made of; each may raise OSError."""

    def make_folder(self, folder: Path) -> None:
        """Make it unless it is there; its parent must be."""
        folder.mkdir(exist_ok=True)

    def lock(self, file: int) -> None:
        """Raises BlockingIOError where another has it."""
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def open(self, path: Path, make: bool = False) -> int:
        """A descriptor to read and write `path` by; `make`: it is made if it is missing."""
        return os.open(path, os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT if make else 0), 0o600)

    def read(self, file: int, size: int, at: int) -> bytes:
        """At most `size` bytes from the offset `at`; none at the file's end."""
        return os.pread(file, size, at)

    def size(self, file: int) -> int:
        """Bytes of an open file."""
        return os.fstat(file).st_size

    def write(self, file: int, data: bytes, at: int) -> int:
        """How many bytes of `data` were written at the offset `at`; it may be fewer than there are."""
        return os.pwrite(file, data, at)

    def truncate(self, file: int, size: int) -> None:
        """Cut an open file to `size` bytes."""
        os.ftruncate(file, size)

    def sync(self, file: int) -> None:
        """Wait until what was written to it is on disk."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Give the descriptor back."""
        os.close(file)

    def rename(self, old: Path, new: Path) -> None:
        """Put `old` in the place of `new`, at once."""
        os.rename(old, new)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        os.unlink(path)

    def names(self, folder: Path) -> list[str]:
        """The names in `folder`, in no order."""
        return os.listdir(folder)

    def sync_folder(self, folder: Path) -> None:
        """Wait until the names in `folder` are on disk."""
        file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)


class FileHead(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """The first record of a log file: the format's version and the file's number."""

    version: int
    number: int


class VoteRecord(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """The vote from here on; the last one of the log counts."""

    vote: Vote


class Begin(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """All entries before are void; the next is the one after `index`, an image's."""

    index: int


class EntriesRecord(msgspec.Struct, frozen=True, array_like=True, tag="entries"):
    """Entries from these on replace what there was."""

    entries: tuple[Entry, ...]


class ImageRecord(msgspec.Struct, frozen=True, array_like=True, tag="image"):
    """The one record of the file `image`."""

    image: Image


class Identity(msgspec.Struct, frozen=True, array_like=True, tag="identity"):
    """The one record of the file `identity`: the life that was drawn at random when the folder was made."""

    life: str


_record = msgspec.msgpack.Decoder(FileHead | VoteRecord | Begin | EntriesRecord | ImageRecord | Identity)
_encode = msgspec.msgpack.Encoder().encode


def pack(record: msgspec.Struct) -> bytes:
    """A record with its length and checksums, as it stands in a file."""
    body = _encode(record)
    head = struct.pack("<II", len(body), zlib.crc32(body))
    return head + struct.pack("<I", zlib.crc32(head)) + body


def _never_written(data: bytes, at: int) -> bool:
    """Whether a sector of the last record, or the end of its last one, is all zeros: data that never came."""
    for sector in range(at // SECTOR * SECTOR, len(data), SECTOR):
        piece = data[max(sector, at) : sector + SECTOR]
        if not any(piece) and (len(piece) == SECTOR or sector + SECTOR >= len(data) and len(piece) >= LEAST_TAIL):
            return True
    return False


def unpack(data: bytes, name: str, last: bool) -> tuple[list[msgspec.Struct], int]:
    """The records of a file and where the valid ones end. Raises Torn; `last`: a crash may have cut off its end."""
    records, at = [], 0
    while at < len(data):
        end = at + HEAD.size
        if end <= len(data):
            size, body_sum, head_sum = HEAD.unpack_from(data, at)
            # A damaged length looks like a record cut off by a crash, and all that comes after it would be dropped.
            if zlib.crc32(data[at : at + 8]) != head_sum:
                if last and not any(data[at:]):
                    return records, at
                raise Torn(f"{name}: the head of a record at byte {at} is damaged")
            end += size
        if end <= len(data) and zlib.crc32(data[at + HEAD.size : end]) == body_sum:
            try:
                records.append(_record.decode(data[at + HEAD.size : end]))
            except _BAD as bad:
                raise Torn(f"{name}: the record at byte {at}: {bad}") from None
            at = end
        elif last and (end > len(data) or end == len(data) and _never_written(data, at)):
            return records, at
        else:
            raise Torn(f"{name}: the record at byte {at} is damaged")
    return records, at
