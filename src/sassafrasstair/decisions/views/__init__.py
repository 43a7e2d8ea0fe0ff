"""A daemon's view of the policy and instances, and updates to it."""

from __future__ import annotations

from sassafrasstair.decisions.views._confirmations import active_version
from sassafrasstair.decisions.views._confirmations import apply_confirmation
from sassafrasstair.decisions.views._confirmations import Confirmation
from sassafrasstair.decisions.views._confirmations import may_lack_changes
from sassafrasstair.decisions.views._confirmations import note_changes_read
from sassafrasstair.decisions.views._confirmations import note_full_read
from sassafrasstair.decisions.views._confirmations import own_confirmation
from sassafrasstair.decisions.views._confirmations import receive_confirmation
from sassafrasstair.decisions.views._confirmations import unconfirmed_seconds
from sassafrasstair.decisions.views._confirmations import up_to_date_with
from sassafrasstair.decisions.views._queries import born_at
from sassafrasstair.decisions.views._queries import count_services
from sassafrasstair.decisions.views._queries import delta_since
from sassafrasstair.decisions.views._queries import hosts_by_domain
from sassafrasstair.decisions.views._queries import instance_by_id
from sassafrasstair.decisions.views._queries import is_behind
from sassafrasstair.decisions.views._queries import is_replaced
from sassafrasstair.decisions.views._queries import is_restored
from sassafrasstair.decisions.views._queries import is_store_unreachable
from sassafrasstair.decisions.views._queries import knows_policy
from sassafrasstair.decisions.views._queries import least_importance
from sassafrasstair.decisions.views._queries import lost_store_seconds
from sassafrasstair.decisions.views._queries import other_hosts
from sassafrasstair.decisions.views._queries import snapshot
from sassafrasstair.decisions.views._queries import targets
from sassafrasstair.decisions.views._revisions import era_of
from sassafrasstair.decisions.views._revisions import number_in_era
from sassafrasstair.decisions.views._revisions import NUMBER_MAX
from sassafrasstair.decisions.views._revisions import pack_revision
from sassafrasstair.decisions.views._revisions import REVISION_MAX
from sassafrasstair.decisions.views._revisions import UNORDERED
from sassafrasstair.decisions.views._types import BORN_MS_MAX
from sassafrasstair.decisions.views._types import Change
from sassafrasstair.decisions.views._types import COLD_SECONDS_MAX
from sassafrasstair.decisions.views._types import Delta
from sassafrasstair.decisions.views._types import Instance
from sassafrasstair.decisions.views._types import InstanceState
from sassafrasstair.decisions.views._types import News
from sassafrasstair.decisions.views._types import Removed
from sassafrasstair.decisions.views._types import SLOTS_MAX
from sassafrasstair.decisions.views._types import Snapshot
from sassafrasstair.decisions.views._types import Unusable
from sassafrasstair.decisions.views._types import usable_delta
from sassafrasstair.decisions.views._types import without_unusable
from sassafrasstair.decisions.views._views import adopt_snapshot
from sassafrasstair.decisions.views._views import apply_changes
from sassafrasstair.decisions.views._views import expire
from sassafrasstair.decisions.views._views import new_view
from sassafrasstair.decisions.views._views import note_ahead
from sassafrasstair.decisions.views._views import note_peer_age
from sassafrasstair.decisions.views._views import note_replaced
from sassafrasstair.decisions.views._views import note_said_to_leave
from sassafrasstair.decisions.views._views import note_store_recovering
from sassafrasstair.decisions.views._views import replace_all
from sassafrasstair.decisions.views._views import store_answered
from sassafrasstair.decisions.views._views import store_failed
from sassafrasstair.decisions.views._views import take_delta
from sassafrasstair.decisions.views._views import View

__all__ = [
    "BORN_MS_MAX",
    "COLD_SECONDS_MAX",
    "Change",
    "Confirmation",
    "Delta",
    "Instance",
    "InstanceState",
    "NUMBER_MAX",
    "News",
    "REVISION_MAX",
    "Removed",
    "SLOTS_MAX",
    "Snapshot",
    "UNORDERED",
    "Unusable",
    "View",
    "active_version",
    "adopt_snapshot",
    "apply_changes",
    "apply_confirmation",
    "born_at",
    "count_services",
    "delta_since",
    "era_of",
    "expire",
    "hosts_by_domain",
    "instance_by_id",
    "is_behind",
    "is_replaced",
    "is_restored",
    "is_store_unreachable",
    "knows_policy",
    "least_importance",
    "lost_store_seconds",
    "may_lack_changes",
    "new_view",
    "note_ahead",
    "note_changes_read",
    "note_full_read",
    "note_peer_age",
    "note_replaced",
    "note_said_to_leave",
    "note_store_recovering",
    "number_in_era",
    "other_hosts",
    "own_confirmation",
    "pack_revision",
    "receive_confirmation",
    "replace_all",
    "snapshot",
    "store_answered",
    "store_failed",
    "take_delta",
    "targets",
    "unconfirmed_seconds",
    "up_to_date_with",
    "usable_delta",
    "without_unusable",
]
