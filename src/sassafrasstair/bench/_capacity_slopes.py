"""Processor time and memory of one daemon's control decisions."""

from __future__ import annotations

import functools
import gc
import random
import time
import tracemalloc
import typing

from sassafrasstair.bench import _capacity_bundles
from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.bench import _capacity_warm
from sassafrasstair.bench import _capacity_wire
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions import once

if typing.TYPE_CHECKING:
    from collections import abc

ROUNDS = 5
MEMBERS = (10, 100, 1_300)
SERVICES = (4, 97)
CLASSES = (1, 4, 16)
TENANTS = (20, 500, 2_000)
TICKETS = (1_000, 10_000)
STORED_ANSWER = b"x" * 200


def members_memory() -> dict[str, float]:
    """Return the bytes of a node's state with so many members."""
    return {
        f"members_{count}_bytes": _allocated(
            functools.partial(_node, count, 97)
        )
        for count in MEMBERS
    }


def targets_memory() -> dict[str, float]:
    """Return the bytes of the chosen subsets for so many services."""
    node = _node(1_300, 97)

    def choose(services: int) -> object:
        node.targets = {}
        for number in range(services):
            fleet.targets(node, f"service-{number:02d}", 0.0)
        return node.targets

    return {
        f"targets_{count}_services_bytes": _allocated(
            functools.partial(choose, count)
        )
        for count in SERVICES
    }


def bundle_memory() -> dict[str, float]:
    """Return the bytes of a held bundle by services, classes, tenants."""
    shapes = {f"services_{n}": (n, 2, 20) for n in SERVICES}
    shapes |= {f"classes_{97 * n}": (97, n, 20) for n in CLASSES}
    shapes |= {f"tenants_{n}": (97, 2, n) for n in TENANTS}
    figures = {}
    for name, shape in shapes.items():
        text = _capacity_bundles.bundle(1, *shape)
        approved = _capacity_bundles.envelope(text)
        figures[f"bundle_{name}_bytes"] = _allocated(
            functools.partial(_holding, approved)
        )
    return figures


def tickets_memory() -> dict[str, float]:
    """Return the bytes of so many finished tickets, answers of 200."""
    return {
        f"tickets_{count}_bytes": _allocated(functools.partial(_owner, count))
        for count in TICKETS
    }


def message_times() -> dict[str, float]:
    """Return microseconds of processor time for each control message."""
    one, other = _node(1_300, 97, 0), _node(1_300, 97, 1)
    rng = random.Random(1)
    gossip = _gossip(one)
    clock = [100.0]

    def exchange() -> None:
        clock[0] += 1.0
        request = fleet.decode(fleet.encode(gossip))
        reply, _ = fleet.handle_request(other, request, clock[0], rng)
        assert reply is not None
        answer = fleet.decode(fleet.encode(reply))
        fleet.process_reply(
            one, other.local_record.address, answer, clock[0], rng
        )

    def tick() -> None:
        clock[0] += 0.25
        fleet.tick(one, clock[0], rng)

    vm = other.local_record.vm
    approved = _capacity_bundles.envelope(_capacity_bundles.bundle(1))
    return {
        "gossip_exchange_both_ends_us": _microseconds(exchange, 2_000),
        "tick_us": _microseconds(tick, 2_000),
        "observed_us": _microseconds(
            lambda: fleet.observe_call(one, vm, True, "", clock[0]), 20_000
        ),
        "targets_us": _microseconds(
            lambda: fleet.targets(one, "service-00", clock[0]), 20_000
        ),
        "verify_bundle_us": _microseconds(
            lambda: _capacity_bundles.verify(approved), 20
        ),
        "take_bundle_us": _microseconds(lambda: _holding(approved), 20),
    }


def message_bytes() -> dict[str, float]:
    """Return bytes on the wire, headers and acknowledgements counted."""
    one, other = _node(1_300, 97, 0), _node(1_300, 97, 1)
    rng = random.Random(1)
    approved = _capacity_bundles.envelope(_capacity_bundles.bundle(1))
    held = _holding(approved)
    wanted = next(iter(held.bundles_by_id))
    empty = fleet.MembersFetch((0,) * len(one.bucket_checksums))
    buckets = list(one.bucket_checksums)
    buckets[0] += 1
    requests: dict[str, tuple[fleet.Node, fleet.Message]] = {
        "gossip": (other, _gossip(one)),
        "bundle_relay": (held, fleet.BundleFetch(wanted)),
        "members_all": (other, empty),
        "members_one_bucket": (other, fleet.MembersFetch(tuple(buckets))),
        "probe_request": (
            other,
            fleet.ProbeRequest("vm-1299", one.local_record.address, False),
        ),
    }
    figures: dict[str, float] = {
        "bundle_text_bytes": len(_capacity_bundles.bundle(1)),
        "connection_bytes": _capacity_wire.connection_bytes(),
    }
    for name, (receiver, request) in requests.items():
        reply, _ = fleet.handle_request(receiver, request, 1.0, rng)
        assert reply is not None
        figures[f"{name}_exchange_bytes"] = _capacity_wire.exchange_bytes(
            len(fleet.encode(request)), len(fleet.encode(reply))
        )
    return figures


def _gossip(node: fleet.Node) -> fleet.Gossip:
    return fleet.Gossip(
        node.local_record.vm,
        node.local_record.address,
        node.incarnation,
        True,
        node.vm_list_index,
        0,
        tuple(node.bundles_by_id),
    )


def _node(count: int, services: int, number: int = 0) -> fleet.Node:
    records = _capacity_fleets.records(count, services)
    return _capacity_warm.warm_node(
        records, number, _capacity_bundles.verify_once, _small()
    )


def _small() -> bytes:
    return _capacity_bundles.envelope(_capacity_bundles.bundle(1, 4, 1, 1))


def _holding(approved: bytes) -> fleet.Node:
    record = _capacity_fleets.records(1, 1)[0]
    rng = random.Random(1)
    node = fleet.new_node(record, "1", (), _capacity_bundles.verify, 0.0, rng)
    fleet.process_platform_bundles(node, [approved], 1, 0.0, rng)
    return node


def _owner(count: int) -> once.Owner:
    owner = once.new_owner("vm-0000", "1", b"k" * 32, 2 * count)
    for _ in range(count):
        issued = once.issue_ticket(owner, "poster", "write-down", 600.0, 0.0)
        assert isinstance(issued, once.Issued)
        once.accept_arrival(owner, issued.ticket, "write-down", 0.0)
        once.dispatched(owner, issued.ticket, 0.0)
        once.finish_execution(owner, issued.ticket, _done(), 0.0)
    return owner


def _done() -> once.Done:
    return once.Done(200, (), STORED_ANSWER)


def _microseconds(action: abc.Callable[[], object], count: int) -> float:
    """Return the least processor time of ``action`` over some rounds."""
    times = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(count):
            action()
        times.append((time.process_time() - begun) / count)
    return min(times) * 1e6


def _allocated(make: abc.Callable[[], object]) -> float:
    """Return the bytes that what ``make`` returns holds."""
    make()
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return float(size)
