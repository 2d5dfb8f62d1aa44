"""What the replicated log may take: times in seconds of the process's own clock, sizes in bytes."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import MOST_ENTRY, MOST_FRAME


@dataclass(frozen=True)
class LogSettings:
    """Times and bounds of one log. Every voter has the same `election` and `drift`, or leases do not hold.

    Raises ValueError for values with which leases, frames or elections could not be right.
    """

    heartbeat: float = 0.1  # between two rounds of a leader
    election: float = 0.5  # shortest time without a leader before one stands; voters refuse votes for as long
    span: float = 0.5  # up to this much more, drawn anew each time
    drift: float = 0.02  # how far a clock may be from true time, as a share, to either side
    most_open: int = 1024  # entries proposed and not yet committed
    most_append: int = 256 << 10  # bytes of entries in one Append (one entry at least)
    most_flights: int = 8  # Appends with entries on the way to one follower
    piece: int = 256 << 10  # bytes of one piece of an image
    most_pieces: int = 4  # pieces on the way to one follower
    most_image: int = 256 << 20  # bytes of an image as it is sent
    most_applied: int = 1024  # committed entries of one Ready

    def __post_init__(self) -> None:
        """Raise ValueError if the figures cannot go together."""
        if min(self.heartbeat, self.span) <= 0 or self.election < 0 or not 0 <= self.drift < 0.5:
            raise ValueError("heartbeat and span must be above 0, election not below 0, drift within 0 and 0.5")
        if min(self.most_open, self.most_flights, self.most_pieces, self.most_applied, self.most_image) < 1:
            raise ValueError("every bound must be at least 1")
        if not 1 <= self.piece <= MOST_FRAME - 4096 or not 1 <= self.most_append <= MOST_FRAME - 2 * MOST_ENTRY:
            raise ValueError("pieces and Appends must fit into a frame")

    @property
    def lease(self) -> float:
        """Seconds on the leader's clock that surely end before `election` seconds on the slowest voter's have.

        A voter's clock may run fast by `drift`, the leader's slow by as much (Ongaro, thesis, 6.4.1).
        """
        return self.election * (1 - self.drift) / (1 + self.drift)
