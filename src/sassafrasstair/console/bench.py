"""``sassafras-bench``: measure the decisions."""

from __future__ import annotations

import click

from sassafrasstair.console.commands.bench import overload


@click.group()
def main() -> None:
    """Measure the decisions on a virtual clock."""


main.add_command(overload.overload)


if __name__ == "__main__":
    main()
