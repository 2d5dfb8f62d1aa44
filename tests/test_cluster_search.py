"""The breadth-first search of a small replicated log, and each planted bug found by the check that is named for it."""

from dataclasses import replace

import pytest

from linkdock.lab.virtual_log_bugs import BUGS, FIRST, found
from linkdock.lab.virtual_log_search import PLANS, START, Bounds, Search, figure_8


def test_a_small_search_sees_all_states_and_no_violation():
    bounds = Bounds(term=1, stands=2, proposals=0, beats=0, doubled=0, crashes=0, asks=False)
    states, edges, depth, whole = Search(bounds, START).run()
    assert whole and states > 3000 and edges > states and depth >= 15


def test_a_search_stops_at_its_bound():
    bounds = replace(PLANS["figure-8"][0], states=2000)
    states, _, _, whole = Search(bounds, figure_8()).run()
    assert not whole and 2000 <= states < 2100


@pytest.mark.parametrize("name", BUGS)
def test_a_planted_bug_is_found(name):
    seen = found(name, FIRST.get(name, 0))
    assert seen and seen[1] == BUGS[name].check
