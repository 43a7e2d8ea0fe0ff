"""Errors of the link between daemons, turned from those of pynng."""

from __future__ import annotations


class PeerError(Exception):
    """An exchange with another daemon did not end with its reply."""


class PeerUnreachable(PeerError):
    """Nothing was sent: there was no connection to the peer."""


class PeerLost(PeerError):
    """The request may have arrived; its reply will not."""


class PeerTimeout(PeerLost):
    """No reply within the time that the exchange was given."""
