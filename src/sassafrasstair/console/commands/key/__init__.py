"""Commands on operators' keys."""

from __future__ import annotations

import click

from sassafrasstair.console.commands.key import new


@click.group("key")
def group() -> None:
    """Make keys that approve bundles."""


group.add_command(new.new)
