"""The command ``sassafras bundle show``."""

from __future__ import annotations

import click
import msgspec

from sassafrasstair import bundles
from sassafrasstair.console import _files
from sassafrasstair.console import _tables

_CLASS_HEAD = (
    "CLASS",
    "SERVICE",
    "IMPORTANCE",
    "ONCE",
    "DEADLINE MS",
    "QUEUE MS",
    "RETRIES",
    "REPEATS",
    "BODY BYTES",
)
_SERVICE_HEAD = ("SERVICE", "SLOTS", "CONNECTIONS", "CALLS")


class BundleDetails(msgspec.Struct, frozen=True):
    """A bundle with its digest and the names of the keys that approved it.

    The approvals are not verified.
    """

    digest: str
    approvals: tuple[str, ...]
    bundle: bundles.Bundle


@click.command("show")
@click.argument("file", metavar="FILE")
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print JSON with all defaults filled in.",
)
@click.option(
    "--text", is_flag=True, help="Print only the exact text of the bundle."
)
def show(file: str, as_json: bool, text: bool) -> None:
    """Show a bundle; the class that is shed last comes first.

    Approvals are listed, not verified: see "bundle check --settings".
    """
    bundle_file = _files.read_bundle_file(file)
    if text:
        click.echo(bundle_file.payload, nl=False)
        return
    names = tuple(approval.key for approval in bundle_file.approvals)
    details = BundleDetails(
        bundles.digest(bundle_file.payload),
        names,
        _files.decode_bundle(bundle_file),
    )
    click.echo(
        _files.as_json(details) if as_json else _format_details(details)
    )


def _format_details(details: BundleDetails) -> str:
    bundle = details.bundle
    classes = sorted(
        bundle.classes.items(), key=lambda entry: -entry[1].importance
    )
    return "\n".join(
        [
            f"mesh {bundle.mesh}, version {bundle.version}, "
            f"supersedes {bundle.supersedes}",
            f"digest {details.digest}",
            f"approvals: {', '.join(details.approvals) or 'none'}",
            f"applies to: {', '.join(bundle.rollout) or 'all'}",
            f"failure domains: {', '.join(bundle.failure_domains)}",
            f"tenants: {', '.join(bundle.tenants)}",
            "",
            _tables.format_table(
                _CLASS_HEAD, [_class_row(*entry) for entry in classes]
            ),
            "",
            _tables.format_table(
                _SERVICE_HEAD,
                [_service_row(*entry) for entry in bundle.services.items()],
            ),
        ]
    )


def _class_row(
    name: str, request_class: bundles.RequestClass
) -> tuple[object, ...]:
    return (
        name,
        request_class.service,
        request_class.importance,
        "yes" if request_class.once else "no",
        request_class.deadline_ms,
        request_class.refusal.queue_ms,
        request_class.retries,
        request_class.caller_repeats,
        request_class.max_body_bytes,
    )


def _service_row(name: str, service: bundles.Service) -> tuple[object, ...]:
    calls = ", ".join(service.calls) or "-"
    return name, service.slots, service.connections, calls
