"""The membership: what it believes, what it refuses, what it costs; and stories on a virtual clock."""

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkdock.cluster.interface import (
    Ack,
    AnyPacket,
    Heard,
    Join,
    Nack,
    Peer,
    Ping,
    PingFor,
    Post,
    Rumour,
    Standing,
    Welcome,
    name_of,
)
from linkdock.cluster.members.health import Suspicion
from linkdock.cluster.members.rumours import HIGHEST, MOST_PACKET, Rumours
from linkdock.cluster.members.settings import MembersSettings
from linkdock.cluster.members.swim import Swim
from linkdock.lab.virtual_members_bugs import BUGS, found
from linkdock.lab.virtual_members_stories import STORIES

ALIVE, SUSPECT, FAILED, LEFT = Standing


def peer(name, life="1", port=7000):
    return Peer(f"{name}~{life}", "zone-a", "", f"10.0.0.{int(name[1:]) % 250 + 1}", port)


def machine(*others, **given):
    """One process with the others known, joined at 0."""
    made = Swim(peer("p0"), MembersSettings(**given), seed=7)
    made.join(0.0, [])
    for name in others:
        made.receive(0.0, Ack(peer(name), 0, 1))
    return made


def say(made, now, *rumours, by="p9"):
    return made.receive(now, Ack(peer(by), 0, 1, rumours))


def standing(made, name, life="1"):
    told = made.view().get(f"{name}~{life}")
    return told and told.standing


def posts(out, kind=object):
    return [one for one in out if isinstance(one, Post) and isinstance(one.packet, kind)]


def heard(out):
    return [one for one in out if isinstance(one, Heard)]


def run(made, until):
    out = []
    while made.next_due() <= until:
        out += made.tick(made.next_due())
    return out


# --- Bad packets.

peers = st.builds(
    Peer,
    st.sampled_from(["p0~1", "p0~2", "p1~1", "p1~2", "p2~1", "", "~", "x", "é~1", "p~" + "1" * 200, "ghost~3"]),
    st.sampled_from(["a", "", "z" * 100, "a b"]),
    st.sampled_from(["", "r", "r" * 99]),
    st.sampled_from(["10.0.0.1", "10.0.0.256", "::1", "host", "", "127.0.0.1\n"]),
    st.sampled_from([0, 1, 7000, 65535, 65536, -1]),
    st.sampled_from([0, 1, 2, 1 << 40]),
)
good = st.builds(
    Peer,
    st.sampled_from(["p0~1", "p0~2", "p1~1", "p1~2", "p2~1", "ghost~3"]),
    st.just("a"),
    st.just(""),
    st.just("10.0.0.1"),
    st.just(7000),
)
numbers = st.integers(-(1 << 63), (1 << 64) - 1) | st.integers(0, 3) | st.sampled_from([HIGHEST - 1, HIGHEST])
rumours = st.builds(Rumour, peers | good, st.sampled_from(Standing), numbers)
texts = st.sampled_from(["p0~1", "p1~1", "p2~1", "", "x" * 1200])
heads = (peers | good, numbers, numbers, st.lists(rumours, max_size=5).map(tuple), texts)
packets = st.one_of(
    *(st.builds(kind, *heads) for kind in (Ping, PingFor, Ack, Nack)),
    *(st.builds(kind, *heads[:4]) for kind in (Join, Welcome)),
)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 5), packets), max_size=25))
def test_no_decoded_packet_raises_or_breaks_what_must_hold(told):
    made, now = machine("p1", "p2", most_members=5), 0.0
    for wait, packet in told:
        now += wait
        out = made.receive(now, msgspec.msgpack.decode(msgspec.msgpack.encode(packet), type=AnyPacket))
        out += run(made, now)
        assert all(len(msgspec.msgpack.encode(post.packet)) <= MOST_PACKET for post in posts(out))
        view = made.view()
        assert len(view) <= 6 and view["p0~1"].standing is ALIVE and view["p0~1"].incarnation <= HIGHEST
        live = [name_of(one) for one, known in view.items() if known.standing < FAILED]
        assert len(live) == len(set(live))
        assert all(post.seed or post.to in view for post in posts(out))


@pytest.mark.parametrize(
    "bad",
    [
        {"id": ""},
        {"id": "p5"},
        {"id": "p5~"},
        {"id": "p5~1\n"},
        {"id": "p" * 70 + "~1"},
        {"zone": ""},
        {"zone": "z" * 49},
        {"port": 0},
        {"port": 65536},
        {"host": "::1"},
        {"host": "localhost"},
        {"host": "1.2.3.256"},
        {"host": "1.2.3"},
    ],
)
def test_an_unsound_peer_is_no_member(bad):
    made = machine("p1")
    unsound = msgspec.structs.replace(peer("p5"), **bad)
    say(made, 1.0, Rumour(unsound, ALIVE, 0), by="p1")
    assert not made.receive(1.0, Join(unsound, 0, 5))
    assert set(made.view()) == {"p0~1", "p1~1"}
    with pytest.raises(ValueError):
        Swim(unsound)


def test_a_packet_in_my_name_is_dropped_whole():
    made = machine("p1")
    assert made.receive(1.0, Ping(peer("p0"), 9, 1, (Rumour(peer("p1"), LEFT, 5),), to="p0~1")) == []
    assert standing(made, "p1") is ALIVE


# --- Words against words.


@pytest.mark.parametrize("ill", [SUSPECT, FAILED, LEFT])
@pytest.mark.parametrize(
    ("said", "risen"), [(0, 1), (41, 42), (HIGHEST - 1, HIGHEST), (HIGHEST, 0), (-1, 0), (1 << 62, 0)]
)
def test_ill_words_of_me_are_refuted_by_a_higher_incarnation_that_is_bounded(ill, said, risen):
    made = machine("p1")
    say(made, 1.0, Rumour(peer("p0"), ill, said))
    assert made.view()["p0~1"] == Rumour(peer("p0"), ALIVE, risen)
    answer = made.receive(1.0, Ping(peer("p1"), 0, 5, to="p0~1"))
    assert posts(answer, Ack)[0].packet.incarnation == risen


def test_an_earlier_run_of_my_life_is_outdone():
    made = machine("p1")
    say(made, 1.0, Rumour(peer("p0"), ALIVE, 7))
    assert made.incarnation == 8


def test_a_stale_or_replayed_word_does_not_bring_back_a_failed_member():
    made = machine("p1", "p2", "p3")
    say(made, 0.0, Rumour(peer("p1"), SUSPECT, 0), by="p2")
    run(made, 60.0)
    assert standing(made, "p1") is FAILED
    for packet in (Ack(peer("p1"), 0, 1), Ping(peer("p1"), 0, 1, to="p0~1"), Join(peer("p1"), 0, 1)):
        made.receive(61.0, packet)
        say(made, 61.0, Rumour(peer("p1"), ALIVE, 0), by="p2")
        assert standing(made, "p1") is FAILED
    assert heard(made.receive(62.0, Ack(peer("p1"), 1, 1))) == [Heard(peer("p1"), ALIVE, 1, returned=True)]


def test_a_word_of_failure_leaves_time_to_speak_up():
    made = machine("p1", "p2", "p3", "p4")
    out = say(made, 1.0, Rumour(peer("p1"), FAILED, 0), by="p2")
    assert [one.standing for one in heard(out)] == [SUSPECT]
    assert heard(say(made, 2.0, Rumour(peer("p1"), ALIVE, 1), by="p3")) == [Heard(peer("p1"), ALIVE, 1)]
    say(made, 3.0, Rumour(peer("p1"), SUSPECT, 1), by="p2")
    run(made, 6.0)
    say(made, 6.0, Rumour(peer("p1"), FAILED, 1), by="p3")
    assert standing(made, "p1") is SUSPECT
    run(made, 7.5)
    say(made, 7.5, Rumour(peer("p1"), FAILED, 1), by="p4")
    assert standing(made, "p1") is FAILED


def test_leaving_is_told_apart_from_failing_and_can_be_undone():
    made, leaver = machine("p1", "p2"), Swim(peer("p1"), seed=3)
    leaver.join(0.0, [])
    leaver.receive(0.0, Ack(peer("p0"), 0, 1))
    good_bye = posts(leaver.leave(5.0), Ping)
    assert heard(made.receive(5.0, good_bye[0].packet)) == [Heard(peer("p1"), LEFT, 0)]
    answer = posts(leaver.receive(5.1, Ping(peer("p0"), 0, 4, to="p1~1")), Ack)[0].packet
    assert answer.rumours[0].standing is LEFT and leaver.next_due() == float("inf")
    back = posts(leaver.join(9.0, ["10.0.0.1:7000"]), Join)[0]
    assert back.seed and heard(made.receive(9.0, back.packet)) == [Heard(peer("p1"), ALIVE, 1, returned=True)]


def test_a_new_life_ends_the_old_one_for_good():
    made = machine("p1", "p2")
    say(made, 0.0, Rumour(peer("p1"), ALIVE, 5), by="p2")
    asked = posts(made.receive(1.0, Join(peer("p1", "2"), 0, 8)), Welcome)
    assert [one.to for one in asked] == ["p1~2"] and standing(made, "p1") is ALIVE
    newcomer = Swim(peer("p1", "2"), seed=1)
    newcomer.join(1.0, [])
    newcomer.receive(1.0, asked[0].packet)
    assert newcomer.incarnation == 6
    out = made.receive(1.1, Ack(peer("p1", "2"), 6, 1))
    assert heard(out) == [Heard(peer("p1"), FAILED, 5), Heard(peer("p1", "2"), ALIVE, 6)]
    for incarnation in (5, 6, 7, HIGHEST):
        made.receive(2.0, Ping(peer("p1"), incarnation, 1, to="p0~1"))
        say(made, 2.0, Rumour(peer("p1"), ALIVE, incarnation), by="p2")
        assert (standing(made, "p1"), standing(made, "p1", "2")) == (FAILED, ALIVE)


# --- Questions and answers.


def probe(made):
    """The next probe's post and time."""
    while True:
        at = made.next_due()
        for post in posts(made.tick(at), Ping):
            if post.packet.number == (made._open.probe and made._open.probe.number):
                return at, post


def test_only_the_answer_to_the_open_question_counts():
    made = machine("p1")
    at, first = probe(made)
    made.receive(at + 0.1, Ack(peer("p1"), 0, first.packet.number, target="p1~1"))
    at, second = probe(made)
    assert second.packet.number != first.packet.number
    made.receive(at + 0.1, Ack(peer("p1"), 0, first.packet.number, target="p1~1"))
    made.receive(at + 0.1, Ack(peer("p1"), 0, second.packet.number, target="p2~1"))
    run(made, at + 1.0)
    assert standing(made, "p1") is SUSPECT


@pytest.mark.parametrize(("nacked", "health"), [(3, 0), (2, 1), (0, 3)])
def test_helpers_are_asked_and_their_silence_is_held_against_myself(nacked, health):
    made = machine("p1", "p2", "p3", "p4", "p5")
    at, asked = probe(made)
    out = made.tick(at + 0.4)
    helpers = posts(out, PingFor)
    assert len({one.to for one in helpers}) == 3 and asked.to not in {one.to for one in helpers}
    for post in helpers[:nacked]:
        made.receive(at + 0.8, Nack(peer(name_of(post.to)), 0, asked.packet.number, target=asked.to))
    run(made, at + 1.0)
    assert made.view()[asked.to].standing is SUSPECT and made.health() == health


def test_a_helper_asks_passes_on_the_answer_or_says_that_there_was_none():
    made = machine("p1", "p2")
    for at, answered in ((1.0, True), (3.0, False)):
        run(made, at)
        (ping,) = posts(made.receive(at, PingFor(peer("p1"), 0, 77, target="p2~1")), Ping)
        assert ping.to == ping.packet.to == "p2~1" and ping.packet.number != 77
        if answered:
            out = made.receive(at + 0.2, Ack(peer("p2"), 0, ping.packet.number, target="p2~1"))
            assert [(one.to, one.packet.number, one.packet.target) for one in posts(out, Ack)] == [("p1~1", 77, "p2~1")]
        nacks = posts(run(made, at + 0.35), Nack)
        assert [(one.to, one.packet.number) for one in nacks] == ([] if answered else [("p1~1", 77)])


def test_pings_for_others_are_bounded():
    made = machine("p1", "p2", most_relays=4)
    out = [made.receive(1.0, PingFor(peer("p1"), 0, n, target="p2~1")) for n in range(10)]
    assert sum(len(posts(one, Ping)) for one in out) == 4


def test_a_ping_for_another_life_is_not_answered_and_a_suspect_hears_of_it_first():
    made = machine("p1", "p2")
    assert not posts(made.receive(1.0, Ping(peer("p1"), 0, 5, to="p0~other")))
    say(made, 1.0, Rumour(peer("p1"), SUSPECT, 0), by="p2")
    (answer,) = posts(made.receive(1.1, Ping(peer("p1"), 0, 5, to="p0~1")), Ack)
    assert answer.packet.rumours[0] == Rumour(peer("p1"), SUSPECT, 0)


def test_time_away_counts_against_nobody_else():
    made = machine("p1", "p2", "p3")
    at, asked = probe(made)
    made.tick(at + 30.0)
    assert made.view()[asked.to].standing is ALIVE and made.health() == 1
    made.receive(at + 30.1, Ack(peer(name_of(asked.to)), 0, asked.packet.number, target=asked.to))
    run(made, at + 31.0)
    assert made.view()[asked.to].standing is ALIVE


# --- Time, size, bounds.


def test_suspicion_shrinks_with_each_independent_finding():
    told = Suspicion(0.0, 100, MembersSettings(), "p1")
    times = [told.until()]
    for by in ("p1", "p2", "p2", "p3", "p4", "p5"):
        told.confirm(by)
        times.append(told.until())
    assert times == pytest.approx([48, 48, 28, 28, 16.3, 8, 8], abs=0.1)


def test_rumours_are_told_least_told_first_a_bounded_number_of_times():
    queue = Rumours(2.0)
    for n in range(60):
        queue.put(Rumour(peer(f"p{n}"), ALIVE, 0))
    size = len(msgspec.msgpack.encode(Rumour(peer("p10"), ALIVE, 0)))
    told = []
    while len(queue):
        took = list(queue.take(10 * size, 64, set()))
        assert 0 < len(took) <= 11
        told += [one.peer.id for one in took]
    assert {told.count(f"p{n}~1") for n in range(60)} == {12} and len(set(told[:60])) >= 59


def test_the_table_is_bounded_and_the_dead_make_room_but_not_for_the_dead():
    made = machine(*(f"p{n}" for n in range(1, 5)), most_members=8)
    for n in range(20, 60):
        say(made, 1.0, Rumour(peer(f"p{n}"), FAILED, 3), by="p1")
    assert len(made.view()) == 5 + 2 and not made.receive(1.0, Ack(peer("p1"), 0, 1, (Rumour(peer("p99"), LEFT, 1),)))
    for n in range(100, 120):
        say(made, 2.0, Rumour(peer(f"p{n}"), ALIVE, 0), by="p1")
    view = made.view()
    assert len(view) == 9 and all(one.standing is ALIVE for one in view.values())


def test_joins_back_off_until_welcomed_and_are_answered_at_a_bounded_rate():
    made = Swim(peer("p0"), seed=1)
    out = [(0.0, one) for one in posts(made.join(0.0, ["10.0.0.9:7000", "10.0.0.1:7000"]), Join)]
    while made.next_due() <= 40:
        now = made.next_due()
        out += [(now, one) for one in posts(made.tick(now), Join)]
    assert {one.to for _, one in out} == {"10.0.0.9:7000"} and all(one.seed for _, one in out)
    assert 8 <= len(out) <= 22
    seed = machine(*(f"p{n}" for n in range(1, 200)))
    sent = [post for n in range(500) for post in posts(seed.receive(1.0, Join(peer("p9"), 0, n)))]
    assert len(sent) <= 20 * 4 and len({one.peer.id for post in sent[:4] for one in post.packet.rumours}) > 60


# --- Stories.


@pytest.mark.parametrize(
    ("story", "size", "seed"),
    [
        ("crash", 8, 1),
        ("cut", 9, 2),
        ("one-way", 9, 3),
        ("returns", 7, 4),
        ("twin", 8, 5),
        ("lies", 8, 6),
        ("forget", 8, 7),
        ("all", 8, 8),
        ("idle", 3, 9),
        ("slow", 4, 10),
    ],
)
def test_a_story_keeps_every_check(story, size, seed):
    assert STORIES[story](seed, size, MembersSettings(), Swim)["broken"] == {}


def test_one_seed_is_one_schedule():
    first, again, other = (STORIES["crash"](seed, 6, MembersSettings(), Swim) for seed in (3, 3, 4))
    assert first == again != other


@pytest.mark.parametrize("name", ["not-raised", "any-number", "old-life", "no-retry", "endless-rumours", "dead-wins"])
def test_a_planted_bug_is_found_by_its_check(name):
    assert found(replace(BUGS[name], size=7), range(1, 3)) is not None
