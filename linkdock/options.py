"""The files under `deploy/` that switch on what the platform does not need: found, and read only if on.

Each subsystem has a file of its own there, one JSON object with at least `on`. `LINKDOCK_DEPLOY` names another
folder. Danger: what is off must cost nothing, so that nothing but `json` is imported to see that it is off.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from pathlib import Path

from .errors import LinkdockError

FOLDER = Path(__file__).parent.parent / "deploy"


class OptionError(LinkdockError, ValueError):
    """A file that cannot be read, or a key in it that cannot be right. The text names both."""

    code = "LD-OPTION"
    what = "a file under deploy/ cannot be read, or a key in it cannot be right"
    remedy = "Correct what the line names by that file's schema in deploy/schema, or set `on` to false, and start again"


def path_of(name: str, environ: Mapping[str, str] = os.environ) -> Path:
    """Where the file that switches on the part `name` lies, whether or not it is there."""
    return Path(environ.get("LINKDOCK_DEPLOY") or FOLDER) / f"{name}.json"


def switched_on(name: str, environ: Mapping[str, str] = os.environ) -> bytes | None:
    """The text of the subsystem's file if it says `"on": true`; None where it is off or there is no file.

    Raises OptionError for a file that is no JSON object, or whose `on` is neither true nor false.
    """
    path = path_of(name, environ)
    try:
        text = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as bad:
        raise OptionError(f"{path}: {bad.strerror}") from None
    try:
        told = json.loads(text)
    except (ValueError, RecursionError) as bad:
        raise OptionError(f"{path}: no JSON: {bad}") from None
    if not isinstance(told, dict):
        raise OptionError(f"{path}: must be an object")
    on = told.get("on", False)
    if not isinstance(on, bool):
        raise OptionError(f"{path}: on must be true or false, not {on!r}")
    return text if on else None
