"""Settings at their bounds: each is met with a clear error that names its key, or with the right behaviour."""

import json
import math
import struct

import pytest
from peers import settings as told_settings

from linkdock import interface as i
from linkdock import wire
from linkdock.drill import Host
from linkdock.errors import exit_line
from linkdock.service import config

R, INF, HUGE = i.Result, math.inf, 10 ** 400


# --- What is told to a sender.

def told(path=(), value=None):
    """The configuration of the stories with one value in another's place."""
    whole = json.loads(json.dumps({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff",
                                   "settings": told_settings()}))
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
    (GRADE + ("name",), "order", "names of their own"), (GRADE + ("group",), "cell", r"grades\[0\].group"),
    *((("settings", "rules", key), v, key) for key in ("fall-multiple", "tip-after") for v in (0, INF, HUGE, "")),
    *((("settings", "rules", key), v, key) for key in ("cold", "cold-share", "drain-grace") for v in (-1, INF)),
    *((("settings", "extra", "zone-fee"), [v], r"zone-fee\[0\]") for v in (None, "x", [1], HUGE, INF, math.nan)),
    *((("settings", "extra", "separate-routes"), [v], r"separate-routes\[0\]") for v in ("false", None, 2)),
    *((("settings", "extra", "bundle-max"), [1, v], r"bundle-max\[1\]") for v in (True, None, 0, "1")),
    *((("settings", "limits", key), v, key) for key in ("max-open", "max-attempts") for v in (0, HUGE, 1.5, None)),
    (("settings", "extra", "calls-out"), 0, "calls-out"), (("settings", "limits", "connect-timeout"), 0, "connect-"),
    (("settings", "projects"), [None], r"projects\[0\]"), (("settings", "grades"), [], "grades"),
    (("settings", "tick"), 0, "tick"), (("limits", "memory_mb"), INF, "memory_mb"), (("settings",), None, "settings"),
    (("discovery",), "a:" + "9" * 5000, "discovery"), (("seed",), "", "seed")]


@pytest.mark.parametrize("path, value, key", WRONG, ids=range(len(WRONG)))
def test_a_setting_that_cannot_be_right_is_named_with_its_code(tmp_path, path, value, key):
    with pytest.raises(config.ConfigError, match=key) as bad:
        config.check(told(path, value), tmp_path)
    assert "LD-CONFIG" in exit_line(bad.value) and len(str(bad.value)) < 200


@pytest.mark.parametrize("text", ['{"settings": ' + "[" * 100_000, "[", '{"seed": ' + "1" * 5000 + "}", "null", "\xff",
                                  json.dumps(told(("settings", "extra", "zone-fee"), [None])),
                                  json.dumps(told(GRADE + ("aim",), HUGE)),
                                  json.dumps(told(("discovery",), "a:" + "9" * 5000))], ids=range(8))
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


OPTIONAL = [("settings", *path) for path in (
    ("rules", "cold"), ("rules", "cold-share"), ("rules", "fall-multiple"), ("rules", "tip-after"), ("tariffs",),
    ("rules", "settle-after-doubt"), ("rules", "drain-grace"), ("limits", "max-retry-after"), ("limits", "cancel"),
    ("limits", "connect-timeout"), ("limits", "idle-close"), ("extra", "zone-fee"), ("extra", "bundle-max"), ("tick",),
    ("weights",), ("discovery",), ("projects",), ("zones",), ("machine-types",), ("report",), ("over-share-worth",),
    ("balancers",), ("grades", 0, "window"), ("grades", 0, "group"), ("grades", 0, "late-share"))]


@pytest.mark.parametrize("path", OPTIONAL, ids=lambda path: ".".join(map(str, path)))
def test_null_is_the_same_as_a_missing_key(tmp_path, path):
    null, missing = told(path), told(path)
    inner = missing
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    assert config.check(null, tmp_path) == config.check(missing, tmp_path)
    assert wire.read_settings(json.dumps(null["settings"]).encode()) == wire.read_settings(
        json.dumps(missing["settings"]).encode())


def test_every_default_is_finite_and_no_tick_is_longer_than_a_client_waits(tmp_path):
    bare = {"grades": [{"name": "one", "idempotency": "idempotency_key", "aim": 1, "hard-limit": 1}],
            "limits": {"max-open": 1, "max-attempts": 1}, "extra": {"calls-out": 1}, "rules": {}}
    for read in (config.check({**told(), "settings": bare}, tmp_path).settings,
                 wire.read_settings(json.dumps(bare).encode())):
        for name in i.Settings.__slots__:
            value = getattr(read, name)
            assert not isinstance(value, float) or 0 <= value <= 60, name
        assert not (read.cancel or read.second_copies or read.retry_after or read.probes or read.told_weights)
        assert read.classes[0].window == 0.0   # told of no window, it repeats nothing that may have run
    assert config.check(told(("settings", "tick"), 1e9), tmp_path).settings.tick <= 0.1


BARE = {"grades": [{"idempotency": "read_like", "aim": 1.0, "hard-limit": 6.0}], "extra": {"calls-out": 5},
        "limits": {"max-open": 50, "max-attempts": 4}, "rules": {}}


@pytest.mark.parametrize("more, named", [
    ({"rules": {"tip-after": 0}}, "tip_after"), ({"rules": {"fall-multiple": 0}}, "fall_multiple"),
    ({"grades": []}, "classes"), ({"grades": [{**BARE["grades"][0], "aim": 0}]}, "aim"),
    ({"grades": [{**BARE["grades"][0], "hard-limit": INF}]}, "deadline"), ({"me": 3}, "me"),
    ({"grades": [{**BARE["grades"][0], "group": "cell"}]}, "group"), ({"grades": [5]}, ""),
    ({"extra": {"calls-out": INF}}, ""), ({"report": {"fields": [1]}}, "fields"), ({"report": 5}, ""),
    ({"grades": [{**BARE["grades"][0], "idempotency": []}]}, "")])
def test_spoilt_settings_on_the_wire_are_an_error_with_its_code(more, named):
    text = json.dumps({**BARE, **more}).encode()
    made = struct.pack("<BIQII", 0, 9, 5, 0, len(text)).ljust(48, b"\0")
    with pytest.raises(wire.WireError, match=named) as bad:
        Host().reply(struct.pack("<dI", 1.0, 1) + made + text)
    assert bad.value.code == "LD-WIRE"
