"""`python -m linkdock.lab.processes`: real processes on loopback, to look at or to do harm to."""

from __future__ import annotations

import argparse
import socket
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .stories import Played

PATIENCE = 5.0


def spoken(address: str, data: bytes, whole: bool) -> int:
    """Send one command and print its answer: the first line, or all until the other side closes."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), PATIENCE) as sock, sock.makefile("rb") as answer:
            sock.sendall(data)
            print((answer.read() if whole else answer.readline()).decode(errors="replace").rstrip())
    except (OSError, ValueError, OverflowError) as bad:
        print(f"{address}: {bad}", file=sys.stderr)
        return 2
    return 0


def played(told: argparse.Namespace) -> int:
    """One line for each seed, and the command that plays a failing one again. 1 if any failed."""
    from .fleet import older
    from .stories import play

    failed = []
    with tempfile.TemporaryDirectory(prefix="linkdock-older-") as folder:
        try:
            tree = older(told.older, Path(folder) / "tree") if told.older else None
        except RuntimeError as bad:
            print(f"linkdock: {bad}", file=sys.stderr)
            return 2
        for seed in range(told.seed, told.seed + told.seeds):
            failed += [seed] * seen(told, play(told.story, seed, told.size, told.history, None, tree))
    if told.seeds > 1:
        print(f"{told.seeds} seeds, failing: {', '.join(map(str, failed)) or 'none'}")
    return 1 if failed else 0


def seen(told: argparse.Namespace, one: Played) -> bool:
    """Print what came of a seed; whether it failed."""
    figures = ", ".join(f"{key} {value}" for key, value in one.figures.items())
    print(f"{told.story} {one.seed}: {'failed' if one.found else 'good'}; {figures}; {one.events} events", flush=True)
    for text in one.plan if one.found or told.seeds == 1 else ():
        print(f"    {text}")
    for text in one.found[:20]:
        print(f"    {text}", flush=True)
    if one.found:
        print(
            f"    again: python -m linkdock.lab.processes --story {told.story} --seed {one.seed} --size {told.size} "
            "--history FILE",
            flush=True,
        )
    return bool(one.found)


def main() -> int:
    """Run what the command line asks for; the exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m linkdock.lab.processes",
        description=__doc__,
        epilog="Without options: three senders with all their peers, to look at and to try.",
    )
    parser.add_argument("--story", metavar="NAME", help="play a story with real processes")
    parser.add_argument("--seed", type=int, default=1, metavar="N", help="the first seed (1)")
    parser.add_argument("--seeds", type=int, default=1, metavar="N", help="how many, one after another (1)")
    parser.add_argument("--size", type=int, default=3, metavar="N", help="processes, 3 to 20 (3)")
    parser.add_argument("--history", type=Path, metavar="FILE", help="write the last seed's history, as JSON lines")
    parser.add_argument("--older", metavar="REV", help="every second process runs this git revision's program")
    orders = parser.add_subparsers(dest="order")
    for name, text in (
        ("ask", "one RESP2 command to a sender's clients' address, such as PING"),
        ("tell", "one line to an operators' address, such as stats"),
    ):
        order = orders.add_parser(name, help=text)
        order.add_argument("address", metavar="HOST:PORT")
        order.add_argument("words", nargs="+", metavar="WORD")
    told = parser.parse_args()
    if told.order == "ask":
        words = [word.encode() for word in told.words]
        return spoken(
            told.address,
            b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words),
            False,
        )
    if told.order == "tell":
        return spoken(told.address, " ".join(told.words).encode() + b"\n", True)
    if told.story is not None:
        import asyncio

        from .stories import STORIES

        if told.story not in STORIES:
            parser.error(f"--story must be one of {', '.join(STORIES)}")
        if not 3 <= told.size <= 20 or told.seeds < 1:
            parser.error("--size must be 3 to 20, --seeds at least 1")
        try:
            return played(told)
        except asyncio.CancelledError:
            return 130
    from .show import main as show

    return show()


if __name__ == "__main__":
    sys.exit(main())
