"""Sends and receives confirmations that a policy is the newest.

Daemons exchange them only if a revoked key must stop working within a set
time, even at daemons that are cut off from the store.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _wire

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

HEADER = b"Sassafras-Confirmed"
HEADER_LOWER = HEADER.lower()
CLOCK_MARGIN_RATIO = 0.02
"""Fraction of the revocation time that is reserved for clocks whose rates
differ, and for the transfer of a request to its instance."""


def has_revocation_bound(daemon: _state.Daemon) -> bool:
    """Return whether revoked keys must stop working within a set time."""
    return daemon.settings.bounds.revocation_seconds is not None


def is_fresh(daemon: _state.Daemon, now: float) -> bool:
    """Return whether a key of the active policy may still be accepted."""
    bound = daemon.settings.bounds.revocation_seconds
    if bound is None:
        return True
    age = views.unconfirmed_seconds(daemon.view, now)
    return age < (1.0 - CLOCK_MARGIN_RATIO) * bound


def headers(daemon: _state.Daemon, held_seconds: float = 0.0) -> httpio.Fields:
    """Return the headers for a peer that waited ``held_seconds``."""
    if not has_revocation_bound(daemon):
        return []
    now = daemon.clock.monotonic()
    confirmation = views.own_confirmation(daemon.view, now, held_seconds)
    if confirmation is None:
        return []
    return [
        (
            HEADER,
            b"%d %.3f %.3f"
            % (
                confirmation.version,
                confirmation.age_seconds,
                confirmation.held_seconds,
            ),
        )
    ]


def receive(
    daemon: _state.Daemon,
    answer_headers: abc.Mapping[bytes, bytes],
    asked_at: float,
    peer_revision: int,
) -> None:
    """Apply the confirmation in the headers of a peer's answer.

    The peer was asked at ``asked_at`` and its view has ``peer_revision``.
    Called after the changes in its answer have been applied. Raises
    ``WireError``.
    """
    value = answer_headers.get(HEADER_LOWER)
    if value is not None and has_revocation_bound(daemon):
        views.receive_confirmation(
            daemon.view, _decode(value), asked_at, peer_revision
        )


def _decode(value: bytes) -> views.Confirmation:
    try:
        version, age, held = value.split(b" ")
        return views.Confirmation(
            _wire.parse_revision(version),
            _wire.parse_amount(age),
            _wire.parse_amount(held),
        )
    except ValueError as error:
        raise _wire.WireError(f"confirmed: {error}") from error
