"""What the manager's tests share: a wire on a clock of its own that carries out what the manager orders."""

from linkdock.connections import FRESH
from linkdock.connections.choice import Choice, ConnectionsSettings
from linkdock.connections.manager import ROUND, Close, ConnectionManager, Fail, Open, Ticket, Use


class Line:
    def __init__(self, server, kind, peer):
        self.server, self.kind, self.peer = server, kind, peer
        self.age, self.idle_since, self.uses, self.closed = FRESH, 0.0, 0, False


class Wire:
    """Carries out what the manager orders: handshakes take `handshake`, calls are ended by the test."""

    def __init__(self, most=100, idle_for=4.25, cold_share=1.0, cold_time=0.0, handshake=0.1, **settings):
        told = ConnectionsSettings(on=True, **settings)
        self.manager = ConnectionManager(told, Choice(told), most, idle_for, 1.5, cold_share, cold_time)
        self.now, self.handshake, self.opening = 0.0, handshake, []
        self.used, self.failed, self.opened, self.blocked, self.refusing = [], [], 0, {}, set()

    def ask(self, server="s", careful=False, peer=("h", 1)):
        ticket = Ticket(server, 0, peer, careful)
        self.do(self.manager.ask(self.now, ticket))
        return ticket

    def do(self, actions):
        for action in actions:
            match action:
                case Use():
                    self.used.append(action)
                case Open(server, kind, peer):
                    self.opened += 1
                    self.opening.append((self.now + self.handshake, Line(server, kind, peer)))
                case Close(line):
                    assert not line.closed
                    line.closed = True
                case Fail():
                    self.failed.append(action)

    def to(self, when):
        """Go on: handshakes end, and a round is run now and then."""
        while self.now < when:
            self.now = min(when, self.now + ROUND / 4)
            due, self.opening = (
                [o for o in self.opening if o[0] <= self.now],
                [o for o in self.opening if o[0] > self.now],
            )
            for _, line in due:
                if line.server in self.refusing:
                    self.do(self.manager.failed(self.now, line.server, line.peer))
                else:
                    self.do(self.manager.ready(self.now, line, self.handshake))
            if round(self.now / ROUND * 4) % 4 == 0:
                self.do(self.manager.round(self.now, self.blocked.get))

    def given(self, ticket):
        return next((u.connection for u in self.used if u.ticket is ticket), None)

    def got(self, ticket):
        """The connection that it is given, however long that takes."""
        while self.given(ticket) is None:
            self.to(self.now + ROUND / 4)
        return self.given(ticket)

    def done(self, line, seconds=0.2):
        self.manager.answered(self.now, line, seconds)
        self.do(self.manager.give_back(self.now, line))

    def broke(self, line):
        self.manager.reset(self.now, line)
        self.do(self.manager.ended(self.now, line))

    def call(self, gap, life=9.9, careful=False, took=0.2):
        """One call after a pause, against a server that drops what is idle for longer: whether it was stale."""
        self.to(self.now + gap)
        ticket = self.ask(careful=careful)
        line = self.got(ticket)
        if line.age > life:
            self.broke(line)
            return True
        self.to(self.now + took)
        self.done(line, took)
        return False


def surge(wire, calls, server="s", took=0.2, within=0.5):
    """So many calls in so long, each of which takes `took`; what was the most that was opened at once."""
    pending, running, most, since = calls, [], 0, wire.now
    tickets, began = [], {}
    while pending or len(wire.used) + len(wire.failed) < len(tickets) or running:
        while pending and (calls - pending) / calls * within <= wire.now - since:
            tickets.append(wire.ask(server))
            pending -= 1
        for use in wire.used:
            if use.ticket in tickets and use.ticket not in began:
                began[use.ticket] = wire.now
                running.append((wire.now + took, use.connection))
        for end, line in [r for r in running if r[0] <= wire.now]:
            running.remove((end, line))
            wire.done(line, took)
        most = max(most, sum(line.server == server for _, line in wire.opening))
        wire.to(wire.now + ROUND / 4)
    return most, tickets
