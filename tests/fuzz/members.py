"""The part of a virtual daemon that shares members and bundles."""

from __future__ import annotations

import functools
import typing

import msgspec

from sassafrasstair import bundles
from sassafrasstair.decisions import fleet

if typing.TYPE_CHECKING:
    from collections import abc

    from tests.fuzz import daemons


def carry_out(
    daemon: daemons.Daemon, effects: abc.Iterable[fleet.Effect]
) -> None:
    for effect in effects:
        if isinstance(effect, fleet.Exchange):
            exchange(daemon, effect)
        elif isinstance(effect, fleet.Watch):
            daemon.watched = 0
        elif isinstance(effect, fleet.ReadPlatform):
            daemon.at(effect.delay, functools.partial(read, daemon))
        elif isinstance(effect, fleet.InForce):
            take_in_force(daemon, effect.bundle)
        else:
            fields = [f"{k}={v[:12]}" for k, v in effect.fields.items()]
            line = " ".join([daemon.record.vm, effect.event, *fields])
            daemon.world.note(line)


def exchange(daemon: daemons.Daemon, effect: fleet.Exchange) -> None:
    state = {"open": True}

    def serve(
        peer: daemons.Daemon, reply: abc.Callable[[bytes], None]
    ) -> None:
        message = fleet.decode(fleet.encode(effect.message))
        answer, effects = fleet.handle_request(
            peer.node, message, peer.now, peer.rng
        )
        carry_out(peer, effects)
        if answer is not None:
            reply(fleet.encode(answer))

    def replied(receiver: daemons.Daemon, text: bytes) -> None:
        if receiver is daemon and state.pop("open", False):
            message = fleet.decode(text)
            carry_out(
                daemon,
                fleet.process_reply(
                    daemon.node,
                    effect.address,
                    message,
                    daemon.now,
                    daemon.rng,
                ),
            )

    def failed(sent: bool) -> None:
        if state.pop("open", False):
            carry_out(
                daemon,
                fleet.update_after_failed_exchange(
                    daemon.node, effect.address, daemon.now, daemon.rng
                ),
            )

    daemon.world.request(
        daemon, effect.address, serve, replied, failed, effect.timeout
    )


def watch(daemon: daemons.Daemon) -> None:
    view = daemon.world.platform.view(daemon.record.failure_domain)
    if not daemon.node.watching or daemon.watch_failed:
        return
    if view is None:
        daemon.watch_failed = True
        carry_out(
            daemon,
            fleet.process_platform_failure(
                daemon.node, daemon.now, daemon.rng
            ),
        )
    elif view[0] != daemon.watched:
        read(daemon)


def read(daemon: daemons.Daemon) -> None:
    daemon.world.platform.reads += 1
    view = daemon.world.platform.view(daemon.record.failure_domain)
    if view is None:
        carry_out(
            daemon,
            fleet.process_platform_failure(
                daemon.node, daemon.now, daemon.rng
            ),
        )
        return
    daemon.watch_failed = False
    daemon.watched, texts, records = view
    index = daemon.watched
    node, now, rng = daemon.node, daemon.now, daemon.rng
    carry_out(
        daemon,
        fleet.process_platform_vms(node, list(records), index, now, rng),
    )
    carry_out(
        daemon,
        fleet.process_platform_bundles(node, list(texts), index, now, rng),
    )


def place(bundle: bundles.Bundle) -> fleet.BundleId:
    text = msgspec.json.encode(bundle)
    digest = bundles.digest(text)
    return fleet.bundle_id(bundles.ApprovedBundle(bundle, text, digest, ()))


def take_in_force(daemon: daemons.Daemon, bundle: bundles.Bundle) -> None:
    before, daemon.bundle = daemon.bundle, bundle
    mine = place(bundle)
    if before and place(before) >= mine:
        daemon.world.oracle.faults.append(f"{daemon.record.vm} reverted")
    calm = daemon.world.disturbed <= daemon.started
    if not before and calm and daemon.known and mine < daemon.known:
        fault = f"{daemon.record.vm} brought back an older bundle"
        daemon.world.oracle.faults.append(fault)
    daemon.world.note(f"{daemon.record.vm} in force v{bundle.version}")
