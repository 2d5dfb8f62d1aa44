"""The membership's stories on a virtual clock, by a command: one seed is one schedule.

`python -m linkdock.lab.virtual_members --seed N --size 200 --story NAME` plays one story and prints what it measured.
"""

from __future__ import annotations

import argparse
import json
import sys

from ..cluster.members.settings import MembersSettings
from ..cluster.members.swim import Swim
from .virtual_members_stories import STORIES


def main() -> None:
    """Run what the command line asks for."""
    asked = argparse.ArgumentParser(prog="linkdock.lab.virtual_members", description=__doc__)
    asked.add_argument("--seed", type=int, default=1)
    asked.add_argument("--seeds", type=int, default=1, help="so many seeds from --seed on")
    asked.add_argument("--size", type=int, default=20)
    asked.add_argument("--story", choices=sorted(STORIES), default="crash")
    asked.add_argument("--plain", action="store_true", help="SWIM without Lifeguard")
    told = asked.parse_args()
    failed = 0
    for seed in range(told.seed, told.seed + told.seeds):
        result = STORIES[told.story](seed, told.size, MembersSettings(lifeguard=not told.plain), Swim)
        failed += bool(result["broken"])
        print(json.dumps({"story": told.story, "seed": seed, "size": told.size, **result}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
