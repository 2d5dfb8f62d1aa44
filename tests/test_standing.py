"""Sentences of the standing test's page, each held against the program or the decisions."""

import json
import socket
import threading
import time

import pytest
from peers import PATIENCE, Backend, Discovery

from linkdock.lab.fleet import Plan, story


class Agent(Discovery):
    """An agent that answers a watch with the whole list at once, and not at all while discovery is down."""

    def __init__(self, rows):
        self.rows, self.up, self.asked = rows, threading.Event(), threading.Semaphore(0)
        self.up.set()
        super().__init__()

    def _watched(self, line):
        self.asked.release()
        if not self.up.is_set():
            return False  # this ask stays silent for ever, also when discovery is back
        self.told(line)
        return False

    def told(self, line):
        text = json.dumps({"seq": 99, "whole": True, "hosts": self.rows}, indent=2).encode() + b"\n"
        line.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(text), text))


def test_what_the_agent_has_counts_from_the_first_moment_of_a_new_process(start):
    """Owed messages go out in the first tick of a life: the list that the configuration holds may be old by then."""
    old, fresh = Backend("s1"), Backend("s2")
    agent = Agent([old.row(), fresh.row("draining")])
    program = start([old], discovery=agent)
    client = program.client()
    for n in range(4):
        assert client.enqueue(f"aa0{n}", d=6000) == "+OK"
    line, _ = old.take()  # the calls are out, none is answered
    agent.rows = [old.row("draining"), fresh.row()]
    program.kill()
    while not old.quiet(0.05):
        pass
    program.start()
    seen = {fresh.take()[1][1]["x-trace-id"] for _ in range(4)}
    assert seen == {"aa00", "aa01", "aa02", "aa03"}
    assert old.quiet()


def test_right_after_an_outage_of_discovery_its_news_is_asked_for_anew(start):
    server = Backend("s1")
    agent = Agent([server.row()])
    agent.up.clear()
    start([server], discovery=agent)
    for _ in range(2):  # the second ask is out, and nobody will ever answer it
        assert agent.asked.acquire(timeout=PATIENCE)
    agent.up.set()
    back = time.monotonic()
    assert agent.asked.acquire(timeout=PATIENCE)
    # Two seconds after the agent has it a drain binds; asks are given up after half a second, not after 2.8.
    assert time.monotonic() - back < 1.8


def test_after_sigterm_what_comes_on_connections_that_stay_open_is_answered(start):
    server = Backend("s1")
    program = start([server], limits__max_open=200)
    used, fresh, half, last = (program.client() for _ in range(4))
    assert used.enqueue("aa00", "order", 16000) == "+OK"  # its call is out until the end: the process stays
    line, _ = server.take()
    assert fresh.ask("PING") == "+PONG" and last.enqueue("aa01") == "+OK"
    half.sock.sendall(b"*5\r\n$7\r\nENQ")
    program.terminate()
    program.logged("stopping")
    words = ("0" * 16, "cc01", "c=preview,d=6000,dest=1", "x")
    half.sock.sendall(b"UEUE\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w.encode()) for w in words))
    assert half.heard() == "+OK"
    heard, crossed, open_ones = [], 0, [used, fresh, last, half]
    until = time.monotonic() + 2.5
    while open_ones and time.monotonic() < until:
        for client in list(open_ones):
            if closed(client):
                open_ones.remove(client)
            elif (said := sent(client, f"bb{len(heard):04}")) is None:
                open_ones.remove(client)
                crossed += 1  # closed between requests, just before this one could be read
            else:
                heard.append(said)
    assert len(heard) >= 3 and all(said == "+OK" or said.startswith("-BUSY") for said in heard)
    assert crossed <= 1
    line.close()
    program.wait()


def closed(client):
    client.sock.setblocking(False)
    try:
        return client.sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
    finally:
        client.sock.settimeout(PATIENCE)


def sent(client, name):
    """The answer; None where the connection had been closed before the request could be read."""
    try:
        return client.enqueue(name) or None
    except ConnectionError:
        return None


@pytest.mark.parametrize("senders", [3, 30, 40, 200])
@pytest.mark.parametrize("name", ["return", "herd"])
def test_senders_that_were_told_keep_within_what_a_cold_member_bears(senders, name):
    """At most N + 2 x root of N + 2 calls in the settings' time, from all that knew of the outage."""
    told = story(Plan(senders=senders, members=6, rate=120.0), 11, name)
    assert 0 < told["most by those told"] <= 1.0
