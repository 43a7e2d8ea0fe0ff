"""Errors of exchanges between daemons, converted from pynng errors."""

from __future__ import annotations


class PeerError(Exception):
    """An exchange with another daemon ended without a reply."""


class PeerUnreachable(PeerError):
    """Nothing was sent because there was no connection to the peer."""


class PeerLost(PeerError):
    """The request may have arrived, but its reply is lost."""


class PeerTimeout(PeerLost):
    """No reply arrived within the timeout of the exchange."""
