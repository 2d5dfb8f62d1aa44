"""What a sender holds of the destinations it has called: bytes of one awake, of one asleep.

Awake: the decisions' own objects after a call to each (`facade.Facade`, one server each). Asleep: the packed facts of
`dormancy/memory.py` after the sleeper took them over. The list itself is not in these figures.
"""

from __future__ import annotations

from ...dormancy.memory import Facts, LinkFacts, Store
from .decisions import Driver, settings
from .measuring import grown
from .rows import Figure

CLASSES = 2


def awake(size: int, seed: int) -> Driver:
    """A sender that has called each destination once."""
    driver = Driver(settings(), seed, size)
    driver.list_all()
    for n in range(size):
        driver.hand_in(n, 0)
        if n % 50 == 49:
            driver.go_on(0.1)
    driver.go_on(5.0)
    driver.forget_messages()
    return driver


def asleep(size: int) -> Store:
    """A store that holds the facts of so many destinations asleep, one server each."""
    store = Store(CLASSES, size)
    for n in range(size):
        link = LinkFacts(n % 3 == 0, 0.0, 1.0, 40.0, 1.0, 0.05, 0.0, [(0.1, 0.0, 0.3), (0.2, 0.01, 0.5)])
        store.keep(n, Facts(float(n), 3.0, 0.0, {f"s-{n:08x}": link}))
    return store


def measure(size: int, seed: int) -> list[Figure]:
    """Bytes of so many destinations, awake and asleep."""
    of_awake, driver = grown(lambda: awake(size, seed))
    of_asleep, _ = grown(lambda: asleep(size))
    assert len(driver.facade.awake()) == size
    return [
        Figure("memory awake", "B", of_awake),
        Figure("memory awake a destination", "B", of_awake / size),
        Figure("memory asleep", "B", of_asleep),
        Figure("memory asleep a destination", "B", of_asleep / size),
    ]
