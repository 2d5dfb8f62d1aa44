"""Messages that go in order by their key: the next goes out once the call before it is over at its server as well."""

import select

import pytest
from peers import CLASSES, Backend

ORDERED = [{**CLASSES[0], "keep-order": True}, {**CLASSES[1], "keep-order": True}]


def hand_in(client, name, cls):
    return client.ask("ENQUEUE", "00000000000000a7", name, f"c={cls},d=6000,dest=1", b"hello")


def over(line):
    """Whether the other side has ended this connection by now."""
    ready, _, _ = select.select([line.sock], [], [], 0)
    return bool(ready) and line.sock.recv(1) == b""


@pytest.mark.parametrize("cls", ["preview", "order"])
@pytest.mark.parametrize(
    "told",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nno header\r\n\r\n",
    ],
)
def test_an_answer_that_stops_short_keeps_the_next_of_its_key_until_its_connection_is_closed(start, cls, told):
    server = Backend("s1")
    program = start([server], grades=ORDERED)
    client = program.client()
    assert hand_in(client, "aa01", cls) == "+OK"
    first, _ = server.take()
    assert hand_in(client, "aa02", cls) == "+OK"
    first.sock.sendall(told)
    second, (_, headers, _) = server.take()
    assert headers["x-trace-id"] == "aa02" and over(first)
    second.answer(200)
    assert program.discovery.notices.empty()  # the first was delivered by its first line


def test_a_whole_answer_lets_the_next_of_its_key_go_over_the_same_connection(start):
    server = Backend("s1")
    client = start([server], grades=ORDERED).client()
    assert hand_in(client, "aa01", "order") == "+OK" and hand_in(client, "aa02", "order") == "+OK"
    line, _ = server.take()
    line.answer(200)
    assert line.call()[1]["x-trace-id"] == "aa02"
    line.answer(200)


def test_the_next_of_a_key_rests_after_a_spoilt_answer_as_after_any_other_doubt(start):
    server = Backend("s1")
    program = start([server], grades=ORDERED, rules__settle_after_doubt=1.0)
    client = program.client()
    assert hand_in(client, "aa01", "order") == "+OK" and hand_in(client, "aa02", "order") == "+OK"
    line, _ = server.take()
    line.sock.sendall(b"HTTP/1.1 500 Told\r\nno header\r\n\r\n")
    assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"}
    assert server.quiet(0.6)
    line, (_, headers, _) = server.take()
    assert headers["x-trace-id"] == "aa02"
    line.answer(200)
