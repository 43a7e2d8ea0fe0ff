"""``sassafras-bench experiment``: policies side by side, from a file."""

from __future__ import annotations

import os
import pathlib

import click

from sassafrasstair import bench

WORKERS_MAX = 4


@click.command()
@click.argument(
    "file",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--out",
    default=".",
    show_default=True,
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Folder for the results: FILE's name with .results.json and .png.",
)
@click.option("--plot/--no-plot", default=True, help="Draw the PNG, too.")
@click.option(
    "--workers",
    default=min(WORKERS_MAX, os.cpu_count() or 1),
    show_default=True,
    help="Runs side by side; the figures do not depend on it.",
)
def experiment(
    file: pathlib.Path, out: pathlib.Path, plot: bool, workers: int
) -> None:
    """Play the experiment that FILE (JSON) describes."""
    try:
        wanted = bench.decode(file.read_bytes())
    except bench.ExperimentError as error:
        raise click.ClickException(f"{file}: {error}") from error
    outcome = bench.play(wanted, workers)
    out.mkdir(parents=True, exist_ok=True)
    results = out / f"{file.stem}.results.json"
    results.write_bytes(bench.encode(outcome))
    click.echo(results)
    if not plot:
        return
    picture = out / f"{file.stem}.png"
    try:
        bench.draw(outcome, picture)
    except ImportError as error:
        raise click.ClickException(
            f"no plot: {error}; install the extra 'dev' or say --no-plot"
        ) from error
    click.echo(picture)
