"""What must hold after every step of every process of a replicated log, and over a whole history.

Each check has a name; a violation raises `Broken` with it. Nothing here asks a log what it believes, but for its role,
term, commit and the entries that it holds; proofs are taken from what was written, sent, applied and answered.
"""

from __future__ import annotations

from ..cluster.interface import Append, Appended, AskVote, Entry, Image, Kind, Ready, Voted
from ..cluster.log.core import Role
from ..errors import LinkdockError
from .virtual_log_node import Register

_OF_A_TERM = (AskVote, Append, Appended)


class Broken(LinkdockError):
    """A property does not hold. `name` is the check's."""

    code = "LD-LAB-PROPERTY"
    what = "a property of the replicated log does not hold in an experiment"
    remedy = "Play the schedule that the line names once more, and look at what docs/properties.md says of the check"

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
        self.chosen: list[Entry] = []  # committed, by index from 1
        self.chosen_in: list[int] = []  # in which term each was committed
        self.terms = 0  # the highest that any process was in
        self.commits: dict[str, int] = {}
        self.seen: dict[str, tuple] = {}
        self.lost: set[str] = set()
        self.heard: dict[str, dict[str, float]] = {}
        self.nodes: dict = {}
        self.floor = 0  # index that every later read must have seen
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
            for entry, term in zip(self.chosen, self.chosen_in, strict=True):
                if core.term > term:
                    self._must_hold(node, entry)
            self.on_leader(node)

    def received(self, node, sender: str, message: object) -> None:
        core = node.core
        if isinstance(message, Appended) and core.leading and message.term == core.term:
            self.heard[node.id][sender] = node.world.now

    def ticked(self, node) -> None:
        if not node.core.leading:
            return
        voters, heard, now = node.core.config.voters, self.heard.get(node.id, {}), node.world.now
        times = sorted((now if v == node.id else heard.get(v, node.led_since) for v in voters), reverse=True)
        silent = now - times[len(voters) // 2]
        if silent > 2 * self.election:
            raise Broken("check-quorum", f"{node.id} leads after {silent:.2f} s without a majority")

    def sent(self, node, to: str, message: object) -> None:
        """Whatever is said stands on the disk (which only holds what was synced)."""
        vote = node.disk.vote
        if (
            isinstance(message, Voted)
            and message.granted
            and (message.term > vote.term or (message.term == vote.term and vote.voted != to))
        ):
            raise Broken("disk-first", f"{node.id} says its vote for {to} that is not on disk")
        if isinstance(message, _OF_A_TERM) and message.term > vote.term:
            raise Broken("disk-first", f"{node.id} speaks in term {message.term} that is not on disk")
        if (
            isinstance(message, Appended)
            and message.ok
            and message.term == vote.term
            and (message.index > node.disk.last())
        ):
            raise Broken("disk-first", f"{node.id} has {message.index}, it says, and not on disk")
        if isinstance(message, Appended) and message.ok:
            self._true(node, self.nodes[to], message)

    def _true(self, node, leader, message: Appended) -> None:
        if (
            not leader.up
            or not leader.core.leading
            or leader.core.term != message.term
            or (node.disk.vote.term != message.term)
        ):
            return
        mine, theirs = node.disk.entries.get(message.index), leader.core.log.term(message.index)
        if message.index > leader.core.log.last or (mine and theirs is not None and mine.term != theirs):
            raise Broken("true-answers", f"{node.id} answers {message.index}, which is not {leader.id}'s")

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
            if entry.kind == Kind.CONFIG and node.core.leading and entry.term == node.core.term:
                self._one_change(node, entry)
        if disk.has_cut and node.core.log.last == disk.last():
            configs = [at for at, e in disk.entries.items() if e.kind == Kind.CONFIG]
            if node.core.log.config_index != max(configs, default=disk.image.index if disk.image else 0):
                raise Broken("config-of-log", f"{node.id} goes by a Config that is not in its log")

    def _one_change(self, node, entry: Entry) -> None:
        done, before = len(self.chosen), [e for e in node.disk.entries.values() if e.index < entry.index]
        if any(e.kind == Kind.CONFIG and e.index > done for e in before) or (
            not done or self.chosen[-1].term < entry.term
        ):
            raise Broken("one-change", f"{node.id} changes at {entry.index} while a change may be open")

    # --- What is committed.

    def applying(self, node, entry: Entry) -> None:
        if entry.index != node.applied + 1:
            raise Broken("apply-in-order", f"{node.id} applies {entry.index} after {node.applied}")
        if entry.index <= len(self.chosen):
            if self.chosen[entry.index - 1] != entry:
                raise Broken("same-state", f"{node.id} applies another entry {entry.index}")
            return
        self.chosen.append(entry)
        self.chosen_in.append(node.core.term)
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

    def history(self, writes: list[tuple[str, int, str, int, int | None]], reads: list[tuple[int, str]]) -> None:
        """Linearizable, by values alone: the order in which writes took effect explains all answers.

        `writes` are (client, number, value, begun, answered or None), `reads` (moment, value).
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
