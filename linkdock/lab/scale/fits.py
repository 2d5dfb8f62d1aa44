"""Least squares through a figure's sizes, and what the line says beyond them, with its spread.

Two shapes: `linear` (a + b x) and `power` (c x ** k, a line through the logarithms). The better one is not searched
for: each figure states its shape, so that a result cannot choose the law that suits it. In both each size counts alike:
a line's residuals are shares of the measured values, or the largest size alone would draw it.
"""

from __future__ import annotations

from enum import Enum
from math import exp, log, sqrt
from typing import NamedTuple

import numpy as np

LEAST_SIZES = 4  # below which no slope is given
TWO_SIGMA = 2.0  # standard errors to either side that `Estimate` covers


class Shape(Enum):
    """The law that a figure is fitted by: a straight line, or a power of the size."""

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
    a share of that value. A line's `deviation` is a share too, and its sums are weighted by it.
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
    weight: float  # of all values together

    @property
    def largest(self) -> int:
        """The largest size that was run."""
        return max(self.sizes)

    def factor(self, size: float) -> float:
        """How far beyond the largest size that was run; 1 within what was run."""
        return max(1.0, size / self.largest)

    def at(self, size: float) -> Estimate:
        """The figure at a size, with the error of a prediction."""
        x = log(size) if self.shape is Shape.POWER else float(size)
        value = self.intercept + self.slope * x
        own = 1.0 if self.shape is Shape.POWER else value**2
        error = self.deviation * sqrt(own + 1 / self.weight + (x - self.mean) ** 2 / self.spread)
        low, high = value - TWO_SIGMA * error, value + TWO_SIGMA * error
        if self.shape is Shape.POWER:
            return Estimate(exp(value), exp(low), exp(high))
        return Estimate(value, low, high)


def fit(shape: Shape, points: list[tuple[int, float]]) -> Fit:
    """Least squares through (size, value). Raises ValueError for fewer than four sizes, or values of 0 and below.

    Several values of one size count each.
    """
    sizes = tuple(sorted({size for size, _ in points}))
    if len(sizes) < LEAST_SIZES:
        raise ValueError(f"{len(sizes)} sizes, at least {LEAST_SIZES} are needed for a slope")
    x = np.array([size for size, _ in points], float)
    y = np.array([value for _, value in points], float)
    if min(x.min(), y.min()) <= 0:
        raise ValueError("sizes and values must be above 0")
    if shape is Shape.POWER:
        x, y = np.log(x), np.log(y)
        weights = np.ones(len(x))
    else:
        weights = y**-2
    weight = float(weights.sum())
    mean = float((weights * x).sum()) / weight
    spread = float((weights * (x - mean) ** 2).sum())
    slope = float((weights * (x - mean) * y).sum()) / spread
    intercept = float((weights * y).sum()) / weight - slope * mean
    off = y - (intercept + slope * x)
    deviation = sqrt(float((weights * off**2).sum()) / max(1, len(x) - 2))
    shares = np.abs(np.exp(-off) - 1) if shape is Shape.POWER else np.abs(off / y)
    return Fit(
        shape=shape,
        slope=slope,
        intercept=intercept,
        slope_error=deviation / sqrt(spread),
        residual=float(shares.max()),
        sizes=sizes,
        deviation=deviation,
        mean=mean,
        spread=spread,
        weight=weight,
    )
