"""Clients at the edges: at the end of a connection's time, and while the process leaves."""

import asyncio

import pytest
from test_races_close import Rig, message, played

from linkdock.protocol import frontend as front


async def at_the_deadline(rig, sock, data):
    """These bytes have come by the end of a command's time; the timer is looked at before the socket."""
    rig.turning.cancel()
    await asyncio.sleep(2 * front.WHOLE)
    sock.sendall(data)
    rig.wheel.advance(rig.loop.time())
    rig.turning = rig.loop.create_task(rig._turn())


@pytest.mark.parametrize("before", [0, 1, 30], ids=["rests", "one byte", "half"])
def test_a_command_that_is_whole_by_the_end_of_its_time_is_answered(before, monkeypatch):
    """Also the first on a connection that has rested until then: closed over, it would have failed."""
    monkeypatch.setattr(front, "WHOLE", 0.1)

    async def story(rig: Rig):
        sock, data = rig.client(), message(b"aa01")
        sock.sendall(data[:before])
        await asyncio.sleep(0.05)
        await at_the_deadline(rig, sock, data[before:])
        assert await rig.heard(sock, 1) == [b"+OK"] and rig.asked == ["aa01"]
        sock.sendall(message(b"aa02"))
        assert await rig.heard(sock, 1) == [b"+OK"]
    played(story)


def test_what_is_not_whole_by_the_end_of_its_time_is_closed_and_never_sent_on(monkeypatch):
    monkeypatch.setattr(front, "WHOLE", 0.1)

    async def story(rig: Rig):
        sock, data = rig.client(), message(b"aa01")
        await at_the_deadline(rig, sock, data[:30])
        began = rig.loop.time()
        assert await rig.heard(sock) == [] and rig.loop.time() < began + 0.09   # and has no more time for it
        sock.sendall(data[30:])
        while len(rig.front):
            await asyncio.sleep(0)
        assert rig.asked == []
    played(story)
