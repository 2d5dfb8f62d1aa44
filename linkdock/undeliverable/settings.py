"""`deploy/undeliverable.json`: its shape and defaults."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..options import OptionError


class Rule(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True, rename={"cls": "class"}):
    """Messages of a class that are sent again by themselves. Times in seconds from the end that was told."""

    cls: str
    cause: Annotated[str | None, msgspec.Meta(description="The end that was told; none: any.")] = None
    after_s: Annotated[float, msgspec.Meta(ge=0)] = 600.0
    every_s: Annotated[float, msgspec.Meta(gt=0, description="Between two times.")] = 3600.0
    times: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3
    until_s: Annotated[float, msgspec.Meta(gt=0)] = 86400.0


class UndeliverableSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """What is kept for how long. The oldest of a destination that has more than its part go first."""

    on: bool = False
    file: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]+$", description="In RELAY_STATE.")] = "undeliverable.db"
    keep_days: Annotated[float, msgspec.Meta(gt=0, description="After which a message is forgotten.")] = 30.0
    most: Annotated[int, msgspec.Meta(ge=1, description="Messages in all.")] = 1_000_000
    most_each: Annotated[int, msgspec.Meta(ge=1, description="Messages of one destination.")] = 50_000
    rules: Annotated[list[Rule], msgspec.Meta(max_length=64)] = []
    again_each: Annotated[
        int, msgspec.Meta(ge=1, description="Messages sent again that are open at once for one destination.")
    ] = 2
    again_most: Annotated[int, msgspec.Meta(ge=1, description="And for all.")] = 16
    most_each_mb: Annotated[float, msgspec.Meta(gt=0, description="Bytes of one destination's bodies.")] = 200.0


def read(text: bytes) -> UndeliverableSettings:
    """Check the file's text. Raises OptionError that names the key."""
    try:
        told = msgspec.json.decode(text, type=UndeliverableSettings)
    except msgspec.MsgspecError as bad:
        raise OptionError(f"undeliverable.json: {bad}") from None
    if told.most_each > told.most:
        raise OptionError(f"undeliverable.json: most_each must be at most most ({told.most}), not {told.most_each}")
    for n, rule in enumerate(told.rules):
        if rule.until_s <= rule.after_s:
            raise OptionError(
                f"undeliverable.json: rules[{n}].until_s must be above after_s ({rule.after_s:g}), "
                f"not {rule.until_s:g}"
            )
    return told


def schema() -> dict:
    """The JSON schema of `deploy/undeliverable.json`."""
    return msgspec.json.schema(UndeliverableSettings)
