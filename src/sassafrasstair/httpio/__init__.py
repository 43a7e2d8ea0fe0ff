"""HTTP/1.1 connections, parsed by ``httptools``.

``Listener`` holds the state of connections from clients, ``Pool`` that of
connections to a server. Neither decides how a request is routed. Bodies are
buffered whole, so that a truncated response is detected before any part of
it is forwarded.
"""

from __future__ import annotations

from sassafrasstair.httpio._bodies import MemoryBudget
from sassafrasstair.httpio._bodies import ResponseMemory
from sassafrasstair.httpio._exchanges import Census
from sassafrasstair.httpio._exchanges import Exchange
from sassafrasstair.httpio._exchanges import Limits
from sassafrasstair.httpio._exchanges import PartialRequest
from sassafrasstair.httpio._jobs import Failure
from sassafrasstair.httpio._jobs import Job
from sassafrasstair.httpio._listeners import Listener
from sassafrasstair.httpio._messages import combined_value
from sassafrasstair.httpio._messages import end_to_end_fields
from sassafrasstair.httpio._messages import Fields
from sassafrasstair.httpio._messages import non_forwarded_names
from sassafrasstair.httpio._messages import Request
from sassafrasstair.httpio._messages import request_head
from sassafrasstair.httpio._messages import Response
from sassafrasstair.httpio._messages import response_head
from sassafrasstair.httpio._pools import Pool
from sassafrasstair.httpio._sockets import unsent_bytes

__all__ = [
    "Census",
    "Exchange",
    "Failure",
    "Fields",
    "Job",
    "Limits",
    "Listener",
    "MemoryBudget",
    "PartialRequest",
    "Pool",
    "Request",
    "Response",
    "ResponseMemory",
    "combined_value",
    "end_to_end_fields",
    "non_forwarded_names",
    "request_head",
    "response_head",
    "unsent_bytes",
]
