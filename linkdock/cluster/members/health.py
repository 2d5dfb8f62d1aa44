"""Lifeguard: how far a process trusts its own ears, and how long a suspect has to speak up."""

from __future__ import annotations

from math import log, log10

from .settings import MembersSettings


class Health:
    """0 is sound; each doubt adds one up to a bound, each answer in time takes one away."""

    def __init__(self, settings: MembersSettings) -> None:
        self._most = settings.most_health if settings.lifeguard else 0
        self.score = 0

    def better(self) -> None:
        self.score = max(0, self.score - 1)

    def worse(self, by: int = 1) -> None:
        self.score = min(self._most, self.score + max(0, by))

    def times(self) -> int:
        """What its own time-outs are multiplied by."""
        return 1 + self.score


class Suspicion:
    """One suspect's time: long at first, shorter with each member that found the same by its own probe."""

    __slots__ = ("began", "shortest", "longest", "needed", "by")

    def __init__(self, now: float, members: int, settings: MembersSettings, by: str) -> None:
        self.began = now
        self.shortest = settings.suspicion * max(1.0, log10(max(1, members))) * settings.probe_s
        self.needed = max(0, min(settings.confirmations, members - 2)) if settings.lifeguard else 0
        self.longest = self.shortest * settings.suspicion_growth if self.needed else self.shortest
        self.by = {by}

    def confirm(self, by: str) -> None:
        if len(self.by) <= self.needed:
            self.by.add(by)

    def until(self) -> float:
        if not self.needed:
            return self.began + self.shortest
        share = log(len(self.by)) / log(self.needed + 1)
        return self.began + max(self.shortest, self.longest - (self.longest - self.shortest) * share)
