"""The assignment at full size on numbers: balance, spread, moves, bytes, processor time, memory, time until in force.

    python -m linkdock.lab.virtual_assignment                    6,800 members, 1.3 million destinations, as a table
    python -m linkdock.lab.virtual_assignment --grow             the same at 100, 400, 1,600 and 6,800 members
    python -m linkdock.lab.virtual_assignment --members 400 --destinations 80000 --seed 3

Of each row `how` says what it is: `counted` on the whole assignment, `measured` (processor time or memory of the
program's own code on this machine), or `model`, worked out from delays and rates that are stated.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import numpy as np

from ..assignment import hashing
from ..assignment.departures import LEAST_BETWEEN_EPOCHS
from ..assignment.membership import Change, Member, Membership, changed, made
from . import virtual_assignment_cost as cost
from .virtual_assignment_force import in_force
from .virtual_assignment_numbers import agrees, fleet, rows_by_shard, whole_assignment

MEMBERS, DESTINATIONS, ZONES, REGIONS = 6_800, 1_300_000, 10, 3
SIZES = (100, 400, 1_600, 6_800)
BUDGET_BYTES = 11_000  # a second
BUDGET_CORE = 0.039
BUDGET_MEMORY = 32_000_000  # bytes
DAY = 86_400  # seconds
CHANGES_A_DAY, RESTARTS_A_DAY, MACHINES_A_DAY = 6_300, 1_700, 9
CHECKED_SHARDS = 100  # against the program's own `assign`


class Figure(NamedTuple):
    """A row of the table. `budget` is empty where there is none."""

    what: str
    value: str
    budget: str
    how: str


class Moved(NamedTuple):
    """What an event moves: places (shard and replica), members that gain, rows gained by each of those, sorted."""

    places: int
    gaining: int
    rows: np.ndarray
    roles: int  # places whose member stays a replica in another role


def percentiles(values: np.ndarray, digits: int = 0) -> str:
    """p50, p99 and the most."""
    if not len(values):
        return "none"
    return " / ".join(f"{one:,.{digits}f}" for one in (*np.percentile(values, (50, 99)), values.max()))


def moved(before: np.ndarray, after: np.ndarray, ids_after: dict[int, int], rows: np.ndarray) -> Moved:
    """Between two whole assignments. `ids_after`: a member's index in `before` to that in `after`, -1 if gone."""
    translated = np.vectorize(lambda at: ids_after.get(at, -1), otypes=[np.int64])(before)
    kept = after[:, :, None] == translated[:, None, :]
    stays = kept.any(axis=2)
    in_place = after == translated
    shard, role = np.nonzero(~stays)
    gained = np.bincount(after[shard, role], weights=rows[shard])
    gained = gained[gained > 0]
    return Moved(len(shard), len(gained), np.sort(gained), int((stays & ~in_place).sum()))


class World:
    """One fleet, its whole assignment, and what an event makes of it."""

    def __init__(self, members: int, destinations: int, zones: int, seed: int) -> None:
        """Compute the whole assignment of a fleet drawn from `seed`; `whole_seconds` is the processor time of it."""
        self.seed = seed
        self.chance = Random(f"virtual-assignment/{seed}")
        self.epoch = made(1, fleet(members, zones, REGIONS, seed))
        self.rows = rows_by_shard(destinations)
        begun = time.process_time()
        self.whole = whole_assignment(self.epoch)
        self.whole_seconds = time.process_time() - begun
        self.right = agrees(self.epoch, self.whole, seed, CHECKED_SHARDS)

    def rows_of_members(self, roles: int) -> np.ndarray:
        """Of each member the rows of the shards in which it has one of the first `roles` roles."""
        chosen = self.whole[:, :roles]
        weights = np.repeat(self.rows, chosen.shape[1])
        return np.bincount(chosen.ravel(), weights=weights, minlength=len(self.epoch.members))

    def distinct_zones(self) -> np.ndarray:
        """How many zones each shard's members stand in."""
        names = sorted({member.zone for member in self.epoch.members})
        zone_of = np.array([names.index(member.zone) for member in self.epoch.members])
        zones = np.sort(zone_of[self.whole], axis=1)
        return 1 + (np.diff(zones, axis=1) != 0).sum(axis=1)

    def event(self, change: Change) -> tuple[Moved, Membership]:
        """What a change moves, and the membership after it. Raises BadMembershipError if the change does not fit."""
        after = changed(self.epoch, change)
        index = {member.id: at for at, member in enumerate(after.members)}
        ids = {at: index.get(member.id, -1) for at, member in enumerate(self.epoch.members)}
        return moved(self.whole, whole_assignment(after), ids, self.rows), after

    def events(self) -> Iterable[tuple[str, Change | None]]:
        """By name. None changes no membership."""
        member = self.chance.choice(self.epoch.members)
        zone = self.chance.choice(self.epoch.zones)
        reborn = Member(f"{member.id.partition('~')[0]}~{self.chance.getrandbits(64):016x}", member.zone)
        yield "a restart within the grace time", None
        yield "a zone cut off within the grace time", None
        yield "a machine lost", Change(1, left=(member.id,))
        yield "a machine replaced (another life)", Change(1, joined=(reborn,), left=(member.id,))
        yield "a machine twice as heavy", Change(1, joined=(Member(member.id, member.zone, 200),))
        yield (
            "9 machines lost at once",
            Change(
                1,
                left=tuple(
                    one.id for one in self.chance.sample(self.epoch.members, min(9, len(self.epoch.members) // 4))
                ),
            ),
        )
        yield "a zone lost", Change(1, left=tuple(one.id for one in zone.members))


def balance(world: World) -> list[Figure]:
    """How evenly rows lie on senders and shards, and whether replicas stand in different zones."""
    rows, primaries = world.rows_of_members(world.epoch.replicas), world.rows_of_members(1)
    spread = world.distinct_zones()
    return [
        Figure("rows a sender, p50 / p99 / most", percentiles(rows), "", "counted"),
        Figure("the same as parts of the mean", percentiles(rows / rows.mean(), 2), "", "counted"),
        Figure("rows as primary, parts of the mean", percentiles(primaries / primaries.mean(), 2), "", "counted"),
        Figure("rows a shard, p50 / p99 / most", percentiles(world.rows), "", "counted"),
        Figure(
            "shards with all replicas in different zones", f"{(spread == spread.max()).mean():.2%}", "100 %", "counted"
        ),
        Figure(f"`assign` agrees on {CHECKED_SHARDS} shards", str(world.right), "True", "counted"),
        Figure("whole assignment with numpy", f"{world.whole_seconds:.1f} s", "", "measured"),
    ]


def told_moves(name: str, happened: Moved, sizes: cost.Sizes, change: Change) -> list[Figure]:
    """What one change moves, in places and bytes, and the seconds that this takes at BUDGET_BYTES a second."""
    bytes_each = happened.rows * sizes.row + sizes.change(change)
    seconds = bytes_each.max() / BUDGET_BYTES if len(bytes_each) else 0.0
    return [
        Figure(
            f"{name}: places moved / roles changed / senders that gain",
            f"{happened.places:,} / {happened.roles:,} / {happened.gaining:,}",
            "",
            "counted",
        ),
        Figure(f"{name}: bytes a gaining sender, p50 / p99 / most", percentiles(bytes_each), "", "counted"),
        Figure(f"{name}: all others", f"{sizes.change(change):,} bytes", "", "counted"),
        Figure(f"{name}: longest at the budget", f"{seconds:.1f} s", "", "model"),
    ]


def moves_of(world: World, sizes: cost.Sizes) -> list[Figure]:
    """What each of the world's events moves, and whether a zone that comes back restores the assignment."""
    told = []
    for name, change in world.events():
        if change is None:
            told.append(Figure(f"{name}: places moved", "0 (no epoch)", "0", "counted"))
            continue
        happened, after = world.event(change)
        told += told_moves(name, happened, sizes, change)
        if name == "a zone lost":
            back = Change(
                after.epoch, joined=tuple(member for member in world.epoch.members if member.id in set(change.left))
            )
            returned = changed(after, back)
            same = bool((whole_assignment(returned) == world.whole).all())
            told.append(Figure("the zone back: as it was before", str(same), "True", "counted"))
    return told


def costs(world: World, sizes: cost.Sizes, destinations: int) -> list[Figure]:
    """Of one sender: processor time and memory of the program's own code."""
    figures = []
    spent = cost.processor(world.epoch)
    own = world.rows_of_members(world.epoch.replicas)
    figures += [
        Figure(
            "own part from nothing",
            f"{spent.first:.2f} s; at the budget {spent.first / BUDGET_CORE:.0f} s",
            "",
            "measured",
        ),
        Figure("own part after a loss in the own zone", f"{spent.own_zone:.3f} s", "", "measured"),
        Figure("own part after a loss elsewhere", f"{spent.elsewhere * 1000:.1f} ms", "", "measured"),
        Figure("taking an epoch up (membership, digest)", f"{spent.epoch * 1000:.1f} ms", "20 ms", "measured"),
        Figure("longest slice of a scan", f"{spent.slice * 1000:.1f} ms", "20 ms", "measured"),
        Figure("`assign` of one shard", f"{spent.assign * 1000:.2f} ms", "", "measured"),
    ]
    epochs = 2 * RESTARTS_A_DAY + MACHINES_A_DAY  # the worst day: every restart has lost its folder
    day = epochs * (spent.epoch + spent.elsewhere) + epochs / len(world.epoch.zones) * spent.own_zone
    day += DAY / cost.DIGEST_EVERY * spent.digest + CHANGES_A_DAY * spent.delta
    figures.append(
        Figure(
            "a day's control, every restart a new member", f"{day / DAY:.3%} of a core", f"{BUDGET_CORE:.1%}", "model"
        )
    )
    memory = cost.memory(world.epoch, int(own.max()))
    figures += [
        Figure("membership, zones' order and own seeds", f"{memory.membership / 1e6:.2f} MB", "", "measured"),
        Figure(f"rows of the fullest sender ({int(own.max()):,})", f"{memory.rows / 1e6:.2f} MB", "", "measured"),
        Figure(
            "in all", f"{(memory.membership + memory.rows) / 1e6:.2f} MB", f"{BUDGET_MEMORY / 1e6:.0f} MB", "measured"
        ),
    ]
    return figures + control(world, sizes, epochs, destinations)


def control(world: World, sizes: cost.Sizes, epochs: int, destinations: int) -> list[Figure]:
    """Bytes a second of one sender on an ordinary day, by kind; rates are those of the need."""
    mean_rows = destinations * world.epoch.replicas / len(world.epoch.members)
    parts = {
        "epochs": epochs * sizes.one_change / DAY,
        "rows gained": epochs * mean_rows / len(world.epoch.members) * sizes.row / DAY,
        "configuration, every change to all": CHANGES_A_DAY * cost.CHANGE_BYTES / DAY,
        "rows, each changed once an hour": mean_rows * (sizes.row + sizes.delta_frame) / 3600,
        "digests": sizes.part_offer / cost.DIGEST_EVERY,
        "lease": sizes.renewal / cost.RENEW_EVERY,
    }
    figures = [Figure(f"control: {name}", f"{each:.1f} bytes/s", "", "model") for name, each in parts.items()]
    figures.append(Figure("control in all", f"{sum(parts.values()):,.0f} bytes/s", f"{BUDGET_BYTES:,}", "model"))
    start = sizes.membership + mean_rows * sizes.row
    figures.append(
        Figure(
            "a start from nothing: membership and rows",
            f"{start:,.0f} bytes, {start / BUDGET_BYTES:.0f} s at the budget",
            "",
            "model",
        )
    )
    return figures


def forced(members: int, zones: int, seed: int) -> list[Figure]:
    """Seconds until a change is in force at all members, in each story of the model."""
    told = []
    for story in ("plain", "restarting", "relay-dead", "zone-cut"):
        times = in_force(members, zones, REGIONS, story, seed)
        told.append(
            Figure(f"a change in force ({story}), p50 / p99 / last", percentiles(times, 2) + " s", "6 s", "model")
        )
    told.append(Figure("and an epoch waits for others, at the most", f"{LEAST_BETWEEN_EPOCHS:.0f} s", "", "model"))
    return told


def report(members: int, destinations: int, zones: int, seed: int) -> list[Figure]:
    """All figures of one fleet size."""
    world = World(members, destinations, zones, seed)
    sizes = cost.Sizes(world.epoch, destinations)
    return [*balance(world), *moves_of(world, sizes), *costs(world, sizes, destinations), *forced(members, zones, seed)]


def show(figures: list[Figure]) -> None:
    """Print the figures as a table."""
    wide = max(len(figure.what) for figure in figures)
    for figure in figures:
        print(f"{figure.what:<{wide}}  {figure.value:<46}  {figure.budget:<8}  {figure.how}", flush=True)


def main(argv: list[str] | None = None) -> int:
    """Print the report of one size, or of each of SIZES; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--members", type=int, default=MEMBERS)
    parser.add_argument("--destinations", type=int, default=DESTINATIONS)
    parser.add_argument("--zones", type=int, default=ZONES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--grow", action="store_true", help="one sender's figures at four sizes, destinations alike")
    args = parser.parse_args(argv)
    sizes = SIZES if args.grow else (args.members,)
    for members in sizes:
        destinations = args.destinations * members // MEMBERS if args.grow else args.destinations
        print(
            f"{members:,} members, {destinations:,} destinations, {args.zones} zones, "
            f"{hashing.SHARD_COUNT:,} shards, seed {args.seed}"
        )
        show(report(members, destinations, args.zones, args.seed))
    return 0


if __name__ == "__main__":
    sys.exit(main())
