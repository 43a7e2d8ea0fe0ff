"""The command ``sassafras-bench``: benchmarks and simulations."""

from __future__ import annotations

import click

from sassafrasstair.console.commands.bench import capacity
from sassafrasstair.console.commands.bench import experiment
from sassafrasstair.console.commands.bench import hop
from sassafrasstair.console.commands.bench import overload


@click.group()
def main() -> None:
    """Run simulations on a virtual clock and benchmarks of processes."""


main.add_command(capacity.capacity)
main.add_command(experiment.experiment)
main.add_command(hop.hop)
main.add_command(overload.overload)


if __name__ == "__main__":
    main()
