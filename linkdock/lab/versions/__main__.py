"""`python -m linkdock.lab.versions BASE`: whether this tree and another revision understand each other.

    python -m linkdock.lab.versions BASE [--only folder|upgrade|cluster]

Plays real processes of both on loopback, in both directions: one goes on from the folder of the other, a sender is
upgraded under traffic and back, and a cluster is changed over one process at a time. Prints a line for each play and
each finding. Exit status 1 if anything was found, 2 if BASE is no revision.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

from ...errors import LinkdockError
from ..processes.fleet import older
from . import cluster, folder, upgrade

PLAYS = {"folder": folder.play, "upgrade": upgrade.play, "cluster": cluster.play}
MOST_PRINTED = 20  # findings of one play


async def found_by(name: str, first: str | None, second: str | None) -> list[str]:
    """The findings of a play; one that could not go on is a finding too."""
    try:
        return await PLAYS[name](first, second)
    except (LinkdockError, RuntimeError, OSError, TimeoutError) as bad:
        return [f"{type(bad).__name__}: {bad}"]


def report(name: str, direction: str, found: list[str], seconds: float) -> None:
    """Print what came of a play."""
    print(f"{name}, {direction}: {len(found)} findings, {seconds:.1f} s", flush=True)
    for text in found[:MOST_PRINTED]:
        print(f"    {text}")
    if len(found) > MOST_PRINTED:
        print(f"    and {len(found) - MOST_PRINTED} more")


def main() -> int:
    """Run what the command line asks for; the exit status."""
    parser = argparse.ArgumentParser(prog="python -m linkdock.lab.versions", description=__doc__.split("\n")[0])
    parser.add_argument("base", help="the git revision of the other version")
    parser.add_argument("--only", choices=sorted(PLAYS), help="one play instead of all")
    options = parser.parse_args()
    total = 0
    with tempfile.TemporaryDirectory(prefix="linkdock-versions-") as place:
        try:
            base = older(options.base, Path(place) / "tree")
        except RuntimeError as bad:
            print(f"linkdock: {bad}", file=sys.stderr)
            return 2
        for name in [options.only] if options.only else PLAYS:
            for first, second, direction in (
                (base, None, f"from {options.base} to this tree"),
                (None, base, f"from this tree to {options.base}"),
            ):
                began = time.monotonic()
                found = asyncio.run(found_by(name, first, second))
                report(name, direction, found, time.monotonic() - began)
                total += len(found)
    return 1 if total else 0


if __name__ == "__main__":
    sys.exit(main())
