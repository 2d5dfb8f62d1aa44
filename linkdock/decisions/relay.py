"""The relay: events in, one dispatch pass, actions out. It keeps the list of hosts and who sleeps."""

from math import inf

from .. import interface as i
from ..interface import Effect, HostState, ListKind, Result
from .dispatch import Dispatch
from .model import ASK_FIRST, PROOF, Dest, Link, Msg, Route

ASK_MOST = 1 / 2  # and the most: by chance half to one and a half times, it stays inside the period
FORGET = 30.0  # seconds after which a link that is gone, with no call out, is forgotten
SLEEPS = 50  # destinations that fall asleep in one pass at the most
MOST_RESTS = 4096  # keys that rest before those whose rest is over are looked for


class Relay(Dispatch):
    """One relay's decisions; knows only its settings and its own events."""

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Take in a whole batch, then one dispatch pass; nothing else makes actions."""
        self.now, self.acts, self.due, self.born = now, [], inf, min(self.born, now)
        for event in events:  # `on_` and the name of its type; of other events nothing is made
            getattr(self, f"on_{type(event).__name__.lower()}", id)(event)
        self.ask()
        self.check_silence()
        self.reclaim()
        self.sweep()
        self.dispatch()
        self.close_idle()
        self.forget()
        if self.sleeper is not None:
            self.fall_asleep()
        self.due = min(self.due, self.sweep_at)
        if self.due < self.timer_at - self.s.tick / 2 and self.due < inf:
            self.timer, self.timer_at = self.timer + 1, max(self.due, now)
            self.acts.append(i.SetTimer(self.timer_at, self.timer))
        return self.acts

    def on_hosts(self, news: i.Hosts) -> None:
        """A host that drains or is gone gets nothing new from this batch on."""
        if news.how is not ListKind.CACHED and self.s.subscribe:
            failed = news.how is ListKind.FAILED
            pause = self.ask_pause * self.s.ask_within * self.random.uniform(0.5, 1.5)
            self.ask_at = self.now + pause if failed else inf
            self.ask_pause = min(ASK_MOST, self.ask_pause * 2) if failed else ASK_FIRST
        whole = news.how in (ListKind.FULL, ListKind.CACHED)
        entries = news.entries
        if self.sleeper is not None:
            entries = self.rows_awake() if whole else self.changes_awake(entries)
        for entry in entries:
            self.meet(entry)
        if whole:
            listed = {entry.host for entry in entries}
            for link in (k for k in self.links.values() if k.host not in listed):
                self.unlist(link)

        self.listed = self.listed or news.how is ListKind.FULL
        inherited, self.inherited = self.inherited, []
        for one in inherited:
            self.on_inherited(one)

    def on_inherited(self, one: i.Inherited) -> None:
        """What this process has seen by itself holds."""
        number = None if self.sleeper is None else self.sleeper.destination(one.host)
        if number is not None:
            self.awake(number)
        link = self.links.get(one.host)
        if link is None and not self.listed:
            self.inherited.append(one)
        if link is None or link.calls or max(link.last_ok, link.failed_at) > -inf:
            return
        route = link.route
        if one.limit and not route.limit:
            route.limit, route.part = one.limit, min(1.0, one.part)
        if one.ramp is not None:
            # Its return goes on where it was: neither a trial anew, nor what a warm one can take.
            link.down_at, link.fails, link.bad = None, 0, 0.0
            self.down.pop(link, None)
            link.ramp, link.since = one.ramp, one.since if one.since is not None else one.ramp
            link.tokens, link.tokens_at = 0.0, self.now

    def rows_awake(self) -> list[i.HostEntry]:
        """The listed rows of destinations that are awake by now, some through a message of this pass."""
        return [entry for number in self.dests for entry in self.sleeper.rows(number)]

    def changes_awake(self, entries: list[i.HostEntry]) -> list[i.HostEntry]:
        """Changes of destinations that are awake; of the others the list tells once they wake.

        The list does not tell that a host was out, nor that one of an awake destination has moved to another.
        """
        for entry in entries:
            idle, link = entry.destination not in self.dests, self.links.get(entry.host)
            if idle and link is not None:
                self.unlist(link)
            if idle and entry.out_since is not None:
                self.awake(entry.destination)
        return [entry for entry in entries if entry.destination in self.dests]

    def unlist(self, link: Link) -> None:
        """It gets no further call, and is forgotten in time."""
        link.ready = False
        self.gone.append((self.now + FORGET, link))

    def meet(self, entry: i.HostEntry) -> None:
        link = self.links.get(entry.host)
        if link is not None and (link.entry.destination, link.entry.kind) != (entry.destination, entry.kind):
            self.unlist(link)  # it serves others from now on
            link = None
        if link is None:
            dest = self.dests.setdefault(entry.destination, Dest())
            self.kinds.setdefault(entry.kind, [0.0, 0.0, 0.0])[0] += not dest.links
            route = Route() if self.kind(entry).apart or not dest.links else dest.links[0].route
            # The lot keeps relays with nothing to go by from all beginning at one link.
            link = self.links[entry.host] = Link(entry, route, self.lots.random())
            dest.links.append(link)
        link.entry, link.ready = entry, entry.state is HostState.READY
        if entry.out_since is not None and link.ready and link.down_at is None:
            self.suspect(link, entry.out_since)
        if entry.state is HostState.GONE:
            self.gone.append((self.now + FORGET, link))

    def forget(self) -> None:
        """Danger: a fleet whose hosts are replaced all day. What is gone, with no call out, goes here too."""
        while self.gone and self.gone[0][0] <= self.now:
            link = self.gone.popleft()[1]
            dest, listed = self.dests.get(link.entry.destination), self.links.get(link.host) is link
            drains = listed and link.entry.state is HostState.DRAINING
            if link.ready or drains or dest is None or link not in dest.links:
                continue
            if link.calls:
                self.gone.append((self.now + FORGET, link))
                continue
            self.leave(link)
            dest.links.remove(link)
            if not dest.links:
                self.kinds[link.entry.kind][0] -= 1
                if not dest.waiting and not dest.out:
                    del self.dests[link.entry.destination]
        if self.gone:
            self.due = min(self.due, self.gone[0][0])

    def leave(self, link: Link) -> None:
        if self.links.get(link.host) is link:  # and not a later one of that name
            del self.links[link.host]
        self.down.pop(link, None)

    def awake(self, number: int) -> Dest:
        asleep = self.sleeper is not None and number not in self.dests
        dest = self.dests[number] = self.dests.pop(number, None) or Dest()  # now the last in their order
        dest.used_at = self.now
        if asleep:
            for entry in self.sleeper.rows(number):
                self.meet(entry)
            self.sleeper.wake(self, number, dest)
        return dest

    def fall_asleep(self) -> None:
        for _ in range(SLEEPS):
            number, dest = next(iter(self.dests.items()), (None, None))
            at = dest.used_at + self.sleeper.after if dest else inf
            if at <= self.now and (dest.waiting or dest.out):
                self.awake(number)
            elif at <= self.now:
                self.sleeper.keep(dest.used_at, number, dest)
                for link in dest.links:
                    self.leave(link)
                del self.dests[number]
            else:
                self.due = min(self.due, at)
                return
        self.due = self.now + self.s.tick

    def ask(self) -> None:
        """Ask for changes of the list where it must be asked for, spread over the fleet, one at a time."""
        if self.ask_at is None:
            self.ask_at = self.now + self.random.uniform(0, ASK_MOST) * self.s.ask_within
        if self.ask_at <= self.now:
            self.acts.append(i.Subscribe(True))
            self.ask_at = self.now + 1.5 * ASK_MOST * self.s.ask_within  # its reply may never come
        self.due = min(self.due, self.ask_at)

    def on_timerdue(self, event: i.TimerDue) -> None:
        self.timer_at = inf if event.token == self.timer else self.timer_at

    def on_message(self, e: i.Message) -> None:
        over = 1.0
        if e.tenant < len(self.quota):
            bucket, rate = self.quota[e.tenant], self.s.tenant_quota[e.tenant] / self.s.relays
            bucket[:] = min(max(rate, 2.0), bucket[0] + (self.now - bucket[1]) * rate), self.now
            over = 1.0 if bucket[0] >= 1 else self.s.over_share_worth
            bucket[0] -= bucket[0] >= 1
        m = self.msgs[e.id] = Msg(e, self.s.classes[e.cls], self.now, over)
        dest = self.awake(m.dest)
        self.wait(m, dest)
        dest.came += 1
        for link in dest.links[:1]:
            self.kinds[link.entry.kind][1] += 1
        if m.key:
            self.enqueue(m)
        self.sweep_at = min(self.sweep_at, self.give_up_at(m, self.usual_call(m)))

    def on_outcome(self, o: i.Outcome) -> None:
        m, call = self.calls.pop((o.id, o.attempt), (None, None))
        if m is None:
            return
        link, m.call, m.tries = call.link, None, m.tries + o.tried
        if o.wait > 0:  # each outcome of a shared call may tell one, and may come a batch later
            link.route.wait_until = max(link.route.wait_until, self.now + o.wait + self.s.tick)
        del call.msgs[m.id]
        if not call.msgs:
            link.calls.remove(call)
            if not link.calls:
                del self.out[link]
            self.busy -= 1
            self.awake(m.dest).out -= 1
        if o.result not in call.seen:  # ten outcomes of one call are one piece of evidence
            call.seen.append(o.result)
            self.learn(link, m, call, o)
        if not call.msgs:
            self.trial_ended(link, call.sent)
        self.touched[link.host] = link
        if m.key and o.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED):
            self.rest[m.key] = self.now + self.s.order_rest
            if len(self.rest) > MOST_RESTS:
                self.rest = {key: at for key, at in self.rest.items() if at > self.now}
        if o.result not in PROOF and o.result is not Result.OK:
            m.doubt = call.sent if m.doubt is None else min(m.doubt, call.sent)
            m.doubt_zone = link.entry.zone
        if m.done:
            self.release(m)
        elif o.result is Result.OK or o.finished:
            self.end(m)
        else:
            spent = m.tries >= self.s.max_attempts or self.give_up_at(m, self.usual_call(m)) <= self.now
            if spent or m.doubt is not None and m.rules.effect is Effect.UNSAFE:
                self.give_up(m)
            else:
                self.wait(m, self.dests[m.dest])
                self.sweep_at = min(self.sweep_at, self.give_up_at(m, self.usual_call(m)))
