"""The command ``sassafras-bench experiment``: compares policies."""

from __future__ import annotations

import os
import pathlib

import click

from sassafrasstair import bench

MAX_DEFAULT_WORKERS = 4


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
    help="Folder for the results, FILE.results.json and FILE.png.",
)
@click.option(
    "--plot/--no-plot", default=True, help="Also draw the plot as PNG."
)
@click.option(
    "--workers",
    default=min(MAX_DEFAULT_WORKERS, os.cpu_count() or 1),
    show_default=True,
    help="Parallel runs; the results do not depend on it.",
)
def experiment(
    file: pathlib.Path, out: pathlib.Path, plot: bool, workers: int
) -> None:
    """Run the experiment that FILE (JSON) describes."""
    try:
        description = bench.decode(file.read_bytes())
    except bench.ExperimentError as error:
        raise click.ClickException(f"{file}: {error}") from error
    outcome = bench.play(description, workers)
    out.mkdir(parents=True, exist_ok=True)
    results_path = out / f"{file.stem}.results.json"
    results_path.write_bytes(bench.encode(outcome))
    click.echo(results_path)
    if not plot:
        return
    plot_path = out / f"{file.stem}.png"
    try:
        bench.draw(outcome, plot_path)
    except ImportError as error:
        raise click.ClickException(
            f"no plot: {error}; install the extra 'dev' or say --no-plot"
        ) from error
    click.echo(plot_path)
