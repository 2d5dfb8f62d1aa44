"""What may not be repeated and is begun no more while its process leaves: whose it is from then on."""

import pytest
from test_ids_of_other_processes import OneOfTwo

from linkdock.facade import Item

LATE = 1.7  # seconds after SIGTERM


class Leaving(OneOfTwo):
    """A process that leaves, and notes what it hands over."""

    def __init__(self, folder):
        super().__init__(folder)
        self.handed = []

    def hand_over(self, requests):
        self.handed += requests
        return True

    def stop(self, relieved):
        self.sender.stop_unsafe(self.now + LATE, relieved)

    def open_requests(self):
        return [request.id for request in self.sender._context.requests]


@pytest.fixture
def leaving(tmp_path):
    made = Leaving(tmp_path)
    yield made
    made.close()


def dialled(one):
    """An order whose call waits for its connection: its item."""
    one.ask()
    while not one.sender._calls:
        one.now += 0.05
        one.sender.beat()
    ((request, attempt),) = one.sender._calls
    return Item(request, attempt, 6.0)


def test_an_order_whose_connection_comes_up_late_in_an_upgrade_is_handed_over(leaving):
    # It was left to the next life, which begins when the last call of its process has ended: its notice came too late.
    item = dialled(leaving)
    leaving.stop(relieved=True)
    assert not leaving.sender.hand_over() and leaving.handed == []  # its call may still begin in time
    leaving.now += LATE
    assert not leaving.sender.may_go("s1", item)
    leaving.sender.ended("s1", item, "not sent", LATE)
    assert not leaving.passes() and leaving.handed == []
    assert not leaving.sender.hand_over() and leaving.handed == ["aa01"]
    assert leaving.open_requests() == [] and leaving.sender.open() == 0


def test_an_order_that_is_decided_on_late_in_an_upgrade_is_handed_over(leaving):
    leaving.ask()
    leaving.stop(relieved=True)
    leaving.now += LATE
    assert not leaving.passes()
    assert not leaving.sender.hand_over() and leaving.handed == ["aa01"]


def test_an_order_that_could_not_be_handed_over_is_tried_again_at_the_next_look(leaving):
    item = dialled(leaving)
    leaving.stop(relieved=True)
    leaving.now += LATE
    assert not leaving.sender.may_go("s1", item)
    leaving.sender.ended("s1", item, "not sent", LATE)
    give, leaving.hand_over = leaving.hand_over, lambda requests: False  # the disk is full
    assert not leaving.sender.hand_over() and leaving.open_requests() == ["aa01"] and not leaving.passes()
    leaving.hand_over = give
    assert not leaving.sender.hand_over() and leaving.handed == ["aa01"]


def test_an_order_that_is_held_back_with_no_other_process_waits_in_the_journal(leaving):
    item = dialled(leaving)
    leaving.stop(relieved=False)
    leaving.now += LATE
    assert not leaving.sender.may_go("s1", item)
    leaving.sender.ended("s1", item, "not sent", LATE)
    assert leaving.open_requests() == [] and leaving.sender.open() == 1
    assert set(leaving.sender._context.journal.kept) == {"aa01"}
