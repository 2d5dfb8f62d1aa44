"""Stories of what could not be delivered: kept, resolved, sent again."""

import json
import socket
import struct
import time

import pytest
from click.testing import CliRunner
from peers import PATIENCE, Backend, owed, settled

from linkdock.console.main import cli
from linkdock.undeliverable.facts import Message as StoredMessage
from linkdock.undeliverable.store import Filter, Store


def stored(program):
    done = CliRunner().invoke(cli, ["undeliverable", "list", str(program.state / "undeliverable.db"), "--json"])
    return {row["id"]: row for row in json.loads(done.output)} if done.exit_code == 0 else {}


def until_stored(program, name):
    end = time.monotonic() + PATIENCE
    while name not in stored(program):
        assert time.monotonic() < end, program.log
    return stored(program)[name]


@pytest.mark.parametrize("kill", [False, True])
def test_an_order_that_may_have_run_is_kept_in_doubt_also_after_a_kill(start, kill):
    server = Backend("s1")
    program = start([server], deploy={"undeliverable": {"on": True}})
    client = program.client()
    assert client.enqueue("aa01", "order") == "+OK"
    line, _ = server.take()
    if kill:
        program.kill()
        program.start()
    else:
        line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        line.close()
    assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"}
    row = until_stored(program, "aa01")
    assert row["in doubt"] and row["attempts"] == [{"number": 0, "proof": "may have run"}]
    program.terminate()
    assert program.wait() == 0 and not owed(program)


def test_a_store_that_cannot_be_written_changes_nothing_that_is_heard(start, tmp_path):
    server = Backend("s1")
    (tmp_path / "state" / "undeliverable.db").mkdir(parents=True)
    program = start([server], deploy={"undeliverable": {"on": True}})
    program.logged("undeliverable messages are not kept")
    client = program.client()
    assert client.enqueue("aa01", "order") == "+OK"
    line, _ = server.take()
    line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    line.close()
    assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"}
    program.terminate()
    assert program.wait() == 0 and not owed(program)


def undeliverable(program, *words):
    done = CliRunner().invoke(cli, ["undeliverable", words[0], str(program.state / "undeliverable.db"), *words[1:]])
    assert done.exit_code == 0, done.output
    return done.output


def until_state(program, name, state):
    end = time.monotonic() + PATIENCE
    while True:
        rows = {r["id"]: r for r in json.loads(undeliverable(program, "list", "--json", "--dropped"))}
        if name in rows and rows[name]["state"] == state:
            return rows[name]
        assert time.monotonic() < end, (rows, program.log)


def test_an_order_is_sent_again_only_once_its_doubt_is_ended_and_takes_effect_once(start):
    server = Backend("s1")
    program = start([server], deploy={"undeliverable": {"on": True}})
    client = program.client()
    assert client.enqueue("aa01", "order") == "+OK"
    line, _ = server.take()
    line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    line.close()
    assert program.discovery.notice()["id"] == "aa01"
    until_state(program, "aa01", "kept")
    assert "0 put in line" in undeliverable(program, "resend", "--yes") and server.quiet(1.2)
    undeliverable(program, "resolve", "aa01", "--never-ran", "--why", "the member's log has no trace of it")
    assert "1 would be sent" in undeliverable(program, "resend")
    assert "1 put in line" in undeliverable(program, "resend", "--yes", "--batch", "b")
    line, call = server.take()
    assert call[1]["x-trace-id"] == "aa01" and call[2] == b"hello"
    assert "0 put in line" in undeliverable(program, "resend", "--yes", "--batch", "b")
    line.answer(200)
    until_state(program, "aa01", "delivered")
    assert server.quiet(1.2) and program.discovery.notices.empty()
    program.terminate()
    assert program.wait() == 0 and not owed(program)


@pytest.mark.parametrize("sent", [False, True])
def test_a_kill_while_it_is_sent_again_leaves_it_in_line_or_in_doubt_and_never_sends_it_twice(start, sent):
    server = Backend("s1")
    program = start([server], deploy={"undeliverable": {"on": True}})
    client = program.client()
    assert client.enqueue("aa01", "order") == "+OK"
    server.take()[0].answer(200)
    settled(client)
    program.kill()
    with Store(program.state / "undeliverable.db", write=True) as store:
        store.keep(
            [
                StoredMessage(
                    id="bb01",
                    key="0" * 16,
                    cls="order",
                    destination=1,
                    body=b"x",
                    until=1.0,
                    ended=time.time(),
                    cause="undeliverable",
                    repeatable=False,
                    attempts=[],
                )
            ]
        )
        store.ask("b", "a", [m for m, _ in store.find(Filter())])
        if not sent:
            store.claim(9, {}, 9)  # and killed before the journal had it
    program.start()
    line, call = server.take()
    while call[1]["x-trace-id"] != "bb01":
        line.answer(200)
        line, call = server.take()
    if sent:
        program.kill()  # it may have run
        program.start()
        row = until_state(program, "bb01", "kept")
        assert row["in doubt"] and server.quiet(1.2)
        assert "0 put in line" in undeliverable(program, "resend", "--yes", "--batch", "c")
    else:
        line.answer(200)
        until_state(program, "bb01", "delivered")
