"""One size of one run, in a process of its own: `python -m linkdock.lab.scale RUN SIZE SEED MEMORY_MB` prints JSON."""

from __future__ import annotations

import resource
import sys

import msgspec

from .runs import RUNS


def main() -> None:
    """Measure the size that the arguments name and print its figures; beyond MEMORY_MB it ends by a MemoryError."""
    run, size, seed, memory_mb = sys.argv[1:]
    most = int(float(memory_mb) * 1e6)
    resource.setrlimit(resource.RLIMIT_AS, (most, most))  # of this process alone: a MemoryError beyond it
    figures = RUNS[run].measure(int(size), int(seed))
    sys.stdout.buffer.write(msgspec.json.encode(figures))


if __name__ == "__main__":
    main()
