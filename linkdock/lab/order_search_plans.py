"""The cases of the order search: which messages there are, and how often each thing may happen."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Bounds:
    """What a case is made of, and how often each thing may happen in it."""

    messages: tuple[tuple[str, str, float], ...] = (("A1", "a", 4.0), ("A2", "a", 16.0), ("B1", "b", 10.0))
    shared: bool = True  # whether the processes share a folder (upgrades), else one at a time with one journal
    begin: tuple[str, ...] = ("start",)
    starts: int = 1  # processes in all
    kills: int = 0
    terms: int = 0
    failures: int = 1  # answers other than 200, refusals, resets
    late: int = 0
    rests: int = 0
    looks: int = 0
    prompt: bool = False  # whether the others look at once where a process starts, and not up to 50 ms later
    leaves: int = 0


PAIR = (("A1", "a", 4.0), ("A2", "a", 16.0))
TWO = ("start", "start")
MET = (*TWO, "look 1")  # the older process has seen that the younger has come
WAITING = ("take A1@1", "beat 1", "take A2@1", "beat 1")  # A2 waits behind A1, whose connection comes up
HELD_BY_YOUNGER = ("take A1@2", "beat 2", "take A2@1", "beat 1")  # A2 waits in one process for A1 in the other
HELD_BY_ELDER = ("take A1@1", "beat 1", "take A2@2")  # and the younger has not read of A1 yet
PLANS: dict[str, Bounds] = {
    "one": Bounds(),
    "late": Bounds(failures=0, late=2, rests=1),
    "leaves": Bounds(leaves=1),
    "restart": Bounds(starts=2, kills=1),
    "alone": Bounds(starts=2, kills=1, shared=False),
    "stop": Bounds(starts=2, terms=1, shared=False, rests=2),
    "upgrade": Bounds(begin=TWO, starts=2),
    "upgrade-term": Bounds(begin=TWO, starts=2, terms=1, looks=1),
    "upgrade-kill": Bounds(begin=TWO, starts=2, kills=1, looks=1),
    "upgrade-late": Bounds(begin=TWO, starts=2, terms=1, failures=0, late=1, rests=1, looks=1),
    "three": Bounds(begin=TWO, starts=3, kills=2, terms=1, looks=2),
    "all": Bounds(begin=TWO, starts=4, kills=2, terms=2, failures=2, late=1, rests=3, looks=3, leaves=1),
    "pair": Bounds(messages=PAIR),
    "pair-late": Bounds(messages=PAIR, failures=0, late=1),
    "pair-restart": Bounds(messages=PAIR, starts=2, kills=1),
    "pair-hand-over": Bounds(messages=PAIR, begin=(*MET, *WAITING), starts=2, terms=1, failures=0, looks=1),
    "pair-unmet": Bounds(messages=PAIR, begin=TWO, starts=2, failures=0),
    "pair-third": Bounds(
        messages=PAIR, begin=(*MET, *HELD_BY_YOUNGER), starts=3, kills=1, failures=0, looks=1, prompt=True
    ),
    "pair-third-unmet": Bounds(messages=PAIR, begin=(*MET, *HELD_BY_ELDER), starts=3, kills=1, failures=0),
    "pair-upgrade": Bounds(messages=PAIR, begin=MET, starts=2, kills=1, looks=1),
}
