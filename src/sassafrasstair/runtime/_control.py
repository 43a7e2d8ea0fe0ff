"""Exchange of gossip with other daemons, and watches on the platform.

Runs ``decisions.fleet`` with real time, the links to the other daemons and
the client of the platform. All of this together is the control side of a
daemon, as opposed to the forwarding of requests. ``Control`` is the state of
that side, and ``daemons.Control`` a message between the control sides of two
daemons.

A bundle is the signed configuration of the mesh. An envelope holds its text
and the signatures of its approvers. A bundle that passes all checks is in
force at a daemon from when the daemon adopts it, until it adopts another one.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import typing

from sassafrasstair import bundles
from sassafrasstair import configservice
from sassafrasstair import daemons
from sassafrasstair.decisions import fleet
from sassafrasstair import logs
from sassafrasstair.runtime import _watches

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair import clocks
    from sassafrasstair import metrics

TICK_SECONDS = 0.25
"""Interval of ``tick``; also the least delay before a lost watch restarts."""
WATCH_RESTART_SECONDS = 5.0
"""Delay before a watch is started again after an internal error."""

_LOG = logging.getLogger(__name__)
_WARNING_EVENTS = frozenset({"bundle_refused", "bundle_conflict"})
"""Events that are logged as warnings, since operators must act on them."""


@dataclasses.dataclass(slots=True)
class Control:
    """State of the control side of a daemon.

    ``on_adopted`` is called with each bundle that comes into force.
    ``platform_heard_at`` is when this daemon itself last got an answer of the
    platform, None if it never did; what it learns of the platform from other
    daemons doesn't count. ``bundle_adopted_at`` is when the current bundle
    came into force here. ``approvals`` maps the SHA-256 of an envelope to the
    names of its approvers. ``refused_bundles`` maps the digest of a refused
    bundle to its source and the time of the refusal. ``conflict_winners`` maps
    a version of which two bundles exist to the digest that was kept.
    """

    clock: clocks.Clock
    rng: random.Random
    node: fleet.Node
    links: daemons.Links
    client: configservice.Client
    on_adopted: abc.Callable[[bundles.Bundle], None]
    counts: metrics.Metrics
    approvals: dict[bytes, tuple[str, ...]]
    platform_heard_at: float | None = None
    bundle_adopted_at: float = 0.0
    refused_bundles: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    conflict_winners: dict[str, str] = dataclasses.field(default_factory=dict)
    watches: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)


def tick(control: Control) -> None:
    """Run the fleet work that is due."""
    now = control.clock.monotonic()
    apply_effects(control, fleet.tick(control.node, now, control.rng))


def leave(control: Control) -> None:
    """Announce to the other daemons that this VM takes no new work."""
    now = control.clock.monotonic()
    apply_effects(control, fleet.set_leaving(control.node, now, control.rng))


def handle(control: Control, message: daemons.Control) -> daemons.Message:
    """Handle one control message of a peer and return the reply."""
    try:
        decoded = fleet.decode(message.body)
    except fleet.BadMessage as error:
        logs.event(_LOG, logging.WARNING, "bad_message", detail=str(error))
        return daemons.NoContent()
    now = control.clock.monotonic()
    reply, effects = fleet.handle_request(
        control.node, decoded, now, control.rng
    )
    apply_effects(control, effects)
    if reply is None:
        return daemons.NoContent()
    return daemons.Control(fleet.encode(reply))


async def close(control: Control) -> None:
    """Cancel all tasks and close the connections to the platform."""
    tasks = [*control.watches, *control.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await control.client.close()


def apply_effects(control: Control, effects: list[fleet.Effect]) -> None:
    """Carry out the effects of fleet decisions.

    ``Exchange`` sends a message to another daemon and processes its reply.
    ``Watch`` starts or stops the watches on the platform. ``ReadPlatform``
    reads the platform once. ``InForce`` puts a bundle in force. All others
    are events to log.
    """
    for effect in effects:
        if isinstance(effect, fleet.Exchange):
            _start_task(control, _exchange(control, effect))
        elif isinstance(effect, fleet.Watch):
            _set_watch(control, effect.enabled)
        elif isinstance(effect, fleet.ReadPlatform):
            # Running watches read the same keys, so no extra read is needed.
            if not control.watches:
                _start_task(control, _read_platform(control, effect.delay))
        elif isinstance(effect, fleet.InForce):
            control.bundle_adopted_at = control.clock.monotonic()
            control.on_adopted(effect.bundle)
        else:
            _report(control, effect)


def _report(control: Control, effect: fleet.ReportEvent) -> None:
    level = logging.INFO
    if effect.event in _WARNING_EVENTS:
        level = logging.WARNING
    if effect.event == "bundle_refused":
        _record_refused_bundle(control, effect.fields)
    elif effect.event == "bundle_conflict":
        control.conflict_winners[effect.fields["version"]] = effect.fields[
            "kept"
        ]
    logs.event(_LOG, level, effect.event, **effect.fields)


def _record_refused_bundle(control: Control, fields: dict[str, str]) -> None:
    control.counts.count_refused_bundle(_defect_of(fields["reason"]))
    now = control.clock.monotonic()
    reasons = control.node.refusal_reasons
    control.refused_bundles = {
        digest: source_and_time
        for digest, source_and_time in control.refused_bundles.items()
        if digest in reasons
    }
    control.refused_bundles[fields["digest"]] = (fields["source"], now)


def _defect_of(reason: str) -> bundles.Defect:
    """Return the defect that the text of a refusal begins with.

    The text of a ``BundleError`` is the defect, a colon and the details.
    Any other text counts as ``BAD_VALUE``.
    """
    name = reason.partition(":")[0].replace(" ", "_")
    known = {defect.value for defect in bundles.Defect}
    if name in known:
        return bundles.Defect(name)
    return bundles.Defect.BAD_VALUE


def _start_task(
    control: Control, work: abc.Coroutine[typing.Any, typing.Any, None]
) -> None:
    task = asyncio.get_running_loop().create_task(work)
    control.tasks.add(task)
    task.add_done_callback(control.tasks.discard)


async def _exchange(control: Control, effect: fleet.Exchange) -> None:
    message = daemons.Control(fleet.encode(effect.message))
    try:
        reply = await daemons.exchange(
            control.links, effect.address, message, effect.timeout
        )
        decoded = _decode_reply(reply)
    except (daemons.PeerError, fleet.BadMessage):
        effects = fleet.update_after_failed_exchange(
            control.node,
            effect.address,
            control.clock.monotonic(),
            control.rng,
        )
    else:
        effects = fleet.process_reply(
            control.node,
            effect.address,
            decoded,
            control.clock.monotonic(),
            control.rng,
        )
    apply_effects(control, effects)


def _decode_reply(reply: daemons.Message) -> fleet.Message:
    if not isinstance(reply, daemons.Control):
        raise fleet.BadMessage("not a control message")
    return fleet.decode(reply.body)


def _set_watch(control: Control, enabled: bool) -> None:
    for task in control.watches:
        task.cancel()
    control.watches.clear()
    logs.event(_LOG, logging.INFO, "watch", on=enabled)
    if enabled:
        loop = asyncio.get_running_loop()
        control.watches += [
            loop.create_task(
                _watch(control, configservice.BUNDLES_PREFIX, _handle_bundles)
            ),
            # VMs announce themselves to their peers, so the list may be late.
            loop.create_task(
                _watch(
                    control,
                    configservice.VMS_KEY,
                    _handle_vm_list,
                    may_be_late=True,
                )
            ),
        ]


async def _watch(
    control: Control,
    prefix: str,
    handle_snapshot: abc.Callable[[Control, configservice.Snapshot], None],
    may_be_late: bool = False,
) -> None:
    """Watch ``prefix`` for ever; ``may_be_late`` is passed on to ``watch``."""
    known = _watches.Known()
    while True:
        try:
            snapshot = await _watches.watch(
                control.client,
                prefix,
                known,
                control.counts.count_platform_read,
                may_be_late,
            )
            current = _watches.known_of(snapshot)
            if _is_restored(known, current):
                _report_restored(prefix, known, current)
            if current != known:
                handle_snapshot(control, snapshot)
        except configservice.PlatformError as error:
            # Changes may have been missed while the watch was lost. Index 0
            # makes the next watch read everything, after a random delay.
            known = _watches.Known()
            await asyncio.sleep(_process_lost_watch(control, error))
            continue
        except Exception:
            # An internal error must not end the watch for good: new bundles
            # would never again come into force in this failure domain.
            _LOG.exception("event=watch_fault prefix=%s", prefix)
            known = _watches.Known()
            await asyncio.sleep(WATCH_RESTART_SECONDS)
            continue
        control.platform_heard_at = control.clock.monotonic()
        known = current


def _is_restored(known: _watches.Known, current: _watches.Known) -> bool:
    """Return whether the platform has lost the change that was read last."""
    was_read = known.digest != b""
    index_reused = current.index <= known.index
    return was_read and index_reused and current.digest != known.digest


def _report_restored(
    prefix: str, known: _watches.Known, current: _watches.Known
) -> None:
    logs.event(
        _LOG,
        logging.WARNING,
        "platform_restored",
        prefix=prefix,
        known_index=known.index,
        index=current.index,
    )


async def _read_platform(control: Control, delay: float) -> None:
    await asyncio.sleep(delay)
    try:
        control.counts.count_platform_read()
        bundles_read = await control.client.read(configservice.BUNDLES_PREFIX)
        control.counts.count_platform_read()
        vms = await control.client.read(configservice.VMS_KEY)
    except configservice.PlatformError as error:
        effects = _process_failure(control, error)
        apply_effects(control, effects)
        return
    control.platform_heard_at = control.clock.monotonic()
    _handle_vm_list(control, vms)
    _handle_bundles(control, bundles_read)


def _handle_bundles(
    control: Control, snapshot: configservice.Snapshot
) -> None:
    envelopes = list(snapshot.values.values())
    now = control.clock.monotonic()
    apply_effects(
        control,
        fleet.process_platform_bundles(
            control.node, envelopes, snapshot.index, now, control.rng
        ),
    )


def _handle_vm_list(
    control: Control, snapshot: configservice.Snapshot
) -> None:
    encoded = snapshot.values.get(configservice.VMS_KEY)
    if encoded is None:
        return
    try:
        entries = configservice.decode_vms(encoded)
    except configservice.PlatformError as error:
        logs.event(_LOG, logging.WARNING, "vm_list_refused", detail=str(error))
        return
    records = [
        fleet.Record(
            entry.vm,
            entry.service,
            entry.failure_domain,
            entry.region,
            entry.address,
            entry.state,
        )
        for entry in entries
    ]
    now = control.clock.monotonic()
    apply_effects(
        control,
        fleet.process_platform_vms(
            control.node, records, snapshot.index, now, control.rng
        ),
    )


def _process_failure(
    control: Control, error: configservice.PlatformError
) -> list[fleet.Effect]:
    logs.event(_LOG, logging.WARNING, "platform_failed", detail=str(error))
    now = control.clock.monotonic()
    return fleet.process_platform_failure(control.node, now, control.rng)


def _process_lost_watch(
    control: Control, error: configservice.PlatformError
) -> float:
    """Process a lost watch and return the seconds until the next one.

    The watch itself is the next read, so the delay of ``ReadPlatform`` is
    returned; all other effects are carried out here.
    """
    delay = TICK_SECONDS
    for effect in _process_failure(control, error):
        if isinstance(effect, fleet.ReadPlatform):
            delay = max(delay, effect.delay)
        else:
            apply_effects(control, [effect])
    return delay
