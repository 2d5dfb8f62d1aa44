"""Real processes of the program on loopback: the show of `make run`."""

import os
import pathlib
import re
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
pytestmark = pytest.mark.xdist_group("processes")


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_the_show_says_what_to_try_and_leaves_nothing_behind(tmp_path, number):
    env = {key: value for key, value in os.environ.items() if not key.startswith(("RELAY_", "LINKDOCK_"))}
    show = subprocess.Popen([sys.executable, "-m", "linkdock.lab.processes"], cwd=ROOT, text=True,
                            env={**env, "TMPDIR": str(tmp_path)}, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
    try:
        said = ""
        for line in show.stdout:
            said += line
            if "Ctrl-C" in line:
                break
        pids = [int(pid) for pid in re.findall(r"pid (\d+)", said)]
        tries = re.findall(r"^  \S+ (-m linkdock\S* (?:ask|tell) .*?)(?: {3,}.*)?$", said, re.M)
        heard = [subprocess.run([sys.executable, *words.split()], cwd=ROOT, capture_output=True, text=True,
                                timeout=10).stdout for words in tries]
        assert [text.split()[0] for text in heard] == ["+PONG", "+OK", "edge_relay_operations{priority=\"preview\","
                                                       "status=\"fulfilled\"}", "+OK"]
        assert len(pids) == 3 and len(list(tmp_path.iterdir())) == 3
        os.kill(pids[1], signal.SIGKILL)   # one that dies by itself is said, and ends nothing else
        for line in show.stdout:
            said += line
            if "n2 has ended by itself, status -9" in line:
                break
        assert "message hello-1 has arrived: b'Good-day'" in said
        show.send_signal(number)
        rest = show.communicate(timeout=15)[0]
        assert show.returncode == 0, rest
        assert re.search(r"taken: n1 \d+, n2 \d+ \(ended\), n3 \d+; delivered \d+", rest) and "Traceback" not in rest
        assert not any(pathlib.Path(f"/proc/{pid}").exists() for pid in pids)
        assert not list(tmp_path.iterdir())
    finally:
        if show.poll() is None:
            show.kill()
        show.stdout.close()
