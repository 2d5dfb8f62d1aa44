"""A try that never came to a server is none of a message's attempts, in this life and the next."""

import asyncio
import json
import time

import pytest
from peers import UNHURRIED, Backend, owed, refuse, settled
from test_races_windows import OneSender

from linkdock.facade import DELIVERED, NOT_SENT, Item
from linkdock.interface import Effect
from linkdock.sender.sender import JOURNAL_PAUSE
from linkdock.state.requests import Request


@pytest.mark.parametrize("servers", [3, 6])
def test_a_message_whose_servers_all_refuse_connections_is_kept_for_its_time(start, servers):
    backends = [Backend(f"s{n}") for n in range(servers)]
    for server in backends:
        refuse(server)
    program = start(backends)
    program.settle()
    begun = time.monotonic()
    assert program.client().enqueue("aa01", d=3000) == "+OK"
    assert program.discovery.notice()["id"] == "aa01" and time.monotonic() - begun > 0.7 * 3.0


def test_what_a_restart_found_has_the_tries_that_came_to_no_server_left(start):
    dead, server = Backend("s1"), Backend("s2", destination=2)
    refuse(dead)
    program = start([dead, server], grades=UNHURRIED, limits__max_attempts=2)
    client = program.client()
    assert client.enqueue("aa01", d=30_000) == "+OK" and client.enqueue("aa02", d=30_000, dest=2) == "+OK"
    line, _ = server.take()
    line.answer(500)  # one try, which came to its server
    line.call()
    settled(client)
    program.kill()
    kept = owed(program)
    assert (kept["aa01"].tries, kept["aa02"].tries) == (0, 2)
    program.start()
    assert program.discovery.notice() == {"id": "aa02", "status": "undeliverable"}  # it has none left
    settled(program.client())
    program.kill()
    assert list(owed(program)) == ["aa01"]  # and is still tried


class WithoutJournalRoom:
    """A sender whose journal takes no record of a dispatch; its calls get as far as the last look."""

    def __init__(self, folder):
        self.desk, self.refused, self.gone = OneSender(folder, Effect.SAFE), 0, []
        self.sender, self.journal = self.desk.sender, self.desk.sender._context.journal
        self.room, self.journal.sent = False, lambda request, attempt: self.room
        request = Request("aa01", "0", 0, 1, 0.0, b"x", answer=lambda said: True)
        self.sender.ask("any", 1, 6.0, request, False, False)

    def run(self, seconds):
        until = self.desk.now + seconds
        while self.desk.now < until:
            self.desk.now += 0.005
            self.sender.beat()
            for name, attempt in list(self.sender._calls):
                item = Item(name, attempt, 1.0)
                if self.sender.may_go("s1", item):
                    self.gone.append(item)
                    self.sender.ended("s1", item, DELIVERED, 0.1, over=True)
                else:
                    self.refused += 1
                    self.sender.ended("s1", item, NOT_SENT, 0.0)


# Guards against a message that ends with no try left and no call: each tick without room in the journal used one up.
def test_a_message_for_whose_dispatch_the_journal_has_no_room_keeps_its_tries(tmp_path):
    async def story():
        one = WithoutJournalRoom(tmp_path)
        one.run(4.5)
        assert 5 <= one.refused <= 4.5 / JOURNAL_PAUSE  # as often as a message may be tried; and not each tick
        one.room = True
        one.run(1.0)
        assert len(one.gone) == 1

    asyncio.run(story())


@pytest.mark.parametrize("size", [20000, 40000])
def test_bodies_that_do_not_fit_in_one_shared_call_all_go_out_in_their_turn(start, size):
    server = Backend("s1", kind="batching")
    program = start([server], extra__calls_out=1)
    client, names = program.client(), {f"bb{n:02}" for n in range(12)}
    assert client.enqueue("aa00", "order", 16000) == "+OK"  # it holds the only slot
    line, _ = server.take()
    for name in sorted(names):
        assert client.enqueue(name, "order", 16000, body=b"x" * size) == "+OK"
    line.answer(200)
    while names:
        first, headers, body = line.call()
        ids = [m["id"] for m in json.loads(body)] if "batch" in first else [headers["x-trace-id"]]
        names -= set(ids)
        line.answer(200, json.dumps([{"id": name, "state": "done"} for name in ids]).encode())
    assert program.discovery.notices.empty()
