"""What a daemon tells operators of itself, as JSON on ``/status``."""

from __future__ import annotations

import enum

import msgspec


class State(enum.Enum):
    """Where a daemon stands between its start and its end.

    A starting daemon has no bundle in force yet and refuses every call.
    A leaving one takes no new work and finishes what is in flight.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class BundleId(msgspec.Struct, frozen=True):
    """One bundle: the greater pair of version and digest wins."""

    version: int = 0
    digest: str = ""


class InForceBundle(msgspec.Struct, frozen=True):
    """The bundle in force; version 0 if there is none yet."""

    bundle: BundleId = BundleId()
    mesh: str = ""
    approved_by: tuple[str, ...] = ()
    age_seconds: float = 0.0


class RefusedBundle(msgspec.Struct, frozen=True):
    """A bundle that was refused whole, and why.

    ``source`` is the platform's key or the VM that passed it on.
    """

    source: str
    reason: str
    detail: str = ""
    age_seconds: float = 0.0


class ConflictingBundles(msgspec.Struct, frozen=True):
    """Two approved bundles of one version; ``dropped`` lost."""

    version: int
    kept: str
    dropped: str


class InstanceLoad(msgspec.Struct, frozen=True):
    """Load of the upstream on this VM.

    ``limit`` is how many requests may run now, of the ``slots`` that the
    bundle gives. Ranks below ``shed_floor`` are refused.
    """

    slots: int = 0
    limit: float = 0.0
    running: int = 0
    waiting: int = 0
    shed_floor: float = 0.0


class EntranceStatus(msgspec.Struct, frozen=True):
    """Calls that callers made of this daemon.

    ``retry_tokens`` is what is left of the budget towards each service,
    ``shed_floors`` the floor last heard for each class.
    """

    in_flight: int = 0
    retry_tokens: dict[str, float] = {}
    shed_floors: dict[str, float] = {}


class PlatformStatus(msgspec.Struct, frozen=True):
    """How this daemon stands to the platform.

    ``watching`` is true for the few that watch for their failure domain;
    the others hear from these.
    """

    watching: bool = False
    reachable: bool = True
    heard_seconds: float = 0.0


class Status(msgspec.Struct, frozen=True):
    """All that ``sassafras status`` shows of one daemon."""

    vm: str
    service: str
    failure_domain: str
    region: str
    incarnation: str
    state: State
    in_force: InForceBundle = InForceBundle()
    newest_seen: BundleId = BundleId()
    refused_bundles: tuple[RefusedBundle, ...] = ()
    conflicts: tuple[ConflictingBundles, ...] = ()
    members: int = 0
    members_by_domain: dict[str, int] = {}
    platform: PlatformStatus = PlatformStatus()
    instance: InstanceLoad = InstanceLoad()
    entrance: EntranceStatus = EntranceStatus()
    counters: dict[str, int] = {}


class Health(msgspec.Struct, frozen=True):
    """The answer of ``/health``."""

    state: State
