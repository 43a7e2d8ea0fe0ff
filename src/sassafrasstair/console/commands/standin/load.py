"""The command ``sassafras-standin load``: simulates callers."""

from __future__ import annotations

import typing

import click
import msgspec
import uvloop

from sassafrasstair import bundles
from sassafrasstair import standins

EXIT_VIOLATION = 1
MAX_DELAY_MS = 250.0


@click.command()
@click.option("--daemon", "daemons", multiple=True, metavar="URL")
@click.option(
    "--direct",
    multiple=True,
    metavar="SERVICE=URL",
    help="Call upstreams without daemons, as a baseline.",
)
@click.option(
    "--upstream",
    "upstreams",
    multiple=True,
    metavar="URL",
    help="Upstream whose counts of executed work verify the answers.",
)
@click.option("--bundle", required=True, type=click.File("rb"))
@click.option("--seconds", default=30.0, show_default=True)
@click.option(
    "--rate", default=100.0, show_default=True, help="Calls per second."
)
@click.option("--surge-factor", default=1.0, show_default=True)
@click.option("--mix", multiple=True, metavar="CLASS=WEIGHT")
@click.option("--body", multiple=True, metavar="CLASS=BYTES")
@click.option("--callers", default=500, show_default=True)
@click.option("--repeats", default=3, show_default=True)
@click.option(
    "--hasty",
    default=0.0,
    show_default=True,
    help="Share of callers that ignore Retry-After.",
)
@click.option("--tail", default=8.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def load(
    daemons: tuple[str, ...],
    direct: tuple[str, ...],
    upstreams: tuple[str, ...],
    bundle: typing.BinaryIO,
    seconds: float,
    rate: float,
    surge_factor: float,
    mix: tuple[str, ...],
    body: tuple[str, ...],
    callers: int,
    repeats: int,
    hasty: float,
    tail: float,
    seed: int,
) -> None:
    """Simulate many callers, with a surge in the middle third.

    Prints a table and, as its last line, one JSON object. Exits 1 if an
    answer was wrong, once-only work ran twice, or a request that was
    refused as not run had run.
    """
    if bool(daemons) == bool(direct):
        raise click.UsageError("give either --daemon or --direct")
    decoded_bundle = msgspec.json.decode(bundle.read(), type=bundles.Bundle)
    weights = {name: float(value) for name, value in _parse_pairs(mix)}
    simulated_callers = standins.Callers(
        decoded_bundle,
        weights or dict.fromkeys(decoded_bundle.classes, 1.0),
        callers,
        {name: int(value) for name, value in _parse_pairs(body)},
    )
    options = standins.Options(
        daemons,
        tuple(_parse_pairs(direct)),
        upstreams,
        repeats,
        hasty,
        tail,
        seed,
    )
    plan = standins.Plan(seconds, rate, surge_factor)
    summary = uvloop.run(standins.run_load(plan, simulated_callers, options))
    click.echo(standins.table(summary))
    if summary.behind_ms > MAX_DELAY_MS:
        click.echo(
            f"the load tool itself was {summary.behind_ms} ms late: its times"
            " are too long; lower --rate or run several",
            err=True,
        )
    click.echo(msgspec.json.encode(summary).decode())
    if summary.wrong or summary.ran_twice or summary.refused_ran:
        raise SystemExit(EXIT_VIOLATION)


def _parse_pairs(items: tuple[str, ...]) -> list[tuple[str, str]]:
    pairs = []
    for item in items:
        name, separator, value = item.partition("=")
        if not separator:
            raise click.UsageError(f"{item!r} has no =")
        pairs.append((name, value))
    return pairs
