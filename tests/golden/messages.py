"""One full message of each kind, and how each is encoded and read again.

Fields are given by position, so that a renamed field changes the bytes alone.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import typing

import msgspec

from sassafrasstair import bundles
from sassafrasstair.callers import _refusals
from sassafrasstair.callers import _request
from sassafrasstair.configservice import _vms
from sassafrasstair.daemons import _messages
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import crashes
from sassafrasstair.decisions import feeds
from sassafrasstair.decisions.fleet import _messages as fleet_messages
from sassafrasstair.decisions.once import _tickets
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import quotas
from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _confirmations
from sassafrasstair.forwarding import _crash_wire
from sassafrasstair.forwarding import _feed_wire
from sassafrasstair.forwarding import _quota_wire
from sassafrasstair.forwarding import _status
from sassafrasstair.forwarding import _wire
from sassafrasstair import metrics
from sassafrasstair import operators
from sassafrasstair import outcomes
from sassafrasstair.platform import _items
from tests.platform import golden_items

if typing.TYPE_CHECKING:
    from collections import abc

_SECRET = b"golden"

INSTANCE = views.Instance(
    "i-1",
    "s",
    "10.0.0.5",
    80,
    5,
    "a",
    "r1",
    8,
    views.InstanceState.LEAVING,
    1.5,
    1_700_000_000_000,
)
POLICY = policies.Policy(
    3,
    (
        policies.Route(
            "r",
            "h",
            "/a/",
            True,
            2.0,
            0.5,
            7,
            2,
            (policies.Share("s", 1.0),),
            True,
        ),
    ),
    policies.ClientLimits(1000, 2000, 5.0, 30.0),
    ("t",),
    (policies.Customer("c", (bytes(range(16)),), 10.0, 5.0, 8),),
)
_RECORD = fleet_messages.Record(
    "vm-1", "s", "a", "r1", "10.0.0.5:7301", "leaving"
)
_RUMOUR = fleet_messages.Rumour("vm-1", "i1", 4, 1, True, True, _RECORD)
_BUNDLE_ID = fleet_messages.BundleId(3, bytes(range(32)))
_SUMMARY = (
    "vm-1",
    "10.0.0.5:7301",
    "i1",
    True,
    7,
    11,
    (_BUNDLE_ID,),
    ("b",),
    (_RUMOUR,),
)
_TICKET = _tickets.Ticket(
    _tickets.TicketTarget("vm-1", "i1", "s", "write-down"), 3, 90_000
)


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """How one message is encoded, and read and encoded again."""

    encode: abc.Callable[[], bytes]
    decode_and_encode: abc.Callable[[bytes], bytes]


def _between_daemons(message: _messages.Message) -> Codec:
    return Codec(
        functools.partial(_messages.encode, message),
        lambda data: _messages.encode(_messages.decode(data)),
    )


def _fleet(message: fleet_messages.Message) -> Codec:
    return Codec(
        functools.partial(fleet_messages.encode, message),
        lambda data: fleet_messages.encode(fleet_messages.decode(data)),
    )


def _quota(message: _quota_wire.Message) -> Codec:
    kind: type[_quota_wire.Message] = type(message)
    return Codec(
        functools.partial(_quota_wire.encode, message),
        lambda data: _quota_wire.encode(_quota_wire.decode(data, kind)),
    )


def _page(page: object, kind: typing.Any) -> Codec:
    return Codec(
        functools.partial(msgspec.json.encode, page),
        lambda data: msgspec.json.encode(msgspec.json.decode(data, type=kind)),
    )


def _answer(delta: views.Delta) -> Codec:
    """Return the codec of a poll's answer: its field, a line and its body."""

    def encode(status: feeds.PeerStatus, delta: views.Delta) -> bytes:
        field = _feed_wire.encode_status(status, delta.content)
        return field + b"\n" + _feed_wire.encode_delta(delta)

    def again(data: bytes) -> bytes:
        field, _, body = data.partition(b"\n")
        return encode(*_feed_wire.decode_answer(field, body))

    status = feeds.PeerStatus(12, 3.25, 0.5, True, 4.5)
    return Codec(functools.partial(encode, status, delta), again)


def _snapshot() -> Codec:
    return Codec(
        lambda: _feed_wire.encode_snapshot(
            views.Snapshot(12, 9, POLICY, (INSTANCE,))
        ),
        lambda data: _feed_wire.encode_snapshot(
            _feed_wire.decode_snapshot(data)
        ),
    )


def _poll() -> Codec:
    def again(data: bytes) -> bytes:
        head = data.split(b"\r\n")
        query = head[0].split(b" ")[1].partition(b"?")[2]
        prefix = _feed_wire.HEADER + b": "
        (field,) = (
            line.removeprefix(prefix) for line in head if prefix in line
        )
        after, hold = _feed_wire.decode_poll(query, field)
        assert hold is not None
        return _feed_wire.poll_head("10.0.0.5", after, hold, *_POLL_FIELDS)

    return Codec(
        lambda: _feed_wire.poll_head("10.0.0.5", 9, 0.5, *_POLL_FIELDS),
        again,
    )


_POLL_FIELDS = (
    (_feed_wire.SENDER_HEADER, b"m"),
    (_crash_wire.HEADER, b"0"),
    (_confirmations.HEADER, b"3 0.5 0.25"),
)


def _crash_records() -> Codec:
    runs = (crashes.Run(2**63 + 5, 0.25, True), crashes.Run(7, 0.0))
    reports = [crashes.Report(("i-1", 1_700_000_000_000), 1.5, runs, 2, 1)]
    return Codec(
        lambda: _crash_wire.encode(2**64 - 1, reports),
        lambda data: _crash_wire.encode(*_crash_wire.decode(data)),
    )


def _ask() -> Codec:
    ask = _wire.RequestMetadata(9, "i-1", "r", 7.25, 1.5, 0.25)
    return Codec(
        lambda: _wire.encode_metadata(ask),
        lambda data: _wire.encode_metadata(_wire.decode_metadata(data)),
    )


def _state() -> Codec:
    state = _wire.CalleeState(
        9,
        True,
        calls.LoadReport(0.5, 0.0, 8.0, 0.25),
        0.75,
        1.25,
        True,
        requests.Ending.TURNED_AWAY,
        outcomes.Reason.QUEUE_DELAY,
    )
    return Codec(
        lambda: _wire.encode_state(state),
        lambda data: _wire.encode_state(_wire.decode_state(data)),
    )


def _refusal() -> Codec:
    def encode(refusal: _request.Refusal) -> bytes:
        reply = _refusals.to_reply(refusal)
        return json.dumps(
            [reply.status, reply.headers, reply.body.decode()]
        ).encode()

    def again(data: bytes) -> bytes:
        body = json.loads(json.loads(data)[2])
        return encode(
            _request.Refusal(
                outcomes.Outcome(body["outcome"]),
                outcomes.Reason(body["reason"]),
                body["retry_after_ms"] / 1000,
                body["detail"],
            )
        )

    refusal = _request.Refusal(
        outcomes.Outcome.NOT_RUN, outcomes.Reason.SHED_AT_CALLEE, 1.5, "d"
    )
    return Codec(functools.partial(encode, refusal), again)


def _ticket() -> Codec:
    def again(data: bytes) -> bytes:
        assert _tickets.is_genuine(data.decode(), _SECRET)
        ticket = _tickets.decode(data.decode())
        assert ticket is not None
        return _tickets.encode(ticket, _SECRET).encode()

    return Codec(lambda: _tickets.encode(_TICKET, _SECRET).encode(), again)


def _bundle() -> Codec:
    bundle = bundles.Bundle(
        1,
        "m",
        2,
        1,
        {"a": "r"},
        {"s": bundles.Service(1, 2, ("t",), 3), "t": bundles.Service(1, 1)},
        {
            "c": bundles.RequestClass(
                "s", 9, 900, True, 2, 4, 1000, bundles.Refusal(1, 2, 3)
            )
        },
        {"x": bundles.Tenant(0.5)},
        ("a",),
        bundles.RetryBudget(0.2, 3),
        4,
        5000,
    )
    return Codec(
        lambda: msgspec.json.encode(bundle),
        lambda data: msgspec.json.encode(bundles.decode(data)),
    )


def _envelope() -> Codec:
    envelope = bundles.Envelope("{}", (bundles.Approval("ops-1", "c2ln"),))
    return Codec(
        lambda: msgspec.json.encode(envelope),
        lambda data: msgspec.json.encode(bundles.open_envelope(data)),
    )


def _vm_list() -> Codec:
    entry = _vms.VmEntry("vm-1", "s", "a", "r1", "10.0.0.5:7301", "leaving")
    return Codec(
        lambda: msgspec.json.encode((entry,)),
        lambda data: msgspec.json.encode(_vms.decode_vms(data)),
    )


def _store_items() -> Codec:
    """Return the codec of what the store's items change, as peers get it."""

    def encode() -> bytes:
        read = [
            _items.decode_item(msgspec.Raw(json.dumps(item).encode()))
            for item in golden_items.ITEMS
        ]
        changes, refused = _items.decode_changes(read, {"a": "r1"})
        rows = [[type(change).__name__, change] for change in changes]
        return msgspec.json.encode([rows, refused])

    return Codec(encode, lambda data: data)


def _metric_names() -> Codec:
    """Return the names, labels and texts of all metrics of a bundle's mesh."""

    def encode() -> bytes:
        made = metrics.Metrics()
        made.count_answer("c", "x", 0.5)
        made.count_attempt("c", 0.5)
        made.count_refusal(
            "c", outcomes.Outcome.NOT_RUN, outcomes.Reason.LEAVING
        )
        made.count_retry("s")
        made.count_late_answer()
        made.count_refused_bundle(bundles.Defect.UNSIGNED)
        made.count_platform_read()
        lines = [
            line
            for line in metrics.render(made).splitlines()
            if b"_bucket" not in line
        ]
        totals = json.dumps(made.totals()).encode()
        return b"\n".join([*lines, totals])

    return Codec(encode, lambda data: data)


_STATUS = operators.Status(
    "vm-1",
    "s",
    "a",
    "r1",
    "i1",
    operators.State.LEAVING,
    operators.InForceBundle(operators.BundleId(3, "d"), "m", ("ops-1",), 1.5),
    operators.BundleId(4, "e"),
    (operators.RefusedBundle("vm-2", "unsigned", "why", 2.5),),
    (operators.ConflictingBundles(3, "d", "e"),),
    5,
    {"a": 3, "b": 2},
    operators.PlatformStatus(True, False, 0.5),
    operators.InstanceLoad(8, 4.5, 3, 2, 1.25),
    operators.EntranceStatus(7, {"s": 1.5}, {"c": 0.5}),
    {"retries": 2},
)
_FEED = _status.FeedStatus(
    "store", 1.5, 0.5, None, 12, 9, 3, 1, 5, 2, ("10.0.0.6",), ("10.0.0.7",), 1
)
_SUSPECT = _status.SuspectStatus(
    "00ff",
    "blocked",
    3,
    1,
    True,
    71.5,
    (_status.CrashStatus("i-1", 2.5),),
)
_QUOTAS = _status.QuotasStatus(
    "10.0.0.5", 0.5, (_status.CustomerStatus("c", 10.0, 4.5, 3, 0.25),)
)

CODECS: dict[str, Codec] = {
    "run": _between_daemons(
        _messages.Run(
            "a1",
            "s",
            "c",
            "x",
            "me",
            "k",
            900,
            2,
            1,
            "t",
            "POST",
            "/p",
            (("h", "v"),),
            b"body",
            9,
            True,
        )
    ),
    "run answer": _between_daemons(
        _messages.RunAnswer(
            "a1",
            "i1",
            "done",
            "none",
            5,
            1,
            0.5,
            1.25,
            200,
            (("h", "v"),),
            b"body",
            True,
            b"digest",
            8.0,
            0.25,
        )
    ),
    "body part": _between_daemons(
        _messages.BodyPart("a1", 2, b"data", True, b"digest")
    ),
    "part taken": _between_daemons(_messages.PartReply(True)),
    "answer next": _between_daemons(_messages.AnswerFetch("a1", 2)),
    "answer part": _between_daemons(
        _messages.AnswerPart(b"data", True, b"digest", True)
    ),
    "cancel": _between_daemons(_messages.Cancel("a1")),
    "ticket ask": _between_daemons(
        _messages.TicketRequest("s", "c", "me", "x")
    ),
    "ticket given": _between_daemons(
        _messages.TicketResponse("t", 900, "done", "none", 5, "i1", 0.5, 1.25)
    ),
    "ping": _between_daemons(_messages.Ping()),
    "pong": _between_daemons(_messages.Pong("i1", True)),
    "control": _between_daemons(_messages.Control(b"body")),
    "nothing": _between_daemons(_messages.NoContent()),
    "gossip": _fleet(fleet_messages.Gossip(*_SUMMARY)),
    "gossip reply": _fleet(fleet_messages.GossipReply(*_SUMMARY)),
    "bundle fetch": _fleet(fleet_messages.BundleFetch(_BUNDLE_ID)),
    "bundle reply": _fleet(fleet_messages.BundleReply(_BUNDLE_ID, b"z")),
    "members fetch": _fleet(fleet_messages.MembersFetch((1, 2))),
    "members reply": _fleet(fleet_messages.MembersReply(b"z", 7)),
    "probe request": _fleet(
        fleet_messages.ProbeRequest("vm-1", "10.0.0.5:7301", True)
    ),
    "probe result": _fleet(fleet_messages.ProbeResult("vm-1", "vm-2", True)),
    "received": _fleet(fleet_messages.Receipt()),
    "members": Codec(
        lambda: fleet_messages.encode_rumours((_RUMOUR,)),
        lambda data: fleet_messages.encode_rumours(
            fleet_messages.decode_rumours(data)
        ),
    ),
    "ask": _ask(),
    "state": _state(),
    "poll": _poll(),
    "answer with changes": _answer(
        views.Delta(12, 9, False, None, (INSTANCE,), ("i-2",), ("i-3",))
    ),
    "answer with all": _answer(views.Delta(12, 9, True, POLICY, (INSTANCE,))),
    "answer without changes": _answer(views.Delta(12, 9)),
    "snapshot": _snapshot(),
    "crash records": _crash_records(),
    "quota ask": _quota(
        quotas.Ask("10.0.0.5", (quotas.Need("c", 4.5, 3, 7),))
    ),
    "quota granted": _quota(
        quotas.Granted("10.0.0.6", (quotas.Grant("c", 7, 0.5),))
    ),
    "quota canvass": _quota(quotas.Canvass("10.0.0.5")),
    "quota update": _quota(
        quotas.Update(
            "a", "10.0.0.5", "m", 4, True, True, {"c": 0.5}, {"c": 4.5}
        )
    ),
    "quota acknowledged": _quota(
        quotas.Acknowledged("m", "10.0.0.6", "10.0.0.7", True, {"c": 0.25})
    ),
    "bundle": _bundle(),
    "envelope": _envelope(),
    "list of VMs": _vm_list(),
    "items of the store": _store_items(),
    "ticket": _ticket(),
    "refusal": _refusal(),
    "status page": _page(_STATUS, operators.Status),
    "health page": _page(
        operators.Health(operators.State.STARTING), operators.Health
    ),
    "feed page": _page(_FEED, _status.FeedStatus),
    "crashes page": _page([_SUSPECT], list[_status.SuspectStatus]),
    "quotas page": _page(_QUOTAS, _status.QuotasStatus),
    "metrics": _metric_names(),
}
