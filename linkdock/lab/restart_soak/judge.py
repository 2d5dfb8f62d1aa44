"""Judges a run by what clients, members and discovery saw. Pure: a history in, findings in words out.

Each finding begins with its kind. Slack is what the platform gives: 0.15 s for which a sender may be held up, 0.5 s for
an answer or an end after its time, 1.5 s after a start.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from math import inf
from signal import SIGTERM

from .history import Call, History, Request
from .plan import KILL_AFTER, LONGEST_HOLD, Plan

NO_ANSWER = "no answer"
NO_END = "no end"
LATE = "late"
TWICE = "twice"
WINDOW = "beyond its window"
ORDER = "out of order"
DRAINED = "sent to a server that drains"
UNTRIED = "untried after a restart"
EXIT = "exit"
STATUS = "exit status"
READY = "not ready"
LIMIT = "limit"
LOG = "log"
HARNESS = "harness"

MEMORY_MB = 96  # of the settings
DRAIN_GRACE = 2.0  # seconds, of the settings
SLACK = 0.5  # seconds after its time until an answer or an end counts as missing
AFTER_START = 1.5  # seconds until a new life has seen to what it found
MOST_START = 10.0  # seconds until a new life takes clients
NOT_REPEATABLE = ("order", "sequence")


# Kinds that are judged by the clock. A sender may be held up for LONGEST_HOLD; on a machine that holds the run itself
# up for longer they say nothing of the program.
TIMED = (NO_ANSWER, LATE, WINDOW, DRAINED, UNTRIED, EXIT, READY)


def judge(plan: Plan, history: History) -> list[str]:
    """Everything that is wrong with a run, as far as the machine let it be judged."""
    found = everything(plan, history)
    if history.held_up <= LONGEST_HOLD:
        return found
    return [text for text in found if text.split(":")[0] not in TIMED]


def everything(plan: Plan, history: History) -> list[str]:
    """Everything that is wrong with a run, whatever the machine did meanwhile."""
    checks = (_answers, _ends, _repeats, _order, _drained, _untried, _exits, _limits, _logs)
    found = [f"{HARNESS}: {text}" for text in history.harness]
    for check in checks:
        found += check(plan, history)
    return found


def _killed_in(history: History, begin: float, end: float) -> bool:
    return any(life.killed is not None and begin <= life.killed <= end for life in history.lives)


def _alive(history: History, begin: float, end: float) -> bool:
    """Whether one process took clients through all of that time, and had not been told to end."""
    return any(life.ready and life.ready <= begin and (life.told or life.over or inf) >= end for life in history.lives)


def _silent(history: History, begin: float, end: float) -> bool:
    return any(since < end and until > begin for since, until in history.silent)


def _answers(plan: Plan, history: History) -> Iterator[str]:
    """A request that crosses the end of its connection may go unanswered, if it is not forwarded either."""
    for one in history.requests.values():
        if not one.lost or _killed_in(history, one.sent - SLACK, one.answered + SLACK):
            continue
        forwarded = one.name in history.calls or one.name in history.notices
        # Where the listening socket outlives the processes, one that nobody has accepted yet may wait there.
        kept = one.answered - one.sent > LONGEST_HOLD and _alive(history, one.sent, one.answered)
        if forwarded or kept:
            yield (
                f"{NO_ANSWER}: {one.name} of {one.cls}, {one.answered - one.sent:.2f} s after it was sent: {one.lost}"
                + (", and it was forwarded" if forwarded else "")
            )


def _ends(plan: Plan, history: History) -> Iterator[str]:
    for one in history.requests.values():
        if not one.taken:
            continue
        ran = any(call.may_have_run for call in history.calls.get(one.name, ()))
        noticed = history.notices.get(one.name)
        if not ran and noticed is None:
            yield f"{NO_END}: {one.name} of {one.cls}, taken {history.over - one.answered:.1f} s before the end"
        late = [call for call in history.calls.get(one.name, ()) if call.at > one.until + LONGEST_HOLD]
        if late:
            yield f"{LATE}: {one.name} of {one.cls} was called {late[0].at - one.until:.2f} s after its time"
        due = one.until + SLACK
        watched = _alive(history, one.until - AFTER_START, due) and not _silent(history, one.until - 6.0, due)
        if not ran and noticed is not None and noticed > due and watched:
            yield f"{LATE}: the notice of {one.name} of {one.cls} came {noticed - one.until:.2f} s after its time"


def _repeats(plan: Plan, history: History) -> Iterator[str]:
    for name, calls in history.calls.items():
        one = history.requests.get(name)
        first = next((call for call in calls if call.may_have_run), None)
        if one is None or first is None:
            continue
        later = calls[calls.index(first) + 1 :]
        if later and one.cls in NOT_REPEATABLE:
            yield f"{TWICE}: {name} of {one.cls} went out {later[0].at - first.at:.2f} s after it may have run"
        beyond = [call for call in later if call.at > first.at + plan.window + LONGEST_HOLD]
        if beyond and one.cls == "keyed":
            after = beyond[0].at - first.at
            yield f"{WINDOW}: {name} went out {after:.2f} s after it may have run, of {plan.window:.2f}"


def _order(plan: Plan, history: History) -> Iterator[str]:
    queues: defaultdict[str, list[Request]] = defaultdict(list)
    for one in history.requests.values():
        if one.cls == "sequence" and one.taken:
            queues[one.key].append(one)
    for key, queue in queues.items():
        queue.sort(key=lambda one: one.answered)
        went: list[tuple[str, Call]] = [
            (one.name, history.calls[one.name][0]) for one in queue if one.name in history.calls
        ]
        for (name, call), (later, next_call) in zip(went, went[1:], strict=False):
            if next_call.at < call.at:
                yield f"{ORDER}: {later} went out before {name}, of the key {key}"


def _drained(plan: Plan, history: History) -> Iterator[str]:
    for name, calls in history.calls.items():
        one = history.requests.get(name)
        since = history.drained.get(one.member, inf) if one is not None else inf
        late = [call for call in calls if call.at > since + DRAIN_GRACE + LONGEST_HOLD]
        if late:
            yield f"{DRAINED}: {name}, {late[0].at - since:.2f} s after it was told"


def _untried(plan: Plan, history: History) -> Iterator[str]:
    """Over half of what a restart found untried, with half of its time left, given up early with no call."""
    for before, life in zip(history.lives, history.lives[1:], strict=False):
        found, given_up = [], []
        for one in history.requests.values():
            tried = any(call.at < life.ready for call in history.calls.get(one.name, ()))
            waits = one.taken and one.answered < before.over and not tried
            if (
                not waits
                or one.until - life.ready < plan.deadline / 2
                or history.notices.get(one.name, inf) < before.over
            ):
                continue
            found.append(one)
            early = history.notices.get(one.name, inf) < one.until - 0.3 * plan.deadline
            if early and one.name not in history.calls:
                given_up.append(one)
        if len(given_up) > len(found) / 2:
            yield f"{UNTRIED}: life {life.number} gave up {len(given_up)} of {len(found)}, such as {given_up[0].name}"


def _exits(plan: Plan, history: History) -> Iterator[str]:
    for life in history.lives:
        if life.early:
            if life.status not in (0, -SIGTERM):  # the latter before the program can hear of it
                kind = STATUS if life.killed is None else EXIT
                yield f"{kind}: life {life.number}, told to end at once, ended with status {life.status}"
        elif not life.ready:
            yield f"{READY}: life {life.number} never took clients"
        elif life.ready - life.begun > MOST_START:
            yield f"{READY}: life {life.number} took clients after {life.ready - life.begun:.1f} s"
        if life.told is None:
            continue
        if life.killed is not None:
            yield f"{EXIT}: life {life.number} was still there {KILL_AFTER:g} s after SIGTERM"
        elif life.status != 0:
            yield f"{STATUS}: life {life.number} ended with status {life.status}"


def _limits(plan: Plan, history: History) -> Iterator[str]:
    for life in history.lives:
        if life.descriptors > plan.sockets:
            yield f"{LIMIT}: life {life.number} held {life.descriptors} descriptors of {plan.sockets}"
        if life.memory > MEMORY_MB * 1e6:
            yield f"{LIMIT}: life {life.number} held {life.memory / 1e6:.0f} MB of {MEMORY_MB}"


def _logs(plan: Plan, history: History) -> Iterator[str]:
    for life in history.lives:
        if "Traceback" in life.log:
            at = life.log.index("Traceback")
            yield f"{LOG}: life {life.number}: {life.log[at:][:2000]}"
