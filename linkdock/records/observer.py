"""What the sender's parts tell of themselves, one method for each step; it turns them into events.

The parts hold an `Observer` or None. They give plain facts that they have anyway; what is worked out for the
record alone is worked out here, so that a sender without records does none of it.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from itertools import islice

from ..facade import DELIVERED, NEVER_RAN, Item, Server
from ..state.journal_records import Kept
from ..state.requests import Busy, Request, Taken
from . import events as e
from .recorder import Recorder

MOST_NAMED = 100  # rows of one change of the server table, or ids of one post


class Observer:
    """Of one life of one sender."""

    def __init__(self, recorder: Recorder, name: str, classes: dict[str, dict]) -> None:
        self._recorder, self._note = recorder, recorder.note
        self._names = list(classes)
        recorder.begin({"name": name, "format": e.FORMAT, "pid": os.getpid(), "classes": classes})

    # --- The process.

    def ready(self, port: int) -> None:
        self._note(e.READY, port=port)

    def stopping(self) -> None:
        self._note(e.STOPPING)

    def close(self, owed: int) -> None:
        self._note(e.STOPPED, owed=owed)
        self._recorder.close()

    def table(self, version: int, whole: bool, count: int, servers: Iterable[Server]) -> None:
        rows = [[s.name, s.destination, s.health] for s in islice(servers, MOST_NAMED)]
        self._note(e.TABLE, version=version, whole=whole, count=count, changes=rows)

    # --- Clients.

    def joined(self, client: int, peer: str, held: int) -> None:
        self._note(e.JOINED, client=client, peer=peer, held=held)

    def left(self, client: int, why: str, taken: int, commands: int, age: float, idle: float) -> None:
        self._note(
            e.LEFT, client=client, why=why, taken=taken, commands=commands, age=round(age, 3), idle=round(idle, 3)
        )

    # --- A message.

    def handed_in(self, request: Request, cls: str, left: float, again: bool, held: bool) -> None:
        self._note(
            e.HANDED_IN,
            id=request.id,
            client=request.client,
            cls=cls,
            dest=request.destination,
            left=left,
            again=again,
            held=held,
        )

    def refused(self, request: str, cls: str, destination: int, why: str) -> None:
        self._note(e.REFUSED, id=request, cls=cls, dest=destination, why=why)

    def answered(self, request: Request, said: object, heard: bool, until: float, again: bool = False) -> None:
        """`until` is Unix time; `again` where the id was known and nothing new was begun."""
        said = {Taken: "taken", Busy: "busy"}.get(type(said), "failed")
        self._note(
            e.ANSWERED,
            id=request.id,
            client=request.client,
            answer=said,
            cls=self._names[request.cls],
            dest=request.destination,
            until=round(until, 4),
            heard=heard,
            again=again,
        )

    def restored(self, kept: Kept) -> None:
        self._note(
            e.RESTORED,
            id=kept.id,
            cls=kept.cls,
            dest=kept.destination,
            until=round(kept.until, 4),
            used=kept.used,
            doubt=sorted(kept.doubt),
            notice=None if kept.notice is None else kept.notice["status"],
            again=kept.again,
        )

    def resent(self, kept: Kept) -> None:
        self._note(e.RESENT, id=kept.id, cls=kept.cls, dest=kept.destination, until=round(kept.until, 4))

    def dispatched(self, server: str, items: Iterable[Item]) -> None:
        for item in items:
            self._note(e.DISPATCHED, id=item.request, attempt=item.attempt, server=server, limit=round(item.limit, 4))

    def sent(self, server: str, item: Item) -> None:
        self._note(e.SENT, id=item.request, attempt=item.attempt, server=server)

    def held_up(self, server: str, item: Item, why: str) -> None:
        self._note(e.HELD_UP, id=item.request, attempt=item.attempt, server=server, why=why)

    def written(self, server: str, requests: Iterable[str], fresh: bool) -> None:
        self._note(e.WRITTEN, ids=list(requests), server=server, fresh=fresh)

    def wait(self, server: str, route: Iterable[object], seconds: float) -> None:
        self._note(e.WAIT, server=server, route=list(route), seconds=seconds)

    def outcome(self, server: str, item: Item, how: str, elapsed: float, wait: float, over: bool, read: str) -> None:
        """`read` is what came back, in a few words; `ran` is what that proves."""
        ran = e.YES if how == DELIVERED else e.NEVER if how in NEVER_RAN else e.MAYBE
        self._note(
            e.OUTCOME,
            id=item.request,
            attempt=item.attempt,
            server=server,
            how=how,
            ran=ran,
            elapsed=round(elapsed, 4),
            wait=wait,
            over=over,
            read=read,
        )

    def delivered_late(self, request: str) -> None:
        self._note(e.LATE, id=request)

    def over(self, request: str, how: str, left: float) -> None:
        """`left` are the seconds to its deadline as this sender counts it."""
        self._note(e.OVER, id=request, how=how, left=round(left, 4))

    # --- Notices.

    def notice(self, notice: dict) -> None:
        self._note(e.NOTICE, id=notice["id"], status=notice["status"], again_ms=notice.get("again_ms"))

    def posted(self, requests: Iterable[str], fresh: bool, status: int, took: float) -> None:
        """One post is over: `status` 0 where no answer came in time."""
        self._note(e.POSTED, ids=list(requests)[:MOST_NAMED], fresh=fresh, status=status, took=round(took, 4))

    def confirmed(self, request: str) -> None:
        self._note(e.CONFIRMED, id=request)
