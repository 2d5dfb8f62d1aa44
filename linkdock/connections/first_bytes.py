"""How soon a server begins to answer, and which answer comes too soon to be one.

A server may write a second copy of an answer behind it. A copy that is on its way while the next call is written on the
connection passes for the answer to that call. Nothing in HTTP/1.1 says which call an answer belongs to, but a copy
was written before its server had read the call: it comes within one round trip of the call's last byte, and the answer
to the call not before that.

The round trip of the moment is not known: a proxy on the way acknowledges for its server, so that neither a handshake
nor the kernel's own estimate tells it. Its upper bound is the soonest of a server's answers that surely are answers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from math import inf

CROSSING = 0.0025  # seconds from a call's last byte in which a copy that crosses it comes, over a network that is quick
CROSSING_PART = 0.75  # of the time of a server's soonest answer: round trips vary, and must not be taken for copies
FEW_PART = 0.6  # the same while few of its answers are known: the first ones may all have been slow
FEW = 16
MOST_CROSSING = 0.3  # seconds; no network of a deployment takes longer both ways
SLOW = 0.01  # seconds: a server that begins no sooner has not answered by the look that comes `CROSSING` after a call
SAMPLES = 8  # answers of a server that are kept
LEAST_SAMPLES = 3
WINDOW = 64  # answers after which the soonest before them counts for as many more
MOST_SERVERS = 4096


class _Server:
    """How soon one server's last answers began, in seconds."""

    __slots__ = ("answers", "deliveries", "peer", "_soonest", "_soonest_before", "_count", "_known")

    def __init__(self) -> None:
        self.answers: deque[float] = deque(maxlen=SAMPLES)
        self.deliveries: deque[float] = deque(maxlen=SAMPLES)  # those with 200
        self.peer: Hashable = None  # the process whose answers they are, where that is known
        self._soonest = self._soonest_before = inf  # of the answers that surely are some, in this window and the last
        self._count = 0  # such answers in this window,
        self._known = 0  # and in all, up to `WINDOW`

    def surely(self, seconds: float) -> None:
        """An answer that is no copy began so long after its call."""
        if self._count >= WINDOW:
            self._soonest, self._soonest_before, self._count = inf, self._soonest, 0
        self._soonest = min(self._soonest, seconds)
        self._count += 1
        self._known = min(self._known + 1, WINDOW)

    def crossing(self) -> float:
        """See `FirstBytes.crossing`."""
        if not self._known:
            return CROSSING
        part = CROSSING_PART if self._known >= FEW else FEW_PART
        return max(CROSSING, min(part * self.soonest(), MOST_CROSSING))

    def soonest(self) -> float:
        """The soonest of its answers that surely are some; infinite before the first."""
        return min(self._soonest, self._soonest_before)


class FirstBytes:
    """Owner of what is known of servers' answers."""

    def __init__(self) -> None:
        """Know no server."""
        self._servers: dict[str, _Server] = {}  # the server used last is at the end

    def __len__(self) -> int:
        """Servers that are known."""
        return len(self._servers)

    def reached(self, server: str, peer: Hashable) -> None:
        """A call goes to this process. What was learned of another one by the same name is forgotten."""
        known = self._used(server)
        if known.peer not in (None, peer):
            known = self._servers[server] = _Server()
        known.peer = peer

    def note(self, server: str, seconds: float, delivery: bool = True) -> None:
        """What was taken for an answer began so long after its call's last byte."""
        known = self._used(server)
        known.answers.append(seconds)
        if delivery:
            known.deliveries.append(seconds)

    def note_sure(self, server: str, seconds: float) -> None:
        """The same of what surely is an answer: see `Connection.repeated`."""
        self._used(server).surely(seconds)

    def _used(self, server: str) -> _Server:
        known = self._servers.pop(server, None) or _Server()
        if len(self._servers) >= MOST_SERVERS:
            del self._servers[next(iter(self._servers))]
        self._servers[server] = known
        return known

    def crossing(self, server: str) -> float:
        """Seconds after a call's last byte by which a copy of an earlier answer that crosses it has come."""
        known = self._servers.get(server)
        return CROSSING if known is None else known.crossing()

    def longest(self, server: str) -> float:
        """How many seconds the slowest of its last answers took to begin."""
        known = self._servers.get(server)
        return 0.0 if known is None else max((*known.answers, *known.deliveries), default=0.0)

    def is_slow(self, server: str, delivery: bool = True) -> bool:
        """Whether what is read without the connection having been silent until `crossing` after the call came too soon.

        Of a server that is quick by nature a copy and an answer cannot be told apart, and its answers are believed. A
        server that works on a delivery refuses at once, so that its refusals do not tell how soon it delivers.
        """
        known = self._servers.get(server)
        if known is None:
            return False
        if known.crossing() >= SLOW:
            return True
        enough = delivery and len(known.deliveries) >= LEAST_SAMPLES
        samples = known.deliveries if enough else known.answers
        # The second: a copy is rare, and a quick server is known by two of its answers.
        return len(samples) >= LEAST_SAMPLES and sorted(samples)[1] >= SLOW
