"""Decoding of the store's entries for instances, with checks of each field.

Other programs write these entries. They may omit fields, use other types, or
name unknown states and services. Such an entry is rejected, and the reason is
kept for the log.
"""

from __future__ import annotations

import ipaddress
import math
import re
import typing

from sassafrasstair.decisions import views
from sassafrasstair.platform import _checks

if typing.TYPE_CHECKING:
    from collections import abc

INSTANCES_PREFIX = "servers/"
SLOTS_MAX = 1_000_000
"""More concurrent requests than any instance handles; more is invalid."""
COLD_SECONDS_MAX = 86_400.0
"""A warm-up longer than a day is invalid."""
_NAME_PATTERN = re.compile(r"[!-~]{1,200}")
"""Ids and service names are sent in header fields, where a space or a line
break would start another field."""
_STATES = {
    "ready": views.InstanceState.READY,
    "draining": views.InstanceState.LEAVING,
}
_BROADCAST = ipaddress.IPv4Address("255.255.255.255")


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
    fields = _decode_fields(value)
    zone = _name_field(fields, "zone")
    host, port = _address_field(fields)
    _name_field(fields, "version")
    _integer_field(fields, "seq", 0)
    return views.Instance(
        _checked_id(key),
        _name_field(fields, "service"),
        host,
        port,
        created_revision,
        zone,
        regions.get(zone, ""),
        _integer_field(fields, "slots", 1, SLOTS_MAX),
        _state_field(fields),
        _cold_seconds_field(fields),
        _integer_field(fields, "born", 1) if "born" in fields else 0,
    )


def _checked_id(key: str) -> str:
    """Return the instance's id from a key; raises ``EntryError``."""
    instance_id = key.removeprefix(INSTANCES_PREFIX)
    if _NAME_PATTERN.fullmatch(instance_id) is None:
        raise EntryError("id")
    return instance_id


def _decode_fields(value: bytes) -> dict[str, object]:
    try:
        return _checks.decode_object(value)
    except _checks.JsonObjectError as error:
        raise EntryError(error.reason) from error


def _name_field(fields: abc.Mapping[str, object], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or _NAME_PATTERN.fullmatch(value) is None:
        raise EntryError(name)
    return value


def _integer_field(
    fields: abc.Mapping[str, object],
    name: str,
    minimum: int,
    maximum: float = math.inf,
) -> int:
    value = fields.get(name)
    # A bool is an int in Python, but not a number in the store.
    if isinstance(value, bool) or not isinstance(value, int):
        raise EntryError(name)
    if not minimum <= value <= maximum:
        raise EntryError(name)
    return value


def _address_field(fields: abc.Mapping[str, object]) -> tuple[str, int]:
    host, _, port_text = _name_field(fields, "address").rpartition(":")
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


def _state_field(fields: abc.Mapping[str, object]) -> views.InstanceState:
    value = fields.get("state")
    state = _STATES.get(value) if isinstance(value, str) else None
    if state is None:
        raise EntryError("state")
    return state


def _cold_seconds_field(fields: abc.Mapping[str, object]) -> float:
    value = fields.get("warmup_ms")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise EntryError("warmup_ms")
    if not 0.0 <= value / 1000 <= COLD_SECONDS_MAX:
        raise EntryError("warmup_ms")
    return value / 1000
