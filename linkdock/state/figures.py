"""What a process has counted since its start, for the operators. Counters alone, without I/O.

Every message that is handed in and could be taken is `came` once, and `over` once with one of three ends, so that
came = fulfilled + throttled + faulted + still open holds at every moment. What ends twice in words (a delivery so late
that a notice goes out beside it) ends here by the first.
"""

from __future__ import annotations

from collections.abc import Iterable

FULFILLED, THROTTLED, FAULTED = "fulfilled", "throttled", "faulted"
ENDS = FULFILLED, THROTTLED, FAULTED


class Figures:
    """Owner of the counts. Classes are named as in the settings, and told by number."""

    def __init__(self, classes: Iterable[str]) -> None:
        """`classes` are the names, by number."""
        self.classes = list(classes)
        self._over = [dict.fromkeys(ENDS, 0) for _ in self.classes]
        self.came = 0  # messages handed in, or held for by an earlier life
        self.relayed = 0  # messages written whole to backend servers; a call with ten counts ten
        self.accepted = self.invalid = 0  # configurations that SIGHUP brought

    def over(self, cls: int | None, end: str) -> None:
        """A message has ended. One of a class that the settings do not have any more counts with the first."""
        self._over[cls or 0][end] += 1

    @property
    def ended(self) -> int:
        """Messages that are over, of all classes and ends."""
        return sum(sum(ends.values()) for ends in self._over)

    def ends(self) -> Iterable[tuple[str, str, int]]:
        """Class, end and count, of every class and end there is."""
        for name, ends in zip(self.classes, self._over, strict=True):
            for end, count in ends.items():
                yield name, end, count
