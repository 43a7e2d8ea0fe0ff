"""Interfaces between the daemon and the platform that it runs on."""

from __future__ import annotations

import dataclasses
import enum
import typing

from sassafrasstair.decisions import admission
from sassafrasstair.decisions import quotas

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks
    from sassafrasstair.decisions import requests
    from sassafrasstair.decisions import views


class SettingsError(Exception):
    """Invalid settings; the message names the key and the reason."""


class SourceReason(enum.Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    LOST = "lost"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    MALFORMED = "malformed"


class SourceError(Exception):
    """A failed call to the store."""

    def __init__(self, reason: SourceReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the header fields shared with clients and upstreams."""

    request_id: bytes
    deadline_ms: bytes
    target: bytes
    """Names the only instance that may run the request."""
    caller: bytes
    """Names the service on the VM where the request entered."""
    signature: bytes
    """Set by an upstream on every answer that it produced itself."""
    not_run: bytes
    """Set by an upstream on an answer to a request that it did not run."""
    key: bytes
    """Holds a customer's API key."""
    customer: bytes
    """Names the customer to the upstream."""
    rate_limit: bytes
    """Set by an upstream in need: the requests per second that it takes from
    all VMs together, a decimal number, for as long as its answers name it."""
    leaving: bytes
    """Set to 1 by an upstream on all answers once it is about to stop."""

    def lowercased(self) -> HeaderNames:
        """Return the names in lower case, for looking up received fields."""
        return HeaderNames(
            *(
                getattr(self, field.name).lower()
                for field in dataclasses.fields(self)
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform requires; durations in seconds.

    ``drain_seconds`` and ``propagation_seconds`` are the times within which
    daemons must learn of leaving instances and of new policies.
    ``grace_seconds`` is the time between SIGTERM and the end of the process.
    ``budget`` are the rules for retries, ``quota`` those for customers'
    quotas. ``revocation_seconds`` is the longest time for which a removed
    key may still work, even while the store can't be reached; None if there
    is no such limit.
    """

    drain_seconds: float
    propagation_seconds: float
    grace_seconds: float
    budget: requests.BudgetRules
    revocation_seconds: float | None = None
    quota: quotas.Rules = dataclasses.field(default_factory=quotas.Rules)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one daemon. Addresses that are None are not served.

    ``host`` is the VM's own address, by which the store names it.
    ``regions`` maps failure domains to their regions. The daemon listens on
    ``callers`` for clients and its own upstream, on ``daemons`` for other
    daemons, on ``operators`` for readiness checks and on ``metrics`` for
    metrics. On ``seeding`` it serves daemons that know no other daemon yet;
    ``seeds`` are the seeding addresses of other daemons. With
    ``places_by_objective`` requests go to instances that can meet their
    objective. With ``admits_by_cost`` the daemon learns and reports what
    requests cost, and admits them by it; ``least_share`` is then the part of
    the average share that every kind of request is admitted to a service that
    is short of room.
    """

    vm: str
    host: str
    service: str
    failure_domain: str
    regions: abc.Mapping[str, str]
    callers: Address
    daemons: Address
    operators: Address
    metrics: Address
    seeding: Address | None
    seeds: tuple[Address, ...]
    upstream: Address
    store: Address
    memory_bytes: int
    bounds: Bounds
    places_by_objective: bool = False
    admits_by_cost: bool = False
    least_share: float = admission.LEAST_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedItem:
    """An unusable item of the store, and why it is unusable."""

    key: str
    revision: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Changes of the store up to ``revision``.

    ``content`` is the revision of the last change. Both numbers include the
    store's era, see ``views.pack_revision``. ``whole`` is set if the changes
    are the entire contents of the store. ``refused`` lists unusable items.
    ``latest`` is the revision of the latest of several answers that make up
    the reading; its changes may be as late as that.
    """

    changes: tuple[views.Change, ...]
    revision: int
    content: int
    whole: bool
    refused: tuple[RefusedItem, ...] = ()
    latest: int = -1


class Source(typing.Protocol):
    """The store that publishes policy and instances."""

    async def read(self, stale: bool) -> Reading:
        """Return the entire contents of the store; raises ``SourceError``.

        ``stale`` allows an answer that may be seconds old, and costs less.
        """

    async def watch(self, after: int, wait: float) -> Reading:
        """Return the changes after a revision, waiting up to ``wait`` seconds.

        Raises ``SourceError``, with ``HISTORY_GONE`` if the changes are no
        longer available, or if the revision belongs to another era.
        """

    async def check(self, fresh: bool, latest: bool) -> int:
        """Return the store's revision.

        Without ``latest`` the revision may be seconds old; such a call is
        the cheapest that the store offers, and any reachable store answers
        it. ``fresh`` opens a new connection for the call. Raises
        ``SourceError``.
        """

    async def policy(self) -> Reading:
        """Return only the latest policy; raises ``SourceError``."""

    def close(self) -> None:
        """Close all connections."""


class Dialect(typing.Protocol):
    """Adapter to one platform.

    It supplies the names of header fields, the path of readiness checks, the
    settings and the client of the store.
    """

    names: HeaderNames
    ready_path: bytes

    def settings(self) -> Settings:
        """Read the settings; raises ``SettingsError``."""

    def settings_mark(self) -> object:
        """Return a value that changes whenever the settings change."""

    def source(self, settings: Settings, clock: clocks.Clock) -> Source:
        """Return the store that the settings name."""
