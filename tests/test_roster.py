"""The packed list and the reader of discovery's lines, against plain dictionaries and plain JSON."""

import json
import random
import time

import pytest

from linkdock.facade import Server
from linkdock.protocol.discovery import Staging, read_rows
from linkdock.protocol.listing import BadListError, ListReader, Rows, Told
from linkdock.state.roster import Roster
from linkdock.state.table import KNOWN_FOR, MOST_KNOWN, MOST_WAITS, ServerTable


def server(name, destination=1, **more):
    return Server(name, ("10.0.0.1", 6379), destination, **more)


def test_a_roster_holds_what_a_dictionary_would():
    luck, roster, plain = random.Random(5), Roster(), {}
    names = [f"s-{n:x}" for n in range(300)] + ["a name of more than sixteen letters", "ж", "x" * 400]
    for step in range(20_000):
        name = luck.choice(names)
        if luck.random() < 0.3:
            assert roster.remove(name) is (plain.pop(name, None) is not None)
        else:
            told = Server(
                name,
                (luck.choice(["10.1.2.3", "::1", "a.example", ""]), luck.randrange(65536)),
                luck.randrange(-3, 40),
                luck.choice(["ready", "draining"]),
                luck.randrange(3),
                luck.randrange(4),
                0.5,
                float(luck.randrange(10**9)),
            )
            roster.put(told)
            plain[name] = told
        if step % 500 == 0:
            assert {s.name: s for s in roster} == plain and len(roster) == len(plain)
            for destination in range(-3, 40):
                assert sorted(roster.of(destination)) == sorted(
                    s for s in plain.values() if s.destination == destination
                )
                assert roster.knows(destination) is any(s.destination == destination for s in plain.values())
    assert all(roster.row(name) == plain.get(name) for name in names)


def test_a_row_that_is_gone_is_out_and_its_room_is_used_again():
    roster = Roster()
    for n in range(1000):
        roster.put(server(f"s-{n}", n))
    size = roster.size()
    for n in range(50_000):  # a day of replaced ids
        roster.put(server(f"s-{n}", health="gone"))
        roster.put(server(f"s-{n + 1000}", n % 1000))
    assert len(roster) == 1000 and roster.size() < 1.3 * size


def test_fifty_thousand_rows_take_few_bytes_and_no_put_holds_the_loop():
    roster, longest = Roster(), 0.0
    for n in range(50_000):
        began = time.process_time()
        roster.put(server(f"s-{n:08x}", n))
        longest = max(longest, time.process_time() - began)
    assert roster.size() / 50_000 < 110 and longest < 0.02
    assert roster.of(49_999)[0].name == f"s-{49_999:08x}" and roster.partners(0) == 50_000


def test_a_server_that_moves_to_another_destination_leaves_the_first():
    roster = Roster()
    roster.put(server("s1", 1))
    roster.put(server("s1", 2))
    assert not roster.knows(1) and [s.name for s in roster.of(2)] == ["s1"] and len(roster) == 1


# --- The server table.


def test_a_destination_is_known_a_while_after_its_last_server_has_gone():
    now = [0.0]
    table = ServerTable([False], lambda: now[0])
    table.update([server("s1", 7)], 1)
    table.update([server("s1", 7, health="gone")], 2)
    assert table.knows(7) and table.closed("s1", 0.0, 7) == "is gone"
    now[0] = KNOWN_FOR + 1
    table.forget()
    assert not table.knows(7)


def test_a_whole_list_replaces_the_one_before_and_is_forgotten_in_time():
    now = [0.0]
    table = ServerTable([False], lambda: now[0])
    table.update([server("s1", 7)], 1)
    fresh = Roster()
    fresh.put(server("s2", 8))
    table.replace(fresh, 2)
    assert table.row("s1") is None and table.knows(7) and table.knows(8) and table.version == 2
    now[0] = KNOWN_FOR + 1
    table.forget()
    assert not table.knows(7) and table.knows(8)


def test_the_tables_memories_are_bounded():
    now = [0.0]
    table = ServerTable([True], lambda: now[0])
    for n in range(3 * MOST_KNOWN):
        table.update([server(f"s{n}", n)], n)
        table.told_wait(table.row(f"s{n}"), now[0] + 0.5)
        table.update([server(f"s{n}", n, health="gone")], n)
        now[0] += 0.01
    assert len(table._emptied) <= MOST_KNOWN and len(table._waits) <= 2 * MOST_WAITS


# --- Lines.


def line(rows, seq=3, whole=True, **more):
    return json.dumps({"seq": seq, "whole": whole, "hosts": rows, **more}).encode() + b"\n"


def row(name, **more):
    return {
        "host": name,
        "dial": "10.0.0.1:6379",
        "site": "a",
        "class": "x",
        "block": 1,
        "health": "ready",
        "share": 1.0,
        "born_ms": 0,
        **more,
    }


def fed(data, size):
    reader, rows, told = ListReader(), [], []
    for at in range(0, len(data), size):
        for part in reader.feed(data[at : at + size]):
            if isinstance(part, Rows):
                rows += part.rows
            else:
                told.append((part, rows))
                rows = []
    return told


@pytest.mark.parametrize("size", [1, 7, 64, 1 << 20])
def test_lines_are_read_alike_in_whatever_pieces_they_come(size):
    odd = [row('brace } ] " \\ ж'), row("b", extra={"deep": [1, {"x": "]}"}]}), {}]
    data = b"\n" + line(odd) + b"\n\n" + line([], whole=False, seq=4) + line([row("c"), row("d")], seq=5, more="]")
    assert fed(data, size) == [(Told(True, 3), odd), (Told(False, 4), []), (Told(True, 5), [row("c"), row("d")])]


@pytest.mark.parametrize("indent", [1, 4, "\t"])
@pytest.mark.parametrize("size", [1, 7, 64, 1 << 20])
def test_lists_may_come_indented_and_tell_the_same(size, indent):
    odd = [
        row('brace } ] " \\ ж', share=0.25, born_ms=-1.5e-7),
        row("b", extra={"deep": [1, {"x": None}]}),
        {},
        7,
        True,
    ]
    lists = [(True, 3, odd), (False, 4, []), (True, 5, [row("c"), row("d")])]
    data = "\n".join(
        json.dumps({"seq": seq, "whole": whole, "hosts": rows, "more": [1]}, indent=indent) + "\n"
        for whole, seq, rows in lists
    ).encode()
    assert fed(data, size) == [(Told(whole, seq), rows) for whole, seq, rows in lists]


def test_keys_may_come_in_any_order():
    data = json.dumps({"hosts": [row("a")], "whole": True, "seq": 9}).encode() + b"\n"
    assert fed(data, 10) == [(Told(True, 9), [row("a")])]


@pytest.mark.parametrize(
    "data",
    [
        b"no list\n",
        b'{"seq":1}\n',
        b"[1]\n",
        b'{"hosts":[{"a":}]}\n',
        b'{"hosts":[{},}\n',
        b'{"hosts":[]\n\n',
        b'{"hosts":[{"a":1,\n{"seq":4,"hosts":[]}\n',
        b'{"hosts":[{"a":"\n',
        b'{"seq":1,\n\n',
        b'{"hosts":[]}x\n',
        b'{"seq":"x","hosts":[]}\n',
        b"x" * 70_000,
        b'{"hosts":[{"a":"' + b"x" * 20_000,
        b'{"hosts":[]' + b" " * 70_000,
        b"\xff\xfe\n",
        b'{"hosts":[' + b"[" * 100_000,
    ],
)
@pytest.mark.parametrize("size", [13, 4096])
def test_what_is_no_list_is_refused_and_holds_little(data, size):
    with pytest.raises(BadListError):
        fed(data, size)


def test_random_damage_to_a_line_never_crashes():
    luck, whole = random.Random(11), line([row(f"s{n}") for n in range(20)])
    for _ in range(400):
        data = bytearray(whole)
        for _ in range(luck.randint(1, 4)):
            data[luck.randrange(len(data))] = luck.randrange(256)
        try:
            for _, rows in fed(bytes(data), 100):
                read_rows(rows, ["a"], ["x"])
        except BadListError:
            pass


class Desk:
    def __init__(self):
        self.changes, self.lists = [], []

    def changed(self, servers, version):
        self.changes.append(([s.name for s in servers], version))

    def whole(self, roster, version):
        self.lists.append((sorted(s.name for s in roster), version))


def stage(desk, data, most=1 << 20, size=4096):
    reader, staging = ListReader(), Staging(desk, most)
    for at in range(0, len(data), size):
        for part in reader.feed(data[at : at + size]):
            if isinstance(part, Rows):
                staging.rows(read_rows(part.rows, ["a"], ["x"]), part.whole)
            else:
                staging.told(part.whole, part.version)


def test_a_whole_list_is_handed_on_when_it_is_whole_and_changes_as_they_come():
    desk = Desk()
    stage(desk, line([row("a"), row("b")]))
    stage(desk, line([row(f"s{n}") for n in range(450)], seq=4, whole=False), size=1 << 20)
    assert desk.lists == [(["a", "b"], 3)]
    assert [len(names) for names, _ in desk.changes] == [200, 200, 50, 0] and desk.changes[-1][1] == 4


def test_a_list_beyond_its_bound_is_refused_whole_and_the_next_is_taken(caplog):
    desk = Desk()
    stage(desk, line([row(f"s{n}") for n in range(3000)]) + line([row("a")], seq=4), most=150_000)
    assert desk.lists == [(["a"], 4)]
    assert [r.message for r in caplog.records if "refused" in r.message and "memory_mb" in r.message]
    assert sum("refused" in r.message for r in caplog.records) == 1


def test_half_a_whole_list_changes_nothing():
    desk = Desk()
    with pytest.raises(BadListError):
        stage(desk, line([row("a"), row("b")])[:-20] + b"}}}\n")
    assert desk.lists == [] and desk.changes == []


def test_rows_that_cannot_be_read_are_passed_over_and_the_log_is_bounded(caplog):
    bad = [
        row("a", dial="nowhere"),
        row("b", health="well"),
        row("c", block="x"),
        {},
        3,
        row("d", dial="h:99999"),
        row("e", block=1 << 70),
        row("f", share="much"),
    ]
    assert [s.name for s in read_rows([*bad, row("g"), *bad * 50], ["a"], ["x"])] == ["g"]
    assert len(caplog.records) <= 21
