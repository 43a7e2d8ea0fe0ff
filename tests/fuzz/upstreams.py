"""Upstreams and callers of a virtual world."""

from __future__ import annotations

import dataclasses
import functools
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import once
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from tests.fuzz import daemons
    from tests.fuzz import worlds

CHILD = {"lookup": "ledger-lookup", "write-down": "ledger-entry"}
LOST = once.Unknown(outcomes.Reason.UPSTREAM_LOST)
REFUSED = once.NotRun(outcomes.Reason.UPSTREAM_REFUSED)


Reply = typing.Callable[[tuple[calls.Answer, bytes]], None]
Tell = typing.Callable[[outcomes.Outcome, outcomes.Reason, bytes], object]


@dataclasses.dataclass
class Attempt:
    """One attempt at its callee, and who waits for its end."""

    call: calls.Call
    work: int
    replies: dict[str, Reply]
    spent: int = 0


@dataclasses.dataclass
class Asked:
    """A call under way: who is told of it, and whose upstream made it."""

    call: calls.Call
    work: int
    tell: Tell
    parent: Attempt | None = None


@dataclasses.dataclass
class Upstream:
    """An upstream process; it outlives the daemon in its slot."""

    slow: float = 1.0
    refuses: float = 0.0
    loses: float = 0.0


def answer_to(work: int) -> bytes:
    return b"answer to %d" % work


def execute(daemon: daemons.Daemon, local: str, attempt: Attempt) -> None:
    """Execute an attempt: its first byte has reached the upstream."""
    world, call = daemon.world, attempt.call
    upstream = world.upstreams[daemon.record.vm]
    if world.rng.random() < upstream.refuses:
        daemon.at(0.001, lambda: daemon.ended(local, REFUSED))
        return
    count(world, attempt, 1)
    if world.rng.random() < upstream.loses:
        daemon.at(0.001, lambda: daemon.ended(local, LOST))
        return
    taken = world.rng.uniform(0.01, 0.03) * upstream.slow
    if call.request_class in CHILD:
        daemon.at(taken, lambda: call_child(daemon, local, attempt))
    else:
        done = once.Done(200, (), answer_to(attempt.work))
        daemon.at(taken, lambda: daemon.ended(local, done))


def call_child(
    daemon: daemons.Daemon,
    local: str,
    attempt: Attempt,
    repeat: int = 0,
) -> None:
    """Call the next service; a once-only call is repeated once."""
    parent = attempt.call

    def tell(
        outcome: outcomes.Outcome, reason: outcomes.Reason, body: bytes
    ) -> None:
        if outcome is outcomes.Outcome.UNKNOWN and parent.ticket:
            if repeat == 0:
                call_child(daemon, local, attempt, 1)
                return
        child_ended(daemon, local, attempt, outcome, body)

    def use(known: str | once.Refused) -> None:
        if isinstance(known, once.Refused):
            tell(known.outcome, known.reason, b"")
            return
        call = dataclasses.replace(
            parent,
            service="ledger",
            request_class=CHILD[parent.request_class],
            repeat=repeat,
            depth=1,
            ticket=known,
            retries=max(0, parent.retries - attempt.spent),
        )
        work = attempt.work
        daemon.begin(Asked(call, work, tell, attempt))

    def got(ticket: str) -> None:
        if ticket:
            owner = daemon.owner
            use(once.adopt_child(owner, parent.ticket, "ledger", "1", ticket))
        else:
            missing = outcomes.Reason.TICKET_MISSING
            tell(outcomes.Outcome.NOT_RUN, missing, b"")

    known: str | once.Refused | None = ""
    if parent.ticket:
        known = once.find_child(daemon.owner, parent.ticket, "ledger", "1")
    if known is None:
        daemon.take_ticket("ledger-entry", once_only(got))
    else:
        use(known)


def child_ended(
    daemon: daemons.Daemon,
    local: str,
    attempt: Attempt,
    outcome: outcomes.Outcome,
    body: bytes,
) -> None:
    if outcome is outcomes.Outcome.DONE:
        daemon.ended(local, once.Done(200, (), body))
    elif outcome is outcomes.Outcome.NOT_RUN:
        # The upstream has no effect of its own before the child's.
        count(daemon.world, attempt, -1)
        daemon.ended(local, REFUSED)
    else:
        daemon.ended(local, LOST)


def count(world: worlds.World, attempt: Attempt, by: int) -> None:
    """Note what a request did."""
    call, oracle = attempt.call, world.oracle
    if call.depth == 0:
        oracle.roots_ran[call.call_id] += by
    if call.ticket:
        oracle.ran[call.service, attempt.work] += by
        oracle.tickets_ran[call.ticket] += by


def once_only(
    action: typing.Callable[[str], object],
) -> typing.Callable[[str], None]:
    """Return ``action`` that only its first call does."""
    left = [action]

    def act(value: str) -> None:
        if left:
            left.pop()(value)

    return act


def ask(
    world: worlds.World, use: worlds.Use, caller: str, deadline: float = 2.0
) -> None:
    """Have a caller send ``use`` to its entrance."""
    daemon = world.daemons[use.vm]
    use.root = f"root-{len(world.oracle.uses)}"
    use.begun = world.now
    world.oracle.uses.append(use)
    if not daemon.alive or daemon.stopping:
        use.open = False
        return
    call = calls.Call(
        use.root,
        "poster",
        use.request_class,
        "shop",
        caller,
        daemon.now + deadline,
        use.repeat,
        retries=0 if use.ticket else 1,
        ticket=use.ticket,
    )

    def arrive() -> None:
        daemon.arriving -= 1
        if use.open:
            tell = functools.partial(world.oracle.tell, use)
            use.key = daemon.begin(Asked(call, use.work, tell))

    daemon.arriving += 1
    daemon.at(0.0, arrive)


def give_up(world: worlds.World, use: worlds.Use) -> None:
    """Have the caller of ``use`` close its connection."""
    daemon = world.daemons[use.vm]
    if use.open and use.told is None and use.key:
        daemon.at(0.0, lambda: daemon.abandon(use.key))
    use.open = False
