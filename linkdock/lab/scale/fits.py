"""Least squares through a figure's sizes, and what the line says beyond them, with its spread.

Two shapes: `linear` (a + b x) and `power` (c x ** k, a line through the logarithms). The better one is not searched
for: each figure states its shape, so that a result cannot choose the law that suits it.
"""

from __future__ import annotations

from enum import Enum
from math import exp, log, sqrt
from typing import NamedTuple

import numpy as np

LEAST_SIZES = 4  # below which no slope is given
TWO_SIGMA = 2.0  # standard errors to either side that `Estimate` covers


class Shape(Enum):
    LINEAR = "linear"
    POWER = "power"


class Estimate(NamedTuple):
    """A figure at some size: the fit's value, and two standard errors of a prediction to either side."""

    value: float
    low: float
    high: float


class Fit(NamedTuple):
    """`intercept + slope x` of the sizes, or of the logarithms of sizes and values.

    `slope_error` is the slope's standard error, `residual` the largest distance of a measured value from the line as
    a share of that value.
    """

    shape: Shape
    slope: float
    intercept: float
    slope_error: float
    residual: float
    sizes: tuple[int, ...]
    deviation: float  # standard deviation of the residuals, of logarithms for a power
    mean: float  # of the sizes, or of their logarithms
    spread: float  # sum of squared distances from that mean

    @property
    def largest(self) -> int:
        return max(self.sizes)

    def factor(self, size: float) -> float:
        """How far beyond the largest size that was run; 1 within what was run."""
        return max(1.0, size / self.largest)

    def at(self, size: float) -> Estimate:
        """The figure at a size, with the error of a prediction."""
        x = log(size) if self.shape is Shape.POWER else float(size)
        value = self.intercept + self.slope * x
        error = self.deviation * sqrt(1 + 1 / len(self.sizes) + (x - self.mean) ** 2 / self.spread)
        low, high = value - TWO_SIGMA * error, value + TWO_SIGMA * error
        if self.shape is Shape.POWER:
            return Estimate(exp(value), exp(low), exp(high))
        return Estimate(value, low, high)


def fit(shape: Shape, points: list[tuple[int, float]]) -> Fit:
    """Least squares through (size, value). Raises ValueError for fewer than four sizes, or values a power cannot have.

    Several values of one size count each.
    """
    sizes = tuple(sorted({size for size, _ in points}))
    if len(sizes) < LEAST_SIZES:
        raise ValueError(f"{len(sizes)} sizes, at least {LEAST_SIZES} are needed for a slope")
    x = np.array([size for size, _ in points], float)
    y = np.array([value for _, value in points], float)
    if shape is Shape.POWER:
        if min(x.min(), y.min()) <= 0:
            raise ValueError("a power needs sizes and values above 0")
        x, y = np.log(x), np.log(y)
    mean = float(x.mean())
    spread = float(((x - mean) ** 2).sum())
    slope = float(((x - mean) * y).sum()) / spread
    intercept = float(y.mean()) - slope * mean
    off = y - (intercept + slope * x)
    deviation = sqrt(float((off**2).sum()) / max(1, len(x) - 2))
    if shape is Shape.POWER:
        shares = np.abs(np.exp(-off) - 1)
    else:
        shares = np.abs(off) / np.maximum(np.abs(y), 1e-12)
    return Fit(shape, slope, intercept, deviation / sqrt(spread), float(shares.max()), sizes, deviation, mean, spread)
