"""Planted bugs of the membership, each with the story and the check that finds it.

`python -m linkdock.lab.virtual_members_bugs` plays all and prints a table; exit code 1 if one is not found.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from math import inf

from ..cluster.interface import Ack, Rumour
from ..cluster.members.rumours import Rumours
from ..cluster.members.settings import MembersSettings
from ..cluster.members.swim import Swim
from ..cluster.members.table import Change, Record, Table
from .virtual_members_stories import STORIES


class NotRaised(Swim):
    def _rise(self, over: int) -> None:
        pass


class AnyNumber(Swim):
    def _answered(self, packet: Ack) -> None:
        probe = self._open.probe
        if probe is not None and probe.target == packet.target:
            probe.answered = True
        super()._answered(packet)


class _Lenient(Table):
    def _outdone(self, rumour: Rumour, record: Record) -> bool:
        return False

    def _behind(self, rumour: Rumour) -> bool:
        return False


class OldLife(Swim):
    """The later one to speak has the name."""

    def __init__(self, *told: object) -> None:
        super().__init__(*told)
        self.table = _Lenient(self.settings)


class _TwoLives(Table):
    def _outlived(self, now: float, peer_id: str) -> list[Change]:
        return []


class BothLives(Swim):
    """A new life does not end the old one."""

    def __init__(self, *told: object) -> None:
        super().__init__(*told)
        self.table = _TwoLives(self.settings)


class _DeadWins(Table):
    @staticmethod
    def wins(rumour: Rumour, record: Record) -> bool:
        return (rumour.standing, rumour.incarnation) > (record.standing, record.incarnation)


class DeadWins(Swim):
    def __init__(self, *told: object) -> None:
        super().__init__(*told)
        self.table = _DeadWins(self.settings)


class _AnyIncarnation(Table):
    @staticmethod
    def wins(rumour: Rumour, record: Record) -> bool:
        return (rumour.standing, rumour.incarnation) != (record.standing, record.incarnation)


class Stale(Swim):
    """The last word wins, of whatever incarnation."""

    def __init__(self, *told: object) -> None:
        super().__init__(*told)
        self.table = _AnyIncarnation(self.settings)


class _Endless(Rumours):
    def times(self, members: int) -> float:
        return inf


class EndlessRumours(Swim):
    def __init__(self, *told: object) -> None:
        super().__init__(*told)
        self._rumours = _Endless(self.settings.spread)


class ShortSuspicion(Swim):
    def _changed(self, changes: list[Change], by: str) -> None:
        super()._changed(changes, by)
        for change in changes:
            if change.record.suspicion is not None:
                change.record.suspicion.longest = change.record.suspicion.shortest


class BelievedAtOnce(Swim):
    def _ripe(self, rumour: Rumour, record: Record) -> bool:
        return True


class NoRetry(Swim):
    def _retry(self) -> None:
        self._retry_at = inf


class Untold(Swim):
    """Nobody is told that it is suspected or taken for dead."""

    def _first_words(self, to: str, behind: int) -> list[Rumour]:
        return []


class _Keeps(Table):
    def tellable(self, now: float) -> list[Record]:
        return list(self.records.values())


class KeptForEver(Swim):
    def __init__(self, *told: object) -> None:
        super().__init__(*told)
        self.table = _Keeps(self.settings)


class PauseUnnoticed(Swim):
    def _begin(self, now: float) -> None:
        self._out, self._now = [], max(now, self._now)


@dataclass(frozen=True)
class Planted:
    make: type[Swim]
    story: str
    check: str
    what: str
    size: int = 12


BUGS = {
    "not-raised": Planted(NotRaised, "lies", "refuted", "a refutation does not raise the incarnation"),
    "any-number": Planted(AnyNumber, "crash", "in time", "an Ack with any number answers a probe"),
    "old-life": Planted(OldLife, "twin", "stays dead", "a life that was followed by another comes back"),
    "both-lives": Planted(BothLives, "returns", "one life", "a new life does not end the old one"),
    "dead-wins": Planted(DeadWins, "returns", "converged", "a failure wins over a higher incarnation"),
    "stale": Planted(Stale, "returns", "stays dead", "a lower incarnation wins if it comes later"),
    "endless-rumours": Planted(EndlessRumours, "idle", "bounded", "rumours are told for ever"),
    "short-suspicion": Planted(ShortSuspicion, "weary", "few false failures", "a suspicion is short at once"),
    "believed-at-once": Planted(BelievedAtOnce, "cut", "own side stays", "a word of failure is believed at once", 21),
    "no-retry": Planted(NoRetry, "cut", "healed", "nobody tries those that failed"),
    "untold": Planted(Untold, "cut", "healed", "nobody is told that it is taken for dead"),
    "kept-for-ever": Planted(KeptForEver, "forget", "forgotten", "the dead are told of until they are forgotten"),
    "pause-unnoticed": Planted(PauseUnnoticed, "long-pauses", "few false suspicions", "time away counts as silence"),
}


def found(bug: Planted, seeds: range) -> int | None:
    """The first seed by which the named check finds it."""
    for seed in seeds:
        result = STORIES[bug.story](seed, bug.size, MembersSettings(), bug.make)
        if bug.check in result["broken"]:
            return seed
    return None


def main() -> None:
    missed = 0
    print("| bug | what | story | check | found by seed |\n| --- | --- | --- | --- | --- |")
    for name, bug in BUGS.items():
        seed = found(bug, range(1, 6))
        missed += seed is None
        said = "not found" if seed is None else seed
        print(f"| {name} | {bug.what} | {bug.story} | {bug.check} | {said} |", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
