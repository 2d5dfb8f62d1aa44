"""The entries above the image, in memory, and the Config as of each of them."""

from __future__ import annotations

import msgspec

from ..errors import Torn
from ..interface import Config, Entry, Image, Kind

HEAD = 32  # bytes that an entry takes on the wire besides its data, at most
_CONFIG = msgspec.msgpack.Decoder(Config)


def config_of(entry: Entry) -> Config | None:
    """The Config that an entry holds, or None where it is not one (or nobody would decide)."""
    try:
        config = _CONFIG.decode(entry.data)
    except msgspec.MsgspecError:
        return None
    return config if config.voters else None


def follow(entries: tuple[Entry, ...], index: int, term: int, most_term: int) -> bool:
    """Whether `entries` could stand after (`index`, `term`) in a log of a leader of `most_term`."""
    for entry in entries:
        index += 1
        if entry.index != index or not term <= entry.term <= most_term or entry.term < 1:
            return False
        if entry.kind == Kind.CONFIG and config_of(entry) is None:
            return False
        term = entry.term
    return True


class Entries:
    """`base` is the index of the image (0 without one); entries base + 1 to `last` are held."""

    def __init__(self, image: Image | None, entries: tuple[Entry, ...]) -> None:
        self.base = image.index if image else 0
        self.base_term = image.term if image else 0
        self.held: list[Entry] = []
        self.configs: list[tuple[int, Config]] = [(self.base, image.config if image else Config(()))]
        if not follow(entries, self.base, self.base_term, entries[-1].term if entries else 0):
            raise Torn("the stored entries do not follow the image or one another")
        self.append(entries)

    @property
    def last(self) -> int:
        return self.base + len(self.held)

    @property
    def last_term(self) -> int:
        return self.held[-1].term if self.held else self.base_term

    @property
    def config(self) -> Config:
        """In force from when its entry is appended, committed or not (thesis, 4.1)."""
        return self.configs[-1][1]

    @property
    def config_index(self) -> int:
        return self.configs[-1][0]

    def config_at(self, index: int) -> Config:
        return next((config for at, config in reversed(self.configs) if at <= index), Config(()))

    def term(self, index: int) -> int | None:
        """Of the entry at `index`, or None where none is known (before the image, beyond the end)."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.held[index - self.base - 1].term
        return None

    def since(self, index: int, upto: int | None = None) -> tuple[Entry, ...]:
        """Entries `index` to `upto` (the last)."""
        end = len(self.held) if upto is None else upto - self.base
        return tuple(self.held[index - self.base - 1 : end])

    def batch(self, index: int, most: int) -> tuple[Entry, ...]:
        """Entries from `index` on that take `most` bytes together, but one at least if there is one."""
        start = end = index - self.base - 1
        room = most
        while end < len(self.held):
            room -= len(self.held[end].data) + HEAD
            if room < 0 and end > start:
                break
            end += 1
        return tuple(self.held[start:end])

    def append(self, entries: tuple[Entry, ...]) -> None:
        self.held.extend(entries)
        for entry in entries:
            if entry.kind == Kind.CONFIG:
                self.configs.append((entry.index, config_of(entry)))

    def cut(self, index: int) -> None:
        """Forget entries from `index` on; the Config is again what it was before them."""
        del self.held[index - self.base - 1 :]
        while self.configs[-1][0] >= index and len(self.configs) > 1:
            self.configs.pop()

    def compact(self, image: Image) -> None:
        """Forget entries up to the image, which is of this log."""
        self.configs = [(image.index, image.config), *((at, c) for at, c in self.configs if at > image.index)]
        del self.held[: image.index - self.base]
        self.base, self.base_term = image.index, image.term

    def reset(self, image: Image) -> None:
        """Begin anew with the image alone."""
        self.__init__(image, ())

    def hint(self, index: int, term: int) -> int:
        """Where a leader that holds (`index`, `term`), which is not here, could try next: below all of one term.

        Entries of a later term than `term` are none of the leader's; of the term that conflicts all are passed over
        at once (Ongaro and Ousterhout, 5.3), which may be too far but costs one message for each term.
        """
        at = min(index, self.last)
        if at == index and at > self.base:
            other = self.term(at)
            while at > self.base and self.term(at) == other:
                at -= 1
        while at > self.base and self.term(at) > term:
            at -= 1
        return at
