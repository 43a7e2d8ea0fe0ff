"""Decoding of the store's entries for instances, with checks of each field.

Other programs write these entries. They may omit fields, use other types, or
name unknown states and services. Such an entry is rejected, and the reason is
kept for the log.
"""

from __future__ import annotations

import ipaddress
import re
import typing

import msgspec

from sassafrasstair.decisions import views
from sassafrasstair.platform import _checks

if typing.TYPE_CHECKING:
    from collections import abc

INSTANCES_PREFIX = "servers/"
_NAME_REGEX = r"^[!-~]{1,200}\Z"
"""Ids and service names are sent in header fields, where a space or a line
break would start another field."""
_NAME_PATTERN = re.compile(_NAME_REGEX)
_COLD_MS_MAX = 1000.0 * views.COLD_SECONDS_MAX
_Name = typing.Annotated[str, msgspec.Meta(pattern=_NAME_REGEX)]
_BROADCAST = ipaddress.IPv4Address("255.255.255.255")
_STATES = {
    "ready": views.InstanceState.READY,
    "draining": views.InstanceState.LEAVING,
}


class _Entry(msgspec.Struct, frozen=True):
    """An entry in the platform's format.

    ``born`` is 0 if the entry does not have it.
    """

    service: _Name
    address: _Name
    zone: _Name
    version: _Name
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=views.SLOTS_MAX)]
    state: typing.Literal["ready", "draining"]
    warmup_ms: typing.Annotated[float, msgspec.Meta(ge=0.0, le=_COLD_MS_MAX)]
    seq: typing.Annotated[int, msgspec.Meta(ge=0)]
    born: typing.Annotated[int, msgspec.Meta(ge=1, le=views.BORN_MS_MAX)] = 0


_ENTRY_DECODER = msgspec.json.Decoder(_Entry)


class EntryError(Exception):
    """An entry that is not valid; ``reason`` names the field or the fault."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def decode_instance(
    key: str,
    value: bytes,
    created_revision: int,
    regions: abc.Mapping[str, str],
) -> views.Instance:
    """Return the instance that an entry describes; raises ``EntryError``.

    ``created_revision`` is the store's revision that first wrote the key.
    """
    try:
        entry = _checks.decode_struct(_ENTRY_DECODER, value)
    except _checks.InvalidDataError as error:
        raise EntryError(error.reason) from error
    host, port = _parse_address(entry.address)
    return views.Instance(
        _checked_id(key),
        entry.service,
        host,
        port,
        created_revision,
        entry.zone,
        regions.get(entry.zone, ""),
        entry.slots,
        _STATES[entry.state],
        entry.warmup_ms / 1000,
        entry.born,
    )


def _checked_id(key: str) -> str:
    """Return the instance's id from a key; raises ``EntryError``."""
    instance_id = key.removeprefix(INSTANCES_PREFIX)
    if _NAME_PATTERN.match(instance_id) is None:
        raise EntryError("id")
    return instance_id


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port_text = address.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise EntryError("address") from error
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise EntryError("address")
    port = _checks.parse_port(port_text)
    if port is None:
        raise EntryError("address")
    return host, port
