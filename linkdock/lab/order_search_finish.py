"""How a world of the order search comes to its end: a fair schedule in which nothing fails any more."""

from __future__ import annotations

from .order_search_referee import Heard
from .order_search_world import World

ROUNDS = 60  # in which all is served that can be,
LAST_ROUNDS = 30  # and after the end of all messages' time, in which their notices are answered
REST_EVERY = 4  # rounds between two rests
BEYOND = 30.0  # seconds after which every message's time is over
FAIR = ("go", "ok", "confirm")


def finish(world: World) -> None:
    """Play the rest: somebody lives, each call is answered 200, each notice 204. Raises RuleBrokenError."""
    for number in range(ROUNDS):
        if not world.living():
            world.apply("start")
        _play(world, FAIR)
        for program in world.living():
            if program.alive:
                world.apply(f"beat {program.number}")
        if number % REST_EVERY == REST_EVERY - 1:
            world.apply("rest")
        if all(message.over or message.heard is Heard.NOT_HANDED_IN for message in world.messages):
            return
    world.all_beat(BEYOND)
    for _ in range(LAST_ROUNDS):
        _play(world, ("confirm",))
        world.apply("rest")
    world.referee.all_ended()


def _play(world: World, kinds: tuple[str, ...]) -> None:
    """Every event of these kinds that may come now, and still may once those before it have come."""
    for event in list(world.enabled()):
        if event.split()[0] in kinds and event in world.enabled():
            world.apply(event)
