"""Stories of discovery: its watch and lists, notices to it, and a reload that moves it."""

import signal
import time

import pytest
from peers import PATIENCE, Backend, Discovery, owed, refuse, settled, socket_that_is_called, until_listed


def test_notices_are_retried_until_the_platform_confirms_them(start):
    server = Backend("s1")
    program = start([server])
    program.discovery.reply = None
    client = program.client()
    assert client.enqueue("aa01", "order", 16000) == "+OK"
    server.take()[0].close()
    assert program.discovery.notices.get(timeout=PATIENCE)[0] is None
    program.kill()  # nor does a kill lose it
    assert owed(program)["aa01"].notice == {"id": "aa01", "status": "undeliverable"}
    program.discovery.reply = 204
    program.start()
    reply = None
    while reply != 204:
        reply, notice = program.discovery.notices.get(timeout=PATIENCE)
        assert notice == {"id": "aa01", "status": "undeliverable"}


def test_a_silent_watch_is_opened_again_and_drains_are_heeded(start):
    old, new = Backend("s1"), Backend("s2")
    program = start([old])
    first, tell = program.discovery.watch()
    assert "from=7" in first
    tell(9, [old.row("draining"), new.row()])
    client = program.client()
    assert client.enqueue("aa01") == "+OK"
    line, _ = new.take()
    line.answer(200)
    first, _ = program.discovery.watch()  # no empty lines come, so that the first is given up
    assert "from=9" in first and old.quiet(0.01)


def test_discovery_that_is_down_from_the_start_does_not_stop_the_sender(start):
    discovery = Discovery()
    refuse(discovery)
    server = Backend("s1")
    program = start([server], discovery=discovery)
    assert program.client().enqueue("aa01") == "+OK"
    server.take()[0].answer(200)


@pytest.mark.parametrize("line", [b"{}", b"[]", b"\xff", b'{"seq":null,"hosts":[]}', b'{"seq":8,"hosts":[3,{}]}'])
def test_bad_news_is_passed_over(start, line):
    server = Backend("s1")
    program = start([server])
    line_of = program.discovery.watches.get(timeout=PATIENCE)[1]
    line_of.sock.sendall(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
    if b"{}]" not in line:
        assert program.discovery.watch()  # opened again
    assert program.client().enqueue("aa01") == "+OK"
    server.take()[0].answer(200)


def test_sighup_moves_watch_and_notices_and_loses_neither(start):
    server, fresh, other = Backend("s1"), Backend("s2"), Discovery()
    program = start([server])
    old = program.discovery
    old.reply = None  # takes a notice and never confirms it
    first, tell = old.watch()
    tell(9, [fresh.row()])
    client = program.client()
    assert client.enqueue("aa01", "order", 16000) == "+OK"
    socket_that_is_called([server, fresh]).take()[0].close()
    assert old.notices.get(timeout=PATIENCE)[0] is None
    program.reload(discovery=other.dial)
    first, tell = other.watch()
    assert "from=9" in first
    assert other.notice() == {"id": "aa01", "status": "undeliverable"}
    tell(10, [server.row("gone")])
    program.reload(discovery=other.dial)  # once more, and nothing to change
    assert client.enqueue("aa02") == "+OK"
    fresh.take()[0].answer(200)
    settled(client)
    assert old.notices.empty()
    program.terminate()
    program.process.send_signal(signal.SIGHUP)
    assert program.wait() == 0
    program.start()  # a restart reads the new file
    assert other.watch() and old.watches.empty()


@pytest.mark.parametrize(
    "text, key",
    [
        ('{"name": "n0", "lis', "RELAY_CONFIG"),
        ("[]", "the configuration must be"),
        ("[" * 5000, "the old"),
        (
            '{"name": "", "listen": "a:1", "discovery": "a:1", "seed": "1", "settings": {}}',
            "settings.limits is missing",
        ),
    ],
)
def test_a_file_that_cannot_be_read_on_sighup_leaves_the_old_configuration(start, text, key):
    server = Backend("s1")
    program = start([server])
    program.discovery.watch()
    program.reload(text)
    program.logged(key)
    assert program.client().enqueue("aa01", "order") == "+OK"
    server.take()[0].close()
    assert program.discovery.notice()["id"] == "aa01"


def test_a_notice_on_a_connection_that_fell_silent_goes_over_another_in_time(start):
    server = Backend("s1")
    program = start([server])
    program.discovery.reply = None
    assert program.client().enqueue("aa01", "order", 16000) == "+OK"
    server.take()[0].close()
    assert program.discovery.notices.get(timeout=PATIENCE)[0] is None
    began = time.monotonic()
    program.discovery.reply = 204
    assert program.discovery.notice()["id"] == "aa01" and time.monotonic() - began < 0.6


def many(count, server):
    return [{**server.row(), "host": f"m-{n}", "block": 1000 + n} for n in range(count)]


def test_a_list_of_tens_of_thousands_is_served_and_its_changes_are_kept_to(start):
    server = Backend("s1")
    program = start([server], deploy={"dormancy": {"on": True}})
    _, tell = program.discovery.watch(lively=True)
    tell(8, [server.row(), *many(30_000, server)], whole=True)
    assert until_listed(program, "aa01", 30_999) == "+OK"
    line, call = server.take()
    assert call[1]["x-trace-id"].startswith("aa")
    line.answer(200)
    tell(9, [{**row, "health": "draining"} for row in many(30_000, server)[29_000:]])
    tell(10, [{**server.row(), "host": "fresh", "block": 77}])
    assert until_listed(program, "ab01", 77) == "+OK"
    line, call = server.take()
    assert call[1]["x-trace-id"].startswith("ab")
    line.answer(200)
    assert program.client().enqueue("ac01", dest=30_999, d=600).startswith(("+OK", "-BUSY"))
    assert server.quiet(0.3)  # it drains: nothing new goes there


def test_a_list_beyond_the_memory_is_refused_and_the_one_in_force_stays(start):
    server = Backend("s1")
    program = start([server], limits={"memory_mb": 32})
    _, tell = program.discovery.watch(lively=True)
    tell(8, many(60_000, server), whole=True)
    program.logged("a whole list was refused")
    assert program.client().enqueue("aa01") == "+OK"
    line, _ = server.take()
    line.answer(200)
    tell(9, [{**server.row(), "host": "fresh", "block": 77}])
    assert until_listed(program, "ab01", 77) == "+OK"
