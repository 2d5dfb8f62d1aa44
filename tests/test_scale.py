"""Scale runs at small sizes: fits, tables, one seed one schedule, and a page whose tables are the results'."""

import pathlib
from random import Random

import pytest
from click.testing import CliRunner

from linkdock.console.main import cli
from linkdock.lab.results import PlanError
from linkdock.lab.scale import (
    against_real,
    decisions,
    journal,
    judging,
    learned,
    listing,
    members_mesh,
    members_sampled,
    page,
    replication,
    runs,
    tables,
)
from linkdock.lab.scale.fits import Shape, fit
from linkdock.lab.scale.measuring import Stopwatch
from linkdock.lab.scale.rows import Row, load, save
from linkdock.lab.scale.slopes import SLOPES, Book
from linkdock.lab.scale.text import digits, said
from linkdock.lab.scale.verdicts import Need, Verdict

ROOT = pathlib.Path(__file__).parent.parent


def virtual(figures):
    """Without processor time and memory, which no seed repeats to the last digit."""
    return [one for one in figures if "processor time" not in one.name and "memory" not in one.name]


def values(figures):
    return {one.name: one.value for one in figures}


def rows(run, points, figure, unit="B"):
    return [
        Row(run=run, size=size, figure=figure, unit=unit, value=value, seed=1, commit="c", command=f"lab {run}")
        for size, value in points
    ]


def made_up():
    """Results of every slope, with values that grow by its law."""
    found = []
    for slope in SLOPES:
        points = [(n, 3.0 * n) for n in (100, 400, 1600, 6800)]
        found += rows(slope.run, points, slope.figure, "s" if "time" in slope.figure else "B")
    for run, value in (("hollow", 0.001), ("real", 0.012)):
        found += rows(run, [(n, value) for n in (3, 5, 10, 20)], against_real.PROCESSOR, "s/s")
    return found


# --- Fits.


def test_a_line_is_recovered_with_its_error_and_how_far_it_is_carried():
    random = Random(1)
    found = fit(Shape.LINEAR, [(n, 500 + 84 * n + random.uniform(-200, 200)) for n in (1000, 10_000, 50_000, 200_000)])
    assert found.slope == pytest.approx(84, rel=2e-3) and found.slope_error < 0.1 and found.residual < 0.01
    there = found.at(1_300_000)
    assert there.low < 500 + 84 * 1_300_000 < there.high and there.value == pytest.approx(84 * 1_300_000, rel=2e-3)
    assert found.factor(1_300_000) == pytest.approx(6.5) and found.factor(5000) == 1


def test_the_largest_size_alone_does_not_draw_a_line():
    found = fit(Shape.LINEAR, [(100, 110.0), (1000, 1010.0), (10_000, 10_010.0), (1_000_000, 1_300_000.0)])
    assert found.at(100).value == pytest.approx(110, rel=0.1) and found.residual > 0.1


def test_a_power_is_recovered():
    found = fit(Shape.POWER, [(n, 0.002 * n**1.8) for n in (100, 200, 400, 800)])
    assert found.slope == pytest.approx(1.8) and found.residual < 1e-9
    assert found.at(6800).value == pytest.approx(0.002 * 6800**1.8)


@pytest.mark.parametrize(
    "points, shape",
    [([(1, 1.0), (2, 2.0), (4, 4.0)], Shape.LINEAR), ([(1, 1.0), (2, 2.0), (4, 0.0), (8, 8.0)], Shape.POWER)],
)
def test_no_slope_of_three_sizes_nor_a_power_through_nothing(points, shape):
    with pytest.raises(ValueError):
        fit(shape, points)


# --- One seed, one schedule.


@pytest.mark.parametrize(
    "measure, size",
    [
        (members_mesh.idle, 20),
        (members_mesh.restart, 30),
        (members_mesh.zone, 30),
        (members_sampled.measure, 40),
        (replication.measure, 20),
        (against_real.hollow, 5),
        (listing.measure, 300),
    ],
)
def test_a_run_is_the_same_twice_from_one_seed(measure, size):
    once, again = (virtual(measure(size, 3)) for _ in range(2))
    assert once == again and len(once) >= 1


def test_decisions_are_the_same_twice_from_one_seed():
    def calls(seed):
        driver = decisions.Driver(decisions.settings(), seed, 100)
        driver.list_all()
        driver.down = set(range(10))
        return driver.go_on(2.0, 100.0), driver.calls, driver.delivered

    assert calls(3) == calls(3) != calls(4)


def test_another_seed_is_another_schedule():
    assert virtual(members_mesh.idle(20, 1)) != virtual(members_mesh.idle(20, 2))


# --- What is measured is what the program does.


def test_the_list_is_read_whole_by_the_programs_reader():
    desk = listing.Desk()
    size = listing.take(desk, listing.line(500, 1, True, 1), Stopwatch())
    assert len(desk.roster) == 500 and size == sum(map(len, listing.line(500, 1, True, 1)))
    listing.take(desk, listing.line(5, 2, False, 2), Stopwatch())
    assert len(desk.roster) == 500 and desk.roster.knows(499)


def test_a_change_comes_to_every_learner_and_costs_the_leader_a_frame_to_each():
    few, many = values(replication.measure(10, 1)), values(replication.measure(40, 1))
    name = "leader: wire bytes of a change"
    assert many[name] > 2 * few[name] > 0
    assert 0 < few["a change: in force at half of the senders"] <= few["a change: in force at all senders"]


def test_members_notice_a_death_and_a_zone_that_was_cut_comes_back():
    told = values(members_mesh.restart(30, 1))
    assert 0 < told["a death: known to half"] <= told["a death: known to all"]
    told = values(members_mesh.zone(30, 1))
    assert told["a zone cut: held for failed by all"] > 0 and told["a zone back: all agree again"] > 0


def test_journal_learned_and_judge_have_figures_that_grow_with_their_size():
    for measure, name in (
        (journal.measure, "bytes on disk"),
        (learned.measure, "memory asleep"),
        (judging.measure, "memory of all reports"),
    ):
        small, large = (values(measure(n, 1))[name] for n in (20, 80))
        assert 3 * small < large < 5 * small, name


def test_held_messages_are_held_while_others_are_delivered():
    driver = decisions.Driver(decisions.settings(), 1, 100)
    driver.list_all()
    driver.down = {0}
    for _ in range(50):
        driver.hand_in(0, 1)
    handed = driver.go_on(2.0, 100.0)
    assert 0.9 * handed < driver.delivered <= handed


# --- Results and bounds.


def test_results_are_read_as_they_were_written(tmp_path):
    told = rows("list", [(10, 1.5), (20, 2.5)], "memory of the list")
    save(tmp_path, "list", told)
    assert load(tmp_path) == told
    (tmp_path / "list.parquet").write_bytes(b"PAR1 spoilt")
    with pytest.raises(PlanError, match="list.parquet"):
        load(tmp_path)


def test_a_size_beyond_its_time_or_memory_is_named_and_not_measured(tmp_path):
    assert "0 s" in runs.one_size("journal", 100, 1, 0.01, 3000)
    assert "with 30 MB" in runs.one_size("learned", 2000, 1, 60, 30)
    told, unfinished = runs.play("journal", 1, (50,), 0.01, 3000, tmp_path, lambda text: None)
    assert told == [] and [one.size for one in unfinished] == [50] and list(tmp_path.iterdir()) == []


def test_the_command_measures_and_prints_and_refuses_what_it_cannot_use(tmp_path):
    def asked(*words):
        return CliRunner().invoke(cli, ["lab", "scale", *words, "--results", str(tmp_path)])

    done = asked("journal", "--sizes", "50,100", "--seed", "4")
    assert done.exit_code == 0 and "journal 100 bytes on disk" in done.output
    found = load(tmp_path)
    assert {one.size for one in found} == {50, 100} and {one.seed for one in found} == {4}
    assert found[0].command == "linkdock lab scale journal --seed 4 --sizes 50,100"
    for words in (("nothing",), ("journal", "--sizes", "50,x"), ("journal", "--sizes", "1")):
        assert asked(*words).exit_code == 2


# --- Tables and the page.


def test_verdicts_follow_figures_budgets_and_bounds():
    def need(figure, budget, **more):
        return Need("x", figure, "B", budget, 1.0, "m", **more).verdict

    assert need(1.0, 2.0) is Verdict.CARRIES and need(3.0, 2.0) is Verdict.DOES_NOT
    assert need(1.0, 2.0, refused="512 learners") is Verdict.DOES_NOT
    assert need(1.0, 2.0, refused="1,024", change="a larger one") is Verdict.WITH_CHANGE
    assert need(3.0, 2.0, refused="1,024", change="a larger one") is Verdict.DOES_NOT
    assert need(None, 2.0) is Verdict.NOT_MEASURED and need(1.0, None) is Verdict.NO_BUDGET


def test_figures_are_written_with_three_digits_and_a_unit():
    assert [said(v, u) for v, u in ((131.9e6, "B"), (0.0021, "s"), (14400, "s"), (0.039, "s/s"), (12.0, "s/s"))] == [
        "132 MB",
        "2.1 ms",
        "4 h",
        "3.9 % of a core",
        "12 cores",
    ]
    assert said(None, "B") == "not measured" and digits(13000) == "13000" and digits(0.0) == "0"


def test_tables_say_what_the_results_say():
    told = made_up()
    every = tables.all_tables(told)
    book = Book(told)
    assert book.at("list", "memory of the list", 1_300_000).value == pytest.approx(3.9e6)
    assert "3.9 MB" in every["sender-control"] and "x 191" in every["sender-control"]
    few = [row for row in told if row.run != "list"]
    lines = tables.all_tables(few)["sender-control"].splitlines()
    assert all(("not measured" in line) == line.startswith(("| list:", "| all at rest: memory")) for line in lines[2:])


def test_the_pages_tables_are_those_of_its_results():
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    assert page.tables_in(text) == tables.all_tables(load(ROOT / "docs" / "capacity"))


def test_a_typed_figure_or_a_missing_place_is_seen():
    every = {"a": "| 1 |\n", "b": "| 2 |\n"}
    text = "# Page\n<!-- table: a -->\n<!-- end -->\nbetween\n<!-- table: b -->\nold\n<!-- end -->\n"
    whole = page.with_tables(text, every)
    assert page.tables_in(whole) == every and "between" in whole and "old" not in whole
    assert page.tables_in(whole.replace("| 2 |", "| 3 |")) != every
    with pytest.raises(PlanError):
        page.with_tables(text, {"a": ""})
    with pytest.raises(PlanError):
        page.put_in(ROOT / "no-such-page.md", every)
