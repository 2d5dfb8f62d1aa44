"""`linkdock undeliverable`: what could not be delivered, and what operators may do with it."""

from __future__ import annotations

import base64
import getpass
import json
import re
import time
from collections.abc import Callable
from functools import wraps
from pathlib import Path

import click

from ..errors import LinkdockError
from .refusals import BadUseError, MissingPackagesError, NothingFoundError, refusal

AGE = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,6})?)([smhd])\Z")
SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class Age(click.ParamType):
    """A time span such as 90s, 15m, 12h, 3d; becomes seconds."""

    name = "age"

    def convert(self, value: object, param: object, ctx: object) -> float:
        """The seconds of an age such as `15m`."""
        found = AGE.match(str(value))
        if not found:
            self.fail(f"{value!r} is no age such as 90s, 15m, 12h or 3d")
        return float(found[1]) * SECONDS[found[2]]


def filters(command: Callable) -> Callable:
    """The options by which messages are chosen, as one `which`."""

    @click.option("--destination", type=int, help="Of this destination.")
    @click.option("--class", "cls", help="Of this class.")
    @click.option("--cause", type=click.Choice(["deferred", "undeliverable"]), help="By the end that was told.")
    @click.option("--older", type=Age(), help="Ended longer ago than this, such as 12h.")
    @click.option("--newer", type=Age(), help="Ended less long ago than this.")
    @click.option("--doubt/--no-doubt", default=None, help="Only those in doubt, or only the others.")
    @click.option("--id", "name", help="This one.")
    @click.option("--dropped", is_flag=True, help="Also those that were dropped.")
    @wraps(command)
    def with_filters(
        destination: int | None,
        cls: str | None,
        cause: str | None,
        older: float | None,
        newer: float | None,
        doubt: bool | None,
        name: str | None,
        dropped: bool,
        **more,
    ) -> None:
        from ..undeliverable.store import Filter

        now = time.time()
        command(
            which=Filter(
                destination=destination,
                cls=cls,
                cause=cause,
                doubt=doubt,
                id=name,
                state=None if dropped else "kept",
                before=None if older is None else now - older,
                since=None if newer is None else now - newer,
            ),
            **more,
        )

    return with_filters


def opened(path: Path, write: bool = False):
    """The store. What cannot be used is a usage error."""
    try:
        from ..undeliverable.store import Store, StoreError
    except ImportError as bad:
        raise refusal(MissingPackagesError("requirements-console.txt", bad)) from None
    try:
        if write and not path.exists():
            raise StoreError(f"{path}: no such file")
        return Store(path, write)
    except StoreError as bad:
        raise refusal(bad) from None


def usable(command: Callable) -> Callable:
    """What the store refuses is told in one line, with exit status 2."""

    @wraps(command)
    def told(*words, **options) -> None:
        try:
            command(*words, **options)
        except ImportError as bad:
            raise refusal(MissingPackagesError("requirements-console.txt", bad)) from None
        except LinkdockError as bad:
            raise refusal(bad) from None

    return told


def plain(message, said: list, body: bool = False) -> dict:
    """A message as JSON tells it."""
    from ..undeliverable.facts import in_doubt, may_be_sent_again

    told = {
        "id": message.id,
        "key": message.key,
        "class": message.cls,
        "destination": message.destination,
        "cause": message.cause,
        "ended": message.ended,
        "until": message.until,
        "state": message.state,
        "attempts": [{"number": a.number, "proof": a.proof} for a in message.attempts],
        "in doubt": in_doubt(message, said),
        "not sent again because": may_be_sent_again(message, said),
        "statements": [{"at": s.at, "who": s.who, "why": s.why, "proof": s.proof} for s in said],
        "bytes": len(message.body),
    }
    if body:
        told["body"] = base64.b64encode(message.body).decode()
    return told


@click.group()
def undeliverable() -> None:
    """Messages that could not be delivered: what is kept of them. FILE is the sender's store."""


FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@undeliverable.command("list")
@FILE
@filters
@click.option("--most", default=50, show_default=True, type=click.IntRange(1, 1_000_000), help="How many.")
@JSON
@usable
def list_(file: Path, which, most: int, as_json: bool) -> None:
    """One line for each message, the oldest end first."""
    store = opened(file)
    told = [plain(m, said) for m, said in store.find(which, most)]
    store.close()
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return
    for row in told:
        doubt = "in doubt" if row["in doubt"] else row["not sent again because"] or "may be sent again"
        click.echo(
            f"{row['id']}  {time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(row['ended']))}Z  "
            f"{row['class']}  to {row['destination']}  {row['cause']}  {len(row['attempts'])} attempts  {doubt}"
        )


@undeliverable.command()
@FILE
@click.argument("name", metavar="ID")
@usable
def show(file: Path, name: str) -> None:
    """All that is known of one message, its body with it, as JSON."""
    from ..undeliverable.store import Filter

    store = opened(file)
    told = [plain(m, said, body=True) for m, said in store.find(Filter(id=name, state=None))]
    store.close()
    if not told:
        raise refusal(NothingFoundError(f"{file}: no message {name}"))
    click.echo(json.dumps(told, indent=2))


@undeliverable.command()
@FILE
@usable
def stats(file: Path) -> None:
    """By destination, class and cause: how many, how many in doubt, bytes, the oldest's age. JSON."""
    store = opened(file)
    click.echo(json.dumps(store.stats(), indent=2))
    store.close()


@undeliverable.command()
@FILE
@click.argument("name", metavar="ID")
@click.option("--never-ran", "proof", flag_value="never ran", help="It is certain that it did not take effect.")
@click.option("--ran", "proof", flag_value="ran", help="It is certain that it did.")
@click.option("--who", default=getpass.getuser, help="Who says so; by default the user.")
@click.option("--why", required=True, help="How that is known.")
@usable
def resolve(file: Path, name: str, proof: str | None, who: str, why: str) -> None:
    """End a message's doubt by a signed statement, which stays on record. Nothing else ends it."""
    from ..undeliverable.facts import Statement
    from ..undeliverable.store import Filter

    if proof is None:
        raise refusal(BadUseError("say --never-ran or --ran"))
    if not why.strip() or not who.strip():
        raise refusal(BadUseError("--who and --why must say something"))
    store = opened(file, write=True)
    doubtful = [m for m, _ in store.find(Filter(id=name, doubt=True))]
    if not doubtful:
        raise refusal(NothingFoundError(f"{file}: no message {name} that is in doubt"))
    for message in doubtful:
        store.state(message, Statement(who=who, why=why, at=time.time(), proof=proof, upto=len(message.attempts)))
    store.close()
    click.echo(f"{name}: {proof}, by {who}")


@undeliverable.command()
@FILE
@filters
@click.option("--batch", help="A name; one asked for before changes nothing. By default the time and the user.")
@click.option("--who", default=getpass.getuser, help="Who asks; by default the user.")
@click.option("--yes", is_flag=True, help="Do it; else it is only said what would be done.")
@JSON
@usable
def resend(file: Path, which, batch: str | None, who: str, yes: bool, as_json: bool) -> None:
    """Put messages in line to be sent again by the sender in whose folder FILE lies. Those in doubt never are."""
    from ..undeliverable.facts import may_be_sent_again

    store = opened(file, write=True)
    found = list(store.find(which))
    if yes:
        batch = batch or f"{time.strftime('%Y%m%dT%H%M%SZ', time.gmtime())}-{who}"
        count, refused = store.ask(batch, who, [m for m, _ in found])
    else:
        whys = [may_be_sent_again(m, said) for m, said in found]
        count = whys.count(None)
        refused = {why: whys.count(why) for why in whys if why is not None}
    store.close()
    if as_json:
        click.echo(json.dumps({"batch": batch, "in line" if yes else "would be sent": count, "not": refused}))
        return
    click.echo(f"{count} put in line as {batch}" if yes else f"{count} would be sent; say --yes")
    for why, much in refused.items():
        click.echo(f"{much} not: {why}")


@undeliverable.command()
@FILE
@filters
@click.option("--yes", is_flag=True, help="Do it; else it is only said what would be done.")
@usable
def drop(file: Path, which, yes: bool) -> None:
    """Never to be sent again. Without --yes nothing is changed."""
    store = opened(file, write=True)
    messages = [m for m, _ in store.find(which)]
    if yes:
        click.echo(f"{store.drop(messages)} dropped")
    else:
        click.echo(f"{len(messages)} would be dropped; say --yes")
    store.close()


@undeliverable.command()
@FILE
@click.argument("to", type=click.Path(path_type=Path, dir_okay=False))
@filters
@usable
def export(file: Path, to: Path, which) -> None:
    """Write messages with their bodies to TO: JSON Lines, or Parquet if its name ends with .parquet."""
    if not to.absolute().parent.is_dir():
        raise refusal(BadUseError(f"{to}: no such folder"))
    store = opened(file)
    rows = (plain(m, said, body=True) for m, said in store.find(which))
    count = 0
    if to.suffix == ".parquet":
        try:
            import pyarrow as pa
            import pyarrow.parquet as pq
        except ImportError as bad:
            raise refusal(MissingPackagesError("requirements-lab.txt", bad, "Parquet")) from None
        flat = [
            {**row, "attempts": json.dumps(row["attempts"]), "statements": json.dumps(row["statements"])}
            for row in rows
        ]
        count = len(flat)
        pq.write_table(pa.Table.from_pylist(flat), to)
    else:
        with to.open("w") as out:
            for row in rows:
                out.write(json.dumps(row) + "\n")
                count += 1
    store.close()
    click.echo(f"{count} written to {to}")
