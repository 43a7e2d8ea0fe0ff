"""The command ``sassafras key new``."""

from __future__ import annotations

import base64

import click
import msgspec

from sassafrasstair import bundles
from sassafrasstair.console import _errors
from sassafrasstair.console import _files
from sassafrasstair import decoding
from sassafrasstair import settings


@click.command("new")
@click.argument("name", metavar="NAME")
@click.option(
    "--output",
    required=True,
    metavar="FILE",
    help="File to create; must not exist yet.",
)
def new(name: str, output: str) -> None:
    """Write a new key pair to a file and print its entry for the settings.

    The file holds the private key: never copy it to a VM.
    """
    private, public = (_encode_base64(key) for key in bundles.new_key_pair())
    entry = {"name": name, "public": public}
    try:
        decoding.decode(msgspec.json.encode(entry), settings.Key)
    except decoding.DecodingError as error:
        raise _errors.BadInputError(str(error)) from error
    _files.write_private(output, _files.KeyFile(name, private, public))
    click.echo(_files.as_json(entry))


def _encode_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
