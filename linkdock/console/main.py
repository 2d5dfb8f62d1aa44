"""`linkdock`: one command with sub-commands. Each imports what it needs when it runs.

Exit status: 0 done, 1 done and faults were found, 2 for input that cannot be used.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from .. import __version__
from .refusals import MissingPackagesError, NothingFoundError, refusal
from .undeliverable import undeliverable

USAGE = 2


def say_json(told: object) -> None:
    """Print `told` as JSON."""
    click.echo(json.dumps(told, indent=2, sort_keys=False))


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(__version__, message="%(version)s")
def cli() -> None:
    """A sender that delivers messages by calls to backend servers. Without sub-commands: python -m linkdock."""


cli.add_command(undeliverable)


@cli.command()
def run() -> None:
    """Start one sender in the foreground, as `python -m linkdock` does."""
    from ..service.run import main

    sys.exit(main())


@cli.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path), metavar="FILE...")
@click.option("--message", metavar="ID", help="Tell the story of one message, event by event.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--most", default=20, show_default=True, type=click.IntRange(0, 1000), help="Findings that are printed one by one."
)
def audit(files: tuple[Path, ...], message: str | None, as_json: bool, most: int) -> None:
    """Judge the records in FILE...: messages with no end, two ends, a late end, or a forbidden repeat."""
    from ..records.audit import audit as judge
    from ..records.reading import Passed, ReadError, read

    passed = Passed()
    try:
        report, story = judge(read(list(files), passed), passed, message)
    except ReadError as bad:
        raise refusal(bad) from None
    if not report["senders"]:
        raise refusal(
            NothingFoundError(
                f"no event in {', '.join(map(str, files))}" + (f"; {passed.named[0]}" if passed.named else "")
            )
        )
    if message is not None and not story:
        raise refusal(NothingFoundError(f"no event of message {message}"))
    report["found"], cut = report["found"][:most], len(report["found"][most:]) + report["unnamed"]
    report["unnamed"] = cut
    if as_json:
        say_json(report if message is None else {**report, "story": story})
    else:
        _print_report(report)
        for event in story:
            _print_event(event, story[0]["unix"])
    sys.exit(1 if report["faults"] else 0)


@cli.command("connections")
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--server", metavar="NAME", help="Only this one.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def connections_seen(file: Path, server: str | None, as_json: bool) -> None:
    """Connections to each backend server: kept, opened, reused, how they ended. FILE is the sender's state file."""
    _show("connections", file, as_json, server)


@cli.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def clients(file: Path, as_json: bool) -> None:
    """Who is connected, who is known, and who was refused last and why. FILE is the sender's clients file."""
    _show("admission", file, as_json)


def _show(package: str, file: Path, as_json: bool, *more: object) -> None:
    """Read a state file by its package's view, and print it."""
    import importlib

    try:
        view = importlib.import_module(f"..{package}.view", __package__)
    except ImportError as bad:
        raise refusal(MissingPackagesError("requirements-console.txt", bad)) from None
    try:
        told = view.read(file, *more)
    except ValueError as bad:
        raise refusal(bad) from None
    if as_json:
        say_json(view.plain(told))
    else:
        for line in view.table(told):
            click.echo(line)


@cli.group()
def lab() -> None:
    """Experiments with emulated members, on loopback or a virtual clock. Needs requirements-lab.txt."""


@lab.command()
@click.option("--destinations", type=int, help="How many are listed.")
@click.option("--wake", type=int, help="How many wake inside one second.")
@click.option("--seeds", type=int, help="How many schedules.")
@click.option(
    "--plan",
    "file",
    type=click.Path(path_type=Path, dir_okay=False),
    help="A file with the experiment's " "figures as JSON; options go before it.",
)
@click.option("--process/--no-process", default=None, help="Whether a real sender is measured too.")
@click.option("--jobs", type=int, help="Processes that play schedules side by side.")
@click.option("--table", type=click.Path(path_type=Path), help="Write the runs as Parquet.")
@click.option("--plot", type=click.Path(path_type=Path), help="Write a plot as PNG.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def idle(
    destinations: int | None,
    wake: int | None,
    seeds: int | None,
    file: Path | None,
    process: bool | None,
    jobs: int | None,
    table: Path | None,
    plot: Path | None,
    as_json: bool,
) -> None:
    """Many idle destinations: memory, cost of a pass, latency, and a thousand waking inside one second."""
    try:
        from ..lab import idle as experiment
        from ..lab import results
    except ImportError as bad:
        raise refusal(MissingPackagesError("requirements-lab.txt", bad, "the laboratory")) from None
    options = {"destinations": destinations, "wake": wake, "seeds": seeds, "process": process, "jobs": jobs}
    try:
        plan = results.read_plan(file, experiment.Plan, {k: v for k, v in options.items() if v is not None})
        for path in (table, plot):
            results.can_write(path)
    except ValueError as bad:
        raise refusal(bad) from None
    with results.progress(not as_json) as said:
        report = experiment.run(plan, said)
    if table is not None:
        results.write_table(table, report)
    if plot is not None:
        results.write_plot(plot, report)
    say_json(report)


@lab.command()
@click.option("--seeds", type=int, help="How many schedules.")
@click.option("--plan", "file", type=click.Path(path_type=Path, dir_okay=False), help="A file of figures as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def connections(seeds: int | None, file: Path | None, as_json: bool) -> None:
    """Silent drops, a surge and a slow spell: a connection a call, the plain pool, the keeper, an oracle."""
    _experiment("connections", file, {"seeds": seeds}, as_json)


@lab.command()
@click.option("--flood", "rate", type=float, help="Connections a second.")
@click.option("--seeds", type=int, help="How many runs, each with the flood and without.")
@click.option("--gate/--no-gate", default=None, help="Whether the sender has its gate on.")
@click.option("--plan", "file", type=click.Path(path_type=Path, dir_okay=False), help="A file of figures as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def flood(rate: float | None, seeds: int | None, gate: bool | None, file: Path | None, as_json: bool) -> None:
    """A flood of connections against a real sender: known clients' service, and the cost of a refusal."""
    _experiment("flood", file, {"flood": rate, "seeds": seeds, "gate": gate}, as_json)


@lab.command()
@click.option("--seeds", type=int, help="How many outages.")
@click.option("--kills", type=int, help="How often the sender is killed while it sends again.")
@click.option("--plan", "file", type=click.Path(path_type=Path, dir_okay=False), help="A file of figures as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def outage(seeds: int | None, kills: int | None, file: Path | None, as_json: bool) -> None:
    """A member shuts and returns cold: what was kept is sent again amid kills. Does an order take effect twice?"""
    _experiment("outage", file, {"seeds": seeds, "kills": kills}, as_json)


@lab.command()
@click.option("--seconds", type=float, help="How long.")
@click.option("--plan", "file", type=click.Path(path_type=Path, dir_okay=False), help="A file of figures as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def soak(seconds: float | None, file: Path | None, as_json: bool) -> None:
    """A real sender among rough members for as long as told: do descriptors and memory stay flat?"""
    _experiment("soak", file, {"seconds": seconds}, as_json)


@lab.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first run's.")
@click.option("--runs", type=click.IntRange(1), default=10, show_default=True, help="How many, one a seed.")
@click.option("--jobs", type=click.IntRange(1, 16), default=3, show_default=True, help="Runs side by side.")
@click.option("--planted", help="A fault of linkdock/lab/restart_soak/planted.py that the program then has.")
@click.option(
    "--faults", help="Of the machine: clock,sockets,disk or some (linkdock/lab/restart_soak/system_faults.py)."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object a run.")
def restart_soak(seed: int, runs: int, jobs: int, planted: str | None, faults: str | None, as_json: bool) -> None:
    """Real processes under series of signals, kills, upgrades and a crowd: is any message lost, late or sent twice?"""
    try:
        from ..lab.restart_soak.command import report
        from ..lab.restart_soak.system_faults import KINDS
    except ImportError as bad:
        raise refusal(MissingPackagesError("requirements-lab.txt", bad, "the laboratory")) from None
    kinds = tuple(faults.split(",")) if faults else ()
    if not set(kinds) <= set(KINDS):
        raise click.BadParameter(f"there are {', '.join(KINDS)}", param_hint="--faults")
    if kinds and planted:
        raise click.UsageError("--planted and --faults do not go together")
    raise SystemExit(1 if report(seed, runs, jobs, planted, kinds, as_json, click.echo) else 0)


@lab.command()
@click.option("--senders", type=int, help="How many.")
@click.option("--seeds", type=int, help="How many schedules of each story.")
@click.option("--jobs", type=int, help="Processes that play schedules side by side.")
@click.option("--plan", "file", type=click.Path(path_type=Path, dir_okay=False), help="A file of figures as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def fleet(senders: int | None, seeds: int | None, jobs: int | None, file: Path | None, as_json: bool) -> None:
    """Many senders with little traffic each: what they do together to a member that returns, or halves its limit."""
    _experiment("fleet", file, {"senders": senders, "seeds": seeds, "jobs": jobs}, as_json)


@lab.command()
@click.option("--senders", type=int, help="How many.")
@click.option("--endpoints", type=int, help="How many, over all destinations.")
@click.option("--asking", type=click.Choice(["spread", "even"]), help="How discovery is asked: as now, or each 0.2 s.")
@click.option("--seeds", type=int, help="How many schedules of each story.")
@click.option("--jobs", type=int, help="Processes that play schedules side by side.")
@click.option("--plan", "file", type=click.Path(path_type=Path, dir_okay=False), help="A file of figures as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def grown(
    senders: int | None,
    endpoints: int | None,
    asking: str | None,
    seeds: int | None,
    jobs: int | None,
    file: Path | None,
    as_json: bool,
) -> None:
    """Few destinations with limits, a dear list, scarce connections: a release, an outage, lowered limits."""
    _experiment(
        "grown",
        file,
        {"senders": senders, "endpoints": endpoints, "asking": asking, "seeds": seeds, "jobs": jobs},
        as_json,
    )


@lab.command()
@click.argument("what", metavar="RUN|all|table|plot")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="One seed, one schedule.")
@click.option("--sizes", help="Sizes with commas between; else those of the run.")
@click.option("--seconds", type=click.FloatRange(1), default=600.0, show_default=True, help="Most for one size.")
@click.option("--memory-mb", type=click.FloatRange(50), default=3500.0, show_default=True, help="Most for one size.")
@click.option(
    "--results",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("docs/capacity"),
    show_default=True,
    help="Folder that results are written to, and read from by table and plot.",
)
@click.option("--page", type=click.Path(path_type=Path, dir_okay=False), help="With table: put them into this page.")
def scale(
    what: str, seed: int, sizes: str | None, seconds: float, memory_mb: float, results: Path, page: Path | None
) -> None:
    """What a fleet of the size to design for would cost: measure slopes, print tables and the plot from them."""
    try:
        from ..lab.scale.command import Asked, carry_out
    except ImportError as bad:
        raise refusal(MissingPackagesError("requirements-lab.txt", bad, "the laboratory")) from None
    try:
        click.echo(
            carry_out(
                Asked(what, seed, sizes, seconds, memory_mb, results, page), lambda text: click.echo(text, err=True)
            ),
            nl=False,
        )
    except ValueError as bad:
        raise refusal(bad) from None


def _experiment(name: str, file: Path | None, options: dict, as_json: bool) -> None:
    """Read the plan, run the experiment of that name and print its report."""
    import importlib

    try:
        experiment = importlib.import_module(f"..lab.{name}", __package__)
        from ..lab import results
    except ImportError as bad:
        raise refusal(MissingPackagesError("requirements-lab.txt", bad, "the laboratory")) from None
    try:
        plan = results.read_plan(file, experiment.Plan, {k: v for k, v in options.items() if v is not None})
    except ValueError as bad:
        raise refusal(bad) from None
    with results.progress(not as_json) as said:
        say_json(experiment.run(plan, said))


@lab.command()
@click.option("--rounds", type=int, help="How often each way is measured, in turn.")
@click.option("--against", help="Another tree of the program that is measured in turn, without records.")
@click.option("--plan", "file", type=click.Path(path_type=Path, dir_okay=False), help="A file of figures as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def records(rounds: int | None, against: str | None, file: Path | None, as_json: bool) -> None:
    """What records cost: messages a second and CPU for each, with and without."""
    _experiment("records", file, {"rounds": rounds, "against": against}, as_json)


def _print_report(report: dict) -> None:
    for name, counts in report["senders"].items():
        click.echo(f"sender {name}")
        for what, count in counts.items():
            click.echo(f"  {count:>8}  {what}")
    click.echo("ends, by how long before their time")
    for what, count in report["ends"].items():
        click.echo(f"  {count:>8}  {what}")
    if report["passed_over"]:
        click.echo(f"{report['passed_over']} lines were passed over")
        for line in report["passed_over_first"]:
            click.echo(f"  {line}")
    if not report["faults"]:
        click.echo("no fault")
    for what, count in report["faults"].items():
        click.echo(f"FAULT {count} x {what}")
    for fault in report["found"]:
        click.echo(
            f"  {fault['sender']} {fault['message']}: {fault['kind']}: {fault['text']} "
            f"({fault['file']}:{fault['line']})"
        )
    if report["unnamed"]:
        click.echo(f"  and {report['unnamed']} more")


def _print_event(event: dict, since: float) -> None:
    plain = ("sender", "life", "unix", "mono", "event", "id", "file", "line")
    rest = " ".join(f"{k}={v}" for k, v in event.items() if k not in plain)
    click.echo(f"{event['unix'] - since:+9.4f} {event['sender']}/{event['life']} {event['event']:<10} {rest}")


def main() -> None:
    """Run the command `linkdock`."""
    cli(prog_name="linkdock")
