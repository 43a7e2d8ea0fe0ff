"""Fleets that have been up for long, made without their first minute."""

from __future__ import annotations

import random
import typing

from sassafrasstair.bench import _capacity_bundles
from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.bench import _capacity_platform
from sassafrasstair.decisions import fleet

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import bundles

INDEX = 10
SERVICES = 97


def warm_node(
    records: list[fleet.Record],
    number: int,
    verify: abc.Callable[[bytes], bundles.ApprovedBundle],
    approved: bytes,
) -> fleet.Node:
    """Return the state of one daemon that knows all of a quiet fleet."""
    rng = random.Random(number)
    me = records[number]
    node = fleet.new_node(me, _incarnation(number), (), verify, 0.0, rng)
    node.settled = True
    fleet.process_platform_vms(node, records, INDEX, 0.0, rng)
    fleet.process_platform_bundles(node, [approved], INDEX, 0.0, rng)
    rumours = tuple(
        fleet.Rumour(record.vm, _incarnation(other), 0, 0)
        for other, record in enumerate(records)
    )
    greeting = fleet.Gossip("", "", "", False, 0, 0, rumours=rumours)
    fleet.handle_request(node, greeting, 0.0, rng)
    _quiet(node, rng)
    return node


def warm_fleet(
    daemons: int, seed: int = 1, loss: float = 0.0
) -> _capacity_fleets.Fleet:
    """Return a fleet with version 1 in force and its watches held."""
    records = _capacity_fleets.records(daemons, SERVICES)
    approved = _capacity_bundles.envelope(_capacity_bundles.bundle(1))
    contents = _capacity_platform.Contents(INDEX, (approved,), tuple(records))
    made = _capacity_fleets.Fleet(
        _capacity_bundles.verify_once,
        _capacity_platform.Platform(contents),
        random.Random(seed),
        loss,
    )
    template = warm_node(records, 0, made.verify, approved)
    for number in range(daemons):
        made.adopt(_like(template, records, number, made.rng))
    made.run(3)
    return made


def _like(
    template: fleet.Node,
    records: list[fleet.Record],
    number: int,
    rng: random.Random,
) -> fleet.Node:
    """Return the daemon ``number`` with the template's knowledge."""
    node = fleet.new_node(
        records[number], _incarnation(number), (), template.verify, 0.0, rng
    )
    kind = type(template.members[template.local_record.vm])
    node.members = {
        vm: kind(member.record, member.incarnation)
        for vm, member in template.members.items()
    }
    node.by_address = template.by_address
    node.bucket_checksums = list(template.bucket_checksums)
    node.vm_list_index = template.vm_list_index
    node.bundles_by_id = dict(template.bundles_by_id)
    node.in_force = template.in_force
    node.settled = True
    node.usability_version += 1
    node.membership_version += 1
    _quiet(node, rng)
    return node


def _quiet(node: fleet.Node, rng: random.Random) -> None:
    node.transmissions_left.clear()
    node.records_to_send.clear()
    node.push_pending = False
    node.bundle_push_pending = False
    node.next_gossip_at = rng.random()
    node.gossip_round = rng.randrange(64)


def _incarnation(number: int) -> str:
    return f"{1_000_000 + number:016x}"
