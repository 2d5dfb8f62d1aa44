"""Failover's judge: bytes of a sender's report, and memory and processor time of one judgement, against senders.

The program's own `failover/observe.py` and `failover/judge.py`, which no process runs yet. Each sender reports on
nearly as many destinations as a report may hold, in ten zones; 1 % of them fail.
"""

from __future__ import annotations

import time
from random import Random

from ...failover import observe, returning
from ...failover.evidence import Known
from ...failover.judge import Decision, judge
from ...failover.observe import BAD, GOOD, Observer
from .measuring import grown
from .members_mesh import ZONES
from .rows import Figure

DESTINATIONS = 25  # in ten zones: nearly as many cells as one report may hold
REGIONS = {zone: zone % 3 for zone in range(ZONES)}
RULES = returning.Rules(fall_multiple=1.5, tip_after=2.0, cold_share=0.35, cold_time=10.0)
FAILING = 0.01
LIMIT = 500.0  # messages a second that a zone tells it takes


def report_of(number: int, random: Random) -> bytes:
    """The encoded report of one sender: two ended calls for each destination and zone, a share of FAILING bad."""
    observer = Observer(f"sender-{number:04d}~1", number % ZONES)
    for destination in range(DESTINATIONS):
        observer.came(1.0, destination, 3.0)
        for zone in range(ZONES):
            how = BAD if random.random() < FAILING else GOOD
            for _ in range(2):
                observer.ended(1.0, destination, zone, how, 0.0 if how == BAD else LIMIT)
    return observe.encode(observer.report(1.0))


def measure(size: int, seed: int) -> list[Figure]:
    """Reports of so many senders, and one judgement of them all."""
    random = Random(seed)
    reports = [report_of(number, random) for number in range(size)]
    memory, known = grown(lambda: [Known(1.0, observe.decode(data)) for data in reports])
    began = time.process_time()
    for data in reports:
        observe.decode(data)
    decoding = time.process_time() - began
    began = time.process_time()
    decision = judge(Decision(), known, 1.2, REGIONS, RULES)
    judging = time.process_time() - began
    assert decision is not None
    return [
        Figure("wire bytes of a report", "B", sum(map(len, reports)) / size),
        Figure("memory of all reports", "B", memory),
        Figure("processor time to read all reports", "s", decoding),
        Figure("processor time of a judgement", "s", judging),
    ]
