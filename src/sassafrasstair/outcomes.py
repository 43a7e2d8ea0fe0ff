"""Outcomes of a request, and the reasons for refusing or abandoning one."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Whether a request was executed by its upstream, as far as is known.

    ``DONE`` means that the upstream answered. ``NOT_RUN`` is used only if
    no byte of the request reached an upstream, or if the upstream itself
    reported that it did not run the request. Everything else is
    ``UNKNOWN``.
    """

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was refused or given up on.

    ``NONE`` stands for no reason, so that a reason is never None.
    """

    NONE = "none"
    # Overload: the caller may retry after Retry-After.
    SHED_AT_ENTRANCE = "shed_at_entrance"
    SHED_AT_CALLEE = "shed_at_callee"
    QUEUE_FULL = "queue_full"
    QUEUE_DELAY = "queue_delay"
    TENANT_SHARE = "tenant_share"
    TOO_MANY_REPEATS = "too_many_repeats"
    BODY_MEMORY = "body_memory"
    TICKETS_FULL = "tickets_full"
    # Customers and their quotas.
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    POLICY_UNCONFIRMED = "policy_unconfirmed"
    POLICY_BEHIND = "policy_behind"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNKNOWN = "quota_unknown"
    # Time.
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"
    PARENT_GONE = "parent_gone"
    # Reachability.
    NO_BUNDLE = "no_bundle"
    NO_INSTANCE = "no_instance"
    LEAVING = "leaving"
    INSTANCE_REPLACED = "instance_replaced"
    INSTANCE_RESTARTED = "instance_restarted"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    PEER_SILENT = "peer_silent"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_CRASHED = "upstream_crashed"
    ANSWER_CUT_SHORT = "answer_cut_short"
    # Requests that have crashed instances.
    CRASHES_INSTANCES = "crashes_instances"
    SUSPECT_RUNNING = "suspect_running"
    INTERNAL_FAULT = "internal_fault"
    # Once-only requests, which carry a ticket.
    TICKET_MISSING = "ticket_missing"
    TICKET_INVALID = "ticket_invalid"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_VOID = "ticket_void"
    OWNER_GONE = "owner_gone"
    ANSWER_NOT_KEPT = "answer_not_kept"
    # Invalid input: the caller must change the request.
    MALFORMED = "malformed"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    BODY_TOO_LARGE = "body_too_large"


OVERLOAD_REASONS = frozenset(
    {
        Reason.SHED_AT_ENTRANCE,
        Reason.SHED_AT_CALLEE,
        Reason.QUEUE_FULL,
        Reason.QUEUE_DELAY,
        Reason.TENANT_SHARE,
        Reason.UPSTREAM_REFUSED,
        Reason.BODY_MEMORY,
        Reason.TICKETS_FULL,
    }
)
"""Refusals caused by overload, which are never followed by a quick retry."""
