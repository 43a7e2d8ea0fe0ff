"""The command ``sassafras bundle check``."""

from __future__ import annotations

import click
import msgspec

from sassafrasstair import bundles
from sassafrasstair.console import _errors
from sassafrasstair.console import _files
from sassafrasstair import settings


class Report(msgspec.Struct, frozen=True):
    """The result of checking one file.

    ``faults`` is empty if the bundle is valid; otherwise ``reason`` is the
    kind of the faults. ``mesh``, ``version`` and ``approved_by`` (the names
    of the verified signers) are set only for a valid bundle.
    """

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
    help="Also verify approvals with the keys in a daemon's settings.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object per file."
)
@click.pass_context
def check(
    context: click.Context,
    files: tuple[str, ...],
    settings_path: str | None,
    as_json: bool,
) -> None:
    """Check bundles as daemons do; exit 1 if one would be refused.

    Also reports keys that occur twice in one JSON object.
    """
    keys = _load_keys(settings_path) if settings_path else None
    reports = [_check_file(path, keys) for path in files]
    for report in reports:
        click.echo(
            _files.as_json(report) if as_json else _format_report(report)
        )
    if any(report.faults for report in reports):
        context.exit(_errors.FINDING)


def _load_keys(path: str) -> dict[str, bytes]:
    try:
        loaded = settings.load(path)
    except settings.SettingsError as error:
        raise _errors.BadInputError(str(error)) from error
    return {key.name: key.raw for key in loaded.keys}


def _check_file(path: str, keys: dict[str, bytes] | None) -> Report:
    bundle_file = _files.read_bundle_file(path)
    try:
        bundle = bundles.decode(bundle_file.payload)
        signers = () if keys is None else _signers(bundle_file, keys)
    except bundles.BundleError as error:
        return Report(path, error.reason.value, error.details)
    if duplicates := tuple(bundles.duplicate_keys(bundle_file.payload)):
        return Report(path, "duplicate_key", duplicates)
    return Report(path, "", (), bundle.mesh, bundle.version, signers)


def _signers(
    bundle_file: _files.BundleFile, keys: dict[str, bytes]
) -> tuple[str, ...]:
    return bundles.verify(bundle_file.raw, keys).approved_by


def _format_report(report: Report) -> str:
    if report.faults:
        lines = [f"{report.file}: {fault}" for fault in report.faults]
        return "\n".join(lines)
    signers = ", ".join(report.approved_by)
    approved = f", approved by {signers}" if signers else ""
    return f"{report.file}: good, {report.mesh} {report.version}{approved}"
