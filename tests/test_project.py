"""Guards on the repository itself, and the drill as a process."""

import json
import pathlib
import struct
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
MOST_EXCEPTIONS = 55  # files that need not follow ruff's rules N and D1 yet: lower it as they are done, never raise it


def named(*keys):
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return [ROOT / name for key in keys for name in told[key]]


def test_the_decisions_stay_printable():
    files = named("policy")
    assert sorted(files) == sorted((ROOT / "linkdock" / "decisions").rglob("*.py"))
    each = [path.read_text().splitlines() for path in files]
    lines = [line for one in each for line in one]
    assert max(map(len, lines)) <= 110
    assert max(map(len, each)) <= 400


def drill(data: bytes) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "linkdock.drill"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=30)


def test_drill_answers_an_empty_batch_and_ends_with_its_input():
    done = drill(struct.pack("<IdI", 12, 9.5, 0))
    assert (done.returncode, done.stdout) == (0, struct.pack("<II", 4, 0))


def test_drill_refuses_a_malformed_frame_in_one_line():
    for data in (b"\x01\x00", struct.pack("<IdI", 12, 9.5, 1), struct.pack("<IdIB47x", 60, 9.5, 1, 99)):
        done = drill(data)
        assert done.returncode == 1
        assert done.stderr.decode().count("\n") == 1 and "Traceback" not in done.stderr.decode()


def test_readme_example_runs():
    text = (ROOT / "README.md").read_text()
    example = text.split("\n\n`actions`")[0].splitlines()
    code = "\n".join(line[4:] for line in example if line.startswith("    "))
    names: dict = {}
    exec(code, names)
    assert [type(a).__name__ for a in names["actions"] if type(a).__name__ == "Send"] == ["Send"]


def test_the_list_of_packages_is_whole():
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    there = [".".join(path.parent.relative_to(ROOT).parts) for path in (ROOT / "linkdock").rglob("__init__.py")]
    assert sorted(listed) == sorted(there)


def test_every_file_of_the_sender_is_under_policy_or_node():
    files = named("policy", "node")
    # Never imported by `run`, or types alone.
    apart = {"lab", "console", "wire.py", "drill.py", "interface.py", "__init__.py"}
    for path in (ROOT / "linkdock").rglob("*.py"):
        if path.relative_to(ROOT / "linkdock").parts[0] not in apart:
            assert any(path == one or one in path.parents for one in files), path


def broken_rules() -> dict[str, set[str]]:
    """Which of the rules N and D1 each file breaks, whatever exceptions are listed."""
    command = [sys.executable, "-m", "ruff", "check", "--isolated", "--select", "N,D1", "--output-format", "json"]
    done = subprocess.run([*command, "linkdock", "tests"], capture_output=True, cwd=ROOT, timeout=60)
    broken: dict[str, set[str]] = {}
    for found in json.loads(done.stdout):
        file = pathlib.Path(found["filename"]).relative_to(ROOT).as_posix()
        broken.setdefault(file, set()).add("D1" if found["code"].startswith("D") else "N")
    return broken


def test_the_list_of_files_that_break_the_rules_of_names_and_docstrings_only_shrinks():
    lint = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
    listed = lint["per-file-ignores"]
    assert listed.pop("tests/*") == ["D1"] and {"N", "D1"} <= set(lint["select"])
    assert len(listed) <= MOST_EXCEPTIONS
    broken = broken_rules()
    needless = {file: rules for file, rules in listed.items() if set(rules) != broken.get(file, set())}
    assert needless == {}, "these files need fewer exceptions, or none"
