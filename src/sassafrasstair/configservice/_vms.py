"""Decoding of the VM list; one invalid entry refuses the whole list."""

from __future__ import annotations

import ipaddress
import typing

import msgspec

from sassafrasstair.configservice import _errors

VmState = typing.Literal["live", "leaving"]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
MAX_PORT = 65_535


class VmEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One VM as the platform lists it.

    ``address`` is "IP:port" of the daemon in the VM's slot.
    """

    vm: Name
    service: Name
    failure_domain: Name
    region: Name
    address: str
    state: VmState


_VMS_DECODER = msgspec.json.Decoder(tuple[VmEntry, ...])


def decode_vms(raw: bytes) -> tuple[VmEntry, ...]:
    """Return the VM list; raise ``PlatformError`` for any invalid entry."""
    try:
        entries = _VMS_DECODER.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise _malformed(f"VM list: {error}") from error
    names: set[str] = set()
    for entry in entries:
        if entry.vm in names:
            raise _malformed(f"VM list: {entry.vm} is listed twice")
        names.add(entry.vm)
        _check_address(entry)
    return entries


def _check_address(entry: VmEntry) -> None:
    host, _, port = entry.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise _malformed(
            f"VM list: address of {entry.vm} is {entry.address!r}, "
            "expected IP:port"
        )


def _malformed(detail: str) -> _errors.PlatformError:
    return _errors.PlatformError(_errors.Reason.MALFORMED, detail)
