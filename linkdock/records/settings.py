"""`deploy/records.json`: its shape, its defaults, and its check against the folder that it may write to."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from ..options import OptionError

STATE_PART = 0.05  # of the state folder's limit that records may take: the journal comes first


class RecordsSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Where records go and how much of disk and memory they may take."""

    on: bool = False
    file: Annotated[
        str,
        msgspec.Meta(
            min_length=1,
            description="The file, relative to RELAY_STATE; '-' is standard error, for a laboratory "
            "only: a reader that stalls would stall the sender.",
        ),
    ] = "records.jsonl"
    most_mb: Annotated[
        float,
        msgspec.Meta(
            ge=0.02, le=100_000, description="Megabytes on disk, all parts together; the oldest part goes first."
        ),
    ] = 64
    most_held: Annotated[
        int,
        msgspec.Meta(
            ge=100, le=1_000_000, description="Events held in memory until written; beyond, they are counted as lost."
        ),
    ] = 10_000
    parts: Annotated[int, msgspec.Meta(ge=2, le=100, description="Parts that the space is divided into.")] = 4


def read(text: bytes, state: Path, disk_bytes: int) -> RecordsSettings:
    """Check the file's text. Raises OptionError that names the key and what would be right."""
    try:
        told = msgspec.json.decode(text, type=RecordsSettings)
    except msgspec.MsgspecError as bad:
        raise OptionError(f"records.json: {bad}") from None
    if told.file != "-":
        within = (state / told.file).resolve().is_relative_to(state.resolve())
        most = disk_bytes * STATE_PART / 1e6
        if within and told.most_mb > most:
            # Danger: the platform counts every file in that folder, and ends a sender that passes its limit.
            raise OptionError(
                f"records.json: most_mb must be at most {most:g} while file lies in RELAY_STATE, "
                f"not {told.most_mb:g}"
            )
    return told


def schema() -> dict:
    """The JSON schema of `deploy/records.json`."""
    return msgspec.json.schema(RecordsSettings)
