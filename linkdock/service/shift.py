"""One of the processes that make up a sender while it is upgraded: what it takes up, shares and hears.

Imported where the clients' listening socket is inherited (`RELAY_ACCEPT_FD`), or where such a process left its files.
Two processes are one sender to every rule: a wait told to one binds the other, a server that one has seen fail is met
by the other as from an outage, calls out and open messages are counted together, and so are descriptors and disk.
"""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from ..facade import Facade, Learned
from ..sender.sender import Sender
from ..state import board as notes
from ..state.board import Board, Fact, Reader
from ..state.journal import Journal
from ..state.journal_reader import JournalChanges, OtherJournals
from ..state.journal_records import Kept
from ..state.succession import Left, Succession, numbered
from ..state.table import ServerTable
from .take_up import Taker, TakeUp

if TYPE_CHECKING:
    from .config import Config
    from .operations import Operations

log = logging.getLogger(__name__)

# Parts of the folder for the journal's file and for what is owed. Danger: two files, the new one of a rewrite, and what
# a survivor takes over must fit together.
ALONE_PARTS, ELDER_PARTS, YOUNGER_PARTS = (0.40, 0.25), (0.40, 0.25), (0.30, 0.20)
# Servers of which a newer process is told what was learned.
MOST_LEARNED = 2000


class Shift(Taker):
    """Owner of this process's number, its board, and the readers of the others' boards."""

    def __init__(self, config: Config, clock: Callable[[], float]) -> None:
        """Raises OSError where the folder takes no files."""
        self._config, self._clock = config, clock
        self._succession = Succession(config.state)
        self._board = Board(self._succession.board(self._succession.number))
        self._others: dict[int, Reader | None] = {}
        self._journals = OtherJournals(lambda number: config.state / f"journal.{number}", self._is_ordered)
        self._numbers: list[int] | None = None  # in use at the last look; none before the first
        self._ordered = any(cls.in_order for cls in config.settings.classes)
        self._state = notes.STARTING
        self._handed, self._batches = False, 0
        self._learned_from = 0  # the newest process whose file was read
        self._owes_learned = False  # somebody has come who was not told what is known here of servers
        self.share: Callable[[bool], None] = lambda alive: None  # to be called when another comes or goes
        self._sender: Sender
        self._facade: Facade
        self._table: ServerTable | None = None
        self._operations: Operations | None = None
        self._take_ups: list[TakeUp] = []  # under way, the first before the others
        self._took_slice = False  # by a look, which the next `beat` counts as its own
        self.journal = Journal(config.state, int(config.disk_mb * 1e6), self._succession.journal)
        alive, left = self._succession.look()
        self._meet(alive)
        self._take_up([*left, *self._succession.alone()])
        log.info(
            "process %d of this sender%s",
            self._succession.number,
            f", beside {', '.join(map(str, self._others))}" if self._others else "",
        )

    def join(self, sender: Sender, facade: Facade, table: ServerTable, operations: Operations | None) -> None:
        """From now on facts go both ways; what the others know already comes first."""
        self._sender, self._facade, self._table, self._operations = sender, facade, table, operations
        sender.beside = self
        table.heard = self._wait_told
        self.beat()

    def _is_ordered(self, name: str) -> bool:
        cls = self._config.classes.get(name)
        return cls is not None and self._config.settings.classes[cls].in_order

    # --- Who lives.

    def look(self) -> None:
        """Every now and then: who has come, who has gone, and what the dead left."""
        waits_for_beat = self.taking_up()
        self._look()
        if self.taking_up() and not waits_for_beat:
            self._go_on_taking_up()
            self._took_slice = True

    def _look(self) -> None:
        if self._others and self._operations is not None:
            self._operations.heard()  # until the end: what it still tries again must not go to what is out by hand
        if self._handed:
            return  # Danger: what was handed over would be taken up again
        try:
            self._numbers = numbered(self._config.state)
            alive, left = self._succession.look(frozenset().union(*(one.numbers for one in self._take_ups)))
        except OSError as bad:  # no descriptor for the look: it is made again, and SIGTERM must go on without it
            log.warning("who else lives is not known: %s", bad)
            return
        if alive != list(self._others) or None in self._others.values():
            self._meet(alive)
            self.share(bool(alive))
            if not alive:
                self._together(0, 0)
        for number, reader in self._others.items():
            if reader is not None:
                self._hear(number, reader)
        self._learn()
        self._tell_learned()
        if left:
            self._take_ups.append(TakeUp(self.journal, left, self, self._clock))

    def _meet(self, alive: list[int]) -> None:
        for number in [n for n in self._others if n not in alive]:
            log.info("process %d has ended", number)
            reader = self._others.pop(number)
            if reader is not None:
                self._hear(number, reader)  # its last words
                reader.close()
        for number in alive:
            if self._others.get(number) is None:
                try:
                    self._others[number] = Reader(self._succession.board(number))
                except OSError:  # it has just begun, and has none yet
                    self._others[number] = None
                else:
                    self._tell_again()
        self._others = {number: self._others[number] for number in alive}
        self._journals.follow(alive)
        older = any(number < self._succession.number for number in alive)
        self.journal.hold_at_most(*(YOUNGER_PARTS if older else ELDER_PARTS if alive else ALONE_PARTS))

    # --- What ended processes owed (TakeUp's Taker).

    def _take_up(self, left: list[Left]) -> list[Kept]:
        """What dead processes owed, on record here at once: nobody is served yet."""
        whole = TakeUp(self.journal, left, Taker(), self._clock)
        while whole.advance():
            pass
        self.journal.ended_before += whole.ended
        return whole.owned

    def _go_on_taking_up(self) -> None:
        """One slice. A tick does no more than one, or clients would wait for two at a time."""
        if self._take_ups and not self._take_ups[0].advance():
            del self._take_ups[0]

    def taking_up(self) -> bool:
        """Whether what an ended process left is not all with the sender yet."""
        return bool(self._take_ups)

    def announce(self, found: list[Kept]) -> None:
        """These will be the sender's. Unannounced, what is handed in later of their keys would be sent before them."""
        if self._ordered and (ordered := [kept for kept in found if self._is_ordered(kept.cls)]):
            self._sender.held_elsewhere(JournalChanges(held=ordered))

    def take(self, owned: list[Kept]) -> None:
        """These are the sender's now."""
        self._sender.take_up(owned)

    def _pending(self) -> int:
        return sum(one.pending for one in self._take_ups)

    @property
    def beside(self) -> bool:
        return bool(self._others)

    def hand_over(self, requests: list[str]) -> bool:
        """Leave these to the one that takes clients: it finds them as what an ended process owed."""
        try:
            number, lock = self._succession.spare()
        except OSError as bad:
            log.error("nothing is handed over: %s", bad)
            return False
        folder, self._batches = self._config.state, self._batches + 1
        # Danger: a number that is used again. A record of an earlier batch would be read as one of this.
        beside = folder / f"handed.{self._succession.number}.{self._batches}"
        try:
            done = self.journal.hand_over(requests, beside, folder / f"journal.{number}")
        finally:
            os.close(lock)
        if done:
            self._handed = True
            log.info("%d messages are handed over", len(requests))
        return done

    def relieved(self) -> bool:
        """Whether another process takes clients, so that this one need not any more."""
        return any(reader is not None and reader.figures.state == notes.TAKING for reader in self._others.values())

    # --- What is told.

    def taking(self) -> None:
        self._state = notes.TAKING
        self.beat()

    def leaving(self) -> None:
        self._state = notes.LEAVING
        self.beat()

    def beat(self) -> None:
        """Once a tick, before the decisions' pass."""
        if not self._handed and self._numbers_changed():
            self._look()  # a process that has just begun may have taken what goes before the messages here
        was_taking_up = self._took_slice or self.taking_up()
        if not self._took_slice:
            self._go_on_taking_up()
        self._took_slice = False
        # Also alone: who comes reads it before this process has seen that somebody came.
        self._board.figures(notes.Figures(self._sender.calls_out(), self._sender.open() + self._pending(), self._state))
        self._follow_journals()
        if not self._others and not was_taking_up:
            return  # all of the room is this process's already
        calls = opened = 0
        for number, reader in self._others.items():
            if reader is not None:
                self._hear(number, reader)
                calls, opened = calls + reader.figures.calls, opened + reader.figures.open
        self._together(calls, opened)

    def _numbers_changed(self) -> bool:
        """Whether a process has begun, or the files of one have gone, since the last look.

        Before the first look not all is up: that comes after what is owed was taken up.
        """
        if self._numbers is None:
            return False
        try:
            return numbered(self._config.state) != self._numbers
        except OSError:
            return False

    def _follow_journals(self) -> None:
        """Before the decisions' pass: what other processes took on earlier must be known to it."""
        changes = self._journals.poll(self.journal.kept)
        if changes.held or changes.ended:
            self.journal.seen(kept.taken_at for kept in changes.held)
            self._sender.held_elsewhere(changes)

    def holds(self, request: str) -> bool:
        """Whether another process of this sender, one that has ended among them, has taken this id on."""
        return self._journals.holds(request, self.journal.kept) or any(one.found(request) for one in self._take_ups)

    def _hear(self, number: int, reader: Reader) -> None:
        """Take in what another process has told, and tell on what came from an older one.

        Danger: a third process, which comes when the one that a destination told to wait has long ended. What was heard
        must be on the board of whoever lives. A wait that is known is not told again; of health each fact names who saw
        it, and of a younger one only its own is heard, or two would tell each other the same for ever.
        """
        doubtful: dict[str, float] = {}
        for fact in reader.news():
            if fact.ring == notes.WAITS:
                self._table.wait((fact.number, fact.name) if fact.name else (fact.number,), fact.time)
                continue
            by, state = divmod(fact.number, 2)
            if by != number and number > self._succession.number:
                continue
            if number < self._succession.number:
                self._board.put(fact)
            if state == notes.SUSPECT:
                doubtful.setdefault(fact.name, fact.time)
            else:
                doubtful.pop(fact.name, None)
        if doubtful:
            self._sender.doubted(doubtful)

    def _tell_again(self) -> None:
        """Somebody has come. Danger: many short waits may have pushed a long one out of the ring."""
        if self._table is None:
            return  # this process has just come itself
        for route, until in self._table.in_force(self._clock()):
            self._wait_told(route, until)
        self._owes_learned = True

    def _tell_learned(self) -> None:
        """Not before what older processes told has been taken in here: it would be missing in the file for good."""
        if not self._owes_learned or not self._facade.took_in_learned:
            return
        self._owes_learned = False
        path = self._succession.learned(self._succession.number)
        beside = path.with_name(f"{path.name}.new")
        try:
            beside.write_text(
                json.dumps(
                    [
                        one._replace(since=one.since if one.since != -inf else None)
                        for one in self._facade.learned(MOST_LEARNED)
                    ]
                )
            )
            os.replace(beside, path)
        except OSError as bad:
            log.warning("what was learned is not told: %s", bad)

    def _learn(self) -> None:
        """What older processes have learned, the newest that has told first. Without it all is learned anew.

        One that is held to live may never tell: it hangs, or has ended and a hanging one holds its lock.
        """
        for older in sorted((number for number in self._others if number < self._succession.number), reverse=True):
            if older <= self._learned_from or self._learn_from(older):
                return

    def _learn_from(self, older: int) -> bool:
        """Whether this process has told what it learned; what cannot be read is passed over."""
        try:
            # Danger: a row of another version, which would only be found out in the middle of a tick.
            rows = [
                Learned(str(name), float(limit), float(part), *(None if at is None else float(at) for at in times))
                for name, limit, part, *times in json.loads(self._succession.learned(older).read_bytes())
            ]
        except FileNotFoundError:
            return False
        except (OSError, ValueError, TypeError, OverflowError, RecursionError) as bad:
            log.warning("what process %d has learned cannot be read: %s", older, bad)
        else:
            self._facade.told(rows)
            log.info("%d servers are known from process %d", len(rows), older)
        self._learned_from = older
        return True

    def _together(self, calls: int, opened: int) -> None:
        """The others have so many calls out and messages open: the rest is ours."""
        self._facade.hold_slots(self._config.settings.slots - calls)
        self._sender.hold_at_most(self._config.settings.max_open - opened - self._pending())

    def _wait_told(self, route: tuple, until: float) -> None:
        self._board.put(Fact(notes.WAITS, until, route[0], route[1] if len(route) > 1 else ""))

    def health(self, server: str, state: str) -> None:
        """The decisions have stopped a server, or found it sound. One that only returns is as doubtful as before."""
        states = {"suspect": notes.SUSPECT, "healthy": notes.HEALTHY}
        if state in states:
            number = 2 * self._succession.number + states[state]
            self._board.put(Fact(notes.HEALTH, self._clock(), number, server))

    def close(self) -> None:
        """What is still owed is the next one's as soon as the lock is let go."""
        for reader in self._others.values():
            if reader is not None:
                reader.close()
        for one in self._take_ups:
            one.close()
        self._board.close()
        self._journals.close()
        self.journal.close()
        self._succession.close()
