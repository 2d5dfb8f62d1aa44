"""Every decision of linkdock. Settings, events and actions: `linkdock/interface.py`.

Ordinary path: a message goes to its destination by one call that may last tau, Danzig's equation (3) over
the destination's running loss p, service time x and round trip 2y. Guards stand around it. Each class adds a
layer and calls only those below: State, Pace, ColdReturn, Health, Dispatch, Relay.
"""

from .cold import PART_MOST
from .pace import FLOOR, tau
from .relay import Relay

__all__ = ["FLOOR", "PART_MOST", "Relay", "tau"]
