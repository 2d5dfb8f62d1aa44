"""Races on answers: in pieces, cut, without end, late, ahead of or behind something else, forced every time."""

import asyncio
import json

import pytest
from test_races_endpoints import OK, reset, rig

from linkdock.facade import DELIVERED, ERROR, RESET, TIMED_OUT


async def begun(r, *bodies, **more):
    """A call whose request the server has read whole: the call, its task, the server's socket."""
    call, run = r.call(*(bodies or (b"x",)), **more)
    sock = await r.accept()
    assert await r.request(sock)
    return call, run, sock


async def say(r, call, sock, text):
    """Send this, and wait until the call has taken it in; it waits for more then."""
    seen = call._parser.read + len(text)
    await r.loop.sock_sendall(sock, text)
    await r.until(lambda: call._parser.read == seen or not call.items)


async def pass_time(r, seconds):
    """So much later by the calls' clock; what is due then has happened."""
    r.skip += seconds
    await r.wheel.pause(0.0)
    await r.wheel.pause(0.0)


@pytest.mark.parametrize("cut", [1, 10, 22, 24, 30])
def test_a_1xx_answer_in_pieces_does_not_begin_the_answer_to_the_call(cut):
    async def story():
        async with rig() as r:
            call, run, sock = await begun(r)
            ahead = b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n"
            await say(r, call, sock, ahead[:cut])
            if cut < len(ahead):
                await say(r, call, sock, ahead[cut:])
            await pass_time(r, 3.0)   # the call takes its time
            assert r.desk.ends == []
            await r.loop.sock_sendall(sock, OK)
            await run
            assert r.desk.ends == [DELIVERED]
            sock.close()
    asyncio.run(story())


@pytest.mark.parametrize("cut", range(1, 17))
@pytest.mark.parametrize("then, how", [("nothing", ERROR), ("close", RESET), ("reset", RESET), ("the rest", DELIVERED),
                                       ("its time is up", TIMED_OUT)])
def test_a_first_line_in_pieces_counts_once_it_is_whole(cut, then, how):
    async def story():
        async with rig() as r:
            call, run, sock = await begun(r, limit=0.4 if then == "its time is up" else 9.0)
            await say(r, call, sock, OK[:cut])
            assert r.desk.ends == []
            if then == "close":
                sock.close()
            elif then == "reset":
                reset(sock)
            elif then == "the rest":
                await r.loop.sock_sendall(sock, OK[cut:])
            else:
                await pass_time(r, 0.6)
            await run
            assert r.desk.ends == [how]
            sock.close()
    asyncio.run(story())


@pytest.mark.parametrize("text, how", [
    (b"HTTP/1.1 503 No\r\nX: y\r\n", ERROR),                              # a head that never ends
    (b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nxx", ERROR),           # a body that never ends
    (b"HTTP/1.1 429 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx", ERROR),
    (b"HTTP/1.1 200 OK\r\nX: y\r\n", DELIVERED),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxx", DELIVERED)])
def test_an_answer_that_never_ends_frees_its_call_and_its_connection(text, how):
    async def story():
        async with rig() as r:
            call, run, sock = await begun(r)
            await say(r, call, sock, text)
            assert r.desk.ends == ([DELIVERED] if how == DELIVERED else [])   # its first line is true at once
            await pass_time(r, 0.6)
            await run
            assert r.desk.ends == [how] and not len(r.pool)
            sock.close()
    asyncio.run(story())


def told(*states):
    body = json.dumps([{"id": name, "state": state} for name, state in states]).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize("states", [("done", "busy"), ("busy", "done"), ("busy", "busy")])
def test_a_batch_answer_that_names_an_item_twice_proves_nothing(states):
    async def story():
        async with rig() as r:
            _, run, sock = await begun(r, b"x", b"y")
            await r.loop.sock_sendall(sock, told(("aa00", states[0]), ("aa01", "busy"), ("aa00", states[1])))
            await run
            assert r.desk.ends == [ERROR, ERROR]
            sock.close()
    asyncio.run(story())


@pytest.mark.parametrize("then, how", [("nothing", ERROR), ("close", RESET), ("reset", RESET)])
@pytest.mark.parametrize("cut", [20, 41, 60, 90])
def test_a_batch_answer_that_is_cut_may_have_run_whatever_it_said_so_far(cut, then, how):
    async def story():
        async with rig() as r:
            call, run, sock = await begun(r, b"x", b"y")
            await say(r, call, sock, told(("aa00", "busy"), ("aa01", "done"))[:cut])
            if then == "nothing":
                await pass_time(r, 0.6)
            elif then == "close":
                sock.close()
            else:
                reset(sock)
            await run
            assert r.desk.ends == [how, how]
            sock.close()
    asyncio.run(story())
