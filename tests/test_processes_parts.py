"""The parts of the process laboratory: seeded schedules, links that do harm, checks of doctored histories."""

import asyncio
import copy
import os
import signal
import subprocess
import sys

import pytest

from linkdock.cluster.points import held
from linkdock.lab.processes import checks, history, links, play, schedule
from linkdock.lab.processes.schedule import Fault

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}


# --- Schedules.


def test_a_storm_is_its_seed_alone_and_is_healed_in_time():
    kinds = set()
    for seed in range(200):
        faults = schedule.storm(seed, ZONES, 8.0)
        assert faults == schedule.storm(seed, ZONES, 8.0) and faults != schedule.storm(seed + 1, ZONES, 8.0)
        schedule.check(faults, list(ZONES), 8.0)
        kinds |= {fault.what for fault in faults}
        down = sorted((f.at, f.healed) for f in faults if f.what in (*schedule.ENDS, schedule.STOP, schedule.FULL))
        assert all(until + 1.0 <= begun for (_, until), (begun, _) in zip(down, down[1:], strict=False))
        assert sum(fault.what == schedule.LOSE for fault in faults) <= 1
    assert kinds == {*schedule.WAYS, *schedule.PROCESSES}


@pytest.mark.parametrize(
    "fault",
    [
        Fault(1.0, "flood", ("a1",)),
        Fault(1.0, schedule.CUT, ("a1",), 1.0),
        Fault(1.0, schedule.STOP, ("x",), 1.0),
        Fault(7.5, schedule.STOP, ("a1",), 1.0),
        Fault(-1.0, schedule.KILL, ("a1",), 1.0),
    ],
)
def test_a_schedule_that_cannot_be_played_is_refused(fault):
    with pytest.raises(ValueError, match=fault.what):
        schedule.check([fault], list(ZONES), 8.0)


# --- Links.


class There(asyncio.Protocol, asyncio.DatagramProtocol):
    """What stands behind a link: keeps what came by stream and as datagrams, and answers each with a cry."""

    def __init__(self):
        self.stream, self.datagrams, self.news, self.open = b"", [], asyncio.Event(), []

    def connection_made(self, transport):
        if hasattr(transport, "sendto"):
            self.udp = transport
        else:
            self.open.append(transport)

    def data_received(self, data):
        self.stream += data
        self.open[-1].write(data.upper())
        self.news.set()

    def datagram_received(self, data, address):
        self.datagrams.append(data)
        self.udp.sendto(data.upper(), address)
        self.news.set()

    def connection_lost(self, bad):
        self.open.pop()
        self.news.set()

    async def until(self, true):
        async with asyncio.timeout(5.0):
            while not true():
                self.news.clear()
                await self.news.wait()


class Asker(asyncio.DatagramProtocol):
    def __init__(self):
        self.heard = asyncio.Queue()

    def datagram_received(self, data, address):
        self.heard.put_nowait(data)


def through(work, seed=1):
    """Run `work(net, there, reader, writer, asker, udp)` with a connection from a to b."""

    async def run():
        loop, there = asyncio.get_running_loop(), There()
        server = await loop.create_server(lambda: there, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        udp, _ = await loop.create_datagram_endpoint(lambda: there, ("127.0.0.1", port))
        net = links.Net({"a": 9, "b": port}, seed)
        try:
            await net.open()
            to = ("127.0.0.1", net.links["a", "b"].port)
            reader, writer = await asyncio.open_connection(*to)
            asking, asker = await loop.create_datagram_endpoint(Asker, remote_addr=to)
            writer.write(b"begin")
            assert await asyncio.wait_for(reader.readexactly(5), 5) == b"BEGIN"
            async with asyncio.timeout(20):
                await work(net, there, reader, writer, asker, asking)
        finally:
            net.close()
            server.close()
            udp.close()

    asyncio.run(run())


def test_a_cut_way_holds_streams_and_loses_datagrams_in_its_direction_alone():
    async def work(net, there, reader, writer, asker, udp):
        cut = Fault(0.0, schedule.CUT, ("b", "a"), 1.0)
        net.begin(1, cut)
        writer.write(b" there")
        udp.sendto(b"gram")
        await there.until(lambda: there.stream == b"begin there" and there.datagrams == [b"gram"])
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.1)
        assert asker.heard.empty()
        net.heal(1, cut)
        assert await reader.readexactly(6) == b" THERE"
        udp.sendto(b"more")
        assert await asker.heard.get() == b"MORE"  # what was cut off is lost
        there_too = Fault(0.0, schedule.CUT, ("a", "b"), 1.0)
        net.begin(2, there_too)
        writer.write(b" late")
        udp.sendto(b"never")
        late, second = await asyncio.open_connection("127.0.0.1", net.links["a", "b"].port)
        second.write(b" anew")
        await asyncio.sleep(0.1)
        assert there.stream == b"begin there" and len(there.open) == 1 and len(there.datagrams) == 2
        net.heal(2, there_too)
        assert await reader.readexactly(5) == b" LATE" and await late.readexactly(5) == b" ANEW"
        assert len(there.datagrams) == 2

    through(work)


def test_delay_keeps_a_streams_order_and_datagrams_come_late_twice_or_never():
    async def work(net, there, reader, writer, asker, udp):
        loop = asyncio.get_running_loop()
        net.begin(1, Fault(0.0, schedule.DELAY, ("a", "b"), 1.0, {"seconds": 0.1, "jitter": 0.1}))
        net.begin(2, Fault(0.0, schedule.TWICE, ("a", "b"), 1.0, {"share": 1.0}))
        began = loop.time()
        for n in range(20):
            writer.write(b"%02d" % n)
            await asyncio.sleep(0)
        udp.sendto(b"gram")
        await there.until(lambda: len(there.stream) == 45 and len(there.datagrams) == 2)
        assert there.stream[5:] == b"".join(b"%02d" % n for n in range(20)) and 0.1 <= loop.time() - began < 2.0
        net.heal(1, Fault(0.0, schedule.DELAY, ("a", "b")))
        net.heal(2, Fault(0.0, schedule.TWICE, ("a", "b")))
        net.begin(3, Fault(0.0, schedule.LOSS, ("a", "b"), 1.0, {"share": 1.0}))
        udp.sendto(b"lost")
        began = loop.time()
        writer.write(b"again")
        await there.until(lambda: there.stream.endswith(b"again"))
        assert loop.time() - began >= 0.9 * links.AGAIN and there.datagrams == [b"gram"] * 2
        net.heal(3, Fault(0.0, schedule.LOSS, ("a", "b")))
        net.begin(4, Fault(0.0, schedule.SHUFFLE, ("a", "b"), 1.0, {"share": 0.5}))
        for n in range(50):
            udp.sendto(b"%d" % n)
        await there.until(lambda: len(there.datagrams) == 52)
        came = [int(data) for data in there.datagrams[2:]]
        assert sorted(came) == list(range(50)) != came

    through(work)


def test_resets_half_open_ends_and_rubbish_reach_whom_they_should():
    async def work(net, there, reader, writer, asker, udp):
        net.begin(1, Fault(0.0, schedule.RUBBISH, ("a", "b"), 0.0, {"bytes": 300}))
        await there.until(lambda: len(there.stream) == 305 and len(there.datagrams) == 1)
        assert there.stream[5:] == there.datagrams[0]
        half = Fault(0.0, schedule.HALF_OPEN, ("a", "b"), 1.0)
        net.begin(2, half)
        with pytest.raises(ConnectionResetError):
            await reader.read(1000)
            await reader.read()
        await asyncio.sleep(0.05)
        assert len(there.open) == 1  # it is told nothing
        net.heal(2, half)
        await there.until(lambda: not there.open)
        again, writer = await asyncio.open_connection("127.0.0.1", net.links["a", "b"].port)
        writer.write(b"anew")
        assert await again.readexactly(4) == b"ANEW"
        net.begin(3, Fault(0.0, schedule.RESET, ("a", "b")))
        with pytest.raises(ConnectionResetError):
            await again.read()
        await there.until(lambda: not there.open)

    through(work)


def test_a_stream_that_nobody_reads_is_not_held_without_a_bound():
    async def work(net, there, reader, writer, asker, udp):
        net.begin(1, Fault(0.0, schedule.CUT, ("a", "b"), 1.0))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                while True:
                    writer.write(b"x" * 65536)
                    await writer.drain()
        near = next(side for side in net.links["a", "b"].sides if side.way is net.ways["a", "b"])
        assert near._held <= links.MOST_HELD + (256 << 10)
        net.heal(1, Fault(0.0, schedule.CUT, ("a", "b")))
        writer.write(b"end")
        reading = asyncio.create_task(reader.read(-1))  # what is cried back
        await there.until(lambda: there.stream.endswith(b"end"))
        reading.cancel()

    through(work)


# --- Points.


def test_a_point_holds_its_process_at_the_count_that_was_asked():
    text = (
        "from linkdock.cluster.points import point\n"
        "for _ in range(5):\n    point('other'); point('here'); print('on')"
    )
    child = subprocess.Popen(
        [sys.executable, "-uc", text], stdout=subprocess.PIPE, text=True, env={**os.environ, "LINKDOCK_POINT": "here:3"}
    )
    try:
        assert [child.stdout.readline() for _ in range(3)] == ["on\n", "on\n", '{"event": "point", "name": "here"}\n']
        _, status = os.waitpid(child.pid, os.WUNTRACED)
        assert os.WIFSTOPPED(status)
        child.send_signal(signal.SIGCONT)
        assert child.communicate(timeout=10)[0] == "on\n" * 3
    finally:
        child.kill()
    for bad in ("here", "here:0", ":1", "here:x"):
        with pytest.raises(ValueError, match="name:count"):
            held(bad)


# --- Checks. One good history, and for each check what it must find in it once it is doctored.


def told():
    events, at = [], 0.0

    def say(who, event, **more):
        nonlocal at
        at += 0.1
        events.append({"at": round(at, 3), "who": who, "event": event, **more})

    for n, who in enumerate("abc"):
        say(who, "begins", life=1, fresh=True)
        say(who, "node", id=f"{who}~{n}")
    say("a", "leads", term=1, id="a~0")
    for index, op in ((2, "x"), (3, "y")):
        say("harness", "asked", op=op)
        for who in "abc":
            say(who, "applied", index=index, op=op)
        say("harness", "answered", op=op, ok=True, index=index)
    say("b", "reading", begun=at, index=3)
    say("b", "holds", name="job", token=4, since=at, until=at + 0.35)
    say("b", "used", name="job", token=4, ok=True)
    say("harness", "fault", what="full", whom=["b"])
    say("b", "failed", code="LD-CLUSTER-DISK")
    say("c", "ended", status=-9, expected=True)
    say("c", "begins", life=2, fresh=True)
    say("c", "node", id="c~7")
    say("c", "leads", term=2, id="c~7")
    say("c", "holds", name="job", token=9, since=at, until=at + 5)
    say("c", "used", name="job", token=9, ok=True)
    say("b", "used", name="job", token=4, ok=False)
    say("harness", "healed all")
    say("harness", "asked", op="z")
    say("harness", "answered", op="z", ok=True, index=10)
    for who in "abc":
        say(who, "final", ops={"x": 2, "y": 3, "z": 10})
    return events


def change(event, nth=0, **more):
    def doctor(events):
        [one for one in events if one["event"] == event][nth].update(more)

    return doctor


def drop(event):
    def doctor(events):
        events[:] = [one for one in events if one["event"] != event]

    return doctor


class SlowProcess:
    """Acknowledges a proposal only some turns of the loop after what it holds could have been asked."""

    def __init__(self, acknowledged):
        self.acknowledged = acknowledged

    async def ask(self, order, within, **more):
        if order == "put":
            for _ in range(200):
                await asyncio.sleep(0)
            self.acknowledged[more["key"]] = 7
            return {"index": 7}
        return {"index": 7, "ops": dict(self.acknowledged)}


def kept_at_the_end(acknowledged, lost=()):
    """What the check finds after a proposal that is open when the load ends; `lost` is then gone from the state."""

    async def run():
        fleet = play.Fleet(history.History(), 3)
        slow = SlowProcess(acknowledged)
        fleet.processes = dict.fromkeys(fleet.zones, slow)
        proposal = fleet.spawn(fleet.put("a1", "open"))
        await asyncio.sleep(0)
        await fleet.rest()
        for op in lost:
            del acknowledged[op]
        await fleet.final()
        await proposal
        return checks.kept(fleet.history.events)

    return asyncio.run(run())


# Guards against a run's end that is judged while proposals are open: they were called lost though all hold them.
def test_a_proposal_that_is_open_when_the_load_ends_is_not_called_lost():
    assert kept_at_the_end({}) == []


def test_an_acknowledged_proposal_that_is_gone_at_the_end_is_still_found():
    assert len(kept_at_the_end({}, lost=["open"])) == 3


def test_one_that_is_acknowledged_after_the_final_state_was_read_and_is_gone_is_still_found():
    events = told()
    events.append({"at": 99.0, "who": "harness", "event": "answered", "op": "late", "ok": True, "index": 11})
    assert len(checks.kept(events)) == 3


@pytest.mark.parametrize(
    "name, doctor, found",
    [
        ("one_order", change("applied", 1, op="other"), "entry 2 is other at b"),
        ("one_order", change("applied", 5, index=1), "c applied entry 1 after 2"),
        ("one_order", change("applied", 5, op="x"), "entry 3 is x at c"),
        ("one_order", change("applied", 4, index=4), "b applied entry 4 after 2, without 3"),
        ("linearizable", change("answered", 1, index=7), "y was acknowledged as entry 7 and is entry 3"),
        ("linearizable", change("answered", 2, index=1), "z is entry 1, though 3 was"),
        ("linearizable", change("reading", index=2), "a read at b"),
        ("kept", change("final", 1, ops={"x": 2, "z": 10}), "b lacks 1 acknowledged proposals, such as y"),
        ("kept", change("final", 2, ops={"x": 3, "y": 3, "z": 10}), "c lacks 1"),
        ("kept", drop("final"), "no process said"),
        ("one_leader", change("leads", 1, term=1), "term 1 is led by a~0 and by c~7"),
        ("one_owner", change("holds", 0, until=99.0), "job: b (token 4) until 99.000 s, c (token 9)"),
        ("one_owner", change("used", 2, ok=True), "job let b in with token 4 after 9 of c"),
        ("one_owner", change("used", 1, token=4), "job let c in with token 4 after 4 of b"),
        ("new_ids", change("node", 3, id="c~2"), "its folder lost"),
        ("new_ids", change("begins", 3, fresh=False), "its folder kept"),
        ("new_ids", change("node", 1, id="a~0"), "a~0 is both a and b"),
        ("sound", change("ended", expected=False), "c ended by itself, status -9"),
        ("sound", change("fault", what="stop"), "the node of b gave up: LD-CLUSTER-DISK"),
        ("lively", change("answered", 2, at=99.0), "no commit within 5 s of the healing but after"),
        ("lively", change("answered", 2, ok=False), "no commit within 5 s"),
        ("lively", drop("healed all"), "not all was healed"),
    ],
)
def test_a_doctored_history_fails_its_check_and_the_good_one_none(name, doctor, found):
    events = told()
    assert checks.judge(events, 5.0) == []
    doctored = copy.deepcopy(events)
    doctor(doctored)
    assert any(text.startswith(f"{name}: ") and found in text for text in checks.judge(doctored, 5.0))


def test_a_history_is_read_as_it_was_written_but_for_a_torn_last_line(tmp_path):
    path = tmp_path / "history"
    one = history.History(path)
    one.append("a", "begins", life=1)
    one.append("b", "ended", status=0)
    one.close()
    with path.open("a") as file:
        file.write('{"at": 3')
    assert history.read(path) == one.events
    with path.open("a") as file:
        file.write("\n")
    with pytest.raises(ValueError, match=":3: no event"):
        history.read(path)
