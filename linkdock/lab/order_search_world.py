"""The world of the order search: clients, servers, the platform, a clock, and up to three processes on one folder.

Events are words, so that a list of them is a schedule that can be replayed:

    start              the next process begins (a restart, or the upgrade's second)
    take A1@2          message A1 is handed in at process 2, once the one of its key before it has been answered
    leave A1           its client goes before it has an answer
    beat 1             5 ms go by, and process 1 runs its timers and a decision pass
    look 1             process 1 looks at its siblings
    go A1@1            the connection of A1's call at process 1 is up, and its first byte goes out
    refuse A1@1        or it is refused
    ok|error|busy|reset A1@1    its server answers 200, 500 or 503 with a whole answer, or resets the connection
    seen A1@1          the server sees the close of a call that was given up (by itself after CLOSE_SEEN)
    confirm A1@1       the platform answers 204 to process 1's notice for A1
    rest               100 ms go by: every timer that is due, and a pass of each process
    late A1            the clock goes on to the end of A1's time
    term 1, kill 1     SIGTERM, SIGKILL
"""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterator
from pathlib import Path

from .order_search_plans import Bounds
from .order_search_program import TICK, Program, VirtualLoop
from .order_search_referee import Check, Heard, Message, Referee, RuleBrokenError
from .order_search_streams import ScriptedStream, StreamState

BEGIN = 1000.0  # the clock's first time, in seconds
REST = 0.1  # seconds of a rest
CLOSE_SEEN = 0.1  # seconds after which a server has surely seen the close of a call that was given up
EARLY = 0.045  # seconds before the end of a message's time to which `late` goes: calls are given up 0.05 before
COUNTED = ("kill", "term", "failure", "late", "rest", "look", "leave")  # what bounds count, beyond how a case begins
ANSWERS = {"ok": 200, "error": 500, "busy": 503}


class World:
    """One case under way. `apply` raises RuleBrokenError; `close` gives its folder back."""

    def __init__(
        self, loop: VirtualLoop, bounds: Bounds, parent: Path | None, ignored: frozenset[Check] = frozenset()
    ) -> None:
        """Begin a case in a folder of its own below `parent`."""
        self.loop, self.bounds = loop, bounds
        loop.now = BEGIN
        self.folder = Path(tempfile.mkdtemp(prefix="order-", dir=parent))
        self.messages = [Message(*told) for told in bounds.messages]
        self.referee = Referee(self.messages, ignored)
        self.programs: list[Program] = []
        self.streams: list[ScriptedStream] = []
        self.used = dict.fromkeys(COUNTED, 0)
        self._events = 0
        self._broken: RuleBrokenError | None = None

    def close(self) -> None:
        """End all processes, and remove the folder."""
        for program in self.living():
            self._kill(program)
        self.loop.clear()
        shutil.rmtree(self.folder, ignore_errors=True)

    def living(self) -> list[Program]:
        """The processes that have not ended."""
        return [program for program in self.programs if program.alive]

    # --- What a sender does (order_search_streams.Observer).

    def opened(self, stream: ScriptedStream) -> None:
        """A sender connects to a server."""
        self.streams.append(stream)

    def first_byte(self, stream: ScriptedStream) -> None:
        """A call goes out: the referee judges it."""
        try:
            self.referee.first_byte(stream)
        except RuleBrokenError as broken:  # the program would take it for an error of its own
            self._broken = self._broken or broken

    def closed(self, stream: ScriptedStream) -> None:
        """A sender closed a connection over a call."""
        stream.closing_since = self.loop.now

    # --- Events.

    def enabled(self) -> Iterator[str]:
        """Every event that may come now."""
        yield from self._of_clients()
        yield from self._of_calls()
        for program in self.living():
            for name in sorted(program.owes()):
                yield f"confirm {name}@{program.number}"
        yield from self._of_processes()
        yield from self._of_times()
        if self._left("rest"):
            yield "rest"

    def _of_times(self) -> Iterator[str]:
        """The clock goes on to the first end of a message's time, and not past a client that waits for its answer."""
        open_messages = [message for message in self.messages if not message.over]
        if self._left("late") and open_messages and all(message.heard is Heard.TAKEN for message in open_messages):
            first = min(open_messages, key=lambda message: message.until)
            if first.until - EARLY > self.loop.now:
                yield f"late {first.id}"

    def _left(self, what: str) -> bool:
        bounds = self.bounds
        most = {
            "kill": bounds.kills,
            "term": bounds.terms,
            "failure": bounds.failures,
            "late": bounds.late,
            "rest": bounds.rests,
            "look": bounds.looks,
            "leave": bounds.leaves,
        }
        return self.used[what] < most[what]

    def _of_clients(self) -> Iterator[str]:
        begun = {message.key for message in self.messages if message.heard is Heard.WAITS}
        for message in self.messages:
            if message.heard is Heard.NOT_HANDED_IN and message.key not in begun:
                begun.add(message.key)
                yield from (f"take {message.id}@{one.number}" for one in self.living() if one.accepts())
            if message.heard is Heard.WAITS and message.there and self._left("leave"):
                yield f"leave {message.id}"

    def _of_calls(self) -> Iterator[str]:
        for stream in self.streams:
            name = f"{stream.messages[0]}@{stream.process}"
            if stream.state is StreamState.CONNECTING:
                yield f"go {name}"
                if self._left("failure"):
                    yield f"refuse {name}"
            elif stream.state is StreamState.OUT:
                yield f"ok {name}"
                if self._left("failure"):
                    yield from (f"{what} {name}" for what in ("error", "busy", "reset"))
            elif stream.state is StreamState.CLOSING:
                yield f"seen {name}"

    def _of_processes(self) -> Iterator[str]:
        living = self.living()
        for program in living:
            yield f"beat {program.number}"
            if self.bounds.shared and self._left("look"):
                yield f"look {program.number}"
            if not program.stopping and self._left("term"):
                yield f"term {program.number}"
            if self._left("kill"):
                yield f"kill {program.number}"
        if len(self.programs) < self.bounds.starts and len(living) < (2 if self.bounds.shared else 1):
            yield "start"

    def apply(self, event: str) -> None:
        """Let one event happen, and what follows at once. Raises RuleBrokenError, ValueError if it cannot come."""
        what, _, rest = event.partition(" ")
        name, _, number = rest.partition("@")
        try:
            if what in ("start", "rest"):
                getattr(self, f"_{what}")()
            elif what in ("beat", "look", "term", "kill"):
                getattr(self, f"_{what}")(self.programs[int(name) - 1])
            elif what in ("leave", "late"):
                getattr(self, f"_{what}")(self.referee.messages[name])
            elif what in ("take", "confirm"):
                getattr(self, f"_{what}")(self.referee.messages[name], self.programs[int(number) - 1])
            else:
                self._call(what, self._stream(name, int(number)))
        except RuleBrokenError:
            raise
        except (KeyError, IndexError, ValueError, StopIteration) as bad:
            raise ValueError(f"{event} cannot come here: {bad!r}") from bad
        except Exception as bad:
            raise RuleBrokenError(Check.FAILED, f"{event}: {bad!r}") from bad
        self._after()

    def _after(self) -> None:
        self._events += 1
        if self._events == len(self.bounds.begin):
            self.used = dict.fromkeys(COUNTED, 0)
        for program in self.living():
            if program.has_ended():
                self._gone(program)
        if self._broken is not None:
            raise self._broken

    def _stream(self, name: str, number: int) -> ScriptedStream:
        return next(
            one
            for one in self.streams
            if one.messages[0] == name and one.process == number and one.state is not StreamState.ENDED
        )

    def _start(self) -> None:
        self.programs.append(Program(self.loop, self.folder, len(self.programs) + 1, self.bounds.shared))
        if self.bounds.prompt:
            for program in self.living()[:-1]:
                program.look()

    def _take(self, message: Message, program: Program) -> None:
        self.referee.hand_in(message, program.number, self.loop.now)

        def answer(said: object) -> bool:
            if message.there:
                message.heard = Heard.TAKEN if program.took(said) else Heard.NOTHING
            return message.there

        program.ask(message.id, {"a": "a7", "b": "b7"}[message.key], message.left, answer)

    def _leave(self, message: Message) -> None:
        self.used["leave"] += 1
        message.there, message.heard = False, Heard.NOTHING

    def _beat(self, program: Program) -> None:
        self._pass(TICK)
        program.beat()

    def _look(self, program: Program) -> None:
        self.used["look"] += 1
        program.look()

    def _term(self, program: Program) -> None:
        self.used["term"] += 1
        program.stop()

    def _kill(self, program: Program) -> None:
        self.used["kill"] += 1
        self._gone(program)
        program.kill()

    def _gone(self, program: Program) -> None:
        """Its connections have gone with it: the machine resets them at once."""
        for stream in self.streams:
            if stream.process == program.number:
                stream.state = StreamState.ENDED
        for message in self.messages:
            if message.heard is Heard.WAITS and message.id in program.process.frontend.waiting:
                message.heard, message.there = Heard.NOTHING, False

    def _confirm(self, message: Message, program: Program) -> None:
        self.referee.confirmed(message.id, program.owes()[message.id])
        program.confirm(message.id)

    def _call(self, what: str, stream: ScriptedStream) -> None:
        if what == "go":
            stream.connected()
        elif what == "seen":
            stream.server_closed()
        elif what in ("refuse", "reset"):
            self.used["failure"] += 1
            stream.lose()
        else:
            self.used["failure"] += what != "ok"
            self.referee.answered(stream, ANSWERS[what], self.loop.now)
            stream.answer(b"HTTP/1.1 %d Told\r\nContent-Length: 0\r\n\r\n" % ANSWERS[what])
            self.loop.settle()
            stream.close_behind()
        self.loop.settle()

    def _rest(self) -> None:
        self.used["rest"] += 1
        self.all_beat(REST)

    def _late(self, message: Message) -> None:
        self.used["late"] += 1
        self.all_beat(message.until - EARLY - self.loop.now)

    def all_beat(self, seconds: float) -> None:
        """So much time goes by, and then every process runs its timers and a pass."""
        self._pass(seconds)
        for program in self.living():
            program.beat()
            if program.has_ended():
                self._gone(program)

    def _pass(self, seconds: float) -> None:
        self.loop.now += seconds
        for stream in self.streams:
            if stream.state is StreamState.CLOSING and self.loop.now >= stream.closing_since + CLOSE_SEEN:
                stream.server_closed()
