"""Who should have how many connections: what each lacks that is worth opening before it is needed, and fair parts.

No I/O. It looks at the table of endpoints and changes nothing there but what is known of a server; `ConnectionManager`
opens and closes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .demand import HOLD, shares
from .endpoint_table import EndpointTable
from .orders import ROUND, Endpoint

RESERVE = 0.1  # of all connections: kept free of those opened ahead
WAITS = "asked to wait"  # as the server table says it


class Ahead:
    """What the table lacks, and who goes without where there is not enough for all."""

    def __init__(self, table: EndpointTable) -> None:
        """`table` holds the connections to look at."""
        self._table = table

    def most(self) -> int:
        """Connections up to which some are opened ahead."""
        return int(self._table.most * (1 - RESERVE))

    def parts(self, now: float) -> dict[str, int] | None:
        """What each may have of all connections; None where there is enough for all."""
        table = self._table
        if 2 * table.count < table.most:
            return None
        needs = {
            server: max(table.target(now, server, e), e.busy + e.opening + len(e.waiting))
            for server, e in table.endpoints.items()
            if e.held or e.waiting
        }
        most = self.most()
        return None if sum(needs.values()) <= most else shares(needs, most)

    def deserving(self, now: float, server: str, endpoint: Endpoint) -> str | None:
        """A server that has less than its part and whose calls found no room, where this one has all of its own."""
        table = self._table
        if not table.short or table.count < table.most:
            return None
        parts = self.parts(now)
        if parts is None or endpoint.held < parts.get(server, 0):
            return None
        for other in table.short:
            known = table.endpoints.get(other)
            if other != server and known is not None and known.waiting and known.held < max(1, parts.get(other, 0)):
                return other
        return None

    def lacks(self, now: float, names: Iterable[str], blocked: Callable[[str], str | None]) -> dict[str, int]:
        """Connections that servers lack where there is traffic and nothing speaks against; each earns tokens for them.

        `blocked` says why nothing may be sent to a server just now.
        """
        table, lacks, parts = self._table, {}, self.parts(now)
        for server in names:
            endpoint = table.endpoints.get(server)
            if endpoint is None or now - endpoint.asked_at >= HOLD:
                continue
            target = table.target(now, server, endpoint)
            if parts is not None:
                target = min(target, parts.get(server, 0))
            lack = min(target, table.ceiling(endpoint)) - endpoint.busy - endpoint.opening - table.usable(now, endpoint)
            past, endpoint.looked_at = min(now - endpoint.looked_at, 1.0), now
            if lack > 0 and self._may(now, server, endpoint, blocked):
                rate = table.settings.ahead
                endpoint.tokens = min(
                    endpoint.tokens + rate * table.warmth(now, endpoint) * past, max(1.0, rate * ROUND)
                )
                lacks[server] = lack
        return lacks

    @staticmethod
    def _may(now: float, server: str, endpoint: Endpoint, blocked: Callable[[str], str | None]) -> bool:
        """Never toward one that drains, is gone or stopped, asked to wait, refuses, or is late already."""
        why = blocked(server)
        if why is not None:
            endpoint.tokens = 0.0
            endpoint.away = endpoint.away or why != WAITS  # a wait does not make it cold
            return False
        if endpoint.away:  # Danger: what comes back is cold, and a handshake is work there.
            endpoint.away, endpoint.cold_since = False, now
            return False
        return not endpoint.unreachable and not endpoint.refusals and not endpoint.demand.slow(now)
