"""The status that a daemon returns to operators as JSON on ``/status``."""

from __future__ import annotations

import enum

import msgspec


class State(enum.Enum):
    """Stage of a daemon's lifecycle.

    A starting daemon has no bundle in force yet and refuses every call.
    A leaving one takes no new work and finishes what is in flight.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class BundleId(msgspec.Struct, frozen=True):
    """Identifies a bundle; the greater (version, digest) takes precedence."""

    version: int = 0
    digest: str = ""


class InForceBundle(msgspec.Struct, frozen=True):
    """The bundle in force; version 0 if there is none yet.

    ``approved_by`` names the keys that signed the bundle, and
    ``age_seconds`` says how long it has been in force.
    """

    bundle: BundleId = BundleId()
    mesh: str = ""
    approved_by: tuple[str, ...] = ()
    age_seconds: float = 0.0


class RefusedBundle(msgspec.Struct, frozen=True):
    """A bundle that was refused, and why.

    ``source`` is the key on the platform or the VM that the bundle came
    from.
    """

    source: str
    reason: str
    detail: str = ""
    age_seconds: float = 0.0


class ConflictingBundles(msgspec.Struct, frozen=True):
    """Two approved bundles of one version; digests of both.

    ``kept`` takes precedence and ``dropped`` is discarded.
    """

    version: int
    kept: str
    dropped: str


class InstanceLoad(msgspec.Struct, frozen=True):
    """Load of the upstream on this VM.

    ``limit`` is how many requests may run at present, out of the ``slots``
    that the bundle allows. Requests that rank below ``shed_floor`` are
    refused.
    """

    slots: int = 0
    limit: float = 0.0
    running: int = 0
    waiting: int = 0
    shed_floor: float = 0.0


class EntranceStatus(msgspec.Struct, frozen=True):
    """Calls that this daemon handles for its callers.

    ``retry_tokens`` is the retry budget left for each service, and
    ``shed_floors`` the shed floor last reported for each class.
    """

    in_flight: int = 0
    retry_tokens: dict[str, float] = {}
    shed_floors: dict[str, float] = {}


class PlatformStatus(msgspec.Struct, frozen=True):
    """The daemon's connection to the platform.

    ``watching`` is true for the few daemons that watch the platform on
    behalf of their failure domain; the others learn of changes from them.
    ``heard_seconds`` is the time since the platform's last answer, 0 if
    there was none.
    """

    watching: bool = False
    reachable: bool = True
    heard_seconds: float = 0.0


class Status(msgspec.Struct, frozen=True):
    """All that ``sassafras status`` shows about one daemon."""

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
