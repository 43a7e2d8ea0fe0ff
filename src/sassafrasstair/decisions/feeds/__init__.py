"""Who reads the store, whom the others follow, and when each turns away."""

from __future__ import annotations

from sassafrasstair.decisions.feeds._feeds import adopt_address
from sassafrasstair.decisions.feeds._feeds import believes
from sassafrasstair.decisions.feeds._feeds import check_answered
from sassafrasstair.decisions.feeds._feeds import check_due
from sassafrasstair.decisions.feeds._feeds import check_sent
from sassafrasstair.decisions.feeds._feeds import choose
from sassafrasstair.decisions.feeds._feeds import doubt
from sassafrasstair.decisions.feeds._feeds import Feed
from sassafrasstair.decisions.feeds._feeds import is_stalled
from sassafrasstair.decisions.feeds._feeds import learn
from sassafrasstair.decisions.feeds._feeds import lost_from
from sassafrasstair.decisions.feeds._feeds import missed
from sassafrasstair.decisions.feeds._feeds import new_feed
from sassafrasstair.decisions.feeds._feeds import next_step
from sassafrasstair.decisions.feeds._feeds import patience
from sassafrasstair.decisions.feeds._feeds import peer_answered
from sassafrasstair.decisions.feeds._feeds import peer_failed
from sassafrasstair.decisions.feeds._feeds import read_done
from sassafrasstair.decisions.feeds._feeds import read_failed
from sassafrasstair.decisions.feeds._feeds import readers
from sassafrasstair.decisions.feeds._feeds import reads
from sassafrasstair.decisions.feeds._feeds import reread
from sassafrasstair.decisions.feeds._feeds import STORE
from sassafrasstair.decisions.feeds._feeds import without_store
from sassafrasstair.decisions.feeds._orders import earlier
from sassafrasstair.decisions.feeds._orders import FANOUT
from sassafrasstair.decisions.feeds._orders import leads
from sassafrasstair.decisions.feeds._orders import parent
from sassafrasstair.decisions.feeds._types import PeerStatus
from sassafrasstair.decisions.feeds._types import Poll
from sassafrasstair.decisions.feeds._types import Read
from sassafrasstair.decisions.feeds._types import Rest
from sassafrasstair.decisions.feeds._types import Step
from sassafrasstair.decisions.feeds._types import Timing
from sassafrasstair.decisions.feeds._types import timing
from sassafrasstair.decisions.feeds._types import Watch

__all__ = [
    "FANOUT",
    "Feed",
    "PeerStatus",
    "Poll",
    "Read",
    "Rest",
    "STORE",
    "Step",
    "Timing",
    "Watch",
    "adopt_address",
    "believes",
    "check_answered",
    "check_due",
    "check_sent",
    "choose",
    "doubt",
    "earlier",
    "is_stalled",
    "leads",
    "learn",
    "lost_from",
    "missed",
    "new_feed",
    "next_step",
    "parent",
    "patience",
    "peer_answered",
    "peer_failed",
    "read_done",
    "read_failed",
    "readers",
    "reads",
    "reread",
    "timing",
    "without_store",
]
