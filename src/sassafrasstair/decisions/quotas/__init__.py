"""Quotas of customers over all daemons, without a store of their own.

Each daemon takes tokens ahead of need from the allocator of its failure
domain, and the allocators lend each other shares of the limits.
"""

from __future__ import annotations

from sassafrasstair.decisions.quotas._allocators import Allocator
from sassafrasstair.decisions.quotas._allocators import ask
from sassafrasstair.decisions.quotas._allocators import before_change
from sassafrasstair.decisions.quotas._allocators import new_allocator
from sassafrasstair.decisions.quotas._allocators import set_limits
from sassafrasstair.decisions.quotas._allocators import tick
from sassafrasstair.decisions.quotas._limits import Limit
from sassafrasstair.decisions.quotas._limits import limit_of
from sassafrasstair.decisions.quotas._limits import Rules
from sassafrasstair.decisions.quotas._messages import Acknowledged
from sassafrasstair.decisions.quotas._messages import Ask
from sassafrasstair.decisions.quotas._messages import Grant
from sassafrasstair.decisions.quotas._messages import Granted
from sassafrasstair.decisions.quotas._messages import is_sound
from sassafrasstair.decisions.quotas._messages import Need
from sassafrasstair.decisions.quotas._messages import Update
from sassafrasstair.decisions.quotas._shares import acknowledged
from sassafrasstair.decisions.quotas._shares import adopt
from sassafrasstair.decisions.quotas._shares import has_news
from sassafrasstair.decisions.quotas._shares import new_shares
from sassafrasstair.decisions.quotas._shares import receive
from sassafrasstair.decisions.quotas._shares import set_demands
from sassafrasstair.decisions.quotas._shares import share
from sassafrasstair.decisions.quotas._shares import Shares
from sassafrasstair.decisions.quotas._shares import tick as tick_shares
from sassafrasstair.decisions.quotas._shares import update_for
from sassafrasstair.decisions.quotas._stocks import demand
from sassafrasstair.decisions.quotas._stocks import give_back
from sassafrasstair.decisions.quotas._stocks import granted
from sassafrasstair.decisions.quotas._stocks import is_empty
from sassafrasstair.decisions.quotas._stocks import is_low
from sassafrasstair.decisions.quotas._stocks import needs
from sassafrasstair.decisions.quotas._stocks import Stock
from sassafrasstair.decisions.quotas._stocks import Stocks
from sassafrasstair.decisions.quotas._stocks import take
from sassafrasstair.decisions.quotas._stocks import token_seconds
from sassafrasstair.decisions.quotas._stocks import wanted

__all__ = [
    "Acknowledged",
    "Allocator",
    "Ask",
    "Grant",
    "Granted",
    "Limit",
    "Need",
    "Rules",
    "Shares",
    "Stock",
    "Stocks",
    "Update",
    "acknowledged",
    "adopt",
    "ask",
    "before_change",
    "demand",
    "give_back",
    "granted",
    "has_news",
    "is_empty",
    "is_low",
    "is_sound",
    "limit_of",
    "needs",
    "new_allocator",
    "new_shares",
    "receive",
    "set_demands",
    "set_limits",
    "share",
    "take",
    "tick",
    "tick_shares",
    "token_seconds",
    "update_for",
    "wanted",
]
