"""Names that leave the process, as `docs/outer-names.txt` lists them, and whether the program still has each.

    python -m linkdock.lab.outer_names

Peers, operators, files and settings know the program by these names: a change of the code's wording must keep them
letter for letter. A section of the list begins with `[what they are: where in linkdock/]`; names follow, with blanks
between, in quotes where they hold one. A name counts as found where the section's files have it as a text, as a word of
a text that is no prose, or as a field or keyword.

What the program itself shows to be such a name has to be on the list: environment variables, error codes, commands and
their options, fields of settings files, tags of messages, events of the record. Prints a line for each section; exit
status 1 if a name is gone or one is not listed.
"""

from __future__ import annotations

import ast
import re
import shlex
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

PACKAGE = Path(__file__).resolve().parents[1]
LIST = PACKAGE.parent / "docs" / "outer-names.txt"
HEADING = re.compile(r"\[(?P<title>[^:\]]+): (?P<places>[^\]]+)\]")
WORD = re.compile(r"[\w.+/-]+")
SQL = re.compile(r"\s*(?:create|select|insert|update|delete|pragma)\s")  # its words are names, those of prose are not
# Texts that are outer names wherever they stand: variables, codes of errors, options of commands.
OUTER_TEXT = re.compile(r"(?:RELAY|LINKDOCK)_[A-Z_]*[A-Z]|LD(?:-[A-Z]+)+|--[a-z][a-z-]+(?:/--no-[a-z-]+)?")
# Files whose classes are written or read under the names of their fields.
SHAPES = (
    "admission/settings.py",
    "admission/view.py",
    "cluster/settings.py",
    "connections/choice.py",
    "connections/view.py",
    "dormancy/settings.py",
    "records/settings.py",
    "undeliverable/settings.py",
)
EVENTS = "records/events.py"


class Section(NamedTuple):
    """One part of the list: what its names are, and the files or folders that have them."""

    title: str
    places: tuple[str, ...]
    names: tuple[str, ...]


def sections(text: str) -> list[Section]:
    """The sections of the list. Raises ValueError for a name before the first heading, or one that stands twice."""
    found: list[Section] = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        heading = HEADING.fullmatch(line.strip())
        if heading:
            found.append(Section(heading["title"], tuple(heading["places"].split()), ()))
        elif not found:
            raise ValueError(f"no heading before {line!r}")
        else:
            names = (*found[-1].names, *shlex.split(line))
            if len(set(names)) < len(names):
                raise ValueError(f"a name of [{found[-1].title}] stands twice, in {line!r}")
            found[-1] = found[-1]._replace(names=names)
    return found


def sources(places: Iterable[str], package: Path = PACKAGE) -> Iterator[Path]:
    """The Python files of some places below the package. Raises FileNotFoundError for a place that is not there."""
    for place in places:
        path = package / place
        if not path.exists():
            raise FileNotFoundError(f"{place}: not in {package.name}/")
        yield from sorted(path.rglob("*.py")) if path.is_dir() else (path,)


def texts(tree: ast.AST) -> Iterator[str]:
    """All texts of a module but its comments and docstrings; bytes count as Latin-1."""
    docstrings = {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def fields(tree: ast.AST) -> Iterator[str]:
    """Fields of classes, members of enumerations, coroutines, commands, and names of keyword arguments."""
    for node in ast.walk(tree):
        if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            yield node.target.id
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg
        elif isinstance(node, ast.AsyncFunctionDef) or _is_command(node):
            yield node.name
        elif isinstance(node, ast.ClassDef):
            yield node.name
            assigned = (part for part in node.body if isinstance(part, ast.Assign))
            yield from (target.id for part in assigned for target in part.targets if isinstance(target, ast.Name))


class Vocabulary:
    """What some files say to the outside, or may say."""

    def __init__(self, files: Iterable[Path]) -> None:
        """Read the files."""
        self._names: set[str] = set()
        self._texts: list[str] = []
        for file in files:
            tree = ast.parse(file.read_text())
            self._texts += texts(tree)
            self._names |= set(fields(tree))
        self._names |= {text.strip() for text in self._texts}
        for text in self._texts:
            if not re.search(r"\s", text.strip()) or SQL.match(text):
                self._names |= set(WORD.findall(text))

    def has(self, name: str) -> bool:
        """Whether a name is among them; one with a blank or other marks may also be part of a text."""
        return name in self._names or (not WORD.fullmatch(name) and any(name in text for text in self._texts))


def gone(section: Section, package: Path = PACKAGE) -> list[str]:
    """The names of a section that its files do not have."""
    vocabulary = Vocabulary(sources(section.places, package))
    return [name for name in section.names if not vocabulary.has(name)]


def shown(package: Path = PACKAGE) -> dict[str, str]:
    """Names that the program itself shows to be outer ones, each with a file that has it."""
    found: dict[str, str] = {}
    for path in sources(["."], package):
        file, tree = path.relative_to(package).as_posix(), ast.parse(path.read_text())
        names = {text for text in texts(tree) if OUTER_TEXT.fullmatch(text)}
        names |= {word.value.value for word in ast.walk(tree) if _is_tag(word)}
        names |= {command.name for command in ast.walk(tree) if _is_command(command)}
        if file in SHAPES:
            names |= {node.target.id for node in ast.walk(tree) if _is_field(node)}
        if file == EVENTS:
            names |= set(texts(tree))
        for name in names:
            found.setdefault(name, file)
    return found


def _is_tag(node: ast.AST) -> bool:
    """Whether a node is the tag under which messages of a class go out."""
    return isinstance(node, ast.keyword) and node.arg == "tag" and isinstance(node.value, ast.Constant)


def _is_command(node: ast.AST) -> bool:
    """Whether a node is a function that Click makes a command of a group of, under the function's name."""
    return isinstance(node, ast.FunctionDef) and any(
        isinstance(call, ast.Call)
        and isinstance(call.func, ast.Attribute)
        and call.func.attr in ("command", "group")
        and not call.args
        and not (isinstance(call.func.value, ast.Name) and call.func.value.id == "click")
        for call in node.decorator_list
    )


def _is_field(node: ast.AST) -> bool:
    """Whether a node declares a field of a class."""
    return isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name)


def main() -> int:
    """Print what was found; the exit status."""
    listed = sections(LIST.read_text())
    lost = 0
    for section in listed:
        missing = gone(section)
        lost += len(missing)
        print(f"{section.title}: {len(section.names)} names, {f'gone: {missing}' if missing else 'all found'}")
    known = {name for section in listed for name in section.names}
    unlisted = {name: file for name, file in shown().items() if name not in known}
    for name, file in sorted(unlisted.items()):
        print(f"not listed: {name!r} of {file}")
    total = sum(len(section.names) for section in listed)
    print(f"{total} names in {len(listed)} sections, {lost} gone, {len(unlisted)} not listed")
    return 1 if lost or unlisted else 0


if __name__ == "__main__":
    sys.exit(main())
