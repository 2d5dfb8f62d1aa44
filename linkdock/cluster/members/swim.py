"""SWIM with suspicion, incarnations and local health awareness, as a machine: facts in, posts and changes out.

After Das, Gupta, Motivala, "SWIM" (2002) and Dadgar, Phillips, Currey, "Lifeguard" (2017). A suspicion is told on only
by those whose own probe failed, so that each teller is one finding more. Who is said to have failed is only suspected
at first: the word may come from the other side of a cut.
"""

from __future__ import annotations

from math import ceil, inf, log2
from random import Random

from msgspec.structs import replace

from ..interface import (
    Ack,
    AnyPacket,
    Heard,
    Join,
    Nack,
    Packet,
    Peer,
    Ping,
    PingFor,
    Post,
    Rumour,
    Welcome,
    name_of,
)
from .asking import Open, Order, Probe
from .health import Health, Suspicion
from .rumours import HIGHEST, MOST_ID, Rumours, believable, fill, sound
from .seeds import Seeds
from .settings import MembersSettings
from .table import ALIVE, FAILED, LEFT, SUSPECT, Change, Record, Table

Out = list[Post | Heard]


class Swim:
    """`interface.Members`. One seed, one order of calls: one behaviour. `now` never goes back.

    `me` must be sound (ValueError else). `incarnation`: best one above that of an earlier run of the same life, as the
    seconds of the wall clock are; without, the process rises over what the others remember of it.
    """

    def __init__(self, me: Peer, settings: MembersSettings | None = None, seed: int = 0, incarnation: int = 0) -> None:
        if not sound(me):
            raise ValueError(f"not a process of a fleet: {me}")
        self.me, self.settings = me, settings or MembersSettings()
        self.incarnation = min(max(0, incarnation), HIGHEST - 1)
        self._random, self._name = Random(seed), name_of(me.id)
        self._health = Health(self.settings)
        self.table = Table(self.settings)
        self._rumours = Rumours(self.settings.spread)
        self._open, self._order = Open(self.settings, self._random), Order(self._random)
        self._suspects: dict[str, Record] = {}
        self._seeds = Seeds([], me, self.settings, self._random)
        self._started = self._left = False
        self._now = self._began = 0.0
        self._exchange_gap = self.settings.join_s
        self._exchange_at = self._retry_at = self._probe_at = self._gossip_at = inf
        self._out: Out = []

    # --- What the caller asks.

    def join(self, now: float, seeds: list[str]) -> Out:
        """Take part from now on. `seeds` are "host:port" of any processes of the fleet; without any it is the first."""
        self._out, self._now = [], max(now, self._now)
        if self._left:
            self.incarnation = min(self.incarnation + 1, HIGHEST)
        self._started, self._left, self._began = True, False, self._now
        self._seeds = Seeds(seeds, self.me, self.settings, self._random)
        self._probe_at = self._now + self.settings.probe_s * self._random.random()
        self._exchange_gap = self.settings.join_s
        self._exchange_at = self._now + self._exchange_gap
        self._retry_at = self._now + self.settings.retry_s
        self._gossip_at = self._now + self.settings.gossip_s
        self._join_seeds()
        return self._out

    def leave(self, now: float) -> Out:
        """Say good-bye; nothing is asked any more, and pings are answered by the same word."""
        self._begin(now)
        if self._started and not self._left:
            self._left = True
            live = self.table.ids(ALIVE, SUSPECT)
            self._random.shuffle(live)
            for peer_id in live[: 2 * ceil(log2(len(live) + 1))]:
                self._post(peer_id, Ping, self._open.draw(), to=peer_id)
            self._suspects.clear()
        return self._out

    def view(self) -> dict[str, Rumour]:
        told = {peer_id: one.rumour() for peer_id, one in self.table.records.items()}
        told[self.me.id] = self._myself()
        return told

    def health(self) -> int:
        return self._health.score

    def next_due(self) -> float:
        if not self._started or self._left:
            return inf
        suspects = min((one.suspicion.until() for one in self._suspects.values()), default=inf)
        probe = self._probe_at if self._open.probe is None else inf
        gossip = self._gossip_at if self._rumours else inf
        return min(probe, self._open.due(), suspects, self._seeds.due(), self._exchange_at, self._retry_at, gossip)

    # --- What comes in.

    def receive(self, now: float, packet: AnyPacket) -> Out:
        self._begin(now)
        sender = packet.sender
        said = Rumour(sender, ALIVE, packet.incarnation)
        if not self._started or sender.id == self.me.id or not believable(said) or abs(packet.number) >= 1 << 63:
            return self._out
        if self._left:
            if isinstance(packet, Ping) and packet.to == self.me.id:
                self._post(sender.id, Ack, packet.number, target=self.me.id)
            return self._out
        self._hear(said, sender.id, direct=True)
        for rumour in packet.rumours:
            if believable(rumour):
                self._hear(rumour, sender.id)
        match packet:
            case Ping(to=self.me.id):
                self._post(sender.id, Ack, packet.number, behind=packet.incarnation, target=self.me.id)
            case PingFor():
                self._ping_for(packet)
            case Ack():
                self._answered(packet)
            case Nack() if self._open.of_probe(packet.number, packet.target):
                self._open.probe.nacks += 1
            case Join():
                self._welcome(packet)
            case Welcome() if self._open.joined(packet.number):
                self._seeds.welcomed = True
        return self._out

    def _hear(self, rumour: Rumour, by: str, direct: bool = False) -> None:
        peer_id = rumour.peer.id
        if peer_id == self.me.id:
            self._of_me(rumour)
            return
        if name_of(peer_id) == self._name:
            rumour = self._other_life(rumour)
        record = self.table.get(peer_id)
        if rumour.standing is SUSPECT and record is None:
            self._hear(Rumour(rumour.peer, ALIVE, rumour.incarnation), by)
            record = self.table.get(peer_id)
        if rumour.standing is FAILED and record is not None and record.live and not self._ripe(rumour, record):
            rumour = replace(rumour, standing=SUSPECT)
        if (
            record is not None
            and rumour.standing is record.standing is SUSPECT
            and rumour.incarnation == record.incarnation
        ):
            self._confirmed(record, by)
            return
        self._changed(self.table.hear(self._now, rumour, direct), by)

    def _ripe(self, rumour: Rumour, record: Record) -> bool:
        """Whether a word of failure is believed. Danger: it may come from the other side of a cut that has just healed,
        or be a lie: the member has the shortest time of a suspicion here, too, to speak up."""
        return (
            not self.settings.lifeguard
            or record.standing is SUSPECT
            and record.incarnation == rumour.incarnation
            and self._now - record.suspicion.began >= record.suspicion.shortest
        )

    def _confirmed(self, record: Record, by: str) -> None:
        teller = self.table.get(by)
        if teller is not None and teller.live:
            record.suspicion.confirm(by)

    def _of_me(self, rumour: Rumour) -> None:
        """Danger: who is told ill of this process must hear of a higher incarnation, or has lost it."""
        if rumour.standing is not ALIVE and rumour.incarnation >= self.incarnation:
            self._rise(rumour.incarnation)
            self._health.worse()
        elif rumour.incarnation > self.incarnation:
            self._rise(rumour.incarnation)

    def _rise(self, over: int) -> None:
        self.incarnation = min(over + 1, HIGHEST)

    def _other_life(self, rumour: Rumour) -> Rumour:
        """This process, when young, rises over what it is told of its earlier lives; none of them lives in its view."""
        young = self._now - self._began < self.settings.young_s
        above = (rumour.incarnation, rumour.peer.id) > (self.incarnation, self.me.id)
        if above and (young or rumour.standing >= FAILED):
            self._rise(rumour.incarnation)
        return rumour if rumour.standing >= FAILED else replace(rumour, standing=FAILED)

    def _changed(self, changes: list[Change], by: str) -> None:
        """Tell the caller and the others; see to suspicions."""
        for change in changes:
            record = change.record
            peer_id, standing = record.peer.id, record.standing
            self._suspects.pop(peer_id, None)
            if record.silent:
                continue
            if standing is SUSPECT:
                record.suspicion = Suspicion(self._now, self.table.living + 1, self.settings, by)
                record.own = by == self.me.id
                self._suspects[peer_id] = record
                if not record.own:
                    self._order.check(peer_id)
            if record.live and (change.before is None or change.before >= FAILED):
                self._order.add(peer_id)
            if standing is not SUSPECT or record.own or not self.settings.lifeguard:
                self._tell(record)
            if standing is not change.before or change.moved:
                returned = change.before is not None and change.before >= FAILED and record.live
                self._out.append(Heard(record.peer, standing, record.incarnation, returned))

    def _tell(self, record: Record) -> None:
        self._rumours.put(record.rumour())
        # Danger: a time that went by while there was no news would look like a pause of this process.
        self._gossip_at = max(self._gossip_at, self._now)

    def _answered(self, packet: Ack) -> None:
        target = packet.target or packet.sender.id
        relay = self._open.relays.get(packet.number)
        if relay is not None and target == relay.target == packet.sender.id:
            del self._open.relays[packet.number]
            self._post(relay.asker, Ack, relay.number, target=target)
        elif self._open.of_probe(packet.number, target) and not self._open.probe.answered:
            self._open.probe.answered = True
            self._health.better()

    def _ping_for(self, packet: PingFor) -> None:
        asker, target = packet.sender.id, packet.target
        if target == self.me.id:
            self._post(asker, Ack, packet.number, target=target)
        elif self.table.get(target) is not None:
            number = self._open.relay(self._now, asker, packet.number, target)
            if number is not None:
                self._post(target, Ping, number, to=target)
        elif len(target) <= MOST_ID and self.settings.lifeguard:
            self._post(asker, Nack, packet.number, target=target)

    def _welcome(self, packet: Join) -> None:
        asker = self.table.get(packet.sender.id)
        if asker is None or not self._open.may_answer(self._now):
            return
        known = self._slice() if asker.live else []
        for _ in range(self.settings.pieces):
            left = len(known)
            self._post(asker.peer.id, Welcome, packet.number, behind=packet.incarnation, known=known)
            if not known or len(known) == left:
                break

    # --- What is due.

    def tick(self, now: float) -> Out:
        self._begin(now)
        if not self._started or self._left:
            return self._out
        now = self._now
        self._relays()
        self._probe()
        for record in [one for one in self._suspects.values() if one.suspicion.until() <= now]:
            if record.standing is SUSPECT:
                self._changed(self.table.set(now, record, FAILED, record.incarnation), self.me.id)
        if self._seeds.due() <= now:
            self._join_seeds()
        if self._gossip_at <= now and self._rumours:
            self._gossip()
        if self._exchange_at <= now:
            self._exchange()
        if self._retry_at <= now:
            self._retry()
        return self._out

    def _begin(self, now: float) -> None:
        """Danger: after a pause of this process all answers look late; the time away counts against nobody else."""
        self._out, self._now = [], max(now, self._now)
        late = self._now - self.next_due()
        if self.settings.lifeguard and late > self.settings.probe_s / 2:
            self._health.worse()
            self._open.shift(late)
            self._seeds.shift(late)
            for record in self._suspects.values():
                record.suspicion.began += late
            self._probe_at, self._exchange_at = self._probe_at + late, self._exchange_at + late
            self._retry_at, self._gossip_at = self._retry_at + late, self._gossip_at + late

    def _probe(self) -> None:
        probe = self._open.probe
        if probe is not None and not probe.answered and probe.ask_others <= self._now:
            self._ask_others(probe)
        if probe is not None and probe.end <= self._now:
            self._open.probe, self._probe_at = None, self._now
            if not probe.answered:
                self._unanswered(probe)
        if self._open.probe is None and self._probe_at <= self._now:
            self._begin_probe()

    def _begin_probe(self) -> None:
        live = self.table.ids(ALIVE, SUSPECT)
        target, times, number = self._order.next(live, set(self._suspects)), self._health.times(), self._open.draw()
        if target is None:
            self._probe_at = self._now + self.settings.probe_s
            return
        self._open.probe = Probe(
            number, target, self._now + self.settings.answer_s * times, self._now + self.settings.probe_s * times
        )
        self._post(target, Ping, number, to=target)

    def _ask_others(self, probe: Probe) -> None:
        probe.ask_others = inf
        others = [one for one in self.table.ids(ALIVE) if one != probe.target]
        for helper in self._random.sample(others, min(len(others), self.settings.helpers)):
            probe.helpers += 1
            self._post(helper, PingFor, probe.number, target=probe.target)

    def _unanswered(self, probe: Probe) -> None:
        self._health.worse(probe.helpers - probe.nacks if probe.helpers else 1)
        record = self.table.get(probe.target)
        if record is None or not record.live:
            return
        if record.standing is ALIVE:
            self._changed(self.table.set(self._now, record, SUSPECT, record.incarnation), self.me.id)
        elif not record.own:
            record.own = True
            record.suspicion.confirm(self.me.id)
            self._tell(record)

    def _relays(self) -> None:
        for number, relay in list(self._open.relays.items()):
            if relay.end <= self._now:
                del self._open.relays[number]
            elif relay.nack <= self._now:
                relay.nack = inf
                if self.settings.lifeguard:
                    self._post(relay.asker, Nack, relay.number, target=relay.target)

    def _join_seeds(self) -> None:
        for seed in self._seeds.next(self._now):
            self._post(seed, Join, self._open.join(), seed=True)

    def _gossip(self) -> None:
        """While there is news it does not wait for probes: an answer that nobody asked for carries it."""
        self._gossip_at = self._now + self.settings.gossip_s
        live = self.table.ids(ALIVE)
        if live:
            self._post(self._random.choice(live), Ack, self._open.draw())

    def _exchange(self) -> None:
        """Ask one member for what it knows, and tell it a piece: so what gossip lost is caught up."""
        for peer_id in self.table.forget(self._now):
            self._rumours.drop(peer_id)
        live = self.table.ids(ALIVE)
        if live:
            self._post(self._random.choice(live), Join, self._open.join(), known=self._slice())
            self._exchange_gap = min(2 * self._exchange_gap, self.settings.exchange_s)
        self._exchange_at = self._now + self._exchange_gap * self._random.uniform(0.8, 1.2)

    def _retry(self) -> None:
        """Danger: after a cut both sides hold the other for failed; unless somebody tries, nobody ever asks again."""
        self._retry_at = self._now + self.settings.retry_s * self._random.uniform(0.8, 1.2)
        failed = [
            one
            for one in self.table.ids(FAILED)
            if name_of(one) != self._name and not any(other.live for other in self.table.others(one))
        ]
        living = {f"{one.peer.host}:{one.peer.port}" for one in self.table.records.values() if one.live}
        seed = self._seeds.astray(living)
        if seed is not None and (not failed or self._random.random() < 0.5):
            self._post(seed, Join, self._open.join(), seed=True)
        elif failed:
            peer_id = self._random.choice(failed)
            self._post(peer_id, Ping, self._open.draw(), to=peer_id)

    # --- What goes out.

    def _myself(self) -> Rumour:
        return Rumour(self.me, LEFT if self._left else ALIVE, self.incarnation)

    def _slice(self) -> list[Rumour]:
        """All that may be told, from anywhere on; no more than the pieces of one answer can take."""
        known = self.table.tellable(self._now)
        at = self._random.randrange(len(known)) if known else 0
        return [one.said() for one in (known[at:] + known[:at])[: 40 * self.settings.pieces]]

    def _first_words(self, to: str, behind: int) -> list[Rumour]:
        """What `to` must hear before all: that it is suspected or taken for dead, or was of a higher incarnation."""
        record = self.table.get(to)
        if self._left:
            return [self._myself()]
        if record is None:
            return []
        if (
            record.standing >= FAILED
            or record.incarnation > behind >= 0
            or record.standing is SUSPECT
            and self.settings.lifeguard
        ):
            return [record.rumour(), *(one.rumour() for one in self.table.others(to)[:2])]
        return []

    def _post(
        self,
        to: str,
        kind: type[Packet],
        number: int,
        /,
        seed: bool = False,
        behind: int = -1,
        known: list[Rumour] | None = None,
        **told: str,
    ) -> None:
        """One packet with first words, then rumours, then of `known` (used up) what fits; none to who is not known."""
        if not seed and self.table.get(to) is None:
            return
        packet = kind(self.me, self.incarnation, number, (), **told)
        first = self._first_words(to, behind)
        without = {one.peer.id for one in first} | ({to} if self.settings.lifeguard else set())
        packet = fill(packet, first, self._rumours, self.table.living + 1, without, known or [])
        self._out.append(Post(to, packet, seed))
