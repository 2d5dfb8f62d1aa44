"""What is learned of idle connections: the estimate against a plain one, and against servers with a known idle life."""

import json
import random

import pytest

from linkdock.connections import choice
from linkdock.connections import lifetimes as lt
from linkdock.connections.pool import FRESH
from linkdock.options import FOLDER, OptionError, switched_on


def plain_rising(shares, weights):
    """The isotonic regression by its max-min formula: slow, and surely right."""

    def mean(i, j):
        return sum(s * w for s, w in zip(shares[i : j + 1], weights[i : j + 1], strict=True)) / sum(weights[i : j + 1])

    n = len(shares)
    return [max(min(mean(i, j) for j in range(k, n)) for i in range(k + 1)) for k in range(n)]


def test_pooling_adjacent_violators_is_the_isotonic_regression():
    luck = random.Random(2)
    for _ in range(300):
        n = luck.randint(1, 9)
        shares, weights = [luck.random() for _ in range(n)], [luck.uniform(0.1, 5) for _ in range(n)]
        assert lt.rising(shares, weights) == pytest.approx(plain_rising(shares, weights))


def learn(known, server, kind, life, uses, seed=1, fresh=0.0):
    """Calls at random ages on a server that drops what is idle for longer than `life`."""
    luck = random.Random(seed)
    for n in range(uses):
        age = luck.uniform(0.0, 4.0)
        known.used(n * 0.05, server, kind, age, age < life and luck.random() >= fresh)
        known.used(n * 0.05, server, kind, FRESH, luck.random() >= fresh)


@pytest.mark.parametrize("life", [0.7, 2.0])
def test_an_idle_life_shorter_than_told_is_learned(life):
    known = lt.Lifetimes()
    learn(known, "s", 0, life, 60)
    assert known.risk("s", 0, life + 0.5) > 0.5 and known.risk("s", 0, life / 3) < 0.05


def test_one_that_drops_nothing_is_trusted_at_every_age():
    known = lt.Lifetimes()
    learn(known, "s", 0, 99.0, 60)
    assert max(known.risk("s", 0, age) for age in (0.0, 1.0, 3.9)) < 0.005


def test_before_anything_is_known_a_connection_is_used_again():
    assert 0 <= lt.Lifetimes().risk("s", 0, 4.0) < 0.01


def test_resets_that_new_connections_have_as_well_are_no_risk_of_age():
    known = lt.Lifetimes()
    learn(known, "s", 0, 99.0, 400, fresh=0.2)
    assert max(known.risk("s", 0, age) for age in (0.2, 1.0, 3.9)) < 0.1


def test_another_server_of_the_kind_is_met_with_what_the_kind_has_shown():
    known = lt.Lifetimes()
    learn(known, "s", 3, 1.0, 100)
    assert known.risk("other", 3, 3.0) > 0.3 > 0.01 > known.risk("another", 4, 3.0)


def test_a_server_that_drops_every_third_is_a_risk_and_what_was_seen_grows_old():
    known = lt.Lifetimes()
    for n in range(90):
        known.used(n * 0.1, "s", 0, 1.0, n % 3 != 0)
        known.used(n * 0.1, "s", 0, FRESH, True)
    assert 0.2 < known.risk("s", 0, 1.1) < 0.45
    for n in range(60):
        known.used(9.0 + lt.MEMORY * 4 + n, "s", 0, 1.0, True)
    assert known.risk("s", 0, 1.1) < 0.05


def test_it_is_bounded_by_servers():
    known = lt.Lifetimes()
    for n in range(3 * lt.MOST):
        known.used(0.0, f"s{n}", 0, 1.0, True)
    assert len(known) == lt.MOST and len(known._risks) <= lt.MOST


def test_an_order_is_more_careful_than_what_may_be_repeated():
    known = choice.Choice(choice.ConnectionsSettings())
    for n in range(100):
        known.used(n * 0.1, "s", 0, 1.0, n % 20 != 0)
        known.used(n * 0.1, "s", 0, FRESH, True)
    assert known.may_use("s", 0, 1.0, careful=False) and not known.may_use("s", 0, 1.0, careful=True)


@pytest.mark.parametrize(
    "text, named",
    [
        ('{"on": true, "careful": 0}', "$.careful"),
        ('{"on": true, "bold": 2}', "$.bold"),
        ('{"on": true, "x": 1}', "x"),
        ('{"on": true, "careful": 0.5, "bold": 0.1}', "careful must be at most bold"),
        ('{"cap": 0}', "$.cap"),
        ('{"idle_life": 0.01, "round_trip": 0.05}', "idle_life must be above round_trip"),
        ('{"used": 1}', "$.used"),
        ('{"handshakes": 0}', "$.handshakes"),
        ('{"file": "../x"}', "$.file"),
    ],
)
def test_a_wrong_key_is_named(text, named):
    with pytest.raises(OptionError) as bad:
        choice.read(text.encode())
    assert named in str(bad.value) and "connections.json" in str(bad.value)


def test_the_shipped_file_is_off_and_lawful_and_its_schema_is_the_programs():
    assert switched_on("connections", {}) is None
    choice.read((FOLDER / "connections.json").read_bytes())
    assert json.loads((FOLDER / "schema" / "connections.json").read_text()) == choice.schema()
