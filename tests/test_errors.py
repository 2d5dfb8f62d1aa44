"""Errors have codes that say what an operator can do: the page holds all of them, and what peers hear is as before."""

import ast
import builtins
import importlib
import logging
import os
import pkgutil
import re
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

import linkdock
from linkdock.console.main import cli
from linkdock.errors import LinkdockError, exit_line, log_line
from linkdock.options import OptionError
from linkdock.protocol import admin
from linkdock.service.config import ConfigError

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "operate" / "errors.md"


def classes() -> list[type[LinkdockError]]:
    """Every subclass in linkdock, by code."""
    for module in pkgutil.walk_packages(linkdock.__path__, "linkdock."):
        if not module.name.endswith("__main__"):  # importing those runs them
            importlib.import_module(module.name)
    found, left = [], [LinkdockError]
    while left:
        under = left.pop().__subclasses__()
        left += under
        found += [one for one in under if one.__module__.startswith("linkdock.")]
    return sorted(set(found), key=lambda one: (one.code, one.__name__))


def row(one: type[LinkdockError]) -> str:
    name = f"{one.__module__.removeprefix('linkdock.')}.{one.__qualname__}"
    return f"| `{one.code}` | `{name}` | {one.what} | {one.remedy} |"


def test_the_page_has_every_error_as_its_class_says_it_and_no_other():
    rows = [row(one) for one in classes()]
    there = [line for line in PAGE.read_text().splitlines() if line.startswith("| `LD-")]
    assert there == rows, "the table of docs/operate/errors.md is to be:\n" + "\n".join(rows)


def test_each_error_has_a_code_of_its_own_and_says_what_to_do_in_one_sentence():
    codes = [one.code for one in classes()]
    assert len(codes) > 20 and sorted(set(codes)) == codes
    for one in classes():
        assert {"code", "what", "remedy"} <= set(vars(one)), one  # none is that of its base
        assert re.fullmatch(r"LD(-[A-Z]+){1,2}", one.code), one
        assert re.fullmatch(r"[A-Z][a-z][^|\n]{15,}[^.|\n]", one.remedy) and ". " not in one.remedy, one
        assert re.fullmatch(r"[^|\n]{15,}[^.|\n]", one.what) and one.__doc__, one


def raised_kinds() -> set[tuple[str, str]]:
    """Module and name of each exception class that the sources define, at whatever depth."""
    defined = {}
    for path in (ROOT / "linkdock").rglob("*.py"):
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                defined[module, node.name] = {ast.unparse(base).split(".")[-1] for base in node.bases}

    def is_one(name: str) -> bool:
        known = getattr(builtins, name, None)
        return isinstance(known, type) and issubclass(known, BaseException) or name.endswith(("Error", "Exception"))

    kinds, before = set(), -1
    while len(kinds) > before:
        before, names = len(kinds), {name for _, name in kinds}
        kinds |= {key for key, bases in defined.items() if any(is_one(base) or base in names for base in bases)}
    return kinds


def test_every_exception_class_of_the_sources_is_under_the_base():
    known = {(one.__module__, one.__qualname__) for one in classes()}
    assert raised_kinds() == known | {("linkdock.errors", "LinkdockError")}


def test_the_base_imports_nothing():
    tree = ast.parse((ROOT / "linkdock" / "errors.py").read_text())
    assert not [node for node in ast.walk(tree) if isinstance(node, ast.Import | ast.ImportFrom)]


def test_an_error_is_told_in_one_line_with_code_and_remedy():
    bad = ConfigError("seed is\nmissing")
    assert isinstance(bad, ValueError) and str(bad) == "seed is\nmissing"
    assert log_line(bad) == "LD-CONFIG: seed is missing; correct what the line names, and start or reload again"
    assert exit_line(bad) == "seed is missing (LD-CONFIG: Correct what the line names, and start or reload again)"
    assert str(OptionError()) == OptionError.what  # one without a text is not told as nothing
    assert log_line(OSError("disk\nfull")) == exit_line(OSError("disk\nfull")) == "disk full"


@pytest.mark.parametrize(
    "told_to, begins",
    [
        ({}, "linkdock: RELAY_CONFIG is not set (LD-CONFIG: "),
        ({"RELAY_CONFIG": "none\nthere", "RELAY_STATE": "/"}, "linkdock: RELAY_CONFIG: none there: "),
    ],
)
def test_a_start_that_fails_says_why_the_code_and_the_remedy_in_one_line(told_to, begins):
    plain = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    done = subprocess.run(
        [sys.executable, "-m", "linkdock"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        env={**plain, **told_to},
    )
    assert done.returncode == 2 and done.stderr.startswith(begins) and done.stderr.count("\n") == 1
    assert done.stderr.endswith(f"(LD-CONFIG: {ConfigError.remedy})\n")


@pytest.mark.parametrize(
    "words, code",
    [
        (["audit", "FILE"], "LD-RECORDS-READ"),
        (["clients", "FILE"], "LD-STATE-FILE"),
        (["undeliverable", "show", "FILE", "aa01"], "LD-STORE"),
        (["lab", "fleet", "--plan", "FILE"], "LD-LAB-PLAN"),
        (["audit", "/dev/null"], "LD-COMMAND-NOTHING"),
        (["undeliverable", "resolve", "FILE", "aa01", "--why", "x"], "LD-COMMAND-USE"),
    ],
)
def test_a_command_that_refuses_says_the_code_and_the_remedy(tmp_path, words, code):
    done = CliRunner().invoke(cli, [str(tmp_path / "none") if word == "FILE" else word for word in words])
    (remedy,) = {one.remedy for one in classes() if one.code == code}
    assert done.exit_code == 2 and f"({code}: {remedy})" in done.output


def test_an_operator_hears_a_no_as_ever_and_the_log_has_code_and_remedy(caplog):
    class Desk:
        def maint_on(self, name):
            raise admin.RefusalError(f"no endpoint {name} is listed")

        def status(self):
            raise admin.RefusalError("standby")

    with caplog.at_level(logging.INFO):
        assert admin.answer(Desk(), b"maint-on s9") == b"-ERR no endpoint s9 is listed\n"
        assert admin.answer(Desk(), b"status") == b"-ERR standby\n"
    (line,) = caplog.messages  # how often anybody looks is no news
    assert "LD-OPERATOR-NO: no endpoint s9 is listed; " in line and admin.RefusalError.remedy[1:] in line
