"""Which figure grows by which law, and how far it must be carried: the catalogue that the page's slopes come from."""

from __future__ import annotations

from typing import NamedTuple

from . import design
from .fits import Estimate, Fit, Shape, fit
from .rows import Row


class Slope(NamedTuple):
    """A figure of a run, the shape of its law, and the size at which it is asked for."""

    run: str
    figure: str
    shape: Shape
    at: float


_LINEAR, _POWER = Shape.LINEAR, Shape.POWER
_LIST = (
    ("wire bytes of a whole list", _LINEAR),
    ("memory of the list", _LINEAR),
    ("processor time of a whole list", _POWER),
)
_MEMBERS = (
    "wire bytes a second a member, sent and received",
    "datagrams a second a member, sent",
    "processor time a second a member",
)
_SAMPLED = (
    ("memory of the table", _LINEAR),
    ("wire bytes a second, sent and received", _POWER),
    ("processor time a second", _LINEAR),
    ("a restart: 99 % of the others known again", _POWER),
)
_RESTART = (
    "1 % restart: known to half",
    "1 % restart: known to all",
    "1 % restart: wire bytes a member sent until then",
    "a death: known to half",
    "a death: known to all",
)
_ZONE = (
    "a zone cut: held for failed by half",
    "a zone cut: held for failed by all",
    "a zone cut: wire bytes a second a member, sent and received",
    "a zone cut: processor time a second a member",
    "a zone back: all agree again",
    "a zone back: wire bytes a member, sent and received",
)
_LOG = (
    ("leader: wire bytes a second at rest, sent and received", _LINEAR),
    ("leader: processor time a second at rest", _POWER),
    ("leader: wire bytes of a change", _LINEAR),
    ("leader: processor time of a change", _POWER),
    ("learner: processor time a second at rest", _POWER),
    ("learner: wire bytes a second at rest, sent and received", _POWER),
    ("a change: in force at half of the senders", _POWER),
    ("a change: in force at all senders", _POWER),
    ("bytes of the entry that says who follows", _LINEAR),
)
_JUDGE = ("memory of all reports", "processor time to read all reports", "processor time of a judgement")
_JOURNAL = (("bytes on disk", _LINEAR), ("memory", _LINEAR), ("processor time of a restart", _POWER))

SLOPES = (
    *(Slope("list", name, shape, design.DESTINATIONS) for name, shape in _LIST),
    Slope("learned", "memory awake", _LINEAR, design.AWAKE),
    Slope("learned", "memory asleep", _LINEAR, design.DESTINATIONS),
    Slope("decisions-destinations", "processor time a message, all awake", _POWER, design.DESTINATIONS),
    Slope("decisions-destinations", "processor time a message, with sleep", _POWER, design.DESTINATIONS),
    Slope("decisions-held", "processor time a message", _LINEAR, design.BACKLOG_EACH),
    Slope("decisions-faults", "processor time a message", _LINEAR, 1000 * design.DOWN),
    *(Slope("journal", name, shape, design.BACKLOG_EACH) for name, shape in _JOURNAL),
    *(Slope("members", name, _POWER, design.SENDERS) for name in _MEMBERS),
    *(Slope("members-sampled", name, shape, design.SENDERS) for name, shape in _SAMPLED),
    *(Slope("members-restart", name, _POWER, design.SENDERS) for name in _RESTART),
    *(Slope("members-zone", name, _POWER, design.SENDERS) for name in _ZONE),
    *(Slope("log", name, shape, design.SENDERS) for name, shape in _LOG),
    Slope("judge", "wire bytes of a report", _LINEAR, design.SENDERS),
    *(Slope("judge", name, _LINEAR, design.SENDERS) for name in _JUDGE),
)


class Book:
    """The fits of all results. What was not measured at enough sizes is not there."""

    def __init__(self, rows: list[Row]) -> None:
        """Fit every figure of SLOPES that `rows` have enough sizes of."""
        self._rows = rows
        self._fits: dict[tuple[str, str], Fit] = {}
        for slope in SLOPES:
            points = [(row.size, row.value) for row in self.rows_of(slope.run, slope.figure)]
            try:
                self._fits[slope.run, slope.figure] = fit(slope.shape, points)
            except ValueError:
                continue  # too few sizes, or values of 0: the page says that it was not measured

    def rows_of(self, run: str, figure: str) -> list[Row]:
        """The measured rows of one figure of a run."""
        return [row for row in self._rows if (row.run, row.figure) == (run, figure)]

    def runs(self) -> list[Row]:
        """One row of each run, for its seed, commit and command."""
        return list({row.run: row for row in self._rows}.values())

    def fit(self, run: str, figure: str) -> Fit | None:
        """The fit of a figure, None where there is none."""
        return self._fits.get((run, figure))

    def at(self, run: str, figure: str, size: float) -> Estimate | None:
        """The figure at a size, None where it was not measured."""
        found = self.fit(run, figure)
        return found.at(size) if found else None

    def factor(self, run: str, figure: str, size: float) -> float:
        """How far beyond what was run; 0 where nothing was."""
        found = self.fit(run, figure)
        return found.factor(size) if found else 0.0

    def measured(self, run: str, figure: str, size: int) -> float | None:
        """The mean of what was measured at just that size, None if nothing was."""
        values = [row.value for row in self.rows_of(run, figure) if row.size == size]
        return sum(values) / len(values) if values else None
