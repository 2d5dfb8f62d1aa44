"""What the peers of the process saw in one run; times are seconds of the machine's monotonic clock."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Request:
    """One message that a client handed in. `answer` is the line that it heard; else `lost` says how it went without."""

    name: str
    cls: str
    member: int
    key: str
    sent: float
    until: float
    answer: str = ""
    answered: float = 0.0
    lost: str = ""

    @property
    def taken(self) -> bool:
        """Whether the sender has taken it on."""
        return self.answer.startswith("+OK")


@dataclass(frozen=True, slots=True)
class Call:
    """A call that came to a member: when, and whether it may have run."""

    at: float
    may_have_run: bool


@dataclass(slots=True)
class Life:
    """One life of a process; `killed` is when it got SIGKILL, `told` when SIGTERM."""

    number: int
    begun: float
    ready: float = 0.0
    told: float | None = None
    killed: float | None = None
    over: float = 0.0
    early: bool = False  # it was told to end before it took clients
    status: int | None = None
    log: str = ""
    descriptors: int = 0  # most at a time
    memory: int = 0  # most bytes at a time


@dataclass(slots=True)
class History:
    """All of a run."""

    requests: dict[str, Request] = field(default_factory=dict)
    calls: defaultdict[str, list[Call]] = field(default_factory=lambda: defaultdict(list))
    notices: dict[str, float] = field(default_factory=dict)
    lives: list[Life] = field(default_factory=list)
    drained: dict[int, float] = field(default_factory=dict)  # members: since when the list says that they drain
    silent: list[tuple[float, float]] = field(default_factory=list)  # while discovery answered nothing
    over: float = 0.0
    held_up: float = 0.0  # seconds for which the machine held the run itself up, the longest time
    harness: list[str] = field(default_factory=list)  # what the run itself could not do
