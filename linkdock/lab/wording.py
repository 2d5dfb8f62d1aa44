"""How much of the earlier wording is left in the code, by part: names that engineers new to it would have to ask about.

    python -m linkdock.lab.wording [--list PART]

Counts attributes of one letter, functions and parameters of one letter, names of modules, functions, classes and
parameters with a withdrawn word, comments and docstrings that say `Danger:`, and files that `pyproject.toml` frees from
the rules on docstrings and names. `tests/test_wording.py` holds the counts: they may only fall.
"""

from __future__ import annotations

import argparse
import ast
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
# The field's own words take their places, by what each use means.
WITHDRAWN = frozenset(
    ("told", "rumour", "rumours", "beat", "desk", "patience", "roster", "sleeper", "beside", "owed", "shift", "news")
    + ("lives", "board", "boards")
)
# Of folders and files, the first that holds a file has it.
PARTS = {
    "decisions": (
        "linkdock/decisions/",
        "linkdock/interface.py",
        "linkdock/facade.py",
        "linkdock/wire.py",
        "linkdock/drill.py",
        "linkdock/__init__.py",
        "linkdock/__main__.py",
    ),
    "sender, state": ("linkdock/sender/", "linkdock/state/"),
    "protocol": ("linkdock/protocol/", "linkdock/streams.py"),
    "service, records, dormancy": (
        "linkdock/service/",
        "linkdock/records/",
        "linkdock/dormancy/",
        "linkdock/options.py",
        "linkdock/errors.py",
    ),
    "connections, admission, undeliverable, console": (
        "linkdock/connections/",
        "linkdock/admission/",
        "linkdock/undeliverable/",
        "linkdock/console/",
    ),
    "cluster": ("linkdock/cluster/",),
    "failover, assignment": ("linkdock/failover/", "linkdock/assignment/"),
    "laboratory, packages": ("linkdock/lab/processes/", "linkdock/lab/scale/", "linkdock/lab/versions/"),
    "laboratory": ("linkdock/lab/",),
    "tests": ("tests/",),
}


class Finding(NamedTuple):
    """One place that is counted."""

    file: str  # from the root of the repository
    line: int
    kind: str  # one of KINDS
    text: str  # the name, or the comment's first words


KINDS = ("attributes", "short names", "words", "danger", "exempt")


def words_of(name: str) -> set[str]:
    """The words that a name is made of, in lower case: `told_least` and `ToldLeast` have the same."""
    return set(re.sub(r"([a-z0-9])([A-Z])", r"\1_\2", name).lower().split("_"))


def parameters(node: ast.FunctionDef | ast.AsyncFunctionDef) -> Iterator[ast.arg]:
    """All parameters of a function, whatever their kind; those of a `lambda` are in a small enough scope."""
    arguments = node.args
    yield from (*arguments.posonlyargs, *arguments.args, *arguments.kwonlyargs)
    yield from (one for one in (arguments.vararg, arguments.kwarg) if one is not None)


def in_names(tree: ast.AST, file: str) -> Iterator[Finding]:
    """Attributes of one letter, and names of functions, classes and parameters that are short or withdrawn."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and len(node.attr) == 1:
            yield Finding(file, node.lineno, "attributes", node.attr)
        named: list[tuple[int, str]] = []
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            named = [(node.lineno, node.name), *((one.lineno, one.arg) for one in parameters(node))]
        elif isinstance(node, ast.ClassDef):
            named = [(node.lineno, node.name)]
        for line, name in named:
            if len(name) == 1 and name != "_":
                yield Finding(file, line, "short names", name)
            if words_of(name) & WITHDRAWN:
                yield Finding(file, line, "words", name)


def in_comments(text: str, file: str) -> Iterator[Finding]:
    """Lines of comments and docstrings that say `Danger:` before what they explain."""
    for number, line in enumerate(text.splitlines(), 1):
        if match := re.search(r"(?<!`)Danger: [`\w].*", line):
            yield Finding(file, number, "danger", match[0][:60])


def exempt(root: Path) -> Iterator[Finding]:
    """Files that are freed from rules on docstrings or names."""
    project = tomllib.loads((root / "pyproject.toml").read_text())
    for file, rules in project["tool"]["ruff"]["lint"]["per-file-ignores"].items():
        if "*" not in file:
            yield Finding(file, 1, "exempt", " ".join(rules))


def findings(root: Path = ROOT) -> list[Finding]:
    """All places of a tree, in the order of its files."""
    found = list(exempt(root))
    for folder in ("linkdock", "tests"):
        for path in sorted((root / folder).rglob("*.py")):
            file, text = path.relative_to(root).as_posix(), path.read_text()
            if words_of(path.stem) & WITHDRAWN:
                found.append(Finding(file, 1, "words", path.stem))
            found += in_names(ast.parse(text), file)
            found += in_comments(text, file)
    return found


def part_of(file: str) -> str:
    """The part that a file belongs to. Raises KeyError if it belongs to none."""
    for part, places in PARTS.items():
        if any(file == place or place.endswith("/") and file.startswith(place) for place in places):
            return part
    raise KeyError(file)


def counts(found: list[Finding]) -> dict[str, dict[str, int]]:
    """How many of each kind there are in each part."""
    table = {part: dict.fromkeys(KINDS, 0) for part in PARTS}
    for one in found:
        table[part_of(one.file)][one.kind] += 1
    return table


def main() -> int:
    """Print the table, or the places of one part."""
    parser = argparse.ArgumentParser(prog="python -m linkdock.lab.wording", description=__doc__.split("\n")[0])
    parser.add_argument("--list", metavar="PART", choices=sorted(PARTS), help="print each place of this part")
    part = parser.parse_args().list
    found = findings()
    if part is not None:
        for one in found:
            if part_of(one.file) == part:
                print(f"{one.file}:{one.line}: {one.kind}: {one.text}")
        return 0
    for name, row in counts(found).items():
        print(f"{name}: {', '.join(f'{kind} {count}' for kind, count in row.items())}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
