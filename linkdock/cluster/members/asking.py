"""What a process has asked and not heard yet: its probe, pings for others, joins. Bounded; by number alone."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from random import Random

from .settings import MembersSettings

MOST_JOINS = 16  # questions for Welcome whose answers still count


@dataclass(slots=True)
class Probe:
    """One member is asked; others are asked for it at `ask_others`, and it is over at `end`."""

    number: int
    target: str
    ask_others: float
    end: float
    helpers: int = 0
    nacks: int = 0
    answered: bool = False

    def due(self) -> float:
        return self.end if self.answered else min(self.ask_others, self.end)


@dataclass(slots=True)
class Relay:
    """A ping for `asker`, whose question had `number`."""

    asker: str
    number: int
    target: str
    nack: float
    end: float


class Open:
    """Questions by number. Danger: an answer whose number is not here is an old one, whatever it says."""

    def __init__(self, settings: MembersSettings, random: Random) -> None:
        self._settings, self._random = settings, random
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self._joins: list[int] = []
        self._answers, self._answers_at = settings.answers, 0.0

    def draw(self) -> int:
        return self._random.getrandbits(62)

    def join(self) -> int:
        number = self.draw()
        self._joins = [*self._joins[1 - MOST_JOINS :], number]
        return number

    def joined(self, number: int) -> bool:
        return number in self._joins

    def may_answer(self, now: float) -> bool:
        """Whether one more Join is answered. Danger: one packet in, several out, to whom it says that it is from."""
        most = self._settings.answers
        self._answers, self._answers_at = min(most, self._answers + (now - self._answers_at) * most), now
        if self._answers < 1:
            return False
        self._answers -= 1
        return True

    def of_probe(self, number: int, target: str) -> bool:
        probe = self.probe
        return probe is not None and probe.number == number and probe.target == target

    def relay(self, now: float, asker: str, number: int, target: str) -> int | None:
        """The number for a ping in its place; None if too many are out."""
        if len(self.relays) >= self._settings.most_relays:
            return None
        drawn = self.draw()
        self.relays[drawn] = Relay(asker, number, target, now + self._settings.nack_s, now + self._settings.probe_s)
        return drawn

    def shift(self, late: float) -> None:
        """This process itself was away for so long: nobody else's time ran."""
        if self.probe is not None:
            self.probe.ask_others += late
            self.probe.end += late
        for relay in self.relays.values():
            relay.nack += late
            relay.end += late

    def due(self) -> float:
        probe = self.probe.due() if self.probe is not None else inf
        return min([probe, *(min(relay.nack, relay.end) for relay in self.relays.values())])


class Order:
    """Who is probed next: all in shuffled order, suspects that others told of in between."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._order: list[str] = []
        self._checks: dict[str, None] = {}
        self._check_next = True

    def add(self, peer_id: str) -> None:
        """A new one comes anywhere in what is left of this round."""
        self._order.insert(self._random.randrange(len(self._order) + 1), peer_id)

    def check(self, peer_id: str) -> None:
        self._checks[peer_id] = None

    def next(self, live: list[str], may: set[str]) -> str | None:
        """`live`: all that can be probed; `may`: the suspects among them."""
        while self._check_next and self._checks:
            peer_id = next(iter(self._checks))
            del self._checks[peer_id]
            if peer_id in may:
                self._check_next = False
                return peer_id
        self._check_next = True
        known = set(live)
        while self._order:
            peer_id = self._order.pop()
            if peer_id in known:
                return peer_id
        self._order = live
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None
