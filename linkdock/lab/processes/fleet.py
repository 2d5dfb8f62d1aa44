"""Real processes of the program: started, watched and ended by their own ids, each with a folder that outlasts it."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import sys

from .. import rig

START, END = 30.0, 8.0   # seconds for a start, and for an end that was asked for
_LIBC = ctypes.CDLL(None, use_errno=True) if sys.platform == "linux" else None
PR_SET_PDEATHSIG = 1


def _die_with_parent() -> None:
    """Danger: a harness that is killed itself would leave its children behind."""
    if _LIBC is not None:
        _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child(rig.Sender):
    """One process, and the lives that it has one after another. `port` and `operators` are those of the last one."""

    module = "linkdock"

    def __init__(self, name: str, agent: rig.Agent, told: dict, deploy: dict[str, dict] | None = None,
                 root: str | None = None) -> None:
        """`root` names the tree of another version of the program."""
        super().__init__(agent, deploy or {}, {}, told, root)
        self.name, self.lives, self.process = name, 0, None
        self.extra: dict[str, str] = {}   # of the environment of the next life
        config = json.loads((self.path / "config.json").read_text())
        config |= {"name": name, "admin_addr": "127.0.0.1:0"}
        (self.path / "config.json").write_text(json.dumps(config))

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self, port: int = 0) -> None:
        """Begin a life and wait until it serves. Raises RuntimeError with the log's end if it does not."""
        await self.begin()
        self.port = int((await self.logged("listens on ", START)).rsplit(":", 1)[1])
        self.operators = int((await self.logged("operators are answered on ", START)).rsplit(":", 1)[1])

    async def begin(self, **pipes: int) -> None:
        if self.alive:
            raise RuntimeError(f"{self.name} runs already")
        self.lives += 1
        env = {**os.environ, "RELAY_CONFIG": str(self.path / "config.json"), "RELAY_STATE": str(self.path / "state"),
               "LINKDOCK_DEPLOY": str(self.path / "deploy"), **self.extra}
        if self.lives > 1:
            self.log.close()
        self.log = open(self.path / "log", "wb")
        # Danger: Ctrl-C on a terminal goes to the whole group, and children would end before they are told to.
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", self.module, env=env, stderr=self.log, cwd=self._root, start_new_session=True,
            preexec_fn=_die_with_parent, **pipes)

    def signal(self, number: int) -> None:
        if self.alive:
            self.process.send_signal(number)

    async def ended(self, patience: float = END) -> int:
        """Wait for the end of this life; one that does not come is made. Its status."""
        try:
            return await asyncio.wait_for(self.process.wait(), patience)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await asyncio.wait_for(self.process.wait(), patience)

    async def stop(self) -> int | None:
        """As the platform does: SIGTERM, and SIGKILL if that does not end it. Its status; None if it never lived."""
        if self.process is None:
            return None
        with contextlib.suppress(ProcessLookupError):
            self.signal(signal.SIGTERM)
        return await self.ended()

    def close(self) -> None:
        """Give everything back, whatever happened before."""
        with contextlib.suppress(ProcessLookupError):
            self.signal(signal.SIGKILL)
        if self.lives:
            self.log.close()
        super().close()
