"""What a whole answer says of the messages of its call, by the protocol's table of answers."""

from __future__ import annotations

import logging
from typing import NamedTuple

from ..errors import log_line
from ..facade import DELIVERED, ERROR, NOT_CONNECTED, NOT_SENT, TURNED_AWAY
from . import batches, http

log = logging.getLogger(__name__)

UNUSABLE = frozenset({400, 413})  # statuses of a call that holds a message which no server can use


class Outcome(NamedTuple):
    """How one message ended at its server."""

    how: str  # one of those of `facade`
    over: bool = False  # it must not be sent again
    owed: bool = False  # and its end has to be told by a notice


def of_status(head: http.Head, single: bool, fresh: bool) -> Outcome:
    """The outcome of every message of a call, whose answer names none of them.

    `single`: the call has one message; `fresh`: it went over a connection that nothing went over before.
    """
    match head.status:
        case 200:
            return Outcome(DELIVERED)
        case 429:
            return Outcome(TURNED_AWAY)
        case 503:
            return Outcome(_of_unavailable(head.headers, fresh))
        case 410:
            return Outcome(NOT_SENT, over=True)
        case 504:
            return Outcome(NOT_SENT, over=True, owed=True)
        case status if status in UNUSABLE:
            return Outcome(NOT_SENT, over=single, owed=single)
        case _:
            return Outcome(ERROR)


def _of_unavailable(headers: dict[str, str], fresh: bool) -> str:
    """Of a 503: the server is full, its line is busy, or all connections that it takes are taken.

    The last of these shows on a fresh connection that it closes and tells no load of: idle connections of others hold
    its places, and a slower pace alone would never free any.
    """
    if headers.get("x-line-busy") == "1":
        return NOT_SENT
    closes = "close" in headers.get("connection", "").lower()
    return NOT_CONNECTED if fresh and closes and "endpoint-load-metrics" not in headers else TURNED_AWAY


def states(server: str, body: bytes) -> dict[str, str]:
    """The states of the messages of a shared call; none where they cannot be read, so that each may have run."""
    try:
        return batches.decode(body)
    except http.BadAnswer as bad:
        log.warning("backend server %s: %s", server, log_line(bad))
        return {}


def of_state(state: str | None, in_step: bool) -> Outcome:
    """The outcome of a message of a shared call by its state; None where the answer tells none.

    `in_step`: the answer names the messages of its call. Else it may be that to an earlier call, and "busy" may have
    been said of that one while this one runs.
    """
    how = batches.OUTCOMES.get(state, ERROR)
    if how == TURNED_AWAY and not in_step:
        how = ERROR
    return Outcome(how, over=state in ("void", "used_up"), owed=state == "used_up")
