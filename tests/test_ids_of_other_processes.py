"""An id that another process of the sender has taken on: whoever hands it in here begins nothing and ends nothing."""

import time
from dataclasses import replace

import pytest
from peers import PATIENCE, Backend, settled
from test_races_repeats import Two

from linkdock.interface import Effect
from linkdock.sender import ends
from linkdock.service.take_up import Taker, TakeUp
from linkdock.state.journal import Journal
from linkdock.state.journal_reader import JournalChanges, OtherJournals
from linkdock.state.journal_records import Kept
from linkdock.state.requests import Busy, Request, Taken
from linkdock.state.succession import Left

KEY = "00000000000000a7"
FOREIGN = b"another client's"
PASSES = 40  # in which a call that nothing keeps back would have begun


def message(name="aa01", taken_at=1.0):
    return Kept(name, KEY, "any", 1, time.time() + 6.0, b"hello", taken_at=taken_at)


class OneOfTwo(Two):
    """A sender beside another process, whose ids are those in `held`."""

    def __init__(self, folder, in_order=False):
        super().__init__(folder, Effect.UNSAFE)
        settings = self.sender._context.rules.settings
        settings.classes[0] = replace(settings.classes[0], in_order=in_order)
        self.held, self.sender.beside = set(), self

    def holds(self, request):
        return request in self.held

    def health(self, server, state):
        pass

    def hand_over(self, requests):
        return True

    def ask(self, name="aa01", body=FOREIGN):
        heard = []
        request = Request(name, KEY, 0, 1, 0.0, body, answer=lambda said: heard.append(said) or True)
        self.sender.ask("any", 1, 6.0, request, False, False)
        return heard

    def passes(self):
        """The bodies of the messages whose calls have begun, after a while."""
        for _ in range(PASSES):
            self.now += 0.05
            self.sender.beat()
        return [self.sender._context.requests.get(request).body for request, _ in self.sender._calls]


@pytest.fixture
def unordered(tmp_path):
    made = OneOfTwo(tmp_path)
    yield made
    made.close()


@pytest.fixture
def ordered(tmp_path):
    made = OneOfTwo(tmp_path, in_order=True)
    yield made
    made.close()


# --- What a sender does.


def test_what_another_process_has_taken_on_is_not_begun_here(unordered):
    # The bytes of a bad client went out under the id of an order that waited at the other process.
    unordered.held.add("aa01")
    assert unordered.ask() == [Taken(known=True)]
    assert not unordered.passes() and not unordered.sender._context.journal.kept


def test_what_is_on_record_here_and_not_given_to_the_sender_yet_is_not_begun_under_its_id(unordered):
    # An order that was being taken up was withdrawn with the bad client's request of its id, and had no end.
    assert unordered.sender._context.journal.adopt([message()])
    assert unordered.ask() == [Taken(known=True)]
    unordered.sender.take_up([message()])
    assert unordered.passes() == [b"hello"]


def test_what_is_taken_up_outlasts_a_request_of_its_id_that_waits_for_its_answer(unordered):
    # The answer to the bad client took the order that had come in its request's place out of the open requests.
    heard = unordered.ask()
    assert unordered.sender._context.journal.adopt([message()])
    unordered.sender.take_up([message()])
    assert heard == [Busy(0.0)]
    assert unordered.passes() == [b"hello"]


def test_of_two_processes_that_take_one_id_on_at_once_the_one_that_sees_the_other_gives_way(unordered):
    # Both records stood, and the one that was taken up later was passed over.
    heard = unordered.ask()
    unordered.held.add("aa01")  # since this process looked last
    unordered.sender.beat()
    assert heard == [Busy(0.0)]
    assert not unordered.passes() and not unordered.sender._context.journal.kept


def test_an_id_that_was_handed_over_is_not_begun_by_the_process_that_had_it(unordered):
    # Between the two journals an id was nobody's.
    assert unordered.ask(body=b"hello") == [] and not unordered.sender.beat()
    unordered.sender._calls.clear()
    unordered.sender.hand_over()
    assert unordered.ask() == [Taken(known=True)]


def test_an_id_that_has_ended_at_another_process_is_not_begun_here(unordered):
    # An order was run a second time, with a bad client's bytes, right after the other process had delivered it.
    unordered.sender.held_elsewhere(JournalChanges(ended=["aa01"]))
    assert unordered.ask() == [Taken(known=True)]
    assert not unordered.passes()


def test_an_id_is_not_begun_again_while_its_time_lasts_however_many_have_ended_since(unordered):
    # A client that had left came again after 4,096 further ends, 11 s at 360 messages a second: its order ran twice.
    unordered.sender.held_elsewhere(JournalChanges(ended=["aa01"]))
    longest = max(one.deadline for one in unordered.sender._context.rules.settings.classes)
    unordered.now += longest - 1.0
    unordered.sender.held_elsewhere(JournalChanges(ended=[f"bb{n:05}" for n in range(ends.MOST_REMEMBERED - 1)]))
    assert unordered.ask() == [Taken(known=True)]


def test_what_has_ended_is_forgotten_beyond_a_bound_and_beyond_a_time(unordered):
    ended = unordered.sender._ends
    for count, wait in ((ends.MOST_REMEMBERED + 9, 0.0), (1, 1e6)):
        unordered.now += wait
        unordered.sender.held_elsewhere(JournalChanges(ended=[f"{wait}-{n}" for n in range(count)]))
        assert len(ended._over) == (ends.REMEMBERED if wait else ends.MOST_REMEMBERED)


def test_a_request_of_an_id_that_is_found_to_be_held_elsewhere_leaves_the_turn_of_its_key(ordered):
    # The end of a bad client's request ended the turn of the message whose id it had used.
    heard = ordered.ask()
    ordered.sender.held_elsewhere(JournalChanges(held=[message()]))
    ordered.held.add("aa01")
    assert heard == [Busy(0.0)]
    assert ordered.ask("aa02", b"next") == [] and not ordered.passes()
    ordered.sender.held_elsewhere(JournalChanges(ended=["aa01"]))
    assert ordered.passes() == [b"next"]


# --- What the journals say.


def others(folder, *alive):
    found = OtherJournals(lambda number: folder / f"journal.{number}", lambda cls: False)
    found.follow(alive)
    return found


def test_an_id_is_anothers_from_its_record_on_and_until_its_end_was_reported(tmp_path):
    old, found = Journal(tmp_path, 3_000_000, "journal.1"), others(tmp_path, 1)
    assert not found.holds("aa01", {})
    old.take(message())
    assert found.holds("aa01", {})  # at once, whatever `poll` has told
    old.end("aa01")
    assert found.holds("aa01", {}) and found.poll({}).ended == ["aa01"]
    assert not found.holds("aa01", {})


def test_an_end_is_reported_though_its_message_was_never_seen_open(tmp_path):
    old, found = Journal(tmp_path, 3_000_000, "journal.1"), others(tmp_path, 1)
    old.take(message())
    old.end("aa01")
    assert found.poll({}).ended == ["aa01"] and found.poll({}).ended == []


def test_what_was_handed_over_stays_anothers_until_it_is_on_record_here(tmp_path):
    old, found = Journal(tmp_path, 3_000_000, "journal.1"), others(tmp_path, 1)
    old.take(message())
    assert old.hand_over(["aa01"], tmp_path / "handed.1.1", tmp_path / "journal.3")
    assert found.holds("aa01", {})
    old.end("aa01")
    old.close()
    (tmp_path / "journal.1").unlink()
    found.follow([])
    assert found.holds("aa01", {"aa01": 1}) is False and not len(found)


def test_what_is_being_taken_up_is_found_before_it_is_on_record_here(tmp_path):
    old, own = Journal(tmp_path, 3_000_000), Journal(tmp_path, 3_000_000, "journal.2")
    for number in range(200):
        old.take(message(f"aa{number:03}"))
    work = TakeUp(own, [Left(tmp_path, 0, None)], Taker(), lambda: 0.0)
    while not work.found("aa199"):
        assert work.advance() and not own.kept
    work.close()


# --- Two processes.


def test_an_order_that_is_out_at_the_old_process_runs_once_though_its_id_is_used_at_the_new_one(pair):
    # The new process took the bad client's request on, and ran the order a second time with its bytes.
    server = Backend("s1")
    both = pair([server])
    old = both.start()
    assert both.client().enqueue("aa01", cls="order", d=16000) == "+OK"
    line, (_, _, body) = server.take()
    assert body == b"hello"
    both.start()
    both.met(1)
    old.terminate()
    old.logged("stopping")
    foreign = both.client()  # the new one's: the old one has left the socket
    assert foreign.enqueue("aa01", cls="order", d=16000, body=FOREIGN) == "+OK"
    assert server.quiet(1.0)
    line.answer(200)
    assert old.wait() == 0
    assert foreign.enqueue("aa01", cls="order", d=16000, body=FOREIGN) == "+OK"
    assert server.quiet(1.0) and both.discovery.notices.empty()


def test_orders_that_wait_at_an_upgrade_all_run_though_bad_clients_use_their_ids(pair):
    # Some orders were neither run nor ended by a notice, and others were run with a bad client's bytes alone.
    server = Backend("s1")
    both = pair([server], limits__max_open=400)
    old = both.start()
    client = both.client()
    names = [f"ab{n:03}" for n in range(150)]
    assert {client.enqueue(name, cls="order", d=16000) for name in names} == {"+OK"}
    line, (_, headers, body) = server.take()  # the first; the others wait for it
    new = both.start()
    both.met(1)
    old.terminate()
    until = time.monotonic() + PATIENCE
    while "are taken up" not in "".join(new.log):
        for name in names[-40:]:
            foreign = both.client()
            foreign.enqueue(name, cls="order", d=16000, body=FOREIGN)
            foreign.sock.close()
        assert time.monotonic() < until
    ran = []
    while len(ran) < len(names):
        ran.append(headers["x-trace-id"])
        assert body == b"hello"
        line.answer(200, Connection="close")
        line.close()
        if len(ran) < len(names):
            line, (_, headers, body) = server.take()
    assert sorted(ran) == names and server.quiet()
    assert both.discovery.notices.empty()


# --- An earlier life.


def test_an_order_that_a_restart_ended_by_a_notice_is_not_run_again_under_its_id(start):
    # It was ended without being remembered, and a bad client that went on using its id had it run a second time.
    server = Backend("s1")
    program = start([server])
    assert program.client().enqueue("aa01", cls="order", d=16000) == "+OK"
    server.take()
    program.kill()
    program.start()
    assert program.discovery.notice()["id"] == "aa01"
    settled(program.client())  # the notice is confirmed, and nothing is on record
    program.client().enqueue("aa01", cls="order", d=16000, body=FOREIGN)
    assert server.quiet(1.0)


@pytest.mark.parametrize("numbered", [False, True])
def test_an_order_that_ended_before_a_restart_is_not_run_again_under_its_id(tmp_path, start, pair, numbered):
    # A new life knew nothing of what the last one had delivered.
    server = Backend("s1")
    both = pair([server]) if numbered else None
    program = both.start() if numbered else start([server])
    client = both.client() if numbered else program.client()
    assert client.enqueue("aa01", cls="order", d=16000) == "+OK"
    line, _ = server.take()
    line.answer(200, Connection="close")
    settled(client)
    program.kill()
    again = both.start() if numbered else program
    if not numbered:
        again.start()
    foreign = both.client() if numbered else again.client()
    assert foreign.enqueue("aa01", cls="order", d=16000, body=FOREIGN) == "+OK"
    assert server.quiet(1.0)
