"""Hosts many relays on the drill's wire: batches on standard input, a reply to each on standard output."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from . import wire
from .decisions import Relay


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise wire.WireError("the input ends inside a frame")
    return data


class Host:
    """The instances of one process; they share nothing but the decoder's numbered lists."""

    def __init__(self) -> None:
        """Without any instance yet; each comes with its first event."""
        self.decoder = wire.Decoder()
        self.relays: dict[int, Relay] = {}

    def reply(self, body: bytes) -> bytes:
        """Answer one batch."""
        now, pairs = self.decoder.batch(body)
        pending: dict[int, list[Any]] = {}
        faults: list[tuple[int, Any]] = []
        for relay, event in pairs:
            if isinstance(event, wire.Killed):
                self.relays.pop(relay, None)
                pending.pop(relay, None)
            elif isinstance(event, wire.Create):
                pending[relay] = []
                self.relays[relay] = Relay(event.settings, event.seed)
            elif relay in self.relays:
                pending.setdefault(relay, []).append(event)
        actions: list[tuple[int, Any]] = []
        for relay, events in pending.items():
            try:
                actions.extend((relay, action) for action in self.relays[relay].handle(now, events))
            except Exception as bad:  # the wire has one instance's failure as an action of that instance
                faults.append((relay, wire.Fault(f"{type(bad).__name__}: {bad}")))
        return wire.encode_reply(actions + faults)


def main() -> int:
    """Run until the end of input; a malformed frame ends with one line and status 1."""
    source, sink, host = sys.stdin.buffer, sys.stdout.buffer, Host()
    try:
        while head := source.read(4):
            if len(head) < 4:
                raise wire.WireError("the input ends inside a frame")
            sink.write(host.reply(_read(source, wire.LENGTH.unpack(head)[0])))
            sink.flush()
    except (wire.WireError, ValueError) as bad:
        print(f"linkdock.drill: {bad}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
