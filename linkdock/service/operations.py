"""What operators' calls do: the desk behind their address. Imported only where the platform gives one."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..facade import Facade
from ..protocol.admin import Admin, RefusalError
from ..protocol.exposition import render
from ..protocol.frontend import Frontend
from ..sender.context import SenderContext
from ..sender.sender import Sender
from ..state.figures import Figures
from ..state.rotation import Rotation, TooManyError
from ..state.serving_mode import ServingMode
from ..state.table import ServerTable
from ..state.wheel import Wheel

if TYPE_CHECKING:
    from ..state.steady_clock import SteadyClock
    from .config import Config

log = logging.getLogger(__name__)

FILE = "rotation"  # in RELAY_STATE


class Operations:
    """Owner of the operators' address, and of what they see and set."""

    def __init__(
        self,
        config: Config,
        clock: Callable[[], float],
        steady: SteadyClock,
        facade: Facade,
        table: ServerTable,
    ) -> None:
        """`clock` is the loop's, `steady` that of what is kept over the end of a process."""
        self._config, self._clock, self._facade, self._table = config, clock, facade, table
        self._steady = steady
        self.figures, self.serving_mode = Figures(config.class_names), ServingMode()
        self.rotation = Rotation(config.state / FILE, steady.now)
        table.out = self.rotation
        self._sender: Sender
        self._frontend: Frontend
        self._admin: Admin | None = None
        if len(self.rotation):
            log.info("out by hand from before: %s", ", ".join(self.rotation))

    def count(self, context: SenderContext, sender: Sender) -> None:
        """Counts begin here, before what an earlier life left is taken up."""
        self._sender = sender
        context.figures = sender.backend.figures = self.figures
        sender.intake.serving_mode = self.serving_mode

    def open(self, frontend: Frontend, wheel: Wheel, spawn: Callable) -> None:
        """Clients are taken from now on, and operators are answered. Raises OSError."""
        self._frontend = frontend
        frontend.serving_mode = self.serving_mode
        self._admin = Admin(self, self._config.admin, wheel, spawn)
        log.info("operators are answered on %s:%d", self._config.admin[0], self._admin.port)

    def tidy(self) -> None:
        self.rotation.forget(self._listed)

    def heard(self) -> None:
        """The other process of an upgrade may have taken endpoints out, or put them back."""
        before = {name: self.rotation.since(name) for name in self.rotation}
        self.rotation.read()
        for name in self.rotation:
            if name not in before:
                log.info("%s is out by hand, as another process was told", name)
                self._sender.by_hand(name)
        for name, since in before.items():
            if name not in self.rotation:
                log.info("%s is back from being out by hand, as another process was told", name)
                self._sender.by_hand(name, self._clock() - max(0.0, self._steady.now() - since))

    def reloaded(self, taken: bool) -> None:
        if taken:
            self.figures.accepted += 1
        else:
            self.figures.invalid += 1

    def _listed(self, name: str) -> bool:
        return self._table.roster.health(name) != "gone"

    # --- The calls.

    def status(self) -> str:
        if not self.serving_mode.taking:
            raise RefusalError(self.serving_mode.state)
        return self.serving_mode.state

    def stats(self) -> list[str]:
        avoided = {name for name in (*self.rotation, *self._facade.stopped()) if self._listed(name)}
        return render(
            self.figures,
            open_requests=self._sender.open(),
            registry_entries=len(self._table.roster),
            out_of_rotation=len(avoided),
        )

    def maint_on(self, name: str) -> str:
        if not self._listed(name) and name not in self.rotation:
            raise RefusalError(f"no endpoint {name} is listed")
        try:
            if not self.rotation.take_out(name):
                return f"{name} was out already"
        except (OSError, TooManyError) as bad:
            raise RefusalError(f"{name} stays as it is: {bad}") from None
        log.info("%s is out by hand", name)
        self._sender.by_hand(name)
        return f"{name} gets nothing more"

    def maint_off(self, name: str) -> str:
        try:
            since = self.rotation.put_back(name)
        except OSError as bad:
            raise RefusalError(f"{name} stays out: {bad}") from None
        if since is None:
            if not self._listed(name):
                raise RefusalError(f"no endpoint {name} is listed")
            return f"{name} was not out"
        log.info("%s is back from being out by hand", name)
        self._sender.by_hand(name, self._clock() - max(0.0, self._steady.now() - since))
        return f"{name} may serve again"

    def standby(self) -> str:
        if self.serving_mode.standby(self._clock()):
            log.info("standby: clients are sent away")
            self._frontend.empty()
        return "clients are sent away"

    def active(self) -> str:
        if not self.serving_mode.active():
            raise RefusalError(self.serving_mode.state)
        log.info("active: clients are taken")
        return self.serving_mode.state

    def close(self) -> None:
        if self._admin is not None:
            self._admin.close()
