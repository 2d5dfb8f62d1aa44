"""Judges records: every message that was taken on, whether it ended once, in time, and without a forbidden repeat.

No I/O. `Audit.take` is fed events in the order of `reading.read`; `report` tells what was found. Times are judged by
the record's own clocks, so that a fault named here is one by the sender's own account.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from . import events as e
from .reading import Event, Passed, Place

AFTER = 0.3  # seconds after its time is up by which a message must be delivered or ended by a notice
RESTART = 1.5  # and after a restart: no notice is overdue until so long after the sender is ready again
DRAINED = 2.0  # seconds after which nothing new may go to a server that drains or is gone
CUT_OFF = 0.1  # seconds of events that a kill may cut off a record
MOST_FAULTS = 1000
MOST_STORY = 400  # events of one message that are kept for its story

NO_END = "no end"
TWO_ENDS = "two ends"
LATE_END = "an end after its time"
REPEAT = "a repeat that its class does not allow"
REVIVED = "owed again after its end"
UNSAID = "an end without a notice"
IN_WAIT = "sent to a server that asked to wait"
TO_DRAINED = "sent to a server that drains or is gone"
NOT_RESTORED = "left behind by an orderly stop"
UNKNOWN_SENT = "sent without being taken on"


class Fault(NamedTuple):
    """One finding: what, about which message of which sender, and the line that shows it."""

    kind: str
    sender: str
    message: str
    text: str
    place: Place

    def as_dict(self) -> dict:
        """The fault as a map, for JSON."""
        return {
            "kind": self.kind,
            "sender": self.sender,
            "message": self.message,
            "text": self.text,
            "file": self.place.file,
            "line": self.place.line,
        }


@dataclass(slots=True)
class _Message:
    """What the record has told of one message so far."""

    cls: str
    until: float
    place: Place
    taken: float
    doubt: dict[int, str] = field(default_factory=dict)  # attempts that may run or have run: the server
    over: str | None = None
    over_at: float = 0.0
    notice: float | None = None
    confirmed: float | None = None
    lives: int = 0  # restarts that it went through
    again: bool = False  # sent again after its end, by an operator or a rule: only the store hears how that ends


@dataclass(slots=True)
class _Sender:
    """One sender over all its lives in the record."""

    name: str
    repeatable: dict[str, bool] = field(default_factory=dict)
    life: str = ""
    lives: int = 0
    since: float = 0.0
    ready: float | None = None
    ready_mono: float | None = None
    last: float = 0.0
    seq: int = 0
    missing: int = 0  # events that are not in the record, by its own count
    stopping: float | None = None
    stopped: bool = False
    clean: bool = True  # whether nothing is missing in this life so far
    open: dict[str, _Message] = field(default_factory=dict)
    restored: set[str] = field(default_factory=set)
    ended: dict[str, tuple[str, float]] = field(default_factory=dict)
    waits: dict[tuple, float] = field(default_factory=dict)
    routes: dict[str, tuple] = field(default_factory=dict)
    shut: dict[str, tuple[str, float]] = field(default_factory=dict)


class Audit:
    """Takes events and keeps what the verdicts need: open messages whole, ended ones by id and time."""

    def __init__(self, story: str | None = None) -> None:
        """Without any event yet; `story` is the message to tell the whole life of, if any."""
        self._senders: dict[str, _Sender] = {}
        self._names: dict[str, str] = {}  # life: the sender's name
        self._faults: list[Fault] = []
        self._more: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()
        self._by_sender: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self._left: Counter[str] = Counter()
        self._story, self._told = story, []

    # --- In.

    def take(self, event: Event) -> None:
        """Danger: a field that is missing or of another shape, by another's hand. Raises ValueError for it."""
        try:
            self._take(event)
        except (KeyError, TypeError, AttributeError, IndexError) as bad:
            raise ValueError(f"{event.name}: {type(bad).__name__}: {bad}") from None

    def _take(self, event: Event) -> None:
        if event.name == e.STARTED:
            self._started(event)
        name = self._names.setdefault(event.life, event.life)
        sender = self._senders.get(name)
        if sender is None:
            sender = self._senders[name] = _Sender(name)
        if event.life != sender.life:
            self._new_life(sender, event)
        if sender.seq and event.seq > sender.seq + 1:
            sender.missing += event.seq - sender.seq - 1
            sender.clean = False
        sender.seq, sender.last = event.seq or sender.seq, max(sender.last, event.unix)
        if (
            self._story is not None
            and len(self._told) < MOST_STORY
            and (event.fields.get("id") == self._story or self._story in event.fields.get("ids", ()))
        ):
            self._told.append((sender.name, event))
        taker = getattr(self, f"_on_{event.name}", None)
        if taker is not None:
            taker(sender, event, event.fields)

    def _started(self, event: Event) -> None:
        name = str(event.fields["name"])
        self._names[event.life] = name
        sender = self._senders.setdefault(name, _Sender(name))
        sender.repeatable = {c: bool(told["repeatable"]) for c, told in event.fields["classes"].items()}

    def _new_life(self, sender: _Sender, event: Event) -> None:
        """A start after a stop or a kill: waits end with it, and what is owed is told again as `restored`."""
        if sender.life:
            for message in sender.open.values():
                message.lives += 1
        sender.life, sender.lives, sender.since, sender.seq = event.life, sender.lives + 1, event.unix, 0
        # A record that begins in the middle of a life: the sender had long been ready.
        begun = event.name == e.STARTED and not event.fields["part"]
        sender.ready, sender.stopping = None if begun else event.unix, None
        sender.restored, sender.waits, sender.shut = set(), {}, {}

    def _fault(self, kind: str, sender: _Sender, message: str, text: str, place: Place) -> None:
        self._counts[kind] += 1
        if len(self._faults) < MOST_FAULTS:
            self._faults.append(Fault(kind, sender.name, message, text, place))
        else:
            self._more[kind] += 1

    # --- Events.

    def _on_gap(self, sender: _Sender, event: Event, told: dict) -> None:
        sender.missing += int(told["lost"])
        sender.clean = False

    def _on_restored(self, sender: _Sender, event: Event, told: dict) -> None:
        request = told["id"]
        sender.restored.add(request)
        again = told.get("again", False)
        if request in sender.ended and not again:
            how, at = sender.ended[request]
            if not (how in ("undeliverable", "deferred") and told["notice"] is not None):
                self._fault(
                    REVIVED,
                    sender,
                    request,
                    f"ended as {how} {event.unix - at:.3f} s before the start " "that owes it again",
                    event.place,
                )
            return
        known = sender.open.get(request)
        if known is None:
            known = sender.open[request] = _Message(
                told["cls"], told["until"], event.place, event.unix, lives=1, again=again
            )
        known.doubt.update({n: known.doubt.get(n, "?") for n in told["doubt"]})

    def _on_resent(self, sender: _Sender, event: Event, fields: dict) -> None:
        self._by_sender[sender.name]["sent again"] += 1
        sender.ended.pop(fields["id"], None)
        sender.open[fields["id"]] = _Message(fields["cls"], fields["until"], event.place, event.unix, again=True)

    def _on_ready(self, sender: _Sender, event: Event, told: dict) -> None:
        sender.ready = event.unix
        if sender.lives < 2:
            return
        for request in [r for r in sender.open if r not in sender.restored]:
            message = sender.open.pop(request)
            if not message.lives:
                sender.open[request] = message
            elif sender.stopped and sender.clean:
                self._fault(
                    NOT_RESTORED, sender, request, "open at an orderly stop and not owed after it", message.place
                )
            else:
                # Its end was on the journal and fell into what the kill cut off the record.
                self._by_sender[sender.name]["ended unseen"] += 1
                sender.ended[request] = "unseen", event.unix
        sender.stopped, sender.clean = False, True

    def _on_answered(self, sender: _Sender, event: Event, told: dict) -> None:
        counts = self._by_sender[sender.name]
        if told["answer"] != "taken":
            counts[f"answered {told['answer']}"] += 1
            return
        if told["again"]:
            counts["handed in again"] += 1
            return
        if not told["heard"]:
            counts["gone before the answer"] += 1
            return
        counts["taken"] += 1
        sender.ended.pop(told["id"], None)
        sender.open[told["id"]] = _Message(told["cls"], told["until"], event.place, event.unix)

    def _on_sent(self, sender: _Sender, event: Event, told: dict) -> None:
        request, server, attempt = told["id"], told["server"], told["attempt"]
        counts = self._by_sender[sender.name]
        counts["sent"] += 1
        message = sender.open.get(request)
        if message is None:
            if request in sender.ended:
                self._fault(
                    TWO_ENDS,
                    sender,
                    request,
                    f"attempt {attempt} to {server} after it had ended as " f"{sender.ended[request][0]}",
                    event.place,
                )
            elif sender.clean:
                self._fault(UNKNOWN_SENT, sender, request, f"attempt {attempt} to {server}", event.place)
            return
        doubt = [n for n in message.doubt if n != attempt]
        if doubt and not sender.repeatable.get(message.cls, True):
            self._fault(
                REPEAT,
                sender,
                request,
                f"attempt {attempt} to {server} while attempt {doubt[0]} to "
                f"{message.doubt[doubt[0]]} may have run ({message.cls})",
                event.place,
            )
        message.doubt[attempt] = server
        until = sender.waits.get(sender.routes.get(server, (server,)), 0.0)
        if event.mono < until:
            self._fault(
                IN_WAIT,
                sender,
                request,
                f"attempt {attempt} to {server}, {until - event.mono:.3f} s before " "the wait that it told was over",
                event.place,
            )
        if server in sender.shut and event.mono > sender.shut[server][1] + DRAINED:
            health, at = sender.shut[server]
            self._fault(
                TO_DRAINED,
                sender,
                request,
                f"attempt {attempt} to {server}, {event.mono - at:.3f} s after " f"it was told to be {health}",
                event.place,
            )

    def _on_outcome(self, sender: _Sender, event: Event, told: dict) -> None:
        self._by_sender[sender.name][f"outcome {told['how']}"] += 1
        message = sender.open.get(told["id"])
        if message is not None and told["ran"] == e.NEVER:
            message.doubt.pop(told["attempt"], None)

    def _on_wait(self, sender: _Sender, event: Event, told: dict) -> None:
        route = tuple(told["route"])
        sender.routes[told["server"]] = route
        sender.waits[route] = max(sender.waits.get(route, 0.0), event.mono + told["seconds"])

    def _on_table(self, sender: _Sender, event: Event, told: dict) -> None:
        for name, _, health in told["changes"]:
            if health == "ready":
                sender.shut.pop(name, None)
            else:
                sender.shut.setdefault(name, (health, event.mono))

    def _on_over(self, sender: _Sender, event: Event, told: dict) -> None:
        request, how = told["id"], told["how"]
        message = sender.open.get(request)
        if message is None:
            if request in sender.ended and sender.ended[request][0] != "unseen":
                self._fault(
                    TWO_ENDS,
                    sender,
                    request,
                    f"ended as {how} after it had ended as " f"{sender.ended[request][0]}",
                    event.place,
                )
            return
        if message.over is not None:
            self._fault(TWO_ENDS, sender, request, f"ended as {how} after {message.over}", event.place)
            return
        self._by_sender[sender.name][f"ended {how}"] += 1
        self._left[f"{how}, {_bucket(told['left'])}"] += 1
        message.over, message.over_at = how, event.unix
        if message.again or how in ("delivered", "void", "withdrawn"):
            if how == "delivered" and message.notice is None and event.unix > message.until:
                self._fault(
                    LATE_END,
                    sender,
                    request,
                    f"held to be delivered {event.unix - message.until:.3f} s after " "its time, and nobody was told",
                    event.place,
                )
            self._closed(sender, request, how, event.unix)

    def _on_notice(self, sender: _Sender, event: Event, told: dict) -> None:
        message = sender.open.get(told["id"])
        if message is not None and message.notice is None:
            message.notice = event.unix

    def _on_confirmed(self, sender: _Sender, event: Event, told: dict) -> None:
        message = sender.open.get(told["id"])
        if message is None:
            return
        self._in_time(sender, told["id"], message, event.unix, event.place)
        self._closed(sender, told["id"], message.over or "ended by notice", event.unix)

    def _in_time(self, sender: _Sender, request: str, message: _Message, at: float, place: Place) -> None:
        late = at - message.until - AFTER
        if late <= 0:
            return
        restarting = sender.stopping is not None or sender.ready is None
        if message.lives and (restarting or at <= sender.ready + RESTART) or restarting:
            return
        self._fault(
            LATE_END,
            sender,
            request,
            f"its notice was confirmed {late + AFTER:.3f} s after its time; it was owed "
            + (f"{message.notice - message.until:+.3f} s from it" if message.notice else "before"),
            place,
        )

    def _closed(self, sender: _Sender, request: str, how: str, at: float) -> None:
        del sender.open[request]
        sender.ended[request] = how, at

    def _on_joined(self, sender: _Sender, event: Event, told: dict) -> None:
        counts = self._by_sender[sender.name]
        counts["clients joined"] += 1
        counts["most clients"] = max(counts["most clients"], told["held"])

    def _on_left(self, sender: _Sender, event: Event, told: dict) -> None:
        use = "after a message" if told["taken"] else "after commands" if told["commands"] else "unused"
        self._by_sender[sender.name][f"client left: {told['why']}, {use}"] += 1

    def _on_stopping(self, sender: _Sender, event: Event, told: dict) -> None:
        sender.stopping = event.unix

    def _on_stopped(self, sender: _Sender, event: Event, told: dict) -> None:
        sender.stopped = True

    # --- Out.

    def close(self) -> None:
        """The record ends. What is open is a fault only where the sender lived beyond the message's time."""
        for sender in self._senders.values():
            for request, message in sender.open.items():
                overdue = sender.last - message.until - AFTER
                restarting = (
                    sender.ready is None
                    or sender.stopping is not None
                    or (message.lives and sender.last <= sender.ready + RESTART)
                )
                if overdue <= CUT_OFF or restarting:
                    self._by_sender[sender.name]["open at the end"] += 1
                elif message.over is not None:
                    self._fault(
                        UNSAID,
                        sender,
                        request,
                        f"ended as {message.over}, and the platform had not confirmed "
                        f"it {overdue + AFTER:.3f} s after its time",
                        message.place,
                    )
                elif sender.missing:
                    self._by_sender[sender.name]["unknown: events are missing"] += 1
                else:
                    self._fault(
                        NO_END,
                        sender,
                        request,
                        f"its time was up {overdue + AFTER:.3f} s before the record " "ends",
                        message.place,
                    )

    def report(self, passed: Passed) -> dict:
        """What was found, as plain values."""
        faults = sorted(self._faults, key=lambda f: (f.kind, f.sender, f.place))
        return {
            "senders": {
                name: {"lives": s.lives, "missing": s.missing, **dict(sorted(self._by_sender[name].items()))}
                for name, s in sorted(self._senders.items())
            },
            "ends": dict(sorted(self._left.items())),
            "faults": dict(sorted(self._counts.items())),
            "found": [f.as_dict() for f in faults],
            "unnamed": sum(self._more.values()),
            "passed_over": passed.count,
            "passed_over_first": passed.named,
        }

    def story(self) -> list[dict]:
        """The events of the message that was asked for, in order."""
        return [
            {
                "sender": name,
                "life": v.life,
                "unix": v.unix,
                "mono": v.mono,
                "event": v.name,
                **v.fields,
                "file": v.place.file,
                "line": v.place.line,
            }
            for name, v in self._told
        ]


def _bucket(left: float) -> str:
    """How long before its time a message ended, in words that sort."""
    for most, text in (
        (-0.3, "over 0.3 s late"),
        (0.0, "late"),
        (0.3, "in its last 0.3 s"),
        (1.0, "in its last second"),
    ):
        if left < most:
            return text
    return "earlier"


def audit(events: Iterable[Event], passed: Passed, story: str | None = None) -> tuple[dict, list[dict]]:
    """Judge a record: the report, and the story of one message if one is named."""
    judge = Audit(story)
    for event in events:
        try:
            judge.take(event)
        except ValueError as bad:
            passed.add(event.place, f"no record: {bad}")
    judge.close()
    return judge.report(passed), judge.story()
