"""Settings at their bounds: each is met with a clear error that names its key, or with the right behaviour."""

import json
import math
import struct

import pytest
from peers import settings as told_settings

from linkdock import interface as i
from linkdock import wire
from linkdock.decisions import Relay
from linkdock.drill import Host
from linkdock.errors import exit_line
from linkdock.service import config

R, INF, HUGE = i.Result, math.inf, 10**400


# --- What is told to a sender.


def told(path=(), value=None):
    """The configuration of the stories with one value in another's place."""
    whole = json.loads(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "seed": "ff",
                "settings": told_settings(),
            }
        )
    )
    *parts, last = path or ("name",)
    inner = whole
    for key in parts:
        inner = inner.setdefault(key, {}) if isinstance(inner, dict) else inner[key]
    if path:
        inner[last] = value
    return whole


GRADE = ("settings", "grades", 0)
WRONG = [
    *((GRADE + ("aim",), v, r"grades\[0\].aim") for v in (0, -1, "1", INF, math.nan, HUGE, True, None)),
    *((GRADE + ("hard-limit",), v, r"grades\[0\].hard-limit") for v in (0, INF, HUGE)),
    (GRADE + ("name",), "order", "names of their own"),
    (GRADE + ("group",), "cell", r"grades\[0\].group"),
    *((("settings", "rules", key), v, key) for key in ("fall-multiple", "tip-after") for v in (0, INF, HUGE, "")),
    *((("settings", "rules", key), v, key) for key in ("cold", "cold-share", "drain-grace") for v in (-1, INF)),
    *((("settings", "extra", "zone-fee"), [v], r"zone-fee\[0\]") for v in (None, "x", [1], HUGE, INF, math.nan)),
    *((("settings", "extra", "separate-routes"), [v], r"separate-routes\[0\]") for v in ("false", None, 2)),
    *((("settings", "extra", "bundle-max"), [1, v], r"bundle-max\[1\]") for v in (True, None, 0, "1")),
    *((("settings", "limits", key), v, key) for key in ("max-open", "max-attempts") for v in (0, HUGE, 1.5, None)),
    (("settings", "extra", "calls-out"), 0, "calls-out"),
    (("settings", "limits", "connect-timeout"), 0, "connect-"),
    (("settings", "projects"), [None], r"projects\[0\]"),
    (("settings", "grades"), [], "grades"),
    (("settings", "tick"), 0, "tick"),
    (("limits", "memory_mb"), INF, "memory_mb"),
    (("settings",), None, "settings"),
    (("discovery",), "a:" + "9" * 5000, "discovery"),
    (("seed",), "", "seed"),
]


@pytest.mark.parametrize("path, value, key", WRONG, ids=range(len(WRONG)))
def test_a_setting_that_cannot_be_right_is_named_with_its_code(tmp_path, path, value, key):
    with pytest.raises(config.ConfigError, match=key) as bad:
        config.check(told(path, value), tmp_path)
    assert "LD-CONFIG" in exit_line(bad.value) and len(str(bad.value)) < 200


@pytest.mark.parametrize(
    "text",
    [
        '{"settings": ' + "[" * 100_000,
        "[",
        '{"seed": ' + "1" * 5000 + "}",
        "null",
        "\xff",
        json.dumps(told(("settings", "extra", "zone-fee"), [None])),
        json.dumps(told(GRADE + ("aim",), HUGE)),
        json.dumps(told(("discovery",), "a:" + "9" * 5000)),
    ],
    ids=range(8),
)
def test_a_spoilt_file_stops_a_start_with_its_code_and_leaves_a_reload_as_it_was(tmp_path, text):
    path = tmp_path / "relay.json"
    environ = {"RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)}
    path.write_text(json.dumps(told()))
    old = config.load(environ)
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(config.ConfigError) as bad:
        config.load(environ)
    assert "LD-CONFIG" in exit_line(bad.value)
    assert config.reload(old, environ) is old


OPTIONAL = [
    ("settings", *path)
    for path in (
        ("rules", "cold"),
        ("rules", "cold-share"),
        ("rules", "fall-multiple"),
        ("rules", "tip-after"),
        ("tariffs",),
        ("rules", "settle-after-doubt"),
        ("rules", "drain-grace"),
        ("limits", "max-retry-after"),
        ("limits", "cancel"),
        ("limits", "connect-timeout"),
        ("limits", "idle-close"),
        ("extra", "zone-fee"),
        ("extra", "bundle-max"),
        ("tick",),
        ("weights",),
        ("discovery",),
        ("projects",),
        ("zones",),
        ("machine-types",),
        ("report",),
        ("over-share-worth",),
        ("balancers",),
        ("grades", 0, "window"),
        ("grades", 0, "group"),
        ("grades", 0, "late-share"),
    )
]


@pytest.mark.parametrize("path", OPTIONAL, ids=lambda path: ".".join(map(str, path)))
def test_null_is_the_same_as_a_missing_key(tmp_path, path):
    null, missing = told(path), told(path)
    inner = missing
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    assert config.check(null, tmp_path) == config.check(missing, tmp_path)
    assert wire.read_settings(json.dumps(null["settings"]).encode()) == wire.read_settings(
        json.dumps(missing["settings"]).encode()
    )


def test_every_default_is_finite_and_no_tick_is_longer_than_a_client_waits(tmp_path):
    bare = {
        "grades": [{"name": "one", "idempotency": "idempotency_key", "aim": 1, "hard-limit": 1}],
        "limits": {"max-open": 1, "max-attempts": 1},
        "extra": {"calls-out": 1},
        "rules": {},
    }
    for read in (
        config.check({**told(), "settings": bare}, tmp_path).settings,
        wire.read_settings(json.dumps(bare).encode()),
    ):
        for name in i.Settings.__slots__:
            value = getattr(read, name)
            assert not isinstance(value, float) or 0 <= value <= 60, name
        assert not (read.cancel or read.second_copies or read.retry_after or read.probes or read.told_weights)
        assert read.classes[0].window == 0.0  # told of no window, it repeats nothing that may have run
    assert config.check(told(("settings", "tick"), 1e9), tmp_path).settings.tick <= 0.1


BARE = {
    "grades": [{"idempotency": "read_like", "aim": 1.0, "hard-limit": 6.0}],
    "extra": {"calls-out": 5},
    "limits": {"max-open": 50, "max-attempts": 4},
    "rules": {},
}


@pytest.mark.parametrize(
    "more, named",
    [
        ({"rules": {"tip-after": 0}}, "tip_after"),
        ({"rules": {"fall-multiple": 0}}, "fall_multiple"),
        ({"grades": []}, "classes"),
        ({"grades": [{**BARE["grades"][0], "aim": 0}]}, "aim"),
        ({"grades": [{**BARE["grades"][0], "hard-limit": INF}]}, "deadline"),
        ({"me": 3}, "me"),
        ({"grades": [{**BARE["grades"][0], "group": "cell"}]}, "group"),
        ({"grades": [5]}, ""),
        ({"extra": {"calls-out": INF}}, ""),
        ({"report": {"fields": [1]}}, "fields"),
        ({"report": 5}, ""),
        ({"grades": [{**BARE["grades"][0], "idempotency": []}]}, ""),
    ],
)
def test_spoilt_settings_on_the_wire_are_an_error_with_its_code(more, named):
    text = json.dumps({**BARE, **more}).encode()
    made = struct.pack("<BIQII", 0, 9, 5, 0, len(text)).ljust(48, b"\0")
    with pytest.raises(wire.WireError, match=named) as bad:
        Host().reply(struct.pack("<dI", 1.0, 1) + made + text)
    assert bad.value.code == "LD-WIRE"


# --- The decisions at the bounds of what they can be told.


def settings(*classes, **more):
    """One class unless told otherwise: 1 s of aim, 6 s of time."""
    given = dict(
        classes=list(classes) or [i.MessageClass(i.Effect.SAFE, 1.0, 6.0)],
        kinds=[i.DestinationKind()],
        slots=4,
        max_open=20,
        max_attempts=6,
        relays=2,
        cancel=True,
        retry_after=True,
        max_retry_after=3.0,
        fall_multiple=1.5,
        tip_after=2.0,
        cold_share=0.3,
        cold_time=10.0,
    )
    return i.Settings(**{**given, **more})


def relay(*classes, hosts=("a",), seed=1, **more):
    """One that has its list at 1 s."""
    made = Relay(settings(*classes, **more), seed)
    made.handle(1.0, [i.Hosts(i.ListKind.FULL, [i.HostEntry(h, 1, weight=200.0) for h in hosts])])
    return made


def sent(acts):
    return [a.id for a in acts if isinstance(a, i.Send)]


def over(acts):
    return [a.id for a in acts if isinstance(a, i.Refuse | i.Fail)]


@pytest.mark.parametrize("room", [1, 2, 3, 19, 20])
def test_a_store_of_any_size_takes_a_message_on(room):
    acts = relay(max_open=room, slots=1).handle(1.0, [i.Message(1, 0, 1, 6.0)])
    assert sent(acts) == [1] and not over(acts)


@pytest.mark.parametrize("halves", [False, True])
@pytest.mark.parametrize("aim", [0.5, 1.0, 3.0])
def test_a_time_beyond_its_class_s_deadline_never_divides_by_zero_nor_is_worth_less_than_nothing(aim, halves):
    made = Relay(settings(i.MessageClass(i.Effect.SAFE, aim, 1.0, late_share=0.1), halves=halves), 1)
    made.handle(1.0, [i.Message(1, 0, 1, 2.0)])
    m = made.msgs[1]
    assert all(0.0999 * m.worth <= made.worth(m, 1.0 + at / 10) <= m.worth for at in range(20))
    assert sent(made.handle(2.5, [i.Hosts(i.ListKind.FULL, [i.HostEntry("a", 1)])])) == [1]


def test_a_server_that_is_listed_for_another_destination_serves_the_first_no_more():
    made = relay()
    assert sent(made.handle(1.0, [i.Message(1, 0, 1, 6.0)])) == [1]
    acts = made.handle(
        2.0,
        [
            i.Hosts(i.ListKind.DELTA, [i.HostEntry("a", 2, weight=200.0)]),
            i.Message(2, 0, 1, 6.0),
            i.Message(3, 0, 2, 6.0),
        ],
    )
    assert sent(acts) == [3]  # 1 had been sent before it moved, and ends as any other
    made.handle(2.1, [i.Outcome(1, 0, "a", R.OK, 1.1, True), i.Outcome(3, 0, "a", R.OK, 0.1, True)])
    assert made.busy == 0 and not made.out
    for at in range(3, 80):
        made.handle(float(at), [])
    assert list(made.dests) == [2] and made.links["a"].ready and made.kinds[0][0] == 1
    assert sent(made.handle(80.0, [i.Message(4, 0, 1, 6.0), i.Message(5, 0, 2, 6.0)])) == [5]


def test_a_server_that_is_listed_as_of_another_kind_is_taken_as_such():
    made = relay(told_weights=False, kinds=[i.DestinationKind(), i.DestinationKind(batch=3)])
    made.handle(1.0, [i.Message(1, 0, 1, 6.0)])
    acts = made.handle(2.0, [i.Hosts(i.ListKind.DELTA, [i.HostEntry("a", 1, kind=1)]), i.Message(2, 0, 1, 6.0)])
    assert sent(acts) == [2]
    made.handle(2.1, [i.Outcome(1, 0, "a", R.OK, 1.1, True), i.Outcome(2, 0, "a", R.OK, 0.1, True)])
    assert sent(made.handle(3.0, [i.Message(3, 0, 1, 6.0)])) == [3]


def test_the_first_trial_of_a_stopped_server_does_not_wait_for_the_slowest_class():
    made, now = relay(i.MessageClass(i.Effect.SAFE, 30.0, 60.0), i.MessageClass(i.Effect.SAFE, 0.5, 1.0)), 1.0
    for mid in range(1, 5):
        made.handle(now, [i.Message(mid, 1, 1, 1.0)])
        made.handle(now + 0.1, [i.Outcome(mid, 0, "a", R.RESET, 0.1, True)])
        now += 1.0
    link = made.links["a"]
    assert link.down_at is not None and link.route.trial_at - link.down_at <= 1.5 * made.s.tip_after


def test_a_key_rests_after_doubt_also_for_a_message_that_an_earlier_life_had_tried():
    made = relay(i.MessageClass(i.Effect.SAFE, 1.0, 16.0, in_order=True), order_rest=1.0)
    held = [i.Message(mid, 0, 1, 16.0, key=7, orphaned=True, attempts=1) for mid in (1, 2)]
    assert sent(made.handle(1.0, held)) == [1]
    assert sent(made.handle(1.5, [i.Outcome(1, 1, "a", R.TIMEOUT, 0.5, True)])) == []
    assert sent(made.handle(2.4, [])) == [] and sent(made.handle(2.51, [])) == [2]


@pytest.mark.parametrize("window", [0.0, 0.5])
@pytest.mark.parametrize("group", ["all", "zone"])
def test_a_keyed_message_in_doubt_is_not_repeated_beyond_its_window_however_short(window, group):
    made = relay(i.MessageClass(i.Effect.KEYED, 1.0, 6.0, window=window, group=group), hosts=("a", "b"))
    made.handle(1.0, [i.Message(1, 0, 1, 6.0)])
    acts = made.handle(1.0 + max(window, 0.1), [i.Outcome(1, 0, "a", R.TIMEOUT, max(window, 0.1))])
    assert over(acts) == [1] and not sent(acts)
    assert isinstance([a for a in acts if isinstance(a, i.Refuse | i.Fail)][0], i.Refuse if group == "all" else i.Fail)


def test_with_one_attempt_a_message_has_one():
    made = relay(max_attempts=1)
    made.handle(1.0, [i.Message(1, 0, 1, 6.0)])
    assert over(made.handle(1.1, [i.Outcome(1, 0, "a", R.CONNECT_FAILED, 0.1)])) == [1]


@pytest.mark.parametrize("slow_first", [False, True])
def test_what_is_asked_for_little_and_tells_no_limit_still_takes_one_call_after_the_other(slow_first):
    slow, fast = i.MessageClass(i.Effect.SAFE, 30.0, 60.0), i.MessageClass(i.Effect.SAFE, 0.5, 1.0)
    made = relay(*((slow, fast) if slow_first else (fast, slow)), told_weights=False)
    for burst in (100.0, 400.0):
        waits = [int(burst) + n for n in range(5)]
        acts, now = made.handle(burst, [i.Message(mid, int(slow_first), 1, 1.0) for mid in waits]), burst
        while now < burst + 0.9:
            assert not over(acts), f"given up untried at {now}, with a sound server and nothing else to do"
            done = sent(acts)
            waits, now = [mid for mid in waits if mid not in done], now + 0.05
            acts = made.handle(now, [i.Outcome(mid, 0, "a", R.OK, 0.05, True) for mid in done])
        assert not waits


def test_a_full_store_gives_up_a_newcomer_and_not_early_what_a_restart_found_untried():
    dear, usual = i.MessageClass(i.Effect.SAFE, 1.0, 6.0, worth=9.0), i.MessageClass(i.Effect.SAFE, 1.0, 6.0)
    made = Relay(settings(dear, usual, max_open=4), 1)  # no list has come yet
    assert not over(made.handle(1.0, [i.Message(mid, 1, 1, 3.0, orphaned=True) for mid in (1, 2, 3)]))
    assert over(made.handle(1.1, [i.Message(4, 1, 1, 6.0)])) == [4]
    assert over(made.handle(1.1, [i.Message(5, 0, 1, 6.0)])) == [5]  # whatever it is worth
    assert over(made.handle(2.3, [i.Message(6, 1, 1, 6.0)])) == [3]  # seven tenths of its time are over


def test_a_store_that_was_made_smaller_still_keeps_what_a_restart_found_untried():
    made = Relay(settings(i.MessageClass(i.Effect.SAFE, 1.0, 6.0), max_open=4), 1)
    held = range(1, 31)
    assert not over(made.handle(1.0, [i.Message(mid, 0, 1, 5.0, orphaned=True) for mid in held]))
    listed = i.Hosts(i.ListKind.FULL, [i.HostEntry("a", 1, weight=200.0)])
    assert not over(acts := made.handle(1.1, [listed])) and sent(acts)


@pytest.mark.parametrize("effect", list(i.Effect))
@pytest.mark.parametrize("deadline, aim", [(1.0, 0.5), (1.0, 1.0), (6.0, 0.8), (20.0, 2.0), (60.0, 30.0)])
def test_what_a_restart_found_untried_is_tried_once_a_list_comes_or_kept_until_a_call_no_longer_fits(
    effect, deadline, aim
):
    cls = i.MessageClass(effect, aim, deadline, window=0.0)
    held = [i.Message(mid, 0, 1, deadline / 2, orphaned=True, attempts=mid % 2) for mid in (1, 2)]
    made = Relay(settings(cls, slots=8), 1)
    acts, now = made.handle(100.0, held), 100.0
    while now < 100.0 + 0.8 * (deadline / 2 - aim / 8):
        assert not sent(acts) and not over(acts), now
        now += deadline / 100
        acts = made.handle(now, [])
    assert sent(made.handle(now, [i.Hosts(i.ListKind.FULL, [i.HostEntry("a", 1, weight=200.0)])])) == [1, 2]
    silent = Relay(settings(cls, slots=8), 1)
    silent.handle(100.0, held)
    assert not over(silent.handle(100.0 + deadline / 2 - max(aim / 8, 0.01) - 1e-6, []))
    assert sorted(over(silent.handle(100.0 + deadline / 2 - max(aim / 8, 0.01) + 1e-6, []))) == [1, 2]


@pytest.mark.parametrize("why", ["told to wait", "stopped", "cold"])
def test_what_is_held_goes_out_as_soon_as_its_destination_may_take_a_call(why):
    made = relay(order_rest=0.0)
    if why == "told to wait":
        made.handle(1.0, [i.Message(1, 0, 1, 6.0)])
        made.handle(1.1, [i.Outcome(1, 0, "a", R.FULL, 0.1, False, 2.0), i.Withdrawn(1)])
    else:
        out = [i.HostEntry("a", 1, weight=200.0, out_since=0.5)]
        made.handle(1.1, [i.Hosts(i.ListKind.DELTA, out)])
        if why == "cold":
            made.handle(1.1, [i.Message(1, 0, 1, 6.0)])
            made.handle(1.2, [i.Outcome(1, 0, "a", R.OK, 0.1, True)])
            assert made.links["a"].ramp is not None
    acts, now = made.handle(1.3, [i.Message(9, 0, 1, 3.0, orphaned=True)]), 1.3
    while not sent(acts) and now < 4.0:
        assert not over(acts)
        now += 0.05
        acts = made.handle(now, [])
    assert sent(acts) == [9]


@pytest.mark.parametrize("weight", [math.nan, INF, -5.0, 0.0, 5e-324, 1e-12, 1e308])
def test_whatever_number_a_list_tells_for_a_weight_the_day_goes_on(weight):
    made, now = Relay(settings(told_weights=True), 1), 1.0
    acts = made.handle(now, [i.Hosts(i.ListKind.FULL, [i.HostEntry("a", 1, weight=weight)]), i.Message(1, 0, 1, 6.0)])
    for attempt, result in enumerate([R.FULL, R.RESET, R.CONNECT_FAILED, R.RESET, R.OK]):
        while not sent(acts) and now < 7.0:
            now += 0.05
            acts = made.handle(now, [])
        now += 0.1
        acts = made.handle(now, [i.Outcome(1, attempt, "a", result, 0.1, result is R.OK)])
        assert all(math.isfinite(a.at) for a in acts if isinstance(a, i.SetTimer))
    assert not made.msgs
