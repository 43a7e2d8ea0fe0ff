"""What daemons tell each other for membership and bundles.

Messages are msgspec structs in array form, tagged, so that msgpack carries
them in few bytes. Each exchange is one request and one reply on a
request/reply socket.
"""

from __future__ import annotations

import typing

import msgspec

SERVING = 0
SUSPECTED = 1
GONE = 2
Liveness = typing.Annotated[int, msgspec.Meta(ge=SERVING, le=GONE)]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the platform's VM list.

    ``address`` is the "IP:port" of the VM's daemon.
    """

    vm: str
    service: str
    failure_domain: str
    region: str
    address: str
    state: typing.Literal["live", "leaving"] = "live"


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """What is believed of one VM; merging any two gives the later belief.

    ``incarnation`` orders the processes that ran on the VM; empty means
    that only the VM list spoke of it. ``revision`` is raised only by the
    VM's own daemon, to overrule what is said of it. ``blind`` means that
    it cannot read the platform. ``record`` is left out where peers must
    have it already.
    """

    vm: str
    incarnation: str
    revision: Count
    liveness: Liveness
    leaving: bool = False
    platform_unreachable: bool = False
    record: Record | None = None


class BundleId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Place of a bundle in the total order: version, then digest."""

    version: int
    digest: bytes


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon holds, and its freshest rumours.

    ``settled`` is whether it knows enough to serve, ``members`` the
    checksum of its member table, ``cut`` the failure domains that it
    cannot reach.
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
    """Request: a summary, answered with the peer's own."""


class GossipReply(Summary, frozen=True, array_like=True, tag=2):
    """Reply: the peer's summary."""


class BundleFetch(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request: the envelope of one bundle that the peer holds."""

    bundle_id: BundleId


class BundleReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reply: the compressed envelope, empty if no longer held."""

    bundle_id: BundleId
    compressed_envelope: bytes


class MembersFetch(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Request: the members in the buckets whose checksums differ."""

    bucket_checksums: tuple[int, ...]


class MembersReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Reply: compressed msgpack of ``tuple[Rumour, ...]`` with records."""

    compressed_rumours: bytes
    vm_list_index: int


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Request: try to reach a VM and tell ``reply_to`` the result.

    ``whole`` asks the peer for a judgement of its own, with helpers.
    """

    vm: str
    reply_to: str
    with_helpers: bool


class ProbeResult(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Request: whether the sender reached the VM it was asked about."""

    vm: str
    sender: str
    reached: bool


class Receipt(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Reply: nothing to say but that the request came."""


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
_rumours = msgspec.msgpack.Decoder(tuple[Rumour, ...])


class BadMessage(Exception):
    """Bytes from a peer that are no message of this protocol."""


def encode(message: Message) -> bytes:
    """Return the bytes of ``message``."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in ``data``; raise ``BadMessage``."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise BadMessage(str(error)) from error


def encode_rumours(rumours: tuple[Rumour, ...]) -> bytes:
    """Return the bytes of a table of rumours."""
    return _encoder.encode(rumours)


def decode_rumours(data: bytes) -> tuple[Rumour, ...]:
    """Return the rumours in ``data``; raise ``BadMessage``."""
    try:
        return _rumours.decode(data)
    except msgspec.MsgspecError as error:
        raise BadMessage(str(error)) from error
