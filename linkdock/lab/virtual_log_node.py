"""Stand-ins for one process of the replicated log in virtual time: its disk, its state, the loop round the log."""

from __future__ import annotations

from random import Random

import msgspec

from ..cluster.interface import Entry, Image, Kind, Ready, Stored, Vote
from ..cluster.log.core import Core

MOST_INBOX = 256


class Disk:
    """What is synced; a step's writes come one by one and a crash keeps the first few of them."""

    def __init__(self, stored: Stored) -> None:
        self.vote, self.image = stored.vote, stored.image
        self.entries: dict[int, Entry] = {e.index: e for e in stored.entries}

        self.has_cut = False  # by the last writes

    @staticmethod
    def writes(ready: Ready) -> list[tuple[str, object]]:
        out: list[tuple[str, object]] = [("image", ready.image)] if ready.image else []
        if ready.entries:
            out.append(("cut", ready.entries[0].index))
            out += [("entry", entry) for entry in ready.entries]
        if ready.vote:
            out.append(("vote", ready.vote))
        return out

    def do(self, writes: list[tuple[str, object]]) -> None:
        self.has_cut = False
        for what, value in writes:
            if what == "image":
                self.image = value
            elif what == "cut":
                if self.last() >= value:
                    self.has_cut = True
                    self.entries = {at: e for at, e in self.entries.items() if at < value}
            elif what == "entry":
                self.entries[value.index] = value
            else:
                self.vote = value
            if what == "image":
                self._fit()

    def _fit(self) -> None:
        """Danger: entries that are not of the image's log must never stand after it."""
        at = self.entries.get(self.image.index)
        same = at is not None and at.term == self.image.term
        self.entries = {k: e for k, e in self.entries.items() if same and k > self.image.index}

    def compact(self, image: Image) -> None:
        self.image = image
        self.entries = {at: e for at, e in self.entries.items() if at > image.index}

    def holds(self, entry: Entry) -> bool:
        if self.image and entry.index <= self.image.index:
            return True
        mine = self.entries.get(entry.index)
        return mine is not None and mine.term == entry.term

    def last(self) -> int:
        return next(reversed(self.entries)) if self.entries else self.image.index if self.image else 0

    def stored(self) -> Stored:
        return Stored(self.vote, self.image, tuple(self.entries[at] for at in sorted(self.entries)))


class Register:
    """One register that clients write; each write counts once, however often it was proposed."""

    def __init__(self) -> None:
        self.value, self.last = "", {}

    def apply(self, index: int, data: bytes) -> str:
        try:
            client, number, value = data.decode().rstrip().split(":")
            number = int(number)
        except ValueError:
            return "bad"
        if number <= self.last.get(client, 0):
            return "again"
        self.last[client], self.value = number, value
        return "done"

    def image(self) -> bytes:
        return msgspec.msgpack.encode([self.value, sorted(self.last.items())])

    def restore(self, data: bytes) -> None:
        self.value, last = msgspec.msgpack.decode(data) if data else ("", [])
        self.last = dict(last)


class Node:
    """One life of a process. The world gives time, the network and the checks."""

    core_class = Core

    def __init__(self, world, id: str, stored: Stored, random: Random) -> None:
        self.world, self.id, self.random = world, id, random
        self.disk = Disk(stored)
        drift = world.settings.drift
        self.rate, self.offset = random.uniform(1 - drift, 1 + drift), random.uniform(0, 1e5)
        self.core: Core | None = None
        self.lost, self.resume, self.inbox = False, 0.0, []
        self.syncing: tuple[Ready, list] | None = None
        self.cycle, self.tick_at, self.led_since, self.voters = 0, 0.0, 0.0, ()
        self.start()

    @property
    def up(self) -> bool:
        return self.core is not None

    @property
    def paused(self) -> bool:
        return self.world.now < self.resume

    def clock(self) -> float:
        return self.offset + self.rate * self.world.now

    def start(self) -> None:
        stored = self.disk.stored()
        self.core = self.core_class(self.id, stored, self.world.settings, self.random.getrandbits(32), self.clock())
        self.register, self.applied = Register(), 0
        if stored.image:
            self.register.restore(stored.image.data)
            self.applied = stored.image.index
        self.syncing, self.tick_at, self.resume, self.inbox = None, 0.0, 0.0, []
        self.since_image = self.random.randint(0, 30)
        self.cycle += 1
        self.world.checks.started(self)
        self.turn()

    def crash(self) -> None:
        if self.core and self.syncing:
            writes = self.syncing[1]
            self.disk.do(writes[: self.random.randint(0, len(writes))])
        self.core, self.syncing = None, None
        self.cycle += 1

    # --- Facts in. Each is followed by a turn: what is ready is done, unless the disk still is at the last.

    def receive(self, sender: str, message: object) -> None:
        if self.paused:
            if len(self.inbox) < MOST_INBOX:
                self.inbox.append((sender, message))
            return
        self.world.checks.received(self, sender, message)
        self.core.step(self.clock(), sender, message)
        self.turn()

    def wake(self) -> None:
        """Its pause is over: the time-outs come before what was received meanwhile, or after it."""
        inbox, self.inbox = self.inbox, []
        if self.random.random() < 0.5:
            self.tick()
        for sender, message in inbox:
            if self.up:
                self.receive(sender, message)
        if self.up:
            self.tick()

    def tick(self) -> None:
        self.core.tick(self.clock())
        self.world.checks.ticked(self)
        self.turn()

    def turn(self) -> None:
        self.world.checks.turned(self)
        while self.syncing is None and self.up:
            ready = self.core.ready()
            if ready is None:
                break
            writes = self.disk.writes(ready)
            self.voters = self.core.config.voters  # by whom what is committed now was counted
            self.syncing = (ready, writes)
            self.begun(ready)
            if writes and self.random.random() < self.world.slow_disk:
                self.world.after(self.random.choice((0.001, 0.004, 0.04)), self.synced, self.cycle)
                break
            self.finish()
        if self.up:
            self.world.checks.turned(self)
            self.world.due(self)

    def begun(self, ready: Ready) -> None:
        """A place for a planted bug."""

    def synced(self, cycle: int) -> None:
        """The disk has answered, to this life."""
        if cycle == self.cycle and self.syncing:
            if self.paused:
                self.world.after(self.resume - self.world.now + 1e-6, self.synced, cycle)
                return
            self.finish()
            self.turn()

    def finish(self) -> None:
        ready, writes = self.syncing
        self.syncing = None
        self.disk.do(writes)
        self.world.checks.wrote(self, ready)
        for to, message in ready.messages:
            self.world.checks.sent(self, to, message)
            self.world.send(self.id, to, message)
        if ready.image:
            self.register.restore(ready.image.data)
            self.applied = ready.image.index
            self.world.checks.restored(self, ready.image)
        for entry in ready.committed:
            self.apply(entry)

    def apply(self, entry: Entry) -> None:
        self.world.checks.applying(self, entry)
        said = self.register.apply(entry.index, entry.data) if entry.kind == Kind.COMMAND else ""
        self.applied = entry.index
        self.world.applied(self, entry, said)
        self.since_image += 1
        if self.since_image >= self.world.image_every:
            self.since_image = 0
            image = Image(entry.index, entry.term, self.core.config_at(entry.index), self.register.image())
            self.core.compact(image)
            self.disk.compact(image)

    def read(self) -> str | None:
        """The register's value if the leader's lease allows it; None if it does not."""
        core = self.core
        if core is None or self.paused or not core.may_read(self.clock()) or self.applied != core.commit:
            return None
        return self.register.value


def blank() -> Stored:
    return Stored(Vote(), None, ())
