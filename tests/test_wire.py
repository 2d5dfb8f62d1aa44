"""The codec against frames made here by hand from the wire's page."""

import json
import struct

import pytest

from linkdock import interface as i
from linkdock import wire
from linkdock.drill import Host

INFO = {
    "grades": [{"idempotency": "read_like", "aim": 1.0, "hard-limit": 6.0}],
    "balancers": 2,
    "limits": {"max-open": 50, "max-attempts": 4},
    "extra": {"calls-out": 5, "new-key": 1},
    "rules": {},
    "report": {"fields": ["x0", "x1"]},
}


def frame(now, records, tail=b""):
    return struct.pack("<dI", now, len(records)) + b"".join(r.ljust(48, b"\0") for r in records) + tail


def row(port, dest=1, state=1):
    return struct.pack("<4sHBBHBfd", b"\x0a\0\0\1", port, 0, 0, dest, state, 50.0, 0.0)


def create(relay, info=INFO, offset=0):
    text = info if isinstance(info, bytes) else json.dumps(info).encode()
    return struct.pack("<BIQII", 0, relay, 5, offset, len(text)), text


def actions(reply):
    size, count = struct.unpack_from("<II", reply)
    assert size == len(reply) - 4
    return [reply[8 + 24 * n : 32 + 24 * n] for n in range(count)]


def test_reused_list_number_within_a_batch():
    bank = struct.pack("<BBII", 10, 3, 0, 1), struct.pack("<BBII", 10, 3, 23, 1)
    registry = struct.pack("<BIBQB", 1, 9, 4, 1, 3)
    _, events = wire.Decoder().batch(frame(1.0, [bank[0], registry, bank[1], registry], row(1) + row(2)))
    assert [e.entries[0].host for _, e in events] == [(b"\x0a\0\0\1", 1), (b"\x0a\0\0\1", 2)]


def test_a_failed_list_has_no_entries_and_needs_no_number():
    _, [(_, event)] = wire.Decoder().batch(frame(1.0, [struct.pack("<BIBQB", 1, 9, 3, 1, 14)]))
    assert event == i.Hosts(i.ListKind.FAILED, [], 1)


def test_outcome_with_report_and_wait():
    made, text = create(9)
    report = struct.pack("<B4f", 2, 0.5, 12.0, 0, 0)
    record = struct.pack("<BIIdHBIB4sH", 4, 9, 77, 0.5, 11, 0, 250, 2, b"\x0a\0\0\1", 8) + report
    decoder = wire.Decoder()
    _, events = decoder.batch(frame(1.0, [made, record], text))
    assert events[1] == (9, i.Outcome(77, 2, (b"\x0a\0\0\1", 8), i.Result.FULL, 0.5, False, 0.25, i.Report(0.5, 12.0)))


def test_every_result_code_is_known():
    for code, result in wire.RESULTS.items():
        record = struct.pack("<BIIdHBIB4sH", 4, 9, 77, 0.5, code, 1, 0, 0, b"\x0a\0\0\1", 8)
        _, [(_, event)] = wire.Decoder().batch(frame(1.0, [record]))
        assert event.result is result and event.finished


def test_the_action_bytes_of_the_page():
    host = (bytes.fromhex("0a124a07"), 0x1F93)
    reply = wire.encode_reply([(3, i.Send(0x5D3A91C4, host, 0.0799999982)), (3, i.Log("two servers known"))])
    assert reply[4:8] == b"\2\0\0\0" and reply[8:23] == bytes.fromhex("4003000000c4913a5d0a124a07931f")
    assert reply.endswith(b"two servers known") and len(actions(reply)) == 2


def test_all_actions_are_written_with_their_codes():
    host = (b"\x0a\0\0\1", 8)
    made = [
        i.Send(1, host, 1.0),
        i.Refuse(1, 0.5),
        i.Fail(1),
        i.Cancel(1, 0),
        i.SetTimer(2.0, 3),
        i.Probe(host),
        i.CloseIdle(host),
        i.Tell(None, b"x"),
        i.Log("l"),
        wire.Fault("f"),
        i.Subscribe(True),
        i.FetchList(),
    ]
    codes = [record[0] for record in actions(wire.encode_reply((1, a) for a in made))]
    assert codes == list(range(64, 76))


def test_kill_and_create_in_one_batch_starts_afresh():
    host = Host()
    made, text = create(9)
    bank, registry = struct.pack("<BBII", 10, 0, len(text), 1), struct.pack("<BIBQB", 1, 9, 2, 1, 0)
    message = struct.pack("<BIIIQddBBf", 2, 9, 5, 0, 0, 0.0, 6.0, 0, 0, 1.0)
    first = host.reply(frame(1.0, [made, bank, registry, message], text + row(1)))
    assert [record[0] for record in actions(first)][0] == 64
    old = host.relays[9]
    killed = struct.pack("<BI", 9, 9)
    host.reply(frame(2.0, [killed, made, bank, registry], text + row(1)))
    assert host.relays[9] is not old and not host.relays[9].msgs


def test_a_failing_instance_is_reported_alone():
    host = Host()
    made, text = create(9)
    host.reply(frame(1.0, [made], text))
    host.relays[9].handle = lambda now, events: 1 / 0
    ring = struct.pack("<BIQ", 6, 9, 1)
    assert [record[0] for record in actions(host.reply(frame(2.0, [ring])))] == [73]


@pytest.mark.parametrize("info", [b"[]", b"{", b"{}", json.dumps({**INFO, "extra": {}}).encode()])
def test_malformed_settings(info):
    made, text = create(9, info)
    with pytest.raises(wire.WireError):
        wire.Decoder().batch(frame(1.0, [made], text))


def test_offset_outside_the_tail():
    made, text = create(9, offset=40)
    with pytest.raises(wire.WireError):
        wire.Decoder().batch(frame(1.0, [made], text))


def test_figures_of_the_list_and_of_refused_calls_reach_the_settings():
    extra = {"calls-out": 5, "refusal-cost": 0.05, "bundle-max": [1, 10]}
    told = wire.read_settings(
        json.dumps({**INFO, "discovery": "subscribe", "rules": {"ask-within": 7.5}, "extra": extra}).encode()
    )
    assert (told.subscribe, told.ask_within, told.refusal_price) == (True, 7.5, 0.05)
    assert [kind.batch for kind in told.kinds] == [1, 10]
    assert wire.read_settings(json.dumps({**INFO, "discovery": "subscribe"}).encode()).ask_within > 0


@pytest.mark.parametrize(
    "more, name",
    [
        ({"discovery": "subscribe", "rules": {"ask-within": 0}}, "ask_within"),
        ({"discovery": "subscribe", "rules": {"ask-within": -2}}, "ask_within"),
        ({"extra": {"calls-out": 5, "bundle-max": [0]}}, "batch"),
    ],
)
def test_settings_that_can_only_be_mistakes_name_their_field(more, name):
    with pytest.raises(ValueError, match=name):
        wire.read_settings(json.dumps({**INFO, **more}).encode())


def test_a_note_from_a_sibling_is_read_and_ignored_whatever_it_holds():
    host = Host()
    record, text = create(1)
    host.reply(frame(1.0, [record], text))
    for data in (b"", b"\xff", bytes(256)):
        reply = host.reply(frame(2.0, [struct.pack("<BIHII", 8, 1, 65535, 0, len(data))], data))
        assert not [a for a in actions(reply) if a[0] not in (68,)]
