"""What the parts of the cluster say to one another. Plain values; no clock, no socket, no file.

Times are seconds of the process's own monotonic clock, never compared between processes. A process is known by its
`id`: its name and its life, `name~life`. A life is drawn at random when the folder holds none: a process whose folder
was lost is a new member, and its old vote, lease and shard are never used again.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

import msgspec

MOST_FRAME = 1 << 20  # bytes of one frame between two processes, digest included
MOST_DATAGRAM = 1400  # bytes of one datagram of the membership, digest included
MOST_ENTRY = 64 << 10  # bytes of one entry's data


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """A process: its id, its place, where it takes frames (TCP) and datagrams (UDP, the same port)."""

    id: str
    zone: str
    region: str
    host: str
    port: int
    version: int = 1  # of what it speaks; two versions at the most are ever in use


def name_of(peer_id: str) -> str:
    return peer_id.rpartition("~")[0]


# --- The replicated log.


class Kind(IntEnum):
    """What an entry of the log is."""

    EMPTY = 0  # a leader's first of its term
    COMMAND = 1  # data is a command of the shared state
    CONFIG = 2  # data is a Config, in MessagePack


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry; `index` counts from 1 without gaps."""

    index: int
    term: int
    kind: Kind
    data: bytes = b""


class Config(msgspec.Struct, frozen=True, array_like=True):
    """Who decides (voters) and who follows only (learners), by id. One is added or removed at a time."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """What must be on disk before it is said: the term, and for whom its vote went ("" for nobody)."""

    term: int = 0
    voted: str = ""


class Image(msgspec.Struct, frozen=True, array_like=True):
    """The shared state as of an entry: what the log before it comes to."""

    index: int
    term: int
    config: Config
    data: bytes


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """From one process's log to another's. `term` is the sender's, but for PreVote: that it would take."""

    term: int


class PreVote(Message, frozen=True, array_like=True, tag="pre"):
    """Would you vote for me in `term`? Changes nothing at either side."""

    last_index: int
    last_term: int


class PreVoted(Message, frozen=True, array_like=True, tag="pred"):
    granted: bool


class AskVote(Message, frozen=True, array_like=True, tag="ask"):
    last_index: int
    last_term: int
    handed_over: bool = False  # the leader itself asked for this election: its lease does not stand against it


class Voted(Message, frozen=True, array_like=True, tag="voted"):
    granted: bool


class Append(Message, frozen=True, array_like=True, tag="app"):
    """Entries after (`prev_index`, `prev_term`); none is a heartbeat. `round` comes back in the answer."""

    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()


class Appended(Message, frozen=True, array_like=True, tag="apped"):
    """`index`: if `ok` the last entry that is surely the leader's and on disk; else where to try next (a hint)."""

    ok: bool
    index: int
    round: int


class Install(Message, frozen=True, array_like=True, tag="img"):
    """A piece of an Image, MessagePack, from byte `at` of `size`; answered by Appended once it is whole and on disk."""

    index: int
    image_term: int
    at: int
    size: int
    piece: bytes
    round: int


class TakeOver(Message, frozen=True, array_like=True, tag="over"):
    """Stand for election at once: the leader leaves."""


AnyMessage = PreVote | PreVoted | AskVote | Voted | Append | Appended | Install | TakeOver


class Ready(msgspec.Struct, frozen=True):
    """What the caller has to do, in this order, before it asks again.

    1. Write `image`, which takes the place of the whole log but for entries that go on from its own; cut the log from
       `entries[0].index` on and write `entries`, write `vote`; sync once.
    2. Send `messages` (to, message). Danger: before step 1 is on disk they would promise what a crash takes back.
    3. Apply `committed` in order. `image` (if given) goes to the state first.
    """

    vote: Vote | None = None
    entries: tuple[Entry, ...] = ()
    image: Image | None = None
    messages: tuple[tuple[str, AnyMessage], ...] = ()
    committed: tuple[Entry, ...] = ()


class Stored(msgspec.Struct, frozen=True):
    """What a folder holds: what a log starts from."""

    vote: Vote = Vote()
    image: Image | None = None
    entries: tuple[Entry, ...] = ()  # those after the image, without gaps


class Log(Protocol):
    """The machine of the replicated log (`log/core.py`): facts in, `Ready` out. `now` never goes back."""

    term: int
    leader: str | None  # as far as it knows
    leading: bool
    commit: int

    def tick(self, now: float) -> None: ...
    def next_due(self) -> float: ...
    def step(self, now: float, sender: str, message: AnyMessage) -> None: ...
    def propose(self, now: float, data: bytes) -> tuple[int, int]:
        """(term, index) of the entry that it will be if it is committed. Raises NotLeading, TooBusy, TooLarge."""

    def change(self, now: float, config: Config) -> tuple[int, int]:
        """Like `propose`; one voter or learner more or less than the last. Raises ChangeOpen, BadChange too."""

    def may_read(self, now: float) -> bool:
        """Whether the state as applied up to `commit` is the newest: by the leader's lease, drift counted."""

    def hand_over(self, now: float, to: str | None = None) -> str | None:
        """Before leaving: no new proposals; the most caught-up voter is told to stand. Says whom, or None."""

    def compact(self, image: Image) -> None:
        """The caller has stored `image`; entries up to it are forgotten here (and on disk by the caller)."""

    def ready(self) -> Ready | None:
        """What is to be done, or None. Calling it again means that all of the last one has been done."""


class State(Protocol):
    """What the log is applied to. Same entries, same state: no clock, no chance, nothing from outside."""

    def apply(self, index: int, data: bytes) -> object:
        """The answer for the proposer. Bad data is an answer too (an error value), never a raise."""

    def image(self) -> bytes: ...
    def restore(self, data: bytes) -> None: ...


# --- Membership.


class Standing(IntEnum):
    """How a member stands; for one incarnation the later one of these wins."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member. A member alone raises its own incarnation."""

    peer: Peer
    standing: Standing
    incarnation: int


class Packet(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """One datagram, apart from the digest round it. `number` is drawn by whoever asks and comes back in its answer."""

    sender: Peer
    incarnation: int
    number: int
    rumours: tuple[Rumour, ...] = ()


class Ping(Packet, frozen=True, array_like=True, tag="ping"):
    """Are you there? `to` is the id that is meant: another life at the same address does not answer for it."""

    to: str = ""


class PingFor(Packet, frozen=True, array_like=True, tag="for"):
    """Ping `target` for me."""

    target: str = ""


class Ack(Packet, frozen=True, array_like=True, tag="ack"):
    """I am there; or, with `target` other than the sender, it is."""

    target: str = ""


class Nack(Packet, frozen=True, array_like=True, tag="nack"):
    """I asked for you and heard nothing yet: so it is not you who is deaf."""

    target: str = ""


class Join(Packet, frozen=True, array_like=True, tag="join"):
    """I am new here; answered by Welcome. Sent to the seeds' addresses, whose ids are not known yet."""


class Welcome(Packet, frozen=True, array_like=True, tag="hello"):
    """Members that I know, as rumours, as many as fit; the rest comes by gossip."""


AnyPacket = Ping | PingFor | Ack | Nack | Join | Welcome


class Post(msgspec.Struct, frozen=True):
    """To be sent as one datagram: to a member's id, or to a seed's "host:port" if `seed`."""

    to: str
    packet: AnyPacket
    seed: bool = False


class Heard(msgspec.Struct, frozen=True):
    """A member's standing has changed, as this process sees it; `returned` if it had failed or left before."""

    peer: Peer
    standing: Standing
    incarnation: int
    returned: bool = False


class Members(Protocol):
    """The machine of the membership (`members/swim.py`). Each call gives what to send and what has changed."""

    def join(self, now: float, seeds: list[str]) -> list[Post | Heard]: ...
    def receive(self, now: float, packet: AnyPacket) -> list[Post | Heard]: ...
    def tick(self, now: float) -> list[Post | Heard]: ...
    def next_due(self) -> float: ...
    def leave(self, now: float) -> list[Post | Heard]: ...
    def view(self) -> dict[str, Rumour]:
        """All known but those long gone, by id, this process among them."""

    def health(self) -> int:
        """0 is sound; more: this process itself answers or hears late (local health awareness)."""
