"""Frames and records of the drill's wire, to and from the types of `interface`. It decides nothing."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from . import interface as i
from .errors import LinkdockError


class WireError(LinkdockError, ValueError):
    """A frame that is not as the wire's page says."""

    code = "LD-WIRE"
    what = "the simulator's adapter was sent a frame that is not as the wire's page says"
    remedy = "Compare the version of the simulator with the one that this adapter was made for"


@dataclass(slots=True)
class Create:
    """An instance begins."""

    seed: int
    settings: i.Settings


@dataclass(slots=True)
class Killed:
    """An instance is killed."""


EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 48, 24, 23
HEADER = struct.Struct("<dI")
LENGTH = struct.Struct("<I")
ENTRY = struct.Struct("<4sHBBHBfd")
REPORT = struct.Struct("<B4f")
RESULTS = {
    0: i.Result.OK,
    5: i.Result.ERROR,
    11: i.Result.FULL,
    110: i.Result.TIMEOUT,
    111: i.Result.CONNECT_FAILED,
    104: i.Result.RESET,
    125: i.Result.CANCELLED,
    114: i.Result.MOOT,
}
STATES = {1: i.HostState.READY, 0: i.HostState.DRAINING, 2: i.HostState.GONE}
LISTS = {1: i.ListKind.DELTA, 4: i.ListKind.FULL, 2: i.ListKind.CACHED, 3: i.ListKind.FAILED}
EFFECTS = {"read_like": i.Effect.SAFE, "idempotency_key": i.Effect.KEYED, "non_idempotent": i.Effect.UNSAFE}
BODIES = {
    code: struct.Struct("<" + body)
    for code, body in {
        0: "QII",
        1: "BQB",
        2: "IIQddBBf",
        3: "IB4sHd",
        4: "IdHBIB4sH",
        5: "I",
        6: "Q",
        7: "4sHHd",
        8: "HII",
        9: "",
        10: "",
    }.items()
}
ALL_PEERS = 0xFFFFFFFF


def _lookup(table: dict, code: Any, what: str) -> Any:
    try:
        return table[code]
    except KeyError:
        raise WireError(f"unknown {what} {code!r}") from None


def read_settings(text: bytes) -> i.Settings:
    """The typed settings from the first message's JSON; unknown keys are skipped."""
    return _read(text)[0]


def _read(text: bytes) -> tuple[i.Settings, list[str]]:
    """The settings, and what the values of a load report are called."""
    try:
        # Null says as little as a missing key.
        told = json.loads(text, object_hook=lambda one: {k: v for k, v in one.items() if v is not None})
    except (ValueError, RecursionError) as bad:
        raise WireError(f"settings are not JSON: {bad}") from None
    if not isinstance(told, dict):
        raise WireError("settings are no object")
    try:
        return _settings(told), _fields(told)
    except KeyError as bad:
        raise WireError(f"settings lack {bad.args[0]!r}") from None
    except WireError:
        raise
    except (TypeError, AttributeError, IndexError, ValueError, OverflowError) as bad:
        raise WireError(f"settings are malformed: {bad}") from None


def _fields(told: dict) -> list[str]:
    fields = told.get("report", {}).get("fields", [])
    if not all(isinstance(name, str) for name in fields):
        raise WireError("report.fields must be names")
    return list(fields)


def _settings(told: dict) -> i.Settings:
    limits, extra, rules, tariffs = told["limits"], told["extra"], told["rules"], told.get("tariffs", {})
    classes = [
        i.MessageClass(
            effect=_lookup(EFFECTS, g["idempotency"], "idempotency"),
            aim=float(g["aim"]),
            deadline=float(g["hard-limit"]),
            worth=float(g.get("importance", 1.0)),
            late_share=float(g.get("late-share", 0.0)),
            in_order=bool(g.get("keep-order", False)),
            window=float(g.get("window", 0.0)),
            group=str(g.get("group", "all")),
        )
        for g in told["grades"]
    ]
    apart = extra.get("separate-routes", [])
    batch = extra.get("bundle-max", [])
    count = max(len(apart), len(batch), len(told.get("machine-types", [])), 1)
    kinds = [
        i.DestinationKind(bool(apart[k]) if k < len(apart) else False, int(batch[k]) if k < len(batch) else 1)
        for k in range(count)
    ]
    return i.Settings(
        classes=classes,
        kinds=kinds,
        slots=int(extra["calls-out"]),
        max_open=int(limits["max-open"]),
        max_attempts=int(limits["max-attempts"]),
        relays=int(told.get("balancers", 1)),
        me=int(told.get("me", 0)),
        tick=float(told.get("tick", 0.0)),
        connect_timeout=float(limits.get("connect-timeout", 1.0)),
        idle_close=float(limits.get("idle-close", 0.0)),
        max_retry_after=float(limits.get("max-retry-after", 0.0)),
        retry_after=bool(limits.get("retry-after", False)),
        cancel=bool(limits.get("cancel", False)),
        probes=bool(limits.get("probes", False)),
        second_copies=bool(limits.get("second-copies", False)),
        subscribe=told.get("discovery") == "subscribe",
        ask_within=float(rules.get("ask-within", 10.0)),
        halves=extra.get("loses-worth") == "by_half",
        rough_weights=told.get("weights") != "nominal",
        told_weights=told.get("weights") in ("nominal", "rough"),
        tenant_quota=[float(p.get("quota-per-s", 0.0)) for p in told.get("projects", [])],
        over_share_worth=float(told.get("over-share-worth", 1.0)),
        zone_fee=[float(f) for f in extra.get("zone-fee", [])],
        handshake_price=float(tariffs.get("handshake", 0.0)),
        refusal_price=float(extra.get("refusal-cost", 0.0)),
        drain_grace=float(rules.get("drain-grace", 0.0)),
        fall_multiple=float(rules.get("fall-multiple", 1.0)),
        tip_after=float(rules.get("tip-after", 1.0)),
        cold_share=float(rules.get("cold-share", 1.0)),
        cold_time=float(rules.get("cold", 0.0)),
        order_rest=float(rules.get("settle-after-doubt", 0.0)),
        answer_slack=float(rules.get("answer-slack", 0.0)),
    )


class Decoder:
    """Batches to events. It keeps the numbered lists, which belong to the process as a whole."""

    def __init__(self) -> None:
        """Without any name yet; each comes with the event that first tells it."""
        self.banks: dict[int, list[i.HostEntry]] = {}
        self.fields: dict[int, list[str]] = {}

    def batch(self, body: bytes) -> tuple[float, list[tuple[int, Any]]]:
        """The clock and the (instance, event) pairs of the frame body that follows the length."""
        if len(body) < HEADER.size:
            raise WireError("a batch is shorter than its header")
        now, count = HEADER.unpack_from(body)
        end = HEADER.size + count * EVENT_SIZE
        if end > len(body):
            raise WireError("a batch is shorter than its records")
        records = body[HEADER.size : end]
        tail = body[end:]
        events = []
        for at in range(0, len(records), EVENT_SIZE):
            event = self._event(records[at : at + EVENT_SIZE], tail)
            if event is not None:
                events.append(event)
        return now, events

    @staticmethod
    def _cut(tail: bytes, offset: int, size: int) -> bytes:
        if offset + size > len(tail):
            raise WireError("an offset lies outside the tail")
        return tail[offset : offset + size]

    def _report(self, relay: int, record: bytes, at: int) -> i.Report | None:
        n, *values = REPORT.unpack_from(record, at)
        if not n:
            return None
        named = dict(zip(self.fields.get(relay, []), values[:n], strict=False))
        if "x0" not in named and "x1" not in named:
            return None
        return i.Report(named.get("x0", 0.0), named.get("x1", 0.0))

    def _event(self, record: bytes, tail: bytes) -> tuple[int, Any] | None:
        code = record[0]
        body = _lookup(BODIES, code, "event")
        if code == 10:
            bank, offset, count = struct.unpack_from("<BII", record, 1)
            rows = self._cut(tail, offset, count * ENTRY_SIZE)
            self.banks[bank] = [
                i.HostEntry((ip, port), dest, _lookup(STATES, state, "host state"), kind, zone, weight, up)
                for ip, port, zone, kind, dest, state, weight, up in ENTRY.iter_unpack(rows)
            ]
            return None
        relay = LENGTH.unpack_from(record, 1)[0]
        values = body.unpack_from(record, 5)
        if code == 0:
            seed, offset, size = values
            text = self._cut(tail, offset, size)
            settings, self.fields[relay] = _read(text)
            return relay, Create(seed, settings)
        if code == 1:
            how, version, bank = values
            kind = _lookup(LISTS, how, "kind of list")
            entries = [] if kind is i.ListKind.FAILED else list(_lookup(self.banks, bank, "list number"))
            return relay, i.Hosts(kind, entries, version)
        if code == 2:
            mid, tenant, key, _hint, expires, cls, bits, dest = values
            again, orphaned = bool(bits & 2), bool(bits & 16)
            return relay, i.Message(mid, cls, int(dest), expires, tenant, key, again, orphaned)
        if code == 3:
            mid, attempt, address, port, spent = values
            return relay, i.Started(mid, attempt, (address, port), spent)
        if code == 4:
            mid, spent, reason, done, note, attempt, address, port = values
            result = _lookup(RESULTS, reason, "outcome")
            wait = note / 1000.0 if result is i.Result.FULL else 0.0
            return relay, i.Outcome(
                mid, attempt, (address, port), result, spent, bool(done), wait, self._report(relay, record, 31)
            )
        if code == 5:
            return relay, i.Withdrawn(values[0])
        if code == 6:
            return relay, i.TimerDue(values[0])
        if code == 7:
            address, port, reason, spent = values
            return relay, i.Probed(
                (address, port), _lookup(RESULTS, reason, "outcome"), spent, self._report(relay, record, 21)
            )
        if code == 8:
            sender, offset, size = values
            return relay, i.PeerMessage(sender, self._cut(tail, offset, size))
        return relay, Killed()


@dataclass(slots=True)
class Fault:
    """The decisions of an instance failed."""

    text: str


def encode_reply(actions: Iterable[tuple[int, Any]]) -> bytes:
    """A whole reply frame, length included."""
    records, tail = [], bytearray()

    def text(data: bytes) -> tuple[int, int]:
        offset = len(tail)
        tail.extend(data)
        return offset, len(data)

    for relay, a in actions:
        match a:
            case i.Send():
                record = struct.pack("<BII4sHd", 64, relay, a.id, *a.host, a.timeout)
            case i.Refuse():
                record = struct.pack("<BIId", 65, relay, a.id, a.wait)
            case i.Fail():
                record = struct.pack("<BII", 66, relay, a.id)
            case i.Cancel():
                record = struct.pack("<BIIB", 67, relay, a.id, a.attempt)
            case i.SetTimer():
                record = struct.pack("<BIdQ", 68, relay, a.at, a.token)
            case i.Probe():
                record = struct.pack("<BI4sH", 69, relay, *a.host)
            case i.CloseIdle():
                record = struct.pack("<BI4sH", 70, relay, *a.host)
            case i.Tell():
                peer = ALL_PEERS if a.peer is None else a.peer
                record = struct.pack("<BIIII", 71, relay, peer, *text(a.data))
            case i.Log():
                record = struct.pack("<BIII", 72, relay, *text(a.text.encode()))
            case Fault():
                record = struct.pack("<BIII", 73, relay, *text(a.text.encode()))
            case i.Subscribe():
                record = struct.pack("<BIB", 74, relay, a.on)
            case i.FetchList():
                record = struct.pack("<BI", 75, relay)
            case _:
                raise TypeError(f"no action: {a!r}")
        records.append(record.ljust(ACTION_SIZE, b"\0"))
    body = LENGTH.pack(len(records)) + b"".join(records) + bytes(tail)
    return LENGTH.pack(len(body)) + body
