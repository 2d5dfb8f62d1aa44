"""Frames (TCP) and datagrams (UDP) between processes of one fleet, each with a keyed digest. No I/O.

    frame       4 bytes of length, 16 of digest, MessagePack of [cluster, sender, receiver, counter, message]
    datagram    16 bytes of digest, MessagePack of [cluster, packet]

A connection begins with a Hello from each side, which draws a nonce. All that follows is signed under a key made from
the fleet's key, both nonces and the direction, with a counter: what was recorded cannot be played again. The key proves
the fleet and nothing more; what is said can be read on the way, and a process that has the key is believed.
"""

from __future__ import annotations

import hashlib
import hmac
import os
from collections.abc import Callable

import msgspec

from .errors import Foreign
from .interface import MOST_DATAGRAM, MOST_FRAME, AnyMessage, AnyPacket

LENGTH = 4
DIGEST = 16
NONCE = 16
MOST_HELLO = 1024  # bytes of a frame before the other side has shown that it has the key
MOST_ID = 200  # bytes of a process's id
_BAD = (msgspec.MsgspecError, ValueError, RecursionError)


class Keep(msgspec.Struct, frozen=True, array_like=True, tag_field="kind", tag="keep"):
    """The link is in use; the accepting side sends one back for each."""


class Forward(msgspec.Struct, frozen=True, array_like=True, tag_field="kind", tag="fwd"):
    """A request for the leader: `data` is an `Asked`; answered by Answered with the same `number`."""

    number: int
    data: bytes


class Answered(msgspec.Struct, frozen=True, array_like=True, tag_field="kind", tag="ans"):
    """To one run of a process: the state's answer to its request."""

    who: str
    number: int
    data: bytes


class AskFresh(msgspec.Struct, frozen=True, array_like=True, tag_field="kind", tag="fresh?"):
    """Before the log is founded: does your folder hold one?"""


class Fresh(msgspec.Struct, frozen=True, array_like=True, tag_field="kind", tag="fresh"):
    fresh: bool


AnyFrame = AnyMessage | Keep | Forward | Answered | AskFresh | Fresh


class Hello(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The first frame of each side; the accepting side repeats the nonce it was sent."""

    cluster: bytes
    sender: str
    receiver: str
    nonce: bytes
    echo: bytes = b""


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    cluster: bytes
    sender: str
    receiver: str
    counter: int
    message: AnyFrame


class _Datagram(msgspec.Struct, frozen=True, array_like=True):
    cluster: bytes
    packet: AnyPacket


_encode = msgspec.msgpack.Encoder().encode
_hello = msgspec.msgpack.Decoder(Hello)
_frame = msgspec.msgpack.Decoder(_Frame)
_datagram = msgspec.msgpack.Decoder(_Datagram)


def _digest(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST, key=key).digest()


def _checked(key: bytes, data: bytes) -> bytes:
    """The body. Danger: what the digest does not cover must not reach a decoder."""
    if len(data) <= DIGEST or not hmac.compare_digest(_digest(key, data[DIGEST:]), data[:DIGEST]):
        raise Foreign("the digest is not right")
    return data[DIGEST:]


def _decoded(decoder: msgspec.msgpack.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except _BAD as bad:
        raise Foreign(f"its form: {bad}") from None


def _framed(key: bytes, body: bytes, most: int) -> bytes:
    size = DIGEST + len(body)
    if size > most:
        raise ValueError(f"a frame of {size} bytes, {most} at the most")
    return size.to_bytes(LENGTH, "big") + _digest(key, body) + body


def size_of(head: bytes, most: int = MOST_FRAME) -> int:
    """Bytes that follow a frame's first four. Raises Foreign before any of them is read."""
    size = int.from_bytes(head, "big")
    if not DIGEST < size <= most:
        raise Foreign(f"a frame of {size} bytes")
    return size


class Seal:
    """What this process signs and checks with: the fleet's key, the cluster's name, and its own id."""

    def __init__(self, key: str, cluster: str, me: str, draw: Callable[[int], bytes] = os.urandom) -> None:
        self.me, self._draw = me, draw
        self.cluster = hashlib.blake2b(cluster.encode(), digest_size=8, person=b"cluster").digest()
        self._root = hashlib.blake2b(key.encode(), digest_size=32, person=b"key").digest()
        self._hello, self._datagram = self._made(b"hello"), self._made(b"datagram")

    def _made(self, use: bytes, *more: bytes) -> bytes:
        return hashlib.blake2b(use + b"".join(more), digest_size=32, key=self._root).digest()

    def datagram(self, packet: AnyPacket) -> bytes:
        """Raises ValueError if it would not fit."""
        body = _encode(_Datagram(self.cluster, packet))
        if DIGEST + len(body) > MOST_DATAGRAM:
            raise ValueError(f"a datagram of {DIGEST + len(body)} bytes, {MOST_DATAGRAM} at the most")
        return _digest(self._datagram, body) + body

    def read_datagram(self, data: bytes) -> AnyPacket:
        """Raises Foreign."""
        if len(data) > MOST_DATAGRAM:
            raise Foreign(f"a datagram of {len(data)} bytes")
        told = _decoded(_datagram, _checked(self._datagram, data))
        if told.cluster != self.cluster:
            raise Foreign("it is of another cluster")
        return told.packet

    def dial(self, to: str) -> Session:
        return Session(self, to, self._draw(NONCE))

    def accept(self) -> Session:
        return Session(self, None, self._draw(NONCE))


class Session:
    """One connection, as one side sees it. Every method but `hello` and `frame` raises Foreign; then it must be closed.

    The side that dials sends `hello()` and reads the answer with `greeted`; the other one first reads, then sends.
    """

    def __init__(self, seal: Seal, to: str | None, nonce: bytes) -> None:
        self._seal, self.peer, self._nonce = seal, to, nonce
        self._dialled = to is not None
        self._theirs = self._out = self._in = b""
        self._sent = self._seen = 0

    def hello(self) -> bytes:
        seal = self._seal
        return _framed(
            seal._hello, _encode(Hello(seal.cluster, seal.me, self.peer, self._nonce, self._theirs)), MOST_HELLO
        )

    def greeted(self, data: bytes) -> None:
        """The other side's Hello, without its length."""
        told = _decoded(_hello, _checked(self._seal._hello, data))
        self._addressed(told.cluster, told.sender, told.receiver)
        if len(told.nonce) != NONCE or told.echo != (self._nonce if self._dialled else b""):
            raise Foreign("its nonce is not right")
        if not 0 < len(told.sender.encode()) <= MOST_ID or told.sender == self._seal.me:
            raise Foreign("its sender cannot be")
        self.peer, self._theirs = told.sender, told.nonce
        dialler, accepter = (self._nonce, told.nonce) if self._dialled else (told.nonce, self._nonce)
        there, back = (self._seal._made(way, dialler, accepter) for way in (b"there", b"back"))
        self._out, self._in = (there, back) if self._dialled else (back, there)

    def _addressed(self, cluster: bytes, sender: str, receiver: str) -> None:
        if cluster != self._seal.cluster:
            raise Foreign("it is of another cluster")
        if receiver != self._seal.me:
            raise Foreign(f"it is for {receiver!r:.80}")
        if self.peer is not None and sender != self.peer:
            raise Foreign(f"it is of {sender!r:.80}, not of {self.peer}")

    def frame(self, message: AnyFrame) -> bytes:
        """With its length. Raises ValueError if it would not fit."""
        seal, self._sent = self._seal, self._sent + 1
        return _framed(self._out, _encode(_Frame(seal.cluster, seal.me, self.peer, self._sent, message)), MOST_FRAME)

    def read(self, data: bytes) -> AnyFrame:
        """The message of a frame, given without its length."""
        told = _decoded(_frame, _checked(self._in, data))
        self._addressed(told.cluster, told.sender, told.receiver)
        if told.counter <= self._seen:
            raise Foreign(f"its counter is {told.counter} after {self._seen}")
        self._seen = told.counter
        return told.message
