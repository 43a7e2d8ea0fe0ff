"""``sassafras-standin control``: publish, and bring about faults."""

from __future__ import annotations

import sys
import typing

import click
import httpx


@click.group()
@click.option(
    "--url", required=True, metavar="URL", help="Control port of the stand-in."
)
@click.pass_context
def control(context: click.Context, url: str) -> None:
    """Act on a stand-in platform as operators or faults would."""
    context.obj = httpx.Client(base_url=url, trust_env=False, timeout=10)


@control.command()
@click.argument("key")
@click.argument("file", type=click.File("rb"))
@click.pass_obj
def put(http: httpx.Client, key: str, file: typing.BinaryIO) -> None:
    """Publish FILE under KEY."""
    _ask(http, "PUT", f"/keys/{key}", content=file.read())


@control.command()
@click.argument("key")
@click.pass_obj
def delete(http: httpx.Client, key: str) -> None:
    """Remove KEY."""
    _ask(http, "DELETE", f"/keys/{key}")


@control.command()
@click.pass_obj
def down(http: httpx.Client) -> None:
    """Refuse connections and cut those that stand."""
    _ask(http, "POST", "/down")


@control.command()
@click.option("--back", default=0, help="How many changes ago.")
@click.pass_obj
def stale(http: httpx.Client, back: int) -> None:
    """Go on answering from an older state."""
    _ask(http, "POST", "/stale", params={"back": back})


@control.command()
@click.option("--back", default=0, help="How many changes ago.")
@click.pass_obj
def restore(http: httpx.Client, back: int) -> None:
    """Lose the last changes, and give their indexes out again."""
    _ask(http, "POST", "/restore", params={"back": back})


@control.command()
@click.pass_obj
def back(http: httpx.Client) -> None:
    """End ``down`` or ``stale``."""
    _ask(http, "POST", "/back")


@control.command()
@click.argument("ms", type=int)
@click.pass_obj
def lag(http: httpx.Client, ms: int) -> None:
    """Show the VM list MS milliseconds after it is published."""
    _ask(http, "POST", "/lag", params={"ms": ms})


@control.command()
@click.pass_obj
def counts(http: httpx.Client) -> None:
    """Print the calls so far as JSON."""
    click.echo(_ask(http, "GET", "/counts").text)


def _ask(
    http: httpx.Client, method: str, path: str, **options: typing.Any
) -> httpx.Response:
    try:
        response = http.request(method, path, **options)
        response.raise_for_status()
    except httpx.HTTPError as error:
        click.echo(f"control port: {error}", err=True)
        sys.exit(1)
    return response
