"""Known failures: tests listed in `KNOWN-RED.txt` may fail without failing the run, and may do nothing else.

A line is `tests/test_x.py::test_name | cause | issue 30`, with the full node id of the test. The run is refused over a
fourth line of this kind or a malformed one, and fails over a listed test that passes, is skipped or does not exist.
What fails outside the test itself, in a fixture's set-up or teardown, fails the run as it does for any other test.

A second kind of line is for what a run of the bench showed: `command | seed | what was seen | issue 33`, with `-` where
the command takes no seed. These are printed, and nothing is run for them.

A pytest plugin, registered by `conftest.py`. Under pytest-xdist the tests run in workers, each with a plugin of its
own: what a listed test did travels in its report, what was not found in the worker's output.
"""

import pathlib
import re
from typing import Any, NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST_TESTS = 3
FIELD = r"\S[^|]*?"
END = r"(?P<issue>issue \d+)"
TEST_LINE = re.compile(rf"(?P<test>[^\s|:]+\.py::{FIELD}) +\| +(?P<cause>{FIELD}) +\| +{END}")
BENCH_LINE = re.compile(rf"(?P<command>{FIELD}) +\| +(?P<seed>\d+|-) +\| +(?P<seen>{FIELD}) +\| +{END}")


class KnownFailure(NamedTuple):
    """One line of the file that names a test."""

    test: str  # node id
    cause: str
    issue: str


class BenchFailure(NamedTuple):
    """One line of the file that names a run of the bench."""

    command: str
    seed: str  # "-" where the command takes none
    seen: str
    issue: str


def parse(text: str) -> tuple[dict[str, KnownFailure], list[BenchFailure]]:
    """The lines by test, and those of the bench.

    Raises pytest.UsageError if there are too many tests, a line is malformed or a test comes twice.
    """
    known: dict[str, KnownFailure] = {}
    bench: list[BenchFailure] = []
    for line in filter(None, map(str.strip, text.splitlines())):
        test, run = TEST_LINE.fullmatch(line), BENCH_LINE.fullmatch(line)
        if test is not None:
            if test["test"] in known:
                raise pytest.UsageError(f"{FILE}: {test['test']} is listed twice")
            known[test["test"]] = KnownFailure(**test.groupdict())
        elif run is not None:
            bench.append(BenchFailure(**run.groupdict()))
        else:
            raise pytest.UsageError(
                f"{FILE}: malformed line {line!r}; it must read: test | cause | issue N, "
                "or for the bench: command | seed | what was seen | issue N"
            )
    if len(known) > MOST_TESTS:
        raise pytest.UsageError(f"{FILE}: {len(known)} lines; at most {MOST_TESTS} known failures of tests are allowed")
    return known, bench


class KnownRed:
    """The plugin of one process: the controller's, or a worker's."""

    def __init__(self, config: pytest.Config) -> None:
        """Read the list; raises pytest.UsageError if it is not in order."""
        path = config.rootpath / FILE
        self._config = config
        self._known, self._bench = parse(path.read_text(encoding="utf-8") if path.exists() else "")
        self._missing: set[str] = set()  # listed tests which do not exist although their files were collected

    def _find(self, node_id: str) -> KnownFailure | None:
        """The line of a test, whose node id may end with the group that pytest-xdist appends: `@group`."""
        return self._known.get(node_id) or self._known.get(node_id.rpartition("@")[0])

    def _collected_whole(self, test: str) -> bool:
        """Whether this run was asked for the test's whole file, alone or in a directory."""
        if self._config.getoption("lf", False):
            return False  # `--lf` leaves files out
        file = self._config.rootpath / test.partition("::")[0]
        asked = [pathlib.Path(self._config.invocation_params.dir, arg) for arg in self._config.args if "::" not in arg]
        return any(path == file or path in file.parents for path in asked)

    @pytest.hookimpl(tryfirst=True)  # before `-k` and others deselect any
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Note the listed tests that were not found."""
        found = {known.test for item in items if (known := self._find(item.nodeid))}
        self._missing = {test for test in self._known if test not in found and self._collected_whole(test)}
        if hasattr(self._config, "workeroutput"):
            self._config.workeroutput["known_red_missing"] = sorted(self._missing)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: object) -> None:
        """Take over what a worker of pytest-xdist did not find."""
        self._missing.update(getattr(node, "workeroutput", {}).get("known_red_missing", ()))

    @pytest.hookimpl(wrapper=True, tryfirst=True)  # outermost, so that it sees what the skip and xfail marks made of it
    def pytest_runtest_makereport(self, item: pytest.Item, call: pytest.CallInfo) -> object:
        """Mark the expected failure of a listed test; turn any other end of one into a failure."""
        report = yield
        known = self._find(item.nodeid)
        if known is None:
            return report
        if report.when == "call" and report.failed:
            report.known_red, report.wasxfail = known.test, known.cause  # pytest counts no failure with `wasxfail`
        elif report.skipped or (report.when == "call" and report.passed):
            done = "passes: take its line out" if report.passed else "did not run, or is expected to fail"
            report.outcome, report.longrepr = "failed", f"{known.test} is listed in {FILE} but {done}"
            vars(report).pop("wasxfail", None)
        return report

    @pytest.hookimpl(tryfirst=True)
    def pytest_report_teststatus(self, report: pytest.TestReport) -> tuple[str, str, str] | None:
        """Count known failures apart from all others."""
        return ("known failures", "K", "KNOWN") if hasattr(report, "known_red") else None

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a run that found no test for a line, whatever else it found."""
        if self._missing and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        """Print each line, those of tests with what became of them."""
        reports = {report.known_red: report for report in terminalreporter.stats.get("known failures", ())}
        if self._known or self._bench:
            terminalreporter.section(f"known failures ({FILE})")
        for test, cause, issue in self._known.values():
            state = (
                "failed, as known" if test in reports else "NO SUCH TEST" if test in self._missing else "not so here"
            )
            terminalreporter.write_line(f"{test}: {state} | {cause} | {issue}")
            if test in reports:
                crash = getattr(reports[test].longrepr, "reprcrash", None)
                terminalreporter.write_line(f"    {crash.message if crash else reports[test].longreprtext}")
        for failure in self._bench:
            terminalreporter.write_line(f"not run here: {' | '.join(failure)}")
