"""Estimates at the size to design for, by the names of a run and its figure; and what tables share of words."""

from __future__ import annotations

from ...cluster.members.settings import MembersSettings
from . import design as d
from .slopes import Book

READY = 10.0  # seconds in which a restarted process is to be ready
MOST_MEMBERS = MembersSettings().most_members
LIST = "watch of discovery, a whole list each (`protocol/discovery.py`)"
MEMBERS = "SWIM (`cluster/members/`)"
LOG = "replicated log, a learner in each sender (`cluster/log/`)"
JUDGE = "none yet: `failover/judge.py` is a pure function that no process runs"
JOURNAL = "journal, all of it in memory (`state/journal.py`)"
ASSIGN = "none yet: assignment of destinations to senders"


def times(value: float | None, by: float) -> float | None:
    """`value * by`, or None where the value was not measured."""
    return None if value is None else value * by


def total(*values: float | None) -> float | None:
    """The sum, or None where any of the values was not measured."""
    return None if any(value is None for value in values) else sum(values)


class Figures:
    """Estimates at the size to design for, by a short name; None where nothing was measured."""

    def __init__(self, book: Book) -> None:
        """`book` holds the fits and measured rows that all estimates come from."""
        self.book = book

    def value(self, run: str, figure: str, size: float) -> float | None:
        """As measured where that size was run; else what the fit says."""
        measured = self.book.measured(run, figure, int(size))
        if measured is not None and size == int(size):
            return measured
        found = self.book.at(run, figure, size)
        return None if found is None else max(0.0, found.value)

    def factor(self, run: str, figure: str, size: float) -> float:
        """How far `size` is beyond the largest one run: 1 within what was run, 0 where nothing was fitted."""
        return self.book.factor(run, figure, size)

    def list_of(self, figure: str, rows: float = d.DESTINATIONS) -> float | None:
        """A figure of the run `list` for so many rows of the list of destinations."""
        return self.value("list", figure, rows)

    def fleet(self, run: str, figure: str) -> float | None:
        """A figure of a run at the number of senders to design for."""
        return self.value(run, figure, d.SENDERS)

    def row(self, figure: str) -> float | None:
        """Of one row of the list, by the slope."""
        found = self.book.fit("list", figure)
        return found.slope if found else None

    def real_beyond_hollow(self, figure: str) -> float | None:
        """By how much a real node is over a hollow one, at the largest size that both were run at."""
        sizes = self.both_sizes(figure)
        if not sizes:
            return None
        return self.book.measured("real", figure, sizes[-1]) - self.book.measured("hollow", figure, sizes[-1])

    def both_sizes(self, figure: str) -> list[int]:
        """Sizes at which both were run, the largest last."""
        real, hollow = ({row.size for row in self.book.rows_of(run, figure)} for run in ("real", "hollow"))
        return sorted(real & hollow)
