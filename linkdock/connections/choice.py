"""Which kept connection may carry a call, by `deploy/connections.json` and what was learned. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..options import OptionError
from . import FRESH
from .lifetimes import EDGES, USES, Lifetimes

FORESEEN = 0.5  # risk from which a death was to be expected

Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class ConnectionsSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Which kept connection is used for what, how many there are, and what operators see of them."""

    on: bool = False
    careful: Annotated[
        Share,
        msgspec.Meta(
            description="The most risk that a kept connection is dead, beyond that of a new one, at which it is used "
            "for what may not be repeated: the price of a handshake over the worth of a message."
        ),
    ] = 0.04
    bold: Annotated[Share, msgspec.Meta(description="For what may be repeated, which loses a call's time.")] = 0.05
    idle_life: Annotated[
        float,
        msgspec.Meta(ge=0, description="Seconds that a connection may lie idle at most; 0: as discovery's limits say."),
    ] = 0.0
    round_trip: Annotated[
        float, msgspec.Meta(gt=0, le=10, description="Seconds that a round trip to a server takes at least.")
    ] = 0.001
    used: Annotated[
        float,
        msgspec.Meta(
            gt=0, lt=1, description="The least probability with which one that is opened ahead is used in time."
        ),
    ] = 0.97
    cap: Annotated[int, msgspec.Meta(ge=1, description="Connections to one server at most.")] = 256
    handshakes: Annotated[int, msgspec.Meta(ge=1, description="Connections to one server opened at once.")] = 4
    ahead: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=1000,
            description="Connections a second that are opened to one server before they are needed; 0: " "none.",
        ),
    ] = 10.0
    file: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[A-Za-z0-9_.-]*$", description="In RELAY_STATE, for `linkdock connections`; empty: none."
        ),
    ] = ""
    file_s: Annotated[float, msgspec.Meta(ge=1, description="Seconds between two writings of it.")] = 5.0


def read(text: bytes) -> ConnectionsSettings:
    """Check the file's text. Raises OptionError that names the key and what would be right."""
    try:
        told = msgspec.json.decode(text, type=ConnectionsSettings)
    except msgspec.MsgspecError as bad:
        raise OptionError(f"connections.json: {bad}") from None
    if told.careful > told.bold:
        raise OptionError(f"connections.json: careful must be at most bold ({told.bold:g}), not {told.careful:g}")
    if 0 < told.idle_life <= told.round_trip:
        raise OptionError(
            f"connections.json: idle_life must be above round_trip ({told.round_trip:g} s), " f"not {told.idle_life:g}"
        )
    return told


def schema() -> dict:
    """The JSON schema of `deploy/connections.json`."""
    return msgspec.json.schema(ConnectionsSettings)


class Choice:
    """Whether a kept connection may be used: by its idle age, and by how many calls it has carried."""

    def __init__(self, settings: ConnectionsSettings) -> None:
        """Without anything learned yet."""
        self._settings = settings
        self.by_age, self.by_uses = Lifetimes(EDGES), Lifetimes(USES)

    def may_use(self, server: str, kind: int, age: float, careful: bool, uses: int = 1) -> bool:
        """Whether a connection idle for `age` seconds and used `uses` times is safe enough for the next call."""
        most = self._settings.careful if careful else self._settings.bold
        risks = self.by_age.risk(server, kind, age), self.by_uses.risk(server, kind, uses)
        if max(risks) <= most:
            return True
        # Danger: what is never tried is never learned. One whose kind has disappointed is tried once at each age.
        return not careful and risks[1] <= most and self.by_age.untried(server, age)

    def used(self, now: float, server: str, kind: int, age: float, alive: bool, uses: int = 1) -> None:
        """A call on it was answered, or it broke before anything came on it.

        Danger: one death told to both explains it twice. What one of them foresaw is not held against the other.
        """
        aged = self.by_age.risk(server, kind, age) if age >= 0 else 0.0
        worn = self.by_uses.risk(server, kind, uses) if uses else 0.0
        if alive or worn < FORESEEN or aged >= FORESEEN:
            self.by_age.used(now, server, kind, age, alive)
        if alive or aged < FORESEEN or worn >= FORESEEN:
            self.by_uses.used(now, server, kind, uses or FRESH, alive)

    def life(self, server: str, kind: int) -> float | None:
        """Seconds of idleness up to which what may be repeated goes over a connection; None: any."""
        for age in EDGES:
            if self.by_age.risk(server, kind, age) > self._settings.bold:
                return age
        return None

    def forget(self, server: str) -> None:
        """Drop what was learned of one server."""
        self.by_age.forget(server)
        self.by_uses.forget(server)
