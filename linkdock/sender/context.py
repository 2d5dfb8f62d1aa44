"""What the parts of a sender share: its rules, its decisions, the journal, the table, the open requests, who hears."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ..facade import Facade, Settled
from ..interface import Settings
from ..protocol.notices import Notices
from ..state.journal import Journal
from ..state.journal_records import EARLIEST, Kept
from ..state.requests import Refused, Request, Requests
from ..state.table import ServerTable

if TYPE_CHECKING:
    from ..records.observer import Observer
    from ..state.figures import Figures
    from ..undeliverable.writer import Undeliverable


class Rules(Protocol):
    """What a sender needs of its configuration. Classes are numbered in the order of their names."""

    settings: Settings
    class_names: list[str]

    @property
    def classes(self) -> dict[str, int]:
        """The numbers by name."""

    @property
    def tenants(self) -> dict[str, int]:
        """The numbers by name; none where traffic is nobody's."""

    def repeatable(self, cls: int) -> bool:
        """Whether a message of this class may be sent again though it may have run."""


class SenderContext:
    """One for each sender, made by whoever starts it, who also sets what is on."""

    def __init__(
        self, rules: Rules, clock: Callable[[], float], facade: Facade, journal: Journal, table: ServerTable
    ) -> None:
        self.rules, self.clock, self.facade, self.journal, self.table = rules, clock, facade, journal, table
        self.requests = Requests(rules.settings.max_open)
        self.observer: Observer | None = None  # of the records, where they are on
        self.undeliverable: Undeliverable | None = None  # the store, where it is on
        self.figures: Figures | None = None  # where there are operators
        self.notices: Notices
        # By the process's timers, which call back once; without any, at once.
        self.after: Callable[[float, Callable[[], None]], object] = lambda seconds, call: call()
        journal.on_end = lambda request: facade.report(Settled(request))

    def tenant(self, name: str) -> int:
        """The number of a tenant; one that the settings do not name has no share that it could be over."""
        tenants = self.rules.tenants
        return tenants.get(name, len(tenants))

    def order_key(self, request: Request) -> int:
        """By which messages of its class go in order; 0 where they need not, and the request knows. Raises Refused."""
        key = self._order(request.cls, request.key)
        request.ordered = key != 0
        request.taken_at = self.journal.stamp() if key else EARLIEST
        return key

    def key_on_record(self, kept: Kept) -> int:
        """By which a message on record goes in order; 0 where it does not. Raises Refused like `order_key`."""
        cls = self.rules.classes.get(kept.cls)
        return 0 if cls is None else self._order(cls, kept.key)

    def _order(self, cls: int, key: str) -> int:
        if not self.rules.settings.classes[cls].in_order:
            return 0
        try:
            return int(key, 16)
        except ValueError:
            raise Refused("the key is not hexadecimal") from None
