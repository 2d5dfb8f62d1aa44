"""Orders of events in the notices: the real part over real connections, on a clock of the test's own."""

import asyncio
import contextlib
import json
import socket
import struct

import pytest

from linkdock.protocol.notices import MOST_BODY, Notices
from linkdock.state.wheel import Wheel

PATIENCE = 10.0
TICK = 0.005
HEARD = 0.3  # seconds after a message's time within which its end must be heard
TOLD = b"HTTP/1.1 204 Told\r\n\r\n"
BAD = b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"


class Post:
    """One post that the platform has read, and is to answer."""

    def __init__(self, ids, size, writer):
        self.ids, self.size, self.writer = ids, size, writer

    def answer(self, data=TOLD):
        self.writer.write(data)

    def end(self, reset=False):
        if reset:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()
        self.writer.close()


class Platform:
    async def open(self):
        self.posts = asyncio.Queue()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.dial = self.server.sockets[0].getsockname()
        return self

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                body = await reader.readexactly(int(head.split("Content-Length: ")[1].split("\r\n")[0]))
                self.posts.put_nowait(Post([json.loads(one)["id"] for one in body.splitlines()], len(body), writer))


class Story:
    def __init__(self):
        self.now, self.ended = 100.0, []
        self.wheel = Wheel(TICK, self.now, lambda: self.now)

    @contextlib.asynccontextmanager
    async def open(self):
        self.platform, self.other = await Platform().open(), await Platform().open()
        self.notices = Notices(self.platform.dial, self.wheel, self.wheel.pause, self.ended.append)
        running = asyncio.get_running_loop().create_task(self.notices.run())
        await self.turns()
        try:
            yield
            assert not running.done()
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            self.notices.close()
            for one in (self.platform, self.other):
                one.server.close()

    async def turns(self):
        for _ in range(10):
            await asyncio.sleep(0)

    def owe(self, *ids):
        for one in ids:
            self.notices.post({"id": one, "status": "undeliverable"})

    async def heard(self, within=HEARD, platform=None):
        """The next post, which has to come within so many seconds on the story's clock; None once all is confirmed."""
        posts, end = (platform or self.platform).posts, self.now + within
        while posts.empty():
            # Danger: the other side is a machine's own connection. Real time must pass for what needs it, and none
            # on the story's clock while anything is on its way.
            with contextlib.suppress(TimeoutError):
                return await asyncio.wait_for(posts.get(), 0.03)
            if not len(self.notices):
                return None
            assert self.now < end, "nothing was heard in time"
            self.now += TICK
            self.wheel.advance(self.now)
            await self.turns()
        return posts.get_nowait()

    async def confirmed(self, *ids):
        async with asyncio.timeout(PATIENCE):
            while self.ended != list(ids):
                assert len(self.ended) <= len(ids)
                await asyncio.sleep(0)
        assert not len(self.notices)


def play(story):
    asyncio.run(asyncio.wait_for(story, 6 * PATIENCE))


def answers(how):
    """What goes wrong with one post."""
    return {
        "lost": lambda post: None,
        "closed": lambda post: post.end(),
        "reset": lambda post: post.end(reset=True),
        "half": lambda post: (post.answer(TOLD[:9]), post.end()),
        "silent in half": lambda post: post.answer(TOLD[:-2]),
        "half, reset": lambda post: (post.answer(TOLD[:-2]), post.end(reset=True)),
        "noise": lambda post: post.answer(b"?"),
        "busy": lambda post: post.answer(b"HTTP/1.1 503 Told\r\nContent-Length: 0\r\n\r\n"),
        "a stray 400": lambda post: post.answer(BAD),
    }[how]


@pytest.mark.parametrize(
    "how", ["lost", "closed", "reset", "half", "silent in half", "half, reset", "noise", "busy", "a stray 400"]
)
@pytest.mark.parametrize("fresh", [True, False])
def test_a_post_that_goes_wrong_is_made_again_in_time_and_confirmed_once(how, fresh):
    async def story():
        one = Story()
        async with one.open():
            if not fresh:  # over a connection that is kept
                one.owe("a0")
                (await one.heard()).answer()
                await one.confirmed("a0")
                one.ended.clear()
            one.owe("a1", "a2")
            answers(how)(await one.heard())
            one.owe("a3")  # comes in while that post is out
            seen = set()
            while seen != {"a1", "a2", "a3"}:
                post = await one.heard()
                post.answer()
                seen |= set(post.ids)
            await one.confirmed("a1", "a2", "a3")
            await one.turns()
            assert one.platform.posts.empty()

    play(story())


@pytest.mark.parametrize("cut", [1, 9, 12, len(TOLD) - 2, len(TOLD) - 1])
def test_a_reply_in_pieces_confirms_once_and_its_connection_is_kept(cut):
    async def story():
        one = Story()
        async with one.open():
            one.owe("a1")
            post = await one.heard()
            post.answer(TOLD[:cut])
            await one.turns()
            assert one.ended == []
            post.answer(TOLD[cut:])
            await one.confirmed("a1")
            one.owe("a2")
            again = await one.heard()
            assert again.writer is post.writer
            again.answer(b"HTTP/1.1 204 Told\r\nConnection: close\r\n\r\n")
            await one.confirmed("a1", "a2")
            one.owe("a3")
            last = await one.heard()
            assert last.writer is not post.writer
            last.answer(TOLD)
            await one.confirmed("a1", "a2", "a3")

    play(story())


def test_a_second_reply_confirms_nothing_that_is_owed_later():
    async def story():
        one = Story()
        async with one.open():
            one.owe("a1")
            post = await one.heard()
            post.answer()
            await one.confirmed("a1")
            post.answer()  # while nothing is owed
            await one.turns()
            one.owe("a2")
            post = await one.heard()
            await one.turns()
            assert one.ended == ["a1"] and len(one.notices) == 1
            post.answer()
            await one.confirmed("a1", "a2")

    play(story())


def test_a_kept_connection_that_the_platform_closed_or_that_fell_silent_costs_no_notice_its_time():
    async def story():
        one = Story()
        async with one.open():
            for n in range(3):
                one.owe(f"a{n}")
                post = await one.heard()
                if n == 2:
                    break
                post.answer()
                await one.confirmed(*(f"a{m}" for m in range(n + 1)))
                if not n:
                    post.end()  # while nothing is owed
            (await one.heard()).answer()  # the third had no reply
            await one.confirmed("a0", "a1", "a2")

    play(story())


@pytest.mark.parametrize("when", ["a post is out", "its reply has half come", "between two tries", "nothing is owed"])
def test_sighup_at_any_point_takes_what_is_owed_to_the_new_address_at_once(when):
    async def story():
        one = Story()
        async with one.open():
            one.owe("a1", "a2")
            post = await one.heard()
            if when == "its reply has half come":
                post.answer(TOLD[:9])
                await one.turns()
            elif when == "between two tries":
                post.end()
                await asyncio.sleep(0.01)
            elif when == "nothing is owed":
                post.answer()
                await one.confirmed("a1", "a2")
            one.notices.move(one.other.dial)
            one.platform.server.close()  # and takes nobody any more
            one.owe("a3")
            last = await one.heard(0.1, one.other)
            assert last.ids == (["a3"] if when == "nothing is owed" else ["a1", "a2", "a3"])
            last.answer()
            await one.confirmed("a1", "a2", "a3")
            assert one.platform.posts.empty()

    play(story())


def test_many_at_once_are_all_heard_in_few_posts_that_fit():
    async def story():
        one = Story()
        async with one.open():
            ids = [f"{n:064}" for n in range(3000)]
            one.owe(*ids)
            heard, posts = [], 0
            while len(heard) < len(ids):
                post = await one.heard(4 * TICK)
                heard += post.ids
                posts += 1
                assert post.size <= MOST_BODY
                post.answer()
            assert heard == ids and posts <= 7
            await one.confirmed(*ids)

    play(story())


@pytest.mark.parametrize("how", ["closed", "lost"])
def test_what_is_owed_after_an_outage_of_the_platform_is_heard_in_time(how):
    async def story():
        one = Story()
        async with one.open():
            one.owe("a1")
            for _ in range(12):
                answers(how)(await one.heard(1.5))
                await asyncio.sleep(0.005)
            one.owe("a2")  # the last post has just failed, or is out for ever; from now on the platform answers
            post = await one.heard()
            if post.ids == ["a1"]:
                post.answer()
                post = await one.heard(4 * TICK)
            post.answer()
            await one.confirmed("a1", "a2")

    play(story())


@pytest.mark.parametrize("bad", [0, 37, 299])
def test_a_notice_that_the_platform_cannot_read_holds_up_no_other_for_long(bad, caplog):
    async def story():
        one = Story()
        async with one.open():
            ids = [f"a{n}" for n in range(300)]
            one.owe(*ids)
            posts, began = 0, one.now
            while (post := await one.heard()) is not None:
                posts += 1
                post.answer(BAD if ids[bad] in post.ids else TOLD)
            assert posts < 40 and one.now - began < HEARD and sorted(one.ended) == sorted(ids)
            one.owe(*(f"b{n}" for n in range(64)))  # nor does it slow what comes then
            posts = 0
            while (post := await one.heard()) is not None:
                posts += 1
                post.answer()
            assert posts < 8
        text = json.dumps({"id": ids[bad], "status": "undeliverable"}, separators=(",", ":")) + "\n"
        assert [r.message for r in caplog.records if "cannot read" in r.message] == [
            f"notices: the platform cannot read {text.encode()!r}"
        ]

    play(story())
