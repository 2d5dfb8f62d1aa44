"""How many connections a server's calls need: Little's law with a tail, and slowness told from more calls. No I/O.

Connections needed at once are about arrivals times call time. Danger: when every call slows, that product rises though
nobody asks for more, and a pool that follows it piles up fresh connections at servers that can serve no more. So the
target is arrivals times the *usual* call time, which follows slowly and passes over outliers; the call time of now says
only whether calls are slow.
"""

from __future__ import annotations

from math import erfc, exp, inf, log, sqrt

FAST, SLOW = 0.5, 10.0  # seconds over which arrivals are averaged: for a surge, and for what is usual
PRESENT = 0.2  # weight of one call in the call time of now
USUAL = 60.0  # seconds over which the usual one is averaged
FIRST_CALLS = 10  # until then the usual call time is the plain mean, and nothing is opened ahead
OUTLIER = 3.0  # times the usual call time beyond which a call counts as that
SLOWED = 1.6  # times the usual call time from which calls are slow
RISEN = 1.5  # times the usual arrivals from which there is more demand
MOST_NEEDED = 10_000
CHANCE = 3.0  # standard deviations of the arrivals of late beyond which they have risen
HOLD = 5.0  # seconds for which a target that has fallen is held


def at_least(count: int, mean: float) -> float:
    """The probability that a Poisson value of that mean is `count` or more."""
    if count <= 0 or mean <= 0:
        return 1.0 if count <= 0 else 0.0
    if mean > 50:  # normal, with the correction for whole numbers
        return 0.5 * erfc((count - 0.5 - mean) / sqrt(2 * mean))
    part = total = exp(-mean)
    for n in range(1, count):
        part *= mean / n
        total += part
    return max(0.0, 1.0 - total)


class Demand:
    """Arrivals and call times of one server."""

    __slots__ = ("_fast", "_slow", "_at", "usual", "present", "_calls", "_held", "_held_at", "began", "_took_at")

    def __init__(self, now: float) -> None:
        """Without any call up to `now`, seconds of the owner's clock."""
        self._fast = self._slow = 0.0  # calls a second
        self._at = self.began = self._took_at = now
        self.usual = self.present = 0.0  # seconds
        self._calls = 0
        self._held, self._held_at = 0, -inf

    def _decay(self, now: float) -> None:
        past = now - self._at
        if past > 0:
            self._fast *= exp(-past / FAST)
            self._slow *= exp(-past / SLOW)
            self._at = now

    def asked(self, now: float) -> None:
        """A call begins."""
        self._decay(now)
        self._fast += 1 / FAST
        self._slow += 1 / SLOW

    def took(self, now: float, seconds: float) -> None:
        """A call was answered, so long after its first byte went out."""
        self._calls += 1
        past, self._took_at = now - self._took_at, now
        if self._calls == 1:
            self.present = self.usual = seconds
            return
        self.present += PRESENT * (seconds - self.present)
        weight = 1 / self._calls if self._calls <= FIRST_CALLS else 1 - exp(-past / USUAL)
        most = seconds if self._calls <= FIRST_CALLS else min(seconds, OUTLIER * self.usual)
        self.usual += weight * (most - self.usual)

    def rates(self, now: float) -> tuple[float, float]:
        """Calls a second: of now, and as usual. A server that is new is not held to be surging."""
        self._decay(now)
        share = 1 - exp(-max(now - self.began, FAST) / SLOW)  # of the long average that can have filled by now
        return self._fast, self._slow / share

    def surging(self, now: float) -> bool:
        """Whether calls come so much faster than usual that chance does not explain it."""
        fast, slow = self.rates(now)
        # Danger: chance. What has come lately spreads by the root of its count, which is small for most servers.
        return fast > RISEN * slow + CHANCE * sqrt(slow / (2 * FAST)) + 1 / FAST

    def slow(self, now: float) -> bool:
        """Whether calls take longer though no more of them come."""
        return self._calls > FIRST_CALLS and self.present > SLOWED * self.usual and not self.surging(now)

    def mean(self, now: float) -> float:
        """Calls that are open at once in the mean, at the usual call time."""
        fast, slow = self.rates(now)
        return (fast if self.surging(now) else slow) * self.usual

    def target(self, now: float, life: float, used: float) -> int:
        """Connections to have, held for a while when the need falls; 0 without traffic.

        The n-th is needed by a call that finds n - 1 open already. It is worth having if such a call comes, with the
        probability `used`, within the `life` (seconds) that it may lie idle.
        """
        fast, slow = self.rates(now)
        rate, mean = (fast if self.surging(now) else slow), self.mean(now)
        need, worth = 0, -log(1 - used)
        # Danger: the rate of one that has hardly been called is a guess from one gap.
        while self._calls >= FIRST_CALLS and need < MOST_NEEDED and rate * at_least(need, mean) * life >= worth:
            need = need + 1 if mean < 50 else max(need + 1, int(mean * 0.8))
        if need >= self._held or now - self._held_at >= HOLD:
            self._held, self._held_at = need, now
        return self._held


def shares(needs: dict[str, int], most: int) -> dict[str, int]:
    """Max-min fair parts of `most`: who needs less than an even part gets it, the rest is shared evenly."""
    parts, left = {}, most
    waiting = sorted(needs, key=lambda server: (needs[server], server))
    for n, server in enumerate(waiting):
        parts[server] = min(needs[server], left // (len(waiting) - n))
        left -= parts[server]
    return parts
