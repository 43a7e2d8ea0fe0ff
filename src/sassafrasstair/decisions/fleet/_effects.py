"""What the fleet decisions ask of the daemon that drives them."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair import bundles
    from sassafrasstair.decisions.fleet import _messages

EXCHANGE_TIMEOUT = 1.0
PROBE_TIMEOUT = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Send ``message`` and report the reply, or unreachable in time."""

    address: str
    message: _messages.Message
    timeout: float = EXCHANGE_TIMEOUT


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Hold, or give up, a blocking watch at the platform."""

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Read all platform keys once, after ``delay`` seconds."""

    delay: float


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """From now on ``bundle`` is in force at this daemon."""

    bundle: bundles.Bundle


@dataclasses.dataclass(frozen=True, slots=True)
class ReportEvent:
    """One event for the log."""

    event: str
    fields: dict[str, str]


Effect = Exchange | Watch | ReadPlatform | InForce | ReportEvent
