"""What overload a daemon hears of further down, and tells further up."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import load

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state


def told(daemon: _state.Daemon, guard: load.Guard, now: float) -> float:
    """Return the shed floor to tell on an answer."""
    return load.floor(guard, now)
