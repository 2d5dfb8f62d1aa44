"""What the stories share, and the order of the tests."""

import pytest
from known_red import KnownRed
from peers import Program, let_go, programs

LONGEST = (
    "test_a_kill_at_any_step_of",
    "test_an_order_takes_effect_once_or_is_in_doubt_wherever",
    "test_cold_destinations_get_less",
    "test_a_thousand_of_fifty_thousand",
)


def pytest_configure(config):
    """Tests that are listed in KNOWN-RED.txt may fail, and must."""
    config.pluginmanager.register(KnownRed(config), "known_red")


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item):
    """A failure is reported with the logs of the test's programs."""
    report = (yield).get_result()
    if report.failed:
        for number, program in enumerate(programs, 1):
            report.sections.append((f"log of program {number}", "".join(program.log)))


def pytest_collection_modifyitems(items):
    """The longest go first: one that began last would leave all workers but its own without work."""
    items.sort(key=lambda item: not item.name.startswith(LONGEST))


@pytest.fixture(autouse=True)
def ports():
    """The ports of a test's peers are kept beyond its programs: this fixture comes first and ends last."""
    yield
    let_go()
    programs.clear()


def closed(make):
    """Makes as many as a test asks for, and closes them at its end."""
    made = []

    def begin(*args, **more):
        made.append(make(*args, **more))
        return made[-1]

    yield begin
    for one in made:
        one.close()


@pytest.fixture
def start(tmp_path):
    yield from closed(lambda backends, **more: Program(tmp_path, backends, **more))


@pytest.fixture
def pair(tmp_path):
    from test_upgrades import Pair

    yield from closed(lambda backends, **more: Pair(tmp_path, backends, **more))
