"""What a daemon knows of policy and instances, and how it learns more."""

from __future__ import annotations

from sassafrasstair.decisions.views._confirmations import active_version
from sassafrasstair.decisions.views._confirmations import confirm
from sassafrasstair.decisions.views._confirmations import Confirmation
from sassafrasstair.decisions.views._confirmations import note_watched
from sassafrasstair.decisions.views._confirmations import note_whole
from sassafrasstair.decisions.views._confirmations import own_confirmation
from sassafrasstair.decisions.views._confirmations import receive
from sassafrasstair.decisions.views._confirmations import unconfirmed_seconds
from sassafrasstair.decisions.views._confirmations import vouches
from sassafrasstair.decisions.views._queries import born
from sassafrasstair.decisions.views._queries import count_services
from sassafrasstair.decisions.views._queries import delta
from sassafrasstair.decisions.views._queries import hosts_by_domain
from sassafrasstair.decisions.views._queries import instance
from sassafrasstair.decisions.views._queries import is_behind
from sassafrasstair.decisions.views._queries import is_replaced
from sassafrasstair.decisions.views._queries import is_restored
from sassafrasstair.decisions.views._queries import is_stale
from sassafrasstair.decisions.views._queries import knows
from sassafrasstair.decisions.views._queries import least_importance
from sassafrasstair.decisions.views._queries import lost_seconds
from sassafrasstair.decisions.views._queries import neighbours
from sassafrasstair.decisions.views._queries import snapshot
from sassafrasstair.decisions.views._queries import targets
from sassafrasstair.decisions.views._revisions import era
from sassafrasstair.decisions.views._revisions import number
from sassafrasstair.decisions.views._revisions import NUMBER_MAX
from sassafrasstair.decisions.views._revisions import revision
from sassafrasstair.decisions.views._revisions import UNORDERED
from sassafrasstair.decisions.views._types import Change
from sassafrasstair.decisions.views._types import Delta
from sassafrasstair.decisions.views._types import Instance
from sassafrasstair.decisions.views._types import InstanceState
from sassafrasstair.decisions.views._types import News
from sassafrasstair.decisions.views._types import Removed
from sassafrasstair.decisions.views._types import Snapshot
from sassafrasstair.decisions.views._types import Unusable
from sassafrasstair.decisions.views._types import usable_delta
from sassafrasstair.decisions.views._types import without_unusable
from sassafrasstair.decisions.views._views import adopt
from sassafrasstair.decisions.views._views import apply
from sassafrasstair.decisions.views._views import expire
from sassafrasstair.decisions.views._views import new_view
from sassafrasstair.decisions.views._views import note_age
from sassafrasstair.decisions.views._views import note_replaced
from sassafrasstair.decisions.views._views import note_unsteady
from sassafrasstair.decisions.views._views import replace
from sassafrasstair.decisions.views._views import source_answered
from sassafrasstair.decisions.views._views import source_failed
from sassafrasstair.decisions.views._views import take
from sassafrasstair.decisions.views._views import View

__all__ = [
    "Change",
    "Confirmation",
    "Delta",
    "Instance",
    "InstanceState",
    "NUMBER_MAX",
    "News",
    "Removed",
    "Snapshot",
    "UNORDERED",
    "Unusable",
    "View",
    "active_version",
    "adopt",
    "apply",
    "born",
    "confirm",
    "count_services",
    "delta",
    "era",
    "expire",
    "hosts_by_domain",
    "instance",
    "is_behind",
    "is_replaced",
    "is_restored",
    "is_stale",
    "knows",
    "least_importance",
    "lost_seconds",
    "neighbours",
    "new_view",
    "note_age",
    "note_replaced",
    "note_unsteady",
    "note_watched",
    "note_whole",
    "number",
    "own_confirmation",
    "receive",
    "replace",
    "revision",
    "snapshot",
    "source_answered",
    "source_failed",
    "take",
    "targets",
    "unconfirmed_seconds",
    "usable_delta",
    "vouches",
    "without_unusable",
]
