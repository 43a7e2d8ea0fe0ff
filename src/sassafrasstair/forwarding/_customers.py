"""Identifies the customer of a request, at the entrance and at the callee.

Between daemons a request carries the digest of its API key, and the callee's
daemon looks up the customer in its own policy. A client that connects to the
port for daemons therefore can't pose as a customer without knowing its key.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _endings
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state
    from sassafrasstair import httpio

UNAUTHORIZED_STATUS = 401
AUTH_SCHEME = b"ApiKey"
ANONYMOUS = policies.Customer("", ())
"""The sender of a request that needs no key."""
_REASONS = {
    policies.Unidentified.NO_KEY: outcomes.Reason.KEY_MISSING,
    policies.Unidentified.UNKNOWN_KEY: outcomes.Reason.KEY_UNKNOWN,
}


def key_digest(daemon: _state.Daemon, request: httpio.Request) -> bytes | None:
    """Return the digest of a request's API key.

    None if the policy has no customers or the request has no key.
    """
    table = daemon.view.table
    if table is None or table.customers_by_key_digest is None:
        return None
    key = request.headers.get(daemon.header_keys.key)
    return None if key is None else policies.digest_key(key.strip())


def identify(
    daemon: _state.Daemon,
    exchange: httpio.Exchange,
    route: policies.Route,
    key: bytes | None,
) -> policies.Customer | None:
    """Return the customer that sent a request.

    If the request is rejected, send the answer and return None.
    """
    table = daemon.view.table
    if table is None or table.customers_by_key_digest is None:
        return ANONYMOUS
    found = policies.identify_customer(table, route, key)
    if found is policies.Unidentified.ANONYMOUS:
        return ANONYMOUS
    now = daemon.clock.monotonic()
    if isinstance(found, policies.Unidentified):
        _reject(daemon, exchange, _REASONS[found], now)
        return None
    if not _confirmations.is_fresh(daemon, now):
        reason = outcomes.Reason.POLICY_UNCONFIRMED
        _endings.refuse_early(daemon, exchange, reason)
        return None
    return found


def identify_forwarded(
    daemon: _state.Daemon, route_name: str, key: bytes | None
) -> policies.Customer | None:
    """Return the customer of a request that another daemon forwarded.

    None if the customer can't be identified: this daemon's policy may be
    older or newer than that of the entrance.
    """
    table = daemon.view.table
    if table is None or table.customers_by_key_digest is None:
        return ANONYMOUS if key is None else None
    if key is None:
        route = table.routes_by_name.get(route_name)
        return ANONYMOUS if route is not None and route.anonymous else None
    try:
        return table.customers_by_key_digest.get(
            bytes.fromhex(key.decode("ascii"))
        )
    except ValueError:
        return None


def may_be_outdated(daemon: _state.Daemon, now: float) -> bool:
    """Return whether a newer policy may have a key that is unknown here."""
    if views.is_store_unreachable(daemon.view, now):
        return True
    if not _confirmations.has_revocation_bound(daemon):
        return False
    if views.may_lack_changes(daemon.view):
        return True
    age = views.unconfirmed_seconds(daemon.view, now)
    return age > daemon.settings.bounds.propagation_seconds


def _reject(
    daemon: _state.Daemon,
    exchange: httpio.Exchange,
    reason: outcomes.Reason,
    now: float,
) -> None:
    """Reject a request, permanently only if this daemon's policy is current.

    A newer policy might contain the key.
    """
    if may_be_outdated(daemon, now):
        reason = outcomes.Reason.POLICY_UNCONFIRMED
        _endings.refuse_early(daemon, exchange, reason)
        return
    fields = [(b"WWW-Authenticate", AUTH_SCHEME)]
    _endings.answer_early(
        daemon, exchange, UNAUTHORIZED_STATUS, reason, fields
    )
