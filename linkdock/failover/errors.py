"""What the failover refuses, by type: a stable code, what happened, and what an operator can do."""

from __future__ import annotations

from ..errors import LinkdockError


class FailoverError(LinkdockError):
    """Base of what the failover refuses. Nothing has changed then."""

    code = "LD-FAILOVER"
    what = "a zone could not be evacuated or brought back"
    remedy = "Read the reason in the line; every zone stays as it was"


class CannotCarry(FailoverError):
    """The other zones lack the spare capacity; the text names the destination and how much is short."""

    code = "LD-FAILOVER-CAPACITY"
    what = "the other zones cannot carry what this zone serves"
    remedy = "Add capacity at the destination that is named, or wait for less demand, and call again"


class NotKnown(FailoverError):
    """Nobody has told of this zone."""

    code = "LD-FAILOVER-ZONE"
    what = "no destination is known to have backend servers in this zone"
    remedy = "Compare the zone's number with those of the server table"


class NotSeen(FailoverError):
    """Too few fresh reports to know what the other zones can carry, or whether the zone serves."""

    code = "LD-FAILOVER-BLIND"
    what = "too few processes have reported lately to decide on this"
    remedy = "Look at the links between the zones' processes, and call again once they report"


class StillDown(FailoverError):
    """A zone is not brought back on top of fresh evidence that it does not answer."""

    code = "LD-FAILOVER-DOWN"
    what = "the processes still see this zone fail"
    remedy = "Mend the backend servers of the destination that is named, and call again once they answer"


class NotOut(FailoverError):
    """The zone is not out by hand, or is so already."""

    code = "LD-FAILOVER-STATE"
    what = "the zone is already where this call would bring it"
    remedy = "Nothing: look at the zone's state"
