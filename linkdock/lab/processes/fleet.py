"""Real processes of the program: started, watched and ended by their own ids, each with a folder that outlasts it."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path

from .. import rig
from .history import History

START, END = 30.0, 8.0  # seconds for a start, and for an end that was asked for
MOST_LINE = 4 << 20
ROOT = Path(__file__).parent.parent.parent.parent
_LIBC = ctypes.CDLL(None, use_errno=True) if sys.platform == "linux" else None
PR_SET_PDEATHSIG = 1


def _die_with_parent() -> None:
    """Danger: a harness that is killed itself would leave its children behind."""
    if _LIBC is not None:
        _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child(rig.Sender):
    """One process, and the lives that it has one after another. `port` and `operators` are those of the last one."""

    module = "linkdock"

    def __init__(
        self, name: str, agent: rig.Agent, told: dict, deploy: dict[str, dict] | None = None, root: str | None = None
    ) -> None:
        """`root` names the tree of another version of the program."""
        super().__init__(agent, deploy or {}, {}, told, root)
        self.name, self.lives, self.process = name, 0, None
        self.extra: dict[str, str] = {}  # of the environment of the next life
        self.inherited: tuple[int, ...] = ()  # descriptors that each life inherits
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
        env = {
            **os.environ,
            "RELAY_CONFIG": str(self.path / "config.json"),
            "RELAY_STATE": str(self.path / "state"),
            "LINKDOCK_DEPLOY": str(self.path / "deploy"),
            **self.extra,
        }
        if self.lives > 1:
            self.log.close()
            (self.path / "log").rename(self.path / "log.before")
        self.log = open(self.path / "log", "wb")
        # Danger: Ctrl-C on a terminal goes to the whole group, and children would end before they are told to.
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            env=env,
            stderr=self.log,
            cwd=self._root,
            start_new_session=True,
            preexec_fn=_die_with_parent,
            pass_fds=self.inherited,
            **pipes,
        )

    def run_from(self, root: str | None) -> None:
        """Run the next life from another tree of the program; None names this one."""
        self._root = Path(root) if root else ROOT

    def signal(self, number: int) -> None:
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
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
        self.signal(signal.SIGTERM)
        return await self.ended()

    def close(self) -> None:
        """Give everything back, whatever happened before."""
        self.signal(signal.SIGKILL)
        if self.lives:
            self.log.close()
        super().close()


class Led(Child):
    """A process under the harness's orders: JSON lines in, answers and what happens as JSON lines out."""

    module = "linkdock.lab.processes.child"

    def __init__(self, name: str, zone: str, history: History, *told: object, **more: object) -> None:
        super().__init__(name, *told, **more)
        self.zone, self.history, self.id = zone, history, ""
        self.turn = asyncio.Lock()  # of who starts and ends it
        self.expected = True  # that it ends
        self._answers: dict[int, asyncio.Future] = {}
        self._number, self._reader = 0, None

    async def start(self, port: int = 0) -> None:
        fresh = not any((self.path / "state").iterdir())
        await self.begin(stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=MOST_LINE)
        self.expected = False
        self.history.append(self.name, "begins", life=self.lives, fresh=fresh, pid=self.process.pid)
        self._reader = asyncio.create_task(self._read(self.process))
        self.port = int((await self.logged("listens on ", START)).rsplit(":", 1)[1])

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        with contextlib.suppress(ValueError, ConnectionError):  # a line beyond all bounds
            while line := await process.stdout.readline():
                self._heard(line)
        status = await process.wait()
        self.history.append(self.name, "ended", status=status, expected=self.expected)
        for answer in self._answers.values():
            if not answer.done():
                answer.set_result({"error": "ended", "text": f"{self.name} has ended"})

    def _heard(self, line: bytes) -> None:
        try:
            told = json.loads(line)
        except ValueError:  # torn by the end of the process
            return
        answer = self._answers.pop(told.get("re"), None)
        if answer is not None and not answer.done():
            answer.set_result(told)
        elif "event" in told:
            for key in ("since", "until"):  # the clock is the machine's, one for all processes
                if key in told:
                    told[key] = round(told[key] - self.history.began, 6)
            self.id = told["id"] if told["event"] == "node" else self.id
            self.history.append(self.name, told.pop("event"), **told)

    async def ask(self, order: str, patience: float, **told: object) -> dict:
        """The answer of the process; {"error": ...} if it is not there or does not answer in time."""
        if not self.alive or self.process.stdin.is_closing():
            return {"error": "ended", "text": f"{self.name} does not run"}
        self._number += 1
        number, answer = self._number, asyncio.get_running_loop().create_future()
        self._answers[number] = answer
        try:
            self.process.stdin.write(json.dumps({"id": number, "do": order, **told}).encode() + b"\n")
            return await asyncio.wait_for(answer, patience)
        except (TimeoutError, ConnectionError):
            return {"error": "silent", "text": f"{self.name} did not answer within {patience:g} s"}
        finally:
            self._answers.pop(number, None)

    async def kill(self) -> None:
        self.expected = True
        self.signal(signal.SIGKILL)
        await self.ended()
        await self._drained()

    async def stop(self) -> int | None:
        if self.process is None:
            return None
        self.expected = True
        self.signal(signal.SIGCONT)
        status = await super().stop()
        await self._drained()
        return status

    async def _drained(self) -> None:
        """Danger: what it said before its end must stand in the history before what comes after."""
        if self._reader is not None:
            await asyncio.wait([self._reader], timeout=END)

    def lose_folder(self) -> None:
        shutil.rmtree(self.path / "state")
        (self.path / "state").mkdir()

    def fill_disk(self, full: bool) -> None:
        """Writes to files fail from now on, or no more. For this life alone."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(
                    self.process.pid,
                    resource.RLIMIT_FSIZE,
                    (0 if full else resource.RLIM_INFINITY, resource.RLIM_INFINITY),
                )

    def close(self) -> None:
        if self._reader is not None:
            self._reader.cancel()
        super().close()


def older(revision: str, folder: Path) -> str:
    """The tree of another revision of the program, for a Child's `root`. Raises RuntimeError if git has none."""
    folder.mkdir()
    with tempfile.TemporaryFile() as file:
        done = subprocess.run(["git", "archive", revision], cwd=ROOT, stdout=file, stderr=subprocess.PIPE, timeout=60)
        if done.returncode:
            raise RuntimeError(f"git archive {revision}: {done.stderr.decode(errors='replace').strip()}")
        file.seek(0)
        with tarfile.open(fileobj=file) as tree:
            tree.extractall(folder, filter="data")
    return str(folder)
