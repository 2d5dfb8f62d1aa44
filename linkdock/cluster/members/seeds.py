"""Where to begin: addresses of processes whose ids are not known yet, tried with growing pauses until one answers."""

from __future__ import annotations

from math import inf
from random import Random

from ..interface import Peer
from .settings import MembersSettings

MOST_SEEDS, AT_ONCE = 32, 3


class Seeds:
    """Whom a process asks to be let in until one has answered, and when: less often after each failure."""

    def __init__(self, seeds: list[str], me: Peer, settings: MembersSettings, random: Random) -> None:
        """`seeds` are `host:port`; this process's own address is left out."""
        mine = f"{me.host}:{me.port}"
        self._seeds = [seed for seed in dict.fromkeys(seeds) if seed != mine][:MOST_SEEDS]
        self._settings, self._random = settings, random
        self._gap, self._at = settings.join_s, inf
        self.welcomed = not self._seeds

    def due(self) -> float:
        """When to ask next; never once it has been let in."""
        return inf if self.welcomed else self._at

    def shift(self, late: float) -> None:
        """Put the next ask off by `late` seconds, which this process spent standing still."""
        self._at += late

    def next(self, now: float) -> list[str]:
        """Whom to ask now; the pause until the next time is drawn."""
        if self.welcomed:
            return []
        self._at = now + self._gap * self._random.uniform(0.7, 1.3)
        self._gap = min(2 * self._gap, self._settings.join_most_s)
        return self._random.sample(self._seeds, min(len(self._seeds), AT_ONCE))

    def astray(self, living: set[str]) -> str | None:
        """A seed at whose address no living member is known."""
        lost = [seed for seed in self._seeds if seed not in living]
        return self._random.choice(lost) if lost else None
