"""What a node does about who is in the log: founding it, and, while it leads, who follows and who decides."""

from __future__ import annotations

import asyncio
from typing import Protocol

from .engine import Alarm, Engine
from .errors import BadChange, ChangeOpen, NotLeading, TooLarge
from .interface import Heard, Rumour, Standing, name_of
from .links import Links
from .places import who_votes
from .settings import ClusterSettings
from .wire import AskFresh

EVERY = 0.5  # seconds between looks, if nothing happens before
LEAST = 0.05  # and at least
FRESH_FOR = 2.0  # seconds for which another one's word counts that it holds no log
NOT_YET = 0.5  # seconds until a learner is tried again that had not caught up
MOST_DOWN = 4096


class Process(Protocol):
    """What it needs of the node that it steers."""

    id: str
    name: str
    settings: ClusterSettings
    engine: Engine
    links: Links

    def clock(self) -> float:
        """Seconds, monotonic."""

    def view(self) -> dict[str, Rumour]:
        """The members, by id."""


class Steering:
    """Owner of the bookkeeping about who has been away for how long, and who holds no log."""

    def __init__(self, node: Process, alarm: Alarm) -> None:
        """`alarm` is set when there is something new to look at."""
        self._node, self._alarm = node, alarm
        self._down: dict[str, float] = {}  # by id: since when, as heard here
        self._fresh: dict[str, tuple[float, bool]] = {}  # by id: when it said whether it holds no log
        self._not_yet: dict[str, float] = {}

    def heard(self, change: Heard) -> None:
        """A member's standing has changed."""
        peer_id = change.peer.id
        if change.standing in (Standing.FAILED, Standing.LEFT):
            self._down.setdefault(peer_id, self._node.clock())
            if len(self._down) > MOST_DOWN:
                del self._down[next(iter(self._down))]
        else:
            self._down.pop(peer_id, None)
        self._alarm.set()

    def told(self, sender: str, fresh: bool) -> None:
        """A member said whether it holds no log yet."""
        self._fresh.pop(sender, None)
        self._fresh[sender] = self._node.clock(), fresh
        if len(self._fresh) > MOST_DOWN:
            del self._fresh[next(iter(self._fresh))]

        self._alarm.set()

    async def run(self) -> None:
        """Found the log, or change its voters by who is away and who has come; never returns."""
        while True:
            now, core = self._node.clock(), self._node.engine.core
            if not core.config.voters:
                self._founds(now)
            elif core.leading:
                self._steer(now)
            await asyncio.sleep(LEAST)
            await self._alarm.wait(now + EVERY)

    def _founds(self, now: float) -> None:
        """Found the log if this process is the one to do so.

        Danger: two logs. A mark in the file of one process stays there when its folder is lost, and it would found a
        second one beside the others'. So each other founder has to be there and to say that it holds none; and nobody
        else may say otherwise.
        """
        node = self._node
        founders = node.settings.founders
        if not founders or founders[0] != node.name:
            return
        alive = {peer_id for peer_id, rumour in node.view().items() if rumour.standing is Standing.ALIVE}
        others = alive - {node.id}
        words = {
            peer_id: word for peer_id, (at, word) in self._fresh.items() if peer_id in others and now - at <= FRESH_FOR
        }
        there = {name_of(peer_id) for peer_id, word in words.items() if word}
        if all(words.values()) and len(words) == len(others) and there >= set(founders[1:]):
            node.engine.found()
            return
        for peer_id in others:
            node.links.send(peer_id, AskFresh())

    def _steer(self, now: float) -> None:
        node = self._node
        core, view = node.engine.core, node.view()
        for peer_id in (*core.config.voters, *core.config.learners):
            if peer_id not in view:
                self._down.setdefault(peer_id, now)
        gone = {peer_id for peer_id, since in self._down.items() if now - since >= node.settings.replace_s}
        self._not_yet = {peer_id: until for peer_id, until in self._not_yet.items() if until > now}
        following = [peer_id for peer_id in core.config.learners if peer_id not in self._not_yet]
        new = who_votes(view, core.config, node.id, node.settings.voters, gone, following)
        if new is None:
            return
        try:
            core.change(now, new)
        except BadChange:
            self._not_yet.update(dict.fromkeys(set(new.voters) - set(core.config.voters), now + NOT_YET))
        except (ChangeOpen, NotLeading, TooLarge):
            pass  # it is looked at again
        node.engine.wake()
