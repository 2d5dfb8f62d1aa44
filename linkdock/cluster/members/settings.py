"""What the membership lives by: seconds, counts and bounds, each with the source of its default."""

from __future__ import annotations

from typing import Annotated

import msgspec


class MembersSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Times in seconds. Defaults after SWIM (Das et al., 2002) and Lifeguard (Dadgar et al., 2017).

    A probe lasts `probe_s`; after `answer_s` of it `helpers` others are asked. Both are stretched by local health.
    """

    probe_s: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    answer_s: Annotated[float, msgspec.Meta(gt=0)] = 0.4
    nack_s: Annotated[float, msgspec.Meta(gt=0)] = 0.3  # after which a helper says that it heard nothing
    helpers: Annotated[int, msgspec.Meta(ge=0, le=8)] = 3
    most_health: Annotated[int, msgspec.Meta(ge=0, le=16)] = 3  # Lifeguard has 8: parts a cut twice as late
    suspicion: Annotated[float, msgspec.Meta(gt=0)] = 4.0  # shortest: this x log10(members) x probe_s
    suspicion_growth: Annotated[float, msgspec.Meta(ge=1)] = 6.0  # longest, without confirmations, over shortest
    confirmations: Annotated[int, msgspec.Meta(ge=0, le=8)] = 3
    spread: Annotated[float, msgspec.Meta(gt=0)] = 2.0  # a rumour is sent this x log2(members) times
    gossip_s: Annotated[float, msgspec.Meta(gt=0)] = 0.5  # between two packets of news alone, while there is any
    join_s: Annotated[float, msgspec.Meta(gt=0)] = 0.5  # first pause between joins; doubles
    join_most_s: Annotated[float, msgspec.Meta(gt=0)] = 8.0
    exchange_s: Annotated[float, msgspec.Meta(gt=0)] = 15.0  # between two questions to a member for all it knows
    pieces: Annotated[int, msgspec.Meta(ge=1, le=16)] = 4  # packets in answer to one such question
    answers: Annotated[float, msgspec.Meta(ge=1)] = 20.0  # such questions answered a second; others go unheard
    retry_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0  # between two tries of a failed member or a seed
    young_s: Annotated[float, msgspec.Meta(gt=0)] = 60.0  # in which a process rises over other lives of its name
    forget_s: Annotated[float, msgspec.Meta(gt=0)] = 900.0  # after which one that failed or left is forgotten
    most_members: Annotated[int, msgspec.Meta(ge=2, le=100_000)] = 1024
    most_relays: Annotated[int, msgspec.Meta(ge=1)] = 64  # pings for others that are out at once
    lifeguard: bool = True  # off: plain SWIM with suspicion, to compare

    def __post_init__(self) -> None:
        """Raise ValueError if the figures cannot go together."""
        if not self.nack_s < self.probe_s - self.answer_s:
            raise ValueError("nack_s must be less than probe_s - answer_s: else no Nack comes in time")
