"""The one place where configuration is read, checked and given defaults. Errors name the faulty key."""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path

from ..errors import LinkdockError, log_line
from ..interface import GROUPS, DestinationKind, Effect, MessageClass, Settings

log = logging.getLogger(__name__)

_MISSING = object()
MOST_NUMBER = 1e15  # of anything that is told: with any more it cannot be counted on
MOST_TICK = 0.1  # seconds: a client waits 0.4 for its answer, whatever the bench's own ticks are
OPERATORS = 32  # descriptors that neither clients nor calls can take from the operators' address
EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}


class ConfigError(LinkdockError, ValueError):
    """A key that is missing or cannot be right."""

    code = "LD-CONFIG"
    what = "a key, variable, file or address that a sender is told is missing or cannot be right"
    remedy = "Correct what the line names, and start or reload again"


@dataclass(frozen=True)
class Config:
    """All that a sender is told, checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: Path
    seed: int
    memory_mb: float
    sockets: int
    disk_mb: float
    known: dict
    settings: Settings
    class_names: list[str]
    zones: list[str]
    kinds: list[str]
    tenant_names: list[str]
    fields: list[str]
    admin: tuple[str, int] | None = None  # the operators' address
    paid_news: bool = False  # discovery's news must be asked for, and each ask costs
    accept_fd: int | None = None  # the clients' listening socket, where it is inherited

    @property
    def classes(self) -> dict[str, int]:
        """The number of each class by its name."""
        return {name: n for n, name in enumerate(self.class_names)}

    @property
    def tenants(self) -> dict[str, int]:
        """The number of each customer by its name."""
        return {name: n for n, name in enumerate(self.tenant_names)}

    def repeatable(self, cls: int) -> bool:
        """Whether a message of this class may be sent again after a call that may have run."""
        return self.settings.classes[cls].effect is Effect.SAFE

    @property
    def usual_clients(self) -> int:
        """A third of the sockets: the usual clients hold no more for their requests."""
        return self.sockets // 3

    @property
    def most_clients(self) -> int:
        """As many as the usual clients hold, and as many for others.

        The others take a quarter of the memory at most at 32 KB each: 7 for the connection itself, 4 that were read
        ahead, and a share of `most_held`.
        """
        usual = self.usual_clients
        kept = 16 if self.admin is None else 16 + OPERATORS  # for the process itself
        return usual + max(4, min(usual - kept, int(self.memory_mb * 1e6 / 4) // 32_000))

    @property
    def most_held(self) -> int:
        """Bytes of commands that clients' connections hold together, whole or not: an eighth of the memory."""
        return int(self.memory_mb * 1e6 / 8)

    @property
    def most_list(self) -> int:
        """Bytes that a whole list may take while it comes in beside the one in force: a tenth of the memory."""
        return int(self.memory_mb * 1e6 / 10)

    @property
    def most_backends(self) -> int:
        """A third of the sockets; the last third is for what else a process opens."""
        return max(self.settings.slots, self.sockets // 3)


class _Reader:
    """Reads one object's keys and names them in full when they are wrong."""

    def __init__(self, told: object, path: str) -> None:
        if not isinstance(told, dict):
            raise ConfigError(f"{path or 'the configuration'} must be an object")
        self._told, self._path = told, path

    def name(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def has(self, key: str) -> bool:
        return self._told.get(key) is not None

    def get(self, key: str, kind: type, default: object = _MISSING):
        value = self._told.get(key, default)
        if value is _MISSING:
            raise ConfigError(f"{self.name(key)} is missing")
        if value is None and default is not _MISSING:
            value = default  # null says as little as a missing key
        if value is default:
            return value
        fits = isinstance(value, (int, float) if kind is float else kind)
        if not fits or isinstance(value, bool) and kind is not bool:
            raise ConfigError(f"{self.name(key)} must be {_KINDS[kind]}, not {value!r:.60}")
        # Danger: a whole number of any length, which is no float.
        return kind(value) if kind is not float or abs(value) < MOST_NUMBER else inf if value > 0 else -inf

    def number(self, key: str, default: object = _MISSING, least: float = 0.0) -> float:
        return self._at_least(key, self.get(key, float, default), least)

    def count(self, key: str, default: object = _MISSING, least: int = 0) -> int:
        return self._at_least(key, self.get(key, int, default), least)

    def _at_least(self, key: str, value, least):
        if not least <= value < MOST_NUMBER:
            raise ConfigError(f"{self.name(key)} must be at least {least} and below {MOST_NUMBER:g}, not {value!r:.60}")
        return value

    def each(self, key: str, fits: Callable[[object], bool], what: str) -> list:
        """A list whose every item fits; empty where there is none."""
        told = self.get(key, list, [])
        for n, one in enumerate(told):
            if not fits(one):
                raise ConfigError(f"{self.name(key)}[{n}] must be {what}, not {one!r:.60}")
        return told

    def choice(self, key: str, choices: Mapping[str, object], default: object = _MISSING):
        value = self.get(key, str, default)
        if value not in choices:
            raise ConfigError(f"{self.name(key)} must be one of {', '.join(choices)}, not {value!r:.60}")
        return choices[value]

    def part(self, key: str, default: object = _MISSING) -> _Reader:
        return _Reader(self.get(key, dict, default), self.name(key))

    def parts(self, key: str, default: object = _MISSING) -> list[_Reader]:
        told = self.get(key, list, default)
        return [_Reader(one, f"{self.name(key)}[{n}]") for n, one in enumerate(told)]

    def address(self, key: str) -> tuple[str, int]:
        value = self.get(key, str)
        host, _, port = value.rpartition(":")
        if not host or not (port.isascii() and port.isdigit() and len(port) < 6) or int(port) > 65535:
            raise ConfigError(f"{self.name(key)} must be an address with a port, not {value!r:.60}")
        return host, int(port)


_KINDS = {
    float: "a number",
    int: "a whole number",
    str: "a string",
    bool: "true or false",
    list: "a list",
    dict: "an object",
}


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file that RELAY_CONFIG names; the other variables stand in for what it may lack."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        told = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as bad:
        raise ConfigError(f"RELAY_CONFIG: {path}: {bad}") from None
    if not os.path.isdir(environ.get("RELAY_STATE", "")):
        raise ConfigError(f"RELAY_STATE must name a folder, not {environ.get('RELAY_STATE')!r}")
    if isinstance(told, dict):
        for key in ("name", "listen", "discovery"):
            variable = f"RELAY_{key.upper()}"
            if variable in environ:
                told.setdefault(key, environ[variable])
        if "RELAY_ADMIN_ADDR" in environ:
            told.setdefault("admin_addr", environ["RELAY_ADMIN_ADDR"])
    return replace(check(told, Path(environ["RELAY_STATE"])), accept_fd=_accept_fd(environ))


def _accept_fd(environ: Mapping[str, str]) -> int | None:
    number = environ.get("RELAY_ACCEPT_FD")
    if not number:
        return None
    if not (number.isascii() and number.isdigit() and len(number) < 8):
        raise ConfigError(f"RELAY_ACCEPT_FD must be the number of a descriptor, not {number!r}")
    return int(number)


def reload(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration after SIGHUP: the new file if it is right as a whole, of which `discovery` is taken.

    Danger: a file that is being replaced can be missing, torn or wrong, and the old one must stay in force.
    """
    try:
        new = load(environ)
    except ConfigError as bad:
        log.error("reload: the old configuration stays: %s", log_line(bad))
        return old
    for key in vars(old):
        if key not in ("discovery", "seed", "known") and getattr(new, key) != getattr(old, key):
            log.warning("reload: %s has changed, which only a restart takes", key)
    log.info("reload: discovery is at %s:%d", *new.discovery)
    return replace(old, discovery=new.discovery)


def check(told: object, state: Path) -> Config:
    """The configuration from its JSON."""
    top = _Reader(told, "")
    limits, settings = top.part("limits", {}), top.part("settings")
    seed = top.get("seed", str)
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed must be hexadecimal, not {seed!r:.60}") from None
    return Config(
        name=top.get("name", str),
        listen=top.address("listen"),
        discovery=top.address("discovery"),
        state=state,
        seed=number,
        memory_mb=limits.number("memory_mb", 192.0, 32.0),
        sockets=limits.count("sockets", 1024, 64),
        disk_mb=limits.number("disk_mb", 3.0, 0.01),
        known=_known(told.get("known")),
        settings=_settings(settings),
        class_names=[c.get("name", str) for c in settings.parts("grades")],
        zones=settings.get("zones", list, []),
        kinds=settings.get("machine-types", list, []),
        tenant_names=[p.get("name", str) for p in settings.parts("projects", [])],
        fields=settings.part("report", {}).get("fields", list, []),
        admin=top.address("admin_addr") if top.has("admin_addr") else None,
        paid_news=settings.get("discovery", str, "") == "subscribe",
    )


def _known(told: object) -> dict:
    """The list as it was last. It may be old, and one that cannot be read is passed over: discovery has the new one."""
    if told is None or isinstance(told, dict):
        return told or {}
    log.warning("known must be an object, not %.40r; the start goes on without it", told)
    return {}


def _settings(told: _Reader) -> Settings:
    limits, extra, rules = told.part("limits"), told.part("extra"), told.part("rules")
    tariffs = told.part("tariffs", {})
    classes = [
        MessageClass(
            effect=g.choice("idempotency", EFFECTS),
            aim=g.number("aim", least=0.001),
            deadline=g.number("hard-limit", least=0.001),
            worth=g.number("importance", 1.0),
            late_share=g.number("late-share", 0.0),
            in_order=g.get("keep-order", bool, False),
            window=g.number("window", 0.0),
            group=g.choice("group", {name: name for name in GROUPS}, "all"),
        )
        for g in told.parts("grades")
    ]
    if not classes:
        raise ConfigError(f"{told.name('grades')} must not be empty")
    names = [g.get("name", str) for g in told.parts("grades")]
    if len(set(names)) < len(names):
        raise ConfigError(f"{told.name('grades')} must have names of their own, not {', '.join(names)}")
    apart = extra.each("separate-routes", lambda one: isinstance(one, bool), "true or false")
    batch = extra.each("bundle-max", lambda one: type(one) is int and one >= 1, "a whole number of at least 1")
    fees = extra.each("zone-fee", lambda one: type(one) in (int, float) and abs(one) < MOST_NUMBER, "a number")
    count = max(len(apart), len(batch), len(told.get("machine-types", list, [])), 1)
    kinds = [
        DestinationKind(bool(apart[k]) if k < len(apart) else False, batch[k] if k < len(batch) else 1)
        for k in range(count)
    ]
    weights, subscribe = told.get("weights", str, "silent"), told.get("discovery", str, "") == "subscribe"
    relays, me = told.count("balancers", 1, 1), told.count("me", 0)
    if me >= relays:
        raise ConfigError(f"{told.name('me')} must be below {told.name('balancers')}, not {me}")
    return Settings(
        classes=classes,
        kinds=kinds,
        slots=extra.count("calls-out", least=1),
        max_open=limits.count("max-open", least=1),
        max_attempts=limits.count("max-attempts", least=1),
        relays=relays,
        me=me,
        tick=min(told.number("tick", 0.005, 0.001), MOST_TICK),
        connect_timeout=limits.number("connect-timeout", 1.0, 0.01),
        idle_close=limits.number("idle-close", 5.0, 0.1),
        max_retry_after=limits.number("max-retry-after", 0.0),
        retry_after=limits.get("retry-after", bool, False),
        cancel=limits.get("cancel", bool, False),
        probes=False,  # no probe is spoken on sockets
        second_copies=limits.get("second-copies", bool, False),
        subscribe=False,  # the watch is this program's own, and asks by itself
        ask_within=rules.number("ask-within", 10.0, 0.1) if subscribe else 10.0,
        halves=extra.get("loses-worth", str, "even") == "by_half",
        rough_weights=weights != "nominal",
        told_weights=weights in ("nominal", "rough"),
        tenant_quota=[p.number("quota-per-s", 0.0) for p in told.parts("projects", [])],
        over_share_worth=told.number("over-share-worth", 1.0),
        zone_fee=[float(fee) for fee in fees],
        handshake_price=tariffs.number("handshake", 0.0),
        refusal_price=extra.number("refusal-cost", 0.0),
        drain_grace=rules.number("drain-grace", 0.0),
        fall_multiple=rules.number("fall-multiple", 1.0, 0.01),
        tip_after=rules.number("tip-after", 1.0, 0.01),
        cold_share=rules.number("cold-share", 1.0),
        cold_time=rules.number("cold", 0.0),
        order_rest=rules.number("settle-after-doubt", 0.0),
        answer_slack=rules.number("answer-slack", 0.0),
    )
