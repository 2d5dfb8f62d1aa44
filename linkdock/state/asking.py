"""When discovery is asked for its news: not in step with the rest of the fleet, and later after each refusal.

Free of I/O. Where the platform says that news must be asked for, each ask costs discovery work, and it serves only so
many a second; elsewhere an agent on the sender's own machine answers at once and for nothing.
"""

from __future__ import annotations

from random import Random

AGENT = 0.2  # seconds between asks of the agent
PROMPT = 0.5  # and until it has begun to answer, which it does at once unless discovery is down
MOST_PROMPT = 64  # asks on end that may go unanswered before one is given as long as any other:
SILENCE = 2.8  # an empty line comes every 2 s; without any the watch is dead, whatever TCP thinks
EACH = 0.08  # seconds that each sender adds to the span of the first asks: 40 over 2.5 s had 12 turned away
FIRST = 1 / 8  # first pause after a refusal, in told periods; it doubles
MOST = 1 / 2  # up to this, which by chance half to one and a half times stays inside the period
REOPEN = 4.5  # seconds of the span at the most after a watch that broke
TOLD = 6.0  # seconds after which a change counts as told, once discovery had it and could be reached
ANSWER = 0.2  # of these, what the answer takes that brings the change
LEAST_CHANCE, MOST_CHANCE = 0.5, 1.5  # parts of a pause between which it is drawn: a fleet does not ask in step
NOTHING = 1.0  # seconds of the span at the most for one that has no list at all
MOVED = 2.0  # seconds at the most after a change of address, of the 4 within which its news counts as told


class Asking:
    """The pauses of one sender's watch, by chance from its seed.

    Danger: a fleet that starts together, or whose watches break together, asks together. Discovery turns most away,
    asks that it turned away cost it as much, and at an even pace nobody is served any more. Hurts by a list that is
    as old as the span is long.
    """

    def __init__(
        self, paid: bool, senders: int, within: float, seed: int, nothing: bool = False, grace: float = 0.0
    ) -> None:
        """`paid`: each ask costs, and news must be asked for `within` so many seconds; `nothing`: no list is known.

        `grace`: seconds for which a server that is told to drain may still be sent to.
        """
        self._paid, self._within, self._nothing = paid, within, nothing
        self._random = Random(seed + 2)  # the decisions draw from the two before
        self._span = min(senders * EACH, MOST * within)
        self._refused = 0  # on end
        # An ask that discovery leaves without an answer may have begun right before the outage ended: after its
        # patience and the longest pause the next one must still bring what binds by then.
        self._longest = TOLD + grace - SILENCE - ANSWER

    def first(self) -> float:
        """Until the first ask of a life."""
        span, self._nothing = min(self._span, NOTHING) if self._nothing else self._span, False
        return self._random.uniform(0.0, span) if self._paid else 0.0

    def again(self, served: bool) -> float:
        """Until the next ask after one that ended; `served`: it had brought news."""
        if served:
            self._refused = 0
            span = min(self._span, REOPEN, self._longest - AGENT)
            return AGENT + (self._random.uniform(0.0, span) if self._paid else 0.0)
        if not self._paid:
            self._refused += 1
            return AGENT
        pause = min(MOST, FIRST * 2 ** min(self._refused, 8)) * self._within
        self._refused += 1
        return min(pause, self._longest / MOST_CHANCE) * self._random.uniform(LEAST_CHANCE, MOST_CHANCE)

    def patience(self) -> float:
        """Until an ask without any answer is given up.

        Danger: what the agent has counts as told, also right after an outage of discovery. An ask from before its end
        may stay silent for ever, and the news behind it would be heard too late for the rule on drains. However long
        the outage lasted: only one ask in so many is given time, for an agent that is slow to begin.
        """
        return SILENCE if self._paid or self._refused % (MOST_PROMPT + 1) == MOST_PROMPT else PROMPT

    def moved(self) -> float:
        """Until the first ask at another address, which all of the fleet are told of at once."""
        self._refused = 0
        return min(self.first(), self._random.uniform(0.0, MOVED))
