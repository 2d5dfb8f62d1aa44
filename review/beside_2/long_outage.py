"""One destination fails for an hour under steady traffic: do the decisions go on? Played on a virtual clock.

No case: a case has 120 s of the real clock, and the failure comes after some 45 minutes. It plays the decisions alone,
with the figures of the wire page's example. Exit status 1 if they raise, 0 if they go on.
"""

from __future__ import annotations

import heapq
import sys
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from linkdock import interface as i
from linkdock.decisions import Relay

HOUR = 3600.0
EVERY = 0.5  # seconds from one message to the next
TOOK = 0.2  # seconds of a call before the outage,
FROM = 20.0  # which begins then
SETTINGS = i.Settings(
    classes=[i.MessageClass(i.Effect.SAFE, aim=0.8, deadline=6.0)],
    kinds=[i.DestinationKind()],
    slots=16,
    max_open=274,
    max_attempts=12,
    relays=2,
    connect_timeout=1.5,
    idle_close=5.0,
    max_retry_after=3.0,
    retry_after=True,
    cancel=True,
    second_copies=True,
    told_weights=False,
    drain_grace=2.0,
    fall_multiple=1.5,
    tip_after=2.0,
    cold_share=0.31,
    cold_time=12.0,
)


def play(seed: int, how: i.Result) -> str | None:
    """What was raised and when, or None."""
    relay, order = Relay(SETTINGS, seed), count()
    due: list[tuple[float, int, i.Event]] = []

    def add(at: float, event: i.Event) -> None:
        heapq.heappush(due, (at, next(order), event))

    add(0.0, i.Hosts(i.ListKind.FULL, [i.HostEntry("s-1", 7), i.HostEntry("s-2", 7)]))
    for number in range(1, int(HOUR / EVERY)):
        add(number * EVERY, i.Message(id=number, cls=0, destination=7, expires_in=6.0))
    calls = 0
    while due:
        now, _, event = heapq.heappop(due)
        try:
            actions = relay.handle(now, [event])
        except ArithmeticError as bad:
            return f"{type(bad).__name__} after {now:.0f} s and {calls} calls: {bad}"
        for action in actions:
            if isinstance(action, i.SetTimer):
                add(max(action.at, now + 1e-6), i.TimerDue(action.token))
            elif isinstance(action, i.Send):
                calls += 1
                result = i.Result.OK if now < FROM else how
                took = action.timeout if result is i.Result.TIMEOUT else TOOK if now < FROM else 0.001
                attempt = relay.msgs[action.id].attempts - 1
                done = result is i.Result.OK
                add(now + took, i.Outcome(action.id, attempt, action.host, result, took, done))
    return None


def main() -> int:
    """Play one seed with each kind of failure."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    failed = 0
    for how in (i.Result.CONNECT_FAILED, i.Result.TIMEOUT, i.Result.ERROR, i.Result.FULL):
        why = play(seed, how)
        failed += why is not None
        print(f"seed {seed}, an hour of {how.name}: {why or 'goes on'}")
    return 1 if failed else 0


sys.exit(main())
