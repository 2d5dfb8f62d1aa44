"""Choice and dispatch: what each message is worth, which goes next and where, and how it ends unsent."""

import heapq
from bisect import insort
from math import inf

from ..interface import Cancel, CloseIdle, Effect, Fail, KeyHeld, Refuse, Send, Settled, Withdrawn
from .health import Health
from .model import Call, Dest, Elsewhere, Link, Msg
from .pace import FLOOR

ROOM = 0.95  # part of the message store from which the least worth is refused
EARLY = 0.3  # part of its time that is left of a message until whose end would be early
SHARE = 0.5  # of the slots for one destination while others wait (DESIGN)
SHARE_ALONE = 0.75  # and while none waits: a newcomer must still find a slot
SHARED = 0.25  # of a call, that each further message in it may weigh on a cold partner
KEEP = 8.0  # an idle connection stays for a next call expected within so many usual calls


class Dispatch(Health):  # the messages that wait, and the calls made of them
    def worth(self, m: Msg, at: float) -> float:
        """What the message still earns if it is delivered then."""
        c, age = m.rules, min(at - m.start, m.rules.deadline)  # a client may tell a time beyond it
        if at >= m.deadline or c.effect is Effect.KEYED and m.doubt is not None and at > m.doubt + c.window:
            return 0.0
        if age <= c.aim:
            return m.worth
        if self.s.halves:
            return m.worth * max(c.late_share, 0.5 ** (age / c.aim - 1))
        return m.worth * (1 - (1 - c.late_share) * (age - c.aim) / (c.deadline - c.aim))

    def wait(self, m: Msg, dest: Dest) -> None:
        dest.waiting[m.id] = m
        self.hot[m.dest] = dest

    def waiting(self) -> list[Msg]:
        return [m for dest in self.hot.values() for m in dest.waiting.values()]

    def unwait(self, m: Msg, dest: Dest) -> None:
        if dest.waiting.pop(m.id, None) is not None and not dest.waiting:
            del self.hot[m.dest]

    def usual_call(self, m: Msg) -> float:
        times = (self.call_time(k.route, m.cls) for k in self.dests[m.dest].links if k.ready)
        return min(times, default=self.usual[m.cls].x)

    def give_up_at(self, m: Msg, usual: float) -> float:
        """The last moment at which a usual call still fits, or the window of a keyed message closes."""
        at = m.deadline - max(usual, 2 * self.s.tick)
        bound = m.doubt is not None and m.rules.effect is Effect.KEYED
        return min(at, m.doubt + m.rules.window - 2 * self.s.tick) if bound else at

    def sweep(self) -> None:
        """Answer what can no longer make it, at once; a full store gives up what is worth least."""
        if self.now >= self.sweep_at:
            self.sweep_at = inf
            usual: dict[tuple[int, int], float] = {}  # one for all of a class and destination
            for m in self.waiting():
                if (kind := (m.dest, m.cls)) not in usual:
                    usual[kind] = self.usual_call(m)
                if (at := self.give_up_at(m, usual[kind])) <= self.now:
                    self.give_up(m)
                else:
                    self.sweep_at = min(self.sweep_at, at)
        excess = len(self.msgs) - max(1, int(ROOM * self.s.max_open))
        if excess > 0:
            at = {number: self.now + self.wait_for(dest) for number, dest in self.hot.items()}
            spare = [m for m in self.waiting() if self.refusable(m) and not self.trusted(m)]
            for m in heapq.nsmallest(excess, spare, key=lambda m: (self.worth(m, at[m.dest]), -m.id)):
                self.give_up(m)

    def trusted(self, m: Msg) -> bool:
        """A restart found it untried: no newcomer and no smaller store ends it with much time left."""
        return m.orphaned and m.attempts == m.before and m.deadline - self.now > EARLY * m.rules.deadline

    def refusable(self, m: Msg) -> bool:
        """A refusal says that trying again is harmless."""
        everywhere = m.rules.effect is Effect.KEYED and m.rules.group == "all"
        return m.rules.effect is Effect.SAFE or everywhere or m.doubt is None and not m.call

    def give_up(self, m: Msg) -> None:
        told = min(self.s.max_retry_after, self.wait_for(self.dests[m.dest])) if self.s.retry_after else 0.0
        self.acts.append(Refuse(m.id, told) if self.refusable(m) else Fail(m.id))
        self.end(m)

    def end(self, m: Msg) -> None:
        """Over; calls still out are called off and keep the key until they end."""
        m.done = True
        self.msgs.pop(m.id, None)
        self.unwait(m, self.dests[m.dest])
        if m.call and self.s.cancel and not m.call.cancelled:
            self.acts.append(Cancel(m.id, m.attempts - 1))
        self.release(m)

    def enqueue(self, m: Msg | Elsewhere) -> None:
        """The one place where a message joins its key's queue."""
        insort(self.keys.setdefault(m.key, []), m, key=lambda one: one.taken_at)
        if m.taken_at > 0:
            self.unsettled[m.id] = m

    def release(self, m: Msg | Elsewhere) -> None:
        """The one place where a key passes on: the message is over, confirmed, and no call of it is out."""
        queue = self.keys.get(m.key) if m.key else None
        if queue and m.done and not m.call and m.id not in self.unsettled:
            queue.remove(m)
            if not queue:
                del self.keys[m.key]

    def on_keyheld(self, held: KeyHeld) -> None:
        self.enqueue(Elsewhere(held))

    def on_settled(self, e: Settled) -> None:
        if (m := self.unsettled.pop(e.id, None)) is not None:
            self.release(m)

    def on_withdrawn(self, e: Withdrawn) -> None:
        if e.id in self.msgs:
            self.end(self.msgs[e.id])

    def turn(self, m: Msg) -> bool:
        """Whether the message's key lets it go now."""
        if not m.key:
            return True
        rest = self.rest.get(m.key, -inf) if m.attempts == m.before else -inf
        self.due = min(self.due, rest if rest > self.now else inf)
        queue = self.keys[m.key]
        return queue[0] is m and rest <= self.now and not any(one.call for one in queue)

    def fits(self, m: Msg, link: Link) -> bool:
        """The rules of the message against one link."""
        bound = m.doubt is not None and m.rules.effect is Effect.KEYED and m.rules.group == "zone"
        return not bound or link.entry.zone == m.doubt_zone

    def candidate(self, dest: Dest, share: float) -> tuple[float, Msg, Link] | None:
        """The message of one destination that loses most by waiting behind its peers, and its link."""
        opens = [(self.open_at(k), k) for k in dest.links if k.ready]
        open_links = [k for at, k in opens if at <= self.now]
        self.due = min([self.due, *(at for at, _ in opens if at > self.now)])
        if not open_links or dest.out >= max(1, int(self.s.slots * (share * (1 - dest.lost)))):
            return None
        open_links.sort(key=self.preference)
        behind = min(max(self.wait_for(dest), 0.2), 10.0)
        best, best_rank = None, -inf
        for m in dest.waiting.values():
            link = next((k for k in open_links if self.fits(m, k)), None) if self.turn(m) else None
            if link:
                rank = self.rank(m, link, behind)
                if rank > best_rank:
                    best, best_rank = (rank, m, link), rank
        return best

    def rank(self, m: Msg, link: Link, behind: float) -> float:
        """What the message loses, for each second of its call, by waiting so long behind its peers."""
        took = self.call_time(link.route, m.cls)
        bold = m.rules.effect is Effect.SAFE or m.doubt is not None
        later = 0.9 * self.worth(m, self.now + took + behind)
        soon = (1 - link.bad) * self.worth(m, self.now + took) + (link.bad * later if bold else 0.0)
        return (soon - later) / took + (1000 if bold and link.down_at is not None else 0)

    def company(self, m: Msg, link: Link, dest: Dest) -> list[Msg]:
        """The message and those that share its call, where the kind allows; a trial goes alone."""
        most = self.kind(link.entry).batch if link.down_at is None else 1
        behind = min(max(self.wait_for(dest), 0.2), 10.0)
        others = (o for o in dest.waiting.values() if o is not m and self.fits(o, link) and self.turn(o))
        return [m, *heapq.nlargest(most - 1, others, key=lambda o: self.rank(o, link, behind))]

    def preference(self, link: Link) -> tuple:
        while link.idle and link.idle[0] <= self.now:
            link.idle.popleft()
        fees, zone = self.s.zone_fee, link.entry.zone
        price = fees[zone] if self.kind(link.entry).apart and zone < len(fees) else 0.0  # only these pay it
        price += 0.0 if link.idle else self.s.handshake_price
        load = (len(link.calls) + 1) / max(link.entry.weight, 0.1)
        return link.down_at is not None, link.fails or link.away, price, link.tried_at, load, link.lot

    def dispatch(self) -> None:
        """Fill the free slots with what earns most, no destination beyond its share."""
        self.send_probes()
        free, waiting = self.s.slots - self.busy, list(self.hot)
        share = SHARE if len(waiting) > 1 else SHARE_ALONE
        best = {n: found for n in waiting if free > 0 and (found := self.candidate(self.dests[n], share))}
        while free > 0 and best:
            n = max(best, key=lambda k: best[k][0])
            (_, m, link), dest = best.pop(n), self.dests[n]
            self.send(m, link, dest)
            free -= 1
            if dest.waiting and (found := self.candidate(dest, share)):
                best[n] = found

    def send(self, m: Msg, link: Link, dest: Dest) -> None:
        company, call = self.company(m, link, dest), Call(link, self.now)
        for one in company:
            self.acts.append(Send(one.id, link.host, self.timeout(link, one)))
            self.calls[one.id, one.attempts] = one, call
            call.msgs[one.id], one.call = one, call
            one.attempts += 1
            self.unwait(one, dest)
        if link.down_at is not None:
            link.tried_at = link.route.trial_sent = self.now
            link.route.trials += 1
            self.next_trial(link, FLOOR * self.estimate(link.route, m.cls).p95())
        link.route.tokens -= 1
        link.tokens -= 1 + SHARED * (len(company) - 1)
        if link.idle:
            link.idle.pop()
        link.calls.append(call)
        self.out[link] = None
        self.busy, dest.out = self.busy + 1, dest.out + 1

    def close_idle(self) -> None:
        """Close connections that this relay will hardly use soon: an endpoint takes few."""
        for link in self.touched.values():
            peers = sum(k.ready for k in self.dests[link.entry.destination].links)
            gap = peers * self.s.relays / self.rate(link)
            if link.idle and link.entry.kind in self.capped and gap > KEEP * min(e.x for e in self.usual):
                link.idle.clear()
                self.acts.append(CloseIdle(link.host))
        self.touched.clear()
