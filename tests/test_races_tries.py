"""A try that never came to a server is none of a message's attempts, in this life and the next."""

import time

import pytest
from peers import UNHURRIED, Backend, owed, refuse, settled


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
    line.answer(500)             # one try, which came to its server
    line.call()
    settled(client)
    program.kill()
    kept = owed(program)
    assert (kept["aa01"].tries, kept["aa02"].tries) == (0, 2)
    program.start()
    assert program.discovery.notice() == {"id": "aa02", "status": "undeliverable"}   # it has none left
    settled(program.client())
    program.kill()
    assert list(owed(program)) == ["aa01"]   # and is still tried
