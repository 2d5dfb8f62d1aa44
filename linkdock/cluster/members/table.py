"""The members as one process knows them: which word wins, lives of one name, bounds and forgetting."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Peer, Rumour, Standing, name_of
from .health import Suspicion
from .settings import MembersSettings

ALIVE, SUSPECT, FAILED, LEFT = Standing


@dataclass(slots=True)
class Record:
    """One life. `own`: this process's own probe of it failed; `silent`: never seen alive here, nobody is told;
    `behind`: it has spoken, but must rise over a later life of its name first."""

    peer: Peer
    standing: Standing
    incarnation: int
    since: float
    own: bool = False
    silent: bool = False
    behind: bool = False
    suspicion: Suspicion | None = None

    @property
    def live(self) -> bool:
        return self.standing < FAILED

    def rumour(self) -> Rumour:
        return Rumour(self.peer, self.standing, self.incarnation)

    def said(self) -> Rumour:
        """What is told to others of it. Danger: a suspicion passed on from hearsay would count as one more finding."""
        if self.standing is SUSPECT and not self.own:
            return Rumour(self.peer, ALIVE, self.incarnation)
        return self.rumour()

    def stand(self, now: float, peer: Peer, standing: Standing, incarnation: int) -> None:
        self.peer, self.standing, self.incarnation, self.since = peer, standing, incarnation, now
        self.own, self.suspicion = False, None
        self.silent, self.behind = self.silent and standing >= FAILED, self.behind and standing >= FAILED


class Change:
    """A record that has just changed, and how it stood; None if it is new here."""

    __slots__ = ("record", "before", "moved")

    def __init__(self, record: Record, before: Standing | None, moved: bool = False) -> None:
        self.record, self.before, self.moved = record, before, moved


class Table:
    """Bounded: most_members lives, those that are dead among them; these make room for the living."""

    def __init__(self, settings: MembersSettings) -> None:
        self._settings = settings
        self._lives: dict[str, list[str]] = {}
        self.records: dict[str, Record] = {}
        self.living = 0  # of the others, suspects counted

    def get(self, peer_id: str) -> Record | None:
        return self.records.get(peer_id)

    def ids(self, *standings: Standing) -> list[str]:
        return [one.peer.id for one in self.records.values() if one.standing in standings]

    def others(self, peer_id: str) -> list[Record]:
        """Other lives of the same name."""
        return [self.records[one] for one in self._lives.get(name_of(peer_id), ()) if one != peer_id]

    def hear(self, now: float, rumour: Rumour, direct: bool = False) -> list[Change]:
        """Take one word in if it wins; what has changed by it. `direct`: the member itself speaks."""
        record = self.records.get(rumour.peer.id)
        if record is None:
            return self._first(now, rumour, direct)
        if not self.wins(rumour, record):
            return []
        if rumour.standing < FAILED and not record.live and self._outdone(rumour, record):
            # Danger: an old life that still runs must not be forgotten, or it would be new to those who forgot it.
            record.since = now if direct else record.since
            return []
        return self.set(now, record, rumour.standing, rumour.incarnation, rumour.peer)

    @staticmethod
    def wins(rumour: Rumour, record: Record) -> bool:
        return (rumour.incarnation, rumour.standing) > (record.incarnation, record.standing)

    def _outdone(self, rumour: Rumour, record: Record) -> bool:
        """Danger: one whose place a later life has taken never comes back, whatever incarnation it says."""
        if record.behind:
            return self._behind(rumour)
        return any(one.live for one in self.others(rumour.peer.id))

    def _behind(self, rumour: Rumour) -> bool:
        """Lives of one name are in order by incarnation, then by id: a new life rises over those it is told of."""
        mine = (rumour.incarnation, rumour.peer.id)
        return any((one.incarnation, one.peer.id) > mine for one in self.others(rumour.peer.id))

    def set(
        self, now: float, record: Record, standing: Standing, incarnation: int, peer: Peer | None = None
    ) -> list[Change]:
        """It stands like this from now on; a live one's other lives have failed."""
        peer = record.peer if peer is None or incarnation <= record.incarnation else peer
        before, was, moved = record.standing, record.live, peer != record.peer
        new = record.silent and standing < FAILED
        record.stand(now, record.peer if not moved else peer, standing, incarnation)
        self.living += record.live - was
        changes = [Change(record, None if new else before, moved)]
        if record.live and not was:
            changes[:0] = self._outlived(now, record.peer.id)
        return changes

    def _outlived(self, now: float, peer_id: str) -> list[Change]:
        changes = []
        for one in self.others(peer_id):
            if one.live:
                before = one.standing
                one.stand(now, one.peer, FAILED, one.incarnation)
                self.living -= 1
                changes.append(Change(one, before))
        return changes

    def _first(self, now: float, rumour: Rumour, direct: bool) -> list[Change]:
        peer_id, dead = rumour.peer.id, rumour.standing >= FAILED
        behind = self._behind(rumour)
        if behind and not dead and not direct:
            return []
        # One that is behind a later life speaks itself: kept as dead, so that the answer which says so has an address.
        silent = dead or behind
        if silent and self.silents() >= max(1, self._settings.most_members // 4):
            return []
        if len(self.records) >= self._settings.most_members and not self._make_room():
            return []
        standing = FAILED if behind and not dead else rumour.standing
        record = Record(rumour.peer, standing, rumour.incarnation, now, silent=silent, behind=silent and not dead)
        self.records[peer_id] = record
        self._lives.setdefault(name_of(peer_id), []).append(peer_id)
        if silent:
            return []
        self.living += 1
        return [*self._outlived(now, peer_id), Change(record, None)]

    def silents(self) -> int:
        return sum(one.silent for one in self.records.values())

    def _make_room(self) -> bool:
        dead = [one for one in self.records.values() if not one.live]
        if not dead:
            return False
        self._forget(min(dead, key=lambda one: (not one.silent, one.since)))
        return True

    def _forget(self, record: Record) -> None:
        peer_id = record.peer.id
        del self.records[peer_id]
        lives = self._lives[name_of(peer_id)]
        lives.remove(peer_id)
        if not lives:
            del self._lives[name_of(peer_id)]

    def forget(self, now: float) -> list[str]:
        """Those dead for longer than stated go; their ids."""
        gone = [one for one in self.records.values() if not one.live and now - one.since >= self._settings.forget_s]
        for one in gone:
            self._forget(one)
        return [one.peer.id for one in gone]

    def tellable(self, now: float) -> list[Record]:
        """For an exchange. Danger: a dead one told of until it is forgotten would be kept for ever among two."""
        old = now - self._settings.forget_s / 2
        return [one for one in self.records.values() if one.live or not one.silent and one.since > old]
