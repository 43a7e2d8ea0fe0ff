"""The command ``sassafras bundle approve``."""

from __future__ import annotations

import click

from sassafrasstair import bundles
from sassafrasstair.console import _errors
from sassafrasstair.console import _files


@click.command("approve")
@click.argument("file", metavar="FILE")
@click.option(
    "--key",
    "key_path",
    required=True,
    metavar="KEY",
    help="File with your key pair.",
)
@click.option(
    "--output",
    default="-",
    metavar="OUT",
    help="File to write; default: standard output.",
)
def approve(file: str, key_path: str, output: str) -> None:
    """Sign a bundle and print the file to publish.

    The signature covers the exact text of the bundle in FILE. If FILE has
    approvals already, yours is added to them. Mesh, version and digest of
    the signed bundle are printed on the standard error.
    """
    bundle_file = _files.read_bundle_file(file)
    envelope = _add_approval(bundle_file, _files.read_key(key_path))
    with click.open_file(output, "wb") as out:
        out.write(envelope + b"\n")
    bundle = bundles.decode(bundle_file.payload)
    digest = bundles.digest(bundle_file.payload)
    click.echo(
        f"approved {bundle.mesh} version {bundle.version} digest {digest}",
        err=True,
    )


def _add_approval(
    bundle_file: _files.BundleFile, key: _files.KeyFile
) -> bytes:
    try:
        envelope = bundles.approve(
            bundle_file.payload,
            key.private_bytes,
            key.name,
            bundle_file.approvals,
        )
    except (bundles.BundleError, bundles.InvalidKeyError) as error:
        raise _errors.BadInputError(f"{bundle_file.path}: {error}") from error
    if duplicates := bundles.duplicate_keys(bundle_file.payload):
        raise _errors.BadInputError(
            f"{bundle_file.path}: {'; '.join(duplicates)}"
        )
    return envelope
