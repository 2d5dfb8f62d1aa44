"""`deploy/admission.json`: its shape, its defaults, and what cannot be."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..options import OptionError

LEAST_OPEN = 4  # places that must stay open to strangers: else nobody ever becomes known


class AdmissionSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Rates are connections a second. A stranger is an address that is not known."""

    on: bool = False
    each: Annotated[int, msgspec.Meta(ge=0, description="Connections of one stranger at once; 0: as many as fit.")] = 0
    rate: Annotated[float, msgspec.Meta(gt=0, description="New ones of one stranger.")] = 50.0
    burst: Annotated[float, msgspec.Meta(ge=1, description="Of these at once.")] = 100.0
    strangers: Annotated[float, msgspec.Meta(gt=0, description="New ones of all strangers.")] = 200.0
    strangers_burst: Annotated[float, msgspec.Meta(ge=1, description="Of these at once.")] = 200.0
    reserve: Annotated[
        float, msgspec.Meta(ge=0, lt=1, description="The part of the places that only known clients may have.")
    ] = 0.25
    known_after: Annotated[
        float, msgspec.Meta(gt=0, description="Messages taken on after which an address is known.")
    ] = 3.0
    memory_s: Annotated[float, msgspec.Meta(ge=1, description="Seconds in which conduct fades e-fold.")] = 3600.0
    most_known: Annotated[int, msgspec.Meta(ge=16, le=1_000_000, description="Addresses in the table.")] = 4096
    file: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[A-Za-z0-9_.-]*$",
            description="In RELAY_STATE: known addresses, for the next start and for "
            "`linkdock clients`; empty: none.",
        ),
    ] = "clients.json"
    file_s: Annotated[float, msgspec.Meta(ge=1, description="Seconds between two writings of it.")] = 5.0


def read(text: bytes, most: int) -> AdmissionSettings:
    """Check the file's text against the `most` places that there are. Raises OptionError that names the key."""
    try:
        told = msgspec.json.decode(text, type=AdmissionSettings)
    except msgspec.MsgspecError as bad:
        raise OptionError(f"admission.json: {bad}") from None
    if told.each > most:
        raise OptionError(f"admission.json: each must be at most the {most} places that limits give, not {told.each}")
    if most - int(told.reserve * most) < LEAST_OPEN:
        raise OptionError(
            f"admission.json: reserve must leave {LEAST_OPEN} of {most} places to strangers, "
            f"not {most - int(told.reserve * most)}"
        )
    if told.burst > told.strangers_burst:
        raise OptionError(
            f"admission.json: burst must be at most strangers_burst ({told.strangers_burst:g}), " f"not {told.burst:g}"
        )
    if told.rate > told.strangers:
        raise OptionError(f"admission.json: rate must be at most strangers ({told.strangers:g}), not {told.rate:g}")
    return told


def schema() -> dict:
    """The JSON schema of `deploy/admission.json`."""
    return msgspec.json.schema(AdmissionSettings)
