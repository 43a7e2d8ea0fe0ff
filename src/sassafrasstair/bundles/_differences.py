"""What changes from one bundle to the next, in operators' words."""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.bundles import _schema

Describe = typing.Callable[[typing.Any, typing.Any], str]


class Change(msgspec.Struct, frozen=True):
    """One change: ``subject`` is e.g. ``class write-down``."""

    subject: str
    text: str


def differences(old: _schema.Bundle, new: _schema.Bundle) -> list[Change]:
    """Return the changes, whole bundle first, then section by section."""
    changes = list(_fields("bundle", old, new, _BUNDLE))
    changes += _fields(
        "retry budget", old.retry_budget, new.retry_budget, _BUDGET
    )
    for noun, section, words in _SECTIONS:
        before, after = getattr(old, section), getattr(new, section)
        changes += _section(noun, before, after, words)
    return changes


def _section(
    noun: str,
    old: abc.Mapping[str, typing.Any],
    new: abc.Mapping[str, typing.Any],
    words: abc.Mapping[str, Describe],
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
            yield from _fields(subject, old[name], new[name], words)


def _fields(
    subject: str,
    old: msgspec.Struct,
    new: msgspec.Struct,
    words: abc.Mapping[str, Describe],
) -> abc.Iterator[Change]:
    for field, describe in words.items():
        before, after = _value(old, field), _value(new, field)
        if before != after:
            yield Change(subject, describe(before, after))


def _value(struct: msgspec.Struct, field: str) -> typing.Any:
    value: typing.Any = struct
    for name in field.split("."):
        value = getattr(value, name)
    return value


def _plain(text: str) -> Describe:
    return lambda old, new: f"{text} {_word(new)} instead of {_word(old)}"


def _time(text: str) -> Describe:
    return lambda old, new: f"{text} {_ms(new)} instead of {_ms(old)}"


def _importance(old: int, new: int) -> str:
    when = "later" if new > old else "earlier"
    return f"shed {when}: importance {new} instead of {old}"


def _once(old: bool, new: bool) -> str:
    if new:
        return "now once-only: needs a ticket and runs at most once"
    return "no longer once-only: a repeat may run it again"


def _rollout(old: tuple[str, ...], new: tuple[str, ...]) -> str:
    return f"applies to {_domains(new)} instead of {_domains(old)}"


def _domains(names: tuple[str, ...]) -> str:
    return ", ".join(names) or "all failure domains"


def _word(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(value) or "none"
    return str(value)


def _ms(value: int) -> str:
    return f"{value} ms" if value < 1_000 else f"{value / 1_000:g} s"


_BUNDLE: dict[str, Describe] = {
    "mesh": _plain("for mesh"),
    "version": _plain("version"),
    "supersedes": _plain("supersedes version"),
    "rollout": _rollout,
    "subset_size": _plain("instances that one daemon calls:"),
    "ticket_lifetime_ms": _time("tickets last"),
}
_BUDGET: dict[str, Describe] = {
    "ratio": _plain("retries for each success:"),
    "burst": _plain("retries at once:"),
}
_SERVICE: dict[str, Describe] = {
    "slots": _plain("slots of an instance:"),
    "connections": _plain("connections of an instance:"),
    "calls": _plain("calls"),
    "cold_start_ms": _time("starts cold for"),
}
_CLASS: dict[str, Describe] = {
    "service": _plain("served by"),
    "importance": _importance,
    "once": _once,
    "deadline_ms": _time("given up on after"),
    "retries": _plain("retries in the whole chain:"),
    "caller_repeats": _plain("repeats by the caller:"),
    "max_body_bytes": _plain("largest body in bytes:"),
    "refusal.queue_ms": _time("refused after waiting"),
    "refusal.retry_after_min_ms": _time("callers come back after at least"),
    "refusal.retry_after_max_ms": _time("callers come back after at most"),
}
_TENANT: dict[str, Describe] = {"share": _plain("share under overload:")}
_SECTIONS: tuple[tuple[str, str, dict[str, Describe]], ...] = (
    ("failure domain", "failure_domains", {}),
    ("service", "services", _SERVICE),
    ("class", "classes", _CLASS),
    ("tenant", "tenants", _TENANT),
)
