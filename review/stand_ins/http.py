"""HTTP/1.1 as the stand-ins for endpoints and for the platform read and write it."""

from __future__ import annotations

import socket
from typing import NamedTuple


class Request(NamedTuple):
    """One whole request; names of headers in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Line:
    """One accepted connection, read request by request."""

    def __init__(self, sock: socket.socket) -> None:
        """Speak over `sock`."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._data = b""

    def request(self) -> Request | None:
        """The next whole request; None once the other side has ended the connection."""
        while (end := self._data.find(b"\r\n\r\n")) < 0:
            if not self._more():
                return None
        first, *lines = self._data[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        whole = end + 4 + int(headers.get("content-length", 0))
        while len(self._data) < whole:
            if not self._more():
                return None
        body, self._data = self._data[end + 4 : whole], self._data[whole:]
        method, path, _ = first.split(" ", 2)
        return Request(method, path, headers, body)

    def _more(self) -> bool:
        try:
            data = self.sock.recv(65536)
        except OSError:
            return False
        self._data += data
        return bool(data)

    def answer(self, status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bool:
        """Write an answer; whether the connection was still there."""
        head = [f"HTTP/1.1 {status} Told", f"Content-Length: {len(body)}"]
        head += [f"{name}: {value}" for name, value in (headers or {}).items()]
        return self.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    def write(self, data: bytes) -> bool:
        """Write all of it; whether the connection was still there."""
        try:
            self.sock.sendall(data)
        except OSError:
            return False
        return True

    def ended(self, seconds: float) -> bool:
        """Wait so long at the most for the other side to end the connection; whether it did."""
        self.sock.settimeout(max(seconds, 0.001))
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            return False
        except OSError:
            return True
        finally:
            try:
                self.sock.settimeout(None)
            except OSError:
                pass

    def close(self) -> None:
        """End the connection."""
        self.sock.close()


def listen() -> socket.socket:
    """A listening socket on a free port of the loopback address."""
    return socket.create_server(("127.0.0.1", 0), backlog=128)


def address(sock: socket.socket) -> str:
    """Its address as the platform writes it."""
    host, port = sock.getsockname()
    return f"{host}:{port}"
