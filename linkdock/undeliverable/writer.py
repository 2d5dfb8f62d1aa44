"""The way of messages into the store: beside the loop, and behind everything that clients and the platform hear.

The journal holds a message until the store has it: it is released by the store's commit, or at once where the store
cannot take it. Then all is as without a store, and one log line says so.
"""

from __future__ import annotations

import asyncio
import logging
import queue
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from pathlib import Path

from ..errors import log_line
from ..state.journal import Journal
from ..state.journal_records import Kept
from .facts import DONE, Attempt, Message, attempts_of
from .settings import read
from .store import Store, StoreError

log = logging.getLogger(__name__)

MOST_WAITING = 1024  # messages on their way to the store; beyond, they are not kept
BATCH = 200  # in one transaction
TIDY_EVERY = 30.0  # seconds between looks for what is to be forgotten
LOOK_EVERY = 0.5  # seconds between looks for what operators want sent again
RULES_EVERY = 5.0  # seconds between looks for what rules want sent again
REFUSED_FOR = 1.0  # seconds until a destination is tried again whose message could not be taken on
AGAIN_AFTER = 5.0  # seconds until a store that failed is tried again
END_WAIT = 0.3  # seconds that the end of the process waits for the writer


class Undeliverable:
    """Owner of the writing thread, which owns the store, and of what is being sent again.

    Danger: an order that takes effect twice by a resend. One that is claimed is taken into the journal before anything
    is dispatched, and held there until its outcome is in the store. So after a kill, what is claimed and is not in the
    journal was never dispatched, and goes back in line; what is there goes on by the journal's rules.
    """

    def __init__(self, text: bytes, folder: Path, journal: Journal, loop: asyncio.AbstractEventLoop) -> None:
        """Read the settings from `text`; the store lies in `folder`, and its thread begins at `start`."""
        self._settings, self._journal, self._loop = read(text), journal, loop
        self._path = folder / self._settings.file
        self._waiting: queue.Queue[Callable[[Store], None] | Message | None] = queue.Queue(MOST_WAITING)
        self._failing = False
        self.again: dict[str, Message] = {}  # by id: claimed, and in the journal
        self._taken = 0  # claimed, and on their way to the loop
        self._refused: dict[int, float] = {}  # destinations that could not be served again: until when they wait
        self._closed = self.readable = False  # whether the store could be read at the start
        self._resend: Callable[[Message], bool] = lambda message: False
        try:
            store = Store(self._path, write=True)
            claimed = store.claimed()
            begun = {name for name, kept in journal.kept.items() if kept.again}
            store.unclaim([m for m in claimed if m.id not in begun])
            store.close()
            for message in claimed:
                if message.id in begun:
                    self.again[message.id] = message
                    journal.hold(message.id)
            self.readable = True
        except StoreError as bad:
            # Danger: a folder that is read-only, a page that is damaged. The sender serves all the same.
            self._fails(log_line(bad))
        self._thread = threading.Thread(target=self._run, name="undeliverable", daemon=True)

    def start(self, resend: Callable[[Message], bool]) -> None:
        """Begin, once the journal is restored. `resend` takes a message on as new work, or says that it cannot."""
        self._resend = resend
        self._thread.start()

    def _put(self, work: Callable[[Store], None] | Message | None) -> bool:
        try:
            self._waiting.put_nowait(work)
        except queue.Full:
            return False
        return True

    def keep(self, kept: Kept, cause: str, repeatable: bool, ran: bool) -> None:
        """A message's end was told and it was not delivered, or too late (`ran`)."""
        message = Message(
            id=kept.id,
            key=kept.key,
            cls=kept.cls,
            destination=kept.destination,
            body=kept.body,
            until=kept.until,
            ended=self._journal.clock.now(),
            cause=cause,
            repeatable=repeatable,
            attempts=self._attempts(kept, ran),
        )
        if self._failing:
            return
        if self._put(message):
            self._journal.hold(kept.id)
        else:
            log.warning("%s is not kept: the store is too slow", kept.id)

    @staticmethod
    def _attempts(kept: Kept, ran: bool) -> list[Attempt]:
        attempts = attempts_of(kept.used, kept.doubt)
        if ran:
            return [Attempt(a.number, DONE if a.number in kept.doubt else a.proof) for a in attempts]
        return attempts

    # --- Sent again.

    def over(self, kept: Kept, delivered: bool) -> None:
        """One that was sent again has its end: into the store first, then out of the journal.

        Where the store fails it stays in the journal, and the next life tells it.
        """
        message = self.again.pop(kept.id)
        attempts = self._attempts(kept, delivered)

        def tell(store: Store) -> None:
            store.outcome(message, delivered, attempts)
            self._release([message.id])

        if not self._put(tell):
            log.warning("%s: what became of it is told by the next life: the store is too slow", kept.id)

    def _claim(self, store: Store) -> None:
        now = time.monotonic()
        self._refused = {d: until for d, until in self._refused.items() if until > now}
        busy = Counter(m.destination for m in list(self.again.values()))
        # Danger: a member that is gone, at the head of the line. It would be claimed again and again, and nobody else.
        busy.update(dict.fromkeys(self._refused, self._settings.again_each))
        room = self._settings.again_most - len(self.again) - self._taken
        messages = store.claim(room, busy, self._settings.again_each) if room > 0 else []
        if messages:
            self._taken = len(messages)
            self._in_loop(lambda: self._take(messages))

    def _take(self, messages: list[Message]) -> None:
        self._taken = 0
        back = []
        for message in messages:
            if not self._closed and message.id not in self._journal.kept and self._resend(message):
                self.again[message.id] = message
            else:
                back.append(message)
                self._refused = {**self._refused, message.destination: time.monotonic() + REFUSED_FOR}
        if back:
            self._put(lambda store: store.unclaim(back))  # else the next life does

    # --- The thread.

    def _run(self) -> None:
        store, tidied, looked, ruled, over = None, 0.0, 0.0, 0.0, False
        work: deque[Callable[[Store], None]] = deque()  # outcomes: kept until the store has taken them
        while not over:
            batch = []
            try:
                one = self._waiting.get(timeout=AGAIN_AFTER if self._failing else LOOK_EVERY)
                while one is not None:
                    (batch if isinstance(one, Message) else work).append(one)
                    if len(batch) + len(work) >= BATCH:  # Danger: what has been taken out must have been put in
                        break
                    one = self._waiting.get_nowait()
                over = one is None
            except queue.Empty:
                pass
            try:
                store = store or Store(self._path, write=True)
                if batch:
                    store.keep(batch)
                while work:
                    work[0](store)
                    work.popleft()
                now = time.monotonic()
                if now - ruled >= RULES_EVERY and not over:
                    ruled = now
                    for n, rule in enumerate(self._settings.rules):
                        count = store.by_rule(n, rule, self._journal.clock.now(), BATCH)
                        if count:
                            log.info("%d undeliverable messages are sent again by rule %d", count, n)
                if now - looked >= LOOK_EVERY and not over:
                    looked = now
                    self._claim(store)
                if now - tidied >= TIDY_EVERY and not over:
                    tidied = now
                    gone = store.tidy(self._settings, self._journal.clock.now())
                    if gone:
                        log.info("%d undeliverable messages were forgotten: too old or too many", gone)
                self._failing = False
            except Exception as bad:
                # Danger: a thread that dies unseen. What it holds in the journal would never be released, and fill it.
                if not isinstance(bad, StoreError):
                    log.exception("the store of undeliverable messages failed")
                if store is not None:
                    store.close()
                store = None
                self._fails(log_line(bad))
            self._release([m.id for m in batch])
        if store is not None:
            store.close()

    def _fails(self, why: str) -> None:
        if not self._failing:
            log.error("undeliverable messages are not kept: %s", why)
        self._failing = True

    def _release(self, ids: list[str]) -> None:
        if ids:
            self._in_loop(lambda: [self._journal.release(name) for name in ids])

    def _in_loop(self, call: Callable[[], object]) -> None:
        try:
            self._loop.call_soon_threadsafe(call)
        except RuntimeError:
            pass  # the loop has ended; the next life finds it in the journal

    def close(self) -> None:
        """What is on its way is waited for a moment; the rest the next life finds in the journal."""
        self._closed = True
        if self._thread.is_alive() and self._put(None):
            self._thread.join(END_WAIT)
