"""The journal: bytes of an open message on disk and in memory, bytes written for a delivered one, time of a restart."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from ...state.journal import Journal
from ...state.journal_records import Kept
from .measuring import grown
from .rows import Figure

BODY = 400  # bytes of a message's body
AMPLE = 1 << 40  # bytes that the folder may take: no bound


def message(number: int, random: Random) -> Kept:
    """An open message as the journal keeps it, with a body of BODY bytes for a drawn destination."""
    return Kept(f"{number:016x}", f"{number % 1000:08x}", "order", random.randrange(1_300_000), 2e9, bytes(BODY))


def measure(size: int, seed: int) -> list[Figure]:
    """So many open messages, each taken; then the restart of the process that holds them."""
    random = Random(seed)
    with TemporaryDirectory(prefix="linkdock-scale-") as name:
        folder = Path(name)
        journal = Journal(folder, AMPLE)
        began = time.process_time()
        for number in range(size):
            journal.take(message(number, random))
        taking = time.process_time() - began
        on_disk = (folder / "journal").stat().st_size
        for number in range(size):
            journal.sent(f"{number:016x}", 0)
        sent = (folder / "journal").stat().st_size - on_disk
        journal.close()
        began = time.process_time()
        journal = Journal(folder, AMPLE)
        restart = time.process_time() - began
        assert len(journal.kept) == size
        journal.close()
        memory, journal = grown(lambda: Journal(folder, AMPLE))
        before = (folder / "journal").stat().st_size
        journal.end(f"{0:016x}")
        ended = (folder / "journal").stat().st_size - before
        journal.close()
    return [
        Figure("bytes on disk", "B", on_disk),
        Figure("bytes on disk a message", "B", on_disk / size),
        Figure("bytes written a delivered message", "B", on_disk / size + sent / size + ended),
        Figure("memory", "B", memory),
        Figure("memory a message", "B", memory / size),
        Figure("processor time of a take", "s", taking / size),
        Figure("processor time of a restart", "s", restart),
    ]
