"""An image on its way: cut into pieces by a leader, put together by a follower."""

from __future__ import annotations

import msgspec

from ..interface import Image, Install

_IMAGE = msgspec.msgpack.Decoder(Image)


class Outgoing:
    """A leader's side for one follower. The image is pinned: a newer one does not begin it again."""

    def __init__(self, image: Image, whole: bytes, round: int) -> None:
        """Begin to send `image`, of which `whole` is the encoded form, in the heartbeat round `round`."""
        self.index, self.term, self.whole = image.index, image.term, whole
        self.sent = self.acked = 0  # bytes: handed out, known to be there
        self.first = self.back = round  # answers of rounds before the first are of something else
        self.moved = True  # since the last beat

    def answered(self, at: int, round: int) -> None:
        """The follower holds `at` bytes. It may be fewer than before: it has started again."""
        if round < self.first or not 0 <= at <= len(self.whole):
            return
        if at > self.acked:
            self.acked, self.moved = at, True
            self.sent = max(self.sent, at)
        elif at < self.acked and round > self.back:
            self.acked = self.sent = at
            self.back = round

    def pieces(self, term: int, round: int, beat: bool, size: int, most: int) -> list[Install]:
        """What goes now: at most `most` pieces are out; if nothing has moved between two beats they go again."""
        if beat and not self.moved:
            self.sent = self.acked
        if beat:
            self.moved = False
        out = []
        while self.sent < len(self.whole) and self.sent - self.acked < most * size:
            out.append(self._piece(term, round, self.sent, size))
            self.sent += len(out[-1].piece)
        if beat and not out:
            out.append(self._piece(term, round, self.acked, 0))
        return out

    def _piece(self, term: int, round: int, at: int, size: int) -> Install:
        return Install(term, self.index, self.term, at, len(self.whole), self.whole[at : at + size], round)


class Incoming:
    """A follower's side. Only one image of one leader is put together at a time."""

    def __init__(self) -> None:
        """Nothing is held yet."""
        self.key: tuple[int, int, int, int] | None = None
        self.held = bytearray()

    def clear(self) -> None:
        """Drop what was held of an unfinished image."""
        self.key, self.held = None, bytearray()

    def take(self, message: Install) -> Image | int:
        """The whole image, or how many bytes of it are held. Pieces that do not go on from there are dropped."""
        key = (message.term, message.index, message.image_term, message.size)
        if key != self.key:
            self.key, self.held = key, bytearray()
        if message.at == len(self.held):
            self.held += message.piece
        if len(self.held) < message.size:
            return len(self.held)
        whole = bytes(self.held)
        self.clear()
        try:
            image = _IMAGE.decode(whole)
        except msgspec.MsgspecError:
            return 0
        right = (image.index, image.term) == (message.index, message.image_term) and image.config.voters
        return image if right else 0
