"""Frames and datagrams: what is not of this fleet, not for this process, or was said before is refused."""

from __future__ import annotations

import random

import pytest

from linkdock.cluster import wire
from linkdock.cluster.errors import Foreign
from linkdock.cluster.interface import MOST_DATAGRAM, MOST_FRAME, Append, Entry, Join, Kind, Peer, Ping, Voted
from linkdock.cluster.wire import Forward, Keep, Seal

KEY = "the key of all these processes"
ME = Peer("a~1", "z", "r", "127.0.0.1", 1)


def pair(key=KEY, cluster="c", to="b~1"):
    """Both sides of a connection whose dialler may be of elsewhere; the frames of the handshake besides."""
    a, b = Seal(key, cluster, "a~1").dial(to), Seal(KEY, "c", "b~1").accept()
    there = a.hello()
    b.greeted(there[4:])
    back = b.hello()
    a.greeted(back[4:])
    return a, b, there, back


def refuse(call, *given):
    with pytest.raises(Foreign):
        call(*given)


def test_what_is_said_comes_over_both_ways():
    a, b, *_ = pair()
    said = Append(3, 1, 1, 0, 7, (Entry(2, 3, Kind.COMMAND, b"x" * 70000), Entry(3, 3, Kind.EMPTY)))
    frame = a.frame(said)
    assert wire.size_of(frame[:4]) == len(frame) - 4 and b.read(frame[4:]) == said
    assert a.read(b.frame(Keep())[4:]) == Keep() and b.peer == "a~1" and a.peer == "b~1"
    with pytest.raises(ValueError):
        a.frame(Forward(1, bytes(MOST_FRAME)))


def test_a_frame_that_was_heard_before_is_refused_on_its_connection_and_on_any_other():
    a, b, there, _ = pair()
    one, two, three = a.frame(Voted(1, True)), a.frame(Voted(2, True)), a.frame(Voted(3, True))
    b.read(one[4:])
    refuse(b.read, one[4:])
    b.read(three[4:])  # one that was dropped between is no fault; one that comes back is
    refuse(b.read, two[4:])
    again = Seal(KEY, "c", "b~1").accept()
    again.greeted(there[4:])  # the recorded greeting is in order, and gets nowhere
    refuse(again.read, one[4:])
    refuse(a.read, one[4:])  # nor does what it said itself come back to it


def test_another_key_cluster_receiver_or_sender_is_refused():
    for other in ({"key": KEY + "."}, {"cluster": "d"}, {"to": "b~2"}):
        refuse(lambda other=other: pair(**other))
    refuse(Seal(KEY, "c", "b~1").accept().greeted, Seal(KEY, "c", "a~1").dial("b~2").hello()[4:])
    a, back = Seal(KEY, "c", "a~1").dial("b~1"), pair()[3]
    refuse(a.greeted, back[4:])  # an answer to another greeting
    refuse(a.greeted, a.hello()[4:])  # its own greeting
    accepted = Seal(KEY, "c", "b~1").accept()
    refuse(accepted.greeted, pair()[3][4:])
    elsewhere, b = Seal(KEY, "c", "x~1").dial("b~1"), Seal(KEY, "c", "b~1").accept()
    b.greeted(elsewhere.hello()[4:])
    elsewhere.greeted(b.hello()[4:])
    elsewhere._seal = Seal(KEY, "c", "a~1")
    refuse(b.read, elsewhere.frame(Keep())[4:])


def test_every_flipped_byte_and_every_cut_is_refused_before_it_is_decoded(monkeypatch):
    a, b, there, _ = pair()
    frame = a.frame(Voted(1, True))[4:]
    datagram = Seal(KEY, "c", "a~1").datagram(Ping(ME, 1, 2, (), "b~1"))
    monkeypatch.setattr(wire, "_decoded", lambda *given: pytest.fail("decoded"))
    reader = Seal(KEY, "c", "b~1")
    for data, read in ((frame, b.read), (datagram, reader.read_datagram), (there[4:], reader.accept().greeted)):
        for at in range(len(data)):
            refuse(read, data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
            refuse(read, data[:at])


def test_no_bytes_under_a_right_digest_do_more_than_be_refused():
    draw = random.Random(1)
    seal = Seal(KEY, "c", "b~1")
    good = seal.datagram(Join(ME, 1, 1))[16:]
    for _ in range(3000):
        body = bytearray(good if draw.random() < 0.7 else draw.randbytes(draw.randrange(90)))
        for _ in range(draw.randrange(1, 6)):
            if body:
                body[draw.randrange(len(body))] = draw.randrange(256)
        body = bytes(body) + b"\x91" * draw.choice([0, 0, 1000])
        try:
            seal.read_datagram(wire._digest(seal._datagram, body) + body)
        except Foreign:
            pass


def test_lengths_are_bounded_before_anything_is_read():
    refuse(wire.size_of, (MOST_FRAME + 1).to_bytes(4, "big"))
    refuse(wire.size_of, b"GET ")
    refuse(wire.size_of, bytes(4))
    refuse(wire.size_of, (2000).to_bytes(4, "big"), wire.MOST_HELLO)
    seal = Seal(KEY, "c", "b~1")
    refuse(seal.read_datagram, bytes(MOST_DATAGRAM + 1))
    with pytest.raises(ValueError):
        seal.datagram(Ping(ME, 1, 2, (), "b" * MOST_DATAGRAM))
