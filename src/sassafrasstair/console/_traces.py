"""What the logs of several daemons say of one request."""

from __future__ import annotations

import dataclasses
import json
import typing

if typing.TYPE_CHECKING:
    from collections import abc

Line = dict[str, typing.Any]

_BELIEFS = {
    "policy_in_force": "policy",
    "store_lost": "store",
    "store_back": "store",
    "peer_lost": "peer",
    "peer_back": "peer",
    "instance_added": "instance",
    "instance_leaving": "instance",
    "instance_lapsed": "instance",
    "instance_gone": "instance",
    "instance_changed": "instance",
    "instance_crashed": "crash",
    "request_blocked": "request",
    "request_cleared": "request",
    "request_suspected": "request",
    "allocator_started": "quota",
    "shares_adopted": "quota",
    "shares_lost": "quota",
    "held_up": "machine",
    "started": "process",
    "stopping": "process",
}
"""Events that change what a process believes, by what they are about."""
_SUBJECTS = ("fingerprint", "instance", "peer")
"""Fields that name what an event is about, the most telling first."""
_HIDDEN = frozenset({"time", "level", "logger", "event", "request"})


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One log line, and the file that it stands in."""

    source: str
    line: Line


def parse(source: str, text: abc.Iterable[str]) -> abc.Iterator[Entry]:
    """Yield the events of a log.

    What stands before the first brace, as a collector's own time and host,
    names the process; lines without an event are passed over.
    """
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(raw[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line:
            words = raw[:start].split()
            yield Entry(words[-1] if words else source, line)


def explain(entries: abc.Sequence[Entry], request: str) -> list[str]:
    """Return lines on what befell the request, in the order of time.

    Behind each stands what its process believed then of what the line
    names; first, the beliefs at the time of the request's first line.
    """
    ordered = sorted(entries, key=lambda entry: str(entry.line["time"]))
    beliefs: dict[tuple[str, str, str], Line] = {}
    told: list[str] = []
    for entry in ordered:
        line = entry.line
        about = _BELIEFS.get(str(line["event"]))
        if about is not None:
            subject = next(
                (str(line[key]) for key in _SUBJECTS if line.get(key)), ""
            )
            beliefs[entry.source, about, subject] = line
        if line.get("request") != request:
            continue
        told.append(_shown(entry.source, line))
        told += _behind(beliefs, entry, line)
    return told


def _behind(
    beliefs: abc.Mapping[tuple[str, str, str], Line],
    entry: Entry,
    line: Line,
) -> list[str]:
    """Return what the process believed of the subjects of its line."""
    named = {str(line.get(key, "")) for key in _SUBJECTS}
    named |= set(str(line.get("tried", "")).split(","))
    found = []
    for (source, about, subject), belief in beliefs.items():
        if source != entry.source:
            continue
        whole = about in ("policy", "store", "machine", "process", "quota")
        if whole or (subject and subject in named):
            found.append("    then: " + _shown("", belief))
    return found


def _shown(source: str, line: Line) -> str:
    fields = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in _HIDDEN
    )
    return f"{line['time']} {source} {line['event']} {fields}".rstrip()
