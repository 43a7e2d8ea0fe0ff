"""Messages that daemons exchange about membership and bundles.

Messages are tagged msgspec structs in array form, which keeps their msgpack
encoding small. Each exchange is one request and one reply on a
request/reply socket.
"""

from __future__ import annotations

import typing

import msgspec

# Values of ``Liveness``, from best to worst: of two rumours of one revision
# the greater value wins.
SERVING = 0
SUSPECTED = 1
GONE = 2
Liveness = typing.Annotated[int, msgspec.Meta(ge=SERVING, le=GONE)]
COUNT_MAX = 2**53
"""Counters that a daemon raises are sent in 64 bits."""
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the platform's VM list.

    ``address`` is the "IP:port" of the VM's daemon. ``state`` is "leaving"
    once the VM is to take no new work.
    """

    vm: str
    service: str
    failure_domain: str
    region: str
    address: str
    state: typing.Literal["live", "leaving"] = "live"


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """Membership update about one VM; merging two yields the later state.

    ``incarnation`` orders the processes that have run on the VM: a restart
    has a greater one. It is empty if the update comes from the VM list
    alone, which does not name processes. ``revision`` is raised only by the
    VM's own daemon, to override what peers report about it or to change
    ``platform_unreachable``; SWIM calls this counter the incarnation.
    ``leaving`` means that the VM takes no new work, and
    ``platform_unreachable`` that the daemon on the VM cannot read the
    platform. ``record`` is omitted where peers must have it already.
    """

    vm: str
    incarnation: str
    revision: Count
    liveness: Liveness
    leaving: bool = False
    platform_unreachable: bool = False
    record: Record | None = None


class BundleId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Position of a bundle in the total order: version, then digest."""

    version: int
    digest: bytes


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """State of a daemon and the rumours that it passes on.

    ``vm``, ``address`` and ``incarnation`` identify the sender. ``settled``
    tells whether the sender has finished its bootstrap, that is, whether it
    has learned enough from peers to serve. ``vm_list_index`` is the platform
    index of the VM list that the sender has applied, ``members_checksum``
    the checksum of its member table, ``bundle_ids`` the bundles that it
    stores, and ``unreachable_domains`` the failure domains that it cannot
    reach.
    """

    vm: str
    address: str
    incarnation: str
    settled: bool
    vm_list_index: int
    members_checksum: int
    bundle_ids: tuple[BundleId, ...] = ()
    unreachable_domains: tuple[str, ...] = ()
    rumours: tuple[Rumour, ...] = ()


class Gossip(Summary, frozen=True, array_like=True, tag=1):
    """Request: the sender's summary; the peer answers with its own."""


class GossipReply(Summary, frozen=True, array_like=True, tag=2):
    """Reply: the peer's summary."""


class BundleFetch(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request: the envelope of one bundle that the peer stores."""

    bundle_id: BundleId


class BundleReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reply: the compressed envelope, empty if no longer stored."""

    bundle_id: BundleId
    compressed_envelope: bytes


class MembersFetch(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Request: all members in buckets whose checksum differs."""

    bucket_checksums: tuple[int, ...]


class MembersReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Reply: compressed msgpack of ``tuple[Rumour, ...]`` with records.

    ``vm_list_index`` is the platform index of the VM list that the peer has
    applied.
    """

    compressed_rumours: bytes
    vm_list_index: int


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Request: probe a VM and send the result to ``reply_to``.

    With ``with_helpers`` the receiver runs a full liveness check, for which
    it asks other members for indirect probes.
    """

    vm: str
    reply_to: str
    with_helpers: bool


class ProbeResult(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Request: tells the asker whether ``sender`` reached ``vm``.

    The result of a probe arrives later than the reply to ``ProbeRequest``
    and is therefore a request of its own.
    """

    vm: str
    sender: str
    reached: bool


class Receipt(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Reply: an empty acknowledgement of a request."""


Message = (
    Gossip
    | GossipReply
    | BundleFetch
    | BundleReply
    | MembersFetch
    | MembersReply
    | ProbeRequest
    | ProbeResult
    | Receipt
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_rumours_decoder = msgspec.msgpack.Decoder(tuple[Rumour, ...])


class BadMessage(Exception):
    """Bytes from a peer that are not a valid message."""


def encode(message: Message) -> bytes:
    """Return ``message`` encoded as msgpack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in ``data``; raise ``BadMessage`` if invalid."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BadMessage(str(error)) from error


def encode_rumours(rumours: tuple[Rumour, ...]) -> bytes:
    """Return ``rumours`` encoded as msgpack."""
    return _encoder.encode(rumours)


def decode_rumours(data: bytes) -> tuple[Rumour, ...]:
    """Return the rumours in ``data``; raise ``BadMessage`` if invalid."""
    try:
        return _rumours_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BadMessage(str(error)) from error
