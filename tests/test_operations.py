"""The operators' address: calls, figures, endpoints out by hand, standby. Stories of the program, and its parts."""

import json
import re
import socket
import subprocess
import sys
import time

import pytest
from peers import PATIENCE, Backend, Client, Discovery, Program

from linkdock.protocol.admin import CALLS, MOST, MOST_LINE, RefusalError, answer
from linkdock.protocol.exposition import escaped, render
from linkdock.state.figures import ENDS, Figures
from linkdock.state.rotation import KEPT_FOR, MOST_OUT, Rotation, TooManyError
from linkdock.state.serving_mode import STANDBY_GRACE, ServingMode


@pytest.fixture
def start(tmp_path):
    programs = []

    def begin(backends, **more):
        programs.append(Program(tmp_path, backends, admin="127.0.0.1:0", **more))
        return programs[-1]

    yield begin
    for program in programs:
        program.close()


def raw(program, data, wait=PATIENCE):
    """What the operators' address answers until it closes."""
    with socket.create_connection(("127.0.0.1", program.admin_port), wait) as sock:
        sock.sendall(data)
        return sock.makefile("rb").read().decode()


def call(program, words):
    return raw(program, words.encode() + b"\n").strip()


def figures(program):
    lines = call(program, "stats").splitlines()
    assert lines.pop() == "."
    return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines)}


def ops(told, cls, status):
    return told[f'edge_relay_operations{{priority="{cls}",status="{status}"}}']


def eventually(look):
    """Until a story's other threads have done their part; the program itself answers each call at once."""
    until = time.monotonic() + PATIENCE
    while not look():
        assert time.monotonic() < until
        time.sleep(0.01)


# --- The address.


class Calls:
    """A desk that says what it was asked."""

    def __init__(self):
        self.asked = []

    def __getattr__(self, name):
        def asked(*words):
            self.asked.append((name, *words))
            if name == "status":
                raise RefusalError("stopping")
            if name == "active":
                raise RuntimeError("a bug")
            return ["a 1", "b 2"] if name == "stats" else "done"

        return asked


def test_each_call_reaches_its_desk_and_a_wrong_one_changes_nothing():
    desk = Calls()
    assert answer(desk, b"maint-on s-1\r") == b"+OK done\n" and desk.asked.pop() == ("maint_on", "s-1")
    assert answer(desk, b"stats") == b"a 1\nb 2\n.\n" and desk.asked.pop() == ("stats",)
    assert answer(desk, b"status") == b"-ERR stopping\n" and desk.asked.pop() == ("status",)
    assert answer(desk, b"active").startswith(b"-ERR the call failed") and desk.asked.pop() == ("active",)
    for line in (
        b"",
        b"  ",
        b"maint-on",
        b"maint-on a b",
        b"standby now",
        b"reboot",
        b"STATUS",
        b"\xff\xfe",
        b"\0",
        b"maint-off \x01",
        b"maint-on " + b"x" * 300,
        b"x" * 400,
    ):
        assert re.fullmatch(rb"-ERR [ -~]+\n", answer(desk, line)), line
    assert desk.asked == []


def test_whole_calls_are_answered_beside_idle_callers_and_lines_without_end(start):
    program = start([Backend("s1")])
    idle = [socket.create_connection(("127.0.0.1", program.admin_port)) for _ in range(2 * MOST)]
    for sock in idle[::2]:
        sock.sendall(b"stat")
    began = time.monotonic()
    for _ in range(MOST):
        assert call(program, "status") == "+OK taking clients"
    assert time.monotonic() - began < 1.0
    assert raw(program, b"x" * (MOST_LINE + 1)).startswith("-ERR the line is too long")
    assert raw(program, b"status\nstandby\n") == "+OK taking clients\n"  # one line to a connection
    assert raw(program, b"\xff\n").startswith("-ERR") and raw(program, b"\n").startswith("-ERR")
    assert call(program, "status") == "+OK taking clients"
    for sock in idle:
        sock.close()


def test_without_the_address_nothing_of_it_is_imported(tmp_path):
    names = [
        "linkdock.service.operations",
        "linkdock.protocol.admin",
        "linkdock.state.figures",
        "linkdock.state.rotation",
        "linkdock.state.serving_mode",
        "linkdock.protocol.exposition",
    ]
    code = f"import sys, linkdock.service.run; print([n for n in {names!r} if n in sys.modules])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout.strip() == "[]"


def test_a_wrong_address_ends_the_start_with_its_name(tmp_path):
    program = Program(tmp_path, [], admin="127.0.0.1:0")
    program.kill()
    told = json.loads(program.config.read_bytes())
    program.config.write_text(json.dumps({**told, "admin_addr": "nowhere"}))
    with pytest.raises(AssertionError):
        program.start()
    assert program.wait() == 2 and "admin_addr must be an address" in "".join(program.log)


# --- Figures.


def test_every_ending_is_counted_once(start):
    server, discovery = Backend("s1"), Discovery()
    program = start([server], discovery=discovery, limits__max_open=4)
    told = figures(program)
    assert {*told.values()} == {0, 1} and told["edge_relay_registry_entries"] == 1  # every series from the start
    client = program.client()
    assert client.enqueue("aa01") == "+OK"
    line, _ = server.take()
    line.answer(200)
    eventually(lambda: ops(figures(program), "preview", "fulfilled") == 1)
    assert client.enqueue("aa02", cls="order") == "+OK"
    assert line.call() is not None
    assert figures(program)["edge_relay_open_requests"] == 1
    line.answer(500)  # it may have run: over, by a notice
    assert discovery.notice()["status"] == "undeliverable"
    assert client.enqueue("aa03", d=1).startswith(("+OK", "-"))  # out of time at once
    gone = program.client()
    gone.send("ENQUEUE", "0" * 16, "aa04", "c=preview,d=6000,dest=1", b"x")
    gone.sock.close()
    with_noise = program.client()
    assert with_noise.ask("ENQUEUE", "0" * 16, "aa05", "c=none,d=6000,dest=1", b"x").startswith("-ERR")
    eventually(lambda: figures(program)["edge_relay_open_requests"] <= 1)
    told = figures(program)
    assert ops(told, "order", "faulted") == 1 and ops(told, "preview", "fulfilled") == 1
    assert told["edge_relay_relayed"] >= 2
    program.reload()
    eventually(lambda: figures(program)["edge_relay_cfg_accepted"] == 1)
    program.reload("{")
    eventually(lambda: figures(program)["edge_relay_cfg_invalid"] == 1)


def test_those_denied_at_the_door_are_throttled_and_the_rest_stays_open(start):
    server = Backend("s1")
    program = start([server], limits__max_open=3, extra__calls_out=1)
    clients = [program.client() for _ in range(6)]
    said = [c.enqueue(f"ab{n:02}", cls="order") for n, c in enumerate(clients)]
    told = figures(program)
    denied = sum(s.startswith("-BUSY") for s in said)
    assert denied == ops(told, "order", "throttled") >= 3
    assert told["edge_relay_open_requests"] == 6 - denied


def test_what_an_earlier_life_left_is_counted_by_the_life_that_ends_it(start):
    server, discovery = Backend("s1"), Discovery()
    program = start([server], discovery=discovery)
    assert program.client().enqueue("ac01", cls="order") == "+OK"
    server.take()
    program.kill()
    program.start()
    assert discovery.notice() == {"id": "ac01", "status": "undeliverable"}
    told = figures(program)
    assert ops(told, "order", "faulted") == 1 and told["edge_relay_open_requests"] == 0


def test_labels_are_escaped_and_a_list_of_thousands_costs_a_scrape_nothing():
    counts = Figures(['a"\\\n'])
    assert escaped('a"\\\n') == 'a\\"\\\\\\n'
    assert render(counts, open_requests=3)[0] == 'edge_relay_operations{priority="a\\"\\\\\\n",status="fulfilled"} 0'
    counts.over(0, ENDS[1])
    assert counts.ended == 1 and render(counts)[1].endswith('status="throttled"} 1')


# --- Out by hand.


def test_an_endpoint_out_by_hand_gets_nothing_until_one_call_puts_it_back(start):
    one, two, discovery = Backend("s1"), Backend("s2"), Discovery()
    program = start([one, two], discovery=discovery)
    _, tell = discovery.watch()
    for name in ("s1", "s2", "s1"):  # twice out, one call brings it back
        assert call(program, f"maint-on {name}").startswith("+OK")
    assert call(program, "maint-on s9").startswith("-ERR") and call(program, "maint-off s9").startswith("-ERR")
    assert figures(program)["edge_relay_out_of_rotation"] == 2
    client = program.client()
    assert client.enqueue("ba01", "order", 30000) == "+OK"  # the story may take a while on a busy machine
    tell(8, [one.row(), two.row()], whole=True)  # whatever is listed
    tell(9, [one.row("gone")])
    tell(10, [one.row()])
    assert one.quiet() and two.quiet()
    program.kill()
    program.start()  # also over a restart
    assert one.quiet() and two.quiet() and figures(program)["edge_relay_out_of_rotation"] == 2
    assert call(program, "maint-off s2").startswith("+OK") and call(program, "maint-off s2") == "+OK s2 was not out"
    line, (_, headers, _) = two.take()
    assert headers["x-trace-id"] == "ba01" and one.quiet()
    line.answer(200)
    eventually(lambda: figures(program)["edge_relay_open_requests"] == 0)
    eventually(lambda: figures(program)["edge_relay_out_of_rotation"] == 1)


def test_a_call_that_runs_is_finished_and_one_on_its_way_is_not_sent(start):
    server, discovery = Backend("s1"), Discovery()
    program = start([server], discovery=discovery, extra__calls_out=2)
    client = program.client()
    assert client.enqueue("bb01", cls="order") == "+OK"
    line, _ = server.take()
    assert call(program, "maint-on s1").startswith("+OK")
    assert client.enqueue("bb02") == "+OK"
    assert server.quiet()
    line.answer(200)
    eventually(lambda: ops(figures(program), "order", "fulfilled") == 1)
    assert server.quiet()


def test_one_that_is_put_back_is_met_as_from_an_outage(start):
    server = Backend("s1")
    program = start([server])
    call(program, "maint-on s1")
    clients = [program.client() for _ in range(4)]
    for n, client in enumerate(clients):
        assert client.enqueue(f"bc0{n}") == "+OK"
    call(program, "maint-off s1")
    line, _ = server.take()
    assert server.quiet()  # a single trial, not all that were held
    line.answer(200)
    program.logged("returning")


def test_the_set_outlasts_a_torn_file_is_bounded_and_forgets(tmp_path, caplog):
    now, path = [1000.0], tmp_path / "rotation"
    out = Rotation(path, lambda: now[0])
    assert out.take_out("a") and not out.take_out("a") and out.since("a") == 1000.0
    assert "a" in Rotation(path, lambda: now[0])
    now[0] = 1010.0
    assert out.put_back("a") == 1000.0 and out.put_back("a") is None and not len(Rotation(path, lambda: now[0]))
    for text in ("{", "[]", '{"version":1,"out":{"a":null}}', '{"version":9}', "\0"):
        path.write_text(text)
        assert len(Rotation(path, lambda: now[0])) == 0 and "not known" in caplog.text
        caplog.clear()
    for n in range(MOST_OUT):
        out.take_out(f"s{n}")
    with pytest.raises(TooManyError):
        out.take_out("one more")
    out.forget(lambda name: name == "s7")
    now[0] += KEPT_FOR + 1
    out.forget(lambda name: name == "s7")
    assert list(out) == ["s7"] == list(Rotation(path, lambda: now[0]))


def test_where_it_cannot_be_kept_the_answer_is_no_and_nothing_changes(tmp_path):
    folder = tmp_path / "gone"
    out = Rotation(folder / "rotation", time.time)
    with pytest.raises(OSError):
        out.take_out("a")
    assert "a" not in out


# --- Standby.


def test_the_states_of_duty():
    mode = ServingMode()
    assert mode.taking and mode.standby(10.0) and not mode.standby(10.0 + STANDBY_GRACE)  # the second changes nothing
    assert (
        not mode.denies(10.0 + STANDBY_GRACE) and mode.denies(10.1 + STANDBY_GRACE) and mode.sends_away() == "standby"
    )
    assert mode.active() and mode.taking and not mode.denies(20.0)
    assert mode.active()  # without a standby before
    mode.standby(30.0)
    mode.stop()
    assert not mode.active() and not mode.standby(31.0) and not mode.denies(99.0) and mode.sends_away() is None


def test_standby_sends_clients_away_and_finishes_what_was_taken(start):
    server = Backend("s1")
    program = start([server], extra__calls_out=4)
    idle, busy = program.client(), program.client()
    assert idle.ask("PING") == "+PONG" and busy.enqueue("ca01") == "+OK"
    line, _ = server.take()
    fresh = program.client()  # on its way when the call comes
    assert call(program, "standby").startswith("+OK") and call(program, "standby").startswith("+OK")
    assert idle.heard() == "" and busy.heard() == ""  # closed, both between commands
    assert call(program, "status") == "-ERR standby"
    assert fresh.enqueue("ca02") == "+OK" and fresh.heard() == ""  # served, then closed
    late = program.client()
    assert late.ask("PING") == "-ERR standby" and late.heard() == ""
    line.answer(200)  # what was taken goes on to its end
    eventually(lambda: ops(figures(program), "preview", "fulfilled") == 1)
    assert call(program, "active") == "+OK taking clients" == call(program, "status")
    assert program.client().ask("PING") == "+PONG"


def test_in_standby_a_connection_without_a_command_goes_and_later_messages_are_denied(start):
    program = start([Backend("s1")])
    call(program, "standby")
    began = time.monotonic()
    silent = Client(program.port)
    assert silent.heard() == "" and time.monotonic() - began < 3.0  # well before 4 s
    assert program.client().enqueue("cb01") == "-BUSY 1000"
    assert ops(figures(program), "preview", "throttled") == 1
    program.terminate()
    assert program.wait() == 0


def test_a_restart_in_standby_takes_clients_and_a_stop_is_told(start):
    server = Backend("s1")
    program = start([server])
    call(program, "standby")
    program.kill()
    program.start()
    assert call(program, "status") == "+OK taking clients"
    assert program.client().enqueue("cc01", cls="order") == "+OK"
    server.take()
    program.terminate()
    program.logged("stopping")
    assert call(program, "status") == "-ERR stopping" == call(program, "active")
    program.kill()


def test_every_call_is_known_by_the_desk_of_the_program():
    from linkdock.service.operations import Operations

    assert all(callable(getattr(Operations, method)) for method, _ in CALLS.values())
