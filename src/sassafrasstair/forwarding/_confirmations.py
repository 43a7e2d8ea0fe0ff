"""What daemons tell each other of the policy that they confirm.

Only where a key that is taken away must stop to work at daemons that are cut
off, too.
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
MARGIN_SHARE = 0.02
"""The part of the time within which a key must stop to work that is left for
clocks whose rates differ, and for the way of a request to its instance."""


def has_revocation_bound(daemon: _state.Daemon) -> bool:
    """Return whether keys must stop to work everywhere within a time."""
    return daemon.settings.bounds.revocation_seconds is not None


def is_fresh(daemon: _state.Daemon, now: float) -> bool:
    """Return whether a key of the active policy may still be accepted."""
    bound = daemon.settings.bounds.revocation_seconds
    if bound is None:
        return True
    age = views.unconfirmed_seconds(daemon.view, now)
    return age < (1.0 - MARGIN_SHARE) * bound


def headers(daemon: _state.Daemon, held: float = 0.0) -> httpio.Fields:
    """Return what to tell a peer that has asked, ``held`` seconds ago."""
    if not has_revocation_bound(daemon):
        return []
    now = daemon.clock.monotonic()
    told = views.own_confirmation(daemon.view, now, held)
    if told is None:
        return []
    return [
        (
            HEADER,
            b"%d %.3f %.3f"
            % (told.version, told.age_seconds, told.held_seconds),
        )
    ]


def receive(
    daemon: _state.Daemon, found: abc.Mapping[bytes, bytes], asked_at: float
) -> None:
    """Take what a peer that was asked at an instant confirms.

    To be called once its changes are applied. Raises ``WireError``.
    """
    value = found.get(HEADER_LOWER)
    if value is not None and has_revocation_bound(daemon):
        views.receive_confirmation(daemon.view, _decode(value), asked_at)


def _decode(value: bytes) -> views.Confirmation:
    try:
        version, age, held = value.split(b" ")
        told = views.Confirmation(int(version), float(age), float(held))
    except ValueError as error:
        raise _wire.WireError(f"confirmed: {error}") from error
    if not (told.age_seconds >= 0.0 and told.held_seconds >= 0.0):
        raise _wire.WireError("confirmed: negative")
    return told
