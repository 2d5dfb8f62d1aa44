"""The manager of connections under its bounds: descriptors, shares, those away, restarts, any order of events."""

import random
from types import SimpleNamespace

import pytest
from handshakes import Wire

from linkdock.connections import demand
from linkdock.connections.manager import ROUND
from linkdock.facade import Server
from linkdock.service import switched
from linkdock.state.table import ServerTable
from linkdock.state.wheel import Wheel


def test_with_descriptors_at_their_limit_a_surge_leaves_the_others_their_fair_part():
    wire = Wire(most=10, ahead=0, handshakes=10)
    large = [wire.ask("large") for _ in range(40)]
    wire.to(0.2)
    assert len(wire.used) == 10 and len(wire.manager) == 10
    small = wire.ask("small")
    wire.to(0.3)
    assert wire.given(small) is None
    for use in list(wire.used)[:2]:
        wire.done(use.connection)
    wire.to(0.5)
    assert wire.given(small) and len(wire.manager) == 10
    assert sum(wire.given(t) is not None for t in large) >= 11
    assert wire.manager.peak == 10


def test_room_is_made_by_the_server_with_the_most_beyond_its_target():
    wire = Wire(most=6, ahead=0, handshakes=6)
    tickets = [wire.ask("rich") for _ in range(5)] + [wire.ask("poor")]
    wire.to(0.2)
    for ticket in tickets:
        wire.done(wire.given(ticket))
    wire.ask("new")
    assert len(wire.manager.endpoints["rich"].idle) == 4 and len(wire.manager.endpoints["poor"].idle) == 1


def test_max_min_shares_give_the_modest_what_they_need_and_never_more_than_there_is():
    assert demand.shares({"a": 1, "b": 2, "c": 50}, 10) == {"a": 1, "b": 2, "c": 7}
    luck = random.Random(6)
    for _ in range(200):
        needs = {str(n): luck.randint(0, 30) for n in range(luck.randint(1, 12))}
        parts = demand.shares(needs, luck.randint(1, 100))
        assert all(parts[s] <= needs[s] for s in needs)
        short = [s for s in needs if parts[s] < needs[s]]
        assert all(parts[s] >= max(parts.values()) - 1 for s in short)


def busy_server(wire, seconds=3.0, rate=20.0, took=0.5):
    """Traffic for a while, after which more is wanted than is open."""
    running = []
    until = wire.now + seconds
    while wire.now < until:
        running.append((wire.now + took, wire.ask()))
        wire.to(wire.now + 1 / rate)
        for end, ticket in [r for r in running if r[0] <= wire.now and wire.given(r[1])]:
            running.remove((end, ticket))
            wire.done(wire.given(ticket), took)


@pytest.mark.parametrize("why", ["is draining", "is gone", "asked to wait"])
def test_nothing_is_opened_toward_one_that_drains_is_gone_or_asked_to_wait(why):
    wire = Wire(ahead=30.0, handshakes=8)
    busy_server(wire)
    endpoint = wire.manager.endpoints["s"]
    assert endpoint.counts["ahead"] > 0  # else the story shows nothing
    wire.blocked["s"] = why
    wire.do(wire.manager.retire("s"))
    ahead = endpoint.counts["ahead"]
    wire.to(wire.now + 2.0)
    assert endpoint.counts["ahead"] == ahead
    del wire.blocked["s"]
    wire.to(wire.now + 1.0)
    assert endpoint.counts["ahead"] > ahead


def test_one_that_comes_back_cold_is_opened_no_more_than_its_cold_share():
    def after_return(cold_time):
        wire = Wire(ahead=30.0, handshakes=8, cold_share=0.25, cold_time=cold_time)
        busy_server(wire)
        wire.blocked["s"] = "is draining"
        wire.do(wire.manager.retire("s"))
        wire.to(wire.now + 0.5)
        del wire.blocked["s"]
        target, opened = wire.manager.endpoints["s"].demand.target(wire.now, 4.25, 0.97), wire.opened
        wire.to(wire.now + 1.0)
        return (
            target,
            wire.opened - opened,
            max(wire.manager._handshakes(wire.now, e) for e in wire.manager.endpoints.values()),
        )

    target, cold, handshakes = after_return(100.0)
    assert handshakes <= 2
    assert cold <= 0.3 * target < after_return(0.0)[1]


def test_an_id_that_moves_to_another_address_takes_nothing_along():
    wire = Wire(ahead=0)
    for _ in range(40):
        wire.call(2.0, life=1.0)
    assert wire.manager.choice.life("s", 0) is not None
    old = wire.ask()
    wire.to(wire.now + 0.2)
    moved = wire.ask(peer=("h", 2))
    wire.to(wire.now + 0.2)
    assert wire.given(moved).peer == ("h", 2)
    wire.done(wire.given(old))
    assert wire.given(old).closed and wire.manager.endpoints["s"].up == 1


def test_one_that_came_up_after_its_id_had_moved_is_closed():
    wire = Wire(ahead=0)
    wire.ask(peer=("h", 1))
    ticket = wire.ask(peer=("h", 2))
    wire.to(0.5)
    assert wire.given(ticket).peer == ("h", 2)


def test_a_restart_with_two_hundred_owed_opens_within_its_bounds_and_serves_all():
    wire = Wire(most=40, ahead=10.0, handshakes=4)
    tickets, running = [wire.ask(f"s{n % 20}") for n in range(200)], []
    served = set()
    while len(served) + len(wire.failed) < 200:
        wire.to(wire.now + ROUND / 4)
        for use in wire.used:
            if use.ticket not in served:
                served.add(use.ticket)
                running.append((wire.now + 0.1, use.connection))
        for end, line in [r for r in running if r[0] <= wire.now]:
            running.remove((end, line))
            wire.done(line, 0.1)
    assert not wire.failed and served == set(tickets) and wire.manager.peak <= 40


def test_a_call_that_is_given_up_leaves_its_connection_to_the_next():
    wire = Wire(ahead=0)
    ticket = wire.ask()
    wire.manager.give_up(0.0, ticket)
    wire.to(0.2)
    assert not wire.used and wire.given(wire.ask()).uses == 0 and wire.opened == 1


def test_one_found_dead_before_a_byte_went_out_is_replaced_and_its_call_goes_first():
    wire = Wire(ahead=0)
    wire.call(0.0)
    ticket = wire.ask()
    dead = wire.given(ticket)
    wire.used.clear()
    wire.do(wire.manager.again(wire.now, ticket, dead))
    wire.to(wire.now + 0.2)
    assert wire.given(ticket) is not dead and wire.manager.endpoints["s"].counts["found dead"] == 1


def test_whatever_happens_connections_are_counted_right_and_bounded():
    for seed in range(30):
        luck = random.Random(seed)
        wire = Wire(most=8, ahead=luck.choice([0, 10.0]), handshakes=luck.randint(1, 5), idle_for=1.0)
        tickets, lines = [], []
        for _ in range(400):
            match luck.randrange(7):
                case 0 | 1 | 2:
                    peer = ("h", luck.randrange(30) // 29)
                    tickets.append(wire.ask(f"s{luck.randrange(5)}", luck.random() < 0.5, peer))
                case 3:
                    wire.refusing.symmetric_difference_update({f"s{luck.randrange(5)}"})
                case 4 if tickets:
                    wire.manager.give_up(wire.now, luck.choice(tickets))
                case 5:
                    wire.do(wire.manager.retire(f"s{luck.randrange(5)}"))
            lines += [u.connection for u in wire.used]
            wire.used.clear()
            for line in list(lines):
                if luck.random() < 0.3:
                    lines.remove(line)
                    luck.choice([wire.done, wire.done, wire.broke])(line)
            wire.to(wire.now + luck.random() * 0.2)
            ends = wire.manager.endpoints.values()
            assert len(wire.manager) == sum(e.held for e in ends) <= 8
            assert wire.manager._waiting == sum(len(e.waiting) for e in ends)
            lines += [u.connection for u in wire.used]
            wire.used.clear()
            assert len(lines) == sum(e.busy for e in ends)


# Guards against an end of the whole process in the moment in which it first wants to open a connection ahead.
def test_the_pool_of_a_process_learns_why_a_server_may_not_be_dialled(tmp_path, monkeypatch):
    (tmp_path / "connections.json").write_text('{"on": true}')
    monkeypatch.setenv("LINKDOCK_DEPLOY", str(tmp_path))
    table = ServerTable([False], lambda: 100.0)
    table.update([Server("s1", ("127.0.0.1", 1), 1), Server("s2", ("127.0.0.1", 1), 1, "draining")], 1)
    rules = SimpleNamespace(connect_timeout=1.5, cold_share=0.3, cold_time=10.0)
    config = SimpleNamespace(settings=rules, most_backends=10, state=tmp_path)
    pool = switched.kept_pool(config, table, Wheel(0.005, 100.0), lambda work: work.close(), lambda: 100.0, 5.0)
    blocked = pool._blocked
    assert [blocked(name) for name in ("s1", "s2", "s3")] == [None, "is draining", "is gone"]
