"""Races of a restart: what one life left, whatever the next one's settings are, and a journal that has suffered."""

import contextlib
import errno
import json
import os
import socket
import struct
import threading
import time
import zlib

import pytest
from peers import CLASSES, PATIENCE, ROOT, UNHURRIED, Backend, owed, settings, settled

from linkdock.state import journal as journals
from linkdock.state.journal import Journal, Kept


def message(name, **more):
    return Kept(**{"id": name, "key": "0" * 16, "cls": "preview", "destination": 1, "until": 2e9,
                   "body": name.encode(), **more})


def left_behind(program, *messages):
    """What a life that has ended owes; the program must not run."""
    journal = Journal(program.state, 3_000_000)
    for kept in messages:
        assert journal.take(kept)
    journal.close()


def ended(start, servers, **more):
    """A program whose first life is over."""
    program = start(servers, **more)
    program.kill()
    return program


def served(server, count):
    """So many calls, each answered; the ids."""
    ids = []
    for _ in range(count):
        line, (_, headers, _) = server.take()
        ids.append(headers["x-trace-id"])
        line.answer(200, Connection="close")
    return sorted(ids)


# --- Other settings than in the life before.


def test_a_key_that_names_no_order_does_not_end_the_start_of_a_class_that_goes_in_order_now(start):
    server = Backend("s1")
    program = ended(start, [server], grades=[{**CLASSES[0], "keep-order": True}, CLASSES[1]])
    left_behind(program, message("aa01", key="no:hex", until=time.time() + 6), message("aa02", until=time.time() + 6))
    program.start()
    assert served(server, 2) == ["aa01", "aa02"]
    settled(program.client())
    assert any("aa01" in line and "hexadecimal" in line for line in program.log)


def test_what_has_no_try_left_ends_at_once_and_goes_out_no_more(start):
    server = Backend("s1")
    program = start([server], limits__max_attempts=2, grades=UNHURRIED)
    assert program.client().enqueue("aa01", d=30_000) == "+OK"
    line, _ = server.take()
    line.answer(500, Connection="close")
    server.take()   # the last one is out when the life ends
    program.kill()
    program.start()
    assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"}
    assert server.quiet()
    settled(program.client())
    program.kill()
    assert not owed(program)


def test_a_class_that_is_gone_ends_its_messages_with_a_line_and_nothing_else(start):
    server = Backend("s1")
    program = ended(start, [server], admin="127.0.0.1:0")
    left_behind(program, message("aa01", cls="gone"), message("aa02", cls="gone", doubt={0}, used=1),
                message("aa03", until=time.time() + 6))
    program.start()
    assert {program.discovery.notice()["id"] for _ in range(2)} == {"aa01", "aa02"}
    assert served(server, 1) == ["aa03"]
    assert any("gone" in line and "aa01" in line for line in program.log)


@pytest.mark.parametrize("before, after, again", [
    ("read_like", "non_idempotent", False), ("non_idempotent", "read_like", True),
    ("read_like", "idempotency_key", False)])
def test_a_class_with_another_effect_goes_by_the_new_one(start, before, after, again):
    server = Backend("s1")
    program = start([server], grades=[{**UNHURRIED[0], "idempotency": before}, CLASSES[1]])
    assert program.client().enqueue("aa01", d=30_000) == "+OK"
    server.take()
    program.kill()
    program.rewrite(settings=settings(grades=[{**UNHURRIED[0], "idempotency": after, "window": 4.0}, CLASSES[1]]))
    program.start()
    if again:
        assert served(server, 1) == ["aa01"]
    else:
        assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"} and server.quiet()
    settled(program.client())


def test_a_clock_that_was_set_back_holds_nothing_for_longer_than_it_may_last(start):
    server = Backend("s1", destination=2)
    program = ended(start, [server], grades=[{**CLASSES[0], "hard-limit": 0.5, "aim": 0.2},
                                             {**CLASSES[1], "hard-limit": 0.5, "aim": 0.2}])
    left_behind(program, message("aa01", until=time.time() + 3600))
    began = time.monotonic()
    program.start()
    assert program.discovery.notice()["id"] == "aa01" and time.monotonic() - began < 10


# --- A journal that has suffered.


def record(kind, head, body=b""):
    text = head if isinstance(head, bytes) else json.dumps(head).encode()
    rest = kind + struct.pack("<H", len(text)) + text + body
    return struct.pack("<II", len(rest), zlib.crc32(rest)) + rest


HEAD = {"id": "bad", "key": "0", "cls": "preview", "destination": 1, "until": 2e9, "used": 0, "doubt": []}
SPOILT = {
    "zeros": bytes(4096), "noise": bytes(range(256)) * 3, "a length of none": struct.pack("<II", 0, 0),
    "another version": record(b"T", {**HEAD, "shade": 1}), "an unknown kind": record(b"Z", HEAD),
    "no id": record(b"E", {}), "no object": record(b"N", [1]), "no JSON": record(b"T", b"\xff{"),
    "deep": record(b"T", b"[" * 60_000), "a short head": struct.pack("<II", 2, zlib.crc32(b"T\0")) + b"T\0",
    "no name": record(b"T", {**HEAD, "id": 7}), "no time": record(b"T", {**HEAD, "until": "soon"}),
    "never": record(b"T", {**HEAD, "until": float("nan")}), "for ever": record(b"T", {**HEAD, "until": 10 ** 400}),
    "no number": record(b"T", {**HEAD, "used": -1}), "tries": record(b"T", {**HEAD, "doubt": ["0"]}),
    "nowhere": record(b"T", {**HEAD, "destination": 1 << 70}), "no notice": record(b"T", {**HEAD, "notice": 3}),
    "an odd try": record(b"S", {"id": "aa01", "n": "x"}), "a long try": record(b"S", {"id": "aa01", "n": 1 << 80}),
    "an odd notice": record(b"O", {"id": "aa01", "notice": {}}), "moved": record(b"M", {"in": "x", "ids": [[]]}),
    "a try of none": record(b"S", {"id": "aa01"})}


@pytest.mark.parametrize("spoilt", SPOILT.values(), ids=SPOILT)
def test_a_spoilt_record_costs_itself_and_nothing_else(tmp_path, spoilt, caplog):
    journal = Journal(tmp_path, 3_000_000)
    journal.take(message("aa01"))
    journal.close()
    with open(tmp_path / "journal", "ab") as file:
        file.write(spoilt)
    with open(tmp_path / "journal", "ab") as file:
        file.write(record(b"T", {**HEAD, "id": "aa02"}, b"two") + record(b"S", {"id": "aa01", "n": 0}))
    after = Journal(tmp_path, 3_000_000)
    assert set(after.kept) == {"aa01", "aa02"} and after.kept["aa02"].body == b"two"
    assert after.kept["aa01"].doubt == {0} and after.kept["aa01"].used == 1 and after.kept["aa01"].notice is None
    assert "journal" in caplog.text
    after.end("aa01")
    after.close()
    assert set(Journal(tmp_path, 3_000_000).kept) == {"aa02"}


def test_a_byte_that_has_flipped_costs_one_record(tmp_path):
    journal = Journal(tmp_path, 3_000_000)
    for n in range(3):
        journal.take(message(f"aa0{n}", body=b"x" * 40))
    journal.close()
    data = (tmp_path / "journal").read_bytes()
    for at in range(len(data) // 3 + 4, 2 * len(data) // 3):   # beyond its length: one too long looks torn
        (tmp_path / "journal").write_bytes(data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1:])
        after = Journal(tmp_path, 3_000_000)
        assert set(after.kept) == {"aa00", "aa02"}, at
        after.close()


def test_wherever_a_journal_is_cut_what_stands_before_counts(tmp_path):
    journal = Journal(tmp_path, 3_000_000)
    for n in range(3):
        journal.take(message(f"aa0{n}"))
    journal.close()
    data = (tmp_path / "journal").read_bytes()
    for size in range(len(data)):
        (tmp_path / "journal").write_bytes(data[:size])
        after = Journal(tmp_path, 3_000_000)
        assert len(after.kept) == size * 3 // len(data)
        assert after.take(message("bb01"))
        after.close()
        assert "bb01" in Journal(tmp_path, 3_000_000).kept


def test_an_id_that_is_owed_already_is_not_taken_on_once_more(tmp_path):
    journal = Journal(tmp_path, 100_000)
    assert journal.take(message("aa01", body=b"x" * 9000))
    journal.notice("aa01", {"id": "aa01", "status": "deferred"})
    assert not journal.take(message("aa01", body=b"another"))
    journal.end("aa01")
    assert journal.take(message("aa01"))
    journal.close()
    with open(tmp_path / "journal", "ab") as file:   # an earlier version wrote so
        file.write(record(b"T", {**HEAD, "id": "aa01"}, b"x" * 30_000) * 3)
    after = Journal(tmp_path, 100_000)
    assert set(after.kept) == {"aa01"} and after.take(message("aa02", body=b"x" * 2000))


# --- A disk that is full, or can only be read.


class IllOs:
    """The calls that change a disk fail from the nth on; a write may leave half of it there."""

    CHANGES = ("write", "open", "ftruncate", "replace", "unlink")

    def __init__(self, well_for, half):
        self.left, self.half = well_for, half

    def __getattr__(self, name):
        return self.call(name) if name in self.CHANGES else getattr(os, name)

    def call(self, name):
        def tried(*arguments, **more):
            if self.left <= 0 and not (name == "open" and not arguments[1] & os.O_CREAT):
                if name == "write" and self.half:
                    os.write(arguments[0], arguments[1][:len(arguments[1]) // 2])
                raise OSError(errno.EROFS, "Read-only file system")
            self.left -= 1
            return getattr(os, name)(*arguments, **more)
        return tried


def on_an_ill_disk(folder, monkeypatch, ill):
    journal = Journal(folder, 40_000)
    monkeypatch.setattr(journals, "os", ill)
    monkeypatch.setattr(journals.Path, "unlink", lambda self, missing_ok=False: ill.unlink(self))
    taken, sent = set(), set()
    for n in range(12):
        name = f"aa{n:02}"
        if journal.take(message(name, body=b"x" * 1500)):
            taken.add(name)
        if journal.sent(name, 0):
            sent.add(name)
        journal.never(name, 0)
        journal.notice(name, {"id": name, "status": "undeliverable"})
        if n % 3 == 0:
            journal.end(name)
            taken.discard(name)
    journal.adopt([message("cc01")])
    journal.hand_over(sorted(taken)[:1], folder / "handed.1.1", folder / "journal.2")
    monkeypatch.undo()
    assert all(kept.notice for kept in journal.kept.values() if kept.id in taken)   # a rewrite puts it on record
    assert journal.take(message("bb01")) and journal.sent("bb01", 3)
    journal.close()
    after = {**journals.owed(folder / "journal"), **journals.owed(folder / "journal.2")}
    assert taken <= after.keys() and after["bb01"].used == 4
    assert all(after[name].used for name in sent & taken)


@pytest.mark.parametrize("half", [False, True])
def test_a_disk_that_takes_no_more_stops_nothing_that_serves(tmp_path, monkeypatch, half):
    """From any call on: nothing raises, what is said to be on record is, and all goes on once it takes files again."""
    for begins in range(200):
        (folder := tmp_path / str(begins)).mkdir()
        ill = IllOs(begins, half)
        on_an_ill_disk(folder, monkeypatch, ill)
        if ill.left > 0:
            return
    raise AssertionError("it never came to its end")


# --- A kill between any two steps of a message.

KILLS = """
import os, signal
if os.environ.get("KILL_AT"):
    from linkdock.state import journal
    from tornado.iostream import IOStream
    left, write, send = [int(os.environ["KILL_AT"])], os.write, IOStream.write_to_fd

    def step():
        left[0] -= 1
        if not left[0]:
            os.kill(os.getpid(), signal.SIGKILL)

    class Os:
        def __getattr__(self, name):
            return recorded if name == "write" else getattr(os, name)

    def recorded(file, data):
        step()
        return write(file, data)

    def sent(self, data):
        if bytes(data[:4]) in (b"+OK\\r", b"POST"):
            step()
        return send(self, data)
    journal.os, IOStream.write_to_fd = Os(), sent
"""


@pytest.mark.parametrize("cls, script, steps", [
    ("order", (503, 200), 8), ("order", (500,), 7), ("preview", (500, 200), 7)],
    ids=["never ran", "notice", "repeated"])
def test_a_kill_between_any_two_steps_ends_a_message_once(start, tmp_path, monkeypatch, cls, script, steps):
    """A step is a record, +OK, the bytes of a call or of a notice; the kill comes right before each."""
    (tmp_path / "sitecustomize.py").write_text(KILLS)
    monkeypatch.setenv("PYTHONPATH", f"{tmp_path}:{ROOT}")
    server, at = Backend("s1"), 0
    program, running = ended(start, [server], grades=UNHURRIED), False
    while not running:
        at += 1
        monkeypatch.setenv("KILL_AT", str(at))
        program.start()
        monkeypatch.delenv("KILL_AT")
        answers, calls, name, over = list(script), [], f"aa{at:02}", threading.Event()
        teller = threading.Thread(target=told, args=(server, answers, calls, name, over))
        teller.start()
        try:
            heard = program.client().enqueue(name, cls, 16_000 if cls == "order" else 30_000)
        except ConnectionError:
            heard = ""
        running = at > steps
        if running:
            while owed_while_it_runs(program):
                time.sleep(0.01)
        program.process.kill() if running else program.process.wait(PATIENCE)
        program.wait()
        program.start()
        while owed_while_it_runs(program):
            time.sleep(0.01)
        program.kill()
        over.set()
        socket.create_connection(server.sock.getsockname()).close()
        teller.join(PATIENCE)
        noticed = [notice["id"] for _, notice in program.discovery.notices.queue]
        may_have_run = [status for status in calls if status != 503]
        assert heard == ("" if at < 3 else "+OK"), at
        assert cls == "preview" or len(may_have_run) <= 1, (at, calls)
        assert heard == "" or name in noticed or calls[-1:] == [200], (at, calls)
        assert at > 1 or not calls and name not in noticed   # not on record: nobody has heard of it


def told(server, answers, calls, name, over):
    """Answer the calls of one message with these in turn."""
    while not over.is_set():
        line = server.line()
        while (call := line.call()) is not None:
            assert call[1]["x-trace-id"] == name
            calls.append(answers.pop(0) if answers else 200)
            with contextlib.suppress(OSError):
                line.answer(calls[-1])
        line.close()


def owed_while_it_runs(program):
    return journals.owed(program.state / "journal")
