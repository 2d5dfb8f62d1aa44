"""Start-up, the ticks of the loop, and the planned end."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import socket
import sys
from collections.abc import Coroutine
from typing import TYPE_CHECKING

from tornado.netutil import bind_sockets

from ..connections.pool import ConnectionPool
from ..errors import LinkdockError, exit_line, log_line
from ..facade import Facade, Table
from ..options import switched_on
from ..protocol.backend import Backend
from ..protocol.discovery import Watch, read_news
from ..protocol.frontend import Frontend
from ..protocol.listening import BACKLOG, inherited
from ..protocol.notices import Notices
from ..sender.context import SenderContext
from ..sender.sender import Sender
from ..state.journal import Journal
from ..state.table import ServerTable
from ..state.watch_schedule import WatchSchedule
from ..state.wheel import Wheel
from . import switched
from .config import Config, ConfigError, load, reload
from .tick_schedule import TickSchedule

if TYPE_CHECKING:
    from ..admission.budget import Parts
    from .operations import Operations
    from .shift import Shift

log = logging.getLogger(__name__)

IDLE_MARGIN = 0.75  # seconds before the other side's idle-close at which a connection is retired
ACCEPT_FOR = 0.5  # seconds after SIGTERM in which new connections may still come: up to 0.4
NO_UNSAFE_AFTER = 1.7  # seconds after SIGTERM from which what may not be repeated is not started
TIDY_EVERY = 5.0  # seconds between looks for what the server table may forget
LOOK_EVERY = 0.05  # seconds between looks whether it could leave before:
SIBLING_EVERY = 0.05  # and between looks for the sender's other processes
HAND_OVER_EVERY = 0.02  # seconds between two batches that are handed over: about as long as taking one up lasts
FIRST_NEWS = 0.2  # seconds after the start for which decisions wait for the agent's first answer
LEAVE_FLEET = 2.0  # seconds more, at the most, to hand over what the fleet's processes share
LEAVE_AFTER = 3.4  # seconds after SIGTERM; SIGKILL comes 3.7 after it at the earliest
LAST_ANSWERS = 0.1  # seconds before that in which what was handed in is answered, and no more is read


class Process:
    """One running sender: its parts, its ticks and its tasks."""

    def __init__(self, config: Config) -> None:
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._failed: BaseException | None = None
        self._stopping = self._ended = False
        self._relieved = False  # while stopping: whether another process of this sender takes clients
        self._stop = asyncio.Event()
        settings, clock = config.settings, self._loop.time
        self._config = config
        self._ticks = TickSchedule(self._loop, settings.tick, self._tick)
        self._wheel = Wheel(settings.tick, clock(), clock, self._ticks.want)
        try:
            self._shift = self._succeed(config)
            self._journal = (
                Journal(config.state, int(config.disk_mb * 1e6)) if self._shift is None else self._shift.journal
            )
        except OSError as bad:
            raise ConfigError(f"RELAY_STATE: {bad}") from None
        table = self._table = ServerTable((kind.apart for kind in settings.kinds), clock)
        self._dormancy = switched.dormancy(config, table, clock, self._journal.clock.now)
        facade = self._facade = Facade(
            settings, config.seed, None if self._dormancy is None else self._dormancy.sleeper
        )
        facade.wake = self._ticks.soon
        self._operations = self._operators(config, facade, table)
        if config.known:
            try:
                _, servers, version = read_news(config.known, config.zones, config.kinds)
            except ValueError as bad:
                # Danger: a list that cannot be read would keep a sender from the messages that it owes.
                log.warning("known: %s; the start goes on without it", log_line(bad))
            else:
                table.update(servers, version)
                table.told = bool(servers)  # Danger: an empty one says nothing of what there is
                facade.report(Table("kept", table.shown(servers), version))
        context = SenderContext(config, clock, facade, self._journal, table)
        context.after = self._wheel.after
        self.sender = Sender(context, self.spawn)
        idle_for = max(settings.idle_close - IDLE_MARGIN, settings.idle_close / 2)
        kept = switched.kept_pool(config, table, self._wheel, self.spawn, clock, idle_for)
        self._pool = ConnectionPool(self._wheel, idle_for, config.most_backends) if kept is None else kept
        self.sender.backend = Backend(
            self.sender, table, self._pool, self._wheel, clock, settings.connect_timeout, config.fields
        )
        self.sender.backend.kept = kept
        self._notices = context.notices = Notices(
            config.discovery, self._wheel, self._wheel.pause, self.sender.confirmed
        )
        schedule = WatchSchedule(
            config.paid_news,
            settings.relays,
            settings.ask_within,
            config.seed,
            not len(table.roster),
            settings.drain_grace,
        )
        self._watch = Watch(
            config.discovery,
            self._wheel,
            schedule,
            config.zones,
            config.kinds,
            lambda: table.version,
            self.sender,
            config.most_list,
        )
        self._observer = switched.observer(config, self._loop)
        for part in (context, self.sender.backend, self._notices):
            part.observer = self._observer
        self._undeliverable = context.undeliverable = switched.store(config, self._journal, self._loop)
        if self._operations is not None:
            self._operations.count(context, self.sender)
        if self._shift is not None:
            self._shift.join(self.sender, facade, table, self._operations)
        self.sender.restore()
        if self._shift is not None:
            self._look()  # Danger: what is taken up from now on must not be restored once more
        if self._undeliverable is not None:
            self._undeliverable.start(self.sender.resend)
        self.spawn(self._notices.run())
        self.spawn(self._watch.run())
        self._tidy()
        if self._dormancy is not None:
            self.spawn(self._dormancy.run(self._wheel.pause, lambda: facade.awake()))
        self._clients = switched.clients(config, self._wheel, self._journal.clock.now, self.sender.overloaded)
        gate = None if self._clients is None else self._clients.gate
        try:
            self.frontend = Frontend(
                self.sender,
                self._listening(config),
                self._wheel,
                self.spawn,
                config.most_clients,
                config.usual_clients,
                config.most_held,
                gate,
            )
        except OSError as bad:
            raise ConfigError(f"{'listen' if config.accept_fd is None else 'RELAY_ACCEPT_FD'}: {bad}") from None
        if self._shift is not None:
            self._shift.share = self._share
            self._share(self._shift.beside)
            self._shift.taking()
        if self._operations is not None:
            try:
                self._operations.open(self.frontend, self._wheel, self.spawn)
            except OSError as bad:
                raise ConfigError(f"admin_addr: {bad}") from None
        self.node = switched.node(config, self._loop)  # of the fleet's processes; nothing here waits for it
        self._leaving: asyncio.Task | None = None
        began = self._ticks.expect()  # what came before was the start
        # Danger: where lists are pushed, what the agent has counts as told from a process's first moment. What is owed
        # would go to a server that has drained since the known list was written.
        self._blind_until = began if config.paid_news else began + FIRST_NEWS
        self.frontend.observer = self._observer
        if self._clients is not None:
            self.sender.intake.spread = lambda wait: gate.spread(self._wheel.now, wait)
            self._clients.watch(lambda: (len(self.frontend), len(self._pool)), self._parts)
        if self._observer is not None:
            self._observer.ready(self.frontend.port)
        self._tick()

    @staticmethod
    def _succeed(config: Config) -> Shift | None:
        """This process among those of its sender, where there may be several or a folder of such is found."""
        if config.accept_fd is None and not any(config.state.glob("lock.*")):
            return None
        if config.accept_fd is not None and switched_on("undeliverable") is not None:
            raise ConfigError("RELAY_ACCEPT_FD: undeliverable.json cannot be on where two processes share a folder")
        from .shift import Shift

        return Shift(config, asyncio.get_running_loop().time)

    @staticmethod
    def _listening(config: Config) -> list[socket.socket]:
        if config.accept_fd is not None:
            return [inherited(config.accept_fd)]
        return bind_sockets(config.listen[1], config.listen[0], family=socket.AF_INET, backlog=BACKLOG)

    def _look(self) -> None:
        self._wheel.after(SIBLING_EVERY, self._look)
        self._shift.look()

    def _share(self, beside: bool) -> None:
        """Another process of this sender has come or gone: descriptors and memory are for both together."""
        told = self._config
        self.frontend.hold_bytes_at_most(told.most_held // 2 if beside else told.most_held)
        if self._clients is None:  # else they are shared out by what is measured
            self.frontend.hold_at_most(told.usual_clients if beside else told.most_clients)
        self._pool.hold_at_most(max(told.settings.slots, told.sockets // 8) if beside else told.most_backends)

    def _operators(self, config: Config, facade: Facade, table: ServerTable) -> Operations | None:
        """What stands behind the operators' address, where the platform gives one."""
        if config.admin is None:
            return None
        from .operations import Operations

        return Operations(config, self._loop.time, self._journal.clock, facade, table)

    def _parts(self, parts: Parts) -> None:
        """What clients and backend servers may hold of the descriptors from now on."""
        self.frontend.hold_at_most(parts.clients)
        self._pool.hold_at_most(parts.servers)

    def _tidy(self) -> None:
        self._table.forget()
        if self._operations is not None:
            self._operations.tidy()
        self._wheel.after(TIDY_EVERY, self._tidy)

    def spawn(self, work: Coroutine) -> None:
        """Run a coroutine. Each gives back what it holds on its way out, so that a failure stays its own."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task failed", exc_info=task.exception())

    def _tick(self) -> None:
        """Once in each interval in which anything is to be done: timers, then decisions."""
        now = self._ticks.begin()
        blind = not self._watch.told and now < self._blind_until
        try:
            self._wheel.advance(now)
            if self._shift is not None:
                self._shift.beat()
            if not blind:
                self.sender.beat()
        except Exception as bad:
            # What the decisions hold is not to be trusted any more; the journal is, and a restart reads it.
            log.exception("a tick failed")
            self._failed = self._failed or bad
            self._stop.set()
        due = min(self._blind_until if blind else self._facade.next_due(), self._wheel.next_due())
        if self._shift is not None and (self._shift.beside or self._shift.taking_up()):
            due = now  # what the other one tells comes at any time
        if not self._ended:
            self._ticks.end(due)

    def reload(self) -> None:
        """SIGHUP: go on with what the configuration's file says now; also while stopping."""
        if self._ended:
            return
        old, self._config = self._config, reload(self._config)
        if self._operations is not None:
            self._operations.reloaded(self._config is not old)
        if self._config.discovery != old.discovery:
            self._watch.move(self._config.discovery)
            self._notices.move(self._config.discovery)

    # --- The end.

    def stop(self) -> None:
        """SIGTERM: finish what can be finished, leave the rest to the journal."""
        if self._stopping:
            return
        self._stopping = True
        log.info("stopping")
        self._leave_fleet()
        if self._operations is not None:
            self._operations.serving_mode.stop()
        if self._observer is not None:
            self._observer.stopping()
        if self._shift is not None:
            # Danger: the other one said its yes just now, and this process has not looked since.
            self._shift.look()
            self._relieved = self._shift.relieved()
            self._shift.leaving()
        self.sender.stop_unsafe(self._loop.time() + NO_UNSAFE_AFTER, self._relieved)
        if self._relieved:
            self._stop_accepting()  # what comes from now on is the other's, who reads the same socket
        else:
            self._wheel.after(ACCEPT_FOR, self._stop_accepting)
        # Danger: a request that was handed in right before the end would hear nothing, and nobody would know of it.
        self._wheel.after(LEAVE_AFTER - LAST_ANSWERS, self.frontend.end)
        self._wheel.after(LEAVE_AFTER, self._stop.set)

    def _leave_fleet(self) -> None:
        if self.node is not None and self._leaving is None:
            self._leaving = self._loop.create_task(self.node.close())

    def _stop_accepting(self) -> None:
        self.frontend.stop_accepting(shared=self._config.accept_fd is not None)
        self._leave_when_done()

    def _leave_when_done(self) -> None:
        # What waits; also what has come to wait again.
        more = self._relieved and self.sender.hand_over()
        # Danger: a request that has just come on an idle connection, and an answer that its client has not read yet.
        taking_up = self._shift is not None and self._shift.taking_up()
        if self.sender.finishing() or more or taking_up or len(self.frontend):
            self._wheel.after(HAND_OVER_EVERY if more else LOOK_EVERY, self._leave_when_done)
        else:
            self._stop.set()

    async def run(self) -> int:
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        # Danger: taken from the loop at the end, SIGHUP would for a moment have its default, which ends the process.
        signal.signal(signal.SIGHUP, lambda *_: self._loop.call_soon_threadsafe(self.reload))
        self._loop.add_signal_handler(signal.SIGINT, self._stop.set)
        log.info("%s listens on %s:%d", self._config.name, self._config.listen[0], self.frontend.port)
        await self._stop.wait()
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        log.info("the longest hold of the loop: %.1f ms", 1000 * self._ticks.longest_hold)
        # Danger: a tick after the journal is closed and its lock let go of. What it sent, the next one would send too.
        self._ended = True
        self._ticks.stop()
        self.sender.intake.deny_all()
        self.frontend.close()
        if self._operations is not None:
            self._operations.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)  # calls still put proofs on record
        self._leave_fleet()
        if self._leaving is not None:
            done, _ = await asyncio.wait([self._leaving], timeout=LEAVE_FLEET)
            if not done or self._leaving.exception() is not None:
                log.warning("the fleet was not left in time; the others find out by themselves")
        if self._undeliverable is not None:
            self._undeliverable.close()
        for part in (self._watch, self._notices, self._pool, self._shift or self._journal):
            part.close()
        for part in (self._dormancy, self._clients):
            if part is not None:
                part.close()
        if self._observer is not None:
            self._observer.close(len(self._journal.kept))
        if self._failed is not None:
            log.error("stopped by a failure: %r", self._failed)
            return 1
        return 0


def main() -> int:
    """Run one sender until it is told to stop."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    try:
        return asyncio.run(_run(load()))
    except LinkdockError as bad:
        print(f"linkdock: {exit_line(bad)}", file=sys.stderr)
        return 2


def leave(status: int) -> None:
    """End the process with this status at once; what lasts is on disk and closed by now.

    An interpreter first frees its memory object by object, which takes 0.05 to 0.2 s.
    """
    logging.shutdown()
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError):
            stream.flush()
    os._exit(status)


async def _run(config: Config) -> int:
    return await Process(config).run()
