"""The child of `same_actions`: plays days with the decisions of its own tree and prints what its relays did.

    python -m linkdock.lab.recorded days|handles|lines herd:17 drawn:3 ...

`days` prints of each its name, handles, actions, a digest over every sender's times, events and actions, and the error
that ended it, if one did; `handles` prints all of them, a line each; `lines` the lines of the decisions that ran.
`Relay.handle` is wrapped here alone.
"""

from __future__ import annotations

import json
import sys
from hashlib import blake2b
from types import FrameType

from .. import Relay
from .. import interface as i
from . import drawn, fleet, grown

HANDLE = Relay.handle


def play(day: str) -> None:
    """One day, named by story and seed."""
    story, seed = day.split(":")
    if story in fleet.STORIES:
        fleet.story(fleet.Plan(senders=6, members=3, rate=40.0), int(seed), story)
    elif story in grown.STORIES:
        grown.story(grown.Plan(senders=6, destinations=3, endpoints=12, rate=40.0), int(seed), story)
    else:
        drawn.Driver(int(seed)).run()


class Record:
    """All that the relays of a day were told and did; `each` prints it."""

    def __init__(self, each: bool) -> None:
        """`each`: print every call, not only count it."""
        self.each, self.digest, self.senders, self.handles, self.actions = each, blake2b(), 0, 0, 0
        self.error = ""

    def handle(self, relay: Relay, now: float, events: list[i.Event]) -> list[i.Action]:
        """Call the decisions, and add what went in and came out to the digest."""
        told = repr((now, events))  # before it, for the relay may keep them
        try:
            actions = HANDLE(relay, now, events)
        except ArithmeticError as bad:
            self.error = repr(bad)
            raise
        if "recorded" not in vars(relay):
            relay.recorded = [self.senders, 0]  # its number in the order of their first handles, and its handles
            self.senders += 1
        relay.recorded[1] += 1
        line = json.dumps([*relay.recorded, told, repr(actions)])
        self.digest.update(line.encode())
        self.handles, self.actions = self.handles + 1, self.actions + len(actions)
        if self.each:
            print(line)
        return actions


RAN: set[tuple[str, int]] = set()


def trace(frame: FrameType, event: str, _: object):
    """Note each line of the decisions that runs; for `sys.settrace`."""
    name = frame.f_code.co_filename
    if "decisions" not in name and not name.endswith("decide.py"):
        return None
    if event == "line":
        RAN.add((name, frame.f_lineno))
    return trace


def main(what: str, days: list[str]) -> None:
    """Play `days`; print each call, each day's digest, or the lines that ran, as `what` says."""
    for day in days:
        record = Record(what == "handles")
        Relay.handle = lambda relay, now, events, record=record: record.handle(relay, now, events)
        sys.settrace(trace if what == "lines" else None)
        try:
            play(day)
        except ArithmeticError:
            if not record.error:
                raise
        sys.settrace(None)
        if what == "days":
            print(json.dumps([day, record.handles, record.actions, record.digest.hexdigest(), record.error]))
    for place in sorted(RAN):
        print(json.dumps(place))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
