"""How long a change takes until every sender goes by it: a model with stated delays, not a measurement.

A change is proposed to the log's leader, committed by a majority of the seven control machines, and sent by them to two
relays in each zone; a relay sends it to the senders of its zone one after the other. A sender that hears nothing from
its relay for SILENCE asks the other one. Who restarts learns of it from its start's first answer.
"""

from __future__ import annotations

from random import Random

import numpy as np

NEAR, FAR = (0.0002, 0.001), (0.020, 0.080)  # seconds one way: in a region, between regions
DISK = (0.002, 0.040)  # seconds of a voter's synced write
WRITE = 60e-6  # seconds of a relay's processor for one receiver
LOST, AGAIN = 0.001, 0.25  # part of messages that a network drops; seconds until TCP sends one again, doubling
PAUSE, PAUSED = 0.02, (0.05, 0.5)  # part of senders whose loop is held just then; seconds
SILENCE = 2.0  # seconds between two messages of a relay, after which a sender asks the other relay
DETOUR = 3.0  # seconds until a region that is cut off in part is reached through the third
RESTARTING, RESTART = 0.01, (2.0, 10.0)  # part of members; seconds until they are ready
CONTROL = 7


def in_force(members: int, zones: int, regions: int, story: str, seed: int) -> np.ndarray:
    """Seconds from the proposal, of each sender that runs all the while (of `restarting`: after its start)."""
    chance = Random(f"in-force/{story}/{seed}")
    committed = _committed(chance, regions)
    times = []
    for zone in range(zones):
        relays = [committed + _trip(chance, zone % regions != 0) for _ in range(2)]
        if story == "zone-cut" and zone == 0:
            relays = [at + DETOUR for at in relays]
        receivers = [k for k in range(members) if k % zones == zone]
        turn = [0, 0]
        for k in receivers:
            mine = k // zones % 2
            turn[mine] += 1
            at = relays[mine] + turn[mine] * WRITE
            if story == "relay-dead" and zone == 0 and mine == 0:
                at = max(at + SILENCE, relays[1]) + _trip(chance, False)
            at += _trip(chance, False)
            if chance.random() < PAUSE:
                at += chance.uniform(*PAUSED)
            if story == "restarting" and chance.random() < RESTARTING:
                continue  # it is ready only with the newest epoch that its relay has
            times.append(at)
    return np.array(times)


def _committed(chance: Random, regions: int) -> float:
    """The leader stands in region 0; voters by turns in all regions; the proposer anywhere."""
    answers = sorted(2 * _trip(chance, voter % regions != 0) + chance.uniform(*DISK) for voter in range(1, CONTROL))
    return _trip(chance, True) + max(answers[CONTROL // 2 - 1], chance.uniform(*DISK))


def _trip(chance: Random, far: bool) -> float:
    trip, again = chance.uniform(*(FAR if far else NEAR)), AGAIN
    while chance.random() < LOST:
        trip += again
        again *= 2
    return trip
