"""Assembly, start and stop of the daemon."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import logging
import random
import secrets
import typing

from sassafrasstair import bundles
from sassafrasstair import callers
from sassafrasstair import clocks
from sassafrasstair import configservice
from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions import load
from sassafrasstair import logs
from sassafrasstair import loops
from sassafrasstair import metrics
from sassafrasstair import operators
from sassafrasstair.runtime import _bodies
from sassafrasstair.runtime import _children
from sassafrasstair.runtime import _control
from sassafrasstair.runtime import _departures
from sassafrasstair.runtime import _entrance
from sassafrasstair.runtime import _entries
from sassafrasstair.runtime import _execution
from sassafrasstair.runtime import _http
from sassafrasstair.runtime import _parts
from sassafrasstair.runtime import _slots
from sassafrasstair.runtime import _status
from sassafrasstair.runtime import _stops
from sassafrasstair.runtime import _tickets
from sassafrasstair import upstreams

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import settings

IDLE_LINK_CHECK_SECONDS = 10.0
PING_SECONDS = 1.0

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Daemon:
    """All state of one daemon process."""

    settings: settings.Settings
    clock: clocks.Clock
    rng: random.Random
    incarnation: str
    links: daemons.Links
    control: _control.Control
    callee: _slots.Callee
    entry: _entries.Entry
    metrics: metrics.Metrics
    signals: loops.Signals
    intake: callers.Intake = dataclasses.field(default_factory=callers.Intake)
    stopping: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def new_incarnation(clock: clocks.Clock) -> str:
    """Return an ID of this process; a later start has a greater one."""
    milliseconds = int(clock.wall().timestamp() * 1000)
    return f"{milliseconds:012x}{secrets.token_hex(4)}"


def build(settings_: settings.Settings, clock: clocks.Clock) -> Daemon:
    """Return a daemon from its settings, without doing any I/O."""
    rng = random.Random(secrets.randbits(64))
    incarnation = new_incarnation(clock)
    counts = metrics.Metrics()
    links = daemons.Links()
    approvals: dict[bytes, tuple[str, ...]] = {}
    node = _parts.new_node(
        settings_, incarnation, clock.monotonic(), rng, approvals
    )
    entrance = calls.new_entrance(
        incarnation, settings_.failure_domain, settings_.region
    )
    callee = _parts.new_callee(
        settings_, incarnation, clock, node, entrance, counts
    )
    entry = _entries.Entry(
        clock=clock,
        rng=rng,
        entrance=entrance,
        node=node,
        callee=callee,
        exchange=functools.partial(_exchange, links, node, callee),
        bundle=callee.bundle,
        counts=counts,
    )
    control = _control.Control(
        clock=clock,
        rng=rng,
        node=node,
        links=links,
        client=configservice.open_client(settings_.platform.urls),
        on_adopted=functools.partial(_adopt, callee, counts),
        counts=counts,
        approvals=approvals,
    )
    return Daemon(
        settings_,
        clock,
        rng,
        incarnation,
        links,
        control,
        callee,
        entry,
        counts,
        loops.Signals(clock),
    )


async def run(daemon: Daemon) -> None:
    """Serve until ``stop`` is called, finish requests in flight and return.

    What can't end within the grace period of the settings is given up.

    Raises ``OSError`` if one of the addresses can't be bound.
    """
    settings_ = daemon.settings
    handler = functools.partial(_handle, daemon)
    server = daemons.listen(settings_.peers.listen, handler)
    apps = (
        (settings_.callers.listen, _callers_app(daemon)),
        (settings_.operators.listen, _operators_app(daemon)),
    )
    try:
        http = await _http.start(apps)
    except OSError:
        # If the server for peers stayed open, it would go on answering for
        # a daemon that serves no callers.
        await _close(daemon, server)
        raise
    logs.event(
        _LOG,
        logging.INFO,
        "started",
        vm=settings_.vm,
        service=settings_.service,
        incarnation=daemon.incarnation,
    )
    periodic = _start_periodic_tasks(daemon)
    await daemon.stopping.wait()
    await _stops.leave(daemon, http)
    for task in periodic:
        task.cancel()
    await asyncio.gather(*periodic, return_exceptions=True)
    await _close(daemon, server)
    logs.event(_LOG, logging.INFO, "stopped", vm=settings_.vm)


def _start_periodic_tasks(daemon: Daemon) -> list[asyncio.Task[None]]:
    steps: tuple[tuple[abc.Callable[[], None], float], ...] = (
        (functools.partial(_heartbeat, daemon), calls.HEARTBEAT_SECONDS),
        (functools.partial(_tick, daemon), _control.TICK_SECONDS),
        (
            functools.partial(daemons.close_idle, daemon.links),
            IDLE_LINK_CHECK_SECONDS,
        ),
    )
    return [
        asyncio.create_task(_repeat(step, period)) for step, period in steps
    ]


async def _close(daemon: Daemon, server: daemons.Server) -> None:
    await _control.close(daemon.control)
    await daemons.close_server(server)
    daemons.close(daemon.links)
    await upstreams.close(daemon.callee.upstream)


def note_stop(daemon: Daemon) -> None:
    """Note a signal to stop as it comes; further calls have no effect."""
    daemon.signals.note()
    _stops.begin(daemon)


def stop(daemon: Daemon) -> None:
    """Begin a planned stop; further calls have no effect."""
    note_stop(daemon)
    daemon.stopping.set()


async def _repeat(step: abc.Callable[[], None], period: float) -> None:
    """Call ``step`` every ``period`` seconds until cancelled."""
    while True:
        try:
            step()
        except Exception:
            # An exception must not end the task unnoticed: the daemon would
            # go on serving with queues that never expire and members that
            # never change. The error is logged, and the next call may
            # succeed.
            _LOG.exception("periodic_fault")
        await asyncio.sleep(period)


def _heartbeat(daemon: Daemon) -> None:
    daemon.signals.beat()
    now = daemon.clock.monotonic()
    if calls.note_beat(daemon.callee.pauses, now):
        gap = daemon.callee.pauses.last_pause
        logs.event(_LOG, logging.WARNING, "woke_late", seconds=gap)
    _slots.check_deadlines(daemon.callee)
    _departures.tick(daemon.callee, now)
    _ping_ejected(daemon, now)


def _tick(daemon: Daemon) -> None:
    _control.tick(daemon.control)
    _drain_if_listed_leaving(daemon)
    _status.update_gauges(daemon.metrics, daemon.entry)


def _drain_if_listed_leaving(daemon: Daemon) -> None:
    # The platform lists this VM as leaving. Peers that have not heard of it
    # yet may still send work, which must not reach the upstream.
    if fleet.is_leaving(daemon.control.node):
        _stops.drain(daemon.callee)


def _ping_ejected(daemon: Daemon, now: float) -> None:
    for vm in calls.probe_due(daemon.entry.entrance.routes, now):
        task = asyncio.ensure_future(_ping(daemon, vm))
        daemon.control.tasks.add(task)
        task.add_done_callback(daemon.control.tasks.discard)


async def _ping(daemon: Daemon, vm: str) -> None:
    serving = False
    try:
        reply = await daemon.entry.exchange(vm, daemons.Ping(), PING_SECONDS)
        serving = isinstance(reply, daemons.Pong) and reply.serving
        _end_check(daemon, vm)
    except daemons.PeerError:
        now = daemon.clock.monotonic()
        fleet.observe_call(daemon.control.node, vm, False, "", now)
        await _disconnect_if_unreachable(daemon, vm)
    now = daemon.clock.monotonic()
    calls.probe_ended(daemon.entry.entrance.routes, vm, serving, now)


def _end_check(daemon: Daemon, vm: str) -> None:
    address = fleet.address_of(daemon.control.node, vm)
    if address is not None:
        daemons.end_check(daemon.links, address)


async def _disconnect_if_unreachable(daemon: Daemon, vm: str) -> None:
    # If a VM disappears without closing its connections, each call in
    # progress there waits until its deadline. Closing the link ends these
    # calls at once as lost, so that they can be retried elsewhere. Silence is
    # not enough, not even to all daemons: one that gets no processor for a
    # while answers no ping, and its upstream is still at work. Its system
    # accepts connections, which that of a VM that is gone does not.
    node = daemon.control.node
    address = fleet.address_of(node, vm)
    if address is None or fleet.is_serving(node, vm):
        return
    try:
        await daemons.check_silent(daemon.links, address, PING_SECONDS)
    except daemons.PeerUnreachable:
        daemons.disconnect(daemon.links, address)


async def _handle(daemon: Daemon, message: daemons.Message) -> daemons.Message:
    if isinstance(message, daemons.Control):
        return _control.handle(daemon.control, message)
    return await _serve(daemon.callee, message)


async def _serve(
    callee: _slots.Callee, message: daemons.Message
) -> daemons.Message:
    if isinstance(message, daemons.Run):
        return await _execution.run(callee, message)
    if isinstance(message, daemons.BodyPart):
        return await _bodies.receive_part(callee, message)
    if isinstance(message, daemons.AnswerFetch):
        return await _bodies.read_answer_part(callee, message)
    if isinstance(message, daemons.TicketRequest):
        return _tickets.issue(callee, message)
    if isinstance(message, daemons.Cancel):
        _slots.cancel_attempt(callee, message.attempt_id)
    if isinstance(message, daemons.Ping):
        serving = callee.bundle() is not None and not callee.owner.leaving
        return daemons.Pong(callee.incarnation, serving)
    return daemons.NoContent()


async def _exchange(
    links: daemons.Links,
    node: fleet.Node,
    callee: _slots.Callee,
    vm: str,
    message: daemons.Message,
    timeout: float,
) -> daemons.Message:
    if vm == node.local_record.vm:
        return await _exchange_locally(callee, message, timeout)
    address = fleet.address_of(node, vm)
    if address is None:
        raise daemons.PeerUnreachable(f"no address of {vm}")
    deadline = callee.clock.monotonic() + timeout
    await daemons.check_reachable(links, address, timeout)
    seconds_left = max(0.0, deadline - callee.clock.monotonic())
    return await daemons.exchange(links, address, message, seconds_left)


async def _exchange_locally(
    callee: _slots.Callee, message: daemons.Message, timeout: float
) -> daemons.Message:
    """Handle a message of this daemon's own entrance without a link."""
    # A timeout or a cancellation ends only this wait. The attempt runs in a
    # task of its own, which the entrance's ``Cancel`` message ends.
    try:
        async with asyncio.timeout(timeout):
            return await _serve(callee, message)
    except TimeoutError as error:
        raise daemons.PeerTimeout("own slot") from error


def _adopt(
    callee: _slots.Callee, counts: metrics.Metrics, bundle: bundles.Bundle
) -> None:
    counts.apply_bundle(bundle)
    service = bundle.services.get(callee.service)
    if service is not None:
        _resize_guard(callee, service)
    logs.event(
        _LOG,
        logging.INFO,
        "bundle_in_force",
        version=bundle.version,
        mesh=bundle.mesh,
    )


def _resize_guard(callee: _slots.Callee, service: bundles.Service) -> None:
    if callee.guard_sized:
        load.resize(callee.guard, service.slots)
        return
    # This is the first bundle, and no work runs before it.
    callee.guard_sized = True
    leaving = callee.guard.leaving
    callee.guard = load.new_guard(
        service.slots,
        callee.clock.monotonic(),
        cold=service.cold_start_ms > 0,
        warm_seconds=service.cold_start_ms / 1000,
    )
    callee.guard.leaving = leaving


def _callers_app(daemon: Daemon) -> typing.Any:
    return callers.create_app(
        functools.partial(_entrance.call, daemon.entry),
        functools.partial(_children.take_ticket, daemon.entry),
        daemon.intake,
        functools.partial(_entries.record_refusal, daemon.entry, ""),
    )


def _operators_app(daemon: Daemon) -> typing.Any:
    show = functools.partial(
        _status.status, daemon.settings, daemon.control, daemon.entry
    )
    return operators.create_app(show, daemon.metrics)
