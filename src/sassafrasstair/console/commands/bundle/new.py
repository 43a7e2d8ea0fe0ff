"""The command ``sassafras bundle new``."""

from __future__ import annotations

import typing

import click
import msgspec

from sassafrasstair import bundles
from sassafrasstair.console import _files


@click.command("new")
@click.option("--mesh", default="my-mesh", help="Name of the mesh.")
@click.option(
    "--from",
    "base",
    metavar="FILE",
    help="Start from this bundle; the new one supersedes it.",
)
@click.option(
    "--supersedes",
    type=click.IntRange(0),
    metavar="VERSION",
    help="Version to supersede, if not that of --from.",
)
@click.option(
    "--rollout",
    multiple=True,
    metavar="DOMAIN",
    help="Apply to this failure domain only; may be repeated.",
)
def new(
    mesh: str,
    base: str | None,
    supersedes: int | None,
    rollout: tuple[str, ...],
) -> None:
    """Print a new bundle to edit.

    With --from it is the next version of that bundle, for all failure
    domains unless --rollout names some; otherwise a small first one. To
    undo a version, give the good older one with --from and the bad one's
    number with --supersedes.
    """
    document = _from(base) if base else _first(mesh)
    if supersedes is not None:
        document["supersedes"] = supersedes
    document["version"] = document["supersedes"] + 1
    document["rollout"] = list(rollout)
    click.echo(_files.as_document(document), nl=False)


def _from(base: str) -> dict[str, typing.Any]:
    source = _files.read_source(base)
    old = _files.decode(source)
    document: dict[str, typing.Any] = msgspec.json.decode(source.payload)
    return document | {"supersedes": old.version}


def _first(mesh: str) -> dict[str, typing.Any]:
    rules = bundles.RequestClass(
        service="my-service", importance=5, deadline_ms=2_000
    )
    bundle = bundles.Bundle(
        format=1,
        mesh=mesh,
        version=1,
        supersedes=0,
        failure_domains={"domain-a": "my-region"},
        services={"my-service": bundles.Service(slots=100, connections=500)},
        classes={"my-class": rules},
        tenants={"my-tenant": bundles.Tenant()},
    )
    document: dict[str, typing.Any] = msgspec.to_builtins(bundle)
    return document
