"""Races of a restart: what one life left, whatever the next one's settings are, and a journal that has suffered."""

import time

import pytest
from peers import CLASSES, UNHURRIED, Backend, owed, settings, settled

from linkdock.state.journal import Journal, Kept


def message(name, **more):
    return Kept(**{"id": name, "key": "0" * 16, "cls": "preview", "destination": 1, "until": 2e9,
                   "body": name.encode(), **more})


def left_behind(program, *messages):
    """What a life that has ended owes; the program must not run."""
    journal = Journal(program.state, 3_000_000)
    for kept in messages:
        assert journal.take(kept)
    journal.close()


def ended(start, servers, **more):
    """A program whose first life is over."""
    program = start(servers, **more)
    program.kill()
    return program


def served(server, count):
    """So many calls, each answered; the ids."""
    ids = []
    for _ in range(count):
        line, (_, headers, _) = server.take()
        ids.append(headers["x-trace-id"])
        line.answer(200, Connection="close")
    return sorted(ids)


# --- Other settings than in the life before.


def test_a_key_that_names_no_order_does_not_end_the_start_of_a_class_that_goes_in_order_now(start):
    server = Backend("s1")
    program = ended(start, [server], grades=[{**CLASSES[0], "keep-order": True}, CLASSES[1]])
    left_behind(program, message("aa01", key="no:hex", until=time.time() + 6), message("aa02", until=time.time() + 6))
    program.start()
    assert served(server, 2) == ["aa01", "aa02"]
    settled(program.client())
    assert any("aa01" in line and "hexadecimal" in line for line in program.log)


def test_what_has_no_try_left_ends_at_once_and_goes_out_no_more(start):
    server = Backend("s1")
    program = start([server], limits__max_attempts=2, grades=UNHURRIED)
    assert program.client().enqueue("aa01", d=30_000) == "+OK"
    line, _ = server.take()
    line.answer(500, Connection="close")
    server.take()   # the last one is out when the life ends
    program.kill()
    program.start()
    assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"}
    assert server.quiet()
    settled(program.client())
    program.kill()
    assert not owed(program)


def test_a_class_that_is_gone_ends_its_messages_with_a_line_and_nothing_else(start):
    server = Backend("s1")
    program = ended(start, [server], admin="127.0.0.1:0")
    left_behind(program, message("aa01", cls="gone"), message("aa02", cls="gone", doubt={0}, used=1),
                message("aa03", until=time.time() + 6))
    program.start()
    assert {program.discovery.notice()["id"] for _ in range(2)} == {"aa01", "aa02"}
    assert served(server, 1) == ["aa03"]
    assert any("gone" in line and "aa01" in line for line in program.log)


@pytest.mark.parametrize("before, after, again", [
    ("read_like", "non_idempotent", False), ("non_idempotent", "read_like", True),
    ("read_like", "idempotency_key", False)])
def test_a_class_with_another_effect_goes_by_the_new_one(start, before, after, again):
    server = Backend("s1")
    program = start([server], grades=[{**UNHURRIED[0], "idempotency": before}, CLASSES[1]])
    assert program.client().enqueue("aa01", d=30_000) == "+OK"
    server.take()
    program.kill()
    program.rewrite(settings=settings(grades=[{**UNHURRIED[0], "idempotency": after, "window": 4.0}, CLASSES[1]]))
    program.start()
    if again:
        assert served(server, 1) == ["aa01"]
    else:
        assert program.discovery.notice() == {"id": "aa01", "status": "undeliverable"} and server.quiet()
    settled(program.client())


def test_a_clock_that_was_set_back_holds_nothing_for_longer_than_it_may_last(start):
    server = Backend("s1", destination=2)
    program = ended(start, [server], grades=[{**CLASSES[0], "hard-limit": 0.5, "aim": 0.2},
                                             {**CLASSES[1], "hard-limit": 0.5, "aim": 0.2}])
    left_behind(program, message("aa01", until=time.time() + 3600))
    began = time.monotonic()
    program.start()
    assert program.discovery.notice()["id"] == "aa01" and time.monotonic() - began < 10
