"""Whether the decisions do what those of another revision did, byte for byte: for changes that must change nothing.

    python -m linkdock.lab.same_actions BASE [--days 200] [--jobs 4]
    python -m linkdock.lab.same_actions BASE --only herd:17

Plays days of both fleet laboratories and as many of drawn events, in processes of their own (`recorded.py`): with the
package tree of the revision BASE, and with the present one. Says what was compared, the first difference, and which
lines of the present decisions did not run on some of the days. Ends with 1 on any difference, with 2 where it could
not compare. A change of a laboratory's own files shows as a difference of events.
"""

from __future__ import annotations

import argparse
import io
import json
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from inspect import CO_OPTIMIZED
from itertools import zip_longest
from pathlib import Path
from types import CodeType

ROOT = Path(__file__).resolve().parents[2]
HARNESS = ("drawn.py", "recorded.py")  # given to BASE as well, which may have none
STORIES = ("return", "halved", "herd", "release", "zone", "lowered")
LONGEST = 1800.0  # seconds that one child may take
CHUNK = 5  # days of one child
TRACED = 8  # days of each sort that are played once more, line by line


def played(tree: Path, what: str, days: list[str]) -> list:
    """What a child prints. Raises CalledProcessError or TimeoutExpired; the child has said why."""
    done = subprocess.run(
        [sys.executable, "-m", "linkdock.lab.recorded", what, *days],
        cwd=tree,
        check=True,
        stdout=subprocess.PIPE,
        timeout=LONGEST,
        env={**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"},
    )
    return [json.loads(line) for line in done.stdout.splitlines()]


def first_difference(trees: tuple[Path, Path], day: str) -> str:
    """The first handle of a day in which both trees differ."""
    for old, new in zip_longest(*(played(tree, "handles", [day]) for tree in trees)):
        if old != new:
            (sender, handle, told, acts), (*_, told_new, acts_new) = old or [0, 0, "", ""], new or [0, 0, "", ""]
            what = "the same" if told == told_new else f"not the same, now\n  {told_new[:2000]}"
            return (
                f"first difference: {day}, sender {sender}, its handle {handle}, with time and events\n"
                f"  {told[:2000]}\n  {what}\n- {acts}\n+ {acts_new}"
            )
    return f"{day} differs between two plays of the same tree"


def code_lines(code: CodeType) -> Iterator[int]:
    """The lines of all functions in it, without those that only define them."""
    for part in code.co_consts:
        if isinstance(part, CodeType):
            if part.co_flags & CO_OPTIMIZED:  # a function's, and not the body of a class
                first = -1 if part.co_name.startswith("<") else part.co_firstlineno
                yield from (line for _, _, line in part.co_lines() if line is not None and line != first)
            yield from code_lines(part)


def not_run(ran: set[tuple[str, int]]) -> tuple[int, list[str]]:
    """How many lines the present decisions have inside functions, and those that did not run."""
    every = [
        (path, line)
        for path in sorted((ROOT / "linkdock" / "decisions").glob("*.py"))
        for line in sorted(set(code_lines(compile(path.read_text(), str(path), "exec"))))
    ]
    return len(every), [f"{path.name}:{line}" for path, line in every if (str(path), line) not in ran]


def compared(trees: tuple[Path, Path], days: list[str], jobs: int, base: str) -> bool:
    """Plays and says it; whether nothing differed."""
    chunks = [days[n : n + CHUNK] for n in range(0, len(days), CHUNK)]
    sample = [day for day in days if int(day.split(":")[1]) < TRACED]
    with ThreadPoolExecutor(jobs) as pool:
        olds, news = (pool.map(played, [tree] * len(chunks), ["days"] * len(chunks), chunks) for tree in trees)
        lines = list(pool.map(played, [ROOT] * jobs, ["lines"] * jobs, [sample[n::jobs] for n in range(jobs)]))
        pairs = [pair for old, new in zip(olds, news, strict=True) for pair in zip(old, new, strict=True)]
    differ = [old[0] for old, new in pairs if old != new]
    drawn, handles, actions = (
        sum(of(old) for old, _ in pairs)
        for of in (lambda old: old[0].startswith("drawn"), lambda old: old[1], lambda old: old[2])
    )
    print(
        f"{base} against the present tree: {len(pairs) - drawn} days of the laboratories, {drawn} of drawn events, "
        f"{handles} handles, {actions} actions: {len(differ)} days differ"
    )
    for day, error in [(old[0], old[4]) for old, new in pairs if old[4] and old == new]:
        print(f"{day} ended early in both, by {error}")
    total, missed = not_run({(name, line) for some in lines for name, line in some})
    print(f"lines run on {len(sample)} of the days: {total - len(missed)} of {total}, all but {missed or 'none'}")
    if differ:
        print(first_difference(trees, differ[0]))
        print(f"again: python -m linkdock.lab.same_actions {base} --only {differ[0]}")
    return not differ


def main() -> int:
    """Run what the command line asks for; the exit status: 1 if any action differs, 2 if nothing could be compared."""
    parser = argparse.ArgumentParser(prog="same_actions", description=__doc__.split("\n")[0])
    parser.add_argument("base", help="the revision to compare with")
    parser.add_argument("--days", type=int, default=200, help="of the laboratories, and as many drawn")
    parser.add_argument("--jobs", type=int, default=4, help="processes at a time")
    parser.add_argument("--only", help="one day, as a difference names it")
    told = parser.parse_args()
    days = [f"{STORIES[n % len(STORIES)]}:{n}" for n in range(told.days)] + [f"drawn:{n}" for n in range(told.days)]
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(["git", "-C", str(ROOT), "archive", told.base, "linkdock"], stdout=subprocess.PIPE)
        if archive.returncode:
            return 2  # git has said why
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tree:
            tree.extractall(folder, filter="data")
        for name in HARNESS:
            (Path(folder) / "linkdock" / "lab" / name).write_bytes((Path(__file__).parent / name).read_bytes())
        try:
            return not compared((Path(folder), ROOT), [told.only] if told.only else days, told.jobs, told.base)
        except (subprocess.CalledProcessError, subprocess.TimeoutExpired) as bad:
            print(f"could not compare: {bad}", file=sys.stderr)
            return 2


if __name__ == "__main__":
    sys.exit(main())
