"""The window in which a message may be repeated, looked at once more right before the first byte."""

import asyncio

import pytest

from linkdock.facade import ERROR, NOT_CONNECTED, Facade, Item, Server, Table
from linkdock.interface import DestinationKind, Effect, MessageClass, Settings
from linkdock.protocol.backend import Backend
from linkdock.sender.context import SenderContext
from linkdock.sender.sender import Sender
from linkdock.state.journal import Journal
from linkdock.state.requests import Request, Taken
from linkdock.state.table import ServerTable
from linkdock.state.wheel import Wheel

WINDOW = 0.8


class Rules:
    class_names = ["any"]
    classes, tenants = {"any": 0}, {}

    def __init__(self, effect):
        self.settings = Settings(
            classes=[MessageClass(effect, aim=1.0, deadline=6.0, window=WINDOW)],
            kinds=[DestinationKind()],
            slots=4,
            max_open=10,
            max_attempts=5,
        )

    def repeatable(self, cls):
        return self.settings.classes[cls].effect is Effect.SAFE


class Notices:
    def post(self, notice):
        raise AssertionError(notice)


class OneSender:
    """The desk on a clock of the test's own, whose calls are the test's."""

    def __init__(self, folder, effect):
        self.now, rules = 100.0, Rules(effect)
        clock = self.time
        table = ServerTable([False], clock)
        table.update([Server("s1", ("127.0.0.1", 1), 1)], 1)
        facade = Facade(rules.settings, 1)
        facade.report(Table("whole", [Server("s1", ("127.0.0.1", 1), 1)], 1))
        books = SenderContext(rules, clock, facade, Journal(folder, 1_000_000), table)
        books.notices = Notices()
        self.sender = Sender(books, lambda work: work.close())
        wheel = Wheel(0.005, self.now, clock)
        self.sender.backend = Backend(self.sender, table, None, wheel, clock, 1.5, [])

    def time(self):
        return self.now

    async def first(self, how):
        """Hand a message in, and end its first attempt so once its first byte is out."""
        heard = []
        request = Request("aa01", "0", 0, 1, 0.0, b"x", answer=lambda said: heard.append(said) or True)
        self.sender.ask("any", 1, 6.0, request, False, False)
        self.sender.beat()
        assert heard == [Taken()]
        went = self.sender.may_go("s1", Item("aa01", 0, 6.0))
        self.sender.ended("s1", Item("aa01", 0, 6.0), how, 0.1)
        return went


@pytest.mark.parametrize(
    "effect, how, goes",
    [
        (Effect.KEYED, ERROR, False),  # what may have run is repeated within the window alone
        (Effect.KEYED, NOT_CONNECTED, True),  # the window begins with the first attempt that may have run
        (Effect.SAFE, ERROR, True),
    ],
)
def test_a_repeat_whose_connection_came_up_late_stays_inside_its_window(tmp_path, effect, how, goes):
    async def story():
        desk = OneSender(tmp_path, effect)
        assert await desk.first(how)
        desk.now += WINDOW - 0.1  # decided on in time; then its connection takes a while
        assert desk.sender.may_go("s1", Item("aa01", 1, 5.0))
        desk.now += 0.2
        assert desk.sender.may_go("s1", Item("aa01", 2, 5.0)) is goes

    asyncio.run(story())


def test_a_server_that_moves_to_another_destination_while_its_connection_comes_up_gets_nothing_of_the_first(tmp_path):
    async def story():
        desk = OneSender(tmp_path, Effect.SAFE)
        assert await desk.first(ERROR)
        desk.sender.changed([Server("s1", ("127.0.0.1", 1), 2)], 2)
        assert not desk.sender.may_go("s1", Item("aa01", 1, 5.0))
        desk.sender.changed([Server("s1", ("127.0.0.1", 1), 1)], 3)
        assert desk.sender.may_go("s1", Item("aa01", 2, 5.0))

    asyncio.run(story())
