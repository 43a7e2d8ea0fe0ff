"""Start, periodic work and planned stop of one daemon."""

from __future__ import annotations

import asyncio
import functools
import random
import signal
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import policies
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
from sassafrasstair.forwarding import _sync
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    from sassafrasstair import clocks

TICK_SECONDS = 0.05
SHEDDING_LOG_TICKS = 20
"""Ticks between two lines on the routes that are shed in part."""
SWEEP_TICKS = 5
"""Ticks between two looks at idle connections and at the settings."""
ACCEPT_SECONDS = 2.3
"""For how long a stopping daemon takes new connections at least: readiness
is asked once a second, and clients are sent elsewhere after two misses."""
ACCEPT_GRACE_RATIO = 0.55
"""The part of the grace after which it takes none, though clients still
come: all others of its failure domain may be away."""
UPSTREAM_GRACE_RATIO = 0.2
"""The part of the grace in which a stopping daemon's upstream still gets
work. What runs then ends before the daemon does, and the upstream is idle
for 2 s in place of 4 s."""
ANSWER_GRACE_RATIO = 0.85
"""The part of the grace after which what still runs gets an answer."""
QUIET_SECONDS = 0.3
"""Without a request for so long after that, a stopping daemon is done."""
DAEMON_LIMITS = httpio.Limits(
    body_bytes=256 * 1024 * 1024, head_bytes=65_536, idle_seconds=120.0
)
OPERATOR_LIMITS = httpio.Limits(body_bytes=0, idle_seconds=60.0)
LATE_TICK_SECONDS = 0.25
"""A tick that is later than this was held up by the machine."""


class RunningDaemon:
    """A daemon with its listeners, and what its stop waits for."""

    def __init__(self, daemon: _state.Daemon) -> None:
        self.daemon = daemon
        self.stopping = asyncio.Event()
        refuse = functools.partial(_refusal, daemon)
        self.callers = _listener(
            daemon, functools.partial(_entrance.handle, daemon), refuse
        )
        self.daemons = _listener(
            daemon, functools.partial(_inbound.handle, daemon), refuse
        )
        self.daemons.limits = DAEMON_LIMITS
        self.operators = _listener(
            daemon, functools.partial(_status.serve, daemon), refuse
        )
        self.operators.limits = OPERATOR_LIMITS
        self.settings_version = daemon.dialect.settings_mark()
        self.policy_version = -1
        self.ticked_at = daemon.clock.monotonic()


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
    await open_listeners(running)
    loop = asyncio.get_running_loop()
    # A second signal changes nothing: it must not cut requests.
    loop.add_signal_handler(signal.SIGTERM, running.stopping.set)
    loop.add_signal_handler(signal.SIGINT, running.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, running)
    journal.note(
        "started", vm=settings.vm, service=settings.service, seed=seed
    )
    start(running)
    await running.stopping.wait()
    await stop(running)


def start(running: RunningDaemon) -> None:
    """Begin to follow the store and the periodic work."""
    daemon = running.daemon
    _state.start_task(daemon, _sync.follow(daemon))
    _state.start_task(daemon, _peers.ask_while_lost(daemon))
    _state.start_task(daemon, _peers.compare(daemon))
    _state.start_task(daemon, _crash_broadcast.broadcast_forever(daemon))
    _state.start_task(daemon, _tick_forever(running))


async def open_listeners(running: RunningDaemon) -> None:
    """Listen on the addresses of the settings; raises ``OSError``."""
    settings = running.daemon.settings
    at = settings.callers
    await running.callers.open(at.host, at.port)
    at = settings.daemons
    await running.daemons.open(at.host, at.port)
    at = settings.operators
    await running.operators.open(at.host, at.port)
    if settings.seeding is not None and settings.seeding != settings.daemons:
        seeding = _listener(
            running.daemon,
            functools.partial(_inbound.handle, running.daemon),
            functools.partial(_refusal, running.daemon),
        )
        await seeding.open(settings.seeding.host, settings.seeding.port)
    at = settings.metrics
    if at != settings.operators:
        scraped = _listener(
            running.daemon,
            functools.partial(_status.serve, running.daemon),
            functools.partial(_refusal, running.daemon),
        )
        await scraped.open(at.host, at.port)


def _listener(
    daemon: _state.Daemon,
    handle: typing.Callable[[httpio.Exchange], None],
    refuse: typing.Callable[[int], httpio.Fields],
) -> httpio.Listener:
    return httpio.Listener(handle, refuse, daemon.clock, daemon.memory)


def _refusal(daemon: _state.Daemon, status: int) -> httpio.Fields:
    """Return the fields of an answer to a request not read whole."""
    daemon.journal.request("unread", str(status), status=status)
    _counters.count_answer(daemon.counters, "none", 0, status, "unread", 0.0)
    return [(b"Retry-After", b"0.5")] if status == 503 else []


async def _tick_forever(running: RunningDaemon) -> None:
    count = 0
    while True:
        await asyncio.sleep(TICK_SECONDS)
        count += 1
        try:
            _tick(running, count)
        except Exception as error:
            # One fault must not end deadlines, pings and logs for good.
            running.daemon.journal.note("tick_failed", error=repr(error))


def _tick(running: RunningDaemon, count: int) -> None:
    daemon = running.daemon
    now = daemon.clock.monotonic()
    late = now - running.ticked_at - TICK_SECONDS
    running.ticked_at = now
    if late > LATE_TICK_SECONDS:
        daemon.journal.note("held_up", seconds=late)
        for call in list(daemon.calls):
            if call.progress.deadline <= now:
                _entrance.expire_call(daemon, call)
    _callee.tick(daemon, now)
    _probes.tick(daemon, now)
    _polls.tick(daemon, now)
    _checks.tick(daemon, now)
    _quotas.tick(daemon, now)
    told = views.expire(daemon.view, now)
    _learning.learned(daemon, told, "time")
    daemon.journal.tick(now)
    if count % SWEEP_TICKS:
        return
    _use_limits(running)
    for listener in (running.callers, running.daemons, running.operators):
        listener.sweep(now)
    for pool in [*daemon.pools.values(), daemon.upstream]:
        pool.sweep(now)
    mark = daemon.dialect.settings_mark()
    if mark != running.settings_version:
        _reload(running)
    if count % SHEDDING_LOG_TICKS == 0:
        _log_shares(daemon)
        _crashes.tick(daemon, now)


def _log_shares(daemon: _state.Daemon) -> None:
    """Log which routes are shed in part, and by which load."""
    for route, gate in admission.shedding(daemon.gates):
        daemon.journal.request(
            "shedding", route, share=gate.share, load=gate.load
        )


def _use_limits(running: RunningDaemon) -> None:
    """Apply what the policy in force lets clients send."""
    table = running.daemon.view.table
    if table is None or table.policy.version == running.policy_version:
        return
    running.policy_version = table.policy.version
    running.callers.limits = _client_limits(table.policy.limits)


def _client_limits(limits: policies.ClientLimits) -> httpio.Limits:
    return httpio.Limits(
        limits.head_bytes,
        limits.body_bytes,
        limits.head_seconds,
        idle_seconds=limits.idle_seconds,
    )


def _reload(running: RunningDaemon) -> None:
    """Read the settings again; bad ones change nothing."""
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


async def stop(running: RunningDaemon) -> None:
    """End in order: no cut request, no answer made up while one comes."""
    daemon = running.daemon
    loop = asyncio.get_running_loop()
    begun = loop.time()
    grace = daemon.settings.bounds.grace_seconds
    daemon.leaving = True
    _polls.answer_all(daemon)
    daemon.journal.note("stopping", calls=len(daemon.calls))
    running.callers.closing = True
    quiet_from = begun
    while loop.time() < begun + ANSWER_GRACE_RATIO * grace:
        await asyncio.sleep(TICK_SECONDS)
        now = loop.time()
        daemon.upstream_leaving = now >= begun + UPSTREAM_GRACE_RATIO * grace
        if daemon.calls or daemon.executions:
            quiet_from = now
        quiet = now - quiet_from >= QUIET_SECONDS
        if quiet and now >= begun + min(
            ACCEPT_SECONDS, ACCEPT_GRACE_RATIO * grace
        ):
            break
        if now >= begun + ACCEPT_GRACE_RATIO * grace:
            running.callers.stop_accepting()
    running.callers.stop_accepting()
    for call in list(daemon.calls):
        _entrance.expire_call(daemon, call)
    running.callers.close_idle()
    await asyncio.sleep(TICK_SECONDS)
    for task in list(daemon.tasks):
        task.cancel()
    for check in list(daemon.store_checks):
        check.cancel()
    daemon.journal.note("stopped", seconds=loop.time() - begun)
    daemon.journal.tick(loop.time() + 1.0)
