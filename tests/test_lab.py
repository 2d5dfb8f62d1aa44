"""The laboratory itself: an emulator that is wrong proves nothing."""

import asyncio
import json
import time
from random import Random
from types import SimpleNamespace

import pytest
from click.testing import CliRunner

from linkdock.console.main import cli
from linkdock.lab import connections, idle, results
from linkdock.lab.members import FULL, OK, RESET, SILENT, UNREACHABLE, Member, Rules

RULES = Rules(fall_multiple=1.5, fall_time=2.0, cold_time=10.0, cold_share=0.4)


def member(**more):
    return Member(1, RULES, Random(1), **more)


def test_a_cold_member_topples_beyond_the_rule_and_not_below_it():
    cold = member(rate=10.0)  # cold: 4 a second; N = 1.5 * 4 * 2 = 12 in a window, and at most N + 2 * sqrt(N) + 2
    cold.fall()
    assert cold.call(0.0).how == SILENT
    cold.come_back(1.0)
    for n in range(21):  # a quarter of a second into its return N is 12.45, and the bound 21.5
        assert cold.call(1.0 + n * 0.01).how in (OK, FULL)
    assert cold.toppled == 0 and cold.most_over == pytest.approx(21 / 12.4, abs=0.01) and 0.97 < cold.most_bound <= 1.0
    assert cold.call(1.21).how == SILENT and cold.toppled == 1 and not cold.up and cold.most_bound > 1.0
    paced = member(rate=10.0)
    paced.come_back(0.0)
    for n in range(60):
        paced.call(n * 0.25)
    assert paced.toppled == 0 and paced.cold_since is None and paced.most_over < 1.0


def test_a_single_call_never_topples_the_smallest():
    small = member(rate=0.1)
    small.come_back(0.0)
    assert small.call(0.0).how == OK and small.toppled == 0


def test_beyond_its_limit_a_member_refuses_with_a_wait_after_which_there_is_room():
    full = member(rate=4.0)
    replies = [full.call(0.0) for _ in range(4)]
    assert [r.how for r in replies][-1] == FULL and replies[-1].report == (0.0, 4.0)
    assert full.call(replies[-1].wait + 0.001).how == OK


def test_a_member_with_a_span_takes_a_count_in_each_and_tells_when_the_next_begins():
    spans = member(rate=4.0, span=2.0)
    assert [spans.call(10.5).how for _ in range(9)] == [OK] * 8 + [FULL]
    wait = spans.call(10.5).wait
    assert wait == pytest.approx(1.5) and spans.call(10.5 + wait).how == OK


def test_a_member_that_resets_runs_what_it_does_not_answer():
    some = member(rate=1e6, resets=0.5)
    replies = [some.call(n * 0.01).how for n in range(200)]
    assert 60 < replies.count(RESET) < 140 and some.served == replies.count(OK)


def test_a_member_that_is_down_refuses_or_stays_silent():
    down = member(answers_when_down=True)
    down.fall()
    assert down.call(0.0).how == UNREACHABLE


def without_clocks(report):
    return {k: v for k, v in report.items() if k not in ("took s", "longest pass ms")}


def test_one_seed_is_one_schedule_and_a_woken_cold_member_gets_no_more_than_it_can_take():
    plan = idle.Plan(destinations=3000, wake=100, active=10, asleep_s=100.0)
    for seed in (1, 2, 3):
        report = idle.waking(plan, seed)
        assert report["toppled"] == 0 and report["most over"] <= 1.0
        assert report["awake before"] <= 20 and report["served"]["healthy"] > 0.95
    assert without_clocks(idle.waking(plan, 3)) == without_clocks(report)


def test_a_thousand_of_fifty_thousand_wake_inside_one_second_half_of_them_cold():
    plan = idle.Plan(destinations=50_000, wake=1000, active=10, asleep_s=20.0)
    report = idle.waking(plan, 11)
    assert report["toppled"] == 0 and report["most over"] <= 1.0 and report["awake before"] <= 20
    assert min(report["served"][kind] for kind in ("cold", "healthy", "shrunk")) > 0.98


def test_what_is_kept_of_one_that_was_awake_is_little_and_a_snapshot_never_holds_long(monkeypatch):
    # By this thread's own time: on a busy machine a slice of 0.7 ms took 72 by the wall.
    monkeypatch.setattr(idle, "time", SimpleNamespace(perf_counter=time.thread_time))
    kept = idle.keeping(20_000)
    assert kept["snapshot bytes"] < 75 and 0 < kept["longest slice ms"] < 20


def test_a_flood_after_a_return_is_seen_by_the_account():
    plan = idle.Plan(destinations=500, wake=20, active=5, asleep_s=10.0)
    world = idle._world(plan, 1, 500, True, {7: member(rate=2.0)})
    world.members[7].come_back(0.0)
    for n in range(40):  # past the decisions: straight into the member
        world.at(0.5 + n * 0.001, lambda: world.members[7].call(world.now))
    world.run(2.0)
    assert world.members[7].toppled == 1


def test_a_real_sender_is_measured_with_its_peers():
    plan = idle.Plan(destinations=400, wake=1, seconds=0.5, rate=40.0)
    run = asyncio.run(idle.process(plan, 400, 1))
    assert run["taken"] == run["asked"] > 5 and run["arrived"] > 0.9 * run["asked"]
    assert 5 < run["memory mb"] < 100 and run["longest hold"].endswith("ms")


def test_the_keeper_meets_few_dead_connections_and_a_surge_piles_up_no_handshakes():
    plan = connections.Plan(seeds=1, seconds=60.0, servers=12)
    report = connections.run(plan)
    keeper, today, oracle = (report[name] for name in ("keeper", "today", "oracle"))
    assert oracle["stale"] == 0 and report["one a call"]["opened"] == report["one a call"]["calls"]
    assert keeper["stale"] < 0.3 * today["stale"] and keeper["orders lost"] < 0.2 * today["orders lost"]
    assert keeper["opened"] < 1.5 * today["opened"] and keeper["unserved"] == 0
    assert keeper["surge p99"] < 0.6 * today["surge p99"] and keeper["p99"] < 1.1 * oracle["p99"]
    assert connections.run(plan) == report


@pytest.mark.parametrize(
    "text, named",
    [
        ('{"lives": [0.01]}', "lives must be above"),
        ('{"settings": {"cap": 0}}', "$.settings.cap"),
        ('{"seconds": 20}', "seconds must be at least"),
        ('{"servers": 0}', "$.servers"),
        ('{"lives": []}', "$.lives"),
    ],
)
def test_a_broken_plan_of_connections_is_named(tmp_path, text, named):
    file = tmp_path / "plan.json"
    file.write_text(text)
    done = CliRunner().invoke(cli, ["lab", "connections", "--plan", str(file)])
    assert done.exit_code == 2 and named in done.output


@pytest.mark.parametrize(
    "text, named",
    [
        ('{"destinations": 5}', "$.destinations"),
        ('{"wake": "all"}', "$.wake"),
        ('{"members": 5}', "members"),
        ('{"destinations": 300, "wake": 301}', "wake must be at most destinations"),
        ("{", "no JSON"),
        ("[1]", "object"),
        ('{"seconds": 0}', "$.seconds"),
    ],
)
def test_a_broken_plan_is_named_and_nothing_is_begun(tmp_path, text, named):
    file = tmp_path / "plan.json"
    file.write_text(text)
    done = CliRunner().invoke(cli, ["lab", "idle", "--plan", str(file)])
    assert done.exit_code == 2 and named in done.output and "plan.json" in done.output


def test_options_that_cannot_be_are_named(tmp_path):
    run = CliRunner().invoke
    for words, named in (
        (["--wake", "0"], "wake"),
        (["--plan", str(tmp_path / "none")], "none"),
        (["--destinations", "x"], "destinations"),
        (["--table", str(tmp_path / "no" / "t")], "no"),
    ):
        done = run(cli, ["lab", "idle", *words])
        assert done.exit_code == 2 and named in done.output and "Traceback" not in done.output


def test_the_experiment_prints_one_object_and_keeps_its_results(tmp_path):
    table, plot = tmp_path / "runs.parquet", tmp_path / "plot.png"
    file = tmp_path / "plan.json"
    file.write_text(
        json.dumps(
            {
                "destinations": 300,
                "wake": 20,
                "seeds": 1,
                "active": 5,
                "rounds": 1,
                "few": 200,
                "asleep_s": 20.0,
                "rate": 20.0,
                "process": False,
            }
        )
    )
    done = CliRunner().invoke(
        cli, ["lab", "idle", "--plan", str(file), "--json", "--table", str(table), "--plot", str(plot)]
    )
    told = json.loads(done.output)
    assert done.exit_code == 0 and told["waking"]["toppled"] == 0 and told["pass ratio"] > 0
    assert plot.read_bytes().startswith(b"\x89PNG") and table.stat().st_size > 0
    results.write_table(table, {"process": {"runs": [{"destinations": 3, "p50 ms": 1.0}]}})
    import pyarrow.parquet as pq

    assert pq.read_table(table).to_pylist() == [{"destinations": 3, "p50 ms": 1.0}]
