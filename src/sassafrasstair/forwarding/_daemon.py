"""Starts one daemon, runs its periodic work and shuts it down."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random
import signal
import typing

from sassafrasstair import builds
from sassafrasstair.decisions import admission
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _callee
from sassafrasstair.forwarding import _checks
from sassafrasstair.forwarding import _counters
from sassafrasstair.forwarding import _crash_broadcast
from sassafrasstair.forwarding import _crashes
from sassafrasstair.forwarding import _dialect
from sassafrasstair.forwarding import _entrance
from sassafrasstair.forwarding import _events
from sassafrasstair.forwarding import _inbound
from sassafrasstair.forwarding import _learning
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _polls
from sassafrasstair.forwarding import _probes
from sassafrasstair.forwarding import _quotas
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _status
from sassafrasstair.forwarding import _stops
from sassafrasstair.forwarding import _sync
from sassafrasstair import httpio
from sassafrasstair import loops
from sassafrasstair import resident

if typing.TYPE_CHECKING:
    from sassafrasstair import clocks

TICK_SECONDS = 0.05
SHEDDING_LOG_TICKS = 20
"""Ticks between two log lines about routes with load shedding."""
AGING_TICKS = 400
"""Ticks after which earlier answers count half in the expected times."""
SWEEP_TICKS = 5
"""Ticks between two checks of idle connections and of the settings."""
OWN_HEAD_BYTES = 16_384
OWN_FIELDS = 32
"""What daemons add at most to the head of a request that they forward."""
DAEMON_LIMITS = httpio.Limits(
    body_bytes=256 * 1024 * 1024,
    head_bytes=65_536,
    idle_seconds=120.0,
    fields=httpio.Limits().fields + OWN_FIELDS,
)
OPERATOR_LIMITS = httpio.Limits(body_bytes=0, idle_seconds=60.0)
SCARCE_MEMORY_RATIO = 0.8
"""Of the limit; more resident memory is logged."""
LATE_TICK_SECONDS = 0.25
"""A tick delayed by more than this means that the process was stalled."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
"""The signals that a daemon handles."""


class RunningDaemon:
    """A daemon with its listeners.

    ``stopping`` is set by a signal to stop, and ``signals`` knows when that
    was sent at the earliest. ``settings_version`` identifies the settings
    read last, and ``policy_version`` the policy whose limits the listeners
    for clients and for daemons apply. ``ticked_at`` is the time of the last
    tick.
    """

    def __init__(self, daemon: _state.Daemon) -> None:
        self.daemon = daemon
        self.stopping = asyncio.Event()
        self.signals = loops.Signals(daemon.clock)
        refuse = functools.partial(_refusal_fields, daemon)
        self.callers = _client_listener(daemon, refuse)
        self.daemons = _listener(
            daemon,
            functools.partial(_inbound.handle, daemon),
            functools.partial(_peer_refusal_fields, daemon),
        )
        self.daemons.limits = DAEMON_LIMITS
        self.operators = _listener(
            daemon, functools.partial(_status.serve, daemon), refuse
        )
        self.operators.limits = OPERATOR_LIMITS
        self.listeners = [self.callers, self.daemons, self.operators]
        """All, with those of further addresses in the settings."""
        self.settings_version = daemon.dialect.settings_mark()
        self.policy_version = -1
        self.ticked_at = daemon.clock.monotonic()

    def note_stop(self) -> None:
        """Note a signal to stop as it comes; another one has no effect."""
        self.signals.note()
        _stops.begin(self)

    def handle_stop(self) -> None:
        """Let the daemon stop; one more signal has no effect."""
        self.note_stop()
        self.stopping.set()


async def run(
    dialect: _dialect.Dialect,
    clock: clocks.Clock,
    sink: _events.Sink,
    seed: int,
) -> None:
    """Run a daemon until SIGTERM.

    Raises ``SettingsError``, and ``OSError`` when an address can't be
    bound.
    """
    journal = _events.Journal(sink)
    journal.attach()
    settings = dialect.settings()
    daemon = _state.new_daemon(
        dialect, settings, clock, random.Random(seed), journal
    )
    running = RunningDaemon(daemon)
    await loops.confine_signals(SIGNALS)
    # The signals are handled before the first request can be read. A second
    # signal to stop has no effect, so that it can't cut off requests.
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loops.handle_signal(number, running.note_stop, running.handle_stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, running)
    await open_listeners(running)
    journal.note(
        "started",
        vm=settings.vm,
        service=settings.service,
        seed=seed,
        build=builds.build_id(),
    )
    start(running)
    await running.stopping.wait()
    await _stops.stop(running)
    # The event loop restores the default actions of signals that it handles
    # as it closes. Another signal would end the process with an error status
    # then; its other threads get it if only this one blocks it.
    for number in SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def start(running: RunningDaemon) -> None:
    """Start to follow the store, and start the periodic tasks."""
    daemon = running.daemon
    _state.start_task(daemon, _sync.update_view_forever(daemon))
    _state.start_task(daemon, _peers.pull_while_store_lost(daemon))
    _state.start_task(daemon, _peers.compare_with_peers(daemon))
    _state.start_task(daemon, _crash_broadcast.broadcast_forever(daemon))
    _state.start_task(daemon, _tick_forever(running))


async def open_listeners(running: RunningDaemon) -> None:
    """Listen on the addresses in the settings; raises ``OSError``."""
    settings = running.daemon.settings
    _beat(running)
    address = settings.callers
    await running.callers.open(address.host, address.port)
    address = settings.daemons
    await running.daemons.open(address.host, address.port)
    address = settings.operators
    await running.operators.open(address.host, address.port)
    if settings.seeding is not None and settings.seeding != settings.daemons:
        seeding = _listener(
            running.daemon,
            functools.partial(_inbound.handle, running.daemon),
            functools.partial(_refusal_fields, running.daemon),
        )
        running.listeners.append(seeding)
        await seeding.open(settings.seeding.host, settings.seeding.port)
    address = settings.metrics
    if address != settings.operators:
        metrics = _listener(
            running.daemon,
            functools.partial(_status.serve, running.daemon),
            functools.partial(_refusal_fields, running.daemon),
        )
        metrics.limits = OPERATOR_LIMITS
        running.listeners.append(metrics)
        await metrics.open(address.host, address.port)


def _listener(
    daemon: _state.Daemon,
    handle: typing.Callable[[httpio.Exchange], None],
    refuse: typing.Callable[[int], httpio.Fields],
) -> httpio.Listener:
    return httpio.Listener(
        handle,
        refuse,
        daemon.clock,
        daemon.memory,
        answers=daemon.response_memory,
    )


def _client_listener(
    daemon: _state.Daemon, refuse: typing.Callable[[int], httpio.Fields]
) -> httpio.Listener:
    """Return the listener for clients, whose safe requests may overlap."""
    return httpio.Listener(
        functools.partial(_entrance.handle, daemon),
        refuse,
        daemon.clock,
        daemon.memory,
        functools.partial(_entrance.is_idempotent, daemon),
        functools.partial(_counters.count_pipelined, daemon.counters),
        functools.partial(_note_cut, daemon),
        daemon.response_memory,
    )


def _note_cut(daemon: _state.Daemon, reason: str) -> None:
    """Record that a client did not get the whole of an answer."""
    daemon.journal.request("answer_cut", reason)
    _counters.count_cut_answer(daemon.counters, reason)


def _refusal_fields(daemon: _state.Daemon, status: int) -> httpio.Fields:
    """Return the fields of the answer to an incompletely read request."""
    daemon.journal.request("unread", str(status), status=status)
    _counters.count_answer(daemon.counters, "none", 0, status, "unread", 0.0)
    return [(b"Retry-After", b"0.5")] if status == 503 else []


def _peer_refusal_fields(daemon: _state.Daemon, status: int) -> httpio.Fields:
    """Return the same for a request of another daemon."""
    fields = _refusal_fields(daemon, status)
    return [*fields, *_inbound.refusal_fields(daemon, status)]


async def _tick_forever(running: RunningDaemon) -> None:
    count = 0
    while True:
        await asyncio.sleep(TICK_SECONDS)
        if _tick_delay(running) > LATE_TICK_SECONDS:
            # Timers come first after a stall. What has arrived is read before
            # a limit on idle connections or half-read requests counts.
            await loops.settle()
        count += 1
        try:
            _tick(running, count)
        except Exception as error:
            # An error in one tick must not stop deadlines, pings and logs.
            running.daemon.journal.note("tick_failed", error=repr(error))
        running.signals.beat()
        _beat(running)


def _beat(running: RunningDaemon) -> None:
    """Tell the listeners for requests that the event loop runs."""
    for listener in (running.callers, running.daemons):
        listener.beat(running.ticked_at)


def _tick_delay(running: RunningDaemon) -> float:
    """Return for how many seconds the next tick is late."""
    now = running.daemon.clock.monotonic()
    return now - running.ticked_at - TICK_SECONDS


def _tick(running: RunningDaemon, count: int) -> None:
    daemon = running.daemon
    now = daemon.clock.monotonic()
    delay = _tick_delay(running)
    running.ticked_at = now
    if delay > LATE_TICK_SECONDS:
        daemon.journal.note("held_up", seconds=delay)
        for call in list(daemon.calls):
            if requests.expires_at(call.progress) <= now:
                _entrance.expire_call(daemon, call)
    _callee.tick(daemon, now)
    _probes.tick(daemon, now)
    _polls.tick(daemon, now)
    _checks.tick(daemon, now)
    _quotas.tick(daemon, now)
    news = views.expire(daemon.view, now)
    _learning.apply_news(daemon, news, "time")
    daemon.journal.tick(now)
    if count % SWEEP_TICKS:
        return
    _apply_client_limits(running)
    for listener in running.listeners:
        listener.sweep(now)
    for pool in [*daemon.pools.values(), daemon.upstream]:
        pool.sweep(now)
    _check_memory(daemon)
    version = daemon.dialect.settings_mark()
    if version != running.settings_version:
        _reload(running)
    if count % AGING_TICKS == 0:
        _counters.age_answered_seconds(daemon.counters)
    if count % SHEDDING_LOG_TICKS == 0:
        _log_shedding(daemon)
        _crashes.tick(daemon, now)


def _check_memory(daemon: _state.Daemon) -> None:
    """Make room for responses that wait, and log that memory is scarce."""
    account = daemon.response_memory
    account.sweep()
    resident_bytes = resident.resident_bytes()
    limit = daemon.settings.memory_bytes
    if account.is_scarce or resident_bytes > SCARCE_MEMORY_RATIO * limit:
        held = account.held_by_kind()
        daemon.journal.request(
            "memory_scarce",
            "responses" if account.is_scarce else "resident",
            resident=resident_bytes,
            limit=limit,
            requests=daemon.memory.held_bytes,
            **{kind.value: size for kind, size in held.items()},
        )


def _log_shedding(daemon: _state.Daemon) -> None:
    """Log what is shed, and the load or the lack of room that causes it."""
    for route, gate in admission.shedding(daemon.gates):
        daemon.journal.request(
            "shedding", route, share=gate.share, load=gate.load
        )
    for (route, importance), share in admission.cut_kinds(daemon.allowances):
        daemon.journal.request(
            "shedding_by_cost", route, importance=importance, share=share
        )
    for service, room in admission.short_rooms(daemon.allowances):
        daemon.journal.request(
            "short_of_room",
            service,
            admitted=room.fraction,
            offered=room.offered,
            wait=room.wait_seconds,
            age=daemon.clock.monotonic() - room.heard_at,
        )


def _apply_client_limits(running: RunningDaemon) -> None:
    """Apply the client limits of the policy in force."""
    table = running.daemon.view.table
    if table is None or table.policy.version == running.policy_version:
        return
    running.policy_version = table.policy.version
    running.callers.limits = _client_limits(table.policy.limits)
    running.daemons.limits = _daemon_limits(running.callers.limits)


def _client_limits(limits: policies.ClientLimits) -> httpio.Limits:
    return httpio.Limits(
        limits.head_bytes,
        limits.body_bytes,
        limits.head_seconds,
        idle_seconds=limits.idle_seconds,
    )


def _daemon_limits(limits: httpio.Limits) -> httpio.Limits:
    """Return limits that admit what another daemon got from a client."""
    return dataclasses.replace(
        DAEMON_LIMITS,
        head_bytes=max(
            DAEMON_LIMITS.head_bytes, limits.head_bytes + OWN_HEAD_BYTES
        ),
        body_bytes=max(DAEMON_LIMITS.body_bytes, limits.body_bytes),
    )


def _reload(running: RunningDaemon) -> None:
    """Reload the settings; invalid settings change nothing."""
    daemon = running.daemon
    running.settings_version = daemon.dialect.settings_mark()
    try:
        settings = daemon.dialect.settings()
    except _dialect.SettingsError as error:
        daemon.journal.note("settings_refused", error=str(error))
        return
    changed = settings != daemon.settings
    daemon.journal.note("settings_read", changed=changed)
    if changed:
        _state.apply_settings(daemon, settings)
