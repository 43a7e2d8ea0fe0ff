"""Gossip membership and bundle distribution between daemons, without I/O.

The daemon calls ``tick`` every 250 ms, passes requests of peers to
``handle_request``, and passes the result of each of its own exchanges to
``process_reply`` or ``update_after_failed_exchange``. It carries out the
effects that these functions return.

These terms have one meaning in all modules of this package:

- Platform: the configuration service that holds the VM list and the bundles.
- Index: the platform's change counter for a key, here that of the VM list.
- Bundle: the configuration of the mesh, which operators sign and publish.
- Envelope: the signed form of a bundle, its payload with the approvals.
- Settled: a daemon has finished its bootstrap, that is, it has learned enough
  from peers to serve. Messages and the status page use the same word.
- Exchange: one request to a peer's daemon and the reply to it.
- Call: a request for a service that the daemon sends to another VM. Calls are
  sent elsewhere; this package only learns whether the peer answered.
- Contact: an exchange or call, as evidence of whether the peer is reachable.
- Probe: a gossip exchange with a short timeout that tests one VM.
- Check: a liveness check of one VM, made of this daemon's own probe and, if
  asked for, of the probes of helpers.
- Gossip: the exchange of summaries with a peer, periodically one per round
  and several per round during the bootstrap.
- Push: gossip that is sent at once, because an update is urgent.
- Sync: anti-entropy. Summaries carry a checksum of the member table; where
  it differs, a daemon fetches the members of the buckets that differ.
- Rumour: an update about one VM. Every message of gossip and push, replies
  included, carries some of those that are queued. A change that comes from a
  sync, or that marks a suspected VM as gone, queues none. A rumour that only
  says that a VM serves is an announcement.
"""

from __future__ import annotations

from sassafrasstair.decisions.fleet._effects import Effect
from sassafrasstair.decisions.fleet._effects import Exchange
from sassafrasstair.decisions.fleet._effects import EXCHANGE_TIMEOUT
from sassafrasstair.decisions.fleet._effects import InForce
from sassafrasstair.decisions.fleet._effects import ReadPlatform
from sassafrasstair.decisions.fleet._effects import ReportEvent
from sassafrasstair.decisions.fleet._effects import Watch
from sassafrasstair.decisions.fleet._messages import BadMessage
from sassafrasstair.decisions.fleet._messages import BundleFetch
from sassafrasstair.decisions.fleet._messages import BundleId
from sassafrasstair.decisions.fleet._messages import BundleReply
from sassafrasstair.decisions.fleet._messages import decode
from sassafrasstair.decisions.fleet._messages import encode
from sassafrasstair.decisions.fleet._messages import Gossip
from sassafrasstair.decisions.fleet._messages import GossipReply
from sassafrasstair.decisions.fleet._messages import MembersFetch
from sassafrasstair.decisions.fleet._messages import MembersReply
from sassafrasstair.decisions.fleet._messages import Message
from sassafrasstair.decisions.fleet._messages import ProbeRequest
from sassafrasstair.decisions.fleet._messages import ProbeResult
from sassafrasstair.decisions.fleet._messages import Receipt
from sassafrasstair.decisions.fleet._messages import Record
from sassafrasstair.decisions.fleet._messages import Rumour
from sassafrasstair.decisions.fleet._messages import SERVING
from sassafrasstair.decisions.fleet._nodes import handle_request
from sassafrasstair.decisions.fleet._nodes import new_node
from sassafrasstair.decisions.fleet._nodes import observe_call
from sassafrasstair.decisions.fleet._nodes import process_platform_bundles
from sassafrasstair.decisions.fleet._nodes import process_platform_failure
from sassafrasstair.decisions.fleet._nodes import process_platform_vms
from sassafrasstair.decisions.fleet._nodes import process_reply
from sassafrasstair.decisions.fleet._nodes import set_leaving
from sassafrasstair.decisions.fleet._nodes import tick
from sassafrasstair.decisions.fleet._nodes import update_after_failed_exchange
from sassafrasstair.decisions.fleet._queries import address_of
from sassafrasstair.decisions.fleet._queries import in_force
from sassafrasstair.decisions.fleet._queries import incarnation_of
from sassafrasstair.decisions.fleet._queries import is_leaving
from sassafrasstair.decisions.fleet._queries import is_serving
from sassafrasstair.decisions.fleet._queries import other_bundles
from sassafrasstair.decisions.fleet._queries import ready_to_serve
from sassafrasstair.decisions.fleet._queries import status
from sassafrasstair.decisions.fleet._states import Node
from sassafrasstair.decisions.fleet._subsets import targets
from sassafrasstair.decisions.fleet._versions import bundle_id

__all__ = [
    "SERVING",
    "EXCHANGE_TIMEOUT",
    "BadMessage",
    "BundleFetch",
    "BundleId",
    "BundleReply",
    "Effect",
    "Exchange",
    "Gossip",
    "GossipReply",
    "InForce",
    "MembersFetch",
    "MembersReply",
    "Message",
    "Node",
    "ProbeRequest",
    "ProbeResult",
    "ReadPlatform",
    "Receipt",
    "Record",
    "ReportEvent",
    "Rumour",
    "Watch",
    "address_of",
    "bundle_id",
    "decode",
    "encode",
    "handle_request",
    "in_force",
    "incarnation_of",
    "is_leaving",
    "is_serving",
    "new_node",
    "observe_call",
    "other_bundles",
    "process_platform_bundles",
    "process_platform_failure",
    "process_platform_vms",
    "ready_to_serve",
    "process_reply",
    "set_leaving",
    "status",
    "targets",
    "tick",
    "update_after_failed_exchange",
]
