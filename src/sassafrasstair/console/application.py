"""The command ``sassafras``: the client for operators."""

from __future__ import annotations

import click

import sassafrasstair
from sassafrasstair.console.commands import bundle
from sassafrasstair.console.commands import explain
from sassafrasstair.console.commands import key
from sassafrasstair.console.commands import status


@click.group(
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="Exit codes: 0 done, 1 a finding, 2 bad input, 3 unreachable.",
)
@click.version_option(sassafrasstair.__version__, prog_name="sassafras")
def main() -> None:
    """Prepare bundles and inspect daemons.

    No command writes to the platform: "bundle approve" creates the file
    that operators publish. Shell completion: see docs/OPERATORS.md.
    """


main.add_command(bundle.group)
main.add_command(key.group)
main.add_command(status.status)
main.add_command(explain.explain)
