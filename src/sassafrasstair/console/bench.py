"""``sassafras-bench``: measurements."""

from __future__ import annotations

import click

from sassafrasstair.console.commands.bench import capacity
from sassafrasstair.console.commands.bench import experiment
from sassafrasstair.console.commands.bench import hop
from sassafrasstair.console.commands.bench import overload


@click.group()
def main() -> None:
    """Measure the decisions on a virtual clock, and real processes."""


main.add_command(capacity.command)
main.add_command(experiment.experiment)
main.add_command(hop.hop)
main.add_command(overload.overload)


if __name__ == "__main__":
    main()
