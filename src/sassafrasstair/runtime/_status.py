"""Status page and gauges of the daemon for operators."""

from __future__ import annotations

import collections
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions import load
from sassafrasstair import operators

if typing.TYPE_CHECKING:
    from sassafrasstair import metrics
    from sassafrasstair.runtime import _control
    from sassafrasstair.runtime import _entries
    from sassafrasstair.runtime import _slots
    from sassafrasstair import settings


def status(
    settings_: settings.Settings,
    control: _control.Control,
    entry: _entries.Entry,
) -> operators.Status:
    """Return the daemon's status as ``/status`` shows it."""
    shown = fleet.status(control.node)
    members = shown["members"]
    return operators.Status(
        vm=settings_.vm,
        service=settings_.service,
        failure_domain=settings_.failure_domain,
        region=settings_.region,
        incarnation=entry.callee.incarnation,
        state=_state(entry),
        in_force=_in_force(control, entry, shown["in_force"]),
        newest_seen=_newest_bundle(shown["held"]),
        refused_bundles=tuple(
            _refused(control, digest, reason)
            for digest, reason in shown["refused"].items()
        ),
        conflicts=tuple(
            operators.ConflictingBundles(
                int(version),
                control.conflict_winners.get(version, ""),
                dropped,
            )
            for version, dropped in shown["conflicts"].items()
        ),
        members=members["serving"],
        members_by_domain=_members_by_domain(control),
        platform=operators.PlatformStatus(
            watching=shown["watching"],
            reachable=shown["platform_failures"] == 0,
            heard_seconds=_age(control, control.platform_heard_at),
        ),
        instance=_instance(entry.callee),
        entrance=_entrance(entry),
        counters=_counters(entry),
    )


def update_gauges(counts: metrics.Metrics, entry: _entries.Entry) -> None:
    """Set the gauges from the daemon's state."""
    instance = _instance(entry.callee)
    counts.gauges.limit = instance.limit
    counts.gauges.running = instance.running
    counts.gauges.waiting = instance.waiting
    counts.gauges.shed_floor = instance.shed_floor
    counts.gauges.in_flight = entry.in_flight
    counts.gauges.leaving = int(entry.leaving)
    shown = fleet.status(entry.node)
    counts.gauges.members = shown["members"]["serving"]


def _state(entry: _entries.Entry) -> operators.State:
    if entry.leaving or entry.callee.owner.leaving:
        return operators.State.LEAVING
    if entry.bundle() is None:
        return operators.State.STARTING
    return operators.State.SERVING


def _in_force(
    control: _control.Control,
    entry: _entries.Entry,
    shown: dict[str, typing.Any] | None,
) -> operators.InForceBundle:
    bundle = entry.bundle()
    stored = control.node.in_force
    if bundle is None or shown is None or stored is None:
        return operators.InForceBundle()
    return operators.InForceBundle(
        bundle=operators.BundleId(shown["version"], shown["digest"]),
        mesh=bundle.mesh,
        approved_by=control.approvals.get(stored.envelope_digest, ()),
        age_seconds=_age(control, control.bundle_adopted_at),
    )


def _refused(
    control: _control.Control, digest: str, text: str
) -> operators.RefusedBundle:
    source, since = control.refused_bundles.get(digest, ("", None))
    reason, _, detail = text.partition(": ")
    return operators.RefusedBundle(
        source, reason, detail, _age(control, since)
    )


def _members_by_domain(control: _control.Control) -> dict[str, int]:
    return dict(
        collections.Counter(
            member.record.failure_domain
            for member in control.node.members.values()
            if member.liveness == fleet.SERVING
        )
    )


def _age(control: _control.Control, since: float | None) -> float:
    if since is None:
        return 0.0
    return round(control.clock.monotonic() - since, 1)


def _newest_bundle(stored: list[dict[str, typing.Any]]) -> operators.BundleId:
    if not stored:
        return operators.BundleId()
    return operators.BundleId(stored[-1]["version"], stored[-1]["digest"])


def _instance(callee: _slots.Callee) -> operators.InstanceLoad:
    bundle = callee.bundle()
    service = bundle.services.get(callee.service) if bundle else None
    return operators.InstanceLoad(
        slots=service.slots if service else 0,
        limit=load.limit(callee.guard, callee.clock.monotonic()),
        running=len(callee.guard.running),
        waiting=len(callee.guard.waiting),
        shed_floor=load.floor(callee.guard, callee.clock.monotonic()),
    )


def _entrance(entry: _entries.Entry) -> operators.EntranceStatus:
    now = entry.clock.monotonic()
    floors = calls.floors(entry.entrance, now)
    return operators.EntranceStatus(
        in_flight=entry.in_flight,
        retry_tokens=calls.retry_tokens(entry.entrance),
        shed_floors={"/".join(key): floor for key, floor in floors.items()},
    )


def _counters(entry: _entries.Entry) -> dict[str, int]:
    counts = entry.callee.owner.counts
    return {
        **entry.counts.totals(),
        "doubled_attempts": entry.callee.duplicate_requests,
        "pauses": entry.callee.pauses.count,
        "tickets_issued": counts.issued,
        "tickets_run": counts.ran,
        "tickets_joined": counts.joined,
        "tickets_replayed": counts.replayed,
        "tickets_voided": counts.voided,
        "tickets_unknown": counts.unknown,
        "tickets_full": counts.full,
        "tickets_invalid": counts.invalid,
        "tickets_expired": counts.expired,
        "tickets_owner_gone": counts.owner_gone,
        # These are 0 unless there is a fault elsewhere.
        "tickets_not_sent": counts.not_sent,
        "tickets_not_run_disbelieved": counts.not_run_disbelieved,
        "tickets_ended_twice": counts.ended_twice,
    }
