"""Which VMs cannot be reached, and what is told of it.

A VM is judged only by members of its own failure domain, and only after
helpers failed to reach it too; so a cut between failure domains sends no
rumours and leaves nothing to take back when it heals. Daemons elsewhere
bar it for themselves and ask its domain for a judgement.
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
MOST_CHECKS = 16
CHECK_TIMEOUT = 1.6
SUSPECTED_FOR = 6.0
GONE_KEPT_FOR = 3600.0
RETRY_FIRST = 2.0
RETRY_LONGEST = 15.0
FAILURES_TO_BAR = 2
MOST_RETRIES = 3


def check(
    node: _states.Node,
    vm: str,
    reply_to: str,
    whole: bool,
    now: float,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Test ``vm``, for ``reply_to`` if not empty; with helpers if whole."""
    member = node.members.get(vm)
    if (
        member is None
        or vm == node.local_record.vm
        or member.liveness == _messages.GONE
    ):
        return []
    running = node.checks.get(vm)
    if running is not None:
        return _join_check(node, running, vm, reply_to, whole, rng)
    if len(node.checks) >= MOST_CHECKS:
        return []
    begun = _states.Check(now, whole)
    node.checks[vm] = begun
    if reply_to:
        begun.reply_to.add(reply_to)
    effects = [_summaries.probe(node, vm)]
    return effects + (_ask(node, begun, vm, rng) if whole else [])


def alive(node: _states.Node, vm: str, now: float) -> list[_effects.Effect]:
    """Take in that ``vm`` was reached or has called."""
    member = node.members.get(vm)
    if member is None or vm == node.local_record.vm:
        return []
    member.last_contact_at = now
    member.failures = 0
    if member.ejected:
        member.ejected = False
        node.ejected.discard(vm)
        _members.hold(node, member, now)
        _members.changed(node, roster=_is_own(node, member))
    effects = _end_check(node, vm, reached=True)
    return effects + _reaches.reached(node, member.record.failure_domain, now)


def failed(
    node: _states.Node, vm: str, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Take in that this daemon could not reach ``vm``."""
    member = node.members.get(vm)
    if (
        member is None
        or vm == node.local_record.vm
        or now < node.ignore_failures_until
    ):
        # After a pause all timeouts look like failures of others, though
        # it was this process that did not run: they count for nothing.
        return []
    member.failures += 1
    if member.failures >= FAILURES_TO_BAR:
        _bar(node, member, now)
    effects = _end_check(node, vm, reached=False)
    own = member.record.failure_domain == node.local_record.failure_domain
    if not own:
        effects += _reaches.missed(node, member, now, rng)
    running = node.checks.get(vm)
    cut = _reaches.is_cut(node, member.record.failure_domain)
    if running is None and not cut and not _judged(member):
        effects += check(node, vm, "", whole=True, now=now, rng=rng)
    return effects + _judge(node, vm, now)


def result(
    node: _states.Node, message: _messages.ProbeResult, now: float
) -> list[_effects.Effect]:
    """Take in what a helper found."""
    running = node.checks.get(message.vm)
    if running is None:
        return []
    running.results[message.sender] = message.reached
    return _judge(node, message.vm, now)


def review(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    """Return the probes and judgements that time has brought due."""
    _expire_checks(node, now)
    effects = _retry_barred(node, now, rng)
    return effects + _reaches.review(node, now, rng)


def review_members(node: _states.Node, now: float) -> list[_effects.Effect]:
    """Turn long suspicion into gone, and forget what is long gone.

    Each daemon does so by itself: a rumour of it would tell nobody more
    than the suspicion that all have heard of.
    """
    effects: list[_effects.Effect] = []
    for vm in sorted(node.not_serving):
        member = node.members[vm]
        age = now - member.changed_at
        if member.liveness == _messages.SUSPECTED and age > SUSPECTED_FOR:
            effects += _declare(node, vm, _messages.GONE, now)
        elif member.liveness == _messages.GONE and age > GONE_KEPT_FOR:
            _members.forget(node, vm)
    return effects


def _join_check(
    node: _states.Node,
    running: _states.Check,
    vm: str,
    reply_to: str,
    whole: bool,
    rng: random.Random,
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    if reply_to and running.direct is not None:
        effects.append(_report_to(node, vm, reply_to, running.direct))
    elif reply_to:
        running.reply_to.add(reply_to)
    if whole and not running.whole:
        running.whole = True
        effects += _ask(node, running, vm, rng)
    return effects


def _ask(
    node: _states.Node,
    running: _states.Check,
    vm: str,
    rng: random.Random,
) -> list[_effects.Effect]:
    """Ask helpers: for an own-domain VM one at home and one elsewhere."""
    domain = node.members[vm].record.failure_domain
    own = domain == node.local_record.failure_domain
    scopes = (True, False) if own else (True, True)
    chosen: set[str] = set()
    for home in scopes:
        helper = _helper(node, vm, domain, home, chosen, rng)
        if helper is not None:
            chosen.add(helper)
    running.asked += len(chosen)
    request = _messages.ProbeRequest(
        vm, node.local_record.address, with_helpers=not own
    )
    return [
        _effects.Exchange(
            node.members[helper].record.address,
            request,
            _effects.PROBE_TIMEOUT,
        )
        for helper in sorted(chosen)
    ]


def _helper(
    node: _states.Node,
    vm: str,
    domain: str,
    home: bool,
    chosen: set[str],
    rng: random.Random,
) -> str | None:
    def accept(member: _states.Member) -> bool:
        same = member.record.failure_domain == domain
        name = member.record.vm
        return (
            same == home
            and name != vm
            and name not in chosen
            and not member.failures
            and _members.is_member(member)
            and not _reaches.is_cut(node, member.record.failure_domain)
        )

    return _subsets.random_member(node, rng, accept)


def _end_check(
    node: _states.Node, vm: str, reached: bool
) -> list[_effects.Effect]:
    running = node.checks.get(vm)
    if running is None or running.direct is not None:
        return []
    running.direct = reached
    waiting = sorted(running.reply_to)
    running.reply_to.clear()
    if reached:
        del node.checks[vm]
    return [_report_to(node, vm, address, reached) for address in waiting]


def _report_to(
    node: _states.Node, vm: str, address: str, reached: bool
) -> _effects.Effect:
    message = _messages.ProbeResult(vm, node.local_record.vm, reached)
    return _effects.Exchange(address, message, _effects.PROBE_TIMEOUT)


def _judge(node: _states.Node, vm: str, now: float) -> list[_effects.Effect]:
    """Suspect ``vm`` if this daemon may, and enough is known."""
    running = node.checks.get(vm)
    if running is None or not running.whole or running.direct is not False:
        return []
    own = (
        node.members[vm].record.failure_domain
        == node.local_record.failure_domain
    )
    if not own:
        return []
    # One daemon that is itself cut off, or a broken link between two,
    # would have a healthy VM shunned by all: a helper must have failed
    # to reach it as well, and none may have reached it.
    if any(running.results.values()):
        del node.checks[vm]
        return []
    if running.asked and not running.results:
        return []
    del node.checks[vm]
    return _declare(node, vm, _messages.SUSPECTED, now)


def _declare(
    node: _states.Node, vm: str, life: int, now: float
) -> list[_effects.Effect]:
    member = node.members[vm]
    rumour = _messages.Rumour(
        vm, member.incarnation, member.revision, life, member.leaving
    )
    if not _members.merge(node, rumour, now):
        return []
    event = "member_gone"
    if life == _messages.SUSPECTED:
        event = "member_suspected"
        _members.mark_hot(node, vm)
    fields = {"vm": vm, "incarnation": member.incarnation}
    return [_effects.ReportEvent(event, fields)]


def _judged(member: _states.Member) -> bool:
    return member.liveness != _messages.SERVING


def _is_own(node: _states.Node, member: _states.Member) -> bool:
    return member.record.failure_domain == node.local_record.failure_domain


def _bar(node: _states.Node, member: _states.Member, now: float) -> None:
    wait = RETRY_FIRST * 2 ** min(member.failures - FAILURES_TO_BAR, 4)
    member.next_probe_at = now + min(wait, RETRY_LONGEST)
    if not member.ejected:
        member.ejected = True
        node.ejected.add(member.record.vm)
        _members.changed(node, roster=_is_own(node, member))


def _retry_barred(
    node: _states.Node, now: float, rng: random.Random
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    for vm in sorted(node.ejected):
        member = node.members[vm]
        if now < member.next_probe_at or vm in node.checks:
            continue
        if _reaches.is_cut(node, member.record.failure_domain):
            continue
        if len(effects) >= MOST_RETRIES:
            break
        member.next_probe_at = now + RETRY_LONGEST * rng.uniform(0.8, 1.2)
        effects.append(_summaries.probe(node, vm))
    return effects


def _expire_checks(node: _states.Node, now: float) -> None:
    for vm, running in list(node.checks.items()):
        if now - running.started > CHECK_TIMEOUT:
            del node.checks[vm]
