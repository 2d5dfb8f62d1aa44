"""An address that changes hands: connections to the process that was there before live on, and carry nothing more."""

import asyncio

import pytest
from peers import Backend
from test_races_answers import begun
from test_races_endpoints import OK, kept_pool, rig
from tornado.iostream import IOStream

from linkdock.connections.first_bytes import CROSSING, FirstBytes
from linkdock.facade import DELIVERED, NOT_SENT, Server

REPLACED = {
    "another destination": {"destination": 2},
    "a later start": {"born": 7.0},
    "both": {"destination": 2, "born": 7.0},
}


def replace(calls, **moved):
    """Discovery tells that another process stands behind the row."""
    calls.table.update([calls.table.row("s1")._replace(**moved)], 2)


@pytest.mark.parametrize("pool", ["plain", "kept"])
@pytest.mark.parametrize("moved", REPLACED.values(), ids=REPLACED)
def test_a_call_to_a_new_process_at_an_old_address_goes_over_a_new_connection(tmp_path, pool, moved):
    # Orders of another destination went out over the connections to the process that had been there before.
    async def story():
        async with rig() as r:
            if pool == "kept":
                kept_pool(r, tmp_path)
            _, run, old = await begun(r)
            await r.loop.sock_sendall(old, OK)
            await run
            replace(r, **moved)
            _, run, new = await begun(r)
            await r.loop.sock_sendall(new, OK)
            await run
            assert await r.request(old) == b"" and r.desk.ends == [DELIVERED] * 2
            old.close()
            new.close()

    asyncio.run(story())


@pytest.mark.parametrize("pool", ["plain", "kept"])
@pytest.mark.parametrize("moved", REPLACED.values(), ids=REPLACED)
def test_a_call_whose_connection_came_up_to_the_process_before_is_not_written(tmp_path, pool, moved, monkeypatch):
    async def story():
        async with rig() as r:
            if pool == "kept":
                kept_pool(r, tmp_path)
            real = IOStream.connect

            async def connect(stream, address):
                await real(stream, address)
                replace(r, **moved)

            monkeypatch.setattr(IOStream, "connect", connect)
            _, run = r.call(b"x")
            await run
            assert r.desk.ends == [NOT_SENT]
            assert await r.request(await r.accept()) == b""  # it came up, and went without a byte

    asyncio.run(story())


def test_a_connection_in_use_while_its_process_was_replaced_serves_no_further():
    async def story():
        async with rig() as r:
            _, run, old = await begun(r)
            replace(r, born=7.0)
            await r.loop.sock_sendall(old, OK)
            await run
            _, run, new = await begun(r)
            await r.loop.sock_sendall(new, OK)
            await run
            assert await r.request(old) == b"" and r.desk.ends == [DELIVERED] * 2
            old.close()
            new.close()

    asyncio.run(story())


def test_how_soon_the_process_before_answered_is_forgotten():
    # The bound of a copy was that of a network which the new process is not behind.
    found, before, after = FirstBytes(), Server("s1", ("h", 1), 1).peer, Server("s1", ("h", 1), 1, born=7.0).peer
    found.reached("s1", before)
    found.note_sure("s1", 0.1)
    found.reached("s1", before)
    assert found.crossing("s1") > CROSSING
    found.reached("s1", after)
    assert found.crossing("s1") == CROSSING


def test_a_process_sends_nothing_to_the_one_that_was_at_an_address_before(start):
    server = Backend("s1")
    program = start([server])
    _, tell = program.discovery.watch(lively=True)
    client = program.client()
    assert client.enqueue("aa01", cls="order") == "+OK"
    old, _ = server.take()
    old.answer(200)
    server.destination = 2
    tell(8, [{**server.row(), "born_ms": 1000}])
    while not (said := client.enqueue("aa02", cls="order", dest=2)).startswith("+OK"):
        assert said == "-ERR unknown destination"  # until the list is read
    new, (_, headers, _) = server.take()
    assert headers["x-trace-id"] == "aa02"
    new.answer(200)
    assert old.call() is None  # closed, with nothing sent
