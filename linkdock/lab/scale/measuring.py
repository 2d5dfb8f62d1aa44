"""What a measurement measures with: processor time of this process, memory that Python gave out, the wire's codec."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from ...cluster.interface import AnyPacket
from ...cluster.wire import AnyFrame, Seal

T = TypeVar("T")
KEY, CLUSTER = "k" * 32, "linkdock"  # of the signed wire; bytes do not depend on either


class Stopwatch:
    """Adds up the processor seconds of the calls that go through it."""

    def __init__(self) -> None:
        """Start at 0 seconds and 0 calls."""
        self.seconds, self.calls = 0.0, 0

    def run(self, call: Callable[..., T], *args: object) -> T:
        """Call it with these arguments, count its processor time even if it raises, and return its result."""
        began = time.process_time()
        try:
            return call(*args)
        finally:
            self.seconds += time.process_time() - began
            self.calls += 1

    @property
    def each(self) -> float:
        """Seconds a call; 0 before the first."""
        return self.seconds / self.calls if self.calls else 0.0


def grown(make: Callable[[], T]) -> tuple[int, T]:
    """Bytes that Python's allocator gave out for what `make` returns, and that value. Garbage is collected before."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, made
    finally:
        tracemalloc.stop()


def resident() -> int:
    """Bytes of memory that this process has resident."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError("/proc/self/status has no VmRSS")


class DatagramCodec:
    """Bytes of each datagram as it is signed, and the cost of signing and checking it, taken on every `every`th."""

    def __init__(self, every: int = 1) -> None:
        """`every`: of so many datagrams one is checked, too, as its receiver would."""
        self._seal, self._every = Seal(KEY, CLUSTER, "a~1", bytes), every
        self._sealing, self._opening = Stopwatch(), Stopwatch()
        self.datagrams = self.bytes = 0

    def carry(self, packet: AnyPacket) -> None:
        """Sign one datagram and count it and its bytes; every `every`th is checked as well."""
        data = self._sealing.run(self._seal.datagram, packet)
        self.datagrams, self.bytes = self.datagrams + 1, self.bytes + len(data)
        if self.datagrams % self._every == 0:
            self._opening.run(self._seal.read_datagram, data)

    @property
    def seconds(self) -> float:
        """Processor seconds for signing all datagrams and checking as many."""
        return self._sealing.seconds + self._opening.each * self.datagrams


class FrameCodec:
    """One connection between two processes; the bytes of each frame, and the cost at either side."""

    def __init__(self) -> None:
        """Open the connection: both sides have exchanged and accepted their hellos."""
        dialling, accepting = Seal(KEY, CLUSTER, "sender-0001~a", bytes), Seal(KEY, CLUSTER, "sender-0002~b", bytes)
        self._from, self._to = dialling.dial("sender-0002~b"), accepting.accept()
        self._to.greeted(self._from.hello()[4:])
        self._from.greeted(self._to.hello()[4:])
        self.sealing, self.opening = Stopwatch(), Stopwatch()

    def carry(self, message: AnyFrame) -> int:
        """Bytes on the wire."""
        data = self.sealing.run(self._from.frame, message)
        self.opening.run(self._to.read, data[4:])
        return len(data)
