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


class Shown(msgspec.Struct, frozen=True):
    """The bundle with its digest and the names of its approvals."""

    digest: str
    approvals: tuple[str, ...]
    bundle: bundles.Bundle


@click.command("show")
@click.argument("file", metavar="FILE")
@click.option("--json", "as_json", is_flag=True, help="With all defaults.")
@click.option("--text", is_flag=True, help="Print the exact text only.")
def show(file: str, as_json: bool, text: bool) -> None:
    """Show a bundle: classes in the order of shedding, last first.

    Approvals are named, not checked: see "bundle check --settings".
    """
    source = _files.read_source(file)
    if text:
        click.echo(source.payload, nl=False)
        return
    names = tuple(approval.key for approval in source.approvals)
    shown = Shown(bundles.digest(source.payload), names, _files.decode(source))
    click.echo(_files.as_json(shown) if as_json else _text(shown))


def _text(shown: Shown) -> str:
    bundle = shown.bundle
    classes = sorted(
        bundle.classes.items(), key=lambda entry: -entry[1].importance
    )
    return "\n".join(
        [
            f"mesh {bundle.mesh}, version {bundle.version}, "
            f"supersedes {bundle.supersedes}",
            f"digest {shown.digest}",
            f"approvals: {', '.join(shown.approvals) or 'none'}",
            f"applies to: {', '.join(bundle.rollout) or 'all'}",
            f"failure domains: {', '.join(bundle.failure_domains)}",
            f"tenants: {', '.join(bundle.tenants)}",
            "",
            _tables.table(_CLASS_HEAD, [_class(*entry) for entry in classes]),
            "",
            _tables.table(
                _SERVICE_HEAD,
                [_service(*entry) for entry in bundle.services.items()],
            ),
        ]
    )


def _class(name: str, rules: bundles.RequestClass) -> tuple[object, ...]:
    return (
        name,
        rules.service,
        rules.importance,
        "yes" if rules.once else "no",
        rules.deadline_ms,
        rules.refusal.queue_ms,
        rules.retries,
        rules.caller_repeats,
        rules.max_body_bytes,
    )


def _service(name: str, rules: bundles.Service) -> tuple[object, ...]:
    calls = ", ".join(rules.calls) or "-"
    return name, rules.slots, rules.connections, calls
