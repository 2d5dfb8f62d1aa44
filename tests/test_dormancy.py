"""Destinations without work: what is kept, what a waking one is given, and what outlasts the process."""

import json
import random
import struct
import zlib

import pytest

from linkdock import interface as i
from linkdock.decisions import Relay
from linkdock.dormancy import memory as m
from linkdock.dormancy import settings as shape
from linkdock.dormancy import snapshot as s
from linkdock.dormancy.sleeper import Sleeper
from linkdock.facade import Dispatch, Facade, Server, Table, Take
from linkdock.options import FOLDER, OptionError, switched_on
from linkdock.state.roster import Roster
from linkdock.state.table import ServerTable

AFTER = 60.0


def settings(**more):
    return i.Settings(
        **{
            **dict(
                classes=[i.MessageClass(i.Effect.SAFE, 0.8, 6.0), i.MessageClass(i.Effect.UNSAFE, 4.0, 16.0)],
                kinds=[i.DestinationKind()],
                slots=50,
                max_open=1000,
                max_attempts=5,
                retry_after=True,
                max_retry_after=3.0,
                fall_multiple=1.5,
                tip_after=2.0,
                cold_share=0.3,
                cold_time=10.0,
                told_weights=False,
            ),
            **more,
        }
    )


class Rig:
    """One relay with a sleeper, on a clock of its own."""

    def __init__(self, count=3, **more):
        self.roster, self.now, self.sent, self.final, self.ids = Roster(), 0.0, [], {}, 0
        for n in range(count):
            self.roster.put(Server(f"h{n}", ("10.0.0.1", 1), n))
        self.sleeper = Sleeper(lambda: self.roster, 2, AFTER, 1000)
        self.relay = Relay(settings(**more), 1, self.sleeper)
        self.step(i.Hosts(i.ListKind.FULL, [], 1))

    def step(self, *events, after=0.0):
        self.now += after
        sent = []
        for action in self.relay.handle(self.now, list(events)):
            match action:
                case i.Send():
                    sent.append(action)
                case i.Refuse(number) | i.Fail(number):
                    self.final[number] = action
        self.sent += sent
        return sent

    def ask(self, destination=0, cls=0, after=0.0, left=6.0):
        self.ids += 1
        return self.step(i.Message(self.ids, cls, destination, left), after=after)

    def end(self, send, result=i.Result.OK, after=0.1, wait=0.0, report=None, elapsed=None):
        attempt = sum(1 for s in self.sent if s.id == send.id) - 1
        return self.step(
            i.Outcome(
                send.id,
                attempt,
                send.host,
                result,
                after if elapsed is None else elapsed,
                result is i.Result.OK,
                wait,
                report,
            ),
            after=after,
        )

    def sleep(self, seconds=AFTER + 1):
        self.step(after=seconds)
        self.step(after=0.01)

    def link(self, host="h0"):
        return self.relay.links[host]


def test_a_destination_without_work_takes_nothing_in_the_decisions():
    rig = Rig(200)
    assert not rig.relay.dests and not rig.relay.links
    [send] = rig.ask(7)
    assert list(rig.relay.dests) == [7] and send.host == "h7"
    rig.end(send)
    rig.sleep()
    assert not rig.relay.dests and not rig.relay.links and len(rig.sleeper.store) == 1


def test_one_with_a_call_out_or_a_message_waiting_does_not_fall_asleep():
    rig = Rig(slots=1)
    rig.ask(0, 1, left=200.0)
    rig.ask(1, 1, left=200.0)
    rig.sleep()
    assert set(rig.relay.dests) == {0, 1}


def test_after_a_sleep_the_first_call_goes_alone_until_it_has_an_outcome():
    rig = Rig()
    rig.end(rig.ask()[0], report=i.Report(0.9, 40.0))
    rig.sleep()
    [first] = rig.ask()
    assert rig.ask() == [] and rig.ask(after=0.05) == []
    assert rig.link().route.limit == pytest.approx(40.0, rel=0.01)  # a prior
    sends = rig.end(first, report=i.Report(0.9, 3.0))
    assert rig.link().route.limit == 3.0  # and the first report overrides it
    assert len(sends) <= 1


def test_a_limit_that_has_shrunk_is_not_overrun_before_the_first_report():
    rig, limit = Rig(), 3.0
    for _ in range(20):
        sends = rig.ask(after=0.03)
        for send in sends:
            rig.end(send, after=0.01, report=i.Report(0.9, 40.0))
    rig.sleep()
    calls, out = [], []
    for n in range(200):  # a clump of messages in two seconds
        for send in rig.ask(after=0.01) if n < 30 else rig.step(after=0.01):
            calls.append(rig.now)
            out.append((rig.now + 0.1, send))
        while out and out[0][0] <= rig.now:
            for send in rig.end(out.pop(0)[1], after=0.0, elapsed=0.1, report=i.Report(0.6, limit)):
                calls.append(rig.now)
                out.append((rig.now + 0.1, send))
    most = max(sum(t - 2.0 < c <= t for c in calls) for t in calls)
    assert most <= 1.5 * limit * 2.0


def test_a_stop_in_force_comes_back_as_suspicion_and_its_answer_begins_a_cold_return():
    rig = Rig()
    while rig.relay.links.get("h0") is None or rig.link().down_at is None:
        sends = rig.ask(cls=1, after=0.1)  # each ends by its failure: it may not be repeated
        while sends:
            sends = sends[1:] + rig.end(sends[0], i.Result.RESET, after=0.01)
    rig.step(after=20.0)
    rig.sleep()
    assert not rig.relay.dests
    [trial] = rig.ask()
    assert rig.ask() == [] and rig.link().down_at is not None  # one trial, and no second beside it
    rig.end(trial)
    assert rig.link().down_at is None and rig.link().ramp is not None


def test_a_return_that_was_not_over_is_a_suspicion_too():
    rig = Rig()
    [send] = rig.ask()
    rig.end(send)
    rig.relay.go_down(rig.link(), "test")
    rig.relay.back(rig.link())
    rig.sleep(AFTER + 0.01)
    assert not rig.relay.dests
    rig.ask()
    assert rig.link().down_at is not None


def test_a_told_wait_outlasts_the_sleep():
    rig = Rig()
    [send] = rig.ask()
    rig.end(send, i.Result.FULL, wait=AFTER + 30.0)
    rig.sleep()
    assert not rig.relay.dests and rig.final  # what waited was given up in time
    assert rig.ask(left=600.0) == []
    assert rig.step(after=20.0) == [] and rig.step(after=9.5) != []


def test_trust_in_what_was_learned_falls_with_its_age():
    shown = {}
    for gap in (AFTER + 1, 600.0, 20_000.0):
        rig = Rig()
        for destination, took in ((0, 0.5), (1, 0.05)):  # the second makes the class's usual figures
            for _ in range(60):
                for send in rig.ask(destination, after=0.6):
                    rig.end(send, after=took, report=i.Report(0.9, 40.0))
        rig.sleep(gap)
        rig.ask(after=0.01)
        shown[gap] = rig.relay.estimate(rig.link().route, 0).x
    assert 0.5 > shown[AFTER + 1] > shown[600.0] > shown[20_000.0] and 0.04 < shown[20_000.0] < 0.07


def test_a_new_host_at_an_old_address_is_given_nothing():
    rig = Rig()
    rig.end(rig.ask()[0], report=i.Report(0.9, 40.0))
    rig.relay.go_down(rig.link(), "test")
    rig.sleep()
    rig.roster.remove("h0")
    rig.roster.put(Server("h0-new", ("10.0.0.1", 1), 0))
    [send] = rig.ask()
    assert send.host == "h0-new" and rig.link("h0-new").down_at is None and rig.link("h0-new").route.limit == 0.0


def test_a_drain_or_an_end_while_asleep_is_known_on_waking():
    rig = Rig()
    rig.end(rig.ask()[0])
    rig.sleep()
    rig.roster.put(Server("h0", ("10.0.0.1", 1), 0, "draining"))
    assert rig.ask() == []
    rig.roster.put(Server("h0", ("10.0.0.1", 1), 0))
    rig.end(rig.ask(1)[0])
    rig.sleep()
    rig.roster.remove("h1")
    assert rig.ask(1) == []


def test_those_that_flap_around_the_threshold_keep_their_rules():
    rig, luck = Rig(500), random.Random(4)
    for _turn in range(12):
        for n in range(500):
            for send in rig.ask(n, after=0.0002):
                rig.end(send, after=0.0001, report=i.Report(0.9, 20.0))
        rig.step(after=AFTER + luck.uniform(-0.5, 0.5))
        for _ in range(20):
            rig.step(after=0.005)
    assert len(rig.relay.dests) + len(rig.sleeper.store) <= 500
    assert len(rig.sent) >= 12 * 500 * 0.95


def test_what_is_kept_is_bounded_and_the_longest_asleep_goes_first():
    store = m.Store(2, 3)
    for n in range(5):
        store.keep(n, m.Facts(float(n), 1.0, 0.0, {}))
    assert len(store) == 3 and store.take(5.0, 0) is None and store.take(5.0, 4) is not None


def test_packed_facts_come_back_and_are_short():
    link = m.LinkFacts(True, 123.25, 10.0, 42.5, 0.75, 0.068, 0.5, [(0.25, 0.125, 1.5), (0.0, 0.0, 0.0)])
    data = m.pack(m.Facts(100.0, 12.0, 0.25, {"h0": link}))
    facts, links = m.unpack(data, 2)
    back = links[m.mark("h0")]
    assert (facts.at, facts.came, facts.lost) == (100.0, 12.0, 0.25) and len(data) == m.size_of(1, 2) <= 60
    assert back.limit == pytest.approx(42.5, rel=0.001) and back.round_trip == pytest.approx(0.068, rel=0.001)
    assert (back.stopped, back.wait_until, back.since, back.part) == (True, 123.25, 10.0, 0.75)


def test_odd_figures_are_packed_as_harmless_ones():
    inf = float("inf")
    link = m.LinkFacts(False, -inf, -inf, inf, 1e9, float("nan"), -1.0, [(inf, 1e9, -inf)] * 2)
    facts, links = m.unpack(m.pack(m.Facts(0.0, 0.0, 0.0, {"h0": link})), 2)
    assert links[m.mark("h0")].wait_until == -inf


def test_bytes_that_are_no_memory_are_refused():
    luck, data = (
        random.Random(1),
        m.pack(m.Facts(1.0, 1.0, 0.0, {"h0": m.LinkFacts(False, 0.0, 0.0, 1.0, 1.0, 0.1, 0.0, [(0.1, 0.0, 0.2)] * 2)})),
    )
    for _ in range(500):
        bad = bytearray(data)
        bad[luck.randrange(len(bad))] = luck.randrange(256)
        try:
            m.unpack(bytes(bad[: luck.randint(0, len(bad))]), 2)
        except ValueError:
            pass


# --- Snapshots.

MARK = s.classes_mark(["preview", "order"])


def facts(at, wait=0.0):
    return m.pack(
        m.Facts(at, 3.0, 0.0, {"h0": m.LinkFacts(False, wait, at, 40.0, 1.0, 0.05, 0.0, [(0.1, 0.0, 0.2)] * 2)})
    )


def shot(rows, now=500.0, unix=1e9, mark=MARK):
    return b"".join(s.write(iter(rows), mark, 2, now, unix))


def test_a_snapshot_comes_back_on_the_next_lifes_clock():
    data = shot([(7, facts(490.0, wait=530.0)), (8, facts(400.0))])
    rows = dict(s.read(data, MARK, 2, now=20.0, unix=1e9 + 5.0))  # 5 s later, by another clock
    known, links = m.unpack(rows[7], 2)
    assert known.at == pytest.approx(20.0 - 5.0 - 10.0)
    assert links[m.mark("h0")].wait_until == pytest.approx(20.0 - 5.0 + 30.0)
    assert m.unpack(rows[8], 2)[0].at == pytest.approx(20.0 - 5.0 - 100.0)


def test_a_snapshot_of_nothing_is_whole():
    assert list(s.read(shot([]), MARK, 2, 500.0, 1e9)) == []


def test_a_destination_of_very_many_hosts_is_kept_in_part():
    link = m.LinkFacts(False, 0.0, 1.0, 40.0, 1.0, 0.05, 0.0, [(0.1, 0.0, 0.2)] * 2)
    data = m.pack(m.Facts(1.0, 1.0, 0.0, {f"h{n}": link for n in range(5000)}))
    assert len(data) == m.size_of(m.MOST_LINKS, 2)
    assert [n for n, _ in s.read(shot([(7, data)]), MARK, 2, 500.0, 1e9)] == [7]


def test_no_piece_of_a_large_snapshot_is_long():
    pieces = list(s.write(((n, facts(1.0)) for n in range(20_000)), MARK, 2, 500.0, 1e9))
    assert max(map(len, pieces)) < 10_000 and len(list(s.read(b"".join(pieces), MARK, 2, 1.0, 1e9))) == 20_000


@pytest.mark.parametrize(
    "name, change",
    [
        ("torn", lambda d: d[:-7]),
        ("torn", lambda d: d[:10]),
        ("no snapshot", lambda d: b"PNG" + d[3:]),
        ("version 2", lambda d: again(d[:8] + struct.pack("<H", 2) + d[10:])),
        ("torn", lambda d: d[:50] + b"x" + d[51:]),
        ("classes", lambda d: again(d[:10] + struct.pack("<I", 9) + d[14:])),
        ("torn", lambda d: b""),
    ],
)
def test_a_snapshot_that_is_torn_foreign_or_of_another_version_is_refused(name, change):
    with pytest.raises(s.SnapshotError, match=name):
        list(s.read(change(shot([(7, facts(1.0))])), MARK, 2, 1.0, 1e9))


def again(data):
    return data[:-4] + struct.pack("<I", zlib.crc32(data[:-4]))


def test_one_whose_clock_lies_in_the_future_or_too_far_back_is_refused():
    data = shot([(7, facts(1.0))])
    for unix, why in ((1e9 - 60.0, "future"), (1e9 + 30 * 86400, "days old")):
        with pytest.raises(s.SnapshotError, match=why):
            list(s.read(data, MARK, 2, 1.0, unix))


# --- Settings.


@pytest.mark.parametrize(
    "text, named",
    [
        ('{"on": true, "after_s": 0}', "$.after_s"),
        ('{"on": true, "most_kept": "all"}', "$.most_kept"),
        ('{"on": true, "sleep": 3}', "sleep"),
        ('{"on": true, "snapshot": 1}', "$.snapshot"),
        ('{"on": true, "snapshot": true, "snapshot_mb": 1}', "snapshot_mb must be at most 0.15"),
    ],
)
def test_a_wrong_key_is_named(text, named):
    with pytest.raises(OptionError) as bad:
        shape.read(text.encode(), 3_000_000)
    assert named in str(bad.value) and "dormancy.json" in str(bad.value)


def test_the_shipped_file_is_off_and_lawful_and_its_schema_is_the_programs():
    assert switched_on("dormancy", {}) is None
    shape.read((FOLDER / "dormancy.json").read_bytes(), 3_000_000)
    assert json.loads((FOLDER / "schema" / "dormancy.json").read_text()) == shape.schema()


def test_a_message_that_is_restored_before_the_first_list_goes_out_once_the_list_is_in():
    """Both are reported before one decision pass: the message wakes its destination, whose endpoint stays listed."""
    now = [100.0]
    table = ServerTable([False], lambda: now[0])
    facade = Facade(settings(), 1, Sleeper(lambda: table.roster, 2, AFTER, 100, table.shown))
    facade.report(Take("aa01", cls=1, destination=1, left=16.0))
    listed = [Server("m1", ("127.0.0.1", 80), 1)]
    table.update(listed, 1)
    facade.report(Table("whole", table.shown(listed), 1))
    orders = []
    for _ in range(300):  # 15 s, within the message's time
        now[0] += 0.05
        facade.tick(now[0])
        while (order := facade.pick()) is not None:
            orders.append(order)
    assert [order.server for order in orders if isinstance(order, Dispatch)][:1] == ["m1"]
