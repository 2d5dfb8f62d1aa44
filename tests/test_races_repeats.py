"""Races of repeats: the same id again, at once, late, behind its end, and beside the late answer of an attempt."""

import pytest
from test_races_windows import WINDOW, OneSender

from linkdock.facade import CANCELLED, DELIVERED, ERROR, NOT_CONNECTED, NOT_SENT, RESET, TIMED_OUT, Item
from linkdock.interface import Effect
from linkdock.sender import ends
from linkdock.state.requests import Refused, Request, Taken


class Two(OneSender):
    """The desk on a clock of the test's own, for several messages: what each client hears, which calls begin."""

    def __init__(self, folder, effect):
        super().__init__(folder, effect)
        self.calls, self.heard, self.notices = [], [], []
        self.sender._context.notices = self
        self.sender._spawn = self.calls.append

    def post(self, notice):
        self.notices.append(notice)

    def ask(self, name="aa01", body=b"x"):
        heard = []
        request = Request(name, "0", 0, 1, 0.0, body, answer=lambda said: heard.append(said) or True)
        self.sender.ask("any", 1, 6.0, request, False, False)
        return heard

    def out(self, name="aa01"):
        """The attempt that is out, once the pace lets it go, and that has written its first byte."""
        while not (found := [attempt for request, attempt in self.sender._calls if request == name]):
            self.now += 0.05
            self.sender.beat()
        (attempt,) = found
        item = Item(name, attempt, 6.0)
        assert self.sender.may_go("s1", item)
        return item

    def close(self):
        for work in self.calls:
            work.close()


@pytest.fixture
def desk(tmp_path):
    made = []

    def make(effect=Effect.UNSAFE):
        made.append(Two(tmp_path, effect))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.mark.parametrize("effect", list(Effect))
@pytest.mark.parametrize("later", [0.0, 0.5, 4.9, 5.1, 6.5, 600.0])
def test_an_id_that_has_ended_is_never_sent_again_before_or_after_its_window(desk, effect, later):
    d = desk(effect)
    assert not d.ask() and not d.sender.beat() and len(d.calls) == 1
    d.sender.ended("s1", d.out(), DELIVERED, 0.1)
    d.sender.beat()
    d.now += later
    assert d.ask(body=b"another client's") == [Taken(known=True)]
    d.sender.beat()
    assert len(d.calls) == 1 and not d.notices


def test_what_ended_last_is_remembered_and_no_more_than_that(desk, monkeypatch):
    monkeypatch.setattr(ends, "MOST_REMEMBERED", 2)
    d = desk()
    for name in ("aa01", "aa02", "aa03"):
        d.ask(name)
        d.sender.beat()
        d.sender.ended("s1", d.out(name), DELIVERED, 0.1)
        d.sender.beat()
    assert [d.sender._ends.remembered(name) for name in ("aa01", "aa02", "aa03")] == [False, True, True]


def test_the_same_id_on_two_connections_at_once_is_one_message(desk):
    d = desk()
    first = d.ask()
    with pytest.raises(Refused):
        d.ask()  # the first is not answered yet
    d.sender.beat()
    assert first == [Taken()] and len(d.calls) == 1
    assert d.ask() == [Taken(known=True)]  # and from now on it is owed, once
    d.sender.beat()
    assert len(d.calls) == 1


@pytest.mark.parametrize("left, ends_by_notice", [(0.45, False), (0.39, True), (0.3, True), (0.1, True)])
def test_a_delivery_within_what_its_client_may_have_waited_is_ended_by_a_notice_as_well(desk, left, ends_by_notice):
    """The platform counts the time from when the client sent it, up to 0.4 s before it is read here."""
    d = desk()
    d.ask()
    d.sender.beat()
    item = d.out()
    d.now = d.sender._context.requests.get("aa01").until - left
    d.sender.ended("s1", item, DELIVERED, 0.1)
    assert [n["id"] for n in d.notices] == ["aa01"] * ends_by_notice


@pytest.mark.parametrize("how", [ERROR, RESET, TIMED_OUT, CANCELLED])
def test_an_order_that_may_have_run_is_never_sent_again_however_often_its_id_comes(desk, how):
    d = desk()
    d.ask()
    d.sender.beat()
    d.sender.ended("s1", d.out(), how, 0.1)
    d.sender.beat()
    assert d.notices == [{"id": "aa01", "status": "undeliverable"}]
    for later in (0.0, 1.0, 60.0):
        d.now += later
        assert d.ask() == [Taken(known=True)]
        d.sender.beat()
    assert len(d.calls) == 1 and len(d.notices) == 1


@pytest.mark.parametrize("effect", [Effect.SAFE, Effect.KEYED])
@pytest.mark.parametrize("written", [False, True])
def test_a_repeat_that_races_the_late_answer_of_the_first_attempt(desk, effect, written):
    """The first attempt was given up alone in a shared call, which goes on and then says that it was done."""
    d = desk(effect)
    d.ask()
    d.sender.beat()
    d.sender.ended("s1", d.out(), TIMED_OUT, 0.1)
    d.sender.beat()
    while len(d.calls) < 2:  # the repeat is on its way, and dials
        d.now += 0.01
        d.sender.beat()
    repeat = Item("aa01", 1, 5.0)
    assert not written or d.sender.may_go("s1", repeat)
    d.sender.delivered_late("aa01", d.now + 5.0)
    assert not d.sender.may_go("s1", repeat)  # from now on it is over
    d.sender.beat()
    d.sender.ended("s1", repeat, DELIVERED if written else NOT_SENT, 0.2)
    d.sender.beat()
    assert not d.notices and not d.sender._context.journal.kept and len(d.calls) == 2
    assert d.ask() == [Taken(known=True)]


def test_a_late_answer_does_not_end_what_is_over(desk):
    d = desk(Effect.SAFE)
    d.ask()
    d.sender.beat()
    d.sender.ended("s1", d.out(), DELIVERED, 0.1)
    d.sender.delivered_late("aa01", d.now + 5.0)
    d.sender.beat()
    assert not d.notices and d.sender._ends.remembered("aa01")


@pytest.mark.parametrize("how, resent", [(TIMED_OUT, {Effect.SAFE}), (NOT_CONNECTED, set(Effect))])
@pytest.mark.parametrize("effect", list(Effect))
def test_over_a_restart_what_may_have_run_goes_again_only_where_its_class_is_safe(desk, effect, how, resent):
    """When an attempt of an earlier life went out is not known: a keyed one is not trusted to be in its window."""
    d = desk(effect)
    d.ask()
    d.sender.beat()
    item = d.out()
    if how != TIMED_OUT:  # else the life ends while it is out
        d.sender.ended("s1", item, how, 0.1)
    d.sender._context.journal.close()
    d = desk(effect)
    d.sender.restore()
    for _ in range(200):
        d.now += 0.01
        d.sender.beat()
    assert bool(d.calls) is (effect in resent) and bool(d.notices) is (effect not in resent)


def test_a_repeat_in_a_shared_call_is_held_by_its_own_window_alone(desk):
    d = desk(Effect.KEYED)
    for name in ("aa01", "aa02"):
        d.ask(name)
        d.sender.beat()
    d.sender.ended("s1", d.out("aa01"), ERROR, 0.1)
    d.now += WINDOW + 0.01
    assert not d.sender.may_go("s1", Item("aa01", 1, 5.0)) and d.sender.may_go("s1", Item("aa02", 0, 5.0))
