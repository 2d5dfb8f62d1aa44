"""Which kept connection may carry a call, by `deploy/connections.json` and what was learned. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..options import OptionError
from .lifetimes import Lifetimes

Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class ConnectionsSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The most risk that a kept connection is dead, beyond that of a new one, at which it is used all the same."""

    on: bool = False
    careful: Annotated[Share, msgspec.Meta(
        description="For what may not be repeated: the price of a handshake over the worth of a message.")] = 0.02
    bold: Annotated[Share, msgspec.Meta(description="For what may be repeated, which loses a call's time.")] = 0.08


def read(text: bytes) -> ConnectionsSettings:
    """Check the file's text. Raises OptionError that names the key and what would be right."""
    try:
        told = msgspec.json.decode(text, type=ConnectionsSettings)
    except msgspec.MsgspecError as bad:
        raise OptionError(f"connections.json: {bad}") from None
    if told.careful > told.bold:
        raise OptionError(f"connections.json: careful must be at most bold ({told.bold:g}), not {told.careful:g}")
    return told


def schema() -> dict:
    return msgspec.json.schema(ConnectionsSettings)


class Choice:
    """What the pool asks before it takes a kept connection, and tells once it was used."""

    def __init__(self, settings: ConnectionsSettings) -> None:
        self._settings, self.known = settings, Lifetimes()

    def may_use(self, server: str, kind: int, age: float, careful: bool) -> bool:
        most = self._settings.careful if careful else self._settings.bold
        return self.known.risk(server, kind, age) <= most

    def used(self, now: float, server: str, kind: int, age: float, alive: bool) -> None:
        self.known.used(now, server, kind, age, alive)
