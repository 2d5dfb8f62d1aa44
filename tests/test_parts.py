"""The parts without a process: parsers, journal, wheel, pool's bounds, configuration."""

import json
import os

import pytest
from hypothesis import given
from hypothesis import settings as tried
from hypothesis import strategies as st
from peers import settings

from linkdock import facade
from linkdock.protocol import calls, http, resp
from linkdock.service import config
from linkdock.state.journal import Journal
from linkdock.state.journal_records import Kept
from linkdock.state.roster import Roster
from linkdock.state.table import ServerTable
from linkdock.state.wheel import Wheel

# --- Parsers: the same whatever the pieces in which bytes come.


def commands(data, size):
    parser, found = resp.CommandParser(), []
    for at in range(0, len(data), size):
        parser.feed(data[at : at + size])
        while True:
            try:
                words = parser.next()
            except resp.OversizeError:
                words = "oversize"
            if words is None:
                break
            found.append(words)
    assert not parser.partial
    return found


@pytest.mark.parametrize("size", [1, 7, 100_000, 1_000_000])
def test_commands_are_found_in_any_pieces_and_an_oversize_one_is_skipped(size):
    long, longer = [b"*2\r\n$1\r\nx\r\n$%d\r\n" % n + b"y" * n + b"\r\n" for n in (65536, 65537)]
    data = b"*1\r\n$4\r\nPING\r\n*0\r\n*2\r\n$0\r\n\r\n$2\r\n\r\n\r\n" + longer + long
    assert commands(data, size) == [[b"PING"], [b"", b"\r\n"], "oversize", [b"x", b"y" * 65536]]


@pytest.mark.parametrize("size", [1, 5, 1000])
@pytest.mark.parametrize(
    "text, body, keep",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", b"hi", True),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", b"hi", False),
        (b"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 204 None\r\n\r\n", b"", True),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", b"hi", True),
    ],
)
def test_answers_are_read_in_any_pieces(size, text, body, keep):
    parser, parts = http.AnswerParser(), []
    for at in range(0, len(text), size):
        parts += parser.feed(text[at : at + size])
    assert b"".join(p.data for p in parts if isinstance(p, http.Body)) == body
    assert parts[-1] == http.Whole(keep) and parser.whole


def test_bytes_beyond_an_answer_end_the_use_of_its_connection():
    parts = http.AnswerParser().feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK")
    assert parts[-1] == http.Whole(False)


@pytest.mark.parametrize(
    "text",
    [
        b"\n" * 20_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + b"x" * 70_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"ICY 200",
        b"HTTP/1.1 2\xb20 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n folded: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nhi",
    ],
)
def test_what_is_no_answer_is_said_to_be_none(text):
    with pytest.raises(http.BadAnswer):
        http.AnswerParser().feed(text)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
VERY_MANY = {
    "fields": b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 13_000 + b"Content-Length: 0\r\n\r\n",
    "names": b"HTTP/1.1 200 OK\r\n" + b"".join(b"a%d:\r\n" % n for n in range(3000)) + b"Content-Length: 0\r\n\r\n",
    "chunks": CHUNKED + b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n",
    "trailers": CHUNKED + b"0\r\n" + b"a:b\r\n" * 13_000 + b"\r\n",
    "1xx": b"HTTP/1.1 100 On\r\n\r\n" * 3000 + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("text", VERY_MANY.values(), ids=VERY_MANY)
def test_an_answer_of_very_many_short_parts_is_none_and_is_read_no_further(text):
    # 64 KB of short fields that came in one read passed the bound of a head, and held the loop.
    parser = http.AnswerParser()
    with pytest.raises(http.BadAnswer):
        parser.feed(text)


def test_a_watch_lasts_however_many_chunks_it_brings():
    parser = http.AnswerParser(None)
    parser.feed(CHUNKED)
    for _ in range(2 * http.MOST_CHUNKS):
        assert parser.feed(b"1\r\n\n\r\n") == [http.Body(b"\n")]


def test_an_answer_with_as_many_parts_as_may_be_is_read():
    fields = b"".join(b"a%d: b\r\n" % n for n in range(http.MOST_FIELDS - 1))
    chunks = b"1\r\nx\r\n" * (http.MOST_CHUNKS - 1)
    trailers = b"a: b\r\n" * (http.MOST_FIELDS - 1)
    head = CHUNKED[:-2] + fields.split(b"\r\n", 1)[1] + b"\r\n"
    text = b"HTTP/1.1 100 On\r\n\r\n" * http.MOST_INTERIM + head + chunks + b"0\r\n" + trailers + b"\r\n"
    parts = http.AnswerParser().feed(text)
    assert parts[-1] == http.Whole(True) and len(parts) == http.MOST_CHUNKS + 1


@tried(max_examples=300, deadline=None)
@given(st.floats(0.0, 999_999_999.0))
def test_a_wait_is_read_however_many_decimals_a_program_writes(seconds):
    # 0.47000000000000003, as a program prints a double, was read as no wait, and the call came again at once.
    assert http.number(f"{seconds!r}" if "e" not in repr(seconds) else f"{seconds:.340f}") == pytest.approx(seconds)
    assert http.number(f"{seconds:.30f}") == pytest.approx(seconds, abs=1e-29)


@pytest.mark.parametrize(
    "text", ["", ".5", "1e3", "-1", "+1", "nan", "inf", "1_0", "\u0661", "1" * 10, "1.2.3", "0x1", "1,5"]
)
def test_what_is_no_number_as_the_protocol_writes_one_is_none(text):
    assert http.number(text) is None


@pytest.mark.parametrize(
    "told, load",
    [
        ("x0=0.4,x1=25", (0.4, 25.0)),
        (" x1=25 , x0=1, y=?", (1.0, 25.0)),
        ("", None),
        ("x1=25", None),
        ("x0=0.4", None),
        ("x0=nan,x1=25", None),
        ("x0=0.4,x1=inf", None),
        ("x0=0.4,x1=1e300", None),
        ("x0=-0.1,x1=25", None),
        ("x0=0.4,x1=2_5", None),
        ("x0=1.4,x1=25", None),
        ("x0=0.4,x0=0.4,x1=25", None),
        ("x0=0.4,x1=²5", None),
    ],
)
def test_a_load_report_counts_whole_or_not_at_all(told, load):
    backend = calls.Backend(None, None, None, None, None, 1.0, ["x0", "x1"])
    assert backend.load({"endpoint-load-metrics": told}) == load


# --- Journal.


def kept(n, size=100):
    return Kept(f"m{n}", "0", "preview", 1, 2e9, bytes([n % 256]) * size)


def test_the_journal_never_holds_more_than_its_folder_may_while_it_is_rewritten(tmp_path, monkeypatch):
    limit, most, replace = 40_000, 0, os.replace

    def measure(*names):
        nonlocal most
        most = max(most, sum(-(-f.stat().st_size // 512) * 512 for f in tmp_path.iterdir()))
        if names:
            replace(*names)

    monkeypatch.setattr(os, "replace", measure)
    journal, taken = Journal(tmp_path, limit), []
    for n in range(2000):
        if journal.take(kept(n)):
            taken.append(n)
            assert journal.sent(f"m{n}", 0)
        else:
            journal.end(f"m{taken.pop(0)}")
        measure()
    journal.close()
    assert len(taken) > 10 and 0 < most <= limit
    again = Journal(tmp_path, limit)
    assert list(again.kept) == [f"m{n}" for n in taken]
    assert all(k.used == 1 and k.doubt == {0} and len(k.body) == 100 for k in again.kept.values())
    again.close()


@pytest.mark.parametrize("cut", range(1, 26, 6))
def test_a_torn_record_costs_only_itself(tmp_path, cut):
    journal = Journal(tmp_path, 1_000_000)
    for n in range(2):
        journal.take(kept(n))
    journal.sent("m0", 0)
    journal.never("m0", 0)
    journal.sent("m1", 3)
    journal.close()
    path = tmp_path / "journal"
    path.write_bytes(path.read_bytes()[:-cut])
    again = Journal(tmp_path, 1_000_000)
    assert set(again.kept) == {"m0", "m1"} and not again.kept["m0"].doubt and not again.kept["m1"].doubt
    assert again.take(kept(2))
    again.close()
    last = Journal(tmp_path, 1_000_000)
    assert set(last.kept) == {"m0", "m1", "m2"}  # what came after the torn record can be read
    last.close()


def test_a_notice_replaces_the_body_and_ends_the_record_once_confirmed(tmp_path):
    journal = Journal(tmp_path, 1_000_000)
    journal.take(kept(1))
    journal.notice("m1", {"id": "m1", "status": "undeliverable"})
    journal.close()
    again = Journal(tmp_path, 1_000_000)
    assert again.kept["m1"].notice == {"id": "m1", "status": "undeliverable"}
    again.end("m1")
    again.close()
    assert not Journal(tmp_path, 1_000_000).kept


# --- Wheel and table.


def test_the_wheel_fires_in_order_never_early_and_takes_back_what_is_cancelled():
    wheel, fired = Wheel(0.005, 100.0), []
    wheel.after(0.05, lambda: fired.append("late"))
    wheel.after(0.02, lambda: fired.append("early"))
    other = wheel.after(0.02, lambda: fired.append("cancelled"))
    wheel.after(0.02, other.cancel)
    other.cancel()
    wheel.advance(100.02 - 1e-6)
    assert fired == []
    wheel.advance(200.0)  # after a stall all that is due fires, in order
    assert fired == ["early", "late"]
    wheel.after(0.0, lambda: fired.append("next"))
    wheel.advance(200.01)
    assert fired[-1] == "next"


def test_cancelled_timers_leave_nothing_on_the_wheel():
    wheel, timers = Wheel(0.005, 100.0), []
    for n in range(1000):
        wheel.advance(100.0 + n / 10)
        timers.append(wheel.after(300.0, timers.clear))
    assert len(wheel) == 1000
    for timer in timers:
        timer.cancel()
    assert len(wheel) == 0


def test_a_wheel_that_stands_says_until_when_and_calls_for_each_earlier_timer():
    now, woken, fired = [100.0], [], []
    wheel = Wheel(0.005, now[0], lambda: now[0], woken.append)
    assert wheel.next_due() == float("inf")
    first = wheel.after(1.0, lambda: fired.append("first"))
    now[0] = 150.0  # it stood for long: a timer counts from now, not from the last advance
    wheel.after(0.02, lambda: fired.append("second"))
    assert 101.0 <= woken[0] < 101.01 and 150.02 <= woken[1] < 150.03
    first.cancel()
    assert wheel.next_due() == woken[1]
    wheel.advance(woken[1])  # due then, whatever a division by the tick comes to
    assert fired == ["second"] and wheel.next_due() == float("inf")
    for _ in range(10_000):
        now[0] += 0.01
        wheel.after(300.0, fired.clear).cancel()
    assert len(wheel._order) < 200


@pytest.mark.parametrize("apart", [False, True])
def test_a_wait_binds_the_destination_or_where_routes_are_apart_the_server(apart):
    table = ServerTable([apart])
    table.update([facade.Server(n, ("127.0.0.1", 1), 7) for n in "ab"], 1)
    table.told_wait(table.row("a"), 5.0)
    table.told_wait(table.row("a"), 4.0)  # a shorter one does not cut it
    assert table.closed("a", 4.9, 7) and bool(table.closed("b", 4.9, 7)) is not apart
    assert table.closed("a", 5.0, 7) is None
    fresh = Roster()
    fresh.put(facade.Server("b", ("127.0.0.1", 1), 7))
    table.replace(fresh, 2)
    assert table.closed("a", 9.0, 7) == "is gone" and table.closed("b", 9.0, 7) is None


# --- Configuration.


def told(**more):
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "ff",
        "settings": settings(),
        **more,
    }


def test_the_configuration_is_read_with_its_defaults(tmp_path):
    read = config.check(told(), tmp_path)
    assert read.settings.max_open == 50 and [k.batch for k in read.settings.kinds] == [1, 10]
    assert (read.sockets, read.disk_mb, read.seed) == (1024, 3.0, 255)
    assert read.repeatable(read.classes["preview"]) and not read.repeatable(read.classes["order"])


@pytest.mark.parametrize(
    "change, key",
    [
        (lambda t: t.pop("seed"), "seed is missing"),
        (lambda t: t.update(listen="here"), "listen must be"),
        (lambda t: t["settings"].pop("limits"), "settings.limits is missing"),
        (lambda t: t["settings"]["limits"].update({"max-open": 0}), "settings.limits.max-open must be at least"),
        (lambda t: t["settings"]["extra"].update({"calls-out": True}), "settings.extra.calls-out must be a"),
        (lambda t: t["settings"]["extra"].update({"bundle-max": [1, 0]}), r"settings.extra.bundle-max\[1\]"),
        (lambda t: t["settings"]["grades"][0].update(idempotency="x"), r"settings.grades\[0\].idempotency"),
        (lambda t: t["settings"].update(me=3), "settings.me must be below"),
        (lambda t: t.update(limits={"disk_mb": "3"}), "limits.disk_mb must be a number"),
    ],
)
def test_a_faulty_configuration_names_its_key(tmp_path, change, key):
    wrong = json.loads(json.dumps(told()))
    change(wrong)
    with pytest.raises(config.ConfigError, match=key):
        config.check(wrong, tmp_path)


@pytest.mark.parametrize("environ", [{}, {"RELAY_CONFIG": "/nowhere"}])
def test_a_missing_configuration_names_its_variable(environ):
    with pytest.raises(config.ConfigError, match="RELAY_CONFIG"):
        config.load(environ)


def test_a_closed_journal_writes_to_nobody(tmp_path):
    journal = Journal(tmp_path, 1_000_000)
    kept = Kept("aa01", "0" * 16, "order", 1, 2e9, b"body")
    assert journal.take(kept)
    journal.close()
    other = tmp_path / "other"
    files = [os.open(other, os.O_RDWR | os.O_CREAT) for _ in range(3)]  # one of them has its descriptor now
    assert not journal.sent("aa01", 0) and not journal.take(Kept("aa02", "0" * 16, "order", 1, 2e9, b"body"))
    journal.end("aa01")
    assert other.read_bytes() == b""
    for file in files:
        os.close(file)
    assert set(Journal(tmp_path, 1_000_000).kept) == {"aa01"}
