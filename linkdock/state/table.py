"""The server table: discovery's list as told so far, and the waits that destinations have asked for."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from ..facade import Server


class ServerTable:
    """Owner of the rows and the waits. A row stays known after its server is gone."""

    def __init__(self, apart: Iterable[bool]) -> None:
        self._apart = list(apart)   # by kind: whether a wait binds one server or its whole destination
        self.rows: dict[str, Server] = {}
        self.version = 0
        self._waits: dict[tuple, float] = {}
        self._destinations: set[int] = set()

    def update(self, whole: bool, servers: Iterable[Server], version: int) -> None:
        """Take in changes, or a whole list: what that leaves out is gone."""
        fresh = {s.name: s for s in servers}
        if whole:
            for name, row in self.rows.items():
                fresh.setdefault(name, row._replace(health="gone"))
        self.rows.update(fresh)
        self._destinations.update(s.destination for s in fresh.values())
        self.version = version

    def knows(self, destination: int) -> bool:
        return destination in self._destinations

    def _route(self, row: Server) -> tuple:
        apart = row.kind < len(self._apart) and self._apart[row.kind]
        return (row.destination, row.name) if apart else (row.destination,)

    def told_wait(self, name: str, until: float) -> tuple:
        """A server's answer asked for quiet until then; what that binds."""
        route = self._route(self.rows[name])
        self._waits[route] = max(until, self._waits.get(route, -inf))
        return route

    def closed(self, name: str, now: float) -> str | None:
        """Why nothing may be sent to this server just now, or None."""
        row = self.rows[name]
        if row.health != "ready":
            return f"is {row.health}"
        if self._waits.get(self._route(row), -inf) > now:
            return "asked to wait"
        return None
