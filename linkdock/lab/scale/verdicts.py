"""A row of the page's budgets: a figure against its budget, with the mechanism that carries it and the verdict."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .text import digits, said


class Verdict(Enum):
    """Whether today's program carries a need; the value is the page's wording."""

    CARRIES = "carries"
    WITH_CHANGE = "carries with change"
    DOES_NOT = "does not carry"
    NOT_MEASURED = "not measured"
    NO_BUDGET = "no budget stated"


class Need(NamedTuple):
    """What a role needs at the size to design for.

    `figure` and `budget` are in `unit`; None for a figure that was not measured, or where no budget is stated.
    `factor`: how far the figure is carried beyond what was run (1: it was run), 0 for arithmetic from stated figures
    alone. `refused`: a bound of today's program that refuses this size whatever the figure, in words. `change`: what
    would make a figure within the budget hold.
    """

    what: str
    figure: float | None
    unit: str
    budget: float | None
    factor: float
    mechanism: str
    refused: str = ""
    change: str = ""

    @property
    def verdict(self) -> Verdict:
        """The figure held against its budget and the program's own bounds."""
        if self.figure is None:
            return Verdict.NOT_MEASURED
        if self.budget is None:
            return Verdict.DOES_NOT if self.refused and not self.change else Verdict.NO_BUDGET
        within = self.figure <= self.budget
        if within and not self.refused:
            return Verdict.CARRIES
        if within and self.change:
            return Verdict.WITH_CHANGE
        return Verdict.DOES_NOT

    @property
    def over(self) -> float:
        """How many times the budget the figure is; 0 without both."""
        return self.figure / self.budget if self.figure is not None and self.budget else 0.0

    def cells(self) -> tuple[str, ...]:
        """As a line of the page."""
        if self.figure is None:
            carried = "-"
        elif self.factor == 0:
            carried = "arithmetic"
        else:
            carried = "run" if self.factor == 1 else f"x {digits(self.factor)}"
        budget = "-" if self.budget is None else said(self.budget, self.unit)
        verdict = self.verdict.value
        if self.refused:
            verdict += f"; refused today: {self.refused}"
        if self.change and self.verdict is Verdict.WITH_CHANGE:
            verdict += f"; change: {self.change}"
        return self.what, budget, said(self.figure, self.unit), carried, self.mechanism, verdict


HEAD = ("what", "budget", "figure", "carried", "mechanism of today", "verdict")
