"""Orders of events in discovery's watch: the real watch over a real connection, on a clock of the test's own."""

import asyncio
import contextlib
import json
import random
from types import SimpleNamespace

import pytest

from linkdock.protocol import http
from linkdock.protocol.discovery import Watch
from linkdock.protocol.listing import ListReader, Rows, Told
from linkdock.state.table import ServerTable
from linkdock.state.watch_schedule import AGENT_INTERVAL, PROMPT_TIMEOUT, SILENCE_TIMEOUT, WatchSchedule
from linkdock.state.wheel import Wheel

PATIENCE = 10.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TICK = 0.05
MOST_LINE = 60.0  # seconds for which the rows of one line keep a watch


def row(name, **more):
    return {
        "host": name,
        "dial": "10.0.0.1:6379",
        "site": "a",
        "class": "x",
        "block": 1,
        "health": "ready",
        "share": 1.0,
        "born_ms": 0,
        **more,
    }


def line(rows, seq, whole=False, indent=None):
    return json.dumps({"seq": seq, "whole": whole, "hosts": rows}, indent=indent).encode() + b"\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Agent:
    """Discovery's side of each watch: the request's first line, and what the test says next."""

    async def open(self):
        self.opened = asyncio.Queue()
        self.server = await asyncio.start_server(lambda *ends: self.opened.put_nowait(ends), "127.0.0.1", 0)
        self.dial = self.server.sockets[0].getsockname()
        return self

    async def asked(self):
        self.reader, self.writer = await asyncio.wait_for(self.opened.get(), PATIENCE)
        first = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), PATIENCE)
        return first.split(b"\r\n")[0].decode()


class Story:
    """One watch, and the table that it tells."""

    def __init__(self, patch, schedule=None):
        self.now, self.read = 100.0, 0
        self.wheel = Wheel(0.005, self.now, lambda: self.now)
        self.table = ServerTable([False], lambda: self.now)
        self.table.update([], 7)
        self.schedule = schedule or WatchSchedule(False, 1, 10.0, 1)
        feed = http.AnswerParser.feed

        def counted(parser, data):
            self.read += len(data)
            return feed(parser, data)

        patch.setattr(http.AnswerParser, "feed", counted)

    def changed(self, servers, version):
        self.table.update(servers, self.table.version if version is None else version)

    def whole(self, roster, version):
        self.table.replace(roster, version)

    def ready(self):
        return sorted(s.name for s in self.table.roster if s.health == "ready")

    @contextlib.asynccontextmanager
    async def open(self):
        self.agent, self.other = await Agent().open(), await Agent().open()
        self.watch = Watch(
            self.agent.dial, self.wheel, self.schedule, ["a"], ["x"], lambda: self.table.version, self, 1 << 20
        )
        running = asyncio.get_running_loop().create_task(self.watch.run())
        await self.passed(0.01)
        try:
            yield
        finally:
            self.watch.close()
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            for agent in (self.agent, self.other):
                agent.server.close()

    async def turns(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def passed(self, seconds):
        end = self.now + seconds
        await self.turns()
        while self.now < end - 1e-9:
            self.now = min(end, self.now + TICK)
            self.wheel.advance(self.now)
            await self.turns()

    async def say(self, data, agent=None):
        """Until the watch has read it all."""
        until = self.read + len(data)
        (agent or self.agent).writer.write(data)
        async with asyncio.timeout(PATIENCE):
            while self.read < until and not self.watch._stream.closed():
                await asyncio.sleep(0)
        await self.turns()

    async def given_up(self, within):
        """It is closed within so many seconds on the story's clock, and not a tick before."""
        await self.passed(within - 2 * TICK)
        assert not self.watch._stream.closed()
        await self.passed(3 * TICK)
        assert await asyncio.wait_for(self.agent.reader.read(), PATIENCE) == b""

    async def again(self, agent=None):
        """The next ask, at an agent's pace."""
        await self.passed(AGENT_INTERVAL + TICK)
        return await (agent or self.agent).asked()


def play(story):
    asyncio.run(asyncio.wait_for(story, 2 * PATIENCE))


CHANGE = line([row("s1"), row("s2")], 8)
SAID = [
    b"HTTP/1.1 2",
    HEAD,
    HEAD + b"3",
    HEAD + chunk(b"\n"),
    HEAD + chunk(CHANGE[:9]),
    HEAD + chunk(CHANGE[:150]),
    HEAD + chunk(CHANGE)[:-3],
    HEAD + chunk(CHANGE),
]


@pytest.mark.parametrize("said", [b"", *SAID])
def test_a_watch_that_falls_silent_at_any_point_is_opened_anew_from_what_is_known(monkeypatch, said):
    async def story():
        one = Story(monkeypatch)
        async with one.open():
            assert "from=7 " in await one.agent.asked()
            if said:
                await one.say(said)
            await one.given_up(SILENCE_TIMEOUT if said else PROMPT_TIMEOUT)
            whole = b"]}" in said
            assert f"from={8 if whole else 7} " in await one.again()
            await one.say(HEAD + chunk(line([row("s9")], 9, whole=True)))
            assert one.ready() == ["s9"] and one.table.version == 9

    play(story())


@pytest.mark.parametrize(
    "before, each",
    [
        (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
        (HEAD, chunk(b" ")),
        (HEAD + b"1;", b"x"),
        (HEAD + chunk(CHANGE[:150]), chunk(b" ")),
        (HEAD + chunk(b'{"seq":8,"x":"'), chunk(b"x")),
        (HEAD + chunk(b'{"hosts":[{},'), chunk(b"\n")),
        (HEAD + chunk(b'{"hosts":[{"x":"'), chunk(b"x")),
        (HEAD + chunk(b'{"hosts":[]'), chunk(b" ")),
    ],
)
def test_bytes_that_never_make_a_line_do_not_keep_a_watch(monkeypatch, before, each):
    async def story():
        one = Story(monkeypatch)
        async with one.open():
            await one.agent.asked()
            await one.say(before)
            for _ in range(5):
                await one.passed(0.5)
                with contextlib.suppress(TimeoutError):
                    await one.say(each)
            await one.passed(0.4)
            assert one.watch._stream.closed()
            assert "from=7 " in await one.again()

    play(story())


def test_empty_lines_keep_a_watch_on_which_nothing_changes_and_each_change_counts(monkeypatch):
    async def story():
        one = Story(monkeypatch)
        async with one.open():
            await one.agent.asked()
            await one.say(HEAD)
            for n in range(40):
                await one.passed(2.0)
                await one.say(chunk(b"\r\n" if n % 2 else b"\n"))
            await one.say(chunk(CHANGE))
            assert one.ready() == ["s1", "s2"] and one.agent.opened.empty()
            await one.say(b"0\r\n\r\n")  # it ends cleanly
            assert "from=8 " in await one.again()

    play(story())


def test_a_long_list_over_a_slow_link_gets_in_and_one_without_end_is_given_up(monkeypatch):
    async def story():
        one = Story(monkeypatch)
        names = [f"s{n:02}" for n in range(20)]
        async with one.open():
            await one.agent.asked()
            await one.say(HEAD)
            data = line([row(name) for name in names], 8, whole=True)
            for at in range(0, len(data), 120):  # a little more than half a row
                await one.passed(1.2)
                await one.say(chunk(data[at : at + 120]))
            assert one.ready() == names
            await one.say(chunk(b'{"seq":9,"whole":true,"hosts":['))
            spent = 0.0
            while one.agent.opened.empty():
                await one.say(chunk(json.dumps(row("t")).encode() + b","))
                await one.passed(2.0)
                spent += 2.0
                assert spent < MOST_LINE + 5.0
            assert spent > MOST_LINE - 1.0
            assert "from=8 " in await one.agent.asked() and one.ready() == names

    play(story())


@pytest.mark.parametrize("said", [None, b"", *SAID])
def test_sighup_at_any_point_moves_the_watch_at_once_from_what_is_known(monkeypatch, said):
    """None: while it rests between two asks; empty: connected, and nothing has come."""

    async def story():
        one = Story(monkeypatch)
        async with one.open():
            await one.agent.asked()
            if said is None:
                await one.say(b"HTTP/1.1 503 Told\r\nContent-Length: 0\r\n\r\n")
                await one.turns()
                assert one.watch._resting is not None
            elif said:
                await one.say(said)
            one.watch.move(one.other.dial)
            await one.passed(0.01)  # a tick, and no pause
            assert f"from={8 if said and b']}' in said else 7} " in await one.other.asked()
            await one.say(HEAD + chunk(line([row("s9")], 9, whole=True, indent=2)), one.other)
            assert one.ready() == ["s9"] and one.agent.opened.empty()

    play(story())


def test_an_address_that_moves_as_a_rest_rings_cuts_no_later_rest_short(monkeypatch):
    async def story():
        one = Story(
            monkeypatch,
            SimpleNamespace(
                first_delay=lambda: 0.0,
                answer_timeout=lambda: SILENCE_TIMEOUT,
                moved_delay=lambda: 1.0,
                next_delay=lambda served: 5.0,
            ),
        )
        async with one.open():
            await one.agent.asked()
            await one.say(b"HTTP/1.1 503 Told\r\nContent-Length: 0\r\n\r\n")
            await one.passed(5.0 - TICK)
            one.now += 2 * TICK
            one.wheel.advance(one.now)  # it rings, and before the watch wakes up
            one.watch.move(one.other.dial)  # the signal comes
            await one.turns()
            await one.other.asked()
            await one.say(b"HTTP/1.1 503 Told\r\nContent-Length: 0\r\n\r\n", one.other)
            await one.passed(4.5)
            await one.turns()
            assert one.other.opened.empty()
            await one.passed(1.0)
            await one.other.asked()

    play(story())


def test_a_whole_list_amid_changes_counts_and_an_older_one_only_when_it_is_told_again(monkeypatch, caplog):
    async def story():
        one = Story(monkeypatch)
        async with one.open():
            await one.agent.asked()
            await one.say(HEAD + chunk(line([row("a"), row("b")], 9)))
            await one.say(chunk(line([row("b"), row("c")], 10, whole=True)))
            await one.say(chunk(line([row("b", health="draining")], 12)))
            assert one.ready() == ["c"] and one.table.version == 12
            older = chunk(line([row("b"), row("c")], 11, whole=True))
            await one.say(older)  # than what this watch has told, not than what it began from
            assert one.ready() == ["c"] and "from=12 " in await one.again()
            await one.say(HEAD + older)
            assert one.ready() == ["b", "c"] and one.table.version == 11
        assert sum("LD-DISCOVERY-OLD" in r.message for r in caplog.records) == 1

    play(story())


@pytest.mark.parametrize("down", [True, False])
def test_discovery_that_is_down_is_asked_at_an_even_pace_and_its_news_taken_when_it_is_back(monkeypatch, down):
    """Down it takes the connection and stays silent; else it turns the ask away."""

    async def story():
        one = Story(monkeypatch)
        async with one.open():
            began = one.now
            for _ in range(12):
                await one.agent.asked()
                if not down:
                    await one.say(b"HTTP/1.1 503 Told\r\nContent-Length: 0\r\n\r\n")
                await one.passed((PROMPT_TIMEOUT if down else 0.0) + AGENT_INTERVAL - 2 * TICK)
                assert one.agent.opened.empty()  # no sooner
                await one.passed(4 * TICK)
            assert one.now - began < 12 * (PROMPT_TIMEOUT + AGENT_INTERVAL + 3 * TICK)
            await one.agent.asked()
            await one.say(HEAD + chunk(CHANGE))
            assert one.ready() == ["s1", "s2"]

    play(story())


def test_after_a_long_outage_too_most_asks_are_given_up_soon():
    schedule, waited = WatchSchedule(False, 1, 10.0, 1), []
    for _ in range(300):
        waited.append(schedule.answer_timeout())
        schedule.next_delay(served=False)
    assert waited[:64] == [PROMPT_TIMEOUT] * 64 and waited.count(SILENCE_TIMEOUT) == 4
    assert set(waited) == {PROMPT_TIMEOUT, SILENCE_TIMEOUT}


# --- What cannot be read.

GOOD = line([row("s1", health="draining"), row("s3")], 8)


@pytest.mark.parametrize(
    "bad",
    [
        b"no list\n",
        b"\xff\n",
        b"[1]\n",
        b'{"seq":9}\n',
        b'{"hosts":[{},}\n',
        b'{"seq":null,"hosts":[]}\n',
        b'{"seq":9,"whole":"false","hosts":[]}\n',
        b'{"seq":9,"hosts":[],"whole":1}\n',
        b'{"whole":0,"hosts":[]}\n',
        b'{"seq":9,"whole":true,"hosts":[],"whole":false}\n',
        b'{"hosts":[{"block":' + b"9" * 5000 + b"}]}\n",
        b'{"seq":' + b"9" * 5000 + b',"hosts":[]}\n',
        b'{"hosts":[' + b"[" * 9000,
        b'{"seq":8,"hosts":[]}]\n',
    ],
)
def test_bytes_that_are_no_list_are_named_and_take_nothing_with_them(monkeypatch, caplog, bad):
    async def story():
        caplog.set_level("INFO")
        one = Story(monkeypatch)
        async with one.open():
            await one.agent.asked()
            await one.say(HEAD + chunk(line([row("s1"), row("s2")], 7, whole=True)))
            await one.say(chunk(GOOD + bad))  # in one piece
            assert one.ready() == ["s2", "s3"]
            assert f"from={one.table.version} " in await one.again() and one.table.version == 8
            await one.say(HEAD + chunk(line([row("s4")], 9)))
            assert one.ready() == ["s2", "s3", "s4"]
        assert sum("LD-DISCOVERY-LIST: " in r.message for r in caplog.records) == 1
        assert not any(r.exc_info for r in caplog.records)

    play(story())


@pytest.mark.parametrize(
    "more",
    [
        {"host": "\ud800"},
        {"host": ""},
        {"dial": "\ud800:80"},
        {"dial": "a\0b:80"},
        {"dial": ":80"},
        {"dial": "ж:80"},
        {"dial": 7},
        {"dial": "10.0.0.1"},
        {"block": 1.5},
        {"block": float("nan")},
        {"block": None},
        {"health": "well"},
        {"share": float("nan")},
        {"share": 1e300},
        {"born_ms": float("inf")},
        {"share": None},
        {"share": 10**400},
    ],
)
@pytest.mark.parametrize("whole", [True, False])
def test_an_entry_that_cannot_be_read_takes_no_other_with_it(monkeypatch, caplog, more, whole):
    async def story():
        one = Story(monkeypatch)
        async with one.open():
            await one.agent.asked()
            rows = [row("s1", health="draining"), row("bad", **more), row("s2")]
            await one.say(HEAD + chunk(line(rows, 8, whole)))
            assert one.ready() == ["s2"] and one.table.version == 8 and one.table.row("s1").health == "draining"
            await one.say(chunk(line([row("s3")], 9)))  # on the same watch
            assert one.ready() == ["s2", "s3"] and one.agent.opened.empty()
        assert sum("LD-DISCOVERY-ROW: " in r.message for r in caplog.records) == 1

    play(story())


def test_a_long_list_of_entries_that_cannot_be_read_does_not_flood_the_log(monkeypatch, caplog):
    async def story():
        one = Story(monkeypatch)
        async with one.open():
            await one.agent.asked()
            for seq, head in ((8, HEAD), (9, b"")):
                await one.say(head + chunk(line([row(f"s{n}", health="well") for n in range(500)], seq)))
                assert one.table.version == seq
                assert len([r for r in caplog.records if "passed over" in r.message]) <= 21 * (seq - 7)

    play(story())


def test_an_endpoint_told_twice_moved_or_replaced_at_its_address_is_what_was_told_last(monkeypatch):
    async def story():
        one = Story(monkeypatch)
        async with one.open():
            await one.agent.asked()
            first = [row("a"), row("b", dial="10.0.0.2:1"), row("a", block=2, dial="10.0.0.3:1"), row("a", block=3)]
            await one.say(HEAD + chunk(line(first, 8, whole=True)))
            assert [s.name for s in one.table.roster.of(1)] == ["b"] and len(one.table.roster) == 2
            assert [s.name for s in one.table.roster.of(3)] == ["a"] and not one.table.roster.of(2)
            gone = row("b", health="gone")
            await one.say(chunk(line([row("c", dial="10.0.0.2:1"), gone, gone], 9)))
            assert [(s.name, s.dial) for s in one.table.roster.of(1)] == [("c", ("10.0.0.2", 1))]
            await one.say(chunk(line([row("c", health="gone"), row("c", block=4, dial="10.0.0.4:2")], 10)))
            assert one.table.row("c").dial == ("10.0.0.4", 2) and len(one.table.roster) == 2 and one.table.knows(1)

    play(story())


@pytest.mark.parametrize("end", [b"\n", b"\r\n"])
def test_an_indented_list_is_read_alike_wherever_it_and_its_chunks_are_cut(end):
    rows = [row("ж}]", dial="10.0.0.1:1"), row("b", share=0.5)]
    text = json.dumps({"seq": 8, "whole": True, "hosts": rows}, indent=2, ensure_ascii=False).encode()
    text = text.replace(b"\n", end) + end + end + line([], 9)
    luck = random.Random(5)
    for cut in range(len(text)):
        data = HEAD + chunk(text[:cut]) * bool(cut) + chunk(text[cut:])
        at, parser, reader, parts = luck.randrange(len(data)), http.AnswerParser(most_body=None), ListReader(), []
        for piece in (data[:at], data[at:]):
            for part in parser.feed(piece):
                if isinstance(part, http.Body):
                    parts += reader.feed(part.data)
        assert [r for part in parts if isinstance(part, Rows) for r in part.rows] == rows
        assert [part for part in parts if isinstance(part, Told)] == [Told(True, 8), Told(False, 9)]
