"""Two customers in one process: neither's settings, list, luck or past may show in what the other one does."""

import ast
import importlib
import inspect
import json
import pathlib
import struct
import tomllib
from dataclasses import replace
from random import Random

import pytest
from peers import settings as story_settings

from linkdock import interface as i
from linkdock import wire
from linkdock.decisions import Relay
from linkdock.drill import Host
from linkdock.facade import Cancel, Dispatch, End, Facade, Server, Table, Take, Withdraw
from linkdock.service import config

ROOT = pathlib.Path(__file__).parent.parent
STEP, STEPS = 0.05, 400
RESULTS = {result: code for code, result in wire.RESULTS.items()}


def grade(effect, aim, deadline, **more):
    return {"idempotency": effect, "aim": aim, "hard-limit": deadline, **more}


def told(*grades, weights="silent", discovery="automatic", **more):
    limits = {"max-open": 40, "max-attempts": 6, "cancel": True, "retry-after": True, "max-retry-after": 3.0}
    whole = {
        "grades": list(grades),
        "balancers": 2,
        "weights": weights,
        "discovery": discovery,
        "limits": limits,
        "extra": {"calls-out": 8},
        "report": {"fields": ["x0", "x1"]},
        "rules": {"fall-multiple": 1.5, "tip-after": 2.0, "cold": 12.0, "cold-share": 0.3},
    }
    for key, value in more.items():
        part, _, name = key.partition("__")
        (whole[part] if name else whole)[(name or part).replace("_", "-")] = value
    return whole


SAFE, KEYED, UNSAFE = "read_like", "idempotency_key", "non_idempotent"
SITES = {
    "waits told, no weights": told(
        grade(SAFE, 0.8, 6.0, **{"late-share": 0.1}), grade(UNSAFE, 4.0, 16.0, importance=2)
    ),
    "weights told": told(
        grade(SAFE, 2.0, 28.0),
        grade(UNSAFE, 2.0, 20.0),
        weights="nominal",
        extra__loses_worth="by_half",
        limits__retry_after=False,
        limits__cancel=False,
        rules__fall_multiple=2.0,
    ),
    "in a hurry and narrow": told(
        grade(SAFE, 0.5, 1.0), extra__calls_out=1, limits__max_open=2, limits__max_attempts=1
    ),
    "no rule of a return": told(grade(KEYED, 5.0, 60.0, window=0.5), rules={}, balancers=1, report={}),
    "in order, asked for": told(
        grade(SAFE, 1.0, 8.0, **{"keep-order": True}),
        grade(KEYED, 1.0, 12.0, window=5, group="zone"),
        discovery="subscribe",
        rules__settle_after_doubt=0.4,
        rules__ask_within=4.0,
    ),
    "of everything much": told(
        *(
            grade((SAFE, KEYED, UNSAFE)[n % 3], 0.2 + n / 9, 1.0 + n, window=n / 4, importance=1 + n % 4)
            for n in range(30)
        ),
        extra__separate_routes=[True, False, True],
        balancers=200,
        extra__bundle_max=[1, 10, 3],
        extra__zone_fee=[0.1 * n for n in range(12)],
        weights="rough",
    ),
}
PAIRS = [(a, b) for n, a in enumerate(SITES) for b in list(SITES)[n + 1 :]]


class Play:
    """One customer's day, drawn from one seed and its own relay's actions alone."""

    def __init__(self, site, seed, dies=False):
        self.told, self.draw, self.seed, self.dies = SITES[site], Random(seed), seed, dies
        self.classes = len(self.told["grades"])
        zones, kinds = len(self.told["extra"].get("zone-fee", [0])), len(self.told["extra"].get("bundle-max", [1]))
        self.hosts = [
            i.HostEntry(
                (b"\x0a\0\0" + bytes([n]), 80),
                n % 3,
                i.HostState.READY,
                n % 3 % kinds,
                n % zones,
                float(self.draw.choice([1, 5, 20])),
            )
            for n in range(7)
        ]
        self.out, self.bells, self.tries, self.last, self.did = [], [], {}, 0, []

    def events(self, now):
        draw, events = self.draw, []
        if now == 0:
            return [i.Hosts(i.ListKind.CACHED, self.hosts)]
        due = [one for one in self.out if one[0] <= now]
        self.out = [one for one in self.out if one[0] > now]
        for _, mid, attempt, host, sent in due:
            # By the second and the host, so that some fail for a while and return.
            mood = Random(f"{self.seed} {host} {int(now / 3)}").random()
            result = (
                draw.choice(list(i.Result))
                if draw.random() < 0.1
                else (
                    i.Result.OK
                    if mood < 0.6
                    else draw.choice([i.Result.FULL, i.Result.TIMEOUT, i.Result.CONNECT_FAILED])
                )
            )
            wait = draw.choice([0.0, 0.5]) if result is i.Result.FULL else 0.0
            report = i.Report(0.5, 8.0) if self.told["report"] and draw.random() < 0.5 else None
            events.append(i.Outcome(mid, attempt, host, result, now - sent, result is i.Result.OK, wait, report))
        events += [i.TimerDue(token) for at, token in self.bells if at <= now]
        self.bells = [one for one in self.bells if one[0] > now]
        for _ in range(draw.choice([0, 0, 0, 1, 1, 4])):
            self.last += 1
            cls = draw.randrange(self.classes)
            held, left = draw.random() < 0.1, self.told["grades"][cls]["hard-limit"]
            events.append(
                i.Message(
                    self.last,
                    cls,
                    draw.randrange(3),
                    left / 2 if held else left,
                    0,
                    draw.choice([0, 7, 8]),
                    False,
                    held,
                )
            )
        if draw.random() < 0.02:
            events.append(
                i.Hosts(i.ListKind.DELTA, [replace(draw.choice(self.hosts), state=draw.choice(list(i.HostState)))])
            )
        if draw.random() < 0.01 and self.last:
            events.append(i.Withdrawn(draw.randrange(self.last) + 1))
        return events

    def took(self, now, records):
        """Actions as they are on the wire, of one instance, each with its text."""
        self.did.append((now, records))
        for record, _ in records:
            if record[0] == 64:
                mid, address, port, limit = struct.unpack_from("<I4sHd", record, 1)
                self.tries[mid] = attempt = self.tries.get(mid, -1) + 1
                took = min(self.draw.expovariate(4.0), limit or 9.0)
                self.out.append((now + took, mid, attempt, (address, port), now))
            elif record[0] == 68:
                self.bells.append(struct.unpack_from("<dQ", record, 1))


def read(reply, relay):
    """The actions of one instance in a reply, without its number, and the texts that they point to."""
    (count,) = struct.unpack_from("<I", reply, 4)
    records, tail, found = [reply[8 + 24 * n : 32 + 24 * n] for n in range(count)], reply[8 + 24 * count :], []
    for record in records:
        if struct.unpack_from("<I", record, 1)[0] == relay:
            text = b""
            if record[0] in (72, 73):
                at, size = struct.unpack_from("<II", record, 5)
                record, text = record[:5], tail[at : at + size]
            assert record[0] != 73, text
            found.append((record[:1] + record[5:], text))
    return found


def written(relay, events, tail, bank):
    """Events as records of the wire; what is of any length goes into the tail."""
    records = []
    for e in events:
        match e:
            case i.Hosts(how, entries, version):
                rows = b"".join(
                    struct.pack(
                        "<4sHBBHBfd",
                        *h.host,
                        h.zone,
                        h.kind,
                        h.destination,
                        {state: code for code, state in wire.STATES.items()}[h.state],
                        h.weight,
                        0.0,
                    )
                    for h in entries
                )
                how = {kind: code for code, kind in wire.LISTS.items()}[how]
                records += [
                    struct.pack("<BBII", 10, bank, len(tail), len(entries)),
                    struct.pack("<BIBQB", 1, relay, how, version, bank),
                ]
                tail += rows
            case i.Message(mid, cls, destination, left, _, key, _, held):
                records.append(
                    struct.pack("<BIIIQddBBf", 2, relay, mid, 0, key, 0.0, left, cls, 16 * held, destination)
                )
            case i.Outcome(mid, attempt, host, result, spent, done, wait, report):
                note = 0 if report is None else 2
                load = (0.0, 0.0) if report is None else (report.left, report.limit)
                records.append(
                    struct.pack(
                        "<BIIdHBIB4sHB4f",
                        4,
                        relay,
                        mid,
                        spent,
                        RESULTS[result],
                        done,
                        int(wait * 1000),
                        attempt,
                        *host,
                        note,
                        *load,
                        0.0,
                        0.0,
                    )
                )
            case i.TimerDue(token):
                records.append(struct.pack("<BIQ", 6, relay, token))
            case i.Withdrawn(mid):
                records.append(struct.pack("<BII", 5, relay, mid))
    return records


def on_the_wire(plays, seed):
    """All plays as instances of one process that hosts them; one that dies is made anew at once."""
    host, order = Host(), Random(seed)
    for n in range(STEPS):
        records, tail, now, first = [], bytearray(), n * STEP, list(enumerate(plays, 3))
        order.shuffle(first)
        for number, play in first:
            if n == 0 or n == 3 * STEPS // 4 and play.dies:
                text, at = json.dumps(play.told).encode(), len(tail)
                tail += text
                records += [struct.pack("<BI", 9, number), struct.pack("<BIQII", 0, number, play.seed, at, len(text))]
                play.out, play.bells = [], []
                records += written(number, play.events(0), tail, 4)
            else:
                records += written(number, play.events(now), tail, 4)  # the numbered lists are the process's
        body = struct.pack("<dI", now, len(records)) + b"".join(r.ljust(48, b"\0") for r in records) + tail
        reply = host.reply(body)
        for number, play in first:
            play.took(now, read(reply, number))
    return [play.did for play in plays]


def in_turn(plays, seed):
    """All plays, each with a relay of its own, step by step in any order."""
    relays = [Relay(wire.read_settings(json.dumps(play.told).encode()), play.seed) for play in plays]
    order, turn = Random(seed), list(zip(plays, relays, strict=True))
    for n in range(STEPS):
        order.shuffle(turn)
        for play, relay in turn:
            acts = relay.handle(n * STEP, play.events(n * STEP))
            play.took(n * STEP, read(wire.encode_reply((1, a) for a in acts), 1))
    return [play.did for play in plays]


@pytest.mark.parametrize("how", [in_turn, on_the_wire])
@pytest.mark.parametrize("first, second", PAIRS)
def test_each_of_two_customers_gets_byte_for_byte_what_it_gets_alone(first, second, how):
    seed = 1 + PAIRS.index((first, second))
    for one, two in ((seed, seed), (seed + 100, seed + 101)):
        both = how([Play(first, one, dies=True), Play(second, two)], seed)
        assert both == how([Play(first, one, dies=True)], seed + 1) + how([Play(second, two)], seed + 2)
        sends = [sum(record[0] == 64 for _, acts in did for record, _ in acts) for did in both]
        assert min(sends) > 20


def test_two_of_one_customer_draw_by_their_own_seeds():
    a, b, c = in_turn([Play("weights told", 5), Play("weights told", 5), Play("weights told", 6)], 1)
    assert a == b != c


# --- The same for what stands around the decisions in a real sender.


def configured(site, seed, tmp_path):
    whole = json.loads(json.dumps(SITES[site]))
    for n, one in enumerate(whole["grades"]):
        one["name"] = f"class-{n}"
    return config.check(
        {"name": site, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": f"{seed:x}", "settings": whole},
        tmp_path,
    )


class Desk:
    """One sender's facade, with servers and requests of its own and names that both use."""

    def __init__(self, read, seed):
        self.facade, self.read, self.draw = Facade(read.settings, read.seed), read, Random(seed)
        self.out, self.did, self.last = [], [], 0
        self.facade.report(Table("whole", [Server(f"s{n}", ("10.0.0.1", n), n % 3, share=5.0) for n in range(6)], 1))

    def step(self, now):
        draw, facade = self.draw, self.facade
        for one in [one for one in self.out if one[0] <= now]:
            self.out.remove(one)
            how = draw.choice(["delivered"] * 5 + ["reset", "turned away", "timed out", "not connected"])
            facade.report(End(*one[1:4], how, now - one[4], draw.choice([0.0, 0.5]) if how == "turned away" else 0.0))
        for _ in range(draw.choice([0, 0, 1, 2])):
            self.last += 1
            cls = draw.randrange(len(self.read.class_names))
            facade.report(Take(f"r{self.last}", cls, draw.randrange(3), self.read.settings.classes[cls].deadline))
        if draw.random() < 0.02 and self.last:
            facade.report(Withdraw(f"r{draw.randrange(self.last) + 1}"))
        if facade.due(now):
            facade.tick(now)
        for order in iter(facade.pick, None):
            self.did.append((now, order))
            if isinstance(order, Dispatch):
                self.out += [
                    (now + draw.expovariate(4.0), item.request, item.attempt, order.server, now) for item in order.items
                ]
            elif isinstance(order, Cancel):
                continue


@pytest.mark.parametrize("first, second", PAIRS)
def test_two_senders_in_one_process_share_nothing(first, second, tmp_path):
    def played(*which):
        desks = [Desk(configured(site, seed, tmp_path), seed) for site, seed in which]
        order = Random(3)
        for n in range(STEPS):
            for desk in order.sample(desks, len(desks)):
                desk.step(n * STEP)
        return [desk.did for desk in desks]

    both = played((first, 11), (second, 12))
    assert both == [played((first, 11))[0], played((second, 12))[0]] and all(both)


def test_a_configuration_is_its_own_whatever_was_read_before_and_is_never_written_to(tmp_path):
    before = {site: configured(site, 1, tmp_path) for site in SITES}
    shown = {site: repr(read) for site, read in before.items()}
    for site in reversed(SITES):
        again = configured(site, 1, tmp_path)
        assert again == before[site] and again is not before[site]
        for name in ("classes", "kinds", "tenant_quota", "zone_fee"):
            assert getattr(again.settings, name) is not getattr(before[site].settings, name)
        desk = Desk(again, 1)
        desk.facade.hold_slots(1)
        for n in range(100):
            desk.step(n * STEP)
        assert repr(again) == shown[site]
    assert {site: repr(read) for site, read in before.items()} == shown


def test_after_a_reload_only_the_address_of_discovery_is_another(tmp_path):
    path = tmp_path / "relay.json"
    environ = {"RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)}
    whole = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "ff",
        "settings": story_settings(),
    }
    path.write_text(json.dumps(whole))
    old = config.load(environ)
    whole.update(discovery="127.0.0.1:3", seed="aa", settings=story_settings(extra__calls_out=1, limits__max_open=1))
    path.write_text(json.dumps(whole))
    new = config.reload(old, environ)
    assert new.discovery == ("127.0.0.1", 3) and (new.settings, new.seed) == (old.settings, 255)


# --- What a module keeps for good.

# Each is made once from constants and only read: by name, what it says.
HARMLESS = {
    "linkdock.facade._RESULTS": "an end in words, as the decisions call it",
    "linkdock.facade._STATES": "likewise a state",
    "linkdock.facade._LISTS": "likewise a kind of list",
    "linkdock.sender.ends.ENDS": "an end, as figures call it",
    "linkdock.dormancy.sleeper.STATES": "a state in words",
    "linkdock.protocol.admin.CALLS": "operators' words and their methods",
    "linkdock.protocol.batches.OUTCOMES": "a batch's words for ends",
    "linkdock.service.config.EFFECTS": "the settings' words",
    "linkdock.service.config._KINDS": "types, for errors",
    "linkdock.wire.RESULTS": "codes of the wire's page",
    "linkdock.wire.STATES": "likewise",
    "linkdock.wire.LISTS": "likewise",
    "linkdock.wire.EFFECTS": "likewise",
    "linkdock.wire.BODIES": "likewise",
}
MUTABLE = (dict, list, set, bytearray)
MADE = {
    "_field_defaults",
    "_value2member_map_",
    "_member_map_",
    "_member_names_",
    "_unhashable_values_",
    "_hashable_values_",
}  # the library's, of named tuples and enumerations


def modules():
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    paths = [ROOT / name for name in told["policy"] + told["node"]]
    paths += [ROOT / "linkdock" / f"{name}.py" for name in ("wire", "drill", "interface")]
    for path in paths:
        for file in [path] if path.is_file() else sorted(path.rglob("*.py")):
            if file.name != "__main__.py":
                parts = file.relative_to(ROOT).with_suffix("").parts
                yield importlib.import_module(".".join(p for p in parts if p != "__init__")), file


def kept(owner, name):
    """What of a module or class may be written to for all that use it, or is a cache."""
    for key, value in vars(owner).items():
        if key.startswith("__") and key.endswith("__") or key in MADE:
            continue
        own = getattr(value, "__module__", name) == name
        cached = own and hasattr(value, "cache_info")
        if isinstance(value, MUTABLE) or type(value).__module__ == "collections" or cached:
            yield f"{name}.{key}" if inspect.ismodule(owner) else f"{name}.{owner.__name__}.{key}"
        plain = getattr(value, "__func__", value)
        if inspect.isclass(value) and own and value is not owner and inspect.ismodule(owner):
            yield from kept(value, name)
        elif inspect.isfunction(plain) and plain.__module__ == name:
            defaults = [*(plain.__defaults__ or ()), *(plain.__kwdefaults__ or {}).values()]
            if any(isinstance(default, MUTABLE) for default in defaults):
                yield f"{name}.{key}: a default"


def test_no_module_keeps_anything_that_could_pass_from_one_customer_to_another():
    found, seen = set(), 0
    for module, file in modules():
        seen += 1
        found |= set(kept(module, module.__name__))
        for node in ast.walk(ast.parse(file.read_text())):
            assert not isinstance(node, ast.Global), f"{file}:{node.lineno} writes to its module"
    assert found == set(HARMLESS) and seen > 80
    # And none of the tables is written to: each is only looked up.
    for module, file in modules():
        for node in ast.walk(ast.parse(file.read_text())):
            target = getattr(node, "value", None)
            if isinstance(node, ast.Subscript | ast.Attribute) and isinstance(target, ast.Name):
                changes = isinstance(node.ctx, ast.Store | ast.Del) or getattr(node, "attr", "") in (
                    "update",
                    "setdefault",
                    "pop",
                    "clear",
                    "popitem",
                )
                assert not (changes and f"{module.__name__}.{target.id}" in HARMLESS), f"{file}:{node.lineno}"
