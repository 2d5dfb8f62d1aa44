"""Judges a history: what must never have happened, and what must have. Pure: events in, findings in words out.

Events that are read, all with `at` (seconds) and `who` (a process, or the harness):

| event | says |
| --- | --- |
| `begins` | a life of the process; `fresh` if its folder was empty |
| `node` | its `id` in the cluster, for the life that has begun |
| `leads` | it leads in `term` |
| `image` | the state of another process has taken the place of entries |
| `applied` | entry `index`, in this life; `op` if a proposal was carried out by it, else "" |
| `asked`, `answered` | proposal `op` by the harness at `who`; `ok`, and then the `index` that it was given |
| `holds` | a lease `name` with `token` that `who` believes from `since` until `until` (seconds of the history) |
| `ceased` | it gave lease `name` with `token` up at `until`, or was told that it is over |
| `used` | resource `name` was used with `token`; `ok` if whoever keeps it let it |
| `reading` | a read of the state by `who` begun at `begun`, whose answer holds entries up to `index` |
| `final` | at the end: `index` up to which it has applied, `ops` that its state holds, by their index |
| `ended`, `failed` | the process has, `expected` or not, with `status`; its node has given up, with `code` |
| `fault` | the harness did `what` to `whom` |
| `healed all` | from here on nothing is wrong with processes or links |
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable

Events = list[dict]
Check = Callable[[Events], list[str]]


def _of(history: Events, *words: str) -> Iterable[dict]:
    return (one for one in history if one["event"] in words)


def one_order(history: Events) -> list[str]:
    """Every entry is the same at all processes, in the log's order, and one command takes one place only."""
    found, log, places = [], {}, {}
    last: dict[str, int] = {}  # by process: the entry applied before; none after an image, which stands for many
    steps: list[tuple[str, int, int]] = []
    for one in _of(history, "begins", "image", "applied"):
        who = one["who"]
        if one["event"] != "applied":
            last.pop(who, None)
            continue
        index, op = one["index"], one["op"]
        if who in last:
            steps.append((who, last[who], index))
        last[who] = index
        if log.setdefault(index, op) != op:
            found.append(f"entry {index} is {op} at {who}, and {log[index]} elsewhere")
        elif op and places.setdefault(op, index) != index:
            found.append(f"{op} is applied as entry {places[op]} and again as {index}")
    known = sorted(log)
    for who, before, index in steps:
        if index <= before:
            found.append(f"{who} applied entry {index} after {before}")
        elif (passed := known[bisect_right(known, before)]) != index:
            found.append(f"{who} applied entry {index} after {before}, without {passed}")
    return found


def linearizable(history: Events) -> list[str]:
    """An acknowledged proposal has its place in the log, after all that were acknowledged before it was asked.

    A read that begins after an acknowledgement, or after another read was answered, shows no older state.
    """
    found, log = [], {one["op"]: one["index"] for one in _of(history, "applied")}
    asked, settled = {}, 0  # of each proposal what was settled when it was asked; the highest index answered
    marks = [(0.0, 0)]  # from when on which index must be seen
    for one in history:
        match one["event"]:
            case "asked":
                asked[one["op"]] = settled
            case "answered" if one["ok"]:
                op, index = one["op"], one["index"]
                if log.get(op, index) != index:
                    found.append(f"{op} was acknowledged as entry {index} and is entry {log[op]}")
                if index <= asked.get(op, 0):
                    found.append(f"{op} is entry {index}, though {asked[op]} was acknowledged before it was asked")
                settled = max(settled, index)
                marks.append((one["at"], settled))
            case "reading":
                must = next((index for at, index in reversed(marks) if at <= one["begun"]), 0)
                if one["index"] < must:
                    found.append(
                        f"a read at {one['who']} begun at {one['begun']:.3f} s shows {one['index']}, " f"not {must}"
                    )
                settled = max(settled, one["index"])
                marks.append((one["at"], settled))
    return found


def kept(history: Events) -> list[str]:
    """Every acknowledged proposal is at every process that is there at the end, at its place."""
    found, told = [], {one["op"]: one["index"] for one in _of(history, "answered") if one["ok"]}
    for one in _of(history, "final"):
        lost = [op for op, index in told.items() if one["ops"].get(op) != index]
        if lost:
            found.append(f"{one['who']} lacks {len(lost)} acknowledged proposals, such as {lost[0]}")
    if not any(True for _ in _of(history, "final")):
        found.append("no process said what it holds at the end")
    return found


def one_leader(history: Events) -> list[str]:
    """No term has two leaders."""
    found, leaders = [], {}
    for one in _of(history, "leads"):
        if leaders.setdefault(one["term"], one["id"]) != one["id"]:
            found.append(f"term {one['term']} is led by {leaders[one['term']]} and by {one['id']}")
    return found


def one_owner(history: Events) -> list[str]:
    """No two believe in one lease at a time; the resource lets tokens in that only rise, each of one holder."""
    found, belief = [], defaultdict(list)  # by name: [from, until, token, who]
    for one in _of(history, "holds", "ceased"):
        mine = [span for span in belief[one["name"]] if span[2:] == [one["token"], one["who"]]]
        if one["event"] == "ceased":
            for span in mine:
                span[1] = min(span[1], one["until"])
        elif mine:
            mine[-1][1] = max(mine[-1][1], one["until"])
        else:
            belief[one["name"]].append([one["since"], one["until"], one["token"], one["who"]])
    for name, spans in belief.items():
        longest: dict[str, tuple[float, int]] = {}  # of each holder the belief that lasts longest
        for begun, until, token, who in sorted(spans):
            for other, (over, earlier) in longest.items():
                if begun < over and who != other:
                    found.append(
                        f"{name}: {other} (token {earlier}) until {over:.3f} s, {who} (token {token}) "
                        f"from {begun:.3f} s"
                    )
            longest[who] = max(longest.get(who, (0.0, 0)), (until, token))
    let_in: dict[str, tuple[int, str]] = {}
    for one in _of(history, "used"):
        if not one["ok"]:
            continue
        highest, whose = let_in.get(one["name"], (0, one["who"]))
        if one["token"] < highest or one["token"] == highest and one["who"] != whose:
            found.append(f"{one['name']} let {one['who']} in with token {one['token']} after {highest} of {whose}")
        let_in[one["name"]] = max((highest, whose), (one["token"], one["who"]))
    return found


def new_ids(history: Events) -> list[str]:
    """A process whose folder was lost has a new id; one with its folder keeps its own; no two have the same."""
    found, ids, owner, fresh = [], {}, {}, {}
    for one in _of(history, "begins", "node"):
        who = one["who"]
        if one["event"] == "begins":
            fresh[who] = one["fresh"]
            continue
        if who in ids and (ids[who] == one["id"]) == fresh[who]:
            found.append(f"{who} is {one['id']} after {ids[who]}, its folder {'lost' if fresh[who] else 'kept'}")
        if owner.setdefault(one["id"], who) != who:
            found.append(f"{one['id']} is both {owner[one['id']]} and {who}")
        ids[who] = one["id"]
    return found


def sound(history: Events) -> list[str]:
    """No process ends by itself, and no node gives up but on a full disk."""
    found, full = [], set()
    for one in _of(history, "fault", "begins", "ended", "failed"):
        if one["event"] == "fault" and one["what"] == "full":
            full |= set(one["whom"])
        elif one["event"] == "begins":
            full.discard(one["who"])
        elif one["event"] == "ended" and not one["expected"]:
            found.append(f"{one['who']} ended by itself, status {one['status']}")
        elif one["event"] == "failed" and one["who"] not in full:
            found.append(f"the node of {one['who']} gave up: {one['code']}")
    return found


def lively(within: float) -> Check:
    """Once all is healed a proposal is asked and acknowledged within so many seconds."""

    def check(history: Events) -> list[str]:
        healed = [one["at"] for one in _of(history, "healed all")]
        if not healed:
            return ["not all was healed"]
        asked = {one["op"] for one in _of(history, "asked") if one["at"] >= healed[-1]}
        took = [one["at"] - healed[-1] for one in _of(history, "answered") if one["ok"] and one["op"] in asked]
        if not took or min(took) > within:
            return [f"no commit within {within:g} s of the healing" + (f" but after {min(took):.2f} s" if took else "")]
        return []

    return check


ALWAYS: tuple[Check, ...] = (one_order, linearizable, kept, one_leader, one_owner, new_ids, sound)


def judge(history: Events, within: float) -> list[str]:
    """All that is wrong with a history, each with the check that found it."""
    named = [(check.__name__, check) for check in ALWAYS] + [("lively", lively(within))]
    return [f"{name}: {text}" for name, check in named for text in check(history)]
