"""Terms of the standing test's page that came later: what must be known when, each forced on a clock of the test's own.

The watch is the real one over real connections; only time is the test's.
"""

import asyncio
import socket

import pytest
from peers import PATIENCE
from test_races_lists import HEAD, Story, chunk, line, row

from linkdock.state.watch_schedule import MOST_PROMPT_ASKS, SILENCE_TIMEOUT, WatchSchedule

TOLD = 6.0  # seconds after which a change counts as told that discovery had and that could be asked for
MOVED = 4.0  # and after a signal that moves discovery
DRAIN_GRACE = 1.0  # seconds after that in which something new may still go to a server that drains
ANSWER = 0.1  # seconds that are left for the answer's way
TICK = 0.05
OUTAGES = ("refused", "errors", "hung")


class Agent:
    """Discovery's side: what it says to each ask, by how it fares. What it had is told anew once it is up."""

    def __init__(self):
        self.held = self._bound(0)  # keeps the port while nobody listens there
        self.dial = self.held.getsockname()
        self.sock = None
        self.how, self.rows, self.version = "up", [], 7
        self.silent, self.open, self.asks = set(), {}, 0
        self.indent, self.whole = None, False
        self.tasks = []

    @staticmethod
    def _bound(port):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", port))
        sock.setblocking(False)
        return sock

    def listen(self):
        self.sock = self._bound(self.dial[1])
        self.sock.listen()
        self.tasks.append(asyncio.get_running_loop().create_task(self._accept()))

    def refuse(self):
        """Nobody listens there, and nobody else can."""
        self.tasks[-1].cancel()
        self.sock.close()

    def fail(self, how):
        self.how = how
        if how == "refused":
            self.refuse()

    def back(self):
        if self.how == "refused":
            self.listen()
        self.how = "up"

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            reader, writer = await asyncio.open_connection(sock=sock)
            self.tasks.insert(0, loop.create_task(self._serve(reader, writer)))

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.asks += 1
        peer = writer.get_extra_info("peername")
        if self.how == "up":
            self.open[peer] = writer
            writer.write(HEAD + chunk(line(self.rows, self.version, self.whole, self.indent)))
        elif self.how == "errors":
            writer.write(b"HTTP/1.1 503 Told\r\nContent-Length: 0\r\n\r\n")
        else:
            self.silent.add(peer)  # also after it is back: nobody will ever answer this one
            self.open[peer] = writer

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.open.values():
            writer.close()
        self.held.close()
        if self.sock is not None:
            self.sock.close()

    def end(self):
        """All watches end."""
        for writer in self.open.values():
            writer.close()
        self.open.clear()

    def say(self, data):
        for writer in self.open.values():
            writer.write(data)


class Watched(Story):
    """One watch, its table, and an agent that fails as a test says."""

    def __init__(self, patch, asking):
        super().__init__(patch, asking)
        self.agent = self.other = None
        self.lively = False  # whether the first agent says that nothing has changed

    async def begin(self, how):
        from linkdock.protocol.discovery import Watch

        self.agent = Agent()
        self.agent.how = how
        if how != "refused":
            self.agent.listen()
        self.watch = Watch(
            self.agent.dial, self.wheel, self.schedule, ["a"], ["x"], lambda: self.table.version, self, 1 << 20
        )
        self.running = asyncio.get_running_loop().create_task(self.watch.run())
        return self.agent

    async def end(self):
        self.watch.close()
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        for agent in (self.agent, self.other):
            if agent is not None:
                await agent.close()

    def _at_rest(self):
        """Whether nothing can happen before time goes on: the watch waits for its next ask, or for the other side."""
        watch = self.watch
        if watch._resting is not None:
            return not watch._rested.is_set()
        stream = watch._stream
        if stream is None or stream.closed() or stream.socket is None:
            return False
        name = stream.socket.getsockname()
        return any(
            name in agent.silent or name in agent.open and watch._served
            for agent in (self.agent, self.other)
            if agent is not None
        )

    async def turns(self):
        for _ in range(4):
            await asyncio.sleep(0)
        async with asyncio.timeout(PATIENCE):
            while not self._at_rest():
                await asyncio.sleep(0)
        for _ in range(4):
            await asyncio.sleep(0)

    async def meet(self, how):
        """All watches end, and what follows meets the outage."""
        self.agent.fail(how)
        self.agent.end()

    async def watching(self):
        """The first watch is open, and has told what there is."""
        while not self.table.row("s1"):
            await self.passed(TICK)

    async def heard(self, data):
        """The agent says it on the open watch, which has read it."""
        until = self.read + len(data)
        self.agent.say(data)
        async with asyncio.timeout(PATIENCE):
            while self.read < until and not self.watch._stream.closed():
                await asyncio.sleep(0)
        await self.turns()

    async def just_asked(self):
        """Right after the next ask: the worst moment for discovery to be back."""
        before = self.schedule.asks
        while self.schedule.asks == before:
            await self.passed(TICK)

    async def until_drained(self, name, most):
        """Seconds until the table has it that this one drains; at the most so many."""
        began = self.now
        while self.table.row(name).health == "ready" and self.now < began + most:
            if self.lively:
                self.agent.say(chunk(b"\n"))
            await self.passed(TICK)
        return self.now - began


def play(monkeypatch, asking, story, how="up"):
    async def whole():
        one = Watched(monkeypatch, asking)
        agent = await one.begin(how)
        agent.rows = [row("s1"), row("s2")]
        try:
            await story(one, agent)
        finally:
            await one.end()

    asyncio.run(asyncio.wait_for(whole(), 2 * PATIENCE))


def drain(agent):
    agent.version += 1
    agent.rows = [row("s1", health="draining"), row("s2")]


class Latest:
    """Chance that always draws the last moment."""

    @staticmethod
    def uniform(low, high):
        return high


class CountedSchedule(WatchSchedule):
    """Pauses as late as they may be by chance; how often it was asked how long to wait for an answer."""

    def __init__(self, paid):
        super().__init__(paid, 200, 10.0, 1)
        self._random, self.asks = Latest(), 0

    def answer_timeout(self):
        self.asks += 1
        return super().answer_timeout()


def pushed():
    return CountedSchedule(paid=False)


def asked_for():
    return CountedSchedule(paid=True)


# --- A change counts as told 6 s after discovery had it and could be reached.


@pytest.mark.parametrize("how", OUTAGES)
@pytest.mark.parametrize("lasted", [0.7, 8.0, 40.0])
@pytest.mark.parametrize("asking", [pushed, asked_for])
def test_a_drain_is_known_in_time_after_discovery_failed_in_any_way(monkeypatch, asking, how, lasted):
    async def story(one, agent):
        await one.watching()
        await one.meet(how)
        await one.passed(lasted)
        await one.just_asked()
        drain(agent)
        agent.back()
        took = await one.until_drained("s1", 20.0)
        assert took <= TOLD + DRAIN_GRACE - ANSWER, took
        if asking is pushed:
            assert took <= DRAIN_GRACE - ANSWER, took  # pushed, what the agent has counts at once

    play(monkeypatch, asking(), story)


def test_an_ask_that_is_given_more_time_after_many_costs_no_drain_its_time(monkeypatch):
    async def story(one, agent):
        await one.watching()
        await one.meet("hung")
        while one.schedule.asks < 1 + MOST_PROMPT_ASKS:
            await one.passed(TICK)
        await one.just_asked()  # one in so many is given the time of a slow agent
        drain(agent)
        agent.back()
        took = await one.until_drained("s1", 20.0)
        assert SILENCE_TIMEOUT < took <= TOLD + DRAIN_GRACE - ANSWER, took

    play(monkeypatch, pushed(), story)


@pytest.mark.parametrize("asking", [pushed, asked_for])
@pytest.mark.parametrize("alive", [0.0, 13.0])
def test_a_drain_behind_a_watch_that_fell_silent_is_known_in_time(monkeypatch, asking, alive):
    async def story(one, agent):
        await one.watching()
        for _ in range(int(alive / 2)):
            await one.passed(2.0)
            await one.heard(chunk(b"\n"))
        drain(agent)  # and from now on nothing comes on that watch
        took = await one.until_drained("s1", 20.0)
        assert took <= TOLD + DRAIN_GRACE - ANSWER, took

    play(monkeypatch, asking(), story)


@pytest.mark.parametrize("asking", [pushed, asked_for])
@pytest.mark.parametrize("begun, each", [(b"", b" "), (b'{"seq":8,"x":"', b"x"), (b'{"hosts":[{"x":"', b"x")])
def test_a_drain_behind_a_watch_that_trickles_and_tells_nothing_is_known_in_time(monkeypatch, asking, begun, each):
    async def story(one, agent):
        await one.watching()
        if begun:
            await one.heard(chunk(begun))
        drain(agent)
        began, opened = one.now, agent.asks
        while one.table.row("s1").health == "ready" and one.now < began + 20.0:
            if agent.asks == opened and not one.watch._stream.closed():
                await one.heard(chunk(each))
            await one.passed(0.4)
        assert one.now - began <= TOLD + DRAIN_GRACE - ANSWER, one.now - began

    play(monkeypatch, asking(), story)


@pytest.mark.parametrize("asking", [pushed, asked_for])
@pytest.mark.parametrize("how", OUTAGES)
@pytest.mark.parametrize("indent", [None, 2])
def test_a_whole_list_after_an_outage_drains_and_drops_in_time(monkeypatch, asking, how, indent):
    async def story(one, agent):
        agent.whole, agent.indent = True, indent
        await one.watching()
        await one.meet(how)
        await one.passed(2.0)
        await one.just_asked()
        drain(agent)
        agent.rows.pop()  # and the other one is not listed any more
        agent.back()
        took = await one.until_drained("s1", 20.0)
        assert took <= TOLD + DRAIN_GRACE - ANSWER and one.table.row("s2") is None, took

    play(monkeypatch, asking(), story)


@pytest.mark.parametrize("asking", [pushed, asked_for])
@pytest.mark.parametrize("how", ["up", *OUTAGES])
@pytest.mark.parametrize("new", ["up", *OUTAGES])
def test_a_drain_told_only_at_the_new_address_is_known_in_time(monkeypatch, asking, how, new):
    """Wherever the old address had brought the watch to, and though the new one is not there at once."""

    async def story(one, agent):
        await one.watching()
        if how != "up":
            await one.meet(how)
            await one.passed(9.0)
            await one.just_asked()
        other = one.other = Agent()
        other.rows, other.version, other.how = agent.rows, agent.version, new
        drain(other)
        if new != "refused":
            other.listen()
        one.watch.move(other.dial)
        one.lively = how == "up"  # the old one has nothing more to tell, and goes on to say so
        if new != "up":
            await one.passed(3.0)
            await one.just_asked()
            other.back()
        took = await one.until_drained("s1", 20.0)
        assert took <= (MOVED if new == "up" else TOLD) + DRAIN_GRACE - ANSWER, took

    play(monkeypatch, asking(), story)
