"""``sassafras-bench capacity``: slopes behind docs/CAPACITY.md."""

from __future__ import annotations

import click

from sassafrasstair.bench import _capacity_reports


@click.command("capacity")
@click.option(
    "--daemons",
    default=_capacity_reports.TARGET,
    show_default=True,
    help="Size of the largest fleet of decision cores.",
)
def command(daemons: int) -> None:
    """Measure what control costs; the last line is one JSON object."""
    found = []
    for section in _capacity_reports.sections(daemons):
        found.append(section)
        for line in _capacity_reports.rows(section):
            click.echo(line)
    click.echo(_capacity_reports.as_json(found))


if __name__ == "__main__":
    command()
