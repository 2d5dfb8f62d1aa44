"""What happens on an ordinary day and in the bad year, by today's program: how long, how many bytes, what is lost."""

from __future__ import annotations

from typing import NamedTuple

from . import design as d
from .figures import READY, Figures
from .text import NOT_MEASURED, said


class Event(NamedTuple):
    """One event of the page."""

    event: str
    what: str
    long: str
    bytes: str
    lost: str

    def cells(self) -> tuple[str, ...]:
        """Its texts as one line of the page's table, in the order of HEAD."""
        return tuple(self)


HEAD = ("event", "what happens", "how long", "bytes, from whom", "what is lost")


def _said(value: float | None, unit: str, by: float = 1.0) -> str:
    return NOT_MEASURED if value is None else said(value * by, unit)


def ordinary_day(f: Figures) -> list[Event]:
    """Nine machines fail, 1,700 are restarted or replaced, 6,300 changes; 1 % of the destinations are down."""
    half, all_know = (f.fleet("members-restart", f"a death: known to {whom}") for whom in ("half", "all"))
    known_half, known_all = (f.fleet("members-restart", f"1 % restart: known to {whom}") for whom in ("half", "all"))
    whole, read = f.list_of("wire bytes of a whole list"), f.list_of("processor time of a whole list")
    relearn = f.fleet("members-sampled", "a restart: 99 % of the others known again")
    change = f.fleet("log", "leader: wire bytes of a change")
    change_core = f.fleet("log", "leader: processor time of a change")
    row = f.row("wire bytes of a whole list")
    seen = f"{d.SENDERS:,} senders"
    return [
        Event(
            "a machine fails (9 a day)",
            "the membership tells all; nobody takes over what it held",
            f"known to half after {_said(half, 's')}, to all after {_said(all_know, 's')}",
            "news in the membership's packets, no more of them",
            f"what its journal owes waits for its disk: {d.EVENTS_EACH:.0f} events for each second of an event's life, "
            f"up to {d.BACKLOG_EACH / 1e6:.1f} million of a backlog; for good if the disk is gone",
        ),
        Event(
            "a sender is restarted (1,700 a day)",
            "it asks discovery for the whole list, and the membership for all members",
            f"list: {_said(read, 's')} of processor time, {_said(whole, 's', 1 / d.WIRE)} at 11 kB/s; "
            f"known to half after {_said(known_half, 's')}, to all after {_said(known_all, 's')} (1 % at once); "
            f"it knows the others after {_said(relearn, 's')}",
            f"{_said(whole, 'B')} from discovery, {_said(whole, 'B', d.RESTARTS)} a day",
            "what it had learned of destinations awake, but for a snapshot where `dormancy` is on",
        ),
        Event(
            "a configuration change (6,300 a day)",
            "a row: by each sender's watch. Anything else: a file on each machine and SIGHUP, by hand; "
            "or an entry of the log, which no part of the program reads as configuration",
            f"by the log: the leader's processor alone {_said(change_core, 's')}; by hand: {NOT_MEASURED}",
            f"row: {_said(row, 'B')} to each of {seen}, from discovery; by log {_said(change, 'B')} from the leader",
            "nothing; but nobody knows who has it",
        ),
        Event(
            f"1 % of the destinations are down at any time ({d.DESTINATIONS * d.DOWN:,.0f})",
            f"each of {seen} finds an outage out by itself, and tries it again by itself",
            f"a sender calls a destination every {said(d.CALLED_EVERY, 's')}: the last finds it out about as late",
            f"at least one failed call from each of {seen} for each outage",
            "tries of their messages; on its return it is met by senders that know nothing of it",
        ),
    ]


def bad_year(f: Figures) -> list[Event]:
    """A rack or switch a week, a zone once or twice, regions that lose each other for minutes."""
    parted, healed = (
        f.fleet("members-zone", "a zone cut: held for failed by all"),
        f.fleet("members-zone", "a zone back: all agree again"),
    )
    half = f.fleet("members-zone", "a zone cut: held for failed by half")
    healing = f.fleet("members-zone", "a zone back: wire bytes a member, sent and received")
    whole = f.list_of("wire bytes of a whole list")
    zone_bytes = None if whole is None else whole * d.IN_A_ZONE
    at_budget = None if zone_bytes is None else zone_bytes / (d.MACHINE_WIRE * d.MACHINES)
    return [
        Event(
            "a rack or a switch (weekly)",
            "as for one machine, for each of its machines; nothing knows of racks",
            f"{NOT_MEASURED} (between one death and a zone)",
            "as for one machine",
            "what their journals owe waits for their disks",
        ),
        Event(
            f"a zone is lost (once or twice a year, {d.IN_A_ZONE} senders)",
            "the membership tells the others; failover is not hooked in, nobody takes over",
            f"held for failed by half after {_said(half, 's')}, by all after {_said(parted, 's')}",
            "membership's packets; see the sender's row of a zone being cut",
            f"{d.EVENTS_EACH * d.IN_A_ZONE:,.0f} events a second are not taken on; what its journals owe waits",
        ),
        Event(
            "the zone returns: all its senders start",
            "each asks for the whole list; each destination is met by cold and by knowing senders alike",
            f"lists at all senders' 11 kB/s together: {_said(at_budget, 's')}, {READY:.0f} s are asked for; "
            f"membership agrees after {_said(healed, 's')}",
            f"{_said(zone_bytes, 'B')} of lists from discovery; {_said(healing, 'B')} a member of membership",
            "events not taken on until then; the return of cold servers is held back by each sender alone",
        ),
        Event(
            "regions lose each other for minutes (several times a year)",
            "each side holds the other for failed; the log goes on where most of seven are, delivery on both sides",
            f"{NOT_MEASURED} between regions (a zone of ten: the rows above)",
            "on healing each member hears of the others again, as after a zone",
            "no message by the program's design; configuration on the side without a majority stays as it was",
        ),
    ]
