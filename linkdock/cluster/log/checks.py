"""What a message or a change must be like to be looked at. Frames carry types; this is about values."""

from __future__ import annotations

from ..interface import AnyMessage, Append, Appended, AskVote, Config, Install, PreVote
from .entries import follow
from .settings import LogSettings

MOST_NUMBER = 1 << 53  # of a term, index or round: none is ever reached, so whatever is above was not counted up


def sound(message: AnyMessage, settings: LogSettings) -> bool:
    """Whether some log could have sent it."""
    if not 0 <= message.term < MOST_NUMBER:
        return False
    if isinstance(message, PreVote | AskVote):
        return 0 <= message.last_term < message.term and 0 <= message.last_index < MOST_NUMBER
    if isinstance(message, Append):
        return (
            0 <= message.prev_term <= message.term
            and 0 <= message.prev_index < MOST_NUMBER
            and 0 <= message.commit < MOST_NUMBER
            and 0 <= message.round < MOST_NUMBER
            and (message.prev_index > 0 or message.prev_term == 0)
            and follow(message.entries, message.prev_index, message.prev_term, message.term)
        )
    if isinstance(message, Appended):
        return 0 <= message.index < MOST_NUMBER and 0 <= message.round < MOST_NUMBER
    if isinstance(message, Install):
        return (
            0 <= message.image_term <= message.term
            and 0 < message.index < MOST_NUMBER
            and 0 <= message.round < MOST_NUMBER
            and 0 < message.size <= settings.most_image
            and 0 <= message.at <= message.size - len(message.piece)
        )
    return True


def change_fault(old: Config, new: Config) -> str | None:
    """Why `new` cannot follow `old` in one step, or None. A voter may become a learner; a learner a voter."""
    voters, learners = set(new.voters), set(new.learners)
    if not voters:
        return "nobody would be left to decide"
    if len(voters) != len(new.voters) or len(learners) != len(new.learners) or voters & learners:
        return "an id is there twice"
    if not all(voters | learners):
        return "an id is empty"
    if voters - set(old.voters) - set(old.learners):
        return f"{min(voters - set(old.voters) - set(old.learners))} must be a learner first"
    moved = voters ^ set(old.voters)
    others = (learners ^ set(old.learners)) - moved
    if len(moved) + len(others) != 1:
        return "one voter or learner more or less at a time"
    return None
