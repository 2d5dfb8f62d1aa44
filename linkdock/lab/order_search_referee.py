"""The rule `order` and its neighbours, judged by what a platform, its clients and its servers see.

Nothing here asks the program. A message is over once its 200 was read in time, once the platform answered 204 to its
notice, or if its client never heard `+OK`. An attempt is out from its first byte until its whole answer was read, it
was reset, or the server has seen its close.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..errors import LinkdockError
from .order_search_streams import ScriptedStream, StreamState


class Check(Enum):
    """The named checks."""

    NOT_OVER = "order: earlier message not over"
    STILL_OUT = "order: earlier attempt still out"
    TWO_OUT = "two attempts out"
    REPEATED = "repeated after doubt"
    AFTER_END = "sent after its end"
    UNHEARD = "sent though its client never heard +OK"
    TWO_ENDS = "two ends"
    NO_END = "no end"
    FAILED = "the program failed"


class RuleBrokenError(LinkdockError):
    """A check failed. `kind` says in which kind of situation; two of one kind count as one find."""

    code = "LD-LAB-ORDER"
    what = "a rule about messages in order does not hold in a search"
    remedy = "Play the events that the line names once more by --replay, and look at docs/design/order.md"

    def __init__(self, check: Check, text: str, kind: str = "") -> None:
        """`kind`: in which situation it failed."""
        super().__init__(f"{check.value}: {text}{kind and f' ({kind})'}")
        self.check, self.kind = check, kind


class Heard(Enum):
    """What the client of a message was told."""

    NOT_HANDED_IN = "not handed in"
    WAITS = "waits for its answer"
    TAKEN = "+OK"
    NOTHING = "no +OK"


@dataclass(slots=True)
class Message:
    """One message as its client, its servers and the platform know it."""

    id: str
    key: str
    left: float  # seconds of its time when it is handed in
    until: float = 0.0  # on the world's clock
    heard: Heard = Heard.NOT_HANDED_IN
    at: int = 0  # the process that it was handed in at
    there: bool = True  # whether its client still waits for the answer
    attempts: list[ScriptedStream] = field(default_factory=list)  # those whose first byte has gone
    may_have_run: bool = False
    delivered: bool = False
    noticed: str = ""  # the status whose notice was answered 204

    @property
    def over(self) -> bool:
        """Whether the next of its key may go, as far as its own end is concerned."""
        return self.delivered or bool(self.noticed) or self.heard in (Heard.NOTHING, Heard.NOT_HANDED_IN)

    @property
    def out(self) -> list[ScriptedStream]:
        """Its attempts that have not ended at their servers."""
        return [one for one in self.attempts if one.state is not StreamState.ENDED]

    def situation(self) -> str:
        """What is known of it, in words."""
        tried = "its call is out" if self.out else "it may have run" if self.may_have_run else "it was never sent"
        return f"{self.id} was handed in at process {self.at}, {tried}"


class Referee:
    """Judges first bytes, answers and notices, but for the checks that are `ignored`. Raises RuleBrokenError."""

    def __init__(self, messages: list[Message], ignored: frozenset[Check] = frozenset()) -> None:
        """`ignored`: checks that are passed over."""
        self.ignored = ignored
        self.messages = {message.id: message for message in messages}
        self.handed_in: dict[str, list[Message]] = {}  # by key, in the order in which they were handed in

    def hand_in(self, message: Message, process: int, now: float) -> None:
        """A client hands it in at a process."""
        message.heard, message.at, message.until = Heard.WAITS, process, now + message.left
        self.handed_in.setdefault(message.key, []).append(message)

    def first_byte(self, stream: ScriptedStream) -> None:
        """An attempt goes out."""
        for name in stream.messages:
            message = self.messages[name]
            who = f"{name} by process {stream.process}"
            if message.out:
                raise RuleBrokenError(Check.TWO_OUT, who)
            if message.delivered or message.noticed:
                raise RuleBrokenError(Check.AFTER_END, who)
            if message.may_have_run:
                raise RuleBrokenError(Check.REPEATED, who)
            if message.heard is not Heard.TAKEN:
                raise RuleBrokenError(Check.UNHEARD, who)
            self._turn(message, who)
            message.attempts.append(stream)
            message.may_have_run = True

    def _turn(self, message: Message, who: str) -> None:
        queue = self.handed_in[message.key]
        for earlier in queue[: queue.index(message)]:
            check = Check.STILL_OUT if earlier.over else Check.NOT_OVER
            if (earlier.out or not earlier.over) and check not in self.ignored:
                raise RuleBrokenError(check, f"{who}, before {earlier.id}", earlier.situation())

    def answered(self, stream: ScriptedStream, status: int, now: float) -> None:
        """A whole answer was read by the process that sent it."""
        for message in (self.messages[name] for name in stream.messages):
            if status == 200:
                message.delivered = message.delivered or now <= message.until
            elif status == 503:
                message.may_have_run = False  # this attempt was the only one

    def confirmed(self, name: str, status: str) -> None:
        """The platform answered 204 to a notice."""
        message = self.messages[name]
        if status == "deferred" and (message.may_have_run or message.delivered):
            raise RuleBrokenError(Check.TWO_ENDS, f"{name} may have run, and its client is told to hand it in again")
        if message.noticed and message.noticed != status:
            raise RuleBrokenError(Check.TWO_ENDS, f"{name} ended as {message.noticed} and as {status}")
        message.noticed = status

    def all_ended(self) -> None:
        """To be asked once nothing goes on any more."""
        for message in self.messages.values():
            if message.heard is Heard.TAKEN and not message.over:
                raise RuleBrokenError(Check.NO_END, message.id)
