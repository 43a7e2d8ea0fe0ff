"""Commands for bundle files."""

from __future__ import annotations

import click

from sassafrasstair.console.commands.bundle import approve
from sassafrasstair.console.commands.bundle import check
from sassafrasstair.console.commands.bundle import diff
from sassafrasstair.console.commands.bundle import new
from sassafrasstair.console.commands.bundle import show


@click.group("bundle")
def group() -> None:
    """Create, check, compare, approve and show bundles.

    FILE is a bundle without approvals or an approved bundle; "-" is the
    standard input.
    """


group.add_command(approve.approve)
group.add_command(check.check)
group.add_command(diff.diff)
group.add_command(new.new)
group.add_command(show.show)
