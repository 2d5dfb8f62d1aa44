"""A backend server that takes no further connection says so by a 503 over the new one, which it closes."""

import asyncio

import pytest

from linkdock.connections.pool import ConnectionPool
from linkdock.facade import NOT_CONNECTED, NOT_SENT, TURNED_AWAY, Dispatch, Item, Server
from linkdock.protocol.backend import Backend
from linkdock.protocol.calls import Call
from linkdock.state.requests import Request
from linkdock.state.table import ServerTable
from linkdock.state.wheel import Wheel


class Desk:
    def __init__(self):
        self.ends = []

    def may_go(self, server, item):
        return True

    def ended(self, server, item, how, elapsed, *more, **told):
        self.ends.append(how)

    def repeatable(self, request):
        return True


async def outcomes(*answers):
    """How calls end that are made one after another, each answered so; a kept connection is used again."""

    async def serve(reader, writer):
        while (await reader.readuntil(b"\r\n\r\n")) and script:
            await reader.readexactly(1)
            text = script.pop(0)
            writer.write(b"HTTP/1.1 " + text + b"\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            if b"close" in text:
                break
        writer.close()

    script, desk, loop = list(answers), Desk(), asyncio.get_running_loop()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    table, wheel = ServerTable([False], loop.time), Wheel(0.005, loop.time(), loop.time)
    table.update([Server("s1", server.sockets[0].getsockname(), 1)], 1)
    backend = Backend(desk, table, ConnectionPool(wheel, 4.0, 10), wheel, loop.time, 1.5, [])
    beat = loop.create_task(advance(wheel, loop))
    for n in range(len(answers)):
        request = Request(f"aa{n}", "0", 0, 1, loop.time() + 9, b"x")
        await asyncio.wait_for(Call(backend, Dispatch("s1", [Item(f"aa{n}", 0, 9.0)]), [request]).run(), 20)
    beat.cancel()
    backend.pool.close()
    assert not len(backend.pool)
    server.close()
    return desk.ends


async def advance(wheel, loop):
    while True:
        wheel.advance(loop.time())
        await asyncio.sleep(wheel.tick)


@pytest.mark.parametrize(
    "answers, ends",
    [
        ([b"503 No\r\nConnection: close"], [NOT_CONNECTED]),
        ([b"503 No"], [TURNED_AWAY]),  # what it told is about the call
        ([b"503 No", b"503 No\r\nConnection: close"], [TURNED_AWAY, TURNED_AWAY]),  # this connection it had taken
        ([b"503 No\r\nConnection: close\r\nX-Line-Busy: 1"], [NOT_SENT]),
        ([b"429 No\r\nConnection: close\r\nRetry-After: 0.5"], [TURNED_AWAY]),
    ],
)
def test_a_new_connection_that_is_turned_away_is_no_call_turned_away(answers, ends):
    assert asyncio.run(outcomes(*answers)) == ends
