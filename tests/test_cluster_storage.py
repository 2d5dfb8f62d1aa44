"""The log's folder: torn, flipped, crashed at every step, full, and used by two."""

from __future__ import annotations

import errno
import random
import resource
from pathlib import Path

import pytest

from linkdock.cluster.disk import Files, FolderInUse, StorageFailed
from linkdock.cluster.errors import Torn
from linkdock.cluster.interface import Config, Entry, Image, Kind, Stored, Vote
from linkdock.cluster.storage import Storage

FOLDER = Path("/disk")
MB = 1_000_000


class CrashError(Exception):
    """The power is gone."""


class Disk(Files):
    """Files in memory that know what a sync has made sure of; `left` steps until the power goes, or an error comes."""

    def __init__(self, names=None, left=None, error=None):
        self.names_now, self.sure, self.pending = dict(names or {}), dict(names or {}), []
        self.open_files, self.left, self.error = {}, left, error

    def _step(self):
        if self.left is not None:
            self.left -= 1
            if self.left == 0:
                raise OSError(self.error, "planted") if self.error else CrashError
            if self.left < 0 and not self.error:
                raise CrashError

    def make_folder(self, folder):
        pass

    def lock(self, file):
        pass

    def open(self, path, make=False):
        if path.name not in self.names_now:
            self._step()
            self._name(path.name, [bytearray(), 0])
        self.open_files[len(self.open_files)] = self.names_now[path.name]
        return len(self.open_files) - 1

    def _name(self, name, node):
        self.pending.append((name, node))
        if node is None:
            del self.names_now[name]
        else:
            self.names_now[name] = node

    def read(self, file, size, at):
        return bytes(self.open_files[file][0][at : at + size])

    def write(self, file, data, at):
        data = data[: 1 + len(data) // 2]  # never all at once
        self._step()
        self.open_files[file][0][at : at + len(data)] = data
        return len(data)

    def truncate(self, file, size):
        node = self.open_files[file]
        del node[0][size:]
        node[1] = min(node[1], size)

    def sync(self, file):
        self._step()
        self.open_files[file][1] = len(self.open_files[file][0])

    def close(self, file):
        pass

    def rename(self, old, new):
        self._step()
        self._name(new.name, self.names_now[old.name])
        self._name(old.name, None)

    def remove(self, path):
        self._step()
        self._name(path.name, None)

    def names(self, folder):
        return list(self.names_now)

    def sync_folder(self, folder):
        self._step()
        self.sure, self.pending = dict(self.names_now), []

    def after_crash(self, draw):
        """What was not made sure of is there or not: names in their order, data up to any byte, or as zeros."""
        names = dict(self.sure)
        for name, node in self.pending[: draw.randrange(len(self.pending) + 1)]:
            names.pop(name, None) if node is None else names.update({name: node})
        found = {}
        for name, (data, sure) in names.items():
            kept = data[: draw.randrange(sure, len(data) + 1)]
            if draw.random() < 0.2:
                kept = data[:sure] + bytes(len(kept) - sure)
            found[name] = [bytearray(kept), len(kept)]
        return Disk(found)


def entry(index, term, size=20):
    return Entry(index, term, Kind.COMMAND, random.Random(index * 100 + term).randbytes(size))


def entries(first, last, term, size=20):
    return tuple(entry(n, term, size) for n in range(first, last + 1))


def image(index, term):
    return Image(index, term, Config(("a~1",)), b"state %d" % index)


def story(draw):
    """Steps as a log gives them, with the state that each leaves: (call, arguments, Stored)."""
    vote, held, base, term, steps = Vote(), [], None, 1, []
    for _ in range(14):
        first = base.index if base else 0
        what = draw.choice(["more", "more", "more", "cut", "vote", "compact", "install"])
        new_vote, new, told, call = None, (), None, "write"
        if what == "vote" or draw.random() < 0.2:
            term += 1
            new_vote = vote = Vote(term, draw.choice(["", "a~1"]))
        if what in ("more", "cut"):
            at = len(held) if what == "more" else draw.randrange(len(held) + 1)
            new = entries(first + at + 1, first + at + draw.randrange(1, 4), term, draw.choice([5, 300, 3000]))
            held = held[:at] + list(new)
        elif what == "install":
            base = told = image(first + draw.randrange(1, 9), draw.choice([term, term + 1]))
            at = base.index - first
            goes_on = at <= len(held) and held[at - 1].term == base.term
            held = held[at:] if goes_on else []
        elif what == "compact" and held:
            at = draw.randrange(1, len(held) + 1)
            base, held, call = image(first + at, held[at - 1].term), held[at:], "compact"
        if call == "compact" and new_vote is not None:
            steps.append(("write", (new_vote, (), None), Stored(vote, steps[-1][2].image, steps[-1][2].entries)))
        arguments = (base,) if call == "compact" else (new_vote, new, told)
        steps.append((call, arguments, Stored(vote, base, tuple(held))))
    return steps


def opened(disk, most=64 * 4096):
    return Storage(FOLDER, most, disk, lambda n: b"\1" * n)


def check(found, old, new):
    """Found is what was promised last, or what was being written, or a step between the two."""
    assert found.vote in (old.vote, new.vote) and found.image in (old.image, new.image)
    first = found.image.index if found.image else 0
    after = [[e for e in stored.entries if e.index > first] for stored in (old, new)]
    assert list(found.entries) in after or not after[1] and found.image == new.image != old.image


@pytest.mark.parametrize("seed", range(6))
def test_a_crash_at_any_step_leaves_what_was_promised_and_a_folder_that_goes_on(seed):
    draw = random.Random(seed)
    steps = story(draw)
    for left in range(1, 10_000):
        disk, old, new = Disk(left=left), Stored(), Stored()
        try:
            storage = opened(disk)
            for call, arguments, new in steps:  # noqa: B007
                getattr(storage, call)(*arguments)
                old = new
        except CrashError:
            pass
        whole = old is new
        storage = opened(disk.after_crash(draw))
        found = storage.stored
        check(found, old, new)
        if whole:
            assert found == new
        last = (found.image.index if found.image else 0) + len(found.entries)
        more = entries(last + 1, last + 2, 99)
        storage.write(None, more, None)
        storage.close()
        assert opened(Disk(storage._files.names_now)).stored.entries == found.entries + more
        if disk.left > 0:
            break
    assert left > 60 and whole


def written(disk):
    """A log of one file, and after each of its records the size and what is stored."""
    storage, sizes = opened(disk), []
    sizes.append((storage._size, Stored()))
    for vote, new in (
        (Vote(1, "a~1"), ()),
        (None, entries(1, 3, 1)),
        (Vote(2), entries(3, 4, 2, 90)),
        (None, (Entry(5, 2, Kind.COMMAND, bytes(40)),)),
        (Vote(3, "b~1"), entries(6, 6, 2)),
    ):
        held = tuple(e for e in sizes[-1][1].entries if not new or e.index < new[0].index) + new
        if vote is not None and new:  # two records, so there is a state between
            storage._write(None, new, None)
            sizes.append((storage._size, Stored(sizes[-1][1].vote, None, held)))
            new = ()
        storage.write(vote, new, None)
        sizes.append((storage._size, Stored(vote or sizes[-1][1].vote, None, held)))
    storage.close()
    return sizes


def test_torn_at_any_byte_all_whole_records_are_there_and_nothing_else():
    disk = Disk()
    sizes = written(disk)
    whole = bytes(disk.names_now["log.1"][0])
    for cut in range(len(whole) + 1):
        at = Disk({**disk.names_now, "log.1": [bytearray(whole[:cut]), cut]})
        storage = opened(at)
        expected = [stored for size, stored in sizes if size <= cut]
        assert storage.stored == (expected[-1] if expected else Stored())
        zeros = Disk({**disk.names_now, "log.1": [bytearray(whole[:cut]) + bytes(40), cut]})
        if cut in {size for size, _ in sizes}:
            assert opened(zeros).stored == expected[-1]


def test_a_byte_that_flips_anywhere_is_never_taken_for_a_torn_end():
    disk = Disk()
    written(disk)
    opened(disk).compact(image(5, 2))
    flipped = 0
    for name, (data, _) in disk.names_now.items():
        for at in range(len(data)):
            bad = bytearray(data)
            bad[at] ^= 1 << at % 8
            with pytest.raises(Torn):
                opened(Disk({**disk.names_now, name: [bad, len(bad)]}))
            flipped += 1
    assert flipped > 300


def test_files_that_are_missing_or_of_another_folder_are_not_passed_over():
    disk = Disk()
    storage = opened(disk, 64 * 4096)
    for n in range(1, 9):
        storage.write(Vote(n), entries(3 * n - 2, 3 * n, n, 3000), None)
    names = disk.names_now
    assert len([name for name in names if name.startswith("log.")]) > 3
    for gone in ("identity", "log.1", "log.2"):
        with pytest.raises(Torn):
            opened(Disk({name: node for name, node in names.items() if name != gone}))
    with pytest.raises(Torn):
        opened(Disk({**names, "log.2": names["log.3"]}))
    for broken in (bytearray(), names["log.2"][0][:-1]):
        with pytest.raises(Torn):
            opened(Disk({**names, "log.2": [broken, len(broken)]}))


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS])
def test_an_error_of_the_disk_is_typed_final_and_leaves_what_was_valid(error):
    steps = story(random.Random(3))
    for left in range(4, 200):
        disk, old, new, storage = Disk(left=left, error=error), Stored(), Stored(), None
        try:
            storage = opened(disk)
            for call, arguments, new in steps:  # noqa: B007
                getattr(storage, call)(*arguments)
                old = new
        except StorageFailed as bad:
            if storage is not None:
                with pytest.raises(StorageFailed) as again:
                    storage.write(Vote(99), (), None)
                assert again.value is storage.failed is bad
        check(opened(Disk(disk.names_now)).stored, old, new)
    assert disk.left > 0


def test_real_files_a_limit_of_their_size_two_processes_and_a_life_that_stays(tmp_path):
    storage = Storage(tmp_path / "cluster", 4 * MB)
    life = storage.life
    storage.write(Vote(1, "x"), entries(1, 5, 1), None)
    with pytest.raises(FolderInUse):
        Storage(tmp_path / "cluster", 4 * MB)
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (storage._size + 1000, hard))
    try:
        with pytest.raises(StorageFailed):
            storage.write(None, entries(6, 9, 1, 1000), None)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    storage.close()
    storage = Storage(tmp_path / "cluster", 4 * MB)
    assert storage.life == life and storage.stored == Stored(Vote(1, "x"), None, entries(1, 5, 1))
    storage.close()
    assert Storage(tmp_path / "other", 4 * MB).life != life


def test_disk_mb_is_kept_and_an_image_gives_room_back():
    disk, index = Disk(), 0
    storage = opened(disk, 200_000)
    for _ in range(400):
        storage.write(None, entries(index + 1, index + 3, 1, 500), None)
        index += 3
        if storage.wants_image(index):
            storage.compact(image(index, 1))
            assert not storage.wants_image(index)
        assert (
            storage.used
            == sum(len(node[0]) for name, node in disk.names_now.items() if name != "identity" and name != "lock")
            <= 200_000
        )
    with pytest.raises(StorageFailed):
        for _ in range(400):
            storage.write(None, entries(index + 1, index + 3, 1, 500), None)
            index += 3
    assert storage.used <= 200_000 and index > 1300


def test_an_image_is_wanted_again_where_the_last_one_could_give_nothing_back():
    disk, index = Disk(), 0
    storage = opened(disk, 200_000)
    storage._part = 10**9  # one file: what is not applied yet keeps all of it
    while storage.room > 20_000:
        index += 1
        storage.write(None, entries(index, index, 1, 5000), None)
    storage.compact(image(index - 1, 1))
    assert storage.room <= 25_000 and not storage.wants_image(index - 1) and storage.wants_image(index)
    storage.compact(image(index, 1))
    assert storage.room > 100_000 and not storage.wants_image(index)
