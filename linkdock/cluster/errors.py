"""What the cluster refuses, by type: a stable code, what happened, and what an operator can do."""

from __future__ import annotations

from ..errors import LinkdockError


class ClusterError(LinkdockError):
    """Base of what the cluster refuses. Delivery of messages never waits for any of it."""

    code = "LD-CLUSTER"
    what = "the processes of the fleet could not agree"
    remedy = "Messages are delivered as ever; see `docs/operate/fleet-in-common.md`"


class NotLeading(ClusterError):
    """Only the leader takes proposals; `leader` is its id as far as known, or None."""

    code = "LD-CLUSTER-FOLLOWER"
    what = "this process does not lead the log"
    remedy = "Nothing: the question goes on to the leader by itself"

    def __init__(self, leader: str | None) -> None:
        """`leader`: the process to ask in place of this one, if it is known."""
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class NoQuorum(ClusterError):
    """No answer of a majority in time. What was asked may still come to be: it is in doubt, not undone."""

    code = "LD-CLUSTER-QUORUM"
    what = "no majority of the voters answered in time"
    remedy = "Bring back voters or the links between their zones; what was asked may still take effect"


class TooBusy(ClusterError):
    """The bound on proposals not yet committed is reached."""

    code = "LD-CLUSTER-BUSY"
    what = "too many proposals wait to be committed"
    remedy = "Come again shortly; if it stays, look for a voter with a slow disk"


class TooLarge(ClusterError):
    """An entry beyond MOST_ENTRY."""

    code = "LD-CLUSTER-LARGE"
    what = "what was proposed is larger than an entry of the log may be"
    remedy = "Split it; nothing was written"


class ChangeOpen(ClusterError):
    """One change of who decides at a time."""

    code = "LD-CLUSTER-CHANGE"
    what = "another change of the voters is not committed yet"
    remedy = "Come again once it is"


class BadChange(ClusterError):
    """More than one voter or learner of difference, nobody left, or one who is not known."""

    code = "LD-CLUSTER-VOTERS"
    what = "this change of the voters cannot be made in one step"
    remedy = "Add or remove one at a time; a new voter is a learner first"


class Torn(ClusterError):
    """A file of the log holds what its checksum does not cover, before its end."""

    code = "LD-CLUSTER-TORN"
    what = "a file of the log is damaged before its end"
    remedy = "Remove the process's cluster folder: it comes back as a new member; never copy another's"


class Fenced(ClusterError):
    """Who holds the resource has seen a newer token."""

    code = "LD-CLUSTER-FENCED"
    what = "the lease has passed to another process"
    remedy = "Nothing: the newer holder goes on with it"


class Foreign(ClusterError):
    """A frame or datagram without a right digest, of another cluster, too large, or not of its form."""

    code = "LD-CLUSTER-FOREIGN"
    what = "something that is not of this fleet's processes was received and dropped"
    remedy = "See that all processes have the same `key` and `cluster`, and who else sends to this port"
