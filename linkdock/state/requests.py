"""The requests that this sender holds, from the moment they came in until nothing is owed for them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..errors import LinkdockError
from .journal_records import EARLIEST


class Refused(LinkdockError, ValueError):
    """A request that can never be taken, with the text for its client."""

    code = "LD-CLIENT-REFUSED"
    what = "a client's request can never be taken; it heard why"
    remedy = "Correct the client, or add to the configuration the class or key that it names"


# What the `answer` of a request is told, once.


class Taken(NamedTuple):
    """The sender owes the request its end from now on; `known` where it did already and nothing is begun."""

    known: bool = False


class Busy(NamedTuple):
    """Denied; its client is advised to come again after `wait` seconds (0: no advice)."""

    wait: float


class Failed(NamedTuple):
    """Neither taken on nor to be handed in again."""

    text: str


Answer = Taken | Busy | Failed


@dataclass(slots=True)
class Request:
    """One message. `answer` is set until its client has been answered; `until` is on the loop's clock.

    `answer` returns whether its client was still there to hear it.
    """

    id: str
    key: str
    cls: int
    destination: int
    until: float
    body: bytes
    alone: bool = False  # whether it must not share a call any more
    ordered: bool = False  # whether others of its key wait until its calls are over
    answer: Callable[[Answer], bool] | None = None
    tenant: str = ""  # whose share it counts against, where the settings name tenants
    idempotency_key: str = ""  # by which a server drops repeats, where its client named one
    taken_at: float = EARLIEST  # by which the messages of its key go in order, over all processes of this sender
    client: int = 0  # the number of the connection that it came on, for the record
    sent: dict[int, float] = field(default_factory=dict)  # attempts that may have run: when each went out


class Requests:
    """Owner of the open requests; `remove` is the one place where they are given back."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._open: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self):
        return iter(self._open.values())

    def hold_at_most(self, most: int) -> None:
        self._most = most

    def full(self) -> bool:
        return len(self._open) >= self._most

    def get(self, request_id: str) -> Request | None:
        return self._open.get(request_id)

    def add(self, request: Request) -> None:
        self._open[request.id] = request

    def remove(self, request_id: str) -> None:
        self._open.pop(request_id, None)
