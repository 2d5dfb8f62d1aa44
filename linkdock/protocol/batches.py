"""The body of a call with several messages, and of the answer to it (JSON; PROTOCOL, `POST /v1/messages:batch`)."""

from __future__ import annotations

import base64
import json
from collections.abc import Iterable

from ..facade import DELIVERED, ERROR, NOT_SENT, TURNED_AWAY
from ..state.requests import Request
from . import http

# How a message ended, by the word that the server uses for it.
OUTCOMES = {"done": DELIVERED, "failed": ERROR, "busy": TURNED_AWAY, "void": NOT_SENT, "used_up": NOT_SENT}
OVER = frozenset({"done", "void", "used_up"})  # of these a message is not sent again


def encode(requests: Iterable[Request]) -> bytes:
    """The body of the call."""
    return json.dumps([_item(request) for request in requests], separators=(",", ":")).encode()


def _item(request: Request) -> dict[str, str]:
    """One message of the call.

    `key` is the idempotency key that its client named. A message without one carries no `key`, as it carries no header
    in a call of its own: the key by which its class keeps its order comes again with the next message of that key,
    which a server would drop as a repeat.
    """
    item = {"id": request.id, "body": base64.b64encode(request.body).decode()}
    if request.idempotency_key:
        item["key"] = request.idempotency_key
    return item


def decode(body: bytes) -> dict[str, str]:
    """The state of each message by its id. Raises BadAnswer where the whole cannot be read, or names an id twice."""
    try:
        lines = json.loads(body)
        if not isinstance(lines, list) or not all(OUTCOMES[line["state"]] for line in lines):
            raise http.BadAnswer("no list of states")
        states = {str(line["id"]): line["state"] for line in lines}
        if len(states) < len(lines):
            raise http.BadAnswer("an id stands there twice")
    except (ValueError, TypeError, KeyError, RecursionError) as bad:
        raise http.BadAnswer(f"batch answer: {bad}") from None
    return states
