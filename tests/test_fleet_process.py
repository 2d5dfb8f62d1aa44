"""The sender with its node among the fleet's processes: delivery waits for none of it, and the end gives all back."""

import json
import sys
import time

from peers import PATIENCE, ROOT, Backend

from linkdock.lab.processes.play import free_ports

KEY = "a key of sixteen characters"


def test_a_node_without_a_quorum_takes_nothing_from_delivery_and_leaves_with_the_sender(start):
    """Its founders are three, and the other two never come: nothing can be agreed on, everything is delivered."""
    server = Backend("s1")
    own, nobodys = free_ports(2)  # the system gives neither to another program
    told = {
        "on": True,
        "key": KEY,
        "listen": f"127.0.0.1:{own}",
        "founders": ["n0", "n1", "n2"],
        "seeds": [f"127.0.0.1:{nobodys}"],
        "zone": "a",
    }
    program = start([server], deploy={"cluster": told})
    client = program.client()
    for n in range(3):
        assert client.enqueue(f"aa0{n}") == "+OK"
        line, call = server.take()
        assert call[1]["x-trace-id"] == f"aa0{n}"
        line.answer(200, Connection="close")
        line.close()
    began = time.monotonic()
    program.terminate()
    assert program.wait() == 0
    assert time.monotonic() - began < PATIENCE
    assert (program.state / "cluster").is_dir()


def test_a_cluster_file_that_cannot_be_right_ends_the_start_with_one_line(start, tmp_path):
    import os
    import subprocess

    program = start([Backend("s1")])
    program.kill()
    (program.deploy / "cluster.json").write_text(json.dumps({"on": True, "key": "short"}))
    env = {
        **os.environ,
        "RELAY_CONFIG": str(program.config),
        "RELAY_STATE": str(program.state),
        "LINKDOCK_DEPLOY": str(program.deploy),
    }
    done = subprocess.run(
        [sys.executable, "-m", "linkdock"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=PATIENCE
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    assert "cluster.json: key must have at least 16 characters (LD-OPTION" in done.stderr
