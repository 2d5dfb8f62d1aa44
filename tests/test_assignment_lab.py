"""The assignment's laboratory: planted faults are found by the check that is named, searches hold, figures agree."""

import numpy as np
import pytest

from linkdock.assignment import hashing, moves, placement
from linkdock.assignment.membership import Change, Member, changed, made
from linkdock.lab import virtual_assignment as lab
from linkdock.lab import virtual_assignment_cost as cost
from linkdock.lab.virtual_assignment_checks import CHECKS
from linkdock.lab.virtual_assignment_faults import FAULTS, found
from linkdock.lab.virtual_assignment_force import in_force
from linkdock.lab.virtual_assignment_numbers import agrees, fleet, rows_by_shard, whole_assignment
from linkdock.lab.virtual_assignment_plans import PLANS
from linkdock.lab.virtual_assignment_search import Search

LONG = {"turns: clocks", "turns: hand-over", "turns: wakes-late", "turns: killed", "turns: killed-asked-back"}
SHARDS = 2048


@pytest.mark.parametrize("name", FAULTS)
def test_a_planted_fault_is_found_by_the_check_that_is_named(name):
    assert FAULTS[name].by in found(name)


@pytest.mark.parametrize("name", [name for name in CHECKS if name not in LONG])
def test_without_a_fault_the_check_holds(name):
    assert CHECKS[name]()


@pytest.mark.parametrize(
    "plan, states, begins", [("late-grant", 2157, 166), ("renewed", 469, 14), ("leaves", 3079, 23)]
)
def test_a_search_sees_all_states_of_its_plan_and_the_turn_passes_on_in_some(plan, states, begins):
    search = Search(PLANS[plan])
    assert search.run() and (search.states, search.passed_on) == (states, begins)


@pytest.mark.parametrize("weights", [(100,), (100, 250)])
def test_the_arrays_come_to_what_the_program_does(weights):
    members = [Member(m.id, m.zone, weights[at % len(weights)]) for at, m in enumerate(fleet(60, 5, 3, 1))]
    epoch = made(1, members)
    assert agrees(epoch, whole_assignment(epoch), 1, 60)
    assert rows_by_shard(5000).sum() == 5000


def test_what_moves_is_counted_by_place_and_by_who_gains():
    before = np.array([[0, 1], [2, 1], [1, 0]])
    after = np.array(
        [[0, 2], [1, 2], [1, 0]]
    )  # shard 0: member 2 in place of 1; shard 1: roles changed; shard 2: alike
    told = lab.moved(before, after, {0: 0, 1: 1, 2: 2}, np.array([7, 5, 3]))
    assert (told.places, told.gaining, told.roles, list(told.rows)) == (1, 1, 2, [7])
    renumbered = lab.moved(before, np.array([[0, 1], [1, 0], [0, 1]]), {0: 0, 1: -1, 2: 1}, np.array([7, 5, 3]))
    assert (renumbered.places, renumbered.gaining, sorted(renumbered.rows)) == (3, 2, [5, 10])


def test_a_small_fleet_gives_all_figures_and_comes_back_to_where_it_was(monkeypatch):
    for module in (hashing, placement, moves):
        monkeypatch.setattr(module, "SHARD_COUNT", SHARDS)
    figures = {figure.what: figure for figure in lab.report(60, 6000, 5, 1)}
    assert figures["`assign` agrees on 100 shards"].value == "True"
    assert figures["the zone back: as it was before"].value == "True"
    assert figures["shards with all replicas in different zones"].value == "100.00%"
    assert {figure.how for figure in figures.values()} == {"counted", "measured", "model"}


def test_sizes_are_those_of_the_messages():
    epoch = made(1, fleet(100, 5, 3, 1))
    sizes = cost.Sizes(epoch, 1000)
    assert cost.ROW_BYTES + 2 < sizes.row < cost.ROW_BYTES + 16
    assert sizes.membership > 100 * 30 and sizes.part_offer < sizes.digest_offer < 29 * 20 + 130
    one, two = (Change(1, left=tuple(m.id for m in epoch.members[:count])) for count in (1, 2))
    assert sizes.change(two) - sizes.change(one) == len(epoch.members[1].id) + 1
    assert changed(epoch, one).epoch == 2


@pytest.mark.parametrize("story", ["plain", "restarting", "relay-dead", "zone-cut"])
def test_the_model_of_a_change_in_force_is_seeded_and_counts_every_sender_that_runs(story):
    times = in_force(300, 5, 3, story, 4)
    assert (times == in_force(300, 5, 3, story, 4)).all() and times.min() > 0
    assert len(times) == 300 or story == "restarting" and 280 < len(times) < 300
