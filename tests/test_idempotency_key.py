"""The key by which a server drops repeats: it goes with each attempt, alone or among others, over a restart too."""

import json

from peers import CLASSES, Backend, settled

KEYED = [
    *CLASSES,
    {"name": "hold", "idempotency": "idempotency_key", "group": "all", "window": 20.0, "aim": 4.0, "hard-limit": 30.0},
]


def hand_in(client, name, key, dest=1):
    return client.ask("ENQUEUE", "0" * 16, name, f"c=hold,d=30000,k={key},dest={dest}", b"hello")


def test_each_attempt_names_the_key_and_a_message_without_one_names_none(start):
    server = Backend("s1")
    client = start([server], grades=KEYED).client()
    assert hand_in(client, "aa01", "251129552326564b") == "+OK"
    line, (_, headers, _) = server.take()
    assert headers["idempotency-key"] == "251129552326564b"
    line.answer(500)
    _, again, _ = line.call()
    assert (again["x-trace-id"], again["idempotency-key"]) == ("aa01", "251129552326564b")
    line.answer(200)
    assert client.enqueue("aa02") == "+OK"
    _, headers, _ = line.call()
    assert headers["x-trace-id"] == "aa02" and "idempotency-key" not in headers
    line.answer(200)


def test_the_key_outlives_the_process(start):
    server = Backend("s1")
    program = start([server], grades=KEYED)
    client = program.client()
    assert hand_in(client, "aa01", "251129552326564b") == "+OK"
    line, _ = server.take()
    line.answer(429, Retry_After="30")  # proven not to have run, and untried for the next life
    settled(client)
    program.kill()
    program.start()
    line, (_, headers, _) = server.take()
    assert (headers["x-trace-id"], headers["idempotency-key"]) == ("aa01", "251129552326564b")
    line.answer(200)


def test_in_a_shared_call_each_has_its_own(start):
    server, slow = Backend("s1", kind="batching"), Backend("s2", destination=2)
    program = start([server, slow], grades=KEYED, extra__calls_out=1)
    client = program.client()
    assert hand_in(client, "bb01", "b", dest=2) == "+OK"  # takes the one slot, so that the others wait together
    held, _ = slow.take()
    for n in "12":
        assert hand_in(client, f"aa0{n}", n * 16) == "+OK"
    held.answer(200)
    line, (first, _, body) = server.take()
    assert first.startswith("POST /v1/messages:batch")
    assert {one["id"]: one["key"] for one in json.loads(body)} == {"aa01": "1" * 16, "aa02": "2" * 16}
    line.answer(200, b'[{"id":"aa01","state":"done"},{"id":"aa02","state":"done"}]')


def test_in_a_shared_call_the_key_of_the_order_is_no_idempotency_key(start):
    # A receiver that drops repeats by key dropped every later order of a key, which its client held to be delivered.
    classes = [{**CLASSES[1], "keep-order": True}, KEYED[-1]]
    server, slow = Backend("s1", kind="batching"), Backend("s2", destination=2)
    client = start([server, slow], grades=classes, extra__calls_out=1).client()
    assert hand_in(client, "bb01", "b", dest=2) == "+OK"  # takes the one slot, so that the others wait together
    held, _ = slow.take()
    for n in "12":
        assert client.ask("ENQUEUE", n * 16, f"aa0{n}", "c=order,d=16000,dest=1", b"hello") == "+OK"
    assert hand_in(client, "aa03", "3" * 16) == "+OK"
    held.answer(200)
    line, (first, _, body) = server.take()
    assert first.startswith("POST /v1/messages:batch")
    assert {one["id"]: one.get("key") for one in json.loads(body)} == {"aa01": None, "aa02": None, "aa03": "3" * 16}
    line.answer(200, json.dumps([{"id": f"aa0{n}", "state": "done"} for n in "123"]).encode())


def test_a_key_that_cannot_be_one_is_refused(start):
    server = Backend("s1")
    client = start([server], grades=KEYED).client()
    for n, key in enumerate(("", "a b", "k" * 65, "x\r\nX-Other: 1")):
        assert hand_in(client, f"aa0{n}", key) == "-ERR malformed idempotency key"
    assert server.quiet()
