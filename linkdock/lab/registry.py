"""Discovery as a fleet meets it: who is listed, changes told to watchers, asks that are turned away. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from .. import interface as i

MOST_BEHIND = 4.0  # seconds of asks that may be behind; what is turned away weighs as much as what is served


class Registry:
    """The list and its changes. It serves so many asks a second; an overbooked one serves fewer and fewer."""

    def __init__(self, entries: Iterable[i.HostEntry], served_a_second: float, random: Random) -> None:
        """List `entries`, and serve so many asks a second."""
        self.listed = {entry.host: entry for entry in entries}
        self.version, self.random = 0, random
        self.served_a_second = served_a_second
        self.asks = self.turned_away = 0
        self._changes: list[i.HostEntry] = []
        self._behind, self._behind_at = 0.0, 0.0
        self._watchers: dict[int, Callable[[list[i.HostEntry], int], None]] = {}

    def alive(self, host: str) -> bool:
        """Whether `host` is listed."""
        return host in self.listed

    def replace(self, host: str, by: str) -> list[i.HostEntry]:
        """One endpoint goes and another takes its place; what watchers are to be told of it."""
        old = self.listed.pop(host)
        self.listed[by] = i.HostEntry(by, old.destination, kind=old.kind, zone=old.zone)
        changes = [i.HostEntry(host, old.destination, i.HostState.GONE), self.listed[by]]
        self._changes += changes
        self.version = len(self._changes)
        return changes

    def tell(self, upto: int) -> None:
        """Those that watch hear of what has changed until then."""
        for take in list(self._watchers.values()):
            take(self._changes, upto)

    def ask(self, now: float, who: int, take: Callable[[list[i.HostEntry], int], None]) -> bool:
        """An ask to watch from now on: whether it is served. `take` is told all changes, and how many count."""
        self.asks += 1
        self._behind = max(0.0, self._behind - (now - self._behind_at) * self.served_a_second)
        self._behind_at = now
        served = self._behind < self.served_a_second
        self._behind = min(self._behind + 1, MOST_BEHIND * self.served_a_second)
        if not served:
            self.turned_away += 1
            return False
        self._watchers[who] = take
        take(self._changes, self.version)
        return True

    def lose(self, who: int) -> None:
        """The watch of one that has died ends."""
        self._watchers.pop(who, None)
