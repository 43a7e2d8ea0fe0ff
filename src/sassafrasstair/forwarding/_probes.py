"""Pings daemons that do not answer."""

from __future__ import annotations

import asyncio
import functools

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _attempts
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio


PING_TIMEOUT_SECONDS = 0.5
"""Timeout for a ping on a new connection; then the daemon is silent."""


def tick(daemon: _state.Daemon, now: float) -> None:
    """Ping the daemons of instances that are silent or ejected."""
    for vm in calls.probe_due(daemon.routes, now):
        instance = views.instance_by_id(daemon.view, vm)
        own = daemon.settings.host
        if instance is None or instance.host == own:
            calls.probe_ended(daemon.routes, vm, instance is not None, now)
            continue
        _ping(daemon, vm, instance.host)


def _ping(daemon: _state.Daemon, vm: str, host: str) -> None:
    head = httpio.request_head(
        b"GET", _wire.PING_PATH, [(b"Host", host.encode())], 0
    )
    job = httpio.Job(head, functools.partial(_handle_pong, daemon, vm, host))
    # An old connection may have failed by itself, which would show nothing
    # about the VM.
    _state.pool(daemon, host).send_on_new(job)
    asyncio.get_running_loop().call_later(
        PING_TIMEOUT_SECONDS, _handle_timeout, daemon, vm, host, job
    )


def _handle_pong(
    daemon: _state.Daemon,
    vm: str,
    host: str,
    result: httpio.Response | httpio.Failure,
) -> None:
    if isinstance(result, httpio.Failure):
        _handle_failure(daemon, vm, host, result.value)
        return
    try:
        state = _wire.decode_state(
            result.headers.get(_wire.STATE_HEADER_LOWER, b"")
        )
    except _wire.WireError as error:
        _handle_failure(daemon, vm, host, str(error))
        return
    _peers.note_peer_content(daemon, host, state.content)
    now = daemon.clock.monotonic()
    peer = daemon.routes.peers.get(vm)
    if peer is not None and peer.unreachable and not state.leaving:
        daemon.journal.note("peer_back", peer=host, instance=vm)
    calls.probe_ended(daemon.routes, vm, not state.leaving, now, state.leaving)


def _handle_timeout(
    daemon: _state.Daemon, vm: str, host: str, job: httpio.Job
) -> None:
    if job.awaited:
        job.abort()
        _handle_failure(daemon, vm, host, "timeout")


def _handle_failure(
    daemon: _state.Daemon, vm: str, host: str, reason: str
) -> None:
    now = daemon.clock.monotonic()
    peer = daemon.routes.peers.get(vm)
    if peer is not None and not peer.unreachable:
        daemon.journal.note("peer_lost", peer=host, instance=vm, reason=reason)
    calls.probe_ended(daemon.routes, vm, False, now)
    _state.pool(daemon, host).drop_idle()
    _attempts.fail_attempts_at(daemon, vm)
