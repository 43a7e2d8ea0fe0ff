"""The command ``sassafras-bench capacity``: data for docs/CAPACITY.md."""

from __future__ import annotations

import click

from sassafrasstair.bench import _capacity_reports


@click.command("capacity")
@click.option(
    "--daemons",
    default=_capacity_reports.TARGET,
    show_default=True,
    help="Number of daemons in the largest simulated fleet.",
)
def capacity(daemons: int) -> None:
    """Measure the cost of the control plane; JSON on the last line."""
    sections = []
    for section in _capacity_reports.sections(daemons):
        sections.append(section)
        for line in _capacity_reports.rows(section):
            click.echo(line)
    click.echo(_capacity_reports.as_json(sections))


if __name__ == "__main__":
    capacity()
