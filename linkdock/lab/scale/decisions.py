"""Processor time of the decisions for a message, against destinations, held messages and destinations that are down.

The facade alone, as a sender drives it: facts in, a tick of 5 ms, orders out. Left out: clients, sockets, the journal.
Backend servers answer after a drawn time; one that is down refuses the connection.
"""

from __future__ import annotations

import heapq
import time
from itertools import count
from random import Random

from ... import interface as i
from ...dormancy.sleeper import Sleeper
from ...facade import DELIVERED, NOT_CONNECTED, Cancel, Deny, Dispatch, Drop, End, Facade, Server, Table, Take
from ...state.roster import Roster
from .rows import Figure

RATE = 353.0  # messages a second that one sender takes
SERVICE = 0.05  # seconds of a backend server's answer, on average
WARM, SECONDS = 3.0, 10.0  # seconds of virtual time before, and those measured
SLEEPS_AFTER = 60.0  # seconds
DESTINATIONS = 1000  # where another thing is what grows
DOWN = 0.01  # share of destinations that are down
MOST_AWAKE = 20_000  # destinations
DEADLINE, LONG = 6.0, 3600.0  # seconds that a message has; one that is held


def settings() -> i.Settings:
    """Two classes: short ones for traffic, long ones for what is held."""
    return i.Settings(
        classes=[
            i.MessageClass(i.Effect.SAFE, 0.8, DEADLINE, late_share=0.1),
            i.MessageClass(i.Effect.SAFE, 60.0, LONG),
        ],
        kinds=[i.DestinationKind()],
        slots=400,
        max_open=10_000_000,
        max_attempts=8,
        max_retry_after=3.0,
        retry_after=True,
        cancel=True,
        second_copies=True,
        fall_multiple=1.5,
        tip_after=2.0,
        cold_share=0.35,
        cold_time=10.0,
        connect_timeout=1.5,
        idle_close=5.0,
        told_weights=False,
    )


def server(number: int) -> Server:
    """The backend server of a destination, by the destination's number; its name ends in that number in hex."""
    return Server(f"s-{number:08x}", ("10.0.0.1", 7000), number)


class Driver:
    """A sender's decisions with backend servers on a virtual clock. `down` names destinations that refuse."""

    def __init__(self, told: i.Settings, seed: int, destinations: int, sleeps: bool = False) -> None:
        """`told`: the sender's settings; `sleeps`: destinations start asleep, and fall asleep again when at rest."""
        self._random, self._settings, self.destinations = Random(seed), told, destinations
        sleeper = None
        if sleeps:
            roster = Roster()
            for number in range(destinations):
                roster.put(server(number))
            sleeper = Sleeper(lambda: roster, len(told.classes), SLEEPS_AFTER, destinations)
        self.facade = Facade(told, seed, sleeper)
        self.down: set[int] = set()
        self.now, self.seconds, self.delivered, self.calls = 0.0, 0.0, 0, 0
        self._events: list[tuple[float, int, End]] = []
        self._order, self._numbers = count(), count(1)
        self._destination_of: dict[str, int] = {}

    def list_all(self) -> None:
        """Tell the whole list."""
        self.facade.report(Table("whole", [server(n) for n in range(self.destinations)], 1))
        self._turn()

    def hand_in(self, destination: int, cls: int) -> None:
        """Hand one message of class `cls` to the decisions, with the deadline of that class."""
        request = f"{next(self._numbers):016x}"
        self._destination_of[request] = destination
        left = self._settings.classes[cls].deadline
        began = time.process_time()
        self.facade.report(Take(request, cls, destination, left))
        self.seconds += time.process_time() - began

    def go_on(self, seconds: float, rate: float = 0.0) -> int:
        """Let time go by, with traffic spread evenly over all destinations; how many messages were handed in."""
        until, handed = self.now + seconds, 0
        next_message = self.now + self._random.expovariate(rate) if rate else until
        while self.now < until:
            self.now += self._settings.tick
            while next_message <= self.now:
                self.hand_in(self._random.randrange(self.destinations), 0)
                handed += 1
                next_message += self._random.expovariate(rate) if rate else until
            while self._events and self._events[0][0] <= self.now:
                self._report(heapq.heappop(self._events)[2])
            if self.facade.due(self.now):
                self._turn()
        return handed

    def _report(self, end: End) -> None:
        began = time.process_time()
        self.facade.report(end)
        self.seconds += time.process_time() - began

    def _turn(self) -> None:
        began = time.process_time()
        self.facade.tick(self.now)
        orders = list(iter(self.facade.pick, None))
        self.seconds += time.process_time() - began
        for order in orders:
            match order:
                case Dispatch():
                    self._call(order)
                case Deny(request, _) | Drop(request):
                    self._destination_of.pop(request, None)
                case Cancel():
                    pass  # the call ends by itself soon after

    def _call(self, call: Dispatch) -> None:
        self.calls += 1
        refused = int(call.server[2:], 16) in self.down
        took = 0.002 if refused else self._random.expovariate(1 / SERVICE)
        for item in call.items:
            how = NOT_CONNECTED if refused else DELIVERED
            self.delivered += not refused
            end = End(item.request, item.attempt, call.server, how, took)
            heapq.heappush(self._events, (self.now + took, next(self._order), end))

    def forget_messages(self) -> None:
        """Drop the driver's own map of messages, so that it does not count as memory of the decisions."""
        self._destination_of.clear()


def _cost(driver: Driver) -> list[Figure]:
    """Of traffic after a warm-up: processor time a message, and calls a message."""
    driver.go_on(WARM, RATE)
    driver.seconds, driver.calls = 0.0, 0
    handed = driver.go_on(SECONDS, RATE)
    return [
        Figure("processor time a message", "s", driver.seconds / handed),
        Figure("calls a message", "calls", driver.calls / handed),
    ]


def against_destinations(size: int, seed: int) -> list[Figure]:
    """Traffic spread evenly over so many destinations, 1 % down: all awake, and with those at rest asleep.

    Beyond MOST_AWAKE there is no figure for all awake: as objects they take more memory than there is.
    """
    figures = []
    for sleeps, name in ((False, "all awake"), (True, "with sleep")):
        if not sleeps and size > MOST_AWAKE:
            continue
        driver = Driver(settings(), seed, size, sleeps)
        if not sleeps:
            driver.list_all()
        driver.down = set(range(int(DOWN * size)))
        figures += [Figure(f"{one.name}, {name}", one.unit, one.value) for one in _cost(driver)]
    return figures


def against_held(size: int, seed: int) -> list[Figure]:
    """So many messages held for destinations that are down, while the others are sent to as ever."""
    driver = Driver(settings(), seed, DESTINATIONS)
    driver.list_all()
    driver.down = set(range(int(DOWN * DESTINATIONS)))
    for n in range(size):
        driver.hand_in(n % len(driver.down), 1)
    return _cost(driver)


def against_faults(size: int, seed: int) -> list[Figure]:
    """So many thousandths of the destinations down."""
    driver = Driver(settings(), seed, DESTINATIONS)
    driver.list_all()
    driver.down = set(range(DESTINATIONS * size // 1000))
    return _cost(driver)
