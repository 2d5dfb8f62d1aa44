"""The store: SQLite with a write-ahead log. A sender writes, operators read and state; each step is one transaction.

A message is kept once, by its id and its end: what a restart hands in again changes nothing.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from ..errors import LinkdockError
from .facts import ASKED, CLAIMED, DELIVERED, DROPPED, KEPT, Attempt, Message, Statement, in_doubt, may_be_sent_again
from .settings import Rule, UndeliverableSettings

VERSION = 1
BUSY_S = 5.0  # seconds that one process waits for another's transaction
LARGEST = 64 * 1024  # bytes of one body at most
STEP = 500  # messages that one turn of tidying forgets
SCHEMA = """
create table if not exists messages (
    id text not null, ended real not null, key text not null, cls text not null, destination integer not null,
    until real not null, cause text not null, repeatable integer not null, attempts blob not null, state text not null,
    body blob not null, primary key (id, until)) without rowid;
create index if not exists by_destination on messages (destination, state, ended);
create index if not exists by_age on messages (ended);
create index if not exists by_class on messages (cls, state, ended);
create table if not exists statements (
    id text not null, until real not null, at real not null, who text not null, why text not null, proof text not null,
    upto integer not null);
create index if not exists by_message on statements (id, until);
create index if not exists by_state on messages (state, ended);
create table if not exists resends (
    batch text not null, id text not null, until real not null, who text not null, asked real not null, how text,
    primary key (batch, id, until)) without rowid;
create index if not exists by_resent on resends (id, until);
"""
AT_REST = "state not in ('asked', 'claimed')"  # what is being sent again is never forgotten
COLUMNS = "id, ended, key, cls, destination, until, cause, repeatable, attempts, state, body"


class StoreError(LinkdockError):
    """The store cannot be used, or not for this. The text names the file or the message."""

    code = "LD-STORE"
    what = "the store of undeliverable messages cannot be used, or not for this"
    remedy = "Look at the file that is named: whether it is a sender's store, may be written, and its disk has room"


class Filter(msgspec.Struct, frozen=True, kw_only=True):
    """Which messages; what is None does not matter. Times are seconds of Unix time."""

    destination: int | None = None
    cls: str | None = None
    cause: str | None = None
    state: str | None = KEPT
    since: float | None = None
    before: float | None = None
    doubt: bool | None = None
    id: str | None = None

    def where(self) -> tuple[str, list]:
        """The condition of an SQL query and its values."""
        words, values = ["1"], []
        for column, sign, value in (
            ("destination", "=", self.destination),
            ("cls", "=", self.cls),
            ("cause", "=", self.cause),
            ("state", "=", self.state),
            ("ended", ">=", self.since),
            ("ended", "<", self.before),
            ("id", "=", self.id),
        ):
            if value is not None:
                words.append(f"{column} {sign} ?")
                values.append(value)
        return " and ".join(words), values


class Store:
    """Owner of one connection to the file. Used by one thread."""

    def __init__(self, path: Path, write: bool) -> None:
        """Raises StoreError for a file that cannot be opened, is no store, or is damaged."""
        self._path = path
        if not write and not path.exists():
            raise StoreError(f"{path}: no such file")
        try:
            self._db = sqlite3.connect(path, timeout=BUSY_S, isolation_level=None)
            version = self._db.execute("pragma user_version").fetchone()[0]
            tables = self._db.execute("select count(*) from sqlite_master").fetchone()[0]
            if tables and version != VERSION:
                raise StoreError(f"{path}: version {version}, not {VERSION}: no store of undeliverable messages")
            if write:
                self._db.execute("pragma journal_mode = wal")
                self._db.execute("pragma synchronous = normal")
                self._db.execute("pragma cache_size = -1024")  # KB: the sender's memory is short
                self._db.executescript(SCHEMA + f"pragma user_version = {VERSION};")
            elif not tables:
                raise StoreError(f"{path}: no store of undeliverable messages")
        except sqlite3.Error as bad:
            raise StoreError(f"{path}: {bad}") from None

    @contextmanager
    def _step(self) -> Iterator[sqlite3.Connection]:
        """One transaction: all of it or nothing, also where the disk is full or a page is damaged."""
        try:
            self._db.execute("begin immediate")
            yield self._db
            self._db.execute("commit")
        except sqlite3.Error as bad:
            self._back()
            raise StoreError(f"{self._path}: {bad}") from None
        except BaseException:
            self._back()
            raise

    def _back(self) -> None:
        if self._db.in_transaction:
            try:
                self._db.execute("rollback")
            except sqlite3.Error:
                pass  # a disk that is full may have rolled it back already

    # --- What a sender does.

    def keep(self, messages: Iterable[Message]) -> None:
        """Keep these; one that is kept already stays as it is."""
        with self._step() as db:
            db.executemany(
                f"insert or ignore into messages ({COLUMNS}) values (?,?,?,?,?,?,?,?,?,?,?)",
                [
                    (
                        m.id,
                        m.ended,
                        m.key,
                        m.cls,
                        m.destination,
                        m.until,
                        m.cause,
                        m.repeatable,
                        msgspec.json.encode(m.attempts),
                        m.state,
                        m.body,
                    )
                    for m in messages
                ],
            )

    def tidy(self, settings: UndeliverableSettings, now: float) -> int:
        """Forget what is too old or too much; how many went. Of many, the oldest of who has the most go first.

        Danger: one shut member whose messages push out all others'. Each destination has its own bound, by count and by
        bytes; beyond the bound of all, the destination with the most gives up its oldest.
        """
        with self._step() as db:
            gone = db.execute(
                f"delete from messages where ended < ? and {AT_REST}", (now - settings.keep_days * 86400,)
            ).rowcount
            full = db.execute(
                f"select destination, count(*) from messages where {AT_REST} group by destination"
            ).fetchall()
            total = sum(count for _, count in full)
            for destination, count in sorted(full, key=lambda row: -row[1]):
                much = max(count - settings.most_each, 0)
                # Bytes are counted only where so many messages can be too much: that reads all of their bodies.
                size = 0
                if count * LARGEST > settings.most_each_mb * 1e6:
                    size = (
                        db.execute(
                            f"select sum(length(body)) from messages where destination = ? and {AT_REST}",
                            (destination,),
                        ).fetchone()[0]
                        or 0
                    )
                if size > settings.most_each_mb * 1e6:
                    much = max(much, int(count * (1 - settings.most_each_mb * 1e6 / size)) + 1)
                if total - gone > settings.most:
                    much = max(much, min(count, total - gone - settings.most))
                if much > 0:
                    gone += self._forget(db, destination, min(much, STEP))
            for table in ("statements", "resends") if gone else ():
                db.execute(
                    f"delete from {table} where not exists (select 1 from messages m where m.id = {table}.id "
                    f"and m.until = {table}.until)"
                )
        return gone

    @staticmethod
    def _forget(db: sqlite3.Connection, destination: int, count: int) -> int:
        return db.execute(
            "delete from messages where (id, until) in (select id, until from messages where destination = ? "
            f"and {AT_REST} order by ended limit ?)",
            (destination, count),
        ).rowcount

    # --- Sent again. The sender in whose folder the store lies is the only one that dispatches.

    def ask(self, batch: str, who: str, messages: list[Message]) -> tuple[int, dict[str, int]]:
        """An operator wants these sent again: how many were put in line, and why the others were not.

        Idempotent by `batch`: one that was asked for before changes nothing. Danger: two operators at once. Each
        message is looked at again within the transaction, and is in line once, whatever asks for it.
        """
        refused: dict[str, int] = {}
        with self._step() as db:
            if db.execute("select 1 from resends where batch = ? limit 1", (batch,)).fetchone():
                return 0, {"this batch was asked for already": len(messages)}
            count = 0
            for told in messages:
                known = self.find(Filter(id=told.id, state=None))
                found = next(((m, s) for m, s in known if m.until == told.until), None)
                why = "is gone" if found is None else may_be_sent_again(*found)
                if why is not None:
                    refused[why] = refused.get(why, 0) + 1
                    continue
                db.execute("update messages set state = ? where id = ? and until = ?", (ASKED, told.id, told.until))
                db.execute(
                    "insert into resends (batch, id, until, who, asked) values (?,?,?,?,?)",
                    (batch, told.id, told.until, who, time.time()),
                )
                count += 1
        return count, refused

    def by_rule(self, number: int, rule: Rule, now: float, most: int) -> int:
        """Put in line what a rule wants sent again now; how many. Doubt is no rule's to end."""
        due = []
        which = Filter(cls=rule.cls, cause=rule.cause, since=now - rule.until_s, before=now - rule.after_s, doubt=False)
        for message, said in self.find(which):
            if may_be_sent_again(message, said) is not None:
                continue
            times, last = self._db.execute(
                "select count(*), max(asked) from resends where id = ? and until = ?", (message.id, message.until)
            ).fetchone()
            # Danger: a clock that was set back. What was asked for in the future counts as asked for now.
            if times < rule.times and (last is None or min(last, now) <= now - rule.every_s):
                due.append(message)
                if len(due) >= most:
                    break
        return self.ask(f"rule {number} at {now:.3f}", f"rule {number}", due)[0] if due else 0

    def claim(self, most: int, busy: dict[int, int], most_each: int) -> list[Message]:
        """Take messages from the line, the longest ended first; so many of each destination, the `busy` among them."""
        with self._step() as db:
            if not db.execute("select 1 from messages where state = ? limit 1", (ASKED,)).fetchone():
                return []
            room, taken = dict(busy), []
            for message, _ in self.find(Filter(state=ASKED)):
                if len(taken) >= most:
                    break
                if room.get(message.destination, 0) < most_each:
                    room[message.destination] = room.get(message.destination, 0) + 1
                    taken.append(message)
            db.executemany(
                "update messages set state = ? where id = ? and until = ?", [(CLAIMED, m.id, m.until) for m in taken]
            )
        return taken

    def claimed(self) -> list[Message]:
        """What an earlier life had taken from the line, and has told nothing of since."""
        return [m for m, _ in self.find(Filter(state=CLAIMED))]

    def unclaim(self, messages: list[Message]) -> None:
        """Back in line: proven not to have been dispatched."""
        with self._step() as db:
            db.executemany(
                "update messages set state = ? where id = ? and until = ? and state = ?",
                [(ASKED, m.id, m.until, CLAIMED) for m in messages],
            )

    def outcome(self, message: Message, delivered: bool, attempts: list[Attempt]) -> None:
        """What became of one that was claimed: delivered, or kept again with the attempts that were added."""
        first = len(message.attempts)
        state = DELIVERED if delivered else KEPT
        every = [*message.attempts, *(Attempt(first + a.number, a.proof) for a in attempts)]
        with self._step() as db:
            db.execute(
                "update messages set state = ?, attempts = ? where id = ? and until = ? and state = ?",
                (state, msgspec.json.encode(every), message.id, message.until, CLAIMED),
            )
            db.execute(
                "update resends set how = ? where id = ? and until = ? and how is null",
                (state, message.id, message.until),
            )

    # --- What operators do.

    def find(self, which: Filter, most: int = -1) -> Iterator[tuple[Message, list[Statement]]]:
        """Messages and what was stated of them, the oldest first."""
        where, values = which.where()
        try:
            for row in self._db.execute(f"select {COLUMNS} from messages where {where} order by ended, id", values):
                if most == 0:
                    return
                message = Message(
                    id=row[0],
                    ended=row[1],
                    key=row[2],
                    cls=row[3],
                    destination=row[4],
                    until=row[5],
                    cause=row[6],
                    repeatable=bool(row[7]),
                    attempts=msgspec.json.decode(row[8], type=list[Attempt]),
                    state=row[9],
                    body=row[10],
                )
                said = [
                    Statement(at=at, who=who, why=why, proof=proof, upto=upto)
                    for at, who, why, proof, upto in self._db.execute(
                        "select at, who, why, proof, upto from statements where id = ? and until = ? "
                        "order by at, rowid",
                        (message.id, message.until),
                    )
                ]
                if which.doubt is None or in_doubt(message, said) is which.doubt:
                    most -= 1
                    yield message, said
        except (sqlite3.Error, msgspec.MsgspecError) as bad:
            raise StoreError(f"{self._path}: {bad}") from None

    def state(self, message: Message, statement: Statement) -> None:
        """Put a statement on record. Raises StoreError for a message that is not in doubt."""
        with self._step() as db:
            known = list(self.find(Filter(id=message.id, state=None)))
            said = next((s for m, s in known if m.until == message.until), None)
            if said is None or not in_doubt(message, said):
                raise StoreError(f"{message.id}: is not in doubt")
            db.execute(
                "insert into statements (id, until, at, who, why, proof, upto) values (?,?,?,?,?,?,?)",
                (
                    message.id,
                    message.until,
                    statement.at,
                    statement.who,
                    statement.why,
                    statement.proof,
                    statement.upto,
                ),
            )

    def drop(self, messages: list[Message]) -> int:
        """Never to be sent again; what is known of them stays until it is too old. How many were not dropped before."""
        with self._step() as db:
            return sum(
                db.execute(
                    "update messages set state = ? where id = ? and until = ? and state = ?",
                    (DROPPED, m.id, m.until, KEPT),
                ).rowcount
                for m in messages
            )

    def stats(self) -> list[dict]:
        """By destination, class and cause: how many, how many in doubt, bytes, the oldest's age in seconds."""
        groups: dict[tuple, dict] = {}
        now = time.time()
        for message, said in self.find(Filter()):
            row = groups.setdefault(
                (message.destination, message.cls, message.cause),
                {
                    "destination": message.destination,
                    "class": message.cls,
                    "cause": message.cause,
                    "messages": 0,
                    "in doubt": 0,
                    "may be sent": 0,
                    "bytes": 0,
                    "oldest_s": 0.0,
                },
            )
            row["messages"] += 1
            row["in doubt"] += in_doubt(message, said)
            row["may be sent"] += may_be_sent_again(message, said) is None
            row["bytes"] += len(message.body)
            row["oldest_s"] = max(row["oldest_s"], round(now - message.ended, 1))
        return sorted(groups.values(), key=lambda row: -row["messages"])

    def __enter__(self) -> Store:
        """The store itself; it is closed at the block's end."""
        return self

    def __exit__(self, *why: object) -> None:
        """Close the store."""
        self.close()

    def close(self) -> None:
        """Close the database."""
        self._db.close()
