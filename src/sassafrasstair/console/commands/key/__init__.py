"""Commands for operators' keys."""

from __future__ import annotations

import click

from sassafrasstair.console.commands.key import new


@click.group("key")
def group() -> None:
    """Create keys for approving bundles."""


group.add_command(new.new)
