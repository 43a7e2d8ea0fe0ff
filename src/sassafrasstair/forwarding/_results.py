"""What the result of a request at this VM's upstream means."""

from __future__ import annotations

import typing

from sassafrasstair.decisions import requests
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _learning
from sassafrasstair import httpio
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _records
    from sassafrasstair.forwarding import _state

MISDIRECTED_STATUS = 421
"""Returned by an instance other than the one that the request names."""


def classify(
    daemon: _state.Daemon,
    execution: _records.Execution,
    result: httpio.Response | httpio.Failure,
) -> tuple[requests.Ending | None, outcomes.Reason]:
    """Return how the execution ended; None if the answer is forwarded."""
    if result is httpio.Failure.NOT_SENT:
        reason = outcomes.Reason.UPSTREAM_UNREACHABLE
        return requests.Ending.UNSENT, reason
    if isinstance(result, httpio.Failure):
        reason = outcomes.Reason.ANSWER_CUT_SHORT
        if result is httpio.Failure.LOST:
            reason = outcomes.Reason.UPSTREAM_LOST
        return requests.Ending.LOST, reason
    keys = daemon.header_keys
    if result.status == MISDIRECTED_STATUS:
        news = views.note_replaced(
            daemon.view, execution.request.metadata.instance
        )
        _learning.apply_news(daemon, news, "upstream")
        return requests.Ending.REFUSED, outcomes.Reason.INSTANCE_REPLACED
    if keys.not_run in result.headers:
        return requests.Ending.REFUSED, outcomes.Reason.UPSTREAM_REFUSED
    success = 200 <= result.status < 300
    answered_id = result.headers.get(keys.request_id)
    id_matches = answered_id == execution.request.request_id
    if success and not (id_matches and keys.signature in result.headers):
        # A success without the instance's signature, or with another
        # request's id, is the answer to a different request or damaged.
        return requests.Ending.LOST, outcomes.Reason.ANSWER_CUT_SHORT
    return None, outcomes.Reason.NONE
