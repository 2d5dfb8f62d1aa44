"""The words of an ENQUEUE command: `ENQUEUE KEY ID NAME=VALUE,... BODY`."""

from __future__ import annotations

import re
from typing import NamedTuple

from ..state.requests import Refused

WORD = re.compile(rb"[0-9A-Za-z_.:-]{1,64}\Z")  # a key, an id or an idempotency key
MOST_DIGITS = 9  # of a number
MOST_PAIRS = 4096  # bytes of the list of names and values, which has a handful of them


class EnqueueCommand(NamedTuple):
    """One message as its client hands it in."""

    key: str  # messages of one key are kept in order where their class asks for it
    id: str
    cls: str  # the name of its class
    destination: int
    seconds: float  # until its time is up
    body: bytes
    tenant: str
    idempotency_key: str
    again: bool  # `r=1`: handed in again after a refusal
    held: bool  # `again=1`: handed in again for another reason, so that it may have been taken on before


def parse(words: list[bytes]) -> EnqueueCommand:
    """Read a command's words. Raises Refused with the text for its client."""
    if len(words) != 5:
        raise Refused("wrong number of arguments for 'enqueue'")
    _, key, message_id, pairs, body = words
    if len(pairs) > MOST_PAIRS:
        raise Refused("the list of names and values is too long")
    if not WORD.match(key) or not WORD.match(message_id):
        raise Refused("malformed key or id")
    values = _values(pairs)
    for name in ("c", "d", "dest"):
        if name not in values:
            raise Refused(f"{name} is missing")
    if not WORD.match(values.get("k", "none").encode()):
        raise Refused("malformed idempotency key")
    milliseconds, destination = (_number(name, values[name]) for name in ("d", "dest"))
    return EnqueueCommand(
        key=key.decode(),
        id=message_id.decode(),
        cls=values["c"],
        destination=destination,
        seconds=milliseconds / 1000,
        body=body,
        tenant=values.get("t", ""),
        idempotency_key=values.get("k", ""),
        again=values.get("r") == "1",
        held=values.get("again") == "1",
    )


def _values(pairs: bytes) -> dict[str, str]:
    values: dict[str, str] = {}
    for pair in pairs.decode("utf-8", "replace").split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in values:
            raise Refused("malformed list of names and values")
        values[name] = value
    return values


def _number(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > MOST_DIGITS:
        raise Refused(f"{name} is not a whole number")
    return int(text)
