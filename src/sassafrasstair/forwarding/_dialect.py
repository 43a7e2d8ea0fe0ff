"""What the daemon needs of the place it runs in, as typed interfaces."""

from __future__ import annotations

import dataclasses
import enum
import typing

from sassafrasstair.decisions import quotas

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks
    from sassafrasstair.decisions import requests
    from sassafrasstair.decisions import views


class SettingsError(Exception):
    """Settings that can't be used; says which key and why."""


class SourceReason(enum.Enum):
    """Why the store gave no answer."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    LOST = "lost"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    MALFORMED = "malformed"


class SourceError(Exception):
    """A call to the store that failed, with its reason."""

    def __init__(self, reason: SourceReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the header fields that clients and upstreams know."""

    request_id: bytes
    deadline_ms: bytes
    target: bytes
    """Names the instance that alone may run the request."""
    caller: bytes
    """Names the service on the VM where the request began."""
    signature: bytes
    """An upstream puts it on each answer that it gave itself."""
    not_run: bytes
    """An upstream puts it on an answer when it did not run the request."""
    key: bytes
    """Holds a customer's API key."""
    customer: bytes
    """Names the customer to the upstream."""

    def lowercased(self) -> HeaderNames:
        """Return the names lower-cased, as they are looked up."""
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
    """What the place demands; durations in seconds.

    ``revocation_seconds`` is how long after it was taken away a key may work
    at most, whatever can be reached; None if that is not demanded.
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
    ``callers`` is where clients and the own upstream call, ``daemons``
    where other daemons do, ``operators`` where readiness is asked and
    ``seeding`` where a daemon asks that knows no other yet; ``seeds`` are
    such addresses of others.
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


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedItem:
    """An item of the store that could not be used, and why."""

    key: str
    revision: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Changes of the store up to ``revision``, the last at ``content``.

    Both hold the store's era, see ``views.revision``. ``whole`` when they
    are all that the store holds. ``refused`` are the items that could not be
    used.
    """

    changes: tuple[views.Change, ...]
    revision: int
    content: int
    whole: bool
    refused: tuple[RefusedItem, ...] = ()


class Source(typing.Protocol):
    """The store that publishes policy and instances."""

    async def read(self, stale: bool) -> Reading:
        """Return all that the store holds; raises ``SourceError``.

        ``stale`` takes an answer that may be seconds old, and costs less.
        """

    async def watch(self, after: int, wait: float) -> Reading:
        """Return what changed after a revision, waiting for the first.

        Raises ``SourceError``, with ``HISTORY_GONE`` when the changes are
        no longer to be had, or the revision is of another era.
        """

    async def check(self, fresh: bool, latest: bool) -> int:
        """Return the store's revision.

        It may be seconds old, and then costs as little as the store allows,
        unless the ``latest`` is asked for. It is answered as long as the
        store is there. ``fresh`` makes a connection of its own for it.
        Raises ``SourceError``.
        """

    async def policy(self) -> Reading:
        """Return the latest policy alone; raises ``SourceError``."""

    def close(self) -> None:
        """Close all connections."""


class Dialect(typing.Protocol):
    """The names and formats of one place."""

    names: HeaderNames
    ready_path: bytes

    def settings(self) -> Settings:
        """Read the settings anew; raises ``SettingsError``."""

    def settings_mark(self) -> object:
        """Return a value that changes when the settings have changed."""

    def source(self, settings: Settings, clock: clocks.Clock) -> Source:
        """Return the store that the settings name."""
