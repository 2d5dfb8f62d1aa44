"""`python -m linkdock.lab.processes`: real processes on loopback, to look at or to do harm to."""

from __future__ import annotations

import argparse
import socket
import sys

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


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m linkdock.lab.processes", description=__doc__)
    orders = parser.add_subparsers(dest="order")
    for name, text in (("ask", "one RESP2 command to a sender's clients' address, such as PING"),
                       ("tell", "one line to an operators' address, such as stats")):
        order = orders.add_parser(name, help=text)
        order.add_argument("address", metavar="HOST:PORT")
        order.add_argument("words", nargs="+", metavar="WORD")
    told = parser.parse_args()
    if told.order == "ask":
        words = [word.encode() for word in told.words]
        return spoken(told.address, b"*%d\r\n" % len(words) + b"".join(
            b"$%d\r\n%s\r\n" % (len(word), word) for word in words), False)
    if told.order == "tell":
        return spoken(told.address, " ".join(told.words).encode() + b"\n", True)
    from .show import main as show
    return show()


if __name__ == "__main__":
    sys.exit(main())
