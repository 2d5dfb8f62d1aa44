"""Who keeps a place at the door: decisions alone, on a clock of their own."""

import random

from linkdock.protocol.door import BAD, BEGUN, BULK, BUSY, FRESH, IDLE, REST, Door


def with_message(door, now):
    place = door.enter(now)
    door.put(place, BUSY, now)
    door.took(place)
    door.put(place, IDLE, now)
    return place


def without(door, now, state=IDLE):
    place = door.enter(now)
    door.put(place, BUSY, now)
    door.put(place, state, now)
    return place


def test_those_without_a_message_go_before_those_with_one_however_long_idle():
    door = Door(8, 8)
    usual = [with_message(door, n * 0.1) for n in range(3)]
    pinged, silent = without(door, 0.5), door.enter(0.1)
    erred = without(door, 0.6, BAD)
    useless, rest = door.least_missed(1.0)
    assert useless == [erred, silent, pinged] and rest == usual


def test_a_connection_just_made_is_missed_more_than_one_that_has_said_nothing_for_long():
    door = Door(8, 8)
    silent, pinged = door.enter(0.0), without(door, 0.9)
    fresh = door.enter(1.0)
    useless, rest = door.least_missed(1.0 + FRESH / 2)
    assert useless == [silent, pinged] and rest == [fresh]
    assert fresh in door.least_missed(1.1 + FRESH)[0]


def test_one_whose_command_is_being_answered_is_never_named():
    door = Door(4, 4)
    busy = door.enter(0.0)
    door.put(busy, BUSY, 0.0)
    assert door.least_missed(100.0) == ([], [])


def test_idle_ones_beyond_those_kept_go_the_longest_idle_first():
    door = Door(100, 40)  # 10 may lie idle
    places = [with_message(door, n * 0.01) for n in range(15)]
    now = 0.15 + REST
    assert door.too_many(now) == places[:5]
    door.put(places[0], BUSY, now)
    door.put(places[0], IDLE, now)  # used again: now the youngest
    assert door.too_many(now) == places[1:6]
    assert Door(100, 40).too_many(now) == []


def test_none_goes_as_one_too_many_before_it_has_rested():
    door = Door(100, 40)
    for _ in range(30):
        with_message(door, 1.0)
    assert door.too_many(1.0 + REST / 2) == []
    assert len(door.too_many(1.0 + REST)) == 20


def test_bulk_is_a_small_part_of_the_places():
    assert Door(160, 80).bulk() == 160 // BULK and Door(4, 2).bulk() == 1


def test_places_are_given_back_whatever_happened_on_them():
    luck, door, here, now = random.Random(3), Door(1000, 300), [], 0.0
    for _ in range(5000):
        now += 0.001
        what = luck.random()
        if what < 0.3 or not here:
            here.append(door.enter(now))
        elif what < 0.5:
            door.leave(here.pop(luck.randrange(len(here))))
        elif what < 0.9:
            door.put(luck.choice(here), luck.choice((BUSY, BAD, BEGUN, IDLE)), now)
        else:
            door.took(luck.choice(here))
        useless, rest = door.least_missed(now)
        assert len(door) == len(here)
        assert len(set(useless + rest)) == len(useless + rest) == sum(p.state != BUSY for p in here)
    for place in here:
        door.leave(place)
    assert len(door) == 0 and door.least_missed(now) == ([], [])
