"""Races of a hand-over: signals, deaths and full disks between the steps of an upgrade; what operators tell both."""

import time
from types import SimpleNamespace

import pytest

from linkdock.protocol.admin import Refusal
from linkdock.service.operations import Operations
from linkdock.state import rotation as rotations
from linkdock.state.rotation import Rotation

# --- What operators tell both.


def test_two_that_change_the_list_at_once_lose_no_yes(tmp_path, monkeypatch):
    one, other = (Rotation(tmp_path / "rotation", time.time) for _ in range(2))
    desk = Operations.__new__(Operations)
    desk.rotation, desk._listed, desk._clock = other, lambda name: True, time.monotonic
    desk._sender = SimpleNamespace(by_hand=lambda name, since=None: None)
    replace, said = rotations.os.replace, []

    def between(beside, path):   # the other process is called right before the first one's file is in its place
        monkeypatch.undo()
        monkeypatch.setattr(rotations.os, "getpid", lambda: 1)
        try:
            said.append(desk.maint_on("s2"))
        except Refusal as why:
            said.append(why)
        replace(beside, path)
    monkeypatch.setattr(rotations.os, "replace", between)
    assert one.take_out("s1")
    for told in (one, other):
        told.read()
    # Whoever heard a yes is right, and who heard a no may call again.
    assert set(one) == set(other) == {"s1"} and all(isinstance(no, Refusal) and "stays" in str(no) for no in said)
    assert other.take_out("s2") and set(Rotation(tmp_path / "rotation", time.time)) == {"s1", "s2"}


@pytest.mark.parametrize("told", ['{"version": 1, "out": {"s1": 1%s}}' % ("0" * 400), '{"version": 1, "out": [1]}',
                                  "[" * 60_000, "", '{"version": 2}', "\0" * 200],
                         ids=["huge", "no times", "deep", "empty", "another version", "zeros"])
def test_a_list_of_what_is_out_that_cannot_be_read_costs_one_line(tmp_path, caplog, told):
    (tmp_path / "rotation").write_text(told)
    out = Rotation(tmp_path / "rotation", time.time)
    for _ in range(3):   # while two processes live each looks 20 times a second
        out.read()
    assert not len(out) and caplog.text.count("not known") == 1
    assert out.take_out("s1") and "s1" in Rotation(tmp_path / "rotation", time.time)
