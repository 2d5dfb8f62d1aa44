"""When discovery is asked for its news: not in step with the rest of the fleet, and later after each refusal.

Free of I/O. Where the platform says that news must be asked for, each ask costs discovery work, and it serves only so
many a second; elsewhere an agent on the sender's own machine answers at once and for nothing.
"""

from __future__ import annotations

from random import Random

AGENT_INTERVAL = 0.2  # seconds between asks of the agent
PROMPT_TIMEOUT = 0.5  # and until it has begun to answer, which it does at once unless discovery is down
MOST_PROMPT_ASKS = 64  # asks on end that may go unanswered before one is given as long as any other:
SILENCE_TIMEOUT = 2.8  # an empty line comes every 2 s; without any the watch is dead, whatever TCP thinks
SPAN_PER_SENDER = 0.08  # seconds that each sender adds to the span of the first asks: 40 over 2.5 s had 12 turned away
FIRST_PAUSE = 1 / 8  # first pause after a refusal, in told periods; it doubles
MOST_PAUSE = 1 / 2  # up to this, which by chance half to one and a half times stays inside the period
MOST_REOPEN_SPAN = 4.5  # seconds of the span at the most after a watch that broke
TOLD_AFTER = 6.0  # seconds after which a change counts as told, once discovery had it and could be reached
ANSWER_TIME = 0.2  # of these, what the answer takes that brings the change
LEAST_CHANCE, MOST_CHANCE = 0.5, 1.5  # parts of a pause between which it is drawn: a fleet does not ask in step
MOST_FIRST_SPAN = 1.0  # seconds of the span at the most for one that has no list at all
MOST_MOVED_DELAY = 2.0  # seconds at the most after a change of address, of the 4 within which its news counts as told


class WatchSchedule:
    """The pauses of one sender's watch, by chance from its seed.

    A fleet that starts together, or whose watches break together, asks together. Discovery turns most away,
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
        self._span = min(senders * SPAN_PER_SENDER, MOST_PAUSE * within)
        self._refused = 0  # on end
        # An ask that discovery leaves without an answer may have begun right before the outage ended: after its
        # time-out and the longest pause the next one must still bring what binds by then.
        self._longest_pause = TOLD_AFTER + grace - SILENCE_TIMEOUT - ANSWER_TIME

    def first_delay(self) -> float:
        """Until the first ask of a life."""
        span, self._nothing = min(self._span, MOST_FIRST_SPAN) if self._nothing else self._span, False
        return self._random.uniform(0.0, span) if self._paid else 0.0

    def next_delay(self, served: bool) -> float:
        """Until the next ask after one that ended; `served`: it had brought news."""
        if served:
            self._refused = 0
            span = min(self._span, MOST_REOPEN_SPAN, self._longest_pause - AGENT_INTERVAL)
            return AGENT_INTERVAL + (self._random.uniform(0.0, span) if self._paid else 0.0)
        if not self._paid:
            self._refused += 1
            return AGENT_INTERVAL
        pause = min(MOST_PAUSE, FIRST_PAUSE * 2 ** min(self._refused, 8)) * self._within
        self._refused += 1
        pause = min(pause, self._longest_pause / MOST_CHANCE)
        return pause * self._random.uniform(LEAST_CHANCE, MOST_CHANCE)

    def answer_timeout(self) -> float:
        """Until an ask without any answer is given up.

        What the agent has counts as told, also right after an outage of discovery. An ask from before its end
        may stay silent for ever, and the news behind it would be heard too late for the rule on drains. However long
        the outage lasted: only one ask in so many is given time, for an agent that is slow to begin.
        """
        is_given_time = self._paid or self._refused % (MOST_PROMPT_ASKS + 1) == MOST_PROMPT_ASKS
        return SILENCE_TIMEOUT if is_given_time else PROMPT_TIMEOUT

    def moved_delay(self) -> float:
        """Until the first ask at another address, which all of the fleet are told of at once."""
        self._refused = 0
        return min(self.first_delay(), self._random.uniform(0.0, MOST_MOVED_DELAY))
