"""Descriptions, for operators, of the changes between two bundles."""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.bundles import _schema

Describe = typing.Callable[[typing.Any, typing.Any], str]


class Change(msgspec.Struct, frozen=True):
    """One change; ``subject`` is, for example, ``class write-down``."""

    subject: str
    text: str


def differences(old: _schema.Bundle, new: _schema.Bundle) -> list[Change]:
    """Return the changes: top-level fields first, then each section."""
    changes = list(_field_changes("bundle", old, new, _BUNDLE_FIELDS))
    changes += _field_changes(
        "retry budget", old.retry_budget, new.retry_budget, _BUDGET_FIELDS
    )
    for noun, section, describers in _SECTION_FIELDS:
        before, after = getattr(old, section), getattr(new, section)
        changes += _section_changes(noun, before, after, describers)
    return changes


def _section_changes(
    noun: str,
    old: abc.Mapping[str, typing.Any],
    new: abc.Mapping[str, typing.Any],
    describers: abc.Mapping[str, Describe],
) -> abc.Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        subject = f"{noun} {name}"
        if name not in new:
            yield Change(subject, "is gone")
        elif name not in old:
            yield Change(subject, "is new")
        elif isinstance(new[name], str):
            if old[name] != new[name]:
                yield Change(subject, f"in region {new[name]}")
        else:
            yield from _field_changes(
                subject, old[name], new[name], describers
            )


def _field_changes(
    subject: str,
    old: msgspec.Struct,
    new: msgspec.Struct,
    describers: abc.Mapping[str, Describe],
) -> abc.Iterator[Change]:
    for field, describe in describers.items():
        before, after = _field_value(old, field), _field_value(new, field)
        if before != after:
            yield Change(subject, describe(before, after))


def _field_value(struct: msgspec.Struct, field: str) -> typing.Any:
    value: typing.Any = struct
    for name in field.split("."):
        value = getattr(value, name)
    return value


def _describe_value(text: str) -> Describe:
    return lambda old, new: (
        f"{text} {_format_value(new)} instead of {_format_value(old)}"
    )


def _describe_duration(text: str) -> Describe:
    return lambda old, new: (
        f"{text} {_format_ms(new)} instead of {_format_ms(old)}"
    )


def _describe_importance(old: int, new: int) -> str:
    when = "later" if new > old else "earlier"
    return f"shed {when}: importance {new} instead of {old}"


def _describe_once(old: bool, new: bool) -> str:
    if new:
        return "now once-only: needs a ticket and runs at most once"
    return "no longer once-only: a repeat may run it again"


def _describe_rollout(old: tuple[str, ...], new: tuple[str, ...]) -> str:
    return (
        f"applies to {_format_domains(new)} instead of {_format_domains(old)}"
    )


def _format_domains(names: tuple[str, ...]) -> str:
    return ", ".join(names) or "all failure domains"


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(value) or "none"
    return str(value)


def _format_ms(value: int) -> str:
    return f"{value} ms" if value < 1_000 else f"{value / 1_000:g} s"


_BUNDLE_FIELDS: dict[str, Describe] = {
    "mesh": _describe_value("for mesh"),
    "version": _describe_value("version"),
    "supersedes": _describe_value("supersedes version"),
    "rollout": _describe_rollout,
    "subset_size": _describe_value("instances that one daemon calls:"),
    "ticket_lifetime_ms": _describe_duration("tickets last"),
}
_BUDGET_FIELDS: dict[str, Describe] = {
    "ratio": _describe_value("retries for each success:"),
    "burst": _describe_value("retries at once:"),
}
_SERVICE_FIELDS: dict[str, Describe] = {
    "slots": _describe_value("slots of an instance:"),
    "connections": _describe_value("connections of an instance:"),
    "calls": _describe_value("calls"),
    "cold_start_ms": _describe_duration("starts cold for"),
}
_CLASS_FIELDS: dict[str, Describe] = {
    "service": _describe_value("served by"),
    "importance": _describe_importance,
    "once": _describe_once,
    "deadline_ms": _describe_duration("given up on after"),
    "retries": _describe_value("retries in the whole chain:"),
    "caller_repeats": _describe_value("repeats by the caller:"),
    "max_body_bytes": _describe_value("largest body in bytes:"),
    "refusal.queue_ms": _describe_duration("refused after waiting"),
    "refusal.retry_after_min_ms": _describe_duration(
        "callers come back after at least"
    ),
    "refusal.retry_after_max_ms": _describe_duration(
        "callers come back after at most"
    ),
}
_TENANT_FIELDS: dict[str, Describe] = {
    "share": _describe_value("share under overload:")
}
_SECTION_FIELDS: tuple[tuple[str, str, dict[str, Describe]], ...] = (
    ("failure domain", "failure_domains", {}),
    ("service", "services", _SERVICE_FIELDS),
    ("class", "classes", _CLASS_FIELDS),
    ("tenant", "tenants", _TENANT_FIELDS),
)
