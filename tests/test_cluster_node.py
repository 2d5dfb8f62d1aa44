"""Three nodes in one loop on loopback, with real files: leaders go, folders are lost, holders are stopped."""

from __future__ import annotations

import asyncio
import errno
import json
import random
import shutil
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest

from linkdock.cluster import links, settings
from linkdock.cluster.disk import Files, StorageFailed
from linkdock.cluster.errors import Fenced, NoQuorum
from linkdock.cluster.fence import Fence
from linkdock.cluster.interface import Config, Peer, Rumour, Standing, name_of
from linkdock.cluster.leases import Done, Held, Put, Taken, encode
from linkdock.cluster.log.checks import change_fault
from linkdock.cluster.node import Node, open_node
from linkdock.cluster.places import who_votes
from linkdock.cluster.wire import Answered
from linkdock.options import FOLDER, OptionError, switched_on

LIMIT = 10.0   # seconds within which each thing must have come about


async def until(true, what=""):
    end = time.monotonic() + LIMIT
    while not true():
        assert time.monotonic() < end, what or "it did not come about"
        await asyncio.sleep(0.005)


class Fleet:
    """Nodes n0, n1, ... that know each other by routes, so that one that comes again is found at its new port."""

    def __init__(self, folder):
        self.folder, self.nodes, self.routes = folder, {}, {}

    def start(self, *numbers, founders=3, **more):
        for n in numbers:
            state = self.folder / f"n{n}"
            state.mkdir(exist_ok=True)
            seeds = [f"127.0.0.1:{node.members.me.port}" for node in self.nodes.values()]
            text = json.dumps({"on": True, "key": "the key of this fleet", "zone": f"z{n}", "seeds": seeds,
                               "founders": [f"n{k}" for k in range(founders)], "heartbeat_ms": 30,
                               "election_ms": 300, "probe_ms": 100, "replace_s": 0.5, **more})
            node = open_node(text.encode(), SimpleNamespace(name=f"n{n}", state=state), asyncio.get_running_loop())
            self.nodes[n] = node
        return [self.nodes[n] for n in numbers]

    async def founded(self, count=3, **more):
        self.start(*range(count), **more)
        await until(lambda: all(len(node.engine.core.config.voters) == 3 for node in self.nodes.values()), "voters")
        return [self.nodes[n] for n in range(count)]

    @property
    def leader(self):
        return next((n for n, node in self.nodes.items() if node.engine.core.leading), None)

    async def kill(self, n):
        """Without a word to anybody."""
        node = self.nodes.pop(n)
        node._closing = True
        node.links.close()
        tasks = list(node._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await node.engine.close()

    async def close(self):
        await asyncio.gather(*(node.close() for node in self.nodes.values()))


def story(play):
    """A test whose story runs in a loop of its own; all is given back, and no task is left."""
    def run(tmp_path):
        async def whole():
            fleet = Fleet(tmp_path)
            try:
                await play(fleet)
            finally:
                await fleet.close()
            assert len(asyncio.all_tasks()) == 1
        asyncio.run(whole())
    run.__name__ = play.__name__
    return run


@story
async def test_the_leader_is_closed_and_the_next_one_goes_on_with_the_same_state(fleet):
    nodes, seen = await fleet.founded(), {}
    assert {name_of(voter) for voter in nodes[0].engine.core.config.voters} == {"n0", "n1", "n2"}
    for n, node in enumerate(nodes):
        node.watch(lambda index, command, answer, n=n: seen.setdefault(n, []).append(index))
        assert isinstance(await node.propose(Put(f"k{n}", b"v")), Done)
    held = await nodes[1].acquire("lease", 30.0)
    assert isinstance(held, Held) and await nodes[2].acquire("lease", 30.0) == Taken(nodes[1].id, held.token)
    gone, began = fleet.leader, time.monotonic()
    await fleet.nodes.pop(gone).close()
    left = list(fleet.nodes.values())
    assert isinstance(await left[0].propose(Put("after", b"v")), Done)
    assert time.monotonic() - began < 0.28   # by its word, not by a time-out
    await until(lambda: left[0].engine.state.image() == left[1].engine.state.image())
    assert set(left[0].engine.state.register) == {"k0", "k1", "k2", "after"}
    leader = fleet.nodes[fleet.leader]
    await until(lambda: leader.read().fresh)
    assert all(seen[n] == sorted(set(seen[n])) for n in seen)
    back, = fleet.start(gone)
    await until(lambda: back.engine.index >= leader.engine.index and back.read().age < 1)
    assert back.engine.state.image() == leader.engine.state.image()
    assert isinstance(await back.propose(Put("back", b"v")), Done)


@story
async def test_a_founder_whose_folder_is_lost_comes_back_as_another_and_founds_nothing(fleet):
    nodes = await fleet.founded()
    await nodes[0].propose(Put("k", b"v"))
    old = nodes[0].id
    await fleet.kill(0)
    shutil.rmtree(fleet.folder / "n0")
    new, = fleet.start(0)
    assert new.id != old and name_of(new.id) == "n0"
    await until(lambda: new.id in new.engine.core.config.voters and old not in new.engine.core.config.voters)
    await until(lambda: len(nodes[1].engine.core.config.voters) == 3)
    assert (await new.propose(Put("l", b"v"))).index > 2
    assert "k" in new.engine.state.register


@story
async def test_a_holder_that_was_stopped_is_refused_by_the_fence(fleet):
    nodes = await fleet.founded()
    n = next(n for n in fleet.nodes if n != fleet.leader)
    stopped, other = nodes[n], nodes[fleet.leader]
    kept = []
    fence = Fence(lambda: kept[-1] if kept else None, kept.append)
    held = await stopped.acquire("shard", 0.4)
    first = held.until
    fence.check("shard", held.token, stopped.id)
    await until(lambda: held.until > first and held.holds(stopped.clock()))   # it was renewed
    at = stopped.clock()
    stopped.holding._clock = lambda: at                                       # its time stands still from here on
    stopped.links.close()
    third = next(node for node in nodes if node not in (stopped, other))
    other.engine.core.hand_over(other.clock(), third.id)   # whoever leads then has to end it
    other.engine.wake()
    await until(lambda: third.engine.core.leading)
    await until(lambda: "shard" not in other.engine.state.leases)
    took = await other.acquire("shard", 0.4)
    assert not held.holds(other.clock()) and took.token > held.token          # by true time they do not overlap
    assert held.holds(stopped.holding._clock())                               # it believes it all the same
    fence.check("shard", took.token, other.id)
    with pytest.raises(Fenced):
        fence.check("shard", held.token, stopped.id)
    assert await other.release(took) and "shard" not in other.engine.state.leases


@story
async def test_without_a_quorum_there_is_no_answer_in_time_and_what_was_in_doubt_is_done_once(fleet):
    nodes = await fleet.founded()
    leader, last = fleet.leader, None
    for n in [n for n in fleet.nodes if n != leader]:
        await fleet.kill(n)
    began = time.monotonic()
    with pytest.raises(NoQuorum):
        await nodes[leader].propose(Put("doubt", b"v"), 0.5)
    assert 0.5 <= time.monotonic() - began < 0.7
    await until(lambda: not nodes[leader].read().fresh)
    waiting = [asyncio.ensure_future(nodes[leader].acquire(f"l{n}", 20.0, LIMIT)) for n in range(40)]
    await until(lambda: nodes[leader].engine.core.leading is False)
    fleet.start(*(n for n in range(3) if n != leader))
    held = await asyncio.gather(*waiting)
    assert all(isinstance(one, Held) for one in held)
    last = await nodes[leader].propose(Put("last", b"v"))
    assert len(nodes[leader].engine.state.leases) == 40 and last.index > max(one.token for one in held)


@story
async def test_a_lost_answer_does_not_grant_a_second_time(fleet):
    nodes = await fleet.founded()
    asker = next(node for node in nodes if not node.engine.core.leading)
    leader = nodes[fleet.leader]
    send, lost = leader.links.send, []

    def losing(to, message):
        if isinstance(message, Answered) and len(lost) < 1:
            lost.append(message)   # instead of it comes one to an earlier run of the same process
            send(to, Answered(asker.id + "#earlier", message.number, encode(Taken("x", 1))))
        else:
            send(to, message)
    leader.links.send = leader.engine._send = leader._proposals._send = losing
    asker.engine.applied = lambda asked, answer: None   # nor does it learn it from the entry
    held = await asker.acquire("a", 20.0, LIMIT)
    assert len(lost) == 1 and leader.engine.state.leases["a"].token == held.token
    assert leader.engine.state.leases["a"].renewed == held.token < leader.engine.index


class Breaking(Files):
    """A disk that is full, or slow, from a moment on."""

    full, pause = False, 0.0

    def sync(self, file):
        time.sleep(self.pause)
        if self.full:
            raise OSError(errno.ENOSPC, "no room")
        super().sync(file)


@story
async def test_a_disk_that_fails_ends_the_part_of_its_process_alone_and_is_said_once(fleet):
    nodes = await fleet.founded()
    leader = fleet.nodes.pop(fleet.leader)
    storage = leader.engine.storage
    storage._files = Breaking()
    storage._files.full = True
    with pytest.raises(StorageFailed):
        await leader.propose(Put("k", b"v"), LIMIT)
    assert isinstance(leader.failed, StorageFailed) and not leader.read().fresh
    with pytest.raises(StorageFailed):
        await leader.acquire("a", 1.0)
    others = [node for node in nodes if node is not leader]
    assert isinstance(await others[0].propose(Put("k", b"v"), LIMIT), Done)
    await leader.close()


@story
async def test_what_a_follower_could_not_write_it_has_not_promised(fleet):
    nodes = await fleet.founded()
    leader = fleet.nodes[fleet.leader]
    others = [node for node in nodes if node is not leader]
    for node in others:
        node.engine.storage._files = Breaking()
        node.engine.storage._files.full = True
    with pytest.raises(NoQuorum):
        await leader.propose(Put("k", b"v"), 0.5)
    assert all(node.failed for node in others) and "k" not in leader.engine.state.register


@story
async def test_a_slow_disk_does_not_hold_the_loop(fleet):
    nodes = await fleet.founded(election_ms=2000)
    for node in nodes:
        node.engine.storage._files = Breaking()
        node.engine.storage._files.pause = 0.04
    longest, over = 0.0, False

    async def look():
        nonlocal longest
        while not over:
            began = time.monotonic()
            await asyncio.sleep(0.002)
            longest = max(longest, time.monotonic() - began)
    looking = asyncio.ensure_future(look())
    await asyncio.gather(*(nodes[n % 3].propose(Put(f"k{n}", bytes(10000)), LIMIT) for n in range(30)))
    over = True
    await looking
    assert longest < 0.04   # one write takes as long


@story
async def test_the_log_is_cut_by_images_and_one_who_comes_late_is_sent_one(fleet):
    nodes = await fleet.founded()
    for node in nodes:
        node.engine.storage._most = 400_000
    for n in range(120):
        assert isinstance(await nodes[n % 3].propose(Put(f"k{n % 7}", bytes([n]) * 9000), LIMIT), Done)
        assert max(node.engine.storage.used for node in nodes) <= 400_000
    assert all(node.engine.core.image.index > 20 for node in nodes)
    late, = fleet.start(3)
    leader = nodes[fleet.leader]
    await until(lambda: late.engine.index == leader.engine.index > 100)
    assert late.engine.state.image() == leader.engine.state.image()
    await fleet.kill(3)
    late, = fleet.start(3)   # from its own folder
    assert late.engine.core.image.index > 20
    assert isinstance(await late.propose(Put("k", b"v"), LIMIT), Done)


@story
async def test_strangers_and_silent_connections_are_closed_and_counted(fleet):
    node, = fleet.start(0, founders=1)
    port = node.members.me.port
    for said in (b"GET / HTTP/1.1\r\n\r\n", (500).to_bytes(4, "big") + bytes(500), bytes(4)):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(said)
        assert await asyncio.wait_for(reader.read(), 0.5) == b""
        writer.close()
    assert node.links.count["foreign"] == 3
    silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(links.MOST_STRANGERS + 5)]
    await until(lambda: len(node.links._accepted) == links.MOST_STRANGERS)
    assert await asyncio.wait_for(silent[0][0].read(), 1) == b""      # the oldest made room
    assert await asyncio.wait_for(silent[-1][0].read(), 3) == b""     # in time all are found to say nothing
    for _, writer in silent:
        writer.close()
    assert isinstance(await node.propose(Put("k", b"v")), Done)


@story
async def test_one_that_finds_its_folder_in_use_takes_part_once_it_is_free(fleet):
    first, = fleet.start(0, founders=1)
    await until(lambda: first.engine.core.leading)
    second = Node(first.settings, "n0", fleet.folder / "n0" / "cluster", asyncio.get_running_loop())
    second.start()
    assert second.engine is None and second.failed is None
    with pytest.raises(NoQuorum):
        await second.propose(Put("k", b"v"))
    assert second.stats()["id"] == "" and second.read().age == float("inf")
    await first.close()
    fleet.nodes[0] = second
    await until(lambda: second.engine is not None and second.engine.core.leading)
    assert second.id == first.id


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
    for _ in range(3):   # some fail, some come again without their folder; the rest must come to rest each time
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
        for peer_id in others[:(len(config.voters) - 1) // 2]:
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
    assert who_votes(view, config, "a~1", 3, {"b~1"}, ()) is None   # nobody to come for it
    view.update([member("c", "z", Standing.FAILED)])
    assert who_votes(view, config, "a~1", 3, {"b~1", "c~1"}, ["d~1"]) is None


@pytest.mark.parametrize("text, named", [
    ('{"listen": "no port"}', "listen"), ('{"seeds": ["a:99999"]}', "seeds"), ('{"voters": 4}', "voters"),
    ('{"heartbeat_ms": 400}', "election_ms"), ('{"founders": ["a", "a"]}', "founders"), ('{"on": true}', "key_file"),
    ('{"key": "short"}', "key"), ('{"routes": {"a": ":1"}}', "routes"),
    ('{"seeds": ["1.2.3.256:1"]}', "seeds"), ('{"listen": "0.0.0.0:1"}', "advertise"),
    ('{"cap": 3}', "cap"), ("[", "cluster.json")])
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
