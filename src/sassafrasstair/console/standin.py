"""The command ``sassafras-standin``: simulated peers of the system."""

from __future__ import annotations

import click

from sassafrasstair.console.commands.standin import control
from sassafrasstair.console.commands.standin import load
from sassafrasstair.console.commands.standin import platform
from sassafrasstair.console.commands.standin import upstream


@click.group()
def main() -> None:
    """Simulate the platform, upstreams and callers in demos and tests."""


main.add_command(control.control)
main.add_command(load.load)
main.add_command(platform.platform)
main.add_command(upstream.upstream)
