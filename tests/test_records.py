"""Records: what is written, what is read back from a damaged file, and what the audit says of it."""

import json
import os
import random
import subprocess
import sys

import pytest
from click.testing import CliRunner

from linkdock.console.main import cli
from linkdock.options import OptionError, switched_on
from linkdock.records import audit as a
from linkdock.records import recorder as r
from linkdock.records.reading import Event, Passed, Place, ReadError, read
from linkdock.records.settings import RecordsSettings, schema
from linkdock.records.settings import read as read_settings

CLASSES = {"preview": {"repeatable": True, "deadline": 6.0}, "order": {"repeatable": False, "deadline": 16.0}}


class Tape:
    """Events of one sender as a test says them, on clocks of its own."""

    def __init__(self, name="n0"):
        self.events, self.name, self.lives, self.seq, self.now = [], name, 0, 0, 1000.0
        self.start().say("ready", port=1)

    def start(self):
        self.lives, self.seq = self.lives + 1, 0
        return self.say("started", name=self.name, format=1, pid=1, classes=CLASSES, part=False)

    def say(self, event, at=0.0, /, **fields):
        self.now, self.seq = self.now + at, self.seq + 1
        self.events.append(
            Event(
                Place("tape", len(self.events) + 1),
                event,
                f"life{self.name}{self.lives}",
                self.seq,
                self.now - 900,
                self.now,
                fields,
            )
        )
        return self

    def taken(self, name, cls="order", left=16.0, at=0.0):
        return self.say(
            "answered",
            at,
            id=name,
            client=1,
            answer="taken",
            cls=cls,
            dest=1,
            until=self.now + at + left,
            heard=True,
            again=False,
        )

    def sent(self, name, attempt=0, server="s1", at=0.0):
        return self.say("sent", at, id=name, attempt=attempt, server=server)

    def outcome(self, name, attempt=0, how="delivered", ran="yes", at=0.0):
        return self.say(
            "outcome",
            at,
            id=name,
            attempt=attempt,
            server="s1",
            how=how,
            ran=ran,
            elapsed=0.1,
            wait=0.0,
            over=False,
            read="",
            cut=False,
        )

    def over(self, name, how="delivered", at=0.0, left=1.0):
        return self.say("over", at, id=name, how=how, left=left)

    def notice(self, name, status="undeliverable", at=0.0):
        return self.say("notice", at, id=name, status=status, again_ms=None)

    def verdict(self, story=None):
        report, told = a.audit(self.events, Passed(), story)
        return report["faults"] if story is None else told

    def lines(self):
        return "".join(
            json.dumps({"event": e.name, "seq": e.seq, "life": e.life, "mono": e.mono, "unix": e.unix, **e.fields})
            + "\n"
            for e in self.events
        )


def lived(tape, seconds=60.0):
    return tape.say("posted", seconds, ids=[], fresh=False, status=204, took=0.0)


# --- The audit.


def test_a_delivery_and_a_confirmed_notice_are_no_fault():
    tape = Tape().taken("aa01").sent("aa01").outcome("aa01").over("aa01")
    tape.taken("aa02").sent("aa02").outcome("aa02", how="reset", ran="maybe")
    tape.notice("aa02").over("aa02", "undeliverable").say("confirmed", 0.01, id="aa02")
    assert lived(tape).verdict() == {}


def test_no_end_is_found_only_where_the_sender_lived_beyond_the_time():
    assert lived(Tape().taken("aa01", left=6.0), 6.0).verdict() == {}
    assert lived(Tape().taken("aa01", left=6.0), 6.5).verdict() == {a.NO_END: 1}


def test_events_that_are_missing_make_a_missing_end_no_fault():
    tape = Tape().taken("aa01", left=6.0).say("gap", lost=3)
    assert lived(tape).verdict() == {}


def test_two_ends():
    tape = Tape().taken("aa01").over("aa01").over("aa01", "undeliverable")
    assert lived(tape).verdict() == {a.TWO_ENDS: 1}


def test_an_attempt_after_the_end():
    tape = Tape().taken("aa01", "preview").over("aa01").sent("aa01", 1)
    assert lived(tape).verdict() == {a.TWO_ENDS: 1}


def test_a_notice_that_is_confirmed_late_or_never():
    tape = Tape().taken("aa01", left=6.0).notice("aa01", at=5.9).over("aa01", "undeliverable")
    assert lived(tape).verdict() == {a.UNSAID: 1}
    tape = Tape().taken("aa01", left=6.0).notice("aa01", at=5.9).over("aa01", "undeliverable")
    assert lived(tape.say("confirmed", 0.35, id="aa01")).verdict() == {}
    tape = Tape().taken("aa01", left=6.0).notice("aa01", at=5.9).over("aa01", "undeliverable")
    assert lived(tape.say("confirmed", 0.45, id="aa01")).verdict() == {a.LATE_END: 1}


def test_a_delivery_after_the_time_needs_a_notice():
    assert lived(Tape().taken("aa01", left=6.0).over("aa01", at=6.1)).verdict() == {a.LATE_END: 1}
    tape = Tape().taken("aa01", left=6.0).notice("aa01", at=6.1).over("aa01").say("confirmed", 0.1, id="aa01")
    assert lived(tape).verdict() == {}


def test_an_order_that_may_have_run_must_not_go_again():
    tape = Tape().taken("aa01").sent("aa01").outcome("aa01", how="timed out", ran="maybe").sent("aa01", 1)
    tape.outcome("aa01", 1).over("aa01")
    assert lived(tape).verdict() == {a.REPEAT: 1}
    tape = Tape().taken("aa01").sent("aa01").outcome("aa01", how="turned away", ran="never").sent("aa01", 1)
    tape.outcome("aa01", 1).over("aa01")
    assert lived(tape).verdict() == {}
    tape = Tape().taken("aa01", "preview").sent("aa01").outcome("aa01", how="reset", ran="maybe").sent("aa01", 1)
    tape.outcome("aa01", 1).over("aa01")
    assert lived(tape).verdict() == {}


def test_the_doubt_of_an_earlier_life_counts():
    tape = Tape().taken("aa01").sent("aa01").start()
    tape.say("restored", 0.6, id="aa01", cls="order", dest=1, until=1016.0, used=1, doubt=[0], notice=None)
    tape.say("ready", port=1).sent("aa01", 1).outcome("aa01", 1).over("aa01")
    assert lived(tape).verdict() == {a.REPEAT: 1}


def test_after_a_kill_what_is_owed_no_more_ended_in_what_was_cut_off():
    tape = Tape().taken("aa01").start().say("ready", 1.0, port=1)
    report, _ = a.audit(lived(tape).events, Passed())
    assert report["faults"] == {} and report["senders"]["n0"]["ended unseen"] == 1


def test_after_an_orderly_stop_what_is_owed_no_more_is_a_fault():
    tape = Tape().taken("aa01").say("stopping").say("stopped", owed=0).start().say("ready", 1.0, port=1)
    assert lived(tape).verdict() == {a.NOT_RESTORED: 1}


def test_what_had_ended_must_not_be_owed_again():
    tape = Tape().taken("aa01").over("aa01").start()
    tape.say("restored", 0.6, id="aa01", cls="order", dest=1, until=1016.0, used=0, doubt=[], notice=None)
    assert {a.REVIVED: 1}.items() <= lived(tape).verdict().items()


def given_up(name):
    tape = Tape().taken(name).sent(name).outcome(name, how="error", ran="maybe")
    return tape.notice(name).over(name, "undeliverable").say("confirmed", 0.01, id=name)


# Guards against an audit that calls an operator's resend a second end of the message.
@pytest.mark.parametrize("restarted", [False, True])
def test_a_message_that_is_sent_again_has_an_end_of_its_own(restarted):
    tape = given_up("aa01").say("resent", 30.0, id="aa01", cls="order", dest=1, until=1050.0)
    if restarted:
        tape.start().say(
            "restored", 0.6, id="aa01", cls="order", dest=1, until=1050.0, used=0, doubt=[], notice=None, again=True
        )
        tape.say("ready", port=1)
    tape.sent("aa01").outcome("aa01").over("aa01")
    assert lived(tape).verdict() == {}


def test_a_message_that_is_sent_again_must_end_and_only_once():
    tape = given_up("aa01").say("resent", 30.0, id="aa01", cls="order", dest=1, until=1050.0).sent("aa01")
    assert lived(tape).verdict() == {a.NO_END: 1}
    tape = given_up("aa01").say("resent", 30.0, id="aa01", cls="order", dest=1, until=1050.0).sent("aa01")
    tape.outcome("aa01", how="error", ran="maybe").sent("aa01", 1).over("aa01", "undeliverable").over("aa01")
    assert lived(tape).verdict() == {a.REPEAT: 1, a.TWO_ENDS: 1}


def test_no_notice_is_overdue_until_a_while_after_a_restart():
    tape = Tape().taken("aa01", left=2.0).start()
    tape.say("restored", 3.0, id="aa01", cls="order", dest=1, until=1002.0, used=1, doubt=[0], notice=None)
    tape.notice("aa01").over("aa01", "undeliverable").say("ready", port=1).say("confirmed", 0.5, id="aa01")
    assert lived(tape).verdict() == {}


def test_a_told_wait_binds_its_route_until_it_is_over_or_the_process_ends():
    def waited():
        return Tape().taken("aa01", "preview").taken("aa02", "preview").say("wait", server="s1", route=[1], seconds=2.0)

    assert waited().sent("aa01", at=1.9).verdict() == {a.IN_WAIT: 1}
    assert waited().sent("aa01", at=2.1).verdict() == {}
    assert waited().start().sent("aa01", at=1.0).verdict() == {}


def test_nothing_goes_to_a_server_that_was_told_to_drain():
    def told():
        return (
            Tape()
            .taken("aa01", "preview")
            .say("table", version=2, whole=False, count=1, changes=[["s1", 1, "draining"]])
        )

    assert told().sent("aa01", at=1.9).verdict() == {}
    assert told().sent("aa01", at=2.1).verdict() == {a.TO_DRAINED: 1}


def test_two_senders_are_judged_apart():
    one, other = Tape("n0").taken("aa01").sent("aa01"), Tape("n1").taken("aa01").sent("aa01")
    report, _ = a.audit(one.events + other.events, Passed())
    assert report["faults"] == {} and set(report["senders"]) == {"n0", "n1"}


def test_a_message_tells_its_story():
    tape = Tape().taken("aa01").sent("aa01").taken("aa02").outcome("aa01").over("aa01")
    assert [e["event"] for e in tape.verdict("aa01")] == ["answered", "sent", "outcome", "over"]


def test_every_single_event_of_a_good_record_may_be_missing_or_doubled_without_a_crash():
    tape = Tape().taken("aa01").sent("aa01").outcome("aa01", how="turned away", ran="never").sent("aa01", 1)
    tape.outcome("aa01", 1).over("aa01").start().say("ready", port=1).taken("aa02").say("stopped", owed=1)
    for n in range(len(tape.events)):
        a.audit(tape.events[:n] + tape.events[n + 1 :], Passed())
        a.audit(tape.events[:n] + tape.events[n : n + 1] * 2 + tape.events[n + 1 :], Passed())


def test_an_event_without_its_fields_is_passed_over_and_named():
    passed, tape = Passed(), Tape()
    a.audit(tape.say("over", id="aa01").say("answered", answer="taken").say("started", name=3).events, passed)
    assert passed.count == 3 and all(n.startswith("tape:") for n in passed.named)


# --- Reading.


def test_torn_and_foreign_lines_are_counted_and_named(tmp_path):
    good = Tape().taken("aa01").lines().splitlines()
    file = tmp_path / "records"
    file.write_bytes(
        "\n".join([good[0], "a log line", '{"event": 3}', '["list"]', "", good[1]]).encode()
        + b"\n\xff\xfe\0\n"
        + b'{"event":"sent","se'
    )
    passed = Passed()
    assert [e.name for e in read([file], passed)] == ["started", "ready"]
    assert [n.split(":")[1] for n in passed.named] == ["2", "3", "4", "7", "8"] and "torn" in passed.named[-1]


def test_a_line_without_end_costs_no_memory_and_ends_nothing(tmp_path):
    file = tmp_path / "records"
    file.write_bytes(b"x" * (5 << 20) + b"\n" + Tape().lines().encode())
    passed = Passed()
    assert [e.name for e in read([file], passed)] == ["started", "ready"] and passed.count == 1


def test_another_format_is_passed_over(tmp_path):
    file = tmp_path / "records"
    file.write_text(Tape().lines().replace('"format": 1', '"format": 9'))
    passed = Passed()
    assert [e.name for e in read([file], passed)] == ["ready"] and "format 9" in passed.named[0]


def test_parts_are_read_in_the_order_of_their_lives_whatever_order_they_are_named_in(tmp_path):
    tape = Tape().taken("aa01").over("aa01")
    first, second = tmp_path / "z", tmp_path / "a"
    text = tape.lines().splitlines(keepends=True)
    first.write_text("".join(text[:2]))
    second.write_text("".join(text[2:]))
    assert [e.name for e in read([second, first], Passed())] == ["started", "ready", "answered", "over"]


def test_random_damage_never_crashes(tmp_path):
    luck, file = random.Random(7), tmp_path / "records"
    whole = bytearray(Tape().taken("aa01").sent("aa01").outcome("aa01").over("aa01").lines().encode())
    for _ in range(300):
        data = bytearray(whole)
        for _ in range(luck.randint(1, 6)):
            data[luck.randrange(len(data))] = luck.randrange(256)
        file.write_bytes(data[: luck.randint(1, len(data))])
        passed = Passed()
        a.audit(read([file], passed), passed)


def test_a_file_that_is_not_there():
    with pytest.raises(ReadError, match="nowhere"):
        list(read([__import__("pathlib").Path("/nowhere")], Passed()))


# --- Writing.


class Loop:
    """The turns that a loop would give."""

    def __init__(self):
        self.now, self.due = 0.0, []

    def later(self, seconds, call):
        self.due.append(call)

    def turn(self):
        due, self.due = self.due, []
        for call in due:
            call()


def recorder(tmp_path, loop, **more):
    settings = RecordsSettings(on=True, **{"most_mb": 1.0, **more})
    made = r.Recorder(settings, tmp_path, lambda: loop.now, loop.later)
    made.begin({"name": "n0", "format": 1, "pid": 1, "classes": CLASSES})
    return made


def test_nothing_is_written_before_the_loops_next_turn_and_slices_are_bounded(tmp_path):
    loop = Loop()
    made = recorder(tmp_path, loop)
    for n in range(3 * r.SLICE):
        made.note("sent", id=f"aa{n}", attempt=0, server="s1")
    assert (tmp_path / "records.jsonl").read_bytes() == b""
    loop.turn()
    assert (tmp_path / "records.jsonl").read_bytes().count(b"\n") == r.SLICE
    made.close()
    events = list(read([tmp_path / "records.jsonl"], Passed()))
    assert [e.seq for e in events] == list(range(1, 3 * r.SLICE + 2))


def test_disk_is_bounded_and_each_part_can_be_read_by_itself(tmp_path):
    loop = Loop()
    made = recorder(tmp_path, loop, most_mb=0.04, parts=4)
    for n in range(5000):
        made.note("sent", id=f"aa{n}", attempt=0, server="s1")
        if n % 50 == 0:
            loop.turn()
            assert sum(f.stat().st_size for f in tmp_path.iterdir()) <= 40_000
    made.close()
    parts = sorted(tmp_path.iterdir())
    assert [p.name for p in parts] == ["records.jsonl", "records.jsonl.1", "records.jsonl.2", "records.jsonl.3"]
    for part in parts:
        first, *rest = read([part], passed := Passed())
        assert first.name == "started" and rest and not passed.count
    events = list(read(parts, Passed()))
    assert [e.fields["id"] for e in events if e.name == "sent"][-1] == "aa4999"
    counted = [e.seq for e in events if e.seq]
    assert counted == list(range(counted[0], 5002)) and sum(not e.seq for e in events) >= 3
    assert a.audit(events, Passed())[0]["senders"]["n0"]["missing"] == 0


def test_a_line_torn_by_a_kill_takes_no_other_with_it(tmp_path):
    (tmp_path / "records.jsonl").write_bytes(Tape().lines().encode() + b'{"event":"sent","se')
    made = recorder(tmp_path, Loop())
    made.close()
    passed = Passed()
    assert [e.name for e in read([tmp_path / "records.jsonl"], passed)] == ["started", "ready", "started"]
    assert passed.count == 1


def test_memory_is_bounded_and_what_is_lost_is_counted(tmp_path):
    loop = Loop()
    made = recorder(tmp_path, loop, most_held=100)
    for n in range(250):
        made.note("sent", id=f"aa{n}", attempt=0, server="s1")
    made.close()
    events = list(read([tmp_path / "records.jsonl"], Passed()))
    assert [e.fields["lost"] for e in events if e.name == "gap"] == [151]
    assert sum(e.name == "sent" for e in events) == 99


def test_a_full_disk_loses_records_and_nothing_else(tmp_path, monkeypatch):
    loop, full, real = Loop(), [True], os.write
    made = recorder(tmp_path, loop)

    monkeypatch.setattr(r.os, "write", lambda f, d: real(f, d[:7]) if full[0] else real(f, d))
    made.note("sent", id="aa01", attempt=0, server="s1")
    loop.turn()
    assert (tmp_path / "records.jsonl").read_bytes() == b""  # no torn line stays
    full[0] = False
    made.note("sent", id="aa02", attempt=0, server="s1")
    made.close()
    passed = Passed()
    events = list(read([tmp_path / "records.jsonl"], passed))
    assert passed.count == 0
    assert [e.fields["lost"] for e in events if e.name == "gap"] == [2]  # the start and one dispatch
    assert [e.fields["id"] for e in events if e.name == "sent"] == ["aa02"]


# --- Settings and the command.


@pytest.mark.parametrize(
    "text, named",
    [
        ('{"on": true, "most_mb": "much"}', "$.most_mb"),
        ('{"on": true, "most_mb": 0}', "$.most_mb"),
        ('{"on": true, "parts": 1}', "$.parts"),
        ('{"on": true, "where": "x"}', "where"),
        ('{"on": true, "most_held": 2.5}', "$.most_held"),
        ('{"on": true, "file": ""}', "$.file"),
        ('{"on": true, "most_mb": 1}', "most_mb must be at most 0.15"),
    ],
)
def test_a_wrong_key_is_named(tmp_path, text, named):
    with pytest.raises(OptionError) as bad:
        read_settings(text.encode(), tmp_path, 3_000_000)
    assert named in str(bad.value) and "records.json" in str(bad.value)


@pytest.mark.parametrize(
    "text, named", [("{", "no JSON"), ("[]", "must be an object"), ('{"on": "yes"}', "on must be true or false")]
)
def test_a_switch_that_cannot_be_read_is_named(tmp_path, text, named):
    (tmp_path / "records.json").write_text(text)
    with pytest.raises(OptionError, match=named):
        switched_on("records", {"LINKDOCK_DEPLOY": str(tmp_path)})


def test_the_shipped_file_is_off_and_lawful_and_its_schema_is_the_programs(tmp_path):
    assert switched_on("records", {}) is None
    from linkdock.options import FOLDER

    read_settings((FOLDER / "records.json").read_bytes(), tmp_path, 3_000_000)
    assert json.loads((FOLDER / "schema" / "records.json").read_text()) == schema()


def test_audit_says_what_it_found_by_its_exit_status(tmp_path):
    good, bad, none = tmp_path / "good", tmp_path / "bad", tmp_path / "none"
    good.write_text(lived(Tape().taken("aa01").over("aa01")).lines())
    bad.write_text(lived(Tape().taken("aa01")).lines() + "torn")
    none.write_text("a log\n")
    run = CliRunner().invoke
    done = run(cli, ["audit", str(good)])
    assert done.exit_code == 0 and "no fault" in done.output
    done = run(cli, ["audit", str(bad), "--json"])
    told = json.loads(done.output)
    assert done.exit_code == 1 and told["faults"] == {a.NO_END: 1} and told["passed_over"] == 1
    assert told["found"][0]["message"] == "aa01" and told["found"][0]["line"] == 3
    done = run(cli, ["audit", str(good), "--message", "aa01"])
    assert "over" in done.output and done.exit_code == 0
    for words in ([str(none)], [str(tmp_path / "nowhere")], [], [str(good), "--message", "zz"]):
        done = run(cli, ["audit", *words])
        assert done.exit_code == 2 and "Traceback" not in done.output, words


def test_off_means_not_imported():
    code = (
        "import sys, linkdock.service.run\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('structlog', 'msgspec', 'click')"
        " or m.startswith(('linkdock.records', 'linkdock.console'))])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout.strip() == "[]"
