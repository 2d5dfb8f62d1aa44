"""Which connections are closed when there are too many: decisions alone, on a clock of their own."""

import random

from linkdock.protocol.connection_table import (
    BULK_DIVISOR,
    FIRST_COMMAND_S,
    LEAST_IDLE_S,
    ConnectionState,
    ConnectionTable,
)

ANSWERING, PENALISED, READING, IDLE = ConnectionState


def with_message(table, now):
    entry = table.add(now)
    table.set_state(entry, ANSWERING, now)
    table.count_message(entry)
    table.set_state(entry, IDLE, now)
    return entry


def without(table, now, state=IDLE):
    entry = table.add(now)
    table.set_state(entry, ANSWERING, now)
    table.set_state(entry, state, now)
    return entry


def test_those_without_a_message_go_before_those_with_one_however_long_idle():
    table = ConnectionTable(8, 8)
    usual = [with_message(table, n * 0.1) for n in range(3)]
    pinged, silent = without(table, 0.5), table.add(0.1)
    erred = without(table, 0.6, PENALISED)
    useless, rest = table.eviction_candidates(1.0)
    assert useless == [erred, silent, pinged] and rest == usual


def test_a_connection_just_made_is_missed_more_than_one_that_has_said_nothing_for_long():
    table = ConnectionTable(8, 8)
    silent, pinged = table.add(0.0), without(table, 0.9)
    fresh = table.add(1.0)
    useless, rest = table.eviction_candidates(1.0 + FIRST_COMMAND_S / 2)
    assert useless == [silent, pinged] and rest == [fresh]
    assert fresh in table.eviction_candidates(1.1 + FIRST_COMMAND_S)[0]


def test_one_whose_command_is_being_answered_is_never_named():
    table = ConnectionTable(4, 4)
    busy = table.add(0.0)
    table.set_state(busy, ANSWERING, 0.0)
    assert table.eviction_candidates(100.0) == ([], [])


def test_idle_ones_beyond_those_kept_go_the_longest_idle_first():
    table = ConnectionTable(100, 40)  # 10 may lie idle
    entries = [with_message(table, n * 0.01) for n in range(15)]
    now = 0.15 + LEAST_IDLE_S
    assert table.excess_idle(now) == entries[:5]
    table.set_state(entries[0], ANSWERING, now)
    table.set_state(entries[0], IDLE, now)  # used again: now the youngest
    assert table.excess_idle(now) == entries[1:6]
    assert ConnectionTable(100, 40).excess_idle(now) == []


def test_none_goes_as_one_too_many_before_it_has_rested():
    table = ConnectionTable(100, 40)
    for _ in range(30):
        with_message(table, 1.0)
    assert table.excess_idle(1.0 + LEAST_IDLE_S / 2) == []
    assert len(table.excess_idle(1.0 + LEAST_IDLE_S)) == 20


def test_bulk_is_a_small_part_of_the_places():
    assert ConnectionTable(160, 80).bulk_size() == 160 // BULK_DIVISOR and ConnectionTable(4, 2).bulk_size() == 1


def test_places_are_given_back_whatever_happened_on_them():
    luck, table, here, now = random.Random(3), ConnectionTable(1000, 300), [], 0.0
    for _ in range(5000):
        now += 0.001
        what = luck.random()
        if what < 0.3 or not here:
            here.append(table.add(now))
        elif what < 0.5:
            table.remove(here.pop(luck.randrange(len(here))))
        elif what < 0.9:
            table.set_state(luck.choice(here), luck.choice((ANSWERING, PENALISED, READING, IDLE)), now)
        else:
            table.count_message(luck.choice(here))
        useless, rest = table.eviction_candidates(now)
        assert len(table) == len(here)
        assert len(set(useless + rest)) == len(useless + rest) == sum(p.state != ANSWERING for p in here)
    for entry in here:
        table.remove(entry)
    assert len(table) == 0 and table.eviction_candidates(now) == ([], [])
