"""Running figures of calls, and the time-out that Danzig's equation (3) gives for them."""

from collections import deque
from math import inf, sqrt

SMOOTH = 1 / 16  # weight of one sample in p and x: about the last 16 calls of a class on a route count
P_ZERO = 0.004  # below this p counts as none, some 50 successes after a loss: tau is the time left
RECENT = 48  # served calls that the p95 looks back on
FEW = 8  # with fewer samples the p95 is a default:
TAIL = 3.0  # p95 over mean before there are samples: that of an exponential service time


class Estimate:
    """Running p and x of one class on one route, with the recent served times."""

    def __init__(self, first: float, default: float) -> None:
        self.p, self.x, self.seen, self.default = 0.0, first, 0, default
        self.recent: deque[float] = deque(maxlen=RECENT)
        self._p95: float | None = None

    def served(self, took: float) -> None:
        self.sample(took)
        self.recent.append(took)
        self._p95, self.p = None, self.p * (1 - SMOOTH)

    def sample(self, took: float) -> None:
        self.seen += 1
        self.x += (took - self.x) * max(SMOOTH, 1 / self.seen if self.seen < 1 / SMOOTH else SMOOTH)

    def lost(self) -> None:
        self.p += (1 - self.p) * SMOOTH

    def p95(self) -> float:
        if self._p95 is None:
            order = sorted(self.recent)
            few = len(order) < FEW
            self._p95 = max(self.default, TAIL * self.x) if few else order[int(0.95 * (len(order) - 1))]
        return self._p95

    def unit(self) -> float:
        """The usual call by which silence is measured, never less than the served ones' tail implies."""
        return max(self.x, self.p95() / TAIL)


def tau(p: float, x: float, round_trip: float, kr: float) -> float:
    """Danzig's equation (3); infinite without losses."""
    q = 1 - p
    return q * sqrt(kr * ((1 + q) * round_trip + x) / (1 - q * q)) if p > P_ZERO else inf
