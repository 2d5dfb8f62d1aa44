"""What must hold after every step of every process of a replicated log, and over a whole history.

Each check has a name; a violation raises `Broken` with it. Nothing here asks a log what it believes, but for its role,
term, commit and the entries that it holds; proofs are taken from what was written, sent, applied and answered.
"""

from __future__ import annotations

from ..cluster.interface import Append, Appended, AskVote, Entry, Image, Kind, Ready, Voted
from ..cluster.log.core import Role
from .virtual_log_node import Register

_OF_A_TERM = (AskVote, Append, Appended)


class Broken(Exception):
    """A property does not hold. `name` is the check's."""

    def __init__(self, name: str, what: str) -> None:
        super().__init__(f"{name}: {what}")
        self.name = name


class Checks:
    """All of one schedule's. Ids are those of lives; `lost` are those whose folder is gone."""

    def __init__(self, election: float) -> None:
        self.election = election
        self.leaders: dict[int, str] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.written: dict[tuple[int, int], tuple[int, Entry]] = {}
        self.chosen: list[Entry] = []            # committed, by index from 1
        self.terms = 0                           # the highest that any process was in
        self.commits: dict[str, int] = {}
        self.seen: dict[str, tuple] = {}
        self.lost: set[str] = set()
        self.heard: dict[str, dict[str, float]] = {}
        self.nodes: dict = {}
        self.floor = 0                           # index that every later read must have seen
        self.effective: list[tuple[str, int, str]] = []
        self._state = Register()
        self.on_leader = lambda node: None

    # --- Steps of one process.

    def started(self, node) -> None:
        self.nodes[node.id] = node
        self.commits[node.id] = 0
        self.seen.pop(node.id, None)
        self.terms = max(self.terms, node.core.term)

    def turned(self, node) -> None:
        core = node.core
        if core.commit < self.commits[node.id]:
            raise Broken("commit-goes-on", f"{node.id} went from {self.commits[node.id]} to {core.commit}")
        self.commits[node.id] = core.commit
        now = (core.term, core.role)
        if self.seen.get(node.id) == now:
            return
        self.seen[node.id] = now
        if core.term > self.terms:
            self.terms = core.term
            if core.role < Role.CANDIDATE:
                raise Broken("term-by-candidate", f"{node.id} raised the term to {core.term} as {core.role.name}")
        if core.leading:
            if self.leaders.setdefault(core.term, node.id) != node.id:
                raise Broken("one-leader", f"{self.leaders[core.term]} and {node.id} lead term {core.term}")
            self.heard[node.id] = {}
            node.led_since = node.world.now
            for entry in self.chosen:
                self._must_hold(node, entry)
            self.on_leader(node)

    def received(self, node, sender: str, message: object) -> None:
        core = node.core
        if isinstance(message, Appended) and core.leading and message.term == core.term:
            self.heard[node.id][sender] = node.world.now

    def ticked(self, node) -> None:
        if not node.core.leading:
            return
        voters, heard, now = node.core.config.voters, self.heard[node.id], node.world.now
        times = sorted((now if v == node.id else heard.get(v, node.led_since) for v in voters), reverse=True)
        silent = now - times[len(voters) // 2]
        if silent > 2 * self.election:
            raise Broken("check-quorum", f"{node.id} leads after {silent:.2f} s without a majority")

    def sent(self, node, to: str, message: object) -> None:
        """Whatever is said stands on the disk (which only holds what was synced)."""
        vote = node.disk.vote
        if isinstance(message, Voted) and message.granted and (message.term > vote.term or (
                message.term == vote.term and vote.voted != to)):
            raise Broken("disk-first", f"{node.id} says its vote for {to} that is not on disk")
        if isinstance(message, _OF_A_TERM) and message.term > vote.term:
            raise Broken("disk-first", f"{node.id} speaks in term {message.term} that is not on disk")
        if isinstance(message, Appended) and message.ok and message.term == vote.term and (
                message.index > node.disk.last()):
            raise Broken("disk-first", f"{node.id} has {message.index}, it says, and not on disk")

    def wrote(self, node, ready: Ready) -> None:
        vote = ready.vote
        if vote and vote.voted and self.votes.setdefault((node.id, vote.term), vote.voted) != vote.voted:
            raise Broken("one-vote", f"{node.id} voted twice in term {vote.term}")
        if not ready.entries:
            return
        disk, first = node.disk, ready.entries[0]
        held = disk.entries.get(first.index - 1)
        before = held.term if held else disk.image.term if disk.image else 0
        for entry in ready.entries:
            if self.written.setdefault((entry.index, entry.term), (before, entry)) != (before, entry):
                raise Broken("log-matching", f"{node.id} holds another entry {entry.index} of term {entry.term}")
            before = entry.term

    # --- What is committed.

    def applying(self, node, entry: Entry) -> None:
        if entry.index != node.applied + 1:
            raise Broken("apply-in-order", f"{node.id} applies {entry.index} after {node.applied}")
        if entry.index <= len(self.chosen):
            if self.chosen[entry.index - 1] != entry:
                raise Broken("same-state", f"{node.id} applies another entry {entry.index}")
            return
        self.chosen.append(entry)
        if entry.kind == Kind.COMMAND and self._state.apply(entry.index, entry.data) == "done":
            client, number, value = entry.data.decode().rstrip().split(":")
            self.effective.append((client, int(number), value))
        self._must_be_safe(node, entry)
        for other in self.nodes.values():
            if other.up and other.core.leading and other.core.term > node.core.term:
                self._must_hold(other, entry)

    def restored(self, node, image: Image) -> None:
        if image.index > len(self.chosen) or (image.index and self.chosen[image.index - 1].term != image.term):
            raise Broken("same-state", f"{node.id} took an image of what is not committed at {image.index}")

    def _must_hold(self, node, entry: Entry) -> None:
        log = node.core.log
        if entry.index > log.base and log.term(entry.index) != entry.term:
            raise Broken("leader-complete", f"{node.id} leads term {node.core.term} without {entry.index}")

    def _must_be_safe(self, node, entry: Entry) -> None:
        """A committed entry is on the disks of so many voters that no majority is without it."""
        voters = node.voters
        lack = [v for v in voters if v not in self.lost and not self.nodes[v].disk.holds(entry)]
        if 2 * len(lack) >= len(voters) + (len(voters) % 2):
            raise Broken("on-a-majority", f"{entry.index} is committed by {node.id}, but not on {lack} of {voters}")

    def kept(self, voters: tuple[str, ...]) -> None:
        """None is lost, as the disks are now."""
        for entry in self.chosen[-32:]:
            lack = [v for v in voters if v not in self.lost and not self.nodes[v].disk.holds(entry)]
            if 2 * len(lack) > len(voters):
                raise Broken("none-lost", f"{entry.index} was committed and {lack} of {voters} are without it")

    # --- What clients see.

    def answered(self, index: int) -> None:
        self.floor = max(self.floor, index)

    def read(self, node) -> None:
        if node.applied < self.floor:
            raise Broken("reads", f"{node.id} read as of {node.applied}, {self.floor} was answered before")
        self.floor = node.applied

    def history(self, writes: list[tuple[str, int, str, float, float | None]], reads: list[tuple[float, str]]) -> None:
        """Linearizable, by values alone: the order in which writes took effect explains all answers.

        `writes` are (client, number, value, begun, answered or None), `reads` (time, value).
        """
        place = {effect[2]: at + 1 for at, effect in enumerate(self.effective)}
        place[""] = 0
        if len(place) != len(self.effective) + 1:
            raise Broken("once", "a write took effect twice")
        points = []
        for client, number, value, begun, answered in writes:
            if answered is not None and value not in place:
                raise Broken("once", f"{client}'s write {number} was answered and is lost")
            if value in place:
                points.append((begun, 0, place[value]))
                if answered is not None:
                    points.append((answered, 1, place[value]))
        points += [(at, 2, place[value]) for at, value in reads]
        floor = 0
        open_from = {p: t for t, kind, p in points if kind == 0}
        for at, kind, where in sorted(points):
            if kind == 0 and where <= floor:
                raise Broken("linearizable", f"the write at {where} began after {floor} was seen")
            if kind == 2 and (where < floor or (where and open_from[where] > at)):
                raise Broken("linearizable", f"a read saw {where} after {floor}")
            if kind:
                floor = max(floor, where)
        last: dict[str, int] = {}
        for client, number, _ in self.effective:
            if number != last.get(client, 0) + 1:
                raise Broken("once", f"{client}'s write {number} took effect after {last.get(client, 0)}")
            last[client] = number
