"""`deploy/cluster.json`: its shape, its defaults, and what contradicts itself in it."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ..options import OptionError

NAME = "^[^~#\\s]{1,64}$"
ADDRESS = "^[0-9.]{7,15}:[0-9]{1,5}$"
LEAST_KEY = 16


class ClusterSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Whether processes of one fleet agree on what they share, and how they find and know each other."""

    on: bool = False
    cluster: Annotated[
        str, msgspec.Meta(pattern=NAME, description="The fleet's name; processes of another one are not listened to.")
    ] = "linkdock"
    key: Annotated[
        str,
        msgspec.Meta(max_length=1024, description="What all processes of the fleet sign with, 16 characters or more."),
    ] = ""
    key_file: Annotated[
        str,
        msgspec.Meta(max_length=4096, description="A file that holds the key instead, readable by the process alone."),
    ] = ""
    listen: Annotated[
        str,
        msgspec.Meta(
            pattern=ADDRESS, description="Where frames (TCP) and datagrams (UDP) of the others are taken. Port 0: any."
        ),
    ] = "127.0.0.1:0"
    advertise: Annotated[
        str, msgspec.Meta(max_length=300, description="Where the others reach it, if not where it listens.")
    ] = ""
    zone: Annotated[
        str,
        msgspec.Meta(pattern="^\\S{0,64}$", description="Where the process stands, if RELAY_CONFIG does not say so."),
    ] = ""
    region: Annotated[str, msgspec.Meta(pattern="^\\S{0,64}$")] = ""
    seeds: Annotated[
        tuple[Annotated[str, msgspec.Meta(pattern=ADDRESS)], ...],
        msgspec.Meta(max_length=64, description="Addresses of some processes that one who comes asks first."),
    ] = ()
    founders: Annotated[
        tuple[Annotated[str, msgspec.Meta(pattern=NAME)], ...],
        msgspec.Meta(
            max_length=7,
            description="Names of the first processes, the same list everywhere. The first of them founds "
            "the log, once each other one has said that it holds none.",
        ),
    ] = ()
    voters: Annotated[
        Literal[1, 3, 5, 7], msgspec.Meta(description="How many processes decide, spread over the zones.")
    ] = 3
    replace_s: Annotated[
        float,
        msgspec.Meta(ge=0.1, le=86400, description="Seconds after which a voter that failed or left is replaced."),
    ] = 60
    routes: Annotated[
        dict[str, Annotated[str, msgspec.Meta(pattern=ADDRESS)]],
        msgspec.Meta(max_length=1024, description="By name of a process: an address to reach it instead of its own."),
    ] = {}
    heartbeat_ms: Annotated[
        int, msgspec.Meta(ge=10, le=5000, description="Between two heartbeats of the log's leader.")
    ] = 150
    election_ms: Annotated[
        int, msgspec.Meta(ge=50, le=60000, description="Shortest time without a leader before another one is elected.")
    ] = 1000
    probe_ms: Annotated[
        int,
        msgspec.Meta(
            ge=20, le=60000, description="Between two probes of the membership; a failure is known some of them later."
        ),
    ] = 1000
    drift: Annotated[
        float,
        msgspec.Meta(ge=0, le=0.2, description="How much faster or slower than true time a process's clock may run."),
    ] = 0.02
    disk_mb: Annotated[
        float, msgspec.Meta(ge=24, le=100_000, description="Megabytes that the cluster's folder may take.")
    ] = 64
    stop_s: Annotated[
        float,
        msgspec.Meta(ge=0, le=10, description="Seconds that the end of the process waits for another one to lead."),
    ] = 1


def address(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _numeric(text: str) -> bool:
    """Danger: a name in place of an address is looked up at each datagram, and the loop waits for it."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return port.isdecimal() and int(port) <= 65535


def read(text: bytes) -> ClusterSettings:
    """Check the file's text. Raises OptionError that names the key and what would be right."""
    try:
        told = msgspec.json.decode(text, type=ClusterSettings)
    except (msgspec.MsgspecError, RecursionError) as bad:
        raise OptionError(f"cluster.json: {bad}") from None
    for key, all_of in (
        ("listen", (told.listen,)),
        ("advertise", (told.advertise,) if told.advertise else ()),
        ("seeds", told.seeds),
        ("routes", tuple(told.routes.values())),
    ):
        for one in all_of:
            if not _numeric(one):
                raise OptionError(f"cluster.json: {key}: must be an IPv4 address with a port, not {one!r}")
    if told.listen.startswith("0.0.0.0:") and not told.advertise:
        raise OptionError("cluster.json: advertise: must be given where listen is every address")
    if told.election_ms < 4 * told.heartbeat_ms:
        raise OptionError(
            f"cluster.json: election_ms must be at least four times heartbeat_ms, "
            f"{4 * told.heartbeat_ms}, not {told.election_ms}"
        )
    if len(set(told.founders)) != len(told.founders):
        raise OptionError("cluster.json: founders names a process twice")
    if told.on and bool(told.key) == bool(told.key_file):
        raise OptionError("cluster.json: one of key and key_file must be given, and not both")
    if told.key and len(told.key) < LEAST_KEY:
        raise OptionError(f"cluster.json: key must have at least {LEAST_KEY} characters")
    return told


def key_of(told: ClusterSettings) -> str:
    """The fleet's key. Raises OptionError where its file cannot be used."""
    if told.key:
        return told.key
    try:
        key = Path(told.key_file).read_text().strip()
    except (OSError, ValueError) as bad:
        raise OptionError(f"cluster.json: key_file: {bad}") from None
    if not LEAST_KEY <= len(key) <= 1024:
        raise OptionError(f"cluster.json: key_file must hold {LEAST_KEY} to 1024 characters")
    return key


def schema() -> dict:
    """The JSON schema of `deploy/cluster.json`."""
    return msgspec.json.decode(msgspec.json.encode(msgspec.json.schema(ClusterSettings)))  # tuples as lists
