"""Typed messages between daemons, exchanged over pynng."""

from __future__ import annotations

from sassafrasstair.daemons._errors import PeerError
from sassafrasstair.daemons._errors import PeerLost
from sassafrasstair.daemons._errors import PeerTimeout
from sassafrasstair.daemons._errors import PeerUnreachable
from sassafrasstair.daemons._links import check_reachable
from sassafrasstair.daemons._links import check_silent
from sassafrasstair.daemons._links import close
from sassafrasstair.daemons._links import close_idle
from sassafrasstair.daemons._links import disconnect
from sassafrasstair.daemons._links import end_check
from sassafrasstair.daemons._links import exchange
from sassafrasstair.daemons._links import Links
from sassafrasstair.daemons._links import start_threads
from sassafrasstair.daemons._messages import AnswerFetch
from sassafrasstair.daemons._messages import AnswerPart
from sassafrasstair.daemons._messages import BodyPart
from sassafrasstair.daemons._messages import Cancel
from sassafrasstair.daemons._messages import CHUNK_BYTES
from sassafrasstair.daemons._messages import Control
from sassafrasstair.daemons._messages import decode
from sassafrasstair.daemons._messages import encode
from sassafrasstair.daemons._messages import Message
from sassafrasstair.daemons._messages import NoContent
from sassafrasstair.daemons._messages import PartReply
from sassafrasstair.daemons._messages import Ping
from sassafrasstair.daemons._messages import Pong
from sassafrasstair.daemons._messages import Run
from sassafrasstair.daemons._messages import RunAnswer
from sassafrasstair.daemons._messages import TicketRequest
from sassafrasstair.daemons._messages import TicketResponse
from sassafrasstair.daemons._server import close as close_server
from sassafrasstair.daemons._server import listen
from sassafrasstair.daemons._server import Server

__all__ = [
    "CHUNK_BYTES",
    "AnswerFetch",
    "AnswerPart",
    "BodyPart",
    "Cancel",
    "Control",
    "Links",
    "Message",
    "NoContent",
    "PartReply",
    "PeerError",
    "PeerLost",
    "PeerTimeout",
    "PeerUnreachable",
    "Ping",
    "Pong",
    "Run",
    "RunAnswer",
    "Server",
    "TicketRequest",
    "TicketResponse",
    "check_reachable",
    "check_silent",
    "close",
    "close_idle",
    "close_server",
    "decode",
    "disconnect",
    "encode",
    "end_check",
    "exchange",
    "listen",
    "start_threads",
]
