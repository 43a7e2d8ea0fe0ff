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
    help="Version to supersede; default: the version of --from.",
)
@click.option(
    "--rollout",
    multiple=True,
    metavar="DOMAIN",
    help="Apply only to this failure domain; may be repeated.",
)
def new(
    mesh: str,
    base: str | None,
    supersedes: int | None,
    rollout: tuple[str, ...],
) -> None:
    """Print a new bundle to edit.

    With --from, print the next version of that bundle; without it, a small
    first version. The bundle applies to all failure domains unless
    --rollout names some. To roll back a version, pass the older bundle with
    --from and the number of the faulty version with --supersedes.
    """
    document = _next_version(base) if base else _first_version(mesh)
    if supersedes is not None:
        document["supersedes"] = supersedes
    document["version"] = document["supersedes"] + 1
    document["rollout"] = list(rollout)
    click.echo(_files.as_indented_json(document), nl=False)


def _next_version(base: str) -> dict[str, typing.Any]:
    bundle_file = _files.read_bundle_file(base)
    base_bundle = _files.decode_bundle(bundle_file)
    document: dict[str, typing.Any] = msgspec.json.decode(bundle_file.payload)
    return document | {"supersedes": base_bundle.version}


def _first_version(mesh: str) -> dict[str, typing.Any]:
    request_class = bundles.RequestClass(
        service="my-service", importance=5, deadline_ms=2_000
    )
    bundle = bundles.Bundle(
        format=1,
        mesh=mesh,
        version=1,
        supersedes=0,
        failure_domains={"domain-a": "my-region"},
        services={"my-service": bundles.Service(slots=100, connections=500)},
        classes={"my-class": request_class},
        tenants={"my-tenant": bundles.Tenant()},
    )
    document: dict[str, typing.Any] = msgspec.to_builtins(bundle)
    return document
