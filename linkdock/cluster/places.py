"""Who should decide: an odd number of processes, spread over the zones. A pure function, one step at a time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from .interface import Config, Rumour, Standing, name_of

MOST_LEARNERS = 512


def who_votes(
    view: Mapping[str, Rumour], config: Config, me: str, wanted: int, gone: Collection[str], caught_up: Collection[str]
) -> Config | None:
    """The next Config, one voter or learner away from `config`, or None if nothing is to be done.

    `me` leads. `gone`: ids that have failed or left for longer than the stated time. `caught_up`: learners that hold
    (nearly) all of the log. Danger: a step without a majority there could not be committed, and would block all others.
    """
    alive = {peer_id for peer_id, rumour in view.items() if rumour.standing is Standing.ALIVE} | {me}
    voters, learners = set(config.voters), set(config.learners)
    if 2 * len(voters & alive) <= len(voters):
        return None
    lives = {name_of(peer_id): peer_id for peer_id in sorted(alive)}

    def over(peer_id: str) -> bool:
        """It does not come back: another life of its name is there, so that its folder is lost; or it is long gone."""
        return peer_id not in alive and (peer_id in gone or lives.get(name_of(peer_id), peer_id) != peer_id)

    def zone(peer_id: str) -> str:
        return view[peer_id].peer.zone if peer_id in view else ""

    lost = sorted(peer_id for peer_id in voters if over(peer_id))
    ready = sorted(peer_id for peer_id in learners & alive & set(caught_up) if peer_id in view)
    filled = Counter(zone(peer_id) for peer_id in voters - set(lost))
    ready.sort(key=lambda peer_id: filled[zone(peer_id)])  # the zone with the fewest first

    def with_voter(peer_id: str) -> Config:
        return _made(voters | {peer_id}, learners - {peer_id})

    if lost and ready:
        # Out first: with one more voter and one dead, a majority would need one more of those alive than now.
        return _made(voters - {lost[0]}, learners)
    # Danger: two voters decide nothing without both. The second one comes only if a third is ready to follow.
    missing = wanted - len(voters)
    if missing > 0 and ready and (len(voters) % 2 == 0 or len(ready) >= 2 and missing >= 2):
        return with_voter(ready[0])
    if missing == 0 and ready and not lost:
        # A zone with two voters more than another that could have one: one more there, then one less here.
        if max(filled.values()) - filled[zone(ready[0])] >= 2:
            return with_voter(ready[0])
    if missing < 0:
        others = sorted(voters - {me}, key=lambda peer_id: (peer_id in alive, -filled[zone(peer_id)], peer_id))
        return _made(voters - {others[0]}, learners | ({others[0]} & alive))
    dead = sorted(peer_id for peer_id in learners if over(peer_id))
    if dead:
        return _made(voters, learners - {dead[0]})
    new = sorted(alive - voters - learners)
    if new and len(learners) < MOST_LEARNERS:
        return _made(voters, learners | {new[0]})
    return None


def _made(voters: set[str], learners: set[str]) -> Config:
    return Config(tuple(sorted(voters)), tuple(sorted(learners)))
