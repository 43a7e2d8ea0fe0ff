"""The daemon's part in the fleet: gossip, and the platform's watches.

It drives ``decisions.fleet`` with real time, the link to the other
daemons and the platform's client.
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
WATCH_FAULT_SECONDS = 5.0

_LOG = logging.getLogger(__name__)
_FINDINGS = frozenset({"bundle_refused", "bundle_conflict"})
"""Events that operators must look into."""


@dataclasses.dataclass(slots=True)
class Control:
    """State of the control side. ``adopted`` is told each new bundle.

    ``heard`` is when this daemon itself last heard of the platform,
    ``adopted_at`` when the bundle in force came into force here.
    ``approvals`` names who approved an envelope, ``refused`` whence and when
    one came that was refused, ``kept`` the winner of a version's conflict.
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
    adopted_at: float = 0.0
    refused_bundles: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    conflict_winners: dict[str, str] = dataclasses.field(default_factory=dict)
    watches: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)


def tick(control: Control) -> None:
    """Let the fleet decisions do what is due."""
    now = control.clock.monotonic()
    apply_effects(control, fleet.tick(control.node, now, control.rng))


def leave(control: Control) -> None:
    """Tell the others that this VM takes no new work."""
    now = control.clock.monotonic()
    apply_effects(control, fleet.set_leaving(control.node, now, control.rng))


def handle(control: Control, message: daemons.Control) -> daemons.Message:
    """Answer one control message of a peer."""
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
    """End all tasks and the platform's connections."""
    tasks = [*control.watches, *control.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await control.client.close()


def apply_effects(control: Control, effects: list[fleet.Effect]) -> None:
    """Carry out what the fleet decisions ask."""
    for effect in effects:
        if isinstance(effect, fleet.Exchange):
            _start(control, _exchange(control, effect))
        elif isinstance(effect, fleet.Watch):
            _set_watch(control, effect.enabled)
        elif isinstance(effect, fleet.ReadPlatform):
            if not control.watches:
                _start(control, _read(control, effect.delay))
        elif isinstance(effect, fleet.InForce):
            control.adopted_at = control.clock.monotonic()
            control.on_adopted(effect.bundle)
        else:
            _report(control, effect)


def _report(control: Control, effect: fleet.ReportEvent) -> None:
    level = logging.INFO
    if effect.event in _FINDINGS:
        level = logging.WARNING
    if effect.event == "bundle_refused":
        _note_refused(control, effect.fields)
    elif effect.event == "bundle_conflict":
        control.conflict_winners[effect.fields["version"]] = effect.fields[
            "kept"
        ]
    logs.event(_LOG, level, effect.event, **effect.fields)


def _note_refused(control: Control, fields: dict[str, str]) -> None:
    control.counts.count_refused_bundle(_defect(fields["reason"]))
    now = control.clock.monotonic()
    shown = control.node.refusal_reasons
    control.refused_bundles = {
        digest: finding
        for digest, finding in control.refused_bundles.items()
        if digest in shown
    }
    control.refused_bundles[fields["digest"]] = (fields["source"], now)


def _defect(reason: str) -> bundles.Defect:
    """Return the sentinel that a refusal's text begins with."""
    name = reason.partition(":")[0].replace(" ", "_")
    known = {defect.value for defect in bundles.Defect}
    if name in known:
        return bundles.Defect(name)
    return bundles.Defect.BAD_VALUE


def _start(
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
        decoded = _decoded(reply)
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


def _decoded(reply: daemons.Message) -> fleet.Message:
    if not isinstance(reply, daemons.Control):
        raise fleet.BadMessage("not a control message")
    return fleet.decode(reply.body)


def _set_watch(control: Control, on: bool) -> None:
    for task in control.watches:
        task.cancel()
    control.watches.clear()
    logs.event(_LOG, logging.INFO, "watch", on=on)
    if on:
        loop = asyncio.get_running_loop()
        control.watches += [
            loop.create_task(
                _watch(control, configservice.BUNDLES_PREFIX, _took_bundles)
            ),
            loop.create_task(
                _watch(control, configservice.VMS_KEY, _took_vms)
            ),
        ]


async def _watch(
    control: Control,
    prefix: str,
    took: abc.Callable[[Control, configservice.Snapshot], None],
) -> None:
    index = 0
    while True:
        try:
            snapshot = await _watches.watch(
                control.client,
                prefix,
                index,
                control.counts.count_platform_read,
            )
            if snapshot.index != index:
                took(control, snapshot)
        except configservice.PlatformError as error:
            # What changed while the watch was lost is unknown: index 0
            # makes the next one a read of the whole, after a spread delay.
            index = 0
            await asyncio.sleep(_failed(control, error))
            continue
        except Exception:
            # A fault of ours must not end the watch for good: new bundles
            # would never again come into force in this failure domain.
            _LOG.exception("event=watch_fault prefix=%s", prefix)
            index = 0
            await asyncio.sleep(WATCH_FAULT_SECONDS)
            continue
        control.platform_heard_at = control.clock.monotonic()
        index = snapshot.index


async def _read(control: Control, delay: float) -> None:
    await asyncio.sleep(delay)
    try:
        control.counts.count_platform_read()
        held = await control.client.read(configservice.BUNDLES_PREFIX)
        control.counts.count_platform_read()
        vms = await control.client.read(configservice.VMS_KEY)
    except configservice.PlatformError as error:
        effects = _failure(control, error)
        apply_effects(control, effects)
        return
    control.platform_heard_at = control.clock.monotonic()
    _took_vms(control, vms)
    _took_bundles(control, held)


def _took_bundles(control: Control, snapshot: configservice.Snapshot) -> None:
    envelopes = list(snapshot.values.values())
    now = control.clock.monotonic()
    apply_effects(
        control,
        fleet.process_platform_bundles(
            control.node, envelopes, snapshot.index, now, control.rng
        ),
    )


def _took_vms(control: Control, snapshot: configservice.Snapshot) -> None:
    raw = snapshot.values.get(configservice.VMS_KEY)
    if raw is None:
        return
    try:
        entries = configservice.decode_vms(raw)
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


def _failure(
    control: Control, error: configservice.PlatformError
) -> list[fleet.Effect]:
    logs.event(_LOG, logging.WARNING, "platform_failed", detail=str(error))
    now = control.clock.monotonic()
    return fleet.process_platform_failure(control.node, now, control.rng)


def _failed(control: Control, error: configservice.PlatformError) -> float:
    """Report a lost watch; return the seconds until the next one."""
    delay = TICK_SECONDS
    for effect in _failure(control, error):
        if isinstance(effect, fleet.ReadPlatform):
            delay = max(delay, effect.delay)
        else:
            apply_effects(control, [effect])
    return delay
