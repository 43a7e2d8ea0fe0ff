"""Effects that the fleet decisions return for the daemon to carry out."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair import bundles
    from sassafrasstair.decisions.fleet import _messages

# Seconds.
EXCHANGE_TIMEOUT = 1.0
PROBE_TIMEOUT = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Send ``message``; report the reply, or a failure after ``timeout``."""

    address: str
    message: _messages.Message
    timeout: float = EXCHANGE_TIMEOUT


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Start or stop a blocking watch on the platform."""

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Read all platform keys once, after ``delay`` seconds."""

    delay: float


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Put ``bundle`` in force at this daemon."""

    bundle: bundles.Bundle


@dataclasses.dataclass(frozen=True, slots=True)
class ReportEvent:
    """Write one event to the log."""

    event: str
    fields: dict[str, str]


Effect = Exchange | Watch | ReadPlatform | InForce | ReportEvent
