"""What the command `linkdock` refuses. Each is one line with exit status 2: what is wrong, a code, what to do."""

from __future__ import annotations

import click

from ..errors import LinkdockError, exit_line


class MissingPackagesError(LinkdockError):
    """A library that this command needs is not installed."""

    code = "LD-COMMAND-PACKAGES"
    what = "a command needs libraries that are not installed"
    remedy = "Install the requirements file that the line names: `.venv/bin/pip install -r FILE`"

    def __init__(self, file: str, bad: ImportError, who: str = "this command") -> None:
        """`file` lists the missing packages; `who` needs them."""
        super().__init__(f"{who} needs the packages of {file}: {bad}")


class NothingFoundError(LinkdockError):
    """What was asked for is not in the file."""

    code = "LD-COMMAND-NOTHING"
    what = "what a command was asked for is not in the file that it was given"
    remedy = "Look at the id, and whether the file is that of the right sender and time"


class BadUseError(LinkdockError):
    """Options that do not go together, or a folder that is not there."""

    code = "LD-COMMAND-USE"
    what = "a command was given options that cannot be followed"
    remedy = "Correct what the line names; the command's `--help` lists its options"


def refusal(error: Exception) -> click.UsageError:
    """To be raised in the error's place: click prints it and ends with status 2."""
    return click.UsageError(exit_line(error))
