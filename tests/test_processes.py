"""Real processes of the program on loopback: the show of `make run`, and a few stories; the rest is by command line."""

import asyncio
import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import pytest

from linkdock.lab.processes import stories
from linkdock.lab.processes.fleet import Child, older
from linkdock.lab.processes.history import History
from linkdock.lab.processes.play import Fleet
from linkdock.lab.rig import Agent, settings

ROOT = pathlib.Path(__file__).parent.parent
QUICK = {"election_ms": 400, "heartbeat_ms": 80, "probe_ms": 300, "stop_s": 0.2}
pytestmark = pytest.mark.xdist_group("processes")


def here(pid):
    return pathlib.Path(f"/proc/{pid}").exists()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_the_show_says_what_to_try_and_leaves_nothing_behind(tmp_path, number):
    env = {key: value for key, value in os.environ.items() if not key.startswith(("RELAY_", "LINKDOCK_"))}
    show = subprocess.Popen(
        [sys.executable, "-m", "linkdock.lab.processes"],
        cwd=ROOT,
        text=True,
        env={**env, "TMPDIR": str(tmp_path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    try:
        said = ""
        for line in show.stdout:
            said += line
            if "Ctrl-C" in line:
                break
        pids = [int(pid) for pid in re.findall(r"pid (\d+)", said)]
        tries = re.findall(r"^  \S+ (-m linkdock\S* (?:ask|tell) .*?)(?: {3,}.*)?$", said, re.M)
        heard = [
            subprocess.run(
                [sys.executable, *words.split()], cwd=ROOT, capture_output=True, text=True, timeout=10
            ).stdout
            for words in tries
        ]
        assert [text.split()[0] for text in heard] == [
            "+PONG",
            "+OK",
            'edge_relay_operations{priority="preview",' 'status="fulfilled"}',
            "+OK",
        ]
        assert len(pids) == 3 and len(list(tmp_path.iterdir())) == 3
        os.kill(pids[1], signal.SIGKILL)  # one that dies by itself is said, and ends nothing else
        for line in show.stdout:
            said += line
            if "n2 has ended by itself, status -9" in line:
                break
        assert "message hello-1 has arrived: b'Good-day'" in said
        show.send_signal(number)
        rest = show.communicate(timeout=15)[0]
        assert show.returncode == 0, rest
        assert re.search(r"taken: n1 \d+, n2 \d+ \(ended\), n3 \d+; delivered \d+", rest) and "Traceback" not in rest
        assert not any(here(pid) for pid in pids)
        assert not list(tmp_path.iterdir())
    finally:
        if show.poll() is None:
            show.kill()
        show.stdout.close()


@pytest.mark.parametrize("story", ["all-killed", "stopped", "folder-lost", "doubt"])
def test_a_story_goes_as_it_must_and_its_history_is_right(story):
    one = stories.play(story, 1, 3, told=QUICK)
    assert one.found == [] and one.events > 50


def test_a_fleet_whose_harness_fails_or_is_killed_leaves_no_process(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr("tempfile.tempdir", None)
    history = History()

    async def fail():
        async with Fleet(history, 3, told=QUICK) as fleet:
            fleet.processes["a1"].signal(signal.SIGSTOP)  # the worst case to be ended
            raise KeyError("of the harness")

    with pytest.raises(KeyError):
        asyncio.run(fail())
    pids = [one["pid"] for one in history.events if one["event"] == "begins"]
    assert len(pids) == 3 and not any(here(pid) for pid in pids) and not list(tmp_path.iterdir())

    text = (
        "import asyncio, sys\nfrom linkdock.lab.processes.history import History\n"
        "from linkdock.lab.processes.play import Fleet\n"
        "async def run():\n    async with Fleet(History(), 3) as fleet:\n"
        "        print(*(one.process.pid for one in fleet.processes.values()), flush=True)\n"
        "        await asyncio.sleep(60)\nasyncio.run(run())"
    )
    harness = subprocess.Popen([sys.executable, "-c", text], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        pids = harness.stdout.readline().split()
        assert len(pids) == 3 and all(here(pid) for pid in pids)
    finally:
        harness.kill()
        harness.communicate()
    for _ in range(500):
        if not any(here(pid) for pid in pids):
            break
        time.sleep(0.01)
    assert not any(here(pid) for pid in pids)


def test_another_revision_of_the_program_is_started_from_its_own_tree(tmp_path):
    if subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True).returncode:
        pytest.skip("no git here")
    with pytest.raises(RuntimeError, match="git archive no-such-revision"):
        older("no-such-revision", tmp_path / "none")
    tree = older("HEAD", tmp_path / "tree")
    source = tmp_path / "tree" / "linkdock" / "service" / "run.py"
    source.write_text(source.read_text().replace('"%s listens on', '"%s of another tree listens on'))

    async def run():
        agent = Agent()
        await agent.start()
        child = Child("n1", agent, settings(4, 20), root=tree)
        try:
            await child.start()
            assert "n1 of another tree listens on" in child.text()
            assert await child.stop() == 0
        finally:
            child.close()
            agent.close()

    asyncio.run(run())
