"""Counters and latency histograms of one daemon."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions import stops
from sassafrasstair import histograms

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions import pipelines

ANSWERED = "answered"
"""The reason to count for an answer of an instance that was forwarded."""
ROUTES_MAX = 64
"""Maximum number of route labels; further routes count as ``other``."""
IMPORTANCES_MAX = 32
"""Maximum number of importance labels; further ones count as ``other``."""
CUSTOMERS_MAX = 400
"""Maximum number of pairs of customer and status; further customers count
as ``other``."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of one daemon, which ``render`` turns into Prometheus text."""

    answers: dict[tuple[str, str, str], int] = dataclasses.field(
        default_factory=dict
    )
    """Final answers to clients, by importance, status and reason."""
    attempts: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    """Ended attempts, by service and result."""
    repeats: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    """Repeats that the retry budget allowed or denied, by importance."""
    pipelined: dict[str, int] = dataclasses.field(default_factory=dict)
    """Requests sent before earlier answers, by ``pipelines.Fate``."""
    answers_cut: dict[str, int] = dataclasses.field(default_factory=dict)
    """Connections of clients that ended with an unsent part of an answer, by
    reason."""
    given_up: dict[str, int] = dataclasses.field(default_factory=dict)
    """Responses given up for memory, by ``memory.Kind``."""
    upstream_requests: int = 0
    """Requests sent to this VM's upstream."""
    last_resort_attempts: int = 0
    """Attempts at instances whose daemons stop."""
    state_changes: dict[str, int] = dataclasses.field(default_factory=dict)
    """Changes of the daemon's known state, by the name of the log event."""
    store_calls: dict[str, int] = dataclasses.field(default_factory=dict)
    """Calls to the store, by operation."""
    refused_items: dict[str, int] = dataclasses.field(default_factory=dict)
    """Unusable items of the store, by reason."""
    cross_domain_bytes: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    """Bytes of heads and bodies sent to and received from other failure
    domains, by route and the reason why the call left its own domain."""
    customer_answers: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    """Final answers to clients, by customer and status."""
    answer_seconds: dict[str, histograms.Series] = dataclasses.field(
        default_factory=dict
    )
    """Histograms of the seconds until the final answer, by route."""
    answered_seconds: dict[str, histograms.Series] = dataclasses.field(
        default_factory=dict
    )
    """The same for recent answers of instances alone; not rendered."""
    longest_answers: dict[str, stops.Longest] = dataclasses.field(
        default_factory=dict
    )
    """The longest recent time until an answer of an instance, by route."""


def new_counters() -> Counters:
    """Return counters at zero."""
    return Counters()


def count_answer(
    counters: Counters,
    route: str,
    importance: int,
    status: int,
    reason: str,
    seconds: float,
) -> None:
    """Count a request's final answer."""
    key = (str(importance), str(status), reason)
    counters.answers[key] = counters.answers.get(key, 0) + 1
    series = counters.answer_seconds.get(route)
    if series is None:
        if len(counters.answer_seconds) >= ROUTES_MAX:
            route = "other"
        series = counters.answer_seconds.setdefault(route, histograms.Series())
    series.observe(seconds)
    if reason == ANSWERED:
        recent = counters.answered_seconds.get(route)
        if recent is None:
            recent = counters.answered_seconds[route] = histograms.Series()
        recent.observe(seconds)


def note_answer_seconds(
    counters: Counters, route: str, seconds: float, now: float
) -> None:
    """Note how long a request took that an instance answered."""
    known = counters.longest_answers
    if route in known or len(known) < ROUTES_MAX:
        known[route] = stops.observe_longest(known.get(route), seconds, now)


def age_answered_seconds(counters: Counters) -> None:
    """Halve the weight of the earlier answers; called regularly."""
    for series in counters.answered_seconds.values():
        series.counts = [count // 2 for count in series.counts]


def count_customer_answer(
    counters: Counters, customer: str, status: int
) -> None:
    """Count a request's final answer for its customer."""
    key = (customer, str(status))
    if key not in counters.customer_answers and (
        len(counters.customer_answers) >= CUSTOMERS_MAX
    ):
        key = ("other", str(status))
    counters.customer_answers[key] = counters.customer_answers.get(key, 0) + 1


def count_attempt(counters: Counters, service: str, how: str) -> None:
    """Count the end of an attempt, with its result ``how``."""
    key = (service, how)
    counters.attempts[key] = counters.attempts.get(key, 0) + 1


def count_repeat(counters: Counters, importance: int, how: str) -> None:
    """Count a repeat; ``how`` is ``allowed`` or ``denied``."""
    label = str(importance)
    if (label, how) not in counters.repeats and (
        len(counters.repeats) >= 2 * IMPORTANCES_MAX
    ):
        label = "other"
    key = (label, how)
    counters.repeats[key] = counters.repeats.get(key, 0) + 1


def count_cut_answer(counters: Counters, reason: str) -> None:
    """Count a connection that ended with a part of an answer unsent."""
    counters.answers_cut[reason] = counters.answers_cut.get(reason, 0) + 1


def count_given_up(counters: Counters, kind: str) -> None:
    """Count a response that was given up for want of memory."""
    counters.given_up[kind] = counters.given_up.get(kind, 0) + 1


def count_pipelined(counters: Counters, fate: pipelines.Fate) -> None:
    """Count a request that a client sent before earlier answers."""
    counters.pipelined[fate.value] = counters.pipelined.get(fate.value, 0) + 1


def count_state_change(counters: Counters, what: str) -> None:
    """Count a change of the daemon's known state; ``what`` names its event."""
    counters.state_changes[what] = counters.state_changes.get(what, 0) + 1


def count_store_call(counters: Counters, verb: str) -> None:
    """Count a call to the store; ``verb`` is the operation."""
    counters.store_calls[verb] = counters.store_calls.get(verb, 0) + 1


def count_cross_domain_bytes(
    counters: Counters, route: str, why: str, size: int
) -> None:
    """Count bytes that crossed failure domains, and ``why`` they did."""
    key = (route, why)
    if (
        key not in counters.cross_domain_bytes
        and len(counters.cross_domain_bytes) >= ROUTES_MAX
    ):
        key = ("other", why)
    counters.cross_domain_bytes[key] = (
        counters.cross_domain_bytes.get(key, 0) + size
    )


def count_refused_item(counters: Counters, reason: str) -> None:
    """Count an unusable item of the store."""
    counters.refused_items[reason] = counters.refused_items.get(reason, 0) + 1


def render(counters: Counters, gauges: abc.Mapping[str, float]) -> bytes:
    """Return the Prometheus text."""
    parts = [
        histograms.render_counter(
            "requests_total",
            "Final answers to clients",
            ("importance", "status", "reason"),
            counters.answers,
        ),
        histograms.render_counter(
            "attempts_total",
            "Attempts at instances",
            ("service", "how"),
            counters.attempts,
        ),
        histograms.render_counter(
            "repeats_total",
            "Repeats, by whether the retry budget allowed them",
            ("importance", "how"),
            counters.repeats,
        ),
        histograms.render_counter(
            "pipelined_requests_total",
            "Requests sent before earlier answers, by how they were handled",
            ("how",),
            {(name,): value for name, value in counters.pipelined.items()},
        ),
        histograms.render_counter(
            "answers_cut_total",
            "Connections that ended with a part of an answer unsent",
            ("reason",),
            {(name,): value for name, value in counters.answers_cut.items()},
        ),
        histograms.render_counter(
            "memory_given_up_total",
            "Responses that were given up for want of memory",
            ("what",),
            {(name,): value for name, value in counters.given_up.items()},
        ),
        histograms.render_counter(
            "upstream_requests_total",
            "Requests sent to this VM's upstream",
            (),
            {(): counters.upstream_requests},
        ),
        histograms.render_counter(
            "last_resort_attempts_total",
            "Attempts at instances whose daemons stop, for want of others",
            (),
            {(): counters.last_resort_attempts},
        ),
        histograms.render_counter(
            "beliefs_total",
            "Changes of what the daemon believes",
            ("what",),
            {(name,): value for name, value in counters.state_changes.items()},
        ),
        histograms.render_counter(
            "store_calls_total",
            "Calls to the store",
            ("verb",),
            {(name,): value for name, value in counters.store_calls.items()},
        ),
        histograms.render_counter(
            "items_refused_total",
            "Items of the store that could not be used",
            ("reason",),
            {(name,): value for name, value in counters.refused_items.items()},
        ),
        histograms.render_counter(
            "domain_crossing_bytes_total",
            "Bytes of calls between failure domains, by why they left",
            ("route", "why"),
            counters.cross_domain_bytes,
        ),
        histograms.render_counter(
            "customer_requests_total",
            "Final answers to clients, by customer",
            ("customer", "status"),
            counters.customer_answers,
        ),
        histograms.render_gauges(gauges),
        histograms.render_histogram(
            "request_seconds",
            "Time until the final answer",
            {
                (("route", name),): series
                for name, series in counters.answer_seconds.items()
            },
        ),
    ]
    return b"".join(parts)
