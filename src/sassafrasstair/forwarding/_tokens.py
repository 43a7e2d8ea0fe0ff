"""State of a daemon's quota tokens, and of its allocator if it runs one."""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions import quotas
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    import asyncio

TokenCallback = typing.Callable[[outcomes.Reason], None]
"""Called with ``NONE`` if a token was taken, else with the reason why there
is none."""


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request that waits for a token until its timer fires."""

    answer: TokenCallback
    timer: asyncio.TimerHandle


@dataclasses.dataclass(slots=True)
class Tokens:
    """The tokens of this daemon, and the allocator that grants them.

    ``stocks`` are the tokens by customer and ``waiting`` the requests that
    wait for one. ``allocator`` is the host that is asked for tokens.
    ``avoided_until`` maps hosts that did not answer to the time until which
    they are skipped. ``asking`` is set while a question to the allocator is
    pending, ``asked_at`` is the time of the last one, and ``ask_soon`` makes
    the next tick ask without waiting for the full period. ``ballot`` is this
    daemon's vote for an allocator, and ``canvassed_at`` the time when an
    allocator last asked for one.
    """

    ballot: quotas.Ballot
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
    canvassed_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Allocation:
    """The allocator that runs in this daemon.

    ``ticked_at`` is the time of its last tick, and ``asked_at`` the time when
    it was last asked for tokens. ``peer_allocators`` maps other failure
    domains to the hosts known to allocate for them, and ``failed_contacts``
    to the number of hosts that were tried there in vain.
    ``updates_in_flight`` are the domains to which an update is being sent,
    and ``updated_at`` maps domains to the time of their last update.
    ``policy_version`` is the version of the policy whose limits apply.
    ``hosts`` are the known daemons of the domain, and ``canvassed_at`` maps
    those without a vote to the time when they were last asked for one.
    """

    allocator: quotas.Allocator
    ticked_at: float = -math.inf
    asked_at: float = -math.inf
    policy_version: int = -1
    peer_allocators: dict[str, str] = dataclasses.field(default_factory=dict)
    failed_contacts: dict[str, int] = dataclasses.field(default_factory=dict)
    updates_in_flight: set[str] = dataclasses.field(default_factory=set)
    updated_at: dict[str, float] = dataclasses.field(default_factory=dict)
    hosts: frozenset[str] = frozenset()
    canvassed_at: dict[str, float] = dataclasses.field(default_factory=dict)
