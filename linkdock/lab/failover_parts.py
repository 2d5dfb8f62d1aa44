"""What `virtual_failover` is made of: backend servers that topple, messages, and a sender's own rules. No I/O."""

from __future__ import annotations

from collections import deque
from math import sqrt

from ..failover import observe, returning

STEP = 0.05  # seconds of the virtual clock
RULES = returning.Rules(fall_multiple=1.5, tip_after=2.0, cold_share=0.35, cold_time=10.0)
TRY = 0.5  # seconds between trials
PART_MOST = 1.3  # of an even part of what a zone takes, that one process may send


class Backend:
    """One destination's backend servers in one zone."""

    def __init__(self, rate: float) -> None:
        self.rate, self.up, self.cold_since, self.up_at = rate, True, None, None
        self.tokens, self.toppled, self.passed = rate * 0.25, 0, 0.0
        self.window: deque[tuple[float, bool]] = deque()  # arrivals of the last tip span, and whether from elsewhere
        self.far = 0

    def present(self, now: float) -> float:
        if self.cold_since is None:
            return self.rate
        warm = RULES.cold_share + (1 - RULES.cold_share) * (now - self.cold_since) / RULES.cold_time
        if warm >= 1:
            self.cold_since = None
        return self.rate * min(1.0, warm)

    def fall(self, back: float | None = None) -> None:
        self.up, self.up_at = False, back
        self.window.clear()
        self.far = 0

    def rise(self, now: float) -> None:
        self.up, self.up_at, self.cold_since = True, None, now

    def step(self, now: float) -> None:
        if not self.up and self.up_at is not None and now >= self.up_at:
            self.rise(now)
        present, span = self.present(now), RULES.tip_after
        self.tokens = min(present * 0.5, self.tokens + present * STEP)
        while self.window and self.window[0][0] <= now - span:
            self.far -= self.window.popleft()[1]
        can = present * span
        if self.far and len(self.window) > can + 3 * sqrt(can):
            self.passed += STEP  # seconds in which more came than it can take, and some of it from elsewhere
        if self.up and len(self.window) > RULES.fall_multiple * can:
            self.toppled += 1
            if self.cold_since is not None:
                self.fall(now + 5.0)
            else:
                self.cold_since = now

    def take(self, now: float, far: bool) -> bool:
        self.window.append((now, far))
        self.far += far
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Message:
    __slots__ = ("born", "deadline", "destination", "slot", "tried")

    def __init__(self, born: float, deadline: float, destination: int, slot: int) -> None:
        self.born, self.deadline, self.destination, self.slot, self.tried = born, deadline, destination, slot, 0


class Gate:
    """One process's own rules for one zone of a destination: trials, a slow return, told waits, a pace."""

    __slots__ = ("fails", "trial_at", "ramp", "tokens", "at", "wait_until", "part")

    def __init__(self) -> None:
        self.fails, self.trial_at, self.ramp, self.tokens, self.at, self.wait_until = 0, 0.0, None, 1.0, 0.0, 0.0
        self.part = PART_MOST

    def may_go(self, now: float, rate: float, knowers: int) -> bool:
        if now < self.wait_until:
            return False
        if self.fails >= 3:
            if now < self.trial_at:
                return False
            self.trial_at = now + TRY
            return True
        if self.ramp is not None and now - self.ramp >= RULES.cold_time:
            self.ramp = None
        passed, self.at = now - self.at, now
        if self.ramp is None:
            pace = rate * self.part / knowers
            self.part = min(PART_MOST, self.part * (1 + passed / 20))
            self.tokens = min(max(1.0, pace * 0.5), self.tokens + passed * pace)
        else:
            self.tokens = min(1.0, self.tokens + passed * RULES.allowance(rate, now - self.ramp) / knowers)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def ended(self, now: float, how: str) -> None:
        if how == observe.REFUSED:
            self.wait_until, self.part = now + 0.2, max(0.2, self.part * 0.9)
        if how != observe.BAD and self.fails >= 3:
            self.ramp, self.tokens, self.at = now, 0.0, now
        self.fails = self.fails + 1 if how == observe.BAD else 0
