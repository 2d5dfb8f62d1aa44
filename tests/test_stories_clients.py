"""Stories of clients: commands that are none, those that never end, floods, and places for usual clients."""

import json
import socket
import struct
import time

import pytest
from click.testing import CliRunner
from peers import PATIENCE, Backend, from_address, owed, refused, settled

from linkdock.console.main import cli

PAIRS = "c=preview,d=6000,dest=1"


@pytest.mark.parametrize(
    "words",
    [
        ["ENQUEUE"],
        ["ENQUEUE", "0", "aa", PAIRS],
        ["ENQUEUE", "0", "a b", PAIRS, "x"],
        ["ENQUEUE", "0", "aa", "c=other,d=1,dest=1", "x"],
        ["ENQUEUE", "0", "aa", "c=preview,d=1,dest=99", "x"],
        ["ENQUEUE", "0", "aa", "c=preview,d=-1,dest=1", "x"],
        ["ENQUEUE", "0", "aa", "c=preview,dest=1", "x"],
        ["ENQUEUE", "0", "aa", "c=preview,d=9e9,dest=1", "x"],
        ["ENQUEUE", "0", "aa", "c=preview,d=99999999,dest=1", "x"],
        ["ENQUEUE", "0", "aa", PAIRS + ",dest=1", "x"],
        ["ENQUEUE", "0", "aa", "nonsense", "x"],
        ["ENQUEUE", "0", "aa", PAIRS, b"x" * 70000],
        ["ENQUEUE", "0\r\nX: 1", "aa", PAIRS, "x"],
        ["FLUSHALL"],
        [""],
    ],
)
def test_malformed_commands_get_an_error_and_the_connection_goes_on(start, words):
    program = start([Backend("s1")])
    client = program.client()
    assert client.ask(*words).startswith("-ERR ")
    settled(client)


@pytest.mark.parametrize(
    "data",
    [b"GET / HTTP/1.1\r\n\r\n", b"*x\r\n", b"*1\r\n$-5\r\n", b"*99999999\r\n", b"*1\r\n$4\r\nPINGxx", b"*" + b"1" * 99],
)
def test_what_is_no_command_gets_an_error_and_ends_only_its_connection(start, data):
    program = start([Backend("s1")])
    client = program.client()
    client.sock.sendall(data)
    assert client.heard().startswith("-ERR Protocol error") and client.heard() == ""
    settled(program.client())


def test_a_client_that_sends_without_pause_harms_nobody(start):
    program = start([Backend("s1")])
    client = program.client()
    client.sock.setblocking(False)
    with pytest.raises((BlockingIOError, ConnectionError)):  # until neither side takes more
        while True:
            client.sock.send(b"*1\r\n$4\r\nPING\r\n" * 1000)
    settled(program.client())


def test_who_says_nothing_or_half_a_command_is_closed_in_time(start):
    program = start([Backend("s1")])
    began = time.monotonic()
    silent, half, trickle = (program.client() for _ in range(3))
    half.sock.sendall(b"*5\r\n$7\r\nENQ")
    trickle.sock.sendall(b"*5\r\n$70000\r\n")
    assert trickle.heard().startswith("-ERR ")  # at once, and before it is sent
    with pytest.raises(ConnectionError):
        while time.monotonic() < began + 3:
            trickle.sock.sendall(b"x")
            time.sleep(0.05)
    assert silent.heard() == half.heard() == "" and time.monotonic() - began < 3
    settled(program.client())


COMMAND = b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$4\r\na%03d\r\n$23\r\nc=preview,d=6000,dest=1\r\n$1\r\nx\r\n"


def ids_of_calls(server, count):
    """So many messages are called, each over a connection of its own."""
    ids = set()
    while len(ids) < count:
        line, (_, headers, _) = server.take()
        ids.add(headers["x-trace-id"])
        line.answer(200, Connection="close")
        line.close()
    return ids


def test_hundreds_of_commands_at_once_each_hear_an_error_and_none_is_taken(start):
    # One error stood for all of them, and those that a usual client had sent were lost with the connection's end.
    server = Backend("s1")
    program = start([server])
    client = program.client()
    client.sock.sendall(b"".join(COMMAND % n for n in range(300)))
    heard = [client.heard() for _ in range(301)]
    assert heard == ["-ERR Protocol error: too many commands at once"] * 300 + [""]
    assert server.quiet()
    program.kill()
    assert not owed(program)


def test_commands_that_come_while_a_usual_client_waits_are_all_answered(start):
    # More than eight behind one were met by one error and a close: all but one were read and got no answer.
    server = Backend("s1")
    program = start([server])
    client = program.client()
    client.sock.sendall(b"".join(COMMAND % n for n in range(20)))
    assert [client.heard() for _ in range(20)] == ["+OK"] * 20
    assert ids_of_calls(server, 20) == {f"a{n:03}" for n in range(20)}


def test_half_a_command_behind_a_whole_one_costs_neither_its_answer(start):
    # A request whose last byte had been read got an error for what had only begun behind it, and was lost.
    program = start([Backend("s1")])
    client, stays = program.client(), program.client()
    client.sock.sendall(COMMAND % 0 + (COMMAND % 1)[:40])
    assert client.heard() == "+OK"
    client.sock.sendall((COMMAND % 1)[40:])
    assert client.heard() == "+OK"
    began = time.monotonic()
    stays.sock.sendall(COMMAND % 2 + b"*5\r\n")  # its rest never comes, and it is closed in time
    assert [stays.heard(), stays.heard()] == ["+OK", ""] and time.monotonic() - began < 3


def test_hundreds_of_silent_clients_leave_room_for_usual_ones(start):
    server = Backend("s1")
    program = start([server], limits={"sockets": 64, "memory_mb": 32})
    silent = [program.client() for _ in range(200)]
    for n in range(30):
        client = program.client()
        assert client.enqueue(f"aa{n:02}") == "+OK"
    assert len(silent) == 200


def test_a_foreign_use_of_an_open_id_or_one_that_was_open_does_its_owner_no_harm(start):
    server = Backend("s1")
    program = start([server])
    client, foreign = program.client(), program.client()
    assert client.enqueue("aa01", "order", 16000) == "+OK"
    assert foreign.enqueue("aa01", "preview", 100, body=b"other") == "+OK"  # it is on record, once
    line, (_, _, body) = server.take()
    assert body == b"hello"
    line.answer(200)
    settled(client)
    assert foreign.enqueue("aa01", "preview", body=b"other") == "+OK"  # over, but lately
    assert client.enqueue("aa02", "preview") == "+OK"
    assert line.call()[1]["x-trace-id"] == "aa02" and server.quiet()
    assert program.discovery.notices.empty()


def test_a_client_that_keeps_sending_errors_is_slowed_and_then_closed(start):
    program = start([Backend("s1")])
    client, heard = program.client(), []
    with pytest.raises(ConnectionError):
        while len(heard) < 100:
            client.send("ENQUEUE", "0", "", PAIRS, "x")
            if not (line := client.heard()):
                raise ConnectionError
            heard.append(line)
    assert 1 < len(heard) < 20 and all(line.startswith("-ERR ") for line in heard)
    settled(program.client())


def test_clients_that_ask_once_on_each_connection_get_their_places_back(start):
    """Clients bound their own connections; what lies idle here after one message keeps them from the next."""
    server = Backend("s1")
    program = start([server], limits={"sockets": 96})  # clients hold at most 32; 8 may lie idle
    kept = []
    for n in range(24):
        client = program.client()
        assert client.enqueue(f"aa{n:02}") == "+OK"
        kept.append(client)
    for n in range(40):  # its next messages, by which the others have rested
        assert kept[-1].enqueue(f"ab{n:02}") == "+OK"
        if at_end(kept[15]):
            break
    ended = [c for c in kept if at_end(c)]
    assert ended == kept[:16]  # the longest idle, and no other


def at_end(client):
    client.sock.settimeout(0.05)
    try:
        return client.sock.recv(1) == b""
    except TimeoutError:
        return False
    finally:
        client.sock.settimeout(PATIENCE)


def test_connections_without_a_message_make_room_before_a_usual_clients_idle_one(start):
    server = Backend("s1")
    program = start([server], limits={"sockets": 64, "memory_mb": 32})  # 21 usual, and 5 more
    usual = [program.client() for _ in range(4)]
    for n, client in enumerate(usual):
        assert client.enqueue(f"aa0{n}") == "+OK"
    for n in range(60):  # each errs or says PING, and is idle after it, younger than the usual ones
        other = program.client()
        assert other.ask("PING") == "+PONG" if n % 2 else other.ask("NONSENSE").startswith("-ERR")
        usual.append(other)  # kept open by this side
    for n, client in enumerate(usual[:4]):
        assert client.enqueue(f"ab0{n}") == "+OK"


def test_a_few_commands_behind_one_another_are_each_answered_in_turn(start):
    server = Backend("s1")
    program = start([server])
    client = program.client()
    client.sock.sendall(b"".join(COMMAND % n for n in range(3)) + b"*1\r\n$4\r\nPING\r\n")
    assert [client.heard() for _ in range(4)] == ["+OK", "+OK", "+OK", "+PONG"]
    client.sock.sendall(COMMAND % 3)
    client.sock.sendall(COMMAND % 4)  # apart, and before the first has its answer
    assert [client.heard() for _ in range(2)] == ["+OK", "+OK"]
    assert ids_of_calls(server, 5) == {f"a00{n}" for n in range(5)}


def test_a_client_that_goes_behind_its_commands_has_nothing_taken_that_it_did_not_hear(start):
    server = Backend("s1")
    program = start([server])
    client = program.client()
    client.sock.sendall(COMMAND % 1 + COMMAND % 2)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()  # a reset
    settled(program.client())
    settled(program.client())
    program.kill()
    assert len(owed(program)) <= 1  # what was answered before the reset came


def test_a_flood_is_refused_while_known_clients_come_and_go_also_after_a_kill(start):
    server = Backend("s1")
    program = start([server], deploy={"admission": {"on": True, "rate": 5.0, "burst": 3.0, "file_s": 1.0}})
    friend = from_address(program, "127.0.0.2")
    line = None
    for n in range(4):
        assert friend.enqueue(f"aa{n:02}") == "+OK"
        if line is None:
            line, _ = server.take()
        else:
            line.call()
        line.answer(200)
    flood = [from_address(program, "127.0.0.9") for _ in range(30)]
    assert sum(map(refused, flood)) >= 20
    again = [from_address(program, "127.0.0.2") for _ in range(10)]
    assert not any(map(refused, again))
    file = program.state / "clients.json"
    until = time.monotonic() + PATIENCE
    while not file.exists() or "127.0.0.2" not in file.read_text():
        assert time.monotonic() < until
        settled(friend)
    program.kill()
    program.start()
    program.logged("1 addresses of clients are known again")
    again = [from_address(program, "127.0.0.2") for _ in range(10)]
    assert not any(map(refused, again))
    done = CliRunner().invoke(cli, ["clients", str(file), "--json"])
    told = json.loads(done.output)
    assert told["known"][0]["address"] == "127.0.0.2"
    shown = CliRunner().invoke(cli, ["clients", str(file)])
    assert shown.exit_code == 0 and "addresses known" in shown.output
    wrong = CliRunner().invoke(cli, ["clients", str(program.config)])
    assert wrong.exit_code == 2 and "no state of clients" in wrong.output
