"""Terms of the standing test's page that a whole process has to keep: descriptors, starts, windows, kills, refusals."""

import contextlib
import json
import os
import resource
import socket
import threading
import time
from dataclasses import replace
from random import Random

import pytest
from peers import PATIENCE, UNHURRIED, Backend, Discovery, owed, settled
from test_races_restart import ended, message

from linkdock import interface as i
from linkdock.lab.fleet import settings_of
from linkdock.lab.members import Member, Rules
from linkdock.lab.virtual import World
from linkdock.state.journal import Journal

SOCKETS = 64  # descriptors that a process may hold
OWN = 8  # of them that clients never take: for discovery, notices and calls
READY = 10.0  # seconds from a start until it answers
READY_CPU = 3.0  # seconds of processor time until then: the bound that no load of the machine moves
TOLD = 6.0  # seconds after which news counts that discovery had and that could be asked for
DRAIN_GRACE = 1.0  # and in which something new may still go to a server that drains
AWAY = 4.0  # seconds in which a sender may not turn all away without an attempt
ORDER = 1  # the class that may not be repeated
WINDOW = 1.0  # seconds in which a keyed message may be repeated
KEYED = [
    *UNHURRIED,
    {"name": "hold", "idempotency": "idempotency_key", "window": WINDOW, "aim": 4.0, "hard-limit": 30.0},
]
KEY = "251129552326564b"


class Agent(Discovery):
    """Silent while it is down, also to asks from that time; up, it tells the whole list. Notices it always answers."""

    def __init__(self, rows=()):
        self.rows, self.up, self.lines = list(rows), True, []
        self.told = threading.Event()
        super().__init__()

    def _watched(self, line):
        self.lines.append(line)
        if self.up:
            text = json.dumps({"seq": 99, "whole": True, "hosts": self.rows}).encode() + b"\n"
            line.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(text), text))
            self.told.set()
        return False

    def down(self):
        self.up = False
        self.told.clear()
        for line in self.lines:
            with contextlib.suppress(OSError):
                line.sock.shutdown(socket.SHUT_RDWR)


class Idle(threading.Thread):
    """Clients that connect and say nothing; who is shut connects anew."""

    def __init__(self, port, most):
        super().__init__(daemon=True)
        self.port, self.most, self.made, self.over = port, most, 0, threading.Event()

    def run(self):
        held = []
        while not self.over.wait(0.005):
            with contextlib.suppress(OSError):
                held.append(socket.create_connection(("127.0.0.1", self.port), 1.0))
                self.made += 1
            for old in held[: -self.most]:
                old.close()
            del held[: -self.most]


def descriptors(program):
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


def cpu(program):
    fields = open(f"/proc/{program.process.pid}/stat").read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_idle_clients_that_fill_the_descriptors_while_discovery_is_down_cost_no_news_notice_or_message(start):
    old, fresh = Backend("s1"), Backend("s2")
    agent = Agent([old.row()])
    program = start([old], discovery=agent, limits={"sockets": SOCKETS}, grades=UNHURRIED)
    resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    client = program.client()
    assert client.enqueue("aa01", "order", 16000) == "+OK"
    line, _ = old.take()
    agent.down()
    idle = Idle(program.port, 4 * SOCKETS)
    idle.start()
    most, until = 0, time.monotonic() + PATIENCE
    while idle.made < 4 * SOCKETS:
        assert time.monotonic() < until
        most = max(most, descriptors(program))
        settled(client)  # who is known is served
    assert SOCKETS // 3 < most <= SOCKETS - OWN  # they are let in, as far as the process keeps room for itself
    assert client.enqueue("aa02", d=30_000) == "+OK"  # taken on amid them
    line.close()
    assert agent.notice() == {"id": "aa01", "status": "undeliverable"}
    second, call = old.take()
    assert call[1]["x-trace-id"] == "aa02"
    agent.rows, agent.up = [old.row("draining"), fresh.row()], True
    back = time.monotonic()
    assert agent.told.wait(PATIENCE) and time.monotonic() - back < TOLD
    second.answer(500, Connection="close")
    third, call = fresh.take()  # the drain is heeded
    assert call[1]["x-trace-id"] == "aa02"
    third.answer(200)
    settled(client)
    idle.over.set()
    idle.join(PATIENCE)
    program.kill()
    assert not owed(program)


@pytest.mark.parametrize("known", [None, {"seq": 7, "hosts": "none"}], ids=["known", "spoilt"])
def test_a_start_with_a_large_journal_while_discovery_is_silent_is_soon_ready(start, known):
    server, agent = Backend("s1", backlog=512), Agent()
    agent.up = False
    more = {} if known is None else {"known": known}
    program = ended(start, [server], discovery=agent, limits={"disk_mb": 40}, grades=UNHURRIED, **more)
    names = [f"m{n:05}" for n in range(5000)]
    journal = Journal(program.state, 40_000_000)
    for name in names:
        assert journal.take(message(name, until=time.time() + 30, body=b"x" * 500))
    journal.close()
    began = time.monotonic()
    program.start()
    assert program.client().ask("PING") == "+PONG"
    assert time.monotonic() - began < READY and cpu(program) < READY_CPU
    program.kill()
    assert len(owed(program)) > 4000  # it had them, and gave none up for its start


def hand_in(client, name):
    return client.ask("ENQUEUE", "0" * 16, name, f"c=hold,d=30000,k={KEY},dest=1", b"hello")


def test_in_a_window_of_a_second_repeats_keep_their_key_and_beyond_it_there_are_none(start):
    server = Backend("s1")
    program = start([server], grades=KEYED, limits__max_attempts=50)
    assert hand_in(program.client(), "aa01") == "+OK"
    times = []
    line, call = server.take()
    while call is not None:
        times.append(time.monotonic())
        assert (call[1]["x-trace-id"], call[1]["idempotency-key"]) == ("aa01", KEY)
        with contextlib.suppress(ConnectionError):
            line.answer(500)
        line.sock.settimeout(2 * WINDOW)
        try:
            call = line.call()
        except TimeoutError:
            call = None
    assert program.discovery.notice()["id"] == "aa01"
    assert len(times) > 1 and times[-1] - times[0] < WINDOW + 0.25 and server.quiet()


@pytest.mark.parametrize("ran", [True, False])
def test_after_a_kill_nothing_is_repeated_beyond_a_window_of_a_second(start, ran):
    """What surely never ran is no repeat, however late: it goes out with its key."""
    server = Backend("s1")
    program = start([server], grades=KEYED)
    client = program.client()
    assert hand_in(client, "aa01") == "+OK"
    line, _ = server.take()
    if not ran:
        line.answer(429, Retry_After="30")
        settled(client)
    program.kill()
    program.start()
    if ran:
        assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"} and server.quiet()
    else:
        line, call = server.take()
        assert (call[1]["x-trace-id"], call[1]["idempotency-key"]) == ("aa01", KEY)
        line.answer(200)
        settled(program.client())
        assert program.discovery.notices.empty()


class Counted(World):
    """One sender on a virtual clock that keeps when it was asked, refused and called a member."""

    def __init__(self, members, room, slots):
        told = replace(settings_of(1, 0), max_open=room, slots=slots)
        super().__init__(told, 5, None, members, lambda host: int(host[2:]))
        self.asked, self.refused, self.sent = [], [], []
        self.count = self._counted
        self.tell(i.Hosts(i.ListKind.FULL, [i.HostEntry(f"s-{n}", n) for n in members], 1))

    def _counted(self, now, destination, what):
        if what in ("sent", "resent"):
            self.sent.append(now)

    def _ask(self, destination, cls, kind):
        self.asked.append(self.now)
        super()._ask(destination, cls, kind)

    def _end(self, number, how):
        if how == "refused":
            self.refused.append(self.now)
        super()._end(number, how)


def within(times, begin, end):
    return sum(begin <= at < end for at in times)


@pytest.mark.parametrize(
    "count, rate, room, slots", [(2, 10, 57, 4), (5, 30, 170, 7)], ids=["half of the traffic", "a fifth"]
)
def test_a_sender_one_of_whose_members_is_silent_never_turns_all_away_for_long(count, rate, room, slots):
    """Each message may wait 16 s, and there is room for 5.7 s of the traffic: the silent one could fill it."""
    members = {n: Member(n, Rules(), Random(n), rate=60.0) for n in range(count)}
    world = Counted(members, room, slots)
    members[0].fall()
    for n in range(30 * rate):
        world.ask(0.1 + n / rate, n % count, ORDER, "all")
    world.run(32.0)
    assert world.refused  # there was no room for all
    for begin in (n * 0.25 for n in range(104)):
        asked, refused, sent = (
            within(times, begin, begin + AWAY) for times in (world.asked, world.refused, world.sent)
        )
        assert asked >= 15 and (refused < asked or sent), begin
