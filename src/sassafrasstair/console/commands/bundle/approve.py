"""The command ``sassafras bundle approve``."""

from __future__ import annotations

import click

from sassafrasstair import bundles
from sassafrasstair.console import _errors
from sassafrasstair.console import _files


@click.command("approve")
@click.argument("file", metavar="FILE")
@click.option(
    "--key", "key_path", required=True, metavar="KEY", help="Your key file."
)
@click.option(
    "--output", default="-", metavar="OUT", help="Default: standard output."
)
def approve(file: str, key_path: str, output: str) -> None:
    """Sign a bundle and print the file to publish.

    The signature covers the exact text of FILE. If FILE is approved
    already, your approval is added to the others. What was signed is told
    on the standard error.
    """
    source = _files.read_source(file)
    envelope = _envelope(source, _files.read_key(key_path))
    with click.open_file(output, "wb") as out:
        out.write(envelope + b"\n")
    bundle = bundles.decode(source.payload)
    digest = bundles.digest(source.payload)
    click.echo(
        f"approved {bundle.mesh} version {bundle.version} digest {digest}",
        err=True,
    )


def _envelope(source: _files.Source, key: _files.KeyFile) -> bytes:
    try:
        envelope = bundles.approve(
            source.payload, key.private_bytes, key.name, source.approvals
        )
    except (bundles.BundleError, bundles.InvalidKeyError) as error:
        raise _errors.BadInputError(f"{source.path}: {error}") from error
    if twice := bundles.duplicate_keys(source.payload):
        raise _errors.BadInputError(f"{source.path}: {'; '.join(twice)}")
    return envelope
