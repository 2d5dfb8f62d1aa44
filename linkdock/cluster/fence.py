"""The check at whoever holds a resource: an older token than the highest seen is refused, whatever is believed."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from .errors import Fenced
from .leases import MOST_NAME

MOST_RESOURCES = 4096


class _Seen(msgspec.Struct, array_like=True):
    floor: int = 0  # the highest token that was forgotten to keep the bound
    tokens: dict[str, tuple[int, str]] = {}  # of each resource: the highest token and its holder


class Fence:
    """The highest token seen of each resource, kept with the resource.

    `load` gives what `save` was given last, or None; `save` returns once that is durable, or raises. One log's tokens
    only: those of a cluster that was founded anew begin at 1 again, so its resources need a new place too.
    """

    def __init__(
        self, load: Callable[[], bytes | None], save: Callable[[bytes], None], most: int = MOST_RESOURCES
    ) -> None:
        """Raises ValueError if what is kept cannot be read: nothing may then be done under any token."""
        self._save, self._most = save, most
        data = load()
        try:
            self._seen = _Seen(0, {}) if data is None else msgspec.msgpack.decode(data, type=_Seen)
        except (msgspec.MsgspecError, ValueError) as bad:
            raise ValueError(f"the tokens seen cannot be read: {bad}") from None

    def check(self, resource: str, token: int, holder: str) -> None:
        """Before each act on `resource`. Raises Fenced, or what `save` raises; then the act must not be done."""
        if not 0 < len(resource.encode()) <= MOST_NAME:
            raise ValueError(f"a resource's name must have 1 to {MOST_NAME} bytes")
        seen = self._seen
        highest, whose = seen.tokens.get(resource, (seen.floor, ""))
        if token < highest or token == highest and holder != whose:
            raise Fenced(f"{resource}: token {token} of {holder}, seen is {highest}")
        if token == highest:
            return
        tokens, floor = {**seen.tokens, resource: (token, holder)}, seen.floor
        if len(tokens) > self._most:
            # Danger: a resource that is forgotten would take any token. The floor stands for it; its holder may have
            # to ask for a new lease, and nobody gets in with an old one.
            oldest = min((name for name in tokens if name != resource), key=lambda name: tokens[name][0])
            floor = max(floor, tokens.pop(oldest)[0])
        self._keep(_Seen(floor, tokens))

    def _keep(self, seen: _Seen) -> None:
        # Danger: let in first and kept afterwards, a crash between the two would let an older holder in again.
        self._save(msgspec.msgpack.encode(seen))
        self._seen = seen
