"""The command ``sassafras-standin control``: publishes, injects faults."""

from __future__ import annotations

import sys
import typing

import click
import httpx


@click.group()
@click.option(
    "--url",
    required=True,
    metavar="URL",
    help="URL of the stand-in's control port.",
)
@click.pass_context
def control(context: click.Context, url: str) -> None:
    """Publish to a stand-in platform and inject faults into it."""
    context.obj = httpx.Client(base_url=url, trust_env=False, timeout=10)


@control.command()
@click.argument("key")
@click.argument("file", type=click.File("rb"))
@click.pass_obj
def put(http: httpx.Client, key: str, file: typing.BinaryIO) -> None:
    """Publish FILE under KEY."""
    _send_request(http, "PUT", f"/keys/{key}", content=file.read())


@control.command()
@click.argument("key")
@click.pass_obj
def delete(http: httpx.Client, key: str) -> None:
    """Remove KEY."""
    _send_request(http, "DELETE", f"/keys/{key}")


@control.command()
@click.pass_obj
def down(http: httpx.Client) -> None:
    """Refuse new connections and close the open ones."""
    _send_request(http, "POST", "/down")


@control.command()
@click.option("--back", default=0, help="How many changes ago.")
@click.pass_obj
def stale(http: httpx.Client, back: int) -> None:
    """Answer from an older state from now on."""
    _send_request(http, "POST", "/stale", params={"back": back})


@control.command()
@click.option("--back", default=0, help="How many changes ago.")
@click.pass_obj
def restore(http: httpx.Client, back: int) -> None:
    """Drop the last changes and assign their indexes again."""
    _send_request(http, "POST", "/restore", params={"back": back})


@control.command()
@click.pass_obj
def back(http: httpx.Client) -> None:
    """End ``down`` or ``stale``."""
    _send_request(http, "POST", "/back")


@control.command()
@click.argument("ms", type=int)
@click.pass_obj
def lag(http: httpx.Client, ms: int) -> None:
    """Show the VM list MS milliseconds after its publication."""
    _send_request(http, "POST", "/lag", params={"ms": ms})


@control.command()
@click.pass_obj
def counts(http: httpx.Client) -> None:
    """Print the numbers of calls so far as JSON."""
    click.echo(_send_request(http, "GET", "/counts").text)


def _send_request(
    http: httpx.Client, method: str, path: str, **options: typing.Any
) -> httpx.Response:
    try:
        response = http.request(method, path, **options)
        response.raise_for_status()
    except httpx.HTTPError as error:
        click.echo(f"control port: {error}", err=True)
        sys.exit(1)
    return response
