"""What files under `deploy/` switch on, made from their text. Nothing of a part is imported where it is off.

Each raises OptionError for a file that cannot be right, ConfigError where packages or the platform do not allow it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from ..options import switched_on
from ..state.journal import Journal
from ..state.table import ServerTable
from ..state.wheel import Wheel
from .config import Config, ConfigError

if TYPE_CHECKING:
    from ..admission.clients import Clients
    from ..cluster.node import Node
    from ..connections.kept import KeptPool
    from ..dormancy.disk import Dormancy
    from ..records.observer import Observer
    from ..undeliverable.writer import Undeliverable

T = TypeVar("T")


def _subsystem(name: str, make: Callable[[bytes], T]) -> T | None:
    try:
        text = switched_on(name)
        return None if text is None else make(text)
    except ImportError as bad:
        raise ConfigError(f"{name}.json: needs the packages of requirements-console.txt: {bad}") from None


def observer(config: Config, loop: asyncio.AbstractEventLoop) -> Observer | None:
    """The observer of the records."""
    try:
        text = switched_on("records")
        if text is None:
            return None
        from ..records import open_observer

        classes = {
            name: {"repeatable": config.repeatable(n), "deadline": config.settings.classes[n].deadline}
            for n, name in enumerate(config.class_names)
        }
        return open_observer(
            text, config.name, config.state, int(config.disk_mb * 1e6), classes, loop.time, loop.call_later
        )
    except OSError as bad:
        raise ConfigError(str(bad)) from None


def dormancy(
    config: Config, table: ServerTable, clock: Callable[[], float], unix_time: Callable[[], float]
) -> Dormancy | None:
    """What idle destinations are kept in."""

    def make(text: bytes) -> Dormancy:
        from ..dormancy.disk import Dormancy

        return Dormancy(text, config.state, int(config.disk_mb * 1e6), config.class_names, table, clock, unix_time)

    return _subsystem("dormancy", make)


def kept_pool(
    config: Config, table: ServerTable, wheel: Wheel, spawn: Callable, clock: Callable[[], float], idle_for: float
) -> KeptPool | None:
    """The pool that learns and opens ahead."""

    def make(text: bytes) -> KeptPool:
        from ..connections.choice import read
        from ..connections.kept import KeptPool

        told = config.settings
        return KeptPool(
            read(text),
            wheel,
            spawn,
            lambda server: table.closed(server, clock()),
            config.most_backends,
            idle_for,
            told.connect_timeout,
            told.cold_share,
            told.cold_time,
            config.state,
        )

    return _subsystem("connections", make)


def clients(
    config: Config, wheel: Wheel, unix_time: Callable[[], float], overloaded: Callable[[], bool]
) -> Clients | None:
    """The gate for clients and its file."""

    def make(text: bytes) -> Clients:
        from ..admission.clients import Clients

        return Clients(text, config.most_clients, config.sockets, config.state, wheel, unix_time, overloaded)

    return _subsystem("admission", make)


def store(config: Config, journal: Journal, loop: asyncio.AbstractEventLoop) -> Undeliverable | None:
    """The store of undeliverable messages."""

    def make(text: bytes) -> Undeliverable:
        from ..undeliverable.writer import Undeliverable

        return Undeliverable(text, config.state, journal, loop)

    return _subsystem("undeliverable", make)


def node(config: Config, loop: asyncio.AbstractEventLoop) -> Node | None:
    """This process among those of its fleet."""

    def make(text: bytes) -> Node:
        from ..cluster.node import open_node

        return open_node(text, config, loop)

    return _subsystem("cluster", make)
