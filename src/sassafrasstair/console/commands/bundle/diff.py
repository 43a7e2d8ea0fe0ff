"""The command ``sassafras bundle diff``."""

from __future__ import annotations

import click

from sassafrasstair import bundles
from sassafrasstair.console import _errors
from sassafrasstair.console import _files


@click.command("diff")
@click.argument("old", metavar="OLD")
@click.argument("new", metavar="NEW")
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print the changes as one JSON list.",
)
@click.pass_context
def diff(context: click.Context, old: str, new: str, as_json: bool) -> None:
    """List the changes from bundle OLD to NEW; exit 1 if there are any."""
    changes = bundles.differences(
        _files.decode_bundle(_files.read_bundle_file(old)),
        _files.decode_bundle(_files.read_bundle_file(new)),
    )
    if as_json:
        click.echo(_files.as_json(changes))
    for change in () if as_json else changes:
        click.echo(f"{change.subject}: {change.text}")
    if changes:
        context.exit(_errors.FINDING)
