"""Leases with fencing tokens and a small register: the state that the log is applied to, and who counts time when.

Granted, renewed and ended by entries alone. The token is the index of the granting entry. The holder believes its lease
from before it asked, the drift of the clocks taken off; the leader ends it the drift added after it applied the last
renewal (Gray and Cheriton 1989; the token after Kleppmann 2016). Danger: what believes longer than what ends it.
"""

from __future__ import annotations

import msgspec

from .interface import MOST_ENTRY

MOST_NAME = 200  # bytes of a lease's name, a key, or who asks
MOST_LEASES = 4096
MOST_KEYS = 4096
MOST_VALUE = 16 << 10  # bytes of one value of the register
MOST_REGISTER = 2 << 20  # bytes of all its keys and values
MOST_ASKING = 512  # proposers whose answers are kept; those silent the longest go first
MOST_ANSWERS = 32  # kept of each: it may ask no number so far beyond one that is open
LEAST_TTL, MOST_TTL = 0.1, 3600.0  # seconds
AGAIN = 1.0  # seconds until an Expire is proposed once more that nothing has come of
OLD = "this request is older than the answers that are kept; it was not carried out now"

_BAD = (msgspec.MsgspecError, ValueError, RecursionError)


# --- Commands. Danger: a field more or less must not be read in two ways by two processes; so none is let pass.


class Acquire(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag="acquire"):
    name: str
    holder: str
    ttl_ms: int


class Renew(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag="renew"):
    name: str
    holder: str
    token: int


class Release(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag="release"):
    name: str
    holder: str
    token: int


class Expire(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag="expire"):
    """By the leader. `renewed`: the index of the grant or renewal whose time is over; a later one outlives this."""

    name: str
    token: int
    renewed: int


class Put(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag="put"):
    """`expected`: the index of the key's last writing, 0 for no key, None whatever there is."""

    key: str
    value: bytes
    expected: int | None = None


class Delete(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag="delete"):
    key: str
    expected: int | None = None


Command = Acquire | Renew | Release | Expire | Put | Delete


class Asked(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A command and its request: `who` is one run of one process, `number` rises within it. "" is never remembered."""

    who: str
    number: int
    command: Command


# --- Answers.


class Granted(msgspec.Struct, frozen=True, array_like=True, tag="granted"):
    token: int
    ttl_ms: int


class Taken(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """Another holds it."""

    holder: str
    token: int


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """Renewed, released, ended, written or deleted by the entry `index`."""

    index: int


class Lost(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """The lease is not, or no longer, this holder's with this token; or it has been renewed since."""


class Conflict(msgspec.Struct, frozen=True, array_like=True, tag="conflict"):
    """The key was last written by `index` (0: there is none), not by what was expected."""

    index: int


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Bad data or a bound; nothing was changed."""

    why: str


Answer = Granted | Taken | Done | Lost | Conflict | Refused


class Lease(msgspec.Struct, frozen=True, array_like=True):
    holder: str
    token: int
    ttl_ms: int
    renewed: int  # index of the grant or of the last renewal


class Value(msgspec.Struct, frozen=True, array_like=True):
    index: int
    data: bytes


class Answers(msgspec.Struct, array_like=True):
    """Of one proposer: by number, and the highest number whose answer is gone."""

    floor: int = 0
    kept: dict[int, Answer] = {}


class _Image(msgspec.Struct, array_like=True):
    leases: dict[str, Lease]
    register: dict[str, Value]
    asking: dict[str, Answers]


_asked = msgspec.msgpack.Decoder(Asked)
_image = msgspec.msgpack.Decoder(_Image)
_answer = msgspec.msgpack.Decoder(Answer)
encode = msgspec.msgpack.Encoder().encode


def request(who: str, number: int, command: Command) -> bytes:
    """An entry's data. Same `who` and `number`: same answer, carried out once."""
    return encode(Asked(who, number, command))


def read_request(data: bytes) -> Asked | None:
    try:
        return _asked.decode(data)
    except _BAD:
        return None


def read_answer(data: bytes) -> Answer:
    """Raises ValueError for what no process of the fleet sends."""
    try:
        return _answer.decode(data)
    except _BAD as bad:
        raise ValueError(str(bad)) from None


def _named(name: str) -> bool:
    return 0 < len(name.encode()) <= MOST_NAME


class State:
    """`interface.State`: leases by name and a register by key. Nothing in it comes from elsewhere."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.register: dict[str, Value] = {}
        self._asking: dict[str, Answers] = {}  # the one that asked last stands last
        self._bytes = 0

    def apply(self, index: int, data: bytes) -> Answer:
        asked = read_request(data) if len(data) <= MOST_ENTRY else None
        if asked is None:
            return Refused("this is no command")
        if not asked.who:
            return self._carry_out(index, asked.command)
        if not _named(asked.who):
            return Refused(f"who asks must have 1 to {MOST_NAME} bytes")
        answers = self._asking.pop(asked.who, None) or Answers(0, {})
        self._asking[asked.who] = answers
        if len(self._asking) > MOST_ASKING:
            del self._asking[next(iter(self._asking))]
        given = answers.kept.get(asked.number)
        if given is not None:
            return given
        if asked.number <= answers.floor:
            return Refused(OLD)
        given = answers.kept[asked.number] = self._carry_out(index, asked.command)
        if len(answers.kept) > MOST_ANSWERS:
            answers.floor = max(answers.floor, min(answers.kept))
            del answers.kept[min(answers.kept)]
        return given

    def _carry_out(self, index: int, command: Command) -> Answer:
        match command:
            case Acquire():
                return self._acquire(index, command)
            case Renew() | Release():
                return self._hold(index, command)
            case Expire(name, token, renewed):
                lease = self.leases.get(name)
                if lease is None or lease.token != token or lease.renewed != renewed:
                    return Lost()
                del self.leases[name]
                return Done(index)
            case Put():
                return self._put(index, command)
            case Delete(key, expected):
                old = self.register.get(key)
                at = 0 if old is None else old.index
                if old is None or expected not in (None, at):
                    return Conflict(at)
                del self.register[key]
                self._bytes -= len(key.encode()) + len(old.data)
                return Done(index)

    def _acquire(self, index: int, command: Acquire) -> Answer:
        if not _named(command.name) or not _named(command.holder):
            return Refused(f"a lease's name and its holder must have 1 to {MOST_NAME} bytes")
        if not LEAST_TTL * 1000 <= command.ttl_ms <= MOST_TTL * 1000:
            return Refused(f"a lease lasts {LEAST_TTL:g} to {MOST_TTL:g} s")
        lease = self.leases.get(command.name)
        if lease is not None and lease.holder != command.holder:
            return Taken(lease.holder, lease.token)
        if lease is None and len(self.leases) >= MOST_LEASES:
            return Refused(f"there are {MOST_LEASES} leases")
        # Danger: a holder that asks anew has lost what it knew. Its old token must not stay good beside the new one.
        self.leases[command.name] = Lease(command.holder, index, command.ttl_ms, index)
        return Granted(index, command.ttl_ms)

    def _hold(self, index: int, command: Renew | Release) -> Answer:
        lease = self.leases.get(command.name)
        if lease is None or (lease.holder, lease.token) != (command.holder, command.token):
            return Lost()
        if isinstance(command, Release):
            del self.leases[command.name]
        else:
            self.leases[command.name] = Lease(lease.holder, lease.token, lease.ttl_ms, index)
        return Done(index)

    def _put(self, index: int, command: Put) -> Answer:
        if not _named(command.key) or len(command.value) > MOST_VALUE:
            return Refused(f"a key has 1 to {MOST_NAME} bytes, a value {MOST_VALUE} at the most")
        old = self.register.get(command.key)
        at = 0 if old is None else old.index
        if command.expected not in (None, at):
            return Conflict(at)
        size = len(command.value) + len(command.key.encode())
        grows = size if old is None else len(command.value) - len(old.data)
        if old is None and len(self.register) >= MOST_KEYS or self._bytes + grows > MOST_REGISTER:
            return Refused(f"the register holds {MOST_KEYS} keys and {MOST_REGISTER} bytes at the most")
        self.register[command.key] = Value(index, command.value)
        self._bytes += grows
        return Done(index)

    def image(self) -> bytes:
        return encode(_Image(self.leases, self.register, self._asking))

    def restore(self, data: bytes) -> None:
        """Raises ValueError, and changes nothing, for bytes that `image` cannot have made."""
        try:
            told = _image.decode(data) if data else _Image({}, {}, {})
        except _BAD as bad:
            raise ValueError(f"no image of leases: {bad}") from None
        self.leases, self.register, self._asking = told.leases, told.register, told.asking
        self._bytes = sum(len(key.encode()) + len(value.data) for key, value in told.register.items())


class LeaseClock:
    """The leader's side: when a lease has ended for everybody. Nothing is due while it does not lead."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self._due: dict[str, tuple[float, Lease]] = {}

    def lead(self, now: float, leases: dict[str, Lease]) -> None:
        """From the moment that this process leads: each lease has its whole time anew. It knows no older leader's."""
        self._due = {name: (self._over(now, lease), lease) for name, lease in leases.items()}

    def quit(self) -> None:
        self._due = {}

    def _over(self, now: float, lease: Lease) -> float:
        return now + lease.ttl_ms / 1000 * (1 + self._drift)

    def applied(self, now: float, name: str, lease: Lease | None) -> None:
        """An entry about this lease was applied just now; `lease` is what came of it. Only while leading."""
        known = self._due.get(name)
        if lease is None:
            self._due.pop(name, None)
        elif known is None or known[1] != lease:
            self._due[name] = self._over(now, lease), lease

    def expire(self, now: float) -> list[Expire]:
        """What to propose now; again after a second if nothing comes of it."""
        over = [(name, lease) for name, (due, lease) in self._due.items() if due <= now]
        for name, lease in over:
            self._due[name] = now + AGAIN, lease
        return [Expire(name, lease.token, lease.renewed) for name, lease in over]

    def next_due(self) -> float:
        return min((due for due, _ in self._due.values()), default=float("inf"))


class Held:
    """The holder's side of one lease, by its own monotonic clock; no I/O.

    `asked_at` is when the request was first made, not when it was answered: the leader may have counted from then on.
    """

    def __init__(self, name: str, token: int, ttl: float, asked_at: float, drift: float) -> None:
        self.name, self.token, self.ttl, self._drift = name, token, ttl, drift
        self.until = self.renew_at = 0.0
        self.lost = False
        self.renewed(asked_at)

    def renewed(self, asked_at: float) -> None:
        until = asked_at + self.ttl * (1 - self._drift)
        if until > self.until:  # an answer that came late must not take back what a later one gave
            self.until, self.renew_at = until, asked_at + self.ttl / 3

    def holds(self, now: float) -> bool:
        """Whether it may be believed. What is done under it carries `token` all the same: see `fence.py`."""
        return not self.lost and now < self.until
