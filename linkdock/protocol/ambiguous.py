"""An answer that may be a second copy of the one before it on its connection, and what holds whichever it is.

Nothing in HTTP/1.1 says which call an answer belongs to. One that is the same as the last on its connection, and of
which it is not known that its server had the call, is either the answer to the call or a copy that crossed it. Until
that is known nothing is done that is wrong in one of the two cases: what it says is over is not sent again and not held
to be delivered, what it says never ran may have run, and a wait that it tells is kept.
"""

from __future__ import annotations

from typing import NamedTuple

from . import batches

OVER_UNSERVED = frozenset({400, 410, 413, 504})  # statuses that end a message in a call of its own without a delivery
REFUSED = frozenset({429, 503})


class AmbiguousAnswer(NamedTuple):
    """A whole answer that is held back."""

    status: int
    states: dict[str, str] | None  # of the messages of a shared call that names them; None of any other answer
    single: bool  # whether the call has one message
    wait_until: float  # on the loop's clock; no earlier time than that of the answer

    def over(self, request: str) -> bool:
        """Whether it says of this message that it must not be sent again."""
        if self.states is not None:
            return self.states.get(request) in batches.OVER
        return self.single and (self.status == 200 or self.status in OVER_UNSERVED)

    def worth_waiting(self, request: str, repeatable: bool) -> bool:
        """Whether a second answer could do better for this message than what holds in both cases does at once.

        What may be repeated is, and an end by a notice is not put off: after a kill meanwhile the next process would
        send on what is over. Of a delivery that is harmless: a server answers it as delivered once more.
        """
        if self.states is not None:
            state = self.states.get(request)
            return state == "done" or state == "busy" and not repeatable
        return self.status == 200 or self.status in REFUSED and not repeatable
