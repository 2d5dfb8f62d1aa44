"""Two processes that are one sender: succession, journals, the board between them, and upgrades under load."""

import contextlib
import json
import os
import queue
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from math import inf
from pathlib import Path
from types import SimpleNamespace

import pytest
from peers import ROOT, Backend, Client, Discovery, Program, settings
from test_operations import call, eventually, figures, ops

from linkdock import facade
from linkdock import interface as i
from linkdock.service.shift import Shift
from linkdock.state import board as notes
from linkdock.state.board import PLACES, Board, Fact, Reader
from linkdock.state.journal import Journal, Kept, owed
from linkdock.state.succession import Succession, numbered
from linkdock.state.table import ServerTable

CONFIG = {"disk_mb": 3.0, "settings": SimpleNamespace(slots=4, max_open=9)}


def kept(name, **more):
    return Kept(name, "0" * 16, "order", 1, 2e9, name.encode(), **more)


def shift(folder):
    return Shift(SimpleNamespace(state=folder, **CONFIG), lambda: 0.0)


# --- Succession.

def test_numbers_rise_and_a_lock_tells_the_living_from_the_dead(tmp_path):
    one, two = Succession(tmp_path), Succession(tmp_path)
    assert (one.number, two.number) == (1, 2) and two.look() == ([1], []) and one.look() == ([2], [])
    one.close()
    alive, (left,) = two.look()
    assert alive == [] and left.number == 1 and left.journal == tmp_path / "journal.1"
    assert Succession(tmp_path).look()[1] == []   # whoever has the lock first takes it up, nobody else
    left.keep()
    two.look()[1][0].done()
    assert 1 not in numbered(tmp_path)


def test_what_a_dead_process_owed_is_taken_up_once_and_its_files_go(tmp_path):
    first = shift(tmp_path)
    for name in ("a", "b", "c"):
        first.journal.take(kept(name))
    first.journal.sent("b", 0)
    first.journal.end("c")
    second = shift(tmp_path)
    assert not second.journal.kept   # the first one lives
    first.close()
    third = shift(tmp_path)   # the second lives and has not looked
    assert set(third.journal.kept) == {"a", "b"} and third.journal.kept["b"].doubt == {0}
    assert owed(tmp_path / "journal.1") == {} and numbered(tmp_path) == [2, 3]
    third.journal.end("a")
    third.close()
    second.close()
    assert set(shift(tmp_path).journal.kept) == {"b"}


def test_the_file_of_a_process_alone_is_taken_up_with_a_torn_end(tmp_path):
    alone = Journal(tmp_path, 3_000_000)
    alone.take(kept("a"))
    alone.take(kept("b"))
    alone.close()
    path = tmp_path / "journal"
    path.write_bytes(path.read_bytes()[:-7])
    assert set(shift(tmp_path).journal.kept) == {"a"} and not path.exists()


def test_a_kill_at_any_step_of_taking_up_loses_and_doubles_nothing(tmp_path):
    origin = tmp_path / "origin"
    origin.mkdir()
    older, newer = shift(origin), shift(origin)
    for name in ("a", "b"):
        older.journal.take(kept(name))
    # What a kill in the middle left before: the newer had taken one over already and gone on with it.
    newer.journal.adopt([kept("a")])
    newer.journal.sent("a", 0)
    newer.journal.take(kept("c"))
    older.close()
    newer.close()
    (origin / "journal").write_bytes(b"")
    assert killed_at_each_step(tmp_path, origin, {"a": {0}, "b": set(), "c": set()}) > 15


def killed_at_each_step(tmp_path, origin, owed_then, *arguments):
    """What the next process owes, wherever the child was killed; how many steps there were."""
    child = [sys.executable, str(Path(__file__).with_name("succession_child.py"))]
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    for point in range(1, 60):
        folder = tmp_path / f"at{point}"
        shutil.copytree(origin, folder)
        code = subprocess.run([*child, str(folder), str(point), *arguments], env=env).returncode
        after = shift(folder)
        assert {k.id: k.doubt for k in after.journal.kept.values()} == owed_then, point
        assert numbered(folder) == [after._succession.number] and not list(folder.glob("handed.*"))
        after.close()
        if code == 0:
            return point
        assert code == 9
    raise AssertionError("the child never came to its end")


def test_a_kill_at_any_step_of_handing_over_loses_and_doubles_nothing(tmp_path):
    origin = tmp_path / "origin"
    origin.mkdir()
    first = shift(origin)
    for name in ("a", "b", "c"):
        first.journal.take(kept(name))
    first.journal.sent("b", 0)
    first.close()
    assert killed_at_each_step(tmp_path, origin, {"a": set(), "b": {0}, "c": set()}, "a", "c") == 8


def test_what_was_handed_over_is_the_others_alone(tmp_path):
    old, new = shift(tmp_path), shift(tmp_path)
    for name in ("a", "b"):
        old.journal.take(kept(name))
    assert old.hand_over(["a"]) and set(old.journal.kept) == {"b"}
    alive, left = new._succession.look()
    assert alive == [1] and set(owed(left[0].journal)) == {"a"} == {k.id for k in new._take_up(left)}
    old.journal.end("b")
    old.look()   # it would find its own
    old.close()
    again = new._succession.look()[1]
    assert [owed(one.journal) for one in again] == [{}]
    (tmp_path / "full").mkdir()
    full = shift(tmp_path / "full")
    full.journal.take(kept("c"))
    full.journal._append = lambda data: False   # no room for the record: all stays
    assert not full.hand_over(["c"]) and set(full.journal.kept) == {"c"}
    full.close()


def test_what_was_handed_over_is_not_taken_back_when_a_later_hand_over_fails(tmp_path):
    """Else two processes pass the same messages to and fro until the old one ends, and do nothing else."""
    old, new, taken = shift(tmp_path), shift(tmp_path), []
    old._sender, old._facade = SimpleNamespace(take_up=taken.extend), SimpleNamespace()
    for name in ("a", "b"):
        old.journal.take(kept(name))
    assert old.hand_over(["a"])
    append, old.journal._append = old.journal._append, lambda data: False   # no room for its record
    assert not old.hand_over(["b"]) and set(old.journal.kept) == {"b"}
    old.journal._append = append
    old.look()
    assert taken == [] and set(old.journal.kept) == {"b"}
    _, left = new._succession.look()
    assert {k.id for k in new._take_up(left)} == {"a"}
    old.close()
    new.close()


def test_what_is_adopted_beyond_the_bounds_keeps_room_for_its_ends(tmp_path):
    journal = Journal(tmp_path, 100_000, "journal.2")
    journal.hold_at_most(0.2, 0.1)
    assert journal.adopt([kept(f"m{n}") for n in range(100)]) and journal.full()
    assert not journal.take(kept("more"))
    for n in range(100):
        assert journal.sent(f"m{n}", 0)
        journal.end(f"m{n}")
    assert not journal.kept and journal.take(kept("more"))


# --- The board.

def test_a_board_tells_each_fact_once_and_late_readers_what_is_left(tmp_path):
    board = Board(tmp_path / "board.1")
    reader = Reader(tmp_path / "board.1")
    assert reader.news() == [] and reader.figures.state == notes.STARTING
    facts = [Fact(notes.WAITS, 5.0, 7, ""), Fact(notes.HEALTH, 1.0, notes.SUSPECT, "s-1")]
    for fact in facts:
        board.put(fact)
    board.figures(notes.Figures(3, 4, notes.TAKING))
    assert reader.news() == facts and reader.news() == [] and reader.figures == (3, 4, notes.TAKING)
    for n in range(2 * PLACES):   # waits push out waits, not what is known of health
        board.put(Fact(notes.WAITS, float(n), n, "x" * 200 if n % 2 else "é"))
    late = Reader(tmp_path / "board.1").news()
    assert facts[1] in late and len(late) == PLACES + 1 and late[0].name == "é"


def test_a_board_of_another_shape_or_a_torn_one_tells_nothing(tmp_path):
    for data in (b"", b"x" * 31, b"\xff" * 40_000):
        (tmp_path / "board.1").write_bytes(data)
        reader = Reader(tmp_path / "board.1")
        assert reader.news() == [] and reader.figures.calls == 0


# --- Two processes.

class Pair:
    """A listening socket that the test holds, and processes of one sender round it."""

    def __init__(self, folder, backends, **more):
        self.folder, self.backends, self.more = folder, backends, more
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port, self.started = self.sock.getsockname()[1], []
        self.discovery = Discovery()

    def start(self):
        folder = self.folder / str(len(self.started))
        folder.mkdir()
        self.started.append(Program(folder, self.backends, discovery=self.discovery, admin="127.0.0.1:0",
                                    accept=self.sock, state=self.folder, **self.more))
        return self.started[-1]

    def client(self):
        return Client(self.port)

    def close(self):
        for program in self.started:
            program.close()
        self.sock.close()


@pytest.fixture
def pair(tmp_path):
    pairs = []

    def begin(backends, **more):
        pairs.append(Pair(tmp_path, backends, **more))
        return pairs[-1]
    yield begin
    for one in pairs:
        one.close()


class Serving:
    """A backend server that answers every call alike, and counts what each message came to."""

    def __init__(self, server, status=200):
        self.server, self.status, self.seen = server, status, queue.Queue()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                line = self.server.line()
            except TimeoutError:
                continue
            except OSError:
                return
            threading.Thread(target=self._serve, args=(line,), daemon=True).start()

    def _serve(self, line):
        line.sock.settimeout(None)
        try:
            while (told := line.call()) is not None:
                self.seen.put(told[1]["x-trace-id"])
                line.answer(self.status)
        except OSError:
            pass


def test_an_upgrade_takes_over_without_a_client_that_is_turned_away(pair):
    server = Backend("s1")
    both = pair([server])
    old = both.start()
    client = both.client()
    assert client.enqueue("aa01", cls="order") == "+OK"
    line, _ = server.take()
    new = both.start()
    assert call(new, "status") == "+OK taking clients" == call(old, "status")
    time.sleep(0.15)   # longer than the time between two looks of the old one for who has come
    old.terminate()
    old.logged("stopping")
    assert client.heard() == ""   # closed between commands
    fresh = [both.client() for _ in range(20)]
    assert [c.ask("PING") for c in fresh] == ["+PONG"] * 20
    line.answer(200)   # the old one finishes what was out
    assert old.wait() == 0
    assert both.client().enqueue("aa02") == "+OK"
    second, (_, headers, _) = server.take()
    assert headers["x-trace-id"] == "aa02"
    second.answer(200)
    eventually(lambda: figures(new)["edge_relay_open_requests"] == 0)
    new.kill()
    assert not any(owed(path) for path in both.folder.glob("journal.*"))


def test_what_waits_goes_to_the_new_one_at_once_and_the_old_one_need_not_stay(pair):
    server = Backend("s1")
    both = pair([server])
    old = both.start()
    assert call(old, "maint-on s1").startswith("+OK")
    for n in range(3):
        assert both.client().enqueue(f"ab0{n}", cls="order", d=16000) == "+OK"
    new = both.start()
    new.logged("beside")
    old.logged("listens on")
    call(new, "stats")
    time.sleep(0.15)   # longer than the time between two looks of the old one for who has come
    began = time.monotonic()
    old.terminate()
    assert old.wait() == 0 and time.monotonic() - began < 1.5
    eventually(lambda: figures(new)["edge_relay_open_requests"] == 3)
    served = Serving(server)
    call(new, "maint-off s1")
    eventually(lambda: figures(new)["edge_relay_open_requests"] == 0)
    assert sorted(served.seen.queue) == [f"ab0{n}" for n in range(3)]
    assert figures(new)['edge_relay_operations{priority="order",status="fulfilled"}'] == 3


@pytest.mark.parametrize("steps", [
    "old start_new kill_new", "old start_new kill_old", "old start_new term_old kill_old",
    "old start_new term_old kill_new start_next", "old start_new kill_old kill_new start_new",
    "old start_new term_old wait_old start_next term_new wait_new", "old kill_old start_new kill_new start_next"])
def test_a_kill_at_every_step_ends_each_message_once(pair, steps):
    """Messages of both classes, in a call that never ends, in one that does, and held, at each of the steps."""
    slow, sound, away = Backend("s1", destination=1), Backend("s2", destination=2), Backend("s3", destination=3)
    both = pair([slow, sound, away])
    ends = Serving(sound)
    names = iter(f"bb{n:02}" for n in range(99))
    asked, programs = {}, {}

    def hand_in():
        for destination in (1, 2, 3):
            for cls in ("order", "preview"):
                name = next(names)
                said = both.client().enqueue(name, cls=cls, dest=destination, d=3000)
                asked[name] = cls, destination, said

    for step in steps.split():
        what, _, who = step.partition("_")
        if what in ("old", "start"):
            programs[who or "old"] = both.start()
            assert call(programs[who or "old"], "maint-on s3").startswith("+OK")
            hand_in()
        elif what == "kill":
            programs.pop(who).kill()
        elif what == "term":
            programs[who].terminate()
        else:
            assert programs.pop(who).wait() == 0
    alive = list(programs.values())[-1]
    call(alive, "maint-off s3")
    back = Serving(away)
    slow.sock.close()   # and whatever waited there is refused or reset
    assert all(said == "+OK" for _, _, said in asked.values())

    def settled():
        """Whether nothing is owed any more: neither by the one that lives nor by the files of the dead."""
        return not any(owed(path) for path in both.folder.glob("journal.*"))
    eventually(settled)
    noticed = {notice["id"] for _, notice in both.discovery.notices.queue}
    served = [*ends.seen.queue, *back.seen.queue]
    orders = [name for name in served if asked[name][0] == "order"]
    assert len(orders) == len(set(orders)), "an order went out twice"
    for name, (_, destination, _) in asked.items():
        # What had a call that never ended has its notice; the rest was served, or has one.
        assert name in noticed or destination != 1 and name in served, (name, asked[name])
    for program in programs.values():
        program.kill()


def test_a_wait_told_to_one_binds_the_other(pair):
    server = Backend("s1")
    both = pair([server])
    old = both.start()
    client = both.client()
    assert client.enqueue("cc01") == "+OK"
    line, _ = server.take()
    new = both.start()
    time.sleep(0.15)   # the old one has seen it
    began = time.monotonic()
    line.answer(429, Retry_After="1.500")
    old.terminate()   # the new one has what comes from now on
    old.logged("stopping")
    assert both.client().enqueue("cc02") == "+OK"
    _, (_, headers, _) = server.take()
    assert time.monotonic() - began > 1.4 and headers["x-trace-id"] in ("cc01", "cc02")
    new.kill()
    old.kill()


def test_a_wait_told_to_the_first_binds_a_third_that_comes_when_it_has_ended(pair):
    server = Backend("s1")
    both = pair([server])
    first = both.start()
    assert both.client().enqueue("ca01") == "+OK"
    line, _ = server.take()
    line.answer(429, Retry_After="4.000")
    told = time.monotonic()
    eventually(lambda: figures(first)["edge_relay_relayed"] == 1 and figures(first)["edge_relay_open_requests"] == 1)
    second = both.start()
    time.sleep(0.15)   # longer than the time between two looks for who has come
    first.terminate()
    assert first.wait() == 0
    third = both.start()
    time.sleep(0.15)
    second.terminate()
    assert second.wait() == 0
    assert both.client().enqueue("ca02") == "+OK"
    while server.take()[1] is None:   # a connection that was opened before the wait was seen
        pass
    assert time.monotonic() - told > 3.9
    third.kill()


def test_what_is_told_on_goes_round_once(tmp_path):
    processes = [shift(tmp_path) for _ in range(3)]
    heard = [[] for _ in processes]
    for process, doubted in zip(processes, heard, strict=True):
        table = ServerTable([False])
        process.join(SimpleNamespace(calls_out=lambda: 0, open=lambda: 0, doubted=doubted.append,
                                     hold_at_most=lambda most: None),
                     SimpleNamespace(hold_slots=lambda slots: None, learned=lambda most: [], told=lambda rows: None),
                     table, None)
    for process in processes:
        process.look()
    processes[0].health("s-1", "suspect")
    processes[0]._table.wait((7,), 9.0)
    for _ in range(4):
        for process in processes:
            process.beat()
    assert [len(told) for told in heard] == [0, 1, 2]   # the third from the first, and from the second
    assert [process._table._waits for process in processes] == [{(7,): 9.0}] * 3
    assert sum(process._board._written[notes.HEALTH] for process in processes) <= 4
    for process in processes:
        process.close()


def one_with_a_server(now):
    decisions = facade.Facade(i.Settings(
        classes=[i.MessageClass(i.Effect.SAFE, 0.8, 6.0)], kinds=[i.DestinationKind()], slots=8, max_open=50,
        max_attempts=9, fall_multiple=1.5, tip_after=2.0, cold_share=0.3, cold_time=12.0, told_weights=False), 1)
    decisions.report(facade.Table("whole", [facade.Server("s1", ("127.0.0.1", 1), 7)], 1))
    decisions.tick(now)
    return decisions


def sent(decisions, now, *names):
    for name in names:
        decisions.report(facade.Take(name, 0, 7, 6.0))
    decisions.tick(now)
    return [item for order in iter(decisions.pick, None) if isinstance(order, facade.Dispatch) for item in order.items]


def test_what_is_told_before_the_list_has_been_taken_in_is_not_lost():
    new = one_with_a_server(100.0)
    fresh = facade.Facade(new._settings, 1)
    fresh.report(facade.Table("kept", [facade.Server("s1", ("127.0.0.1", 1), 7)], 1))
    learned = facade.Learned("s1", 20.0, 0.5, None, -inf)
    fresh.told([learned])
    assert fresh.learned(9) == []
    fresh.tick(100.0)
    assert fresh.learned(9) == [learned]


def test_limits_and_returns_are_told_and_what_one_has_seen_itself_holds():
    old, new = one_with_a_server(100.0), one_with_a_server(100.0)
    (item,) = sent(old, 100.1, "a")
    old.report(facade.End("a", item.attempt, "s1", facade.DELIVERED, 0.1, load=(0.9, 20.0)))
    old.tick(100.2)
    (learned,) = old.learned(9)
    assert learned == facade.Learned("s1", 20.0, learned.part, None, learned.since) and old.learned(0) == []
    new.told([learned._replace(ramp=99.0, since=90.0), learned._replace(server="s9")])
    assert new.learned(9) == [learned._replace(ramp=99.0, since=90.0, part=1.0)]
    first = sent(new, 100.3, *"bcdefghi")
    assert len(first) <= 1   # the return goes on: eight at once to one that is not known
    assert len(sent(one_with_a_server(100.0), 100.3, *"bcdefghi")) >= 2
    item = first[0] if first else sent(new, 104.0)[0]
    new.report(facade.End(item.request, item.attempt, "s1", facade.DELIVERED, 0.1, load=(0.9, 30.0)))
    new.tick(104.5)
    new.told([learned])
    assert new.learned(9)[0].limit == 30.0


def test_a_newer_process_is_told_what_was_learned_and_a_file_that_cannot_be_read_is_passed_over(pair):
    server = Backend("s1")
    both = pair([server])
    old = both.start()
    assert both.client().enqueue("ea01") == "+OK"
    line, _ = server.take()
    line.answer(200, Endpoint_Load_Metrics="x0=0.9,x1=25")
    eventually(lambda: ops(figures(old), "preview", "fulfilled") == 1)
    new = both.start()
    new.logged("1 servers are known from process 1")
    old.kill()
    third = both.start()
    third.logged("1 servers are known from process 2")
    assert not (both.folder / "learned.1").exists()
    third.kill()
    new.process.send_signal(signal.SIGSTOP)   # it would write its own anew
    (both.folder / "learned.2").write_text("[[")
    both.start().logged("what process 2 has learned cannot be read")


def test_what_the_old_one_saw_fail_gets_one_trial_from_the_new_one(pair):
    server = Backend("s1")
    both = pair([server])
    old = both.start()
    failing = Serving(server, 500)
    for n in range(8):
        assert both.client().enqueue(f"dd0{n}") == "+OK"
    old.logged("suspect")
    old.process.send_signal(signal.SIGSTOP)   # it hangs, and what it has told must do
    new = both.start()
    new.logged("beside 1")
    before = failing.seen.qsize()
    for n in range(4):
        assert both.client().enqueue(f"de0{n}") == "+OK"
    eventually(lambda: failing.seen.qsize() > before)
    settled_for = time.monotonic() + 0.3
    while time.monotonic() < settled_for:
        assert failing.seen.qsize() - before <= 2   # single trials: four at once without what it was told
    assert figures(new)["edge_relay_out_of_rotation"] == 1
    old.kill()


def test_an_endpoint_out_by_hand_is_out_for_both_and_across_the_upgrade(pair):
    server = Backend("s1")
    both = pair([server])
    old = both.start()
    call(old, "maint-on s1")
    new = both.start()
    assert figures(new)["edge_relay_out_of_rotation"] == 1
    assert both.client().enqueue("ee01") == "+OK" == both.client().enqueue("ee02")
    assert server.quiet()
    call(new, "maint-off s1")   # told to one, it holds for both
    old.logged("is back from being out by hand, as another process was told")
    line, _ = server.take()
    line.answer(200)
    old.terminate()
    old.wait()


def test_two_share_the_slots_and_the_open_messages(pair):
    server = Backend("s1")
    both = pair([server], extra__calls_out=4, limits__max_open=6)
    both.start()
    lines = []
    for n in range(2):
        assert both.client().enqueue(f"ff0{n}", cls="order") == "+OK"
        lines.append(server.take())
    both.start().logged("beside")
    time.sleep(0.15)   # longer than the time between two looks of the old one for who has come
    said = [both.client().enqueue(f"fg0{n}", cls="order") for n in range(12)]
    server.sock.settimeout(0.5)
    with contextlib.suppress(TimeoutError):
        while True:
            lines.append(server.line())
    assert len(lines) <= 4   # each alone would send three
    assert 2 + sum(s == "+OK" for s in said) <= 8   # and hold six


@pytest.mark.parametrize("number", ["x", "-1", "77", "file", "plain"])
def test_a_wrong_descriptor_ends_the_start_with_one_line(tmp_path, number):
    with socket.socket() as plain, open(os.devnull) as file:
        told = {"file": str(file.fileno()), "plain": str(plain.fileno())}.get(number, number)
        (tmp_path / "config.json").write_text(json.dumps(
            {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": settings()}))
        done = subprocess.run([sys.executable, "-m", "linkdock"], cwd=ROOT, capture_output=True, text=True,
                              pass_fds=(plain.fileno(), file.fileno()),
                              env={**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json"),
                                   "RELAY_STATE": str(tmp_path), "RELAY_ACCEPT_FD": told})
    assert done.returncode == 2 and "linkdock: RELAY_ACCEPT_FD" in done.stderr and "Traceback" not in done.stderr


def test_what_lay_in_the_socket_until_the_start_has_less_time_than_it_says(tmp_path):
    server = Backend("s1")
    listening = socket.create_server(("127.0.0.1", 0))
    early = Client(listening.getsockname()[1])   # nobody accepts yet
    early.send("ENQUEUE", "0" * 16, "ea01", "c=order,d=6000,dest=1", b"hello")
    program = Program(tmp_path, [server], accept=listening)
    try:
        assert early.heard() == "+OK"
        line, (_, headers, _) = server.take()
        assert float(headers["x-expires-in"]) <= 5.6   # it may have been sent 0.4 s before it was read
        line.answer(200)
        program.settle()
        assert program.client().enqueue("ea02", "order", 6000) == "+OK"
        _, headers, _ = line.call()
        assert float(headers["x-expires-in"]) > 5.9
    finally:
        program.close()
        listening.close()
