"""State of a daemon's tokens, and of the allocator that may run in it."""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions import quotas
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    import asyncio

TokenCallback = typing.Callable[[outcomes.Reason], None]
"""Told ``NONE`` with a token, else why there is none."""


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request that waits for a token until its timer ends."""

    answer: TokenCallback
    timer: asyncio.TimerHandle


@dataclasses.dataclass(slots=True)
class Tokens:
    """The tokens of this daemon, and where it gets them.

    ``allocator`` is the host that is asked, and ``avoided`` those that gave
    no answer, until when.
    """

    stocks: quotas.PrefetchStore = dataclasses.field(
        default_factory=quotas.PrefetchStore
    )
    waiting: dict[str, list[WaitingRequest]] = dataclasses.field(
        default_factory=dict
    )
    allocator: str = ""
    avoided_until: dict[str, float] = dataclasses.field(default_factory=dict)
    asking: bool = False
    asked_at: float = -math.inf
    ask_soon: bool = False


@dataclasses.dataclass(slots=True)
class Allocation:
    """The allocator that runs in this daemon.

    ``asked`` is when it last was asked for tokens. ``contacts`` are the hosts
    that allocate for other domains, as far as known, and ``tried`` how many
    others were tried there in vain; ``updating`` are the domains that have an
    update under way, ``updated`` when each had the last one. ``policy`` is the
    version whose limits are taken.
    """

    allocator: quotas.Allocator
    ticked_at: float = -math.inf
    asked_at: float = -math.inf
    policy_version: int = -1
    peer_allocators: dict[str, str] = dataclasses.field(default_factory=dict)
    failed_contacts: dict[str, int] = dataclasses.field(default_factory=dict)
    updates_in_flight: set[str] = dataclasses.field(default_factory=set)
    updated_at: dict[str, float] = dataclasses.field(default_factory=dict)
