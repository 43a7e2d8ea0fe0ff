"""The command ``sassafras bundle check``."""

from __future__ import annotations

import click
import msgspec

from sassafrasstair import bundles
from sassafrasstair.console import _errors
from sassafrasstair.console import _files
from sassafrasstair import settings


class Report(msgspec.Struct, frozen=True):
    """What was found in one file; ``faults`` is empty if it is good."""

    file: str
    reason: str = ""
    faults: tuple[str, ...] = ()
    mesh: str = ""
    version: int = 0
    approved_by: tuple[str, ...] = ()


@click.command("check")
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@click.option(
    "--settings",
    "settings_path",
    metavar="SETTINGS",
    help="Check approvals too, with the keys in a daemon's settings.",
)
@click.option("--json", "as_json", is_flag=True, help="One object a file.")
@click.pass_context
def check(
    context: click.Context,
    files: tuple[str, ...],
    settings_path: str | None,
    as_json: bool,
) -> None:
    """Check bundles as daemons do; exit 1 if one would be refused.

    Also refuses keys that stand twice in one object.
    """
    keys = _keys(settings_path) if settings_path else None
    reports = [_report(path, keys) for path in files]
    for report in reports:
        click.echo(_files.as_json(report) if as_json else _text(report))
    if any(report.faults for report in reports):
        context.exit(_errors.FINDING)


def _keys(path: str) -> dict[str, bytes]:
    try:
        loaded = settings.load(path)
    except settings.SettingsError as error:
        raise _errors.BadInputError(str(error)) from error
    return {key.name: key.raw for key in loaded.keys}


def _report(path: str, keys: dict[str, bytes] | None) -> Report:
    source = _files.read_source(path)
    try:
        bundle = bundles.decode(source.payload)
        signers = () if keys is None else _signers(source, keys)
    except bundles.BundleError as error:
        return Report(path, error.reason.value, error.details)
    if twice := tuple(bundles.duplicate_keys(source.payload)):
        return Report(path, "duplicate_key", twice)
    return Report(path, "", (), bundle.mesh, bundle.version, signers)


def _signers(source: _files.Source, keys: dict[str, bytes]) -> tuple[str, ...]:
    return bundles.verify(source.raw, keys).approved_by


def _text(report: Report) -> str:
    if report.faults:
        lines = [f"{report.file}: {fault}" for fault in report.faults]
        return "\n".join(lines)
    by = ", ".join(report.approved_by)
    approved = f", approved by {by}" if by else ""
    return f"{report.file}: good, {report.mesh} {report.version}{approved}"
