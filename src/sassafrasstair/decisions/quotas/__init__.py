"""Customer quotas that hold across all daemons, without a central store.

Each daemon prefetches tokens from the allocator of its failure domain. The
allocators divide each limit into shares and transfer unused shares to each
other.
"""

from __future__ import annotations

from sassafrasstair.decisions.quotas._allocators import allocated_share
from sassafrasstair.decisions.quotas._allocators import Allocator
from sassafrasstair.decisions.quotas._allocators import answer_request
from sassafrasstair.decisions.quotas._allocators import check_votes
from sassafrasstair.decisions.quotas._allocators import fill_buckets
from sassafrasstair.decisions.quotas._allocators import has_votes
from sassafrasstair.decisions.quotas._allocators import may_exchange
from sassafrasstair.decisions.quotas._allocators import new_allocator
from sassafrasstair.decisions.quotas._allocators import record_refusal
from sassafrasstair.decisions.quotas._allocators import set_limits
from sassafrasstair.decisions.quotas._allocators import set_voters
from sassafrasstair.decisions.quotas._allocators import tick
from sassafrasstair.decisions.quotas._limits import Limit
from sassafrasstair.decisions.quotas._limits import limit_with_tolerance
from sassafrasstair.decisions.quotas._limits import Rules
from sassafrasstair.decisions.quotas._messages import Acknowledged
from sassafrasstair.decisions.quotas._messages import Ask
from sassafrasstair.decisions.quotas._messages import Canvass
from sassafrasstair.decisions.quotas._messages import Grant
from sassafrasstair.decisions.quotas._messages import Granted
from sassafrasstair.decisions.quotas._messages import is_valid
from sassafrasstair.decisions.quotas._messages import Need
from sassafrasstair.decisions.quotas._messages import Update
from sassafrasstair.decisions.quotas._shares import accept_acknowledgement
from sassafrasstair.decisions.quotas._shares import adopt_share
from sassafrasstair.decisions.quotas._shares import has_changes
from sassafrasstair.decisions.quotas._shares import new_shares
from sassafrasstair.decisions.quotas._shares import receive_update
from sassafrasstair.decisions.quotas._shares import set_demands
from sassafrasstair.decisions.quotas._shares import share_available
from sassafrasstair.decisions.quotas._shares import Shares
from sassafrasstair.decisions.quotas._shares import tick as tick_shares
from sassafrasstair.decisions.quotas._shares import update_for
from sassafrasstair.decisions.quotas._stocks import demand_rate
from sassafrasstair.decisions.quotas._stocks import drop_tokens
from sassafrasstair.decisions.quotas._stocks import give_back_token
from sassafrasstair.decisions.quotas._stocks import handle_grants
from sassafrasstair.decisions.quotas._stocks import is_exhausted
from sassafrasstair.decisions.quotas._stocks import is_low
from sassafrasstair.decisions.quotas._stocks import list_needs
from sassafrasstair.decisions.quotas._stocks import PrefetchedTokens
from sassafrasstair.decisions.quotas._stocks import PrefetchStore
from sassafrasstair.decisions.quotas._stocks import take_token
from sassafrasstair.decisions.quotas._stocks import token_wait_seconds
from sassafrasstair.decisions.quotas._stocks import track_request
from sassafrasstair.decisions.quotas._stocks import usable_until
from sassafrasstair.decisions.quotas._votes import Ballot
from sassafrasstair.decisions.quotas._votes import cast_vote
from sassafrasstair.decisions.quotas._votes import ELECTORS_MAX
from sassafrasstair.decisions.quotas._votes import hosts_to_canvass
from sassafrasstair.decisions.quotas._votes import new_ballot
from sassafrasstair.decisions.quotas._votes import receive_stamp
from sassafrasstair.decisions.quotas._votes import VOTE_SECONDS

__all__ = [
    "Acknowledged",
    "Allocator",
    "Ask",
    "Ballot",
    "Canvass",
    "ELECTORS_MAX",
    "Grant",
    "Granted",
    "Limit",
    "Need",
    "Rules",
    "Shares",
    "PrefetchedTokens",
    "PrefetchStore",
    "Update",
    "VOTE_SECONDS",
    "accept_acknowledgement",
    "adopt_share",
    "allocated_share",
    "answer_request",
    "cast_vote",
    "check_votes",
    "fill_buckets",
    "demand_rate",
    "drop_tokens",
    "give_back_token",
    "handle_grants",
    "has_changes",
    "has_votes",
    "hosts_to_canvass",
    "is_exhausted",
    "is_low",
    "is_valid",
    "limit_with_tolerance",
    "list_needs",
    "may_exchange",
    "new_allocator",
    "new_ballot",
    "new_shares",
    "receive_stamp",
    "receive_update",
    "record_refusal",
    "set_demands",
    "set_limits",
    "set_voters",
    "share_available",
    "take_token",
    "tick",
    "tick_shares",
    "token_wait_seconds",
    "update_for",
    "track_request",
    "usable_until",
]
