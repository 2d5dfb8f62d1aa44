"""Days of drawn events: lawful and without sense, so that what the laboratories seldom cause happens too. No I/O."""

from __future__ import annotations

from random import Random

from .. import Relay
from .. import interface as i
from ..dormancy.sleeper import Sleeper
from ..facade import Server
from ..state.roster import Roster

STEPS = 500  # batches of a day
AWAKE = 15.0  # seconds without work after which destinations sleep, on every third day
R = i.Result


def settings(draw: Random) -> i.Settings:
    """All that a relay may be told, most of it by chance."""
    some, maybe = draw.choice, lambda share: draw.random() < share
    classes = [
        i.MessageClass(i.Effect.SAFE, 1.0, 8.0, late_share=0.3),
        i.MessageClass(i.Effect.KEYED, 1.0, 12.0, 2.0, 0.3, True, 5.0),
        i.MessageClass(i.Effect.KEYED, 2.0, 12.0, 2.0, 0.3, False, 5.0, "zone"),
        i.MessageClass(i.Effect.UNSAFE, 1.0, 16.0, 2.0, 0.3, True),
    ]
    return i.Settings(
        classes,
        [i.DestinationKind(), i.DestinationKind(apart=True), i.DestinationKind(batch=5)],
        slots=some([2, 6, 30]),
        max_open=some([12, 200]),
        max_attempts=some([3, 8]),
        relays=some([1, 3, 300]),
        idle_close=some([1.0, 10.0]),
        max_retry_after=3.0,
        retry_after=maybe(0.7),
        cancel=maybe(0.7),
        probes=maybe(0.7),
        subscribe=maybe(0.5),
        halves=maybe(0.5),
        rough_weights=maybe(0.5),
        told_weights=maybe(0.5),
        tenant_quota=[6.0, 0.5],
        over_share_worth=0.3,
        zone_fee=[0.0, 0.2, 0.5],
        handshake_price=some([0.0, 0.1]),
        fall_multiple=some([1.5, 2.0]),
        tip_after=some([0.5, 2.0]),
        cold_share=0.2,
        cold_time=5.0,
        order_rest=0.3,
    )


class Driver:
    """Knows its relay's hosts, calls out and bell; each host is in a mood that lasts a while, or answers anyhow."""

    def __init__(self, seed: int) -> None:
        """Draw settings, a list and a fault for one day from `seed`."""
        self.draw = Random(seed)
        told, roster = settings(self.draw), Roster()
        rows = [
            Server(f"h{n}", ("10.0.0.1", 1), n % 5, "ready", n % 5 % 3, n % 3, self.draw.choice([0.0, 2.0, 20.0]))
            for n in range(14)
        ]
        for row in rows:
            roster.put(row)
        self.listed = [i.HostEntry(s.name, s.destination, i.HostState.READY, s.kind, s.zone, s.share) for s in rows]
        self.sleeper = Sleeper(lambda: roster, len(told.classes), AWAKE, 100) if seed % 3 == 0 else None
        self.relay, self.now, self.bell = Relay(told, seed, self.sleeper), 100.0, None
        self.batch: list[i.Event] = [] if self.sleeper else [i.Hosts(i.ListKind.CACHED, self.listed)]
        self.out: dict[tuple[int, int], tuple[float, str, float, R]] = {}  # until when, where, since when, then what
        self.attempts: dict[int, int] = {}
        self.moods: dict[i.Host, R | None] = {}
        self.probes: list[i.Host] = []

    def run(self) -> None:
        """Play all steps of the day."""
        draw = self.draw
        for _ in range(STEPS):
            acts, self.batch = self.relay.handle(self.now, self.batch), []
            for action in acts:
                self._carry_out(action)
            self.now += draw.uniform(5.0, 40.0) if draw.random() < 0.01 else draw.expovariate(draw.choice([5.0, 40.0]))
            if self.bell is not None and self.bell.at <= self.now:
                self.batch.append(i.TimerDue(self.bell.token))
                self.bell = None
            for key in [key for key, (until, _, _, _) in self.out.items() if until <= self.now]:
                self._end(key, self.out[key][3])
            for _ in range(draw.randrange(5)):
                self._happen(draw.random())

    def _carry_out(self, action: i.Action) -> None:
        match action:
            case i.Send(number, host, limit):
                self.out[number, self.attempts[number]] = self.now + (limit or 5.0), host, self.now, R.TIMEOUT
                self.attempts[number] += 1
            case i.Cancel(number, attempt) if (number, attempt) in self.out and self.draw.random() < 0.8:
                _, host, sent, _ = self.out[number, attempt]
                self.out[number, attempt] = self.now, host, sent, R.CANCELLED
            case i.SetTimer():
                self.bell = action
            case i.Probe(host):
                self.probes.append(host)

    def _end(self, key: tuple[int, int], result: R) -> None:
        some = self.draw.choice
        _, host, sent, _ = self.out.pop(key)
        wait = some([0.0, 0.1, 0.5, 9.0]) if result is R.FULL else 0.0
        report = i.Report(some([0.0, 0.02, 0.5, 0.9]), some([0.0, 4.0, 30.0])) if self.draw.random() < 0.3 else None
        self.batch.append(i.Outcome(*key, host, result, self.now - sent, result is R.OK, wait, report))

    def _happen(self, what: float) -> None:
        some, draw = self.draw.choice, self.draw
        if what < 0.4:
            number, spent = len(self.attempts) + 1, some([0, 0, 0, 0, 1])
            self.attempts[number] = spent
            self.batch.append(
                i.Message(
                    number,
                    draw.randrange(4),
                    draw.randrange(5),
                    draw.uniform(0.3, 10.0),
                    draw.randrange(3),
                    draw.randrange(4),
                    what < 0.04,
                    what > 0.36,
                    spent,
                )
            )
        elif what < 0.85 and self.out:
            key = some(sorted(self.out))
            self._end(key, self.moods.get(self.out[key][1]) or some([R.OK] * 12 + list(R)))
        elif what < 0.9:
            self.moods[some(self.listed).host] = some(
                [None, None, R.OK, R.FULL, R.TIMEOUT, R.ERROR, R.CONNECT_FAILED, R.RESET]
            )
        elif what < 0.92:
            how = some(list(i.ListKind)) if draw.random() < 0.3 else i.ListKind.DELTA
            states, since = [*i.HostState, i.HostState.READY], [None, None, self.now - 3.0]
            entries = [
                i.HostEntry(e.host, e.destination, some(states), e.kind, e.zone, e.weight, 0.0, some(since))
                for e in draw.sample(self.listed, 4)
            ]
            self.batch.append(
                i.Hosts(how, [e for e in entries if self.sleeper is None or e.destination in self.relay.dests])
            )
        elif what < 0.94:
            self.batch.append(i.Withdrawn(draw.randrange(max(1, len(self.attempts) - 20), len(self.attempts) + 2)))
        elif what < 0.96 and self.probes:
            self.batch.append(i.Probed(self.probes.pop(), some([R.OK, R.OK, R.TIMEOUT]), 0.1))
        elif what < 0.97:
            self.batch.append(some([i.Started(1, 0, "h1", 0.1), i.PeerMessage(1, b""), i.TimerDue(-1)]))
