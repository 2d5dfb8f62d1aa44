"""The way through the house goes down: who may import whom, read from the source with `ast`.

All imports count: those under TYPE_CHECKING and inside functions as well. What Python imports by itself, a package's
own `__init__` before its modules, does not.
"""

import ast
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent / "linkdock"

# The lowest first. A package or top-level module imports what is on floors below its own; of its own floor it imports
# nothing but what stands left of it in one text. Names that are not there (yet) are passed over.
FLOORS = (
    ("errors < options < cluster < failover < assignment", "interface", "streams"),
    ("decide", "decisions", "wire"),
    ("linkdock", "facade"),  # `linkdock` is the package's own __init__
    ("state",),
    ("admission", "connections", "dormancy", "records", "undeliverable"),
    ("protocol",),
    ("sender",),
    ("service",),
    ("lab < console", "drill", "__main__"),
)
BELOW = {}  # of each, what it may import
for floor in FLOORS:
    lower = set(BELOW)
    for chain in floor:
        for name in chain.split(" < "):
            BELOW[name] = lower | set(chain.split(" < ")[: chain.split(" < ").index(name)])


def modules(root: pathlib.Path) -> dict[str, pathlib.Path]:
    """Files by module, named from the root package down: `linkdock`, `facade`, `state`, `state.table`."""
    found = {}
    for path in root.rglob("*.py"):
        parts = path.relative_to(root).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts) or "linkdock"] = path
    return found


def imports(module: str, path: pathlib.Path, known: dict[str, pathlib.Path]) -> set[str]:
    """The modules of this program that one imports, wherever in its text."""
    here = [] if module == "linkdock" else module.split(".")
    package = here if path.name == "__init__.py" else here[:-1]
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            base = node.module or ""
            if node.level:
                base = ".".join(["linkdock", *package[: len(package) - node.level + 1], *filter(None, [base])])
            names = [f"{base}.{alias.name}" for alias in node.names]
        else:
            continue
        for name in names:
            first, _, rest = name.partition(".")
            if first == "linkdock":
                while rest and rest not in known:  # a name in a module, not a module
                    rest = rest.rpartition(".")[0]
                found.add(rest or "linkdock")
    return found - {module}


def house(root: pathlib.Path) -> dict[str, set[str]]:
    known = modules(root)
    return {module: imports(module, path, known) for module, path in known.items()}


def wrong_ways(graph: dict[str, set[str]]) -> list[str]:
    """Imports that go up, or across a floor."""
    return sorted(
        f"{module} imports {other}"
        for module, others in graph.items()
        for other in others
        if (mine := module.split(".")[0]) != (its := other.split(".")[0]) and its not in BELOW.get(mine, ())
    )


def unknown(graph: dict[str, set[str]]) -> list[str]:
    return sorted({module.split(".")[0] for module in graph} - set(BELOW))


def in_circles(graph: dict[str, set[str]]) -> list[str]:
    """Modules on a circle, or between two: what is left when those that import, or are imported by, none left go."""
    left = dict(graph)
    while True:
        wanted = {other for others in left.values() for other in others}
        kept = {m: others & set(left) for m, others in left.items() if others & set(left) and m in wanted}
        if kept == left:
            return sorted(left)
        left = kept


def test_every_import_goes_down():
    assert wrong_ways(house(ROOT)) == []


def test_every_package_has_a_floor():
    assert unknown(house(ROOT)) == []


def test_no_circle_among_modules():
    assert in_circles(house(ROOT)) == []


def test_modules_are_named_in_imports_not_put_together():
    """Danger: a name that is put together is an import which the tests above cannot see. The console's views are."""
    for module, path in modules(ROOT).items():
        for node in ast.walk(ast.parse(path.read_text())):
            names = (
                [alias.name for alias in node.names]
                if isinstance(node, ast.Import)
                else [getattr(node, "module", None) or getattr(node, "id", None) or ""]
            )
            assert module == "console.main" or not any(n in ("importlib", "__import__") for n in names), module


@pytest.mark.parametrize(
    "module, text, fault",
    [
        ("state/a.py", "from ..facade import Server\nfrom .b import c\nfrom . import b\nimport os", None),
        (
            "state/a.py",
            "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from ..service.run import Process",
            "state.a imports service.run",
        ),
        ("connections/a.py", "def f():\n    from .. import protocol", "connections.a imports protocol"),
        ("facade.py", "import linkdock.protocol as p", "facade imports protocol"),
        ("records/__init__.py", "from ..connections import pool", "records imports connections.pool"),
        ("cluster/a.py", "from ..options import switched_on\nfrom ..errors import Fault", None),
        ("options.py", "from .cluster import a", "options imports cluster.a"),
        ("lab/a.py", "from ..console.main import cli", "lab.a imports console.main"),
        ("shed/a.py", "", "shed"),
        ("state/b.py", "def f():\n    from .a import x", "state.a, state.b"),
    ],
)
def test_each_wrong_way_is_seen(tmp_path, module, text, fault):
    for name in (
        "__init__.py",
        "options.py",
        "errors.py",
        "facade.py",
        "state/a.py",
        "state/b.py",
        "service/run.py",
        "protocol/__init__.py",
        "connections/pool.py",
        "console/main.py",
        "cluster/a.py",
    ):
        (tmp_path / name).parent.mkdir(exist_ok=True)
        (tmp_path / name).write_text("")
    (tmp_path / "state/a.py").write_text("from . import b")
    (tmp_path / module).parent.mkdir(exist_ok=True)
    (tmp_path / module).write_text(text)
    graph = house(tmp_path)
    circle = in_circles(graph)
    assert wrong_ways(graph) + unknown(graph) + ([", ".join(circle)] if circle else []) == ([fault] if fault else [])


def test_a_sender_imports_nothing_of_what_is_off():
    off = (
        "admission",
        "assignment",
        "cluster",
        "console",
        "dormancy",
        "failover",
        "lab",
        "records",
        "undeliverable",
        "connections.choice",
        "connections.manager",
        "connections.kept",
        "connections.endpoint_table",
    )
    code = f"import sys, linkdock.service.run; print([n for n in {off!r} if 'linkdock.' + n in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT.parent, timeout=30)
    assert done.stdout.strip() == "[]", done.stderr
