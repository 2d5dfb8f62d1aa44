"""Who decides, by one lawful step after the other; and the file that switches it all on."""

from __future__ import annotations

import json
import random
import subprocess
import sys

import pytest

from linkdock.cluster import settings
from linkdock.cluster.interface import Config, Peer, Rumour, Standing, name_of
from linkdock.cluster.log.checks import change_fault
from linkdock.cluster.places import who_votes
from linkdock.options import FOLDER, OptionError, switched_on


def member(name, zone, standing=Standing.ALIVE, life=1):
    peer = Peer(f"{name}~{life}", zone, "r", "127.0.0.1", 1)
    return peer.id, Rumour(peer, standing, 0)


@pytest.mark.parametrize("seed", range(30))
def test_who_votes_comes_to_an_odd_number_over_the_zones_by_lawful_steps(seed):
    draw = random.Random(seed)
    wanted, zones = draw.choice([3, 5, 7]), draw.randrange(1, 5)
    view = dict(member(f"n{k}", f"z{draw.randrange(zones)}") for k in range(draw.randrange(1, 14)))
    me = min(view)
    config = Config((me,))
    lost = set()
    for _ in range(3):  # some fail, some come again without their folder; the rest must come to rest each time
        for step in range(60):
            caught_up = [peer_id for peer_id in config.learners if draw.random() < 0.6 or step > 40]
            new = who_votes(view, config, me, wanted, lost, caught_up)
            if new is None and set(caught_up) == set(config.learners):
                break
            if new is not None:
                assert change_fault(config, new) is None
                alive = [peer_id for peer_id in config.voters if view[peer_id].standing is Standing.ALIVE]
                assert 2 * len(alive) > len(config.voters) and me in new.voters
                config = new
        else:
            pytest.fail("it does not come to rest")
        alive = [peer_id for peer_id, rumour in view.items() if rumour.standing is Standing.ALIVE]
        enough = min(wanted, len(alive) - 1 + len(alive) % 2)
        assert len(config.voters) == max(enough, 1) and set(config.voters) <= set(alive)
        assert set(config.learners) == set(alive) - set(config.voters)
        held = [sum(view[v].peer.zone == zone for v in config.voters) for zone in {r.peer.zone for r in view.values()}]
        free = {view[peer_id].peer.zone for peer_id in config.learners}
        spread = {zone: sum(view[v].peer.zone == zone for v in config.voters) for zone in free}
        assert not free or max(held) - min(spread.values()) < 2
        others = [v for v in config.voters if v != me]
        for peer_id in others[: (len(config.voters) - 1) // 2]:
            if draw.random() < 0.7 and len(alive) - len(config.voters) >= wanted:
                view[peer_id] = Rumour(view[peer_id].peer, Standing.FAILED, 1)
                lost.add(peer_id)
                if draw.random() < 0.5:
                    view.update([member(name_of(peer_id), "z0", life=draw.randrange(2, 10**6))])


def test_who_votes_does_nothing_without_a_majority_nor_before_the_stated_time():
    view = dict([member("a", "z"), member("b", "z", Standing.FAILED), member("c", "z"), member("d", "z")])
    config = Config(("a~1", "b~1", "c~1"), ("d~1",))
    assert who_votes(view, config, "a~1", 3, (), ["d~1"]) is None
    assert who_votes(view, config, "a~1", 3, {"b~1"}, ["d~1"]) == Config(("a~1", "c~1"), ("d~1",))
    assert who_votes(view, config, "a~1", 3, {"b~1"}, ()) is None  # nobody to come for it
    view.update([member("c", "z", Standing.FAILED)])
    assert who_votes(view, config, "a~1", 3, {"b~1", "c~1"}, ["d~1"]) is None


@pytest.mark.parametrize(
    "text, named",
    [
        ('{"listen": "no port"}', "listen"),
        ('{"seeds": ["a:99999"]}', "seeds"),
        ('{"voters": 4}', "voters"),
        ('{"heartbeat_ms": 400}', "election_ms"),
        ('{"founders": ["a", "a"]}', "founders"),
        ('{"on": true}', "key_file"),
        ('{"key": "short"}', "key"),
        ('{"routes": {"a": ":1"}}', "routes"),
        ('{"seeds": ["1.2.3.256:1"]}', "seeds"),
        ('{"listen": "0.0.0.0:1"}', "advertise"),
        ('{"cap": 3}', "cap"),
        ("[", "cluster.json"),
    ],
)
def test_settings_that_cannot_be_right_are_named(text, named):
    with pytest.raises(OptionError) as bad:
        settings.read(text.encode())
    assert named in str(bad.value) and "cluster.json" in str(bad.value)


def test_the_shipped_file_is_off_and_lawful_and_its_schema_is_the_programs():
    assert switched_on("cluster", {}) is None
    settings.read((FOLDER / "cluster.json").read_bytes())
    assert json.loads((FOLDER / "schema" / "cluster.json").read_text()) == settings.schema()
    code = "import sys, linkdock.service.run; print([m for m in sys.modules if m.startswith('linkdock.cluster')])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout.strip() == "[]"
