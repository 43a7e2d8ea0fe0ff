"""The command ``sassafras explain``."""

from __future__ import annotations

import typing

import click

from sassafrasstair.console import _errors
from sassafrasstair.console import _traces


@click.command("explain")
@click.argument("request", metavar="REQUEST-ID")
@click.argument(
    "files", metavar="FILE...", nargs=-1, required=True, type=click.File()
)
@click.pass_context
def explain(
    context: click.Context,
    request: str,
    files: tuple[typing.TextIO, ...],
) -> None:
    """Trace a request through the logs of several daemons.

    Prints each log line of the request in the order of time, followed by
    the state of its process at that time. Exits 1 if no line names the
    request.
    """
    entries = [
        entry
        for file in files
        for entry in _traces.parse(str(file.name), file)
    ]
    lines = _traces.explain(entries, request)
    for line in lines:
        click.echo(line)
    if not lines:
        click.echo(f"{request}: no line of {len(entries)}", err=True)
        context.exit(_errors.FINDING)
