"""What ended processes of this sender owed, taken over while clients are served.

A client waits 400 ms for its answer, and hundreds of messages may be left at once. So all that costs time for each
message is done in slices, with other work of the loop between them:

1. the journals that were left are read, and the records that go into this process's own journal are made;
2. these are put on record in one write, and the files that were left are removed;
3. the messages are given to the sender.

A kill may come at any step. Nothing is done about a message before the files that were left are gone (step 2). Until
then they are locked and whole: the next to start reads them once more.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from itertools import islice

from ..state.journal import Journal
from ..state.journal_records import Kept, Replay
from ..state.succession import Left

log = logging.getLogger(__name__)

SLICE = 64  # records read, records made and messages given to the sender, in all, in one turn of the loop
SLICE_SECONDS = 0.01  # after which a turn goes no further, however few it was: a core may be slow, or shared
PART = 8  # of them between two looks at the clock


class Taker:
    """Who is told of the messages. This one does nothing: at a start the sender finds them in the journal."""

    def announce(self, found: list[Kept]) -> None:
        """These were found, and will be this process's own. Until then their keys wait for them."""

    def take(self, owned: list[Kept]) -> None:
        """These are this process's own from now on."""


class TakeUp:
    """Owner of what some ended processes left, until it is removed or given up for a later look."""

    def __init__(self, journal: Journal, left: list[Left], taker: Taker, clock: Callable[[], float]) -> None:
        """`left` names the newest process first: what it says of a message holds. `clock` gives seconds."""
        self._journal, self._left, self._taker, self._clock = journal, left, taker, clock
        self.numbers = frozenset(one.number for one in left)  # of processes whose files are not removed yet
        self.owned: list[Kept] = []  # what was owed and is on record here
        self.ended: list[str] = []  # requests whose end is on record there
        self.pending = 0  # messages found that the sender does not have yet
        self._fresh: dict[str, Kept] = {}  # found, and not on record here before
        self._room, self._until = SLICE, 0.0  # of the slice under way
        self._slices = self._run()

    def advance(self) -> bool:
        """Do one slice; whether more is to be done."""
        self._room, self._until = SLICE, self._clock() + SLICE_SECONDS
        return next(self._slices, False)

    def found(self, request: str) -> bool:
        """Whether it is among what was left, as far as that is read."""
        return request in self._fresh

    def close(self) -> None:
        """Leave what is not on record here as it is, for whoever looks next."""
        self._slices.close()
        self._release()

    def _run(self) -> Iterator[bool]:
        """Pauses, by a yield of True, wherever a slice is over."""
        try:
            yield from self._read()
            records: dict[str, bytes] = {}
            yield from self._make_records(records)
            taken = self._journal.adopt(list(self._fresh.values()), records)
        except (OSError, ValueError, TypeError, KeyError) as bad:
            log.error("what an ended process left cannot be read: %s", bad)
            taken = False
        if not taken:
            self.pending = 0
            self._release()
            return
        self.owned = list(self._fresh.values())
        self._remove()
        yield from self._give()

    def _read(self) -> Iterator[bool]:
        for one in self._left:
            replay = Replay.of(one.journal)
            over = False
            while not over:
                most = self._part()
                read = replay.advance(most)
                over = read < most
                yield from self._spend(read)
            self.ended += replay.ended
            for name, kept in replay.kept.items():
                if name not in self._journal.kept:
                    self._fresh.setdefault(name, kept)
            self.pending = len(self._fresh)

    def _make_records(self, records: dict[str, bytes]) -> Iterator[bool]:
        found = iter(self._fresh.values())
        while part := list(islice(found, self._part())):
            records.update(self._journal.records_of(part))
            self._taker.announce(part)
            yield from self._spend(len(part))

    def _remove(self) -> None:
        """All of it is in this process's journal: the files go before anything is done about it."""
        for one in self._left:
            try:
                one.done()
            except OSError as bad:
                log.error("the files of process %d cannot be removed: %s", one.number, bad)
        if self.owned:
            names = ", ".join(f"process {one.number}" for one in self._left)
            log.info("%d messages of %s are taken up", len(self.owned), names)
        self._left, self.numbers = [], frozenset()

    def _give(self) -> Iterator[bool]:
        waiting = iter(self.owned)
        while part := list(islice(waiting, self._part())):
            self.pending -= len(part)
            self._taker.take(part)
            yield from self._spend(len(part))

    def _part(self) -> int:
        """How many may be handled before the clock is looked at."""
        return min(PART, self._room)

    def _spend(self, records: int) -> Iterator[bool]:
        """So many more were handled. Pauses where the slice is over."""
        self._room -= records
        if not self._room or self._clock() >= self._until:
            yield True

    def _release(self) -> None:
        for one in self._left:
            one.keep()
        self._left, self.numbers = [], frozenset()
