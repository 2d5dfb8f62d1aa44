"""What is kept of a message, and what may be done with it by what is proven. No I/O."""

from __future__ import annotations

import msgspec

NEVER, MAY, DONE = "never ran", "may have run", "ran"  # what is proven of an attempt
HANDED_BACK = "deferred"  # the cause whose client was told when to hand the message in again
KEPT, ASKED, CLAIMED, DELIVERED, DROPPED = "kept", "asked", "claimed", "delivered", "dropped"


class Attempt(msgspec.Struct, frozen=True):
    """One dispatch: its number, and what is proven of it."""

    number: int
    proof: str


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """A message whose end was told. Times are seconds of Unix time."""

    id: str
    key: str
    cls: str
    destination: int
    body: bytes
    until: float  # when its time was up, or would have been
    ended: float
    cause: str  # the end that was told: deferred, undeliverable
    repeatable: bool  # whether its class may run twice
    attempts: list[Attempt]
    state: str = KEPT


class Statement(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator says of a message in doubt: that it never ran, or that it did. Signed by who, when and why.

    It speaks of the first `upto` attempts; a later one is in doubt anew.
    """

    who: str
    why: str
    at: float
    proof: str
    upto: int


def in_doubt(message: Message, statements: list[Statement]) -> bool:
    """Whether it may have taken effect, may not do so twice, and nobody has proven that it did not.

    It may have by an attempt of its own, or under another id: whose message was handed back may have handed it in anew.

    Danger: a licence order that is sent twice. Doubt ends by evidence alone: a proof on record, or a signed statement;
    the last one counts, and one that it ran ends the doubt the other way.
    """
    if message.repeatable:
        return False
    if message.cause == HANDED_BACK and not statements:
        return True
    spoken_of = max((s.upto for s in statements), default=0)
    return any(a.proof == MAY and a.number >= spoken_of for a in message.attempts)


def may_be_sent_again(message: Message, statements: list[Statement]) -> str | None:
    """Why it may not, or None."""
    if message.state != KEPT:
        return f"is {message.state}"
    if any(a.proof == DONE for a in message.attempts) or statements and statements[-1].proof == DONE:
        return "has run"
    if in_doubt(message, statements):
        return "is in doubt: it may have run, here or under another id, and may not run twice"
    return None


def attempts_of(used: int, doubt: set[int]) -> list[Attempt]:
    """The attempts of a message by the journal: how many there were, and which are not proven never to have run."""
    return [Attempt(n, MAY if n in doubt else NEVER) for n in range(max(used, max(doubt, default=-1) + 1))]
