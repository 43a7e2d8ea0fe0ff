"""Pings daemons that do not answer."""

from __future__ import annotations

import asyncio
import dataclasses
import functools

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _peers
from sassafrasstair.forwarding import _silences
from sassafrasstair.forwarding import _state
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio


PING_TIMEOUT_SECONDS = 0.5
"""Timeout for a ping on a new connection; then the daemon is silent."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Ping:
    """A ping to the daemon at ``host``, sent at ``sent_at``.

    ``beats`` is the number of the daemon's ticks until then.
    """

    vm: str
    host: str
    sent_at: float
    beats: int


def tick(daemon: _state.Daemon, now: float) -> None:
    """Ping the daemons of instances that are silent or ejected."""
    daemon.beats += 1
    for vm in calls.probe_due(daemon.routes, now):
        instance = views.instance_by_id(daemon.view, vm)
        own = daemon.settings.host
        if instance is None or instance.host == own:
            calls.probe_ended(daemon.routes, vm, instance is not None, now)
            continue
        _ping(daemon, vm, instance.host)


def _ping(daemon: _state.Daemon, vm: str, host: str) -> None:
    ping = _Ping(vm, host, daemon.clock.monotonic(), daemon.beats)
    head = httpio.request_head(
        b"GET", _wire.PING_PATH, [(b"Host", host.encode())], 0
    )
    job = httpio.Job(head, functools.partial(_handle_pong, daemon, ping))
    # An old connection may have failed by itself, which would show nothing
    # about the VM.
    _state.pool(daemon, host).send_on_new(job)
    asyncio.get_running_loop().call_later(
        PING_TIMEOUT_SECONDS, _handle_timeout, daemon, ping, job
    )


def _handle_pong(
    daemon: _state.Daemon,
    ping: _Ping,
    result: httpio.Response | httpio.Failure,
) -> None:
    if isinstance(result, httpio.Failure):
        _handle_failure(daemon, ping, "peer_lost", result.value)
        return
    try:
        state = _wire.decode_state(
            result.headers.get(_wire.STATE_HEADER_LOWER, b"")
        )
    except _wire.WireError as error:
        _handle_failure(daemon, ping, "peer_lost", str(error))
        return
    _peers.note_peer_content(daemon, ping.host, state.content)
    now = daemon.clock.monotonic()
    calls.note_pong(daemon.routes, ping.vm, now)
    peer = daemon.routes.peers.get(ping.vm)
    if peer is not None and peer.unreachable and not state.leaving:
        daemon.journal.note("peer_back", peer=ping.host, instance=ping.vm)
    takes_last_resorts = state.leaving and _wire.decode_last_resort(
        result.headers.get(_wire.LAST_RESORT_HEADER_LOWER)
    )
    calls.probe_ended(
        daemon.routes, ping.vm, not state.leaving, now, takes_last_resorts
    )


def _handle_timeout(
    daemon: _state.Daemon, ping: _Ping, job: httpio.Job
) -> None:
    if job.awaited:
        accepted = job.may_have_been_sent
        job.abort()
        _handle_failure(daemon, ping, "peer_silent", "timeout", accepted)


def _handle_failure(
    daemon: _state.Daemon,
    ping: _Ping,
    event: str,
    reason: str,
    accepted: bool = False,
) -> None:
    """Send nothing more there, unless this process has been stalled itself.

    It can't tell then which of the two has been silent. ``accepted`` is set
    if the VM accepted the ping's connection.
    """
    vm, host, now = ping.vm, ping.host, daemon.clock.monotonic()
    waited = now - ping.sent_at
    if not calls.ran_enough(daemon.beats - ping.beats, waited):
        daemon.journal.note(
            "ping_unclear", peer=host, instance=vm, waited=waited
        )
        return
    peer = daemon.routes.peers.get(vm)
    if peer is not None and not peer.unreachable:
        daemon.journal.note(
            event,
            peer=host,
            instance=vm,
            reason=reason,
            in_flight=peer.in_flight,
        )
    calls.probe_ended(daemon.routes, vm, False, now, stalled=accepted)
    _state.pool(daemon, host).drop_idle()
    _silences.handle(daemon, vm)
