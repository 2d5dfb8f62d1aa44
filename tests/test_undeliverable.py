"""Undeliverable messages: the store, what is proven, what commands may do, and what breaks under it."""

import asyncio
import json
import os
import resource
import signal
import sqlite3
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from click.testing import CliRunner

from linkdock.console.main import cli
from linkdock.options import FOLDER, OptionError, switched_on
from linkdock.state.journal import Journal
from linkdock.state.journal_records import Kept
from linkdock.undeliverable import settings as shape
from linkdock.undeliverable.facts import DONE, MAY, NEVER, Attempt, Message, Statement, attempts_of, in_doubt
from linkdock.undeliverable.facts import may_be_sent_again as why_not
from linkdock.undeliverable.store import Filter, Store, StoreError
from linkdock.undeliverable.writer import BATCH, Undeliverable


def message(name="aa01", **more):
    return Message(
        **{
            "id": name,
            "key": "0" * 16,
            "cls": "order",
            "destination": 7,
            "body": b"\0body",
            "until": 50.0,
            "ended": 40.0,
            "cause": "undeliverable",
            "repeatable": False,
            "attempts": [],
            **more,
        }
    )


@pytest.fixture
def store(tmp_path):
    made = Store(tmp_path / "u.db", write=True)
    yield made
    made.close()


def run(*words):
    done = CliRunner().invoke(cli, ["undeliverable", *map(str, words)])
    assert "Traceback" not in done.output
    return done


def test_doubt_is_ended_by_proof_alone():
    doubtful = message(attempts=[Attempt(0, NEVER), Attempt(1, MAY)])
    never = Statement(who="a", why="b", at=1.0, proof=NEVER, upto=2)
    ran = Statement(who="a", why="b", at=2.0, proof=DONE, upto=2)
    assert in_doubt(doubtful, []) and "in doubt" in why_not(doubtful, [])
    assert not in_doubt(doubtful, [never]) and why_not(doubtful, [never]) is None
    assert why_not(doubtful, [never, ran]) == "has run" and why_not(doubtful, [ran]) == "has run"
    assert why_not(message(attempts=[Attempt(0, NEVER)]), []) is None
    assert why_not(message(attempts=[Attempt(0, MAY)], repeatable=True), []) is None
    assert why_not(message(attempts=[Attempt(0, DONE)], repeatable=True), []) == "has run"
    assert why_not(message(state="dropped"), []) == "is dropped"
    again = message(attempts=[Attempt(0, NEVER), Attempt(1, MAY), Attempt(2, MAY)])
    assert in_doubt(again, [never])  # it speaks of the attempts that there were then


def test_attempts_are_those_of_the_journal():
    assert attempts_of(3, {1}) == [Attempt(0, NEVER), Attempt(1, MAY), Attempt(2, NEVER)]
    assert attempts_of(0, set()) == [] and len(attempts_of(0, {4})) == 5


def test_a_message_is_kept_once_and_found_by_what_is_asked(store):
    other = message("aa02", destination=8, cls="preview", repeatable=True, cause="deferred", ended=90.0)
    store.keep([message(), other])
    store.keep([message(cause="deferred")])  # a restart hands it in again
    assert [m.id for m, _ in store.find(Filter())] == ["aa01", "aa02"]
    assert next(store.find(Filter(id="aa01")))[0] == message()
    for which, ids in (
        (Filter(destination=8), ["aa02"]),
        (Filter(cls="order"), ["aa01"]),
        (Filter(before=60.0), ["aa01"]),
        (Filter(since=60.0), ["aa02"]),
        (Filter(cause="deferred"), ["aa02"]),
        (Filter(doubt=True), []),
    ):
        assert [m.id for m, _ in store.find(which)] == ids


def test_one_shut_member_does_not_push_out_anothers(store):
    store.keep([message(f"a{n:03}", destination=1, ended=n) for n in range(100)])
    store.keep([message(f"b{n:03}", destination=2, ended=n) for n in range(5)])
    told = shape.UndeliverableSettings(most_each=20, most=1000, keep_days=1000)
    assert store.tidy(told, 200.0) == 80
    left = [m for m, _ in store.find(Filter())]
    assert sorted(m.id for m in left) == [f"a{n:03}" for n in range(80, 100)] + [f"b{n:03}" for n in range(5)]
    store.tidy(shape.UndeliverableSettings(most_each=12, most=12, keep_days=1000), 200.0)
    left = [m for m, _ in store.find(Filter())]
    assert sum(m.destination == 2 for m in left) == 5 and len(left) <= 17
    assert store.tidy(shape.UndeliverableSettings(keep_days=1.0), 86400.0 * 2) == len(left)


def test_the_bytes_of_a_destination_are_bounded(store):
    store.keep([message(f"a{n:03}", body=b"x" * 10_000, ended=n) for n in range(50)])
    while store.tidy(shape.UndeliverableSettings(most_each_mb=0.1, keep_days=1000), 100.0):
        pass
    left = [m.id for m, _ in store.find(Filter())]
    assert 5 <= len(left) <= 10 and left[-1] == "a049"


def test_a_full_disk_in_the_middle_of_a_batch_keeps_all_of_it_or_nothing(tmp_path):
    store = Store(tmp_path / "u.db", write=True)
    store.keep([message("first")])
    before = resource.getrlimit(resource.RLIMIT_FSIZE)
    old = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (200_000, before[1]))
    try:
        with pytest.raises(StoreError):
            store.keep([message(f"m{n:04}", body=os.urandom(5000)) for n in range(200)])
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, before)
        signal.signal(signal.SIGXFSZ, old)
    assert [m.id for m, _ in store.find(Filter())] == ["first"]
    store.keep([message("later")])
    assert len(list(store.find(Filter()))) == 2
    store.close()


@pytest.mark.parametrize("damage", ["other", "torn", "foreign"])
def test_what_is_no_store_or_is_damaged_is_refused_by_name(tmp_path, damage):
    path = tmp_path / "u.db"
    if damage == "other":
        path.write_bytes(b"no database at all " * 100)
    elif damage == "torn":
        store = Store(path, write=True)
        store.keep([message(f"m{n:04}", body=b"x" * 500) for n in range(200)])
        store.close()
        data = bytearray(path.read_bytes())
        data[4096:40960] = b"\xff" * (40960 - 4096)
        path.write_bytes(data)
    else:
        db = sqlite3.connect(path)
        db.execute("create table t (x)")
        db.close()
    with pytest.raises(StoreError) as bad:
        list(Store(path, write=False).find(Filter()))
    assert "u.db" in str(bad.value)
    assert run("list", path).exit_code == 2


def test_two_operators_who_state_at_once_leave_one_statement(tmp_path):
    path = tmp_path / "u.db"
    one, two = Store(path, write=True), Store(path, write=True)
    doubtful = message(attempts=[Attempt(0, MAY)])
    one.keep([doubtful])
    one.state(doubtful, Statement(who="a", why="b", at=1.0, proof=NEVER, upto=2))
    with pytest.raises(StoreError):
        two.state(doubtful, Statement(who="c", why="d", at=2.0, proof=DONE, upto=2))
    assert [s.who for s in next(two.find(Filter()))[1]] == ["a"]


def test_commands_show_and_state_and_drop_and_never_end_a_doubt_by_themselves(tmp_path):
    path = tmp_path / "u.db"
    store = Store(path, write=True)
    store.keep(
        [
            message("aa01", attempts=[Attempt(0, MAY)], ended=time.time() - 100),
            message("aa02", attempts=[Attempt(0, NEVER)], ended=time.time()),
        ]
    )
    rows = json.loads(run("list", path, "--json").output)
    assert [(r["id"], r["in doubt"]) for r in rows] == [("aa01", True), ("aa02", False)]
    assert json.loads(run("list", path, "--json", "--older", "1m").output)[0]["id"] == "aa01"
    assert "in doubt" in run("list", path, "--doubt").output and "aa02" not in run("list", path, "--doubt").output
    assert json.loads(run("show", path, "aa01").output)[0]["body"]
    assert json.loads(run("stats", path).output)[0]["in doubt"] == 1
    assert run("resolve", path, "aa01", "--why", "asked them").exit_code == 2
    assert run("resolve", path, "aa01", "--never-ran", "--why", " ").exit_code == 2
    assert run("resolve", path, "aa02", "--never-ran", "--why", "x").exit_code == 2  # it is in no doubt
    assert run("resolve", path, "aa01", "--never-ran", "--who", "w", "--why", "asked them").exit_code == 0
    assert run("resolve", path, "aa01", "--ran", "--why", "twice").exit_code == 2
    told = json.loads(run("show", path, "aa01").output)[0]
    assert told["not sent again because"] is None and told["statements"][0]["who"] == "w"
    assert "2 would be dropped" in run("drop", path).output and len(json.loads(run("list", path, "--json").output)) == 2
    assert "1 dropped" in run("drop", path, "--id", "aa02", "--yes").output
    assert [r["id"] for r in json.loads(run("list", path, "--json").output)] == ["aa01"]
    for to in ("out.jsonl", "out.parquet"):
        assert "2 written" in run("export", path, tmp_path / to, "--dropped").output
    assert len((tmp_path / "out.jsonl").read_text().splitlines()) == 2
    for words in (
        ["list", tmp_path / "none"],
        ["show", path, "zz"],
        ["list", path, "--older", "soon"],
        ["export", path, tmp_path / "no" / "x"],
        ["list", path, "--most", "0"],
    ):
        assert run(*words).exit_code == 2
    store.close()


def test_the_journal_holds_a_message_with_its_body_until_the_store_has_it(tmp_path):
    journal = Journal(tmp_path, 100_000)
    for name in ("aa01", "aa02"):
        journal.take(Kept(name, "0" * 16, "order", 1, time.time() + 60, b"the body"))
    journal.hold("aa01")
    for name in ("aa01", "aa02"):
        journal.notice(name, {"id": name, "status": "undeliverable"})
        journal.end(name)  # the platform has confirmed it
    assert set(journal.kept) == {"aa01"}
    for n in range(300):  # it is rewritten meanwhile
        journal.take(Kept(f"m{n}", "0" * 16, "order", 1, time.time() + 60, b"x" * 500))
        journal.end(f"m{n}")
    journal.close()
    after = Journal(tmp_path, 100_000)  # a kill before the store had it
    assert after.kept["aa01"].body == b"the body" and after.kept["aa01"].notice is not None
    after.hold("aa01")
    after.end("aa01")
    after.release("aa01")
    assert not after.kept
    after.close()


@pytest.mark.parametrize(
    "text, named",
    [
        ('{"most": 0}', "$.most"),
        ('{"most": 5, "most_each": 9}', "most_each must be at most most"),
        ('{"file": ""}', "$.file"),
        ('{"keep_days": 0}', "$.keep_days"),
        ('{"x": 1}', "x"),
        ("[", "undeliverable.json"),
    ],
)
def test_settings_that_cannot_be_are_named(text, named):
    with pytest.raises(OptionError) as bad:
        shape.read(text.encode())
    assert named in str(bad.value) and "undeliverable.json" in str(bad.value)


def test_the_shipped_file_is_off_and_lawful_and_its_schema_is_the_programs():
    assert switched_on("undeliverable", {}) is None
    shape.read((FOLDER / "undeliverable.json").read_bytes())
    assert json.loads((FOLDER / "schema" / "undeliverable.json").read_text()) == shape.schema()


def test_two_operators_with_the_same_and_with_other_batches_put_each_message_in_line_once(tmp_path):
    path = tmp_path / "u.db"
    one, two = Store(path, write=True), Store(path, write=True)
    messages = [message(f"m{n}") for n in range(10)]
    one.keep([*messages, message("doubt", attempts=[Attempt(0, MAY)])])
    found = [m for m, _ in two.find(Filter())]
    assert one.ask("b1", "a", found)[0] == 10
    assert two.ask("b1", "c", found) == (0, {"this batch was asked for already": 11})
    count, refused = two.ask("b2", "c", found)
    assert count == 0 and refused["is asked"] == 10 and any("doubt" in why for why in refused)
    first = one.claim(4, {}, 99)
    assert len(first) == 4 and not {m.id for m in first} & {m.id for m in two.claim(99, {}, 99)}
    assert len(one.claimed()) == 10 and one.claim(99, {}, 99) == []


def test_a_claim_leaves_each_destination_its_pace(store):
    store.keep([message(f"m{n}", destination=n % 2) for n in range(10)])
    store.ask("b", "a", [m for m, _ in store.find(Filter())])
    assert sorted(m.destination for m in store.claim(99, {0: 1}, 2)) == [0, 1, 1]
    assert store.claim(99, {0: 2, 1: 2}, 2) == []


def test_what_became_of_a_claim_is_told_once_and_a_new_doubt_is_one(store):
    store.keep([message("aa01", attempts=[Attempt(0, NEVER)]), message("aa02"), message("aa03")])
    store.ask("b", "a", [m for m, _ in store.find(Filter())])
    by_id = {m.id: m for m in store.claim(99, {}, 99)}
    store.outcome(by_id["aa01"], False, [Attempt(0, NEVER), Attempt(1, MAY)])
    store.outcome(by_id["aa02"], True, [Attempt(0, DONE)])
    store.outcome(by_id["aa02"], False, [])  # too late: it is not claimed any more
    store.unclaim([by_id["aa03"]])
    rows = {m.id: (m, said) for m, said in store.find(Filter(state=None))}
    assert rows["aa01"][0].attempts == [Attempt(0, NEVER), Attempt(1, NEVER), Attempt(2, MAY)]
    assert in_doubt(*rows["aa01"])
    assert rows["aa02"][0].state == "delivered" and rows["aa03"][0].state == "asked"
    assert why_not(*rows["aa02"]) == "is delivered"


def test_a_rule_sends_again_so_often_at_its_spacing_and_never_what_is_in_doubt(store):
    rule = shape.Rule(cls="order", cause="undeliverable", after_s=10.0, every_s=100.0, times=2, until_s=1000.0)
    now = time.time()
    store.keep(
        [
            message("sure", cause="undeliverable", ended=now - 20),
            message("early", cause="undeliverable", ended=now + 5000),
            message("other", cause="deferred", ended=now - 20),
            message("old", cause="undeliverable", ended=now - 2000),
            message("preview", cls="preview", cause="undeliverable", ended=now - 20),
            message("doubt", cause="undeliverable", ended=now - 20, attempts=[Attempt(0, MAY)]),
        ]
    )
    assert store.by_rule(0, rule, now, 99) == 1
    for at, count in ((now + 1, 0), (now + 101, 1), (now + 500, 0)):
        for claimed in store.claim(9, {}, 9):
            assert claimed.id == "sure"
            store.outcome(claimed, False, [Attempt(0, NEVER)])
        assert store.by_rule(0, rule, at, 1) == count
    assert store.by_rule(0, rule, now - 50, 99) == 0  # a clock that was set back makes nothing due


@pytest.mark.parametrize("attempts", [[], [Attempt(0, NEVER)]])
def test_an_order_that_was_handed_back_is_sent_again_only_after_a_statement(store, attempts):
    # Its client had handed it in again, as it was told to, and the resend had it take effect twice.
    now = time.time()
    store.keep([message(cause="deferred", ended=now - 20, attempts=attempts)])
    for cause in (None, "deferred"):
        rule = shape.Rule(cls="order", cause=cause, after_s=10.0, every_s=100.0, times=2, until_s=1000.0)
        assert store.by_rule(0, rule, now, 99) == 0
    ((kept, said),) = store.find(Filter(doubt=True))
    assert "in doubt" in why_not(kept, said) and not list(store.find(Filter(doubt=False)))
    store.state(kept, Statement(who="staff", why="not in their log", at=now, proof=NEVER, upto=len(attempts)))
    ((kept, said),) = store.find(Filter(doubt=False))
    assert why_not(kept, said) is None


def test_a_message_that_may_run_twice_is_sent_again_also_where_it_was_handed_back(store):
    store.keep([message(cause="deferred", repeatable=True)])
    ((kept, said),) = store.find(Filter(doubt=False))
    assert why_not(kept, said) is None


def test_an_order_takes_effect_once_or_is_in_doubt_wherever_between_its_writes_the_sender_is_killed(tmp_path):
    child = [sys.executable, str(Path(__file__).with_name("crash_child.py"))]
    env = {**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)}

    def kill_at(point):
        folder = tmp_path / str(point)
        folder.mkdir()
        lives = [
            subprocess.run([*child, str(folder), str(at)], env=env, capture_output=True, text=True) for at in (point, 0)
        ]
        assert lives[0].returncode in (0, 9) and lives[1].returncode == 0, (point, lives)
        store = Store(folder / "undeliverable.db", write=False)
        ((found, said),) = store.find(Filter(state=None))
        store.close()
        effects = folder / "effects"
        times = len(effects.read_text().splitlines()) if effects.exists() else 0
        return lives[0].returncode, found.state, in_doubt(found, said), times

    whole = tmp_path / "whole"
    whole.mkdir()
    points = int(subprocess.run([*child, str(whole), "0"], env=env, capture_output=True, text=True).stdout)
    assert points >= 20  # else some were missed
    ended, killed = [], 0
    with ThreadPoolExecutor(4) as pool:
        for ended_by, state, doubt, times in pool.map(kill_at, range(1, points + 1)):
            killed += ended_by == 9
            ended.append((state, doubt, times))
    assert killed >= 0.9 * points  # transactions of the two threads may come in another number
    assert all(times == 1 if state == "delivered" else doubt and times <= 1 for state, doubt, times in ended), ended
    assert ("delivered", False, 1) in ended and any(doubt for _, doubt, _ in ended)


@pytest.mark.parametrize("broken", [False, True])
def test_many_at_once_are_all_kept_and_none_stays_held_also_where_the_store_breaks_unforeseen(
    tmp_path, monkeypatch, broken
):
    many = 2 * BATCH + 50
    if broken:
        monkeypatch.setattr(Store, "keep", lambda self, messages: 1 / 0)

    async def story():
        journal = Journal(tmp_path, 10_000_000)
        store = Undeliverable(b'{"on": true}', tmp_path, journal, asyncio.get_running_loop())
        for n in range(many):
            name = f"m{n}"
            journal.take(Kept(name, "0" * 16, "order", 1, time.time() + 60, b"x"))
            store.keep(journal.kept[name], "undeliverable", False, False)
            journal.end(name)
        assert len(journal.kept) == many
        store.start(lambda message: False)
        until = time.monotonic() + 8
        while journal.kept:
            assert time.monotonic() < until
            await asyncio.sleep(0.01)
        store.close()
        journal.close()

    asyncio.run(story())
    kept = Store(tmp_path / "undeliverable.db", write=False)
    assert len(list(kept.find(Filter()))) == (0 if broken else many)
    kept.close()
