"""What the assignment refuses, by type: a stable code, what happened, and what an operator can do."""

from __future__ import annotations

from ..errors import LinkdockError


class AssignmentError(LinkdockError):
    """Base of what the assignment refuses. Nothing has changed then."""

    code = "LD-ASSIGNMENT"
    what = "the assignment of destinations to senders could not be changed"
    remedy = "Messages go on by the assignment in force; read the reason in the line"


class BadMembershipError(AssignmentError):
    """A membership that cannot be: two members of one id, a weight out of bounds, too many members."""

    code = "LD-ASSIGNMENT-MEMBERSHIP"
    what = "a membership or a change of it cannot be right"
    remedy = "Look at who proposed it: its version, and whether two processes have one name"


class FencedTurnError(AssignmentError):
    """A grant or release under a fencing token older than the newest of the shard, or in another member's name."""

    code = "LD-ASSIGNMENT-FENCED"
    what = "a shard's turn has passed to another sender"
    remedy = "Nothing: the newer owner goes on with the shard, and what waits is handed over to it"


class SpoiltMessageError(AssignmentError):
    """Bytes whose digest is not right, or which are not of the messages' form."""

    code = "LD-ASSIGNMENT-SPOILT"
    what = "a message about assigned rows is damaged or not of its form"
    remedy = "Nothing for a single one, as it is asked for again; else look at the network and the sender's version"


class ForeignMessageError(AssignmentError):
    """A message of another fleet, or addressed to another member."""

    code = "LD-ASSIGNMENT-FOREIGN"
    what = "a message about assigned rows is of another fleet or for another sender"
    remedy = "See that all processes have the same `key` and `cluster`, and who else sends to this port"


class StaleMessageError(AssignmentError):
    """A message of an epoch before the one in force at the receiver."""

    code = "LD-ASSIGNMENT-STALE"
    what = "a message about assigned rows is of an older epoch than the one in force"
    remedy = "Nothing: its sender takes the newer epoch up; if it stays behind, look at its links to its zone's relay"


class ReplayedMessageError(AssignmentError):
    """A message whose sequence number has been seen, or is older than the newest of its sender's run."""

    code = "LD-ASSIGNMENT-REPLAYED"
    what = "a message about assigned rows came a second time or out of turn"
    remedy = "Nothing for a single one; if it stays, look for who records and repeats what passes on the network"


class DivergedRowsError(AssignmentError):
    """A delta after which the shard's digest is not the one that the delta names. The rows stay as they were."""

    code = "LD-ASSIGNMENT-DIVERGED"
    what = "the rows of a shard do not come to what a delta says that they come to"
    remedy = "Nothing: the sender asks for the shard's whole rows; if it comes often, look at the relay that is named"
