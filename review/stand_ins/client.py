"""A client's connection to the sender, in RESP2."""

from __future__ import annotations

import socket

CLIENT_WAITS = 0.4  # seconds that a client waits for its answer


def enqueue(
    name: str,
    cls: str,
    milliseconds: int,
    destination: int,
    body: bytes,
    key: str = "0" * 16,
    idempotency_key: str = "",
) -> bytes:
    """The bytes of one request. `key` is that of the order; the idempotency key is named if there is one."""
    pairs = f"c={cls},d={milliseconds},{f'k={idempotency_key},' if idempotency_key else ''}dest={destination}".encode()
    words = [b"ENQUEUE", key.encode(), name.encode(), pairs, body]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Client:
    """One connection. What is heard on it is read line by line."""

    def __init__(self, dial: tuple[str, int]) -> None:
        """Connect to the sender; raises OSError where nobody listens."""
        self._sock = socket.create_connection(dial, timeout=5.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._data = b""

    def send(self, data: bytes) -> None:
        """Write; raises OSError where the connection has ended."""
        self._sock.sendall(data)

    def heard(self, seconds: float = CLIENT_WAITS) -> str | None:
        """The next line; None if the time is up. Raises ConnectionError where the connection has ended."""
        self._sock.settimeout(seconds)
        while b"\r\n" not in self._data:
            try:
                data = self._sock.recv(65536)
            except TimeoutError:
                return None
            if not data:
                raise ConnectionError("ended")
            self._data += data
        line, _, self._data = self._data.partition(b"\r\n")
        return line.decode("ascii", "replace")

    def close(self) -> None:
        """End the connection."""
        self._sock.close()
