"""Stories of answers that cannot be read, or not in the shape that was asked for."""

import json
import time

import pytest
from peers import Backend, owed, settled, socket_that_is_called


@pytest.mark.parametrize(
    "answer",
    [
        b"SMTP ready\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n",
        b"HTTP/1.1 999 What\r\n\r\n",
        b"HTTP/1.1 500 No\r\nContent-Length: -1\r\n\r\n",
        b"\0" * 20000,
    ],
)
def test_a_bad_answer_is_an_outcome(start, answer):
    server = Backend("s1")
    program = start([server])
    client = program.client()
    assert client.enqueue("aa01", "order") == "+OK"
    line, _ = server.take()
    line.sock.sendall(answer)
    line.close()
    assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"}
    settled(client)


SPOILT = [
    "no colon here\r\n\r\n",
    "Content-Length: -5\r\n\r\n",
    "Content-Length: 3000000000\r\n\r\nxx",
    "Content-Length: 9\r\n\r\nxx",
    "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
    "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
    "X: y\r\n",
]


@pytest.mark.parametrize("rest", SPOILT)
def test_a_first_line_with_200_is_true_whatever_follows_and_its_connection_is_given_up(start, rest):
    server = Backend("s1")
    program = start([server])
    client = program.client()
    assert client.enqueue("aa01", "order", 16000) == "+OK"
    line, _ = server.take()
    line.sock.sendall(f"HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n{rest}".encode())
    begun = time.monotonic()
    assert line.call() is None and time.monotonic() - begun < 2
    settled(client)
    program.kill()
    assert not owed(program) and program.discovery.notices.empty()


@pytest.mark.parametrize("status", [429, 503, 410, 504])
@pytest.mark.parametrize("rest", [SPOILT[0], SPOILT[3]])
def test_any_other_answer_that_cannot_be_read_to_its_end_may_have_run(start, status, rest):
    servers = [Backend("s1"), Backend("s2")]
    program = start(servers)
    assert program.client().enqueue("aa01", "order", 16000) == "+OK"
    line, _ = socket_that_is_called(servers).take()
    line.sock.sendall(f"HTTP/1.1 {status} No\r\nRetry-After: 0.1\r\n{rest}".encode())
    assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"}
    assert line.call() is None and all(server.quiet(0.1) for server in servers)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"{}",
        b"7",
        b"null",
        b"[" * 60000,
        b'[{"id":["aa01"],"state":"done"}]',
        b'[{"id":"aa01","state":[]}]',
        b'[{"id":"aa01","state":"done"},3]',
        b'[{"id":"aa01","state":"eaten"}]',
    ],
)
def test_a_batch_answer_of_any_other_shape_may_have_run(start, answer):
    server = Backend("s1", kind="batching")
    program = start([server], extra__calls_out=1)
    client = program.client()
    assert client.enqueue("aa00", "order", 16000) == "+OK"  # a preview holds the slot for 1 s, and this for 5
    line, _ = server.take()
    for name in ("aa01", "aa02"):  # they wait for the only slot, and then share a call
        assert client.enqueue(name, "order", 16000) == "+OK"
    line.answer(200)
    assert line.call()[0].startswith("POST /v1/messages:batch ")
    line.answer(200, answer)
    ended = [program.discovery.notice() for _ in range(2)]
    assert sorted(n["id"] for n in ended) == ["aa01", "aa02"]
    settled(client)


@pytest.mark.parametrize("copies", [True, False])
def test_in_a_shared_call_one_may_be_given_up_and_still_be_delivered(start, copies):
    server = Backend("s1", kind="batching")
    program = start([server], limits__second_copies=copies, extra__calls_out=1 if copies else 8)
    client = program.client()
    assert client.enqueue("aa01") == "+OK"
    line, _ = server.take()
    line.close()  # a loss: from now on a call of this class may last no longer than tau
    line, _ = server.take()
    line.answer(429, Retry_After="0.4")
    assert client.enqueue("aa02", "order", 16000) == "+OK"  # waits too, and then shares the call
    _, headers, body = line.call()
    assert {m["id"] for m in json.loads(body)} == {"aa01", "aa02"}
    assert server.quiet(3.0)  # longer than tau: there is no slot, or it must not go out a second time
    line.answer(200, json.dumps([{"id": n, "state": "done"} for n in ("aa01", "aa02")]).encode())
    assert client.enqueue("aa03") == "+OK"
    assert line.call()[1]["x-trace-id"] == "aa03"  # alone: the first is over
    line.answer(200)
    settled(client)
    program.kill()
    assert not owed(program)


def test_what_comes_behind_an_answer_is_not_taken_for_the_next(start):
    server = Backend("s1")
    program = start([server], tick=0.001)
    client = program.client()
    assert client.enqueue("aa01", "order") == "+OK"
    line, _ = server.take()
    assert client.enqueue("aa02", "order") == "+OK"
    server.take()[0].answer(200, Connection="close")
    line.answer(200)
    line.answer(200)  # once more, right behind
    assert line.call() is None  # nobody waits for it, and so the connection is given up
    assert client.enqueue("aa03", "order") == "+OK"
    line, (_, headers, _) = server.take()
    assert headers["x-trace-id"] == "aa03"
    line.answer(200)
    settled(client)
    assert program.discovery.notices.empty()
