"""Selection of the source of updates: the store or another daemon."""

from __future__ import annotations

from sassafrasstair.decisions.feeds._feeds import adopt_address
from sassafrasstair.decisions.feeds._feeds import choose_parent
from sassafrasstair.decisions.feeds._feeds import confirm_store
from sassafrasstair.decisions.feeds._feeds import expedite_recheck
from sassafrasstair.decisions.feeds._feeds import Feed
from sassafrasstair.decisions.feeds._feeds import is_stalled
from sassafrasstair.decisions.feeds._feeds import learn_hosts
from sassafrasstair.decisions.feeds._feeds import new_feed
from sassafrasstair.decisions.feeds._feeds import next_step
from sassafrasstair.decisions.feeds._feeds import peer_ahead_limit
from sassafrasstair.decisions.feeds._feeds import peer_answered
from sassafrasstair.decisions.feeds._feeds import peer_failed
from sassafrasstair.decisions.feeds._feeds import read_done
from sassafrasstair.decisions.feeds._feeds import read_failed
from sassafrasstair.decisions.feeds._feeds import reader_hosts
from sassafrasstair.decisions.feeds._feeds import reads_store
from sassafrasstair.decisions.feeds._feeds import request_full_read
from sassafrasstair.decisions.feeds._feeds import stands_in
from sassafrasstair.decisions.feeds._feeds import STORE
from sassafrasstair.decisions.feeds._feeds import upcoming_parent_lost_store
from sassafrasstair.decisions.feeds._orders import earlier_hosts
from sassafrasstair.decisions.feeds._orders import FANOUT
from sassafrasstair.decisions.feeds._orders import first_hosts
from sassafrasstair.decisions.feeds._orders import is_first
from sassafrasstair.decisions.feeds._orders import select_parent
from sassafrasstair.decisions.feeds._store_checks import can_recheck
from sassafrasstair.decisions.feeds._store_checks import check_answered
from sassafrasstair.decisions.feeds._store_checks import check_due
from sassafrasstair.decisions.feeds._store_checks import check_sent
from sassafrasstair.decisions.feeds._store_checks import doubt_seconds
from sassafrasstair.decisions.feeds._store_checks import lost_since
from sassafrasstair.decisions.feeds._store_checks import mark_change_missed
from sassafrasstair.decisions.feeds._store_checks import parent_in_doubt
from sassafrasstair.decisions.feeds._types import PeerStatus
from sassafrasstair.decisions.feeds._types import Poll
from sassafrasstair.decisions.feeds._types import Read
from sassafrasstair.decisions.feeds._types import Sleep
from sassafrasstair.decisions.feeds._types import Step
from sassafrasstair.decisions.feeds._types import Timing
from sassafrasstair.decisions.feeds._types import timing_for_bound
from sassafrasstair.decisions.feeds._types import Watch

__all__ = [
    "FANOUT",
    "Feed",
    "PeerStatus",
    "Poll",
    "Read",
    "STORE",
    "Sleep",
    "Step",
    "Timing",
    "Watch",
    "adopt_address",
    "can_recheck",
    "check_answered",
    "check_due",
    "check_sent",
    "choose_parent",
    "confirm_store",
    "doubt_seconds",
    "earlier_hosts",
    "first_hosts",
    "expedite_recheck",
    "is_first",
    "is_stalled",
    "learn_hosts",
    "lost_since",
    "mark_change_missed",
    "new_feed",
    "next_step",
    "parent_in_doubt",
    "peer_ahead_limit",
    "peer_answered",
    "peer_failed",
    "read_done",
    "read_failed",
    "reader_hosts",
    "reads_store",
    "request_full_read",
    "select_parent",
    "stands_in",
    "timing_for_bound",
    "upcoming_parent_lost_store",
]
