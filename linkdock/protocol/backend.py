"""What all calls to backend servers share, and what they need of their owner."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Protocol

from ..connections.first_bytes import FirstBytes
from ..connections.pool import ConnectionPool
from ..facade import Item
from ..state.requests import Request
from ..state.table import ServerTable
from ..state.wheel import Wheel
from . import http

if TYPE_CHECKING:
    from ..connections.kept import KeptPool
    from ..records.observer import Observer
    from ..state.figures import Figures


class CallOwner(Protocol):
    """What a call needs of its owner."""

    def may_go(self, server: str, item: Item) -> bool:
        """Asked right before the first byte goes out; a yes is on record."""

    def ended(
        self,
        server: str,
        item: Item,
        how: str,
        elapsed: float,
        wait: float = 0.0,
        load: tuple[float, float] | None = None,
        over: bool = False,
        owed: bool = False,
        due: float = inf,
        read: str = "",
        tried: bool = True,
    ) -> None:
        """An item has its outcome; `over` where the request is over, `owed` where its end is still owed.

        `due` is when the first of those that shared its call ran out of time, on the loop's clock; `read` says for
        the record what came back, `tried` whether it counts as one of its attempts.
        """

    def repeatable(self, request: Request) -> bool:
        """Whether it may be sent again though it may have run."""

    def call_began(self, request: str) -> None:
        """The first byte of a call with this request of an ordered class is about to be written."""

    def call_over(self, request: str) -> None:
        """That call cannot be running any more: its server has answered all of it, or has met its end."""

    def delivered_late(self, request: str, due: float) -> None:
        """An item that had been given up was delivered all the same."""


class Backend:
    """What all calls share."""

    def __init__(
        self,
        owner: CallOwner,
        table: ServerTable,
        pool: ConnectionPool,
        wheel: Wheel,
        clock: Callable[[], float],
        connect_timeout: float,
        fields: list[str],
    ) -> None:
        """`connect_timeout` in seconds; `fields` are the names that a load report gives its figures."""
        self.owner, self.table, self.pool, self.wheel, self.clock = owner, table, pool, wheel, clock
        self.connect_timeout, self.fields = connect_timeout, fields
        self.first_bytes = FirstBytes()
        self.kept: KeptPool | None = None  # the pool, where the keeper is on
        self.observer: Observer | None = None  # of the records, where they are on
        self.figures: Figures | None = None  # where there are operators

    def load(self, headers: dict[str, str]) -> tuple[float, float] | None:
        """The load report of an answer, if it carries one that can be read."""
        return http.load_report(headers, self.fields)
