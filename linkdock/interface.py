"""What goes in and out of the decisions: settings, events and actions, in the field's own terms.

Times are seconds on the caller's clock. A host is an opaque, hashable, sortable value; the decisions only
hand it back. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from math import inf
from typing import Protocol

Host = Hashable
GROUPS = ("all", "zone")  # whose endpoints drop repeats of a keyed message
MOST_NOTE = 256  # bytes that one note to a sibling may hold


class Effect(Enum):
    """What repeating a message of a class may do at the receiver."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Result(IntEnum):
    """How one attempt ended. FULL, CONNECT_FAILED and MOOT prove that it never ran."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


class HostState(IntEnum):
    """What the list of hosts says of one; nothing about its health."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListKind(Enum):
    """How a list of hosts relates to the one before."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True)
class MessageClass:
    """The rules and the worth of one class of message."""

    effect: Effect
    aim: float
    deadline: float
    worth: float = 1.0
    late_share: float = 0.0
    in_order: bool = False
    window: float = 0.0
    group: str = "all"

    def __post_init__(self) -> None:
        for name in ("aim", "deadline"):
            if not 0 < getattr(self, name) < inf:
                raise ValueError(f"{name} must be above 0 and finite")
        if self.group not in GROUPS:
            raise ValueError(f"group must be one of {', '.join(GROUPS)}")


@dataclass(slots=True)
class DestinationKind:
    """What a kind of destination is told to be like."""

    apart: bool = False
    batch: int = 1

    def __post_init__(self) -> None:
        if self.batch < 1:
            raise ValueError("batch must be at least 1")


@dataclass(slots=True)
class Settings:
    """All that a relay is told at its start."""

    classes: list[MessageClass]
    kinds: list[DestinationKind]
    slots: int
    max_open: int
    max_attempts: int
    relays: int = 1
    me: int = 0
    tick: float = 0.005
    connect_timeout: float = 1.0
    idle_close: float = 10.0
    max_retry_after: float = 0.0
    retry_after: bool = False
    cancel: bool = False
    probes: bool = False
    second_copies: bool = False
    subscribe: bool = False
    ask_within: float = 10.0
    halves: bool = False
    rough_weights: bool = True
    told_weights: bool = True
    tenant_quota: list[float] = field(default_factory=list)
    over_share_worth: float = 1.0
    zone_fee: list[float] = field(default_factory=list)
    handshake_price: float = 0.0
    refusal_price: float = 0.0
    drain_grace: float = 0.0
    fall_multiple: float = 1.0
    tip_after: float = 1.0
    cold_share: float = 1.0
    cold_time: float = 0.0
    order_rest: float = 0.0
    answer_slack: float = 0.0

    def __post_init__(self) -> None:
        for name in ("slots", "max_open", "max_attempts", "relays"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be at least 1")
        for name in ("fall_multiple", "tip_after"):  # paces and spans are multiples of these
            if not 0 < getattr(self, name) < inf:
                raise ValueError(f"{name} must be above 0 and finite")
        if not self.classes:
            raise ValueError("classes must not be empty")
        if self.subscribe and not self.ask_within > 0:
            raise ValueError("ask_within must be above 0 where the list must be asked for")
        if not 0 <= self.me < self.relays:
            raise ValueError("me must be at least 0 and below relays")


@dataclass(slots=True)
class HostEntry:
    """One line of a list of hosts."""

    host: Host
    destination: int
    state: HostState = HostState.READY
    kind: int = 0
    zone: int = 0
    weight: float = 1.0
    up_since: float = 0.0
    out_since: float | None = None  # known to have been out since then: it is met as from an outage


@dataclass(slots=True)
class Report:
    """What a destination told: the share of its allowance left, and its limit in calls a second (0: none)."""

    left: float
    limit: float


@dataclass(slots=True)
class Hosts:
    """News of the list of hosts."""

    how: ListKind
    entries: list[HostEntry]
    version: int = 0


@dataclass(slots=True)
class Message:
    """A message was handed in and is now owed one final answer."""

    id: int
    cls: int
    destination: int
    expires_in: float
    tenant: int = 0
    key: int = 0
    again: bool = False
    orphaned: bool = False
    attempts: int = 0  # spent on it before this relay started,
    tries: int | None = None  # of which so many count against `max_attempts`; none told: all
    taken_at: float = 0.0  # by which a key's messages go in order; 0: in the order of the events

    # Where `taken_at` is above 0, the end of the message is known only by `Settled`, and keeps its key until then.


@dataclass(slots=True)
class KeyHeld:
    """A message of an ordered class that another process of this sender holds; its key waits for `Settled`."""

    id: int
    key: int
    taken_at: float


@dataclass(slots=True)
class Settled:
    """A message's end is confirmed and no call of it can be running any more: its key passes on."""

    id: int


@dataclass(slots=True)
class Inherited:
    """What an older process of this sender has learned of a host; it waits for the whole list that has the host."""

    host: Host
    limit: float  # calls a second, 0: none known
    part: float  # of the limit that one sender may use
    ramp: float | None  # since when the host comes back, in seconds of the relay's clock; None: it does not
    since: float | None  # and since when it had been out


@dataclass(slots=True)
class Outcome:
    """The end of one attempt; `finished` is set where the message itself is over."""

    id: int
    attempt: int
    host: Host
    result: Result
    elapsed: float
    finished: bool = False
    wait: float = 0.0
    report: Report | None = None
    tried: bool = True  # whether it counts against `max_attempts`


@dataclass(slots=True)
class Started:
    """A streamed answer has begun."""

    id: int
    attempt: int
    host: Host
    elapsed: float


@dataclass(slots=True)
class Withdrawn:
    """Nobody wants this message any more."""

    id: int


@dataclass(slots=True)
class Probed:
    """The result of one probe."""

    host: Host
    result: Result
    elapsed: float
    report: Report | None = None


@dataclass(slots=True)
class TimerDue:
    """A timer that was set is due."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message from a sibling relay."""

    sender: int
    data: bytes


class Sleeper(Protocol):
    """Who has the list of hosts, and what was learned of destinations without work."""

    after: float  # seconds without work after which a destination falls asleep

    def rows(self, destination: int) -> list[HostEntry]:
        """What is listed for it."""

    def destination(self, host: Host) -> int | None:
        """The destination that a listed host serves; None for one that is not listed."""

    def partners(self, kind: int) -> int:
        """How many destinations of a kind are listed."""

    def keep(self, at: float, destination: int, dest: object) -> None:
        """It falls asleep: keep what its links have learned until then, when it last had work."""

    def wake(self, relay: object, destination: int, dest: object) -> None:
        """It wakes with the links that are listed: give them what was kept, as far as it still counts."""


Event = (
    Hosts | Message | KeyHeld | Settled | Inherited | Outcome | Started | Withdrawn | Probed | TimerDue | PeerMessage
)


@dataclass(slots=True)
class Send:
    """Try the message at a host for at most `timeout` (0: until the client gives up)."""

    id: int
    host: Host
    timeout: float


@dataclass(slots=True)
class Refuse:
    """Final answer: trying again is harmless, after `wait` (0: no advice)."""

    id: int
    wait: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    id: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting on an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerDue at a time."""

    at: float
    token: int


@dataclass(slots=True)
class Probe:
    """Probe a host."""

    host: Host


@dataclass(slots=True)
class CloseIdle:
    """Close this relay's idle connections to a host."""

    host: Host


@dataclass(slots=True)
class Log:
    """A line for on-call staff; of a host, what it is held to be from now on."""

    text: str
    host: Host | None = None
    state: str = ""


@dataclass(slots=True)
class Subscribe:
    """Ask for changes of the list of hosts from now on, or no longer."""

    on: bool


@dataclass(slots=True)
class FetchList:
    """Ask for the whole list of hosts once."""


@dataclass(slots=True)
class Tell:
    """Send bytes to a sibling relay (None: to all)."""

    peer: int | None
    data: bytes

    def __post_init__(self) -> None:
        if len(self.data) > MOST_NOTE:
            raise ValueError(f"data must hold at most {MOST_NOTE} bytes")


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Log | Subscribe | FetchList | Tell
