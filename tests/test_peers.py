"""Ports of the tests' peers: a program that still runs must never call a peer of another test."""

import errno
import gc
import socket

import pytest
from peers import Backend, Discovery, refuse

from linkdock.lab import rig


def can_be_taken(dial):
    """Whether somebody else can listen there now."""
    host, _, port = dial.rpartition(":")
    with socket.socket() as other:
        try:
            other.bind((host, int(port)))
        except OSError as bad:
            assert bad.errno == errno.EADDRINUSE
            return False
    return True


# Guards against a call that meets another test's server: the port of a refusing peer went to whoever asked next.
@pytest.mark.parametrize("make", [lambda: Backend("s1"), Discovery], ids=["backend", "discovery"])
def test_the_port_of_a_peer_that_refuses_is_nobody_elses(make):
    peer = make()
    refuse(peer)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(tuple(peer.dial.split(":")), 5)
    assert not can_be_taken(peer.dial)


# Guards against the same with a program that outlives its test's variables by a moment.
def test_the_port_of_a_peer_is_kept_until_the_programs_of_its_test_have_ended():
    dial = Backend("s1").dial
    gc.collect()
    assert not can_be_taken(dial)


# Guards against the same in the laboratory: an address at which nobody listens was somebody's later on.
def test_the_laboratory_keeps_the_port_at_which_nobody_listens():
    refusing = rig.RefusingAddress()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(tuple(refusing.dial.split(":")), 5)
    assert not can_be_taken(refusing.dial)
    refusing.close()
    assert can_be_taken(refusing.dial)
