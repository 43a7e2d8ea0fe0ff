"""Failure detection: liveness checks, suspicion and local ejection.

A VM is suspected only by members of its own failure domain, and only after
helpers failed to reach it too, if there are any to ask. A partition between
failure domains therefore causes no rumours, and nothing has to be retracted
when it heals. Daemons in other domains eject the VM locally, that is, send
it no work, and ask members of its domain for a check.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _reaches
from sassafrasstair.decisions.fleet import _states
from sassafrasstair.decisions.fleet import _subsets
from sassafrasstair.decisions.fleet import _summaries

if typing.TYPE_CHECKING:
    import random

HELPERS = 2
MAX_CHECKS = 16
# Seconds.
CHECK_TIMEOUT = 1.6
SUSPICION_TIMEOUT = 6.0
GONE_RETENTION = 3600.0
MIN_PROBE_INTERVAL = 2.0
MAX_PROBE_INTERVAL = 15.0
# Consecutive failed contacts after which a VM gets no work from this daemon.
FAILURES_TO_EJECT = 2
# Probes of ejected VMs per tick.
MAX_PROBES_PER_TICK = 3


def start_check(
    node: _states.Node,
    vm: str,
    reply_to: str,
    with_helpers: bool,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Probe ``vm`` and report to ``reply_to``, unless that is empty.

    With ``with_helpers`` other members are asked to probe it as well.
    """
    member = node.members.get(vm)
    if (
        member is None
        or vm == node.local_record.vm
        or member.liveness == _messages.GONE
    ):
        return []
    current = node.checks.get(vm)
    if current is not None:
        return _extend_check(node, current, vm, reply_to, with_helpers, rng)
    if len(node.checks) >= MAX_CHECKS:
        return []
    check = _states.Check(now, with_helpers)
    node.checks[vm] = check
    if reply_to:
        check.reply_to.add(reply_to)
    effects = [_summaries.probe(node, vm)]
    return effects + (
        _ask_helpers(node, check, vm, rng) if with_helpers else []
    )


def record_success(
    node: _states.Node, vm: str, now: float
) -> list[_effects.Effect]:
    """Record that ``vm`` was reached or has sent a message."""
    member = node.members.get(vm)
    if member is None or vm == node.local_record.vm:
        return []
    member.last_contact_at = now
    member.failures = 0
    if member.ejected:
        member.ejected = False
        node.ejected.discard(vm)
        _members.start_hold_down(node, member, now)
        _members.invalidate_caches(
            node, membership=_is_in_own_domain(node, member)
        )
    effects = _record_direct_result(node, vm, reached=True)
    return effects + _reaches.record_success(
        node, member.record.failure_domain, now
    )


def record_failure(
    node: _states.Node, vm: str, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Record that this daemon could not reach ``vm``."""
    member = node.members.get(vm)
    if (
        member is None
        or vm == node.local_record.vm
        or now < node.ignore_failures_until
    ):
        # After a pause of this process all its exchanges time out, which
        # says nothing about the peers: such failures are ignored.
        return []
    member.failures += 1
    if member.failures >= FAILURES_TO_EJECT:
        _eject(node, member, now)
    effects = _record_direct_result(node, vm, reached=False)
    in_own_domain = (
        member.record.failure_domain == node.local_record.failure_domain
    )
    if not in_own_domain:
        effects += _reaches.record_failure(node, member, now, rng)
    current = node.checks.get(vm)
    unreachable = _reaches.is_unreachable(node, member.record.failure_domain)
    if current is None and not unreachable and not _is_not_serving(member):
        effects += start_check(
            node, vm, "", with_helpers=True, now=now, rng=rng
        )
    return effects + _suspect_if_confirmed(node, vm, now)


def record_helper_result(
    node: _states.Node, message: _messages.ProbeResult, now: float
) -> list[_effects.Effect]:
    """Record the probe result of a helper."""
    check = node.checks.get(message.vm)
    if check is None:
        return []
    check.helper_results[message.sender] = message.reached
    return _suspect_if_confirmed(node, message.vm, now)


def run_due_probes(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Drop expired checks and return the probes that are due."""
    _expire_checks(node, now)
    effects = _probe_ejected(node, now, rng)
    return effects + _reaches.probe_unreachable(node, now, rng)


def expire_members(node: _states.Node, now: float) -> list[_effects.Effect]:
    """Mark suspected members as gone after a time, and later remove them.

    The times are ``SUSPICION_TIMEOUT`` and ``GONE_RETENTION``, counted from
    the last change of any part of the member's merged state. Each daemon
    does so by itself: a rumour would add nothing to the suspicion, which
    has already reached all daemons.
    """
    effects: list[_effects.Effect] = []
    for vm in sorted(node.not_serving):
        member = node.members[vm]
        age = now - member.changed_at
        if member.liveness == _messages.SUSPECTED and age > SUSPICION_TIMEOUT:
            effects += _set_liveness(node, vm, _messages.GONE, now)
        elif member.liveness == _messages.GONE and age > GONE_RETENTION:
            _members.remove(node, vm)
    return effects


def _extend_check(
    node: _states.Node,
    check: _states.Check,
    vm: str,
    reply_to: str,
    with_helpers: bool,
    rng: random.Random,
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    if reply_to and check.direct_result is not None:
        effects.append(_report_to(node, vm, reply_to, check.direct_result))
    elif reply_to:
        check.reply_to.add(reply_to)
    if with_helpers and not check.with_helpers:
        check.with_helpers = True
        effects += _ask_helpers(node, check, vm, rng)
    return effects


def _ask_helpers(
    node: _states.Node,
    check: _states.Check,
    vm: str,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Ask two helpers to probe ``vm``.

    For a VM of the own failure domain, one helper is in that domain and one
    in another; otherwise both are in the domain of the VM.
    """
    domain = node.members[vm].record.failure_domain
    in_own_domain = domain == node.local_record.failure_domain
    in_domain_flags = (True, False) if in_own_domain else (True, True)
    chosen: set[str] = set()
    for in_domain in in_domain_flags:
        helper = _choose_helper(node, vm, domain, in_domain, chosen, rng)
        if helper is not None:
            chosen.add(helper)
    check.helpers_asked += len(chosen)
    request = _messages.ProbeRequest(
        vm, node.local_record.address, with_helpers=not in_own_domain
    )
    return [
        _effects.Exchange(
            node.members[helper].record.address,
            request,
            _effects.PROBE_TIMEOUT,
        )
        for helper in sorted(chosen)
    ]


def _choose_helper(
    node: _states.Node,
    vm: str,
    domain: str,
    in_domain: bool,
    chosen: set[str],
    rng: random.Random,
) -> str | None:
    """Return a random reachable helper inside or outside ``domain``."""

    def accept(member: _states.Member) -> bool:
        same = member.record.failure_domain == domain
        name = member.record.vm
        return (
            same == in_domain
            and name != vm
            and name not in chosen
            and not member.failures
            and _members.is_serving(member)
            and not _reaches.is_unreachable(node, member.record.failure_domain)
        )

    return _subsets.random_member(node, rng, accept)


def _record_direct_result(
    node: _states.Node, vm: str, reached: bool
) -> list[_effects.Effect]:
    """Note the result of this daemon's own probe and report it to askers.

    Any contact with ``vm`` during a check counts as that probe. A VM that
    was reached needs no further check.
    """
    check = node.checks.get(vm)
    if check is None or check.direct_result is not None:
        return []
    check.direct_result = reached
    waiting = sorted(check.reply_to)
    check.reply_to.clear()
    if reached:
        del node.checks[vm]
    return [_report_to(node, vm, address, reached) for address in waiting]


def _report_to(
    node: _states.Node, vm: str, address: str, reached: bool
) -> _effects.Effect:
    message = _messages.ProbeResult(vm, node.local_record.vm, reached)
    return _effects.Exchange(address, message, _effects.PROBE_TIMEOUT)


def _suspect_if_confirmed(
    node: _states.Node, vm: str, now: float
) -> list[_effects.Effect]:
    """Suspect ``vm`` if the results of its check confirm that it failed.

    This needs a VM of the own failure domain, a check with helpers, a failed
    own probe, and no helper that reached the VM. If helpers were asked, at
    least one must have answered. If there was none to ask, the failed own
    probe is enough.
    """
    check = node.checks.get(vm)
    if (
        check is None
        or not check.with_helpers
        or check.direct_result is not False
    ):
        return []
    in_own_domain = (
        node.members[vm].record.failure_domain
        == node.local_record.failure_domain
    )
    if not in_own_domain:
        return []
    # A daemon that is itself partitioned, or a broken link between two
    # daemons, would deprive a healthy VM of all work. Therefore a helper, if
    # any was asked, must have failed to reach the VM as well, and none may
    # have reached it.
    if any(check.helper_results.values()):
        del node.checks[vm]
        return []
    if check.helpers_asked and not check.helper_results:
        return []
    del node.checks[vm]
    return _set_liveness(node, vm, _messages.SUSPECTED, now)


def _set_liveness(
    node: _states.Node, vm: str, liveness: int, now: float
) -> list[_effects.Effect]:
    member = node.members[vm]
    rumour = _messages.Rumour(
        vm,
        member.incarnation,
        member.revision,
        liveness,
        member.leaving,
        member.platform_unreachable,
    )
    if not _members.merge(node, rumour, now):
        return []
    event = "member_gone"
    if liveness == _messages.SUSPECTED:
        event = "member_suspected"
        _members.queue_rumour(node, vm)
    fields = {"vm": vm, "incarnation": member.incarnation}
    return [_effects.ReportEvent(event, fields)]


def _is_not_serving(member: _states.Member) -> bool:
    return member.liveness != _messages.SERVING


def _is_in_own_domain(node: _states.Node, member: _states.Member) -> bool:
    return member.record.failure_domain == node.local_record.failure_domain


def _eject(node: _states.Node, member: _states.Member, now: float) -> None:
    wait = MIN_PROBE_INTERVAL * 2 ** min(
        member.failures - FAILURES_TO_EJECT, 4
    )
    member.next_probe_at = now + min(wait, MAX_PROBE_INTERVAL)
    if not member.ejected:
        member.ejected = True
        node.ejected.add(member.record.vm)
        _members.invalidate_caches(
            node, membership=_is_in_own_domain(node, member)
        )


def _probe_ejected(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    for vm in sorted(node.ejected):
        member = node.members[vm]
        if now < member.next_probe_at or vm in node.checks:
            continue
        if _reaches.is_unreachable(node, member.record.failure_domain):
            continue
        if len(effects) >= MAX_PROBES_PER_TICK:
            break
        member.next_probe_at = now + MAX_PROBE_INTERVAL * rng.uniform(0.8, 1.2)
        effects.append(_summaries.probe(node, vm))
    return effects


def _expire_checks(node: _states.Node, now: float) -> None:
    for vm, check in list(node.checks.items()):
        if now - check.started_at > CHECK_TIMEOUT:
            del node.checks[vm]
