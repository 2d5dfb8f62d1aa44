"""`deploy/dormancy.json`: its shape, its defaults, and its check against the limits."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..options import OptionError

JOURNAL_PART = 0.90  # of the state folder that the journal may take while it is rewritten; it comes first


class DormancySettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """When destinations fall asleep, how much is kept of them, and whether it outlasts the process."""

    on: bool = False
    after_s: Annotated[
        float,
        msgspec.Meta(ge=0.5, le=86400, description="Seconds without work after which a destination falls asleep."),
    ] = 60
    most_kept: Annotated[
        int,
        msgspec.Meta(
            ge=1, le=10_000_000, description="Destinations of which something is kept; the longest asleep go first."
        ),
    ] = 250_000
    snapshot: bool = False
    snapshot_s: Annotated[float, msgspec.Meta(ge=1, le=86400, description="Seconds from one snapshot to the next.")] = (
        60
    )
    snapshot_mb: Annotated[
        float,
        msgspec.Meta(
            ge=0.001,
            le=10_000,
            description="Megabytes that one snapshot may take; two lie on disk while one is written.",
        ),
    ] = 0.1


def read(text: bytes, disk_bytes: int) -> DormancySettings:
    """Check the file's text. Raises OptionError that names the key and what would be right."""
    try:
        told = msgspec.json.decode(text, type=DormancySettings)
    except msgspec.MsgspecError as bad:
        raise OptionError(f"dormancy.json: {bad}") from None
    most = disk_bytes * (1 - JOURNAL_PART) / 2 / 1e6
    if told.snapshot and told.snapshot_mb > most:
        raise OptionError(
            f"dormancy.json: snapshot_mb must be at most {most:g} beside the journal in "
            f"limits.disk_mb, not {told.snapshot_mb:g}"
        )
    return told


def schema() -> dict:
    """The JSON schema of `deploy/dormancy.json`."""
    return msgspec.json.schema(DormancySettings)
