"""Traces one request through the logs of several daemons."""

from __future__ import annotations

import dataclasses
import json
import typing

if typing.TYPE_CHECKING:
    from collections import abc

LogFields = dict[str, typing.Any]

_TOPICS = {
    # The policy that the process applies, and whether it reaches the store
    # and each of the other daemons.
    "policy_in_force": "policy",
    "store_lost": "store",
    "store_back": "store",
    "peer_lost": "peer",
    "peer_silent": "peer",
    "peer_back": "peer",
    # An instance that vanishes from the store while it is ready has lapsed.
    # It is gone if it stays away, or vanishes while it is leaving, that is,
    # takes no new requests.
    "instance_added": "instance",
    "instance_leaving": "instance",
    "instance_lapsed": "instance",
    "instance_gone": "instance",
    "instance_changed": "instance",
    # The crash of an instance while it ran requests.
    "instance_crashed": "crash",
    # Requests are told apart by their fingerprint. One that was running in
    # repeated crashes is suspected and runs only apart from other suspects.
    # It is blocked after further crashes, and cleared once it may run freely.
    "request_blocked": "request",
    "request_cleared": "request",
    "request_suspected": "request",
    # Each failure domain has an allocator, which hands out the domain's
    # shares of the customers' quotas. Its daemon adopts them when it starts
    # as the allocator, and loses them to another allocator.
    "allocator_started": "quota",
    "shares_adopted": "quota",
    "shares_lost": "quota",
    # The process did not run for a while: its VM was paused or overloaded,
    # or the event loop was blocked.
    "held_up": "machine",
    "started": "process",
    "stopping": "process",
}
"""Events that report a change of a process's state, by topic."""
_SUBJECT_FIELDS = ("fingerprint", "instance", "peer")
"""Fields that name the subject of an event, the most specific first."""
_OMITTED_FIELDS = frozenset({"time", "level", "logger", "event", "request"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """The fields of one log line and the process that wrote it.

    ``process`` is the name from a log collector's prefix, or else the name
    of the log file.
    """

    process: str
    fields: LogFields


def parse(source: str, lines: abc.Iterable[str]) -> abc.Iterator[LogEntry]:
    """Yield the events of a log; skip lines without an event.

    A log collector may put a prefix such as time and host before the JSON
    object; its last word then names the process instead of ``source``.
    """
    for raw_line in lines:
        start = raw_line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(raw_line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            prefix = raw_line[:start].split()
            yield LogEntry(prefix[-1] if prefix else source, fields)


def explain(entries: abc.Sequence[LogEntry], request: str) -> list[str]:
    """Return the log lines of a request in the order of time.

    Each line is followed by the latest state events up to then of the same
    process, about itself and about the subjects that the line names.
    """
    ordered = sorted(entries, key=lambda entry: str(entry.fields["time"]))
    latest: dict[tuple[str, str, str], LogFields] = {}
    lines: list[str] = []
    for entry in ordered:
        fields = entry.fields
        topic = _TOPICS.get(str(fields["event"]))
        if topic is not None:
            subject = next(
                (
                    str(fields[key])
                    for key in _SUBJECT_FIELDS
                    if fields.get(key)
                ),
                "",
            )
            latest[entry.process, topic, subject] = fields
        if fields.get("request") != request:
            continue
        lines.append(_format_event(entry.process, fields))
        lines += _process_state(latest, entry, fields)
    return lines


def _process_state(
    latest: abc.Mapping[tuple[str, str, str], LogFields],
    entry: LogEntry,
    fields: LogFields,
) -> list[str]:
    """Return the state of the process that is relevant to a log line."""
    named = {str(fields.get(key, "")) for key in _SUBJECT_FIELDS}
    named |= set(str(fields.get("tried", "")).split(","))
    lines = []
    for (process, topic, subject), state in latest.items():
        if process != entry.process:
            continue
        process_wide = topic in (
            "policy",
            "store",
            "machine",
            "process",
            "quota",
        )
        # "then" means: the state of the process at the time of that line.
        if process_wide or (subject and subject in named):
            lines.append("    then: " + _format_event("", state))
    return lines


def _format_event(process: str, fields: LogFields) -> str:
    shown_fields = " ".join(
        f"{key}={value}"
        for key, value in fields.items()
        if key not in _OMITTED_FIELDS
    )
    return (
        f"{fields['time']} {process} {fields['event']} {shown_fields}".rstrip()
    )
