"""Planted faults of the order search, by name: each is a patch of the program while a search runs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..decisions.dispatch import Dispatch
from ..sender.ends import Ends
from ..sender.recovery import Recovery
from ..sender.sender import Sender
from ..service.shift import Shift
from ..state.journal import Journal
from ..state.journal_records import Kept
from .order_search_referee import Check

Patch = tuple[type, str, Callable[[Any], Any]]  # where, which method, and what it becomes


@dataclass(frozen=True)
class Fault:
    """What is wrong, the plan of a search that is enough to find it, and the check that does."""

    text: str
    plan: str
    check: Check
    patches: tuple[Patch, ...]

    @contextmanager
    def planted(self) -> Iterator[None]:
        """The program has the fault meanwhile."""
        before = [(owner, name, vars(owner)[name]) for owner, name, _ in self.patches]
        for owner, name, patch in self.patches:
            setattr(owner, name, patch(vars(owner)[name]))
        try:
            yield
        finally:
            for owner, name, value in before:
                setattr(owner, name, value)


def _passes_on_at_its_end(end: Callable) -> Callable:
    def ended(self: Dispatch, message: Any) -> None:
        self.unsettled.pop(message.id, None)
        end(self, message)

    return ended


def _taken_up_as_new(take_up: Callable) -> Callable:
    def taken(self: Recovery, left: Iterable[Kept]) -> None:
        left = list(left)
        for kept in left:
            kept.taken_at = self._context.journal.stamp()
        take_up(self, left)

    return taken


def _taken_up_by_id(take_up: Callable) -> Callable:
    def taken(self: Recovery, left: Iterable[Kept]) -> None:
        _taken_up_as_new(take_up)(self, sorted(left, key=lambda kept: kept.id, reverse=True))

    return taken


def _handed_over_and_kept(hand_over: Callable) -> Callable:
    def handed(self: Recovery, busy: Callable[[str], bool], give: Callable[[list[str]], bool]) -> None:
        hand_over(self, busy, lambda requests: give(requests) and False)

    return handed


def _moved_and_kept(hand_over: Callable) -> Callable:
    def handed(self: Journal, requests: list[str], beside: Path, path: Path) -> bool:
        kept = dict(self.kept)
        done = hand_over(self, requests, beside, path)
        self.kept = kept
        return done

    return handed


def _only_in_memory(take: Callable) -> Callable:
    def taken(self: Journal, kept: Kept) -> bool:
        self.kept[kept.id] = kept
        return True

    return taken


def _nothing(method: Callable) -> Callable:
    return lambda self, *told: None


def _no(method: Callable) -> Callable:
    return lambda self, *told: False


def _yes(method: Callable) -> Callable:
    return lambda self, *told: True


FAULTS: dict[str, Fault] = {
    "give-up-passes-the-key": Fault(
        "the key passes on when the decisions give a message up, not when its notice is confirmed",
        "pair",
        Check.NOT_OVER,
        ((Dispatch, "end", _passes_on_at_its_end),),
    ),
    "adopted-behind-newer": Fault(
        "what a dead process left queues behind what the survivor has taken itself",
        "pair-upgrade",
        Check.NOT_OVER,
        ((Recovery, "take_up", _taken_up_as_new),),
    ),
    "sibling-ignored": Fault(
        "a process takes no heed of what the other one holds",
        "pair-upgrade",
        Check.NOT_OVER,
        ((Sender, "held_elsewhere", _nothing),),
    ),
    "start-not-seen": Fault(
        "a process does not see before its next look that another has begun",
        "pair-unmet",
        Check.NOT_OVER,
        ((Shift, "_numbers_changed", _no),),
    ),
    "restart-sorts-by-id": Fault(
        "a restart takes up what is on record by its ids",
        "pair-restart",
        Check.NOT_OVER,
        ((Recovery, "take_up", _taken_up_by_id),),
    ),
    "time-out-frees-the-key": Fault(
        "the key is free when a call is given up, though its server has not met the close",
        "pair-late",
        Check.STILL_OUT,
        ((Ends, "call_began", _nothing), (Ends, "call_over", _nothing)),
    ),
    "attempt-not-on-record": Fault(
        "a first byte goes out without a record",
        "pair-restart",
        Check.REPEATED,
        ((Journal, "sent", _yes),),
    ),
    "handed-over-and-kept": Fault(
        "what is handed over stays with the process that gave it",
        "pair-hand-over",
        Check.TWO_OUT,
        ((Recovery, "hand_over", _handed_over_and_kept), (Journal, "hand_over", _moved_and_kept)),
    ),
    "taken-without-record": Fault(
        "a client hears +OK for a message that is not on record",
        "pair-restart",
        Check.NO_END,
        ((Journal, "take", _only_in_memory),),
    ),
}
