"""Stories of connections to backend servers: when they are kept, retired, capped and shown."""

import json
import socket
import struct
import threading
import time

import pytest
from click.testing import CliRunner
from peers import PATIENCE, Backend, refuse, settled

from linkdock.console.main import cli


def test_idle_connections_are_retired_before_the_server_closes_them(start):
    server = Backend("s1")
    program = start([server], limits__idle_close=1.0)
    assert program.client().enqueue("aa01") == "+OK"
    line, _ = server.take()
    line.answer(200)
    begun = time.monotonic()
    assert line.call() is None and time.monotonic() - begun < 1.0


def test_a_connection_that_the_server_closed_is_not_used_again(start):
    server = Backend("s1")
    program = start([server])
    client = program.client()
    assert client.enqueue("aa01", "order") == "+OK"
    line, _ = server.take()
    line.answer(200)
    settled(client)
    line.sock.sendall(b"HTTP/1.1 408 Out of turn\r\n\r\n")
    line.close()
    assert client.enqueue("aa02", "order") == "+OK"
    line, (_, headers, _) = server.take()
    assert headers["x-trace-id"] == "aa02"
    line.answer(200)
    settled(client)
    assert program.discovery.notices.empty()


def test_a_reset_retires_the_idle_connections_to_its_server(start):
    server = Backend("s1")
    program = start([server])
    client = program.client()
    lines = {}
    for name in ("aa01", "aa02"):
        assert client.enqueue(name, "order") == "+OK"
        line, (_, headers, _) = server.take()
        lines[headers["x-trace-id"]] = line
    for line in lines.values():
        line.answer(200)
        settled(client)
    assert client.enqueue("aa03", "order") == "+OK"  # over the freshest of the two
    assert lines["aa02"].call()[1]["x-trace-id"] == "aa03"
    lines["aa02"].close()
    begun = time.monotonic()
    # The machine behind it may be gone or cut off, and then the other connection is dead as well.
    assert lines["aa01"].call() is None and time.monotonic() - begun < 2


def one_call_each(server):
    """Answer the first call on each connection and reset the second, as behind a front that drops what it keeps."""
    served, reset = [], []

    def serve(line):
        if (call := line.call()) is None:
            return
        served.append(call[1]["x-trace-id"])
        line.answer(200)
        if (call := line.call()) is not None:
            reset.append(call[1]["x-trace-id"])
            line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            line.close()

    def accept():
        while True:
            try:
                line = server.line()
            except OSError:  # the end of the story
                return
            threading.Thread(target=serve, args=(line,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return served, reset


@pytest.mark.parametrize("on", [True, False])
def test_orders_leave_kept_connections_where_those_were_found_dead(start, on):
    server = Backend("s1")
    served, reset = one_call_each(server)
    program = start([server], deploy={"connections": {"on": on}})
    client = program.client()

    def done(name, cls):
        assert client.enqueue(name, cls) == "+OK"
        until = time.monotonic() + PATIENCE
        while name not in served and name not in reset[-1:]:
            assert time.monotonic() < until
            settled(client)

    for n in range(8):  # previews go again; by them it is learned
        done(f"aa{n:02}", "preview")
    for n in range(5):
        done(f"bb{n:02}", "order")
    assert any(name.startswith("bb") for name in reset) is not on
    assert program.discovery.notices.empty() or not on


def test_operators_see_the_connections_of_each_server(start):
    server = Backend("s1")
    program = start([server], deploy={"connections": {"on": True, "ahead": 0, "file": "connections.json"}})
    client = program.client()
    assert client.enqueue("aa01") == "+OK"
    line, _ = server.take()
    line.answer(200)
    for name in ("aa02", "aa03"):
        assert client.enqueue(name) == "+OK"
        assert line.call()[1]["x-trace-id"] == name
        line.answer(200)
    settled(client)
    program.terminate()
    assert program.wait() == 0
    file = program.state / "connections.json"
    done = CliRunner().invoke(cli, ["connections", str(file), "--json"])
    (row,) = json.loads(done.output)["servers"]
    assert (row["server"], row["opened"], row["reused"], row["reset_at_first_byte"]) == ("s1", 1, 2, 0)
    assert row["call_s"] >= 0 and row["cap"] is None and not row["slow"]
    shown = CliRunner().invoke(cli, ["connections", str(file), "--server", "s1"])
    assert shown.exit_code == 0 and "s1" in shown.output and "handshake" in shown.output
    for words, named in (
        ([str(file), "--server", "s2"], "no server s2"),
        ([str(program.config)], "no state"),
        ([str(file) + "x"], "No such file"),
    ):
        wrong = CliRunner().invoke(cli, ["connections", *words])
        assert wrong.exit_code == 2 and named in wrong.output and "Traceback" not in wrong.output


def test_a_call_that_waits_for_a_connection_to_a_dead_address_ends_and_goes_elsewhere(start):
    dead, alive = Backend("s1"), Backend("s2")
    refuse(dead)
    program = start([dead, alive], deploy={"connections": {"on": True}})
    client = program.client()
    got = []
    for n in range(4):
        assert client.enqueue(f"aa{n:02}", "order") == "+OK"
        if not got:
            line, call = alive.take()
        else:
            call = line.call()
        got.append(call[1]["x-trace-id"])
        line.answer(200)
    assert got == [f"aa{n:02}" for n in range(4)] and program.discovery.notices.empty()


def test_beyond_the_cap_a_call_waits_for_the_one_before_it_and_no_longer_than_its_time(start):
    server = Backend("s1")
    program = start([server], deploy={"connections": {"on": True, "cap": 1}})
    program.settle()
    client = program.client()
    assert client.enqueue("aa01", "order") == "+OK"
    line, _ = server.take()
    assert client.enqueue("aa02", "order") == "+OK"
    assert client.enqueue("aa03", "preview", d=300) == "+OK"
    assert program.discovery.notice()["id"] == "aa03"
    line.answer(200)
    assert line.call()[1]["x-trace-id"] == "aa02"
    line.answer(200)
    assert server.quiet()
