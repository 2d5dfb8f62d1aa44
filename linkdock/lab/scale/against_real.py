"""The check of hollow against real: the same figures of an idle node, by hollow members and by real processes.

Real: `lab/processes/cost.py` at rest, so many processes of the program with the cluster on and with it off, loopback
links and disks. Hollow: the membership of `members_mesh` and the log of `replication` at the same size, three voters.
"""

from __future__ import annotations

import asyncio
import os

from ..processes import cost
from .members_mesh import WARM, WATCHED, Mesh
from .replication import IDLE, Fleet
from .rows import Figure

VOTERS = 3  # as deploy/cluster.json has it by default
DATAGRAMS, FRAMES = "datagram bytes a second a process, sent", "frame bytes a second a process, sent"
PROCESSOR = "processor time a second a process"


def real(size: int, seed: int) -> list[Figure]:
    """So many real processes; what the cluster adds to an idle sender."""
    os.environ["LINKDOCK_LOOK"] = "1"
    off = asyncio.run(cost.idle("off", size, seed))
    on = asyncio.run(cost.idle("quorum", size, seed))
    return [
        Figure(DATAGRAMS, "B/s", on["datagrams B/s"]),
        Figure(FRAMES, "B/s", on["frames B/s"]),
        Figure(PROCESSOR, "s/s", (on["cpu s"] - off["cpu s"]) / cost.WATCHED),
        Figure("memory that the cluster adds to a process", "B", 1e6 * (on["RSS MB"] - off["RSS MB"])),
    ]


def hollow(size: int, seed: int) -> list[Figure]:
    """As many hollow ones: the membership's machine and the log's machine, each with its codec, nothing else."""
    mesh = Mesh(seed, size)
    mesh.run(WARM)
    both_ways, _, members_seconds = mesh.watch(WATCHED)
    fleet = Fleet(size - VOTERS, seed, VOTERS)
    fleet.elect()
    sent, spent = fleet.bytes_of_leader, sum(one.seconds for one in fleet.replicas)
    fleet.run(fleet.now + 10 * IDLE)
    log_seconds = (sum(one.seconds for one in fleet.replicas) - spent) / (10 * IDLE * size)
    return [
        Figure(DATAGRAMS, "B/s", both_ways.value / 2),
        Figure(FRAMES, "B/s", (fleet.bytes_of_leader - sent) / (10 * IDLE * size)),
        Figure(PROCESSOR, "s/s", members_seconds.value + log_seconds),
    ]
