"""The search of small cases for the rule `order`: nothing is found in the program, and each planted fault is."""

import pytest

from linkdock.lab.order_search import Search
from linkdock.lab.order_search_faults import FAULTS
from linkdock.lab.order_search_plans import PLANS
from linkdock.lab.order_search_referee import Check

ENOUGH = 60.0  # seconds: states bound each search, and the machine may be busy
# States that are seen without a fault: of each plan as many as any planted fault needs, or all.
STATES = {
    "pair": 500,
    "pair-late": 500,
    "pair-hand-over": 150,
    "pair-unmet": 250,
    "pair-restart": 400,
    "pair-third": 150,
    "pair-third-unmet": 150,
    "pair-upgrade": 900,
}
WALKS = {"late": 40, "stop": 40, "leaves": 40, "upgrade-late": 60, "three": 60}


def found(result):
    return [str(one) for one in result.counterexamples.values()]


@pytest.mark.parametrize("plan", STATES)
def test_no_order_of_events_breaks_a_rule(plan):
    result = Search(PLANS[plan], STATES[plan], ENOUGH).run()
    assert found(result) == []
    assert result.whole or result.states >= STATES[plan]


@pytest.mark.parametrize("plan", WALKS)
def test_no_schedule_by_chance_breaks_a_rule(plan):
    result = Search(PLANS[plan], seconds=ENOUGH).walk(WALKS[plan], seed=1)
    assert found(result) == []
    assert result.edges > 10 * WALKS[plan]


@pytest.mark.parametrize("name", FAULTS)
def test_a_planted_fault_is_found_by_its_check_and_replays(name):
    fault = FAULTS[name]
    result = Search(PLANS[fault.plan], STATES[fault.plan], ENOUGH, name).run()
    (one,) = result.counterexamples.values()
    assert one.broken.check is fault.check
    again = Search(PLANS[fault.plan], fault=name).replay(one.events)
    assert found(again) == found(result)


def test_an_event_that_cannot_come_is_said_so():
    with pytest.raises(ValueError, match="go A2@1 cannot come here"):
        Search(PLANS["pair"]).replay(("start", "take A1@1", "go A2@1"))


def test_a_walk_shortens_what_it_finds():
    result = Search(PLANS["pair"], fault="give-up-passes-the-key").walk(100, seed=1)
    (one,) = [one for (check, _), one in result.counterexamples.items() if check is Check.NOT_OVER]
    assert len(one.events) <= 9
