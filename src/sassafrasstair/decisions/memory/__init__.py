"""The memory that a process may use for responses, and who gives way.

``Account`` records what each holder has of a response: a connection to a
server what it has received, a connection to a client what the client has not
taken yet. This module decides which servers are read on while memory is
scarce, and who is given up when there is too little.
"""

from __future__ import annotations

from sassafrasstair.decisions.memory._memory import Account
from sassafrasstair.decisions.memory._memory import arrange
from sassafrasstair.decisions.memory._memory import held_by_kind
from sassafrasstair.decisions.memory._memory import hold
from sassafrasstair.decisions.memory._memory import is_scarce
from sassafrasstair.decisions.memory._memory import Kind
from sassafrasstair.decisions.memory._memory import new_account
from sassafrasstair.decisions.memory._memory import Part
from sassafrasstair.decisions.memory._memory import release
from sassafrasstair.decisions.memory._memory import SCARCE_RATIO
from sassafrasstair.decisions.memory._memory import SMALL_BYTES
from sassafrasstair.decisions.memory._memory import STALLED_SECONDS
from sassafrasstair.decisions.memory._memory import victim

__all__ = [
    "SCARCE_RATIO",
    "SMALL_BYTES",
    "STALLED_SECONDS",
    "Account",
    "Kind",
    "Part",
    "arrange",
    "held_by_kind",
    "hold",
    "is_scarce",
    "new_account",
    "release",
    "victim",
]
