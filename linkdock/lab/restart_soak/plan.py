"""What one run of the soak of restarts is: settings, traffic and what befalls the process, all by its seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

KILL_AFTER = 3.7  # seconds from SIGTERM until the platform kills, whether or not the process has gone
RESTART_AFTER = 0.6  # seconds from the kill until the next life begins
LONGEST_HOLD = 0.15  # seconds for which a sender may be held up
MEMBERS = 4

TERM = "term"
TERM_TWICE = "term twice"
RELOAD_TWICE = "hup twice, then term"
RELOAD_AND_TERM = "hup and term at once"
TERM_EARLY = "term right behind the start"
KILL = "kill"
KILL_BEHIND_ANSWER = "kill right behind an answer"
HELD_UP = "held up, then term"
UPGRADE = "upgrade"
ENDS = (TERM, TERM_TWICE, RELOAD_TWICE, RELOAD_AND_TERM, TERM_EARLY, KILL, KILL_BEHIND_ANSWER, HELD_UP, UPGRADE)
KILLS = (KILL, KILL_BEHIND_ANSWER)

ANSWERS, SLOW, HANGS, RESETS_LATE, REFUSES = "answers", "slow", "hangs", "resets late", "refuses"
CONDUCTS = (ANSWERS, SLOW, HANGS, RESETS_LATE, REFUSES)


@dataclass(frozen=True, slots=True)
class Life:
    """One life of the process: seconds of traffic before its end begins, and how that goes."""

    serves: float
    end: str
    held_up: float  # seconds between SIGSTOP and SIGCONT
    conducts: tuple[str, ...]  # of each member from the end's beginning on


@dataclass(frozen=True, slots=True)
class Plan:
    """One run. Times are in seconds."""

    seed: int
    window: float  # of keyed messages
    deadline: float  # of every class
    slots: int
    sockets: int  # descriptors that the process may hold
    clients: int
    crowd: int  # idle clients that take descriptors
    pieces: bool  # some requests come in two pieces
    idle_life: float | None  # after which members drop idle connections
    silent_discovery: bool  # discovery falls silent for a while in the second life
    drained: int | None  # the member that is told to drain in the first life
    deploy: tuple[str, ...]  # files under deploy/ that are switched on
    lives: tuple[Life, ...]

    @property
    def shares_socket(self) -> bool:
        """Whether the clients' listening socket outlives the processes, as an upgrade wants it."""
        return any(life.end == UPGRADE for life in self.lives)


def _life(luck: Random, upgrades: bool) -> Life:
    ends = [end for end in ENDS if upgrades or end != UPGRADE]
    conducts = tuple(luck.choice(CONDUCTS) if luck.random() < 0.5 else ANSWERS for _ in range(MEMBERS))
    return Life(luck.uniform(0.6, 1.4), luck.choice(ends), luck.uniform(0.02, LONGEST_HOLD), conducts)


def draw(seed: int) -> Plan:
    """The run of a seed."""
    luck = Random(f"restart-soak {seed}")
    upgrades = luck.random() < 0.3
    options = ("records", "dormancy", "connections", "admission", "undeliverable")
    return Plan(
        seed=seed,
        window=luck.uniform(1.0, 4.0),
        deadline=luck.uniform(2.5, 8.0),
        slots=luck.choice((4, 8, 32)),
        sockets=luck.choice((256, 512, 1024)),
        clients=luck.randint(2, 6),
        crowd=luck.choice((0, 0, 0, 40, 300)),
        pieces=luck.random() < 0.5,
        idle_life=luck.choice((None, None, 0.4)),
        silent_discovery=luck.random() < 0.25,
        drained=luck.randrange(MEMBERS) if luck.random() < 0.4 else None,
        deploy=() if upgrades else tuple(name for name in options if luck.random() < 0.2),
        lives=tuple(_life(luck, upgrades) for _ in range(3)),
    )
