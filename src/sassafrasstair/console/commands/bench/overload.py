"""The command ``sassafras-bench overload``: policies under overload."""

from __future__ import annotations

import itertools
import os

import click

from sassafrasstair import bench

DEFAULT_SEEDS = 5
MAX_DEFAULT_WORKERS = 12


@click.command()
@click.option(
    "--mix", type=click.Choice(list(bench.MIXES)), help="One mix only."
)
@click.option(
    "--scenario",
    type=click.Choice(list(bench.SCENARIOS)),
    help="One scenario only.",
)
@click.option(
    "--policy",
    type=click.Choice(list(bench.POLICIES)),
    help="One policy only.",
)
@click.option("--seeds", default=DEFAULT_SEEDS, show_default=True)
@click.option(
    "--workers",
    default=min(MAX_DEFAULT_WORKERS, os.cpu_count() or 1),
    show_default=True,
    help="Parallel runs; the results do not depend on it.",
)
@click.option(
    "--full",
    is_flag=True,
    help="Use slots that are not scaled down; takes minutes.",
)
def overload(
    mix: str | None,
    scenario: str | None,
    policy: str | None,
    seeds: int,
    workers: int,
    full: bool,
) -> None:
    """Measure the policies on a virtual clock; JSON on the last line."""
    combinations = itertools.product(
        [mix] if mix else bench.MIXES,
        [scenario] if scenario else bench.SCENARIOS,
        [policy] if policy else bench.POLICIES,
        range(seeds),
    )
    runs = [bench.Run(*names, full=full) for names in combinations]
    figures = bench.run_all(runs, workers)
    results = dict(zip(runs, figures, strict=True))
    click.echo(bench.as_table(results))
    click.echo(bench.as_json(results))
