"""Known failures: tests listed in `KNOWN-RED.txt` may fail without failing the run, and may do nothing else.

A line is `tests/test_x.py::test_name | cause | issue 30`, with the full node id of the test. The run is refused over a
fourth line or a malformed one, and fails over a listed test that passes, is skipped or does not exist. What fails
outside the test itself, in a fixture's set-up or teardown, fails the run as it does for any other test.

A pytest plugin, registered by `conftest.py`. Under pytest-xdist the tests run in workers, each with a plugin of its
own: what a listed test did travels in its report, what was not found in the worker's output.
"""

import pathlib
import re
from typing import Any, NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST_LINES = 3
LINE = re.compile(r"(?P<test>[^\s|:]+\.py::\S[^|]*?) +\| +(?P<cause>\S[^|]*?) +\| +(?P<issue>issue \d+)")


class KnownFailure(NamedTuple):
    """One line of the file."""

    test: str  # node id
    cause: str
    issue: str


def parse(text: str) -> dict[str, KnownFailure]:
    """The lines by test. Raises pytest.UsageError if there are too many, one is malformed or a test comes twice."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MOST_LINES:
        raise pytest.UsageError(f"{FILE}: {len(lines)} lines; at most {MOST_LINES} known failures are allowed")
    known: dict[str, KnownFailure] = {}
    for line in lines:
        match = LINE.fullmatch(line)
        if match is None:
            raise pytest.UsageError(f"{FILE}: malformed line {line!r}; it must read: test | cause | issue N")
        if match["test"] in known:
            raise pytest.UsageError(f"{FILE}: {match['test']} is listed twice")
        known[match["test"]] = KnownFailure(**match.groupdict())
    return known


class KnownRed:
    """The plugin of one process: the controller's, or a worker's."""

    def __init__(self, config: pytest.Config) -> None:
        """Read the list; raises pytest.UsageError if it is not in order."""
        path = config.rootpath / FILE
        self._config = config
        self._known = parse(path.read_text(encoding="utf-8")) if path.exists() else {}
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
        """Print each line with what became of its test."""
        reports = {report.known_red: report for report in terminalreporter.stats.get("known failures", ())}
        if self._known:
            terminalreporter.section(f"known failures ({FILE})")
        for test, cause, issue in self._known.values():
            state = (
                "failed, as known" if test in reports else "NO SUCH TEST" if test in self._missing else "not so here"
            )
            terminalreporter.write_line(f"{test}: {state} | {cause} | {issue}")
            if test in reports:
                crash = getattr(reports[test].longrepr, "reprcrash", None)
                terminalreporter.write_line(f"    {crash.message if crash else reports[test].longreprtext}")
