"""`KNOWN-RED.txt`: runs of pytest in a folder of their own, in this process, and some over workers of pytest-xdist."""

import pathlib

import known_red
import pytest

pytest_plugins = ["pytester"]

CONFTEST = """
import known_red

def pytest_configure(config):
    config.pluginmanager.register(known_red.KnownRed(config), "known_red")
"""
TESTS = """
import pytest

@pytest.fixture
def broken():
    raise OSError("no set-up")

@pytest.fixture
def untidy():
    yield
    raise OSError("no teardown")

@pytest.mark.xdist_group("one")
def test_red(): assert "red" == "green"
@pytest.mark.parametrize("n", ["a@b", "c"])
def test_each(n): assert n == "c"
def test_green(): pass
def test_green_too(): pass
def test_set_up(broken): pass
def test_teardown(untidy): assert "red" == "green"
def test_skipped(): pytest.skip("no wish")
@pytest.mark.xfail
def test_expected(): assert False
"""


@pytest.fixture
def run(pytester, monkeypatch):
    monkeypatch.setenv("PYTHONPATH", str(pathlib.Path(known_red.__file__).parent))
    pytester.makeini("[pytest]\ntestpaths = tests")
    pytester.makepyfile(**{"tests/conftest": CONFTEST, "tests/test_x": TESTS})

    def run(listed, *arguments, workers=0):
        if listed is not None:
            pytester.path.joinpath("KNOWN-RED.txt").write_text(listed)
        start = pytester.runpytest_subprocess if workers else pytester.runpytest_inprocess
        done = start("-q", "-p", "no:cacheprovider", "-n", str(workers), "--dist", "loadgroup", *arguments)
        return done.ret, done.stdout.str() + done.stderr.str()

    return run


def line(test):
    return f"tests/test_x.py::{test} | its cause | issue 30\n"


@pytest.mark.parametrize(
    ("test", "select", "workers"),
    [("test_red", "red or green", 0), ("test_each[a@b]", "each or green", 0), ("test_red", "red or green", 2)],
)
def test_a_listed_failure_is_printed_and_passed_over(run, test, select, workers):
    code, told = run(line(test), "-k", select, workers=workers)
    assert code == 0, told
    assert f"{test}: failed, as known | its cause | issue 30" in told
    assert "assert 'red' == 'green'" in told or "assert 'a@b' == 'c'" in told
    assert "1 known failures" in told


@pytest.mark.parametrize("listed", [None, ""])
def test_nothing_listed_changes_nothing(run, listed):
    assert run(listed, "-k", "red")[0] == 1


def test_a_failure_that_is_not_listed_fails_the_run(run):
    code, told = run(line("test_red"), "-k", "red or each")
    assert code == 1 and "1 failed, 1 passed" in told and "1 known failures" in told


@pytest.mark.parametrize(
    ("test", "why"),
    [
        ("test_green", "passes: take its line out"),
        ("test_skipped", "did not run"),
        ("test_expected", "expected to fail"),
        ("test_set_up", "OSError: no set-up"),
        ("test_teardown", "OSError: no teardown"),
    ],
)
def test_a_listed_test_that_does_anything_but_fail_fails_the_run(run, test, why):
    code, told = run(line(test) + line("test_red"), "-k", f"{test} or red")
    assert code == 1 and why in told, told


def test_a_line_without_a_test_fails_the_run_that_collects_its_file(run):
    code, told = run(line("test_gone"), "-k", "test_green")
    assert code == 1 and "test_gone: NO SUCH TEST" in told


def test_workers_report_what_passes_and_what_is_not_there(run):
    code, told = run(line("test_gone") + line("test_green"), "-k", "green", workers=2)
    assert code == 1 and "test_gone: NO SUCH TEST" in told and "1 failed, 1 passed" in told
    code, told = run(line("test_gone"), "-k", "green", workers=2)
    assert code == 1 and "2 passed" in told


def test_a_line_may_name_what_a_part_of_the_suite_does_not_collect(run):
    code, told = run(line("test_red"), "tests/test_x.py::test_green")
    assert code == 0 and "test_red: not so here" in told


def test_a_list_out_of_order_refuses_the_run(run):
    code, told = run(line("a") + line("b") + line("c") + line("d"))
    assert code == pytest.ExitCode.USAGE_ERROR and "4 lines" in told


@pytest.mark.parametrize(
    ("listed", "why"),
    [
        (line("a") + line("a"), "listed twice"),
        ("tests/test_x.py::test_red\n", "malformed"),
        ("tests/test_x.py::test_red | | issue 30\n", "malformed"),
        ("tests/test_x.py::test_red | its cause | some day\n", "malformed"),
        ("test_red | its cause | issue 30\n", "malformed"),
        ("bin/score SITE | any | what was seen | issue 33\n", "malformed"),
        ("bin/score SITE | 60 | | issue 33\n", "malformed"),
        ("bin/score SITE | 60 | what was seen | some day\n", "malformed"),
    ],
)
def test_each_line_must_have_the_form(listed, why):
    with pytest.raises(pytest.UsageError, match=why):
        known_red.parse(listed)


def test_three_lines_are_read():
    listed, bench = known_red.parse(line("a") + "\n" + line("b") + line("c"))
    assert listed["tests/test_x.py::b"] == ("tests/test_x.py::b", "its cause", "issue 30") and len(listed) == 3
    assert bench == []


BENCH = "bin/score SITE --panel brink | 60 | day 7: rule `order`, 2 times | issue 33\n"


def test_lines_of_the_bench_are_printed_and_change_nothing_else(run):
    code, told = run(BENCH + line("test_red"), "-k", "red or green")
    assert code == 0 and "1 known failures" in told, told
    assert "not run here: bin/score SITE --panel brink | 60 | day 7: rule `order`, 2 times | issue 33" in told
    assert run(BENCH, "-k", "red")[0] == 1
    assert run(BENCH, "-k", "green")[0] == 0


def test_any_number_of_runs_of_the_bench_may_be_listed_beside_three_tests():
    listed, bench = known_red.parse(BENCH * 4 + BENCH.replace("60", "-") + line("a") + line("b") + line("c"))
    assert len(listed) == 3 and len(bench) == 5
    assert bench[4] == ("bin/score SITE --panel brink", "-", "day 7: rule `order`, 2 times", "issue 33")
    with pytest.raises(pytest.UsageError, match="4 lines"):
        known_red.parse(BENCH + line("a") + line("b") + line("c") + line("d"))
