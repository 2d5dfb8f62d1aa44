"""Whether this process takes clients: the states between `standby`, `active` and the end. No I/O, no clock.

    TAKING --standby--> EMPTYING --active--> TAKING;   any --stop--> STOPPING, which nothing leaves

Danger: a client whose request crosses the close of its connection. So what is idle is closed only if nothing has come
on it, what is in use after its answer, and one that is new has a while for its first command.
"""

from __future__ import annotations

TAKING, EMPTYING, STOPPING = "taking clients", "standby", "stopping"

STANDBY_GRACE = 1.0  # seconds after `standby` in which what still comes is served; later it is denied
FIRST_COMMAND_TIMEOUT = 1.0  # seconds that a new connection has for its first command meanwhile
RETRY_AFTER = 1.0  # seconds after which one that is denied should come back, by then to another sender


class ServingMode:
    """Times are seconds of one clock that never runs back."""

    again = RETRY_AFTER

    def __init__(self) -> None:
        """Begin by taking clients."""
        self.state, self._since = TAKING, 0.0

    @property
    def taking(self) -> bool:
        """Whether clients are taken."""
        return self.state is TAKING

    def sends_away(self) -> str | None:
        """Why clients are told to go elsewhere. Not while stopping: what comes until the end is served."""
        return EMPTYING if self.state is EMPTYING else None

    def standby(self, now: float) -> bool:
        """Whether it begins; a second one changes nothing, not even what the first one's lag is counted from."""
        if self.state is not TAKING:
            return False
        self.state, self._since = EMPTYING, now
        return True

    def active(self) -> bool:
        """Whether clients are taken from now on; not once the process is stopping."""
        if self.state is EMPTYING:
            self.state = TAKING
        return self.state is TAKING

    def stop(self) -> None:
        """The process is stopping; nothing changes that."""
        self.state = STOPPING

    def denies(self, now: float) -> bool:
        """Whether messages are turned away: in standby, once the front must have heard the no."""
        return self.state is EMPTYING and now - self._since > STANDBY_GRACE
