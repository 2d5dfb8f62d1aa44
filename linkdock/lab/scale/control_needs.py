"""What the control machines and operators need at the size to design for, by duty, from the measured slopes."""

from __future__ import annotations

from ...cluster.interface import MOST_ENTRY
from ...cluster.links import MOST_ACCEPTED
from ...cluster.places import MOST_LEARNERS
from ...failover.judge import MOST_STANDINGS
from . import design as d
from .figures import JUDGE, LOG, MEMBERS, MOST_MEMBERS, READY, Figures, times, total
from .verdicts import Need


def control_machine(f: Figures) -> list[Need]:
    """What the seven machines need, by duty. The wire's budget is all senders' 11 kB/s, at their end."""
    idle_core, idle_wire = (
        "leader: processor time a second at rest",
        "leader: wire bytes a second at rest, sent and received",
    )
    change_core, change_wire = "leader: processor time of a change", "leader: wire bytes of a change"
    last, half = "a change: in force at all senders", "a change: in force at half of the senders"
    entry = "bytes of the entry that says who follows"
    read, judged = "processor time to read all reports", "processor time of a judgement"
    factor = f.factor("log", idle_core, d.SENDERS)
    learners = f"{MOST_LEARNERS} learners, {MOST_ACCEPTED:,} links"
    whole = f.list_of("wire bytes of a whole list")
    list_factor = f.factor("list", "wire bytes of a whole list", d.DESTINATIONS)
    judge_factor = f.factor("judge", judged, d.SENDERS)
    judging = total(
        times(f.fleet("judge", read), d.REPORTS / d.MACHINES),
        times(f.fleet("judge", judged), d.JUDGEMENTS),
    )
    report = f.fleet("judge", "wire bytes of a report")
    return [
        Need(
            "log voter, leading: wire at rest", f.fleet("log", idle_wire), "B/s", d.MACHINE_WIRE, factor, LOG, learners
        ),
        Need(
            "log voter, leading: processor at rest",
            f.fleet("log", idle_core),
            "s/s",
            d.MACHINE_CORE,
            factor,
            LOG,
            learners,
        ),
        Need("log: entry that says who follows", f.fleet("log", entry), "B", MOST_ENTRY, factor, LOG),
        Need(
            "distributor: wire of a change",
            f.fleet("log", change_wire),
            "B",
            d.MACHINE_WIRE * d.IN_FORCE,
            factor,
            LOG,
            learners,
        ),
        Need(
            "distributor: leader's processor time of a change",
            f.fleet("log", change_core),
            "s",
            d.IN_FORCE,
            factor,
            LOG,
            learners,
        ),
        Need(
            "distributor: a change in force at half (network alone)",
            f.fleet("log", half),
            "s",
            d.IN_FORCE,
            factor,
            LOG,
            learners,
        ),
        Need(
            "distributor: a change in force at all (network alone)",
            f.fleet("log", last),
            "s",
            d.IN_FORCE,
            factor,
            LOG,
            learners,
        ),
        Need(
            "distributor: proof of who has it",
            None,
            "",
            None,
            0,
            "none yet: the leader knows each learner's last entry, nobody is told",
        ),
        Need(
            "distributor: whole lists of 1,700 restarts a day, each of 7",
            times(whole, d.RESTARTS / d.DAY / d.MACHINES),
            "B/s",
            d.MACHINE_WIRE,
            list_factor,
            "discovery, outside the program",
        ),
        Need(
            f"distributor: whole lists of a zone's {d.IN_A_ZONE} senders in 10 s, each of 7",
            times(whole, d.IN_A_ZONE / READY / d.MACHINES),
            "B/s",
            d.MACHINE_WIRE,
            list_factor,
            "discovery, outside the program; no relays",
        ),
        Need(
            "membership, on each machine: processor",
            f.fleet("members-sampled", "processor time a second"),
            "s/s",
            d.MACHINE_CORE,
            f.factor("members-sampled", "processor time a second", d.SENDERS),
            MEMBERS,
            f"{MOST_MEMBERS:,} members",
            "a larger `most_members`",
        ),
        Need(
            "membership: a death known to all",
            f.fleet("members-restart", "a death: known to all"),
            "s",
            None,
            f.factor("members-restart", "a death: known to all", d.SENDERS),
            MEMBERS,
            f"{MOST_MEMBERS:,} members",
            "a larger `most_members`",
        ),
        Need(
            "judge: wire of all reports, each of 7",
            times(report, d.REPORTS * d.SENDERS / d.MACHINES),
            "B/s",
            d.MACHINE_WIRE,
            judge_factor,
            JUDGE,
        ),
        Need(
            "judge: processor, reading shared by 7, judging by one", judging, "s/s", d.MACHINE_CORE, judge_factor, JUDGE
        ),
        Need("judge: memory of all reports", f.fleet("judge", "memory of all reports"), "B", None, judge_factor, JUDGE),
        Need(
            "judge: destinations not serving that a decision can hold",
            d.DESTINATIONS * d.DOWN,
            "destinations",
            MOST_STANDINGS,
            0,
            JUDGE,
        ),
    ]


def operators(_: Figures) -> list[Need]:
    """Questions of operators over the whole fleet."""
    return [
        Need(
            "a question to one sender, answered by it",
            None,
            "s",
            1.0,
            0,
            "operators' address of one process (`service/operations.py`)",
        ),
        Need("a question to the whole fleet, with the shares that are missing named", None, "s", 1.0, 0, "none yet"),
        Need("why a message was refused, stopped or repeated, whichever sender has it", None, "s", None, 0, "none yet"),
    ]
