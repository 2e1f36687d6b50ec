"""What a relayed request counts towards its route's limit of attempts."""

from __future__ import annotations

import pytest

from dragonflycove.fleet import catalog, forwarding, relaying

END = forwarding.AttemptEnd

ROUTE = catalog.Route(
    name="look",
    host="h",
    path_prefix="/look/",
    kind=catalog.CallKind.IDEMPOTENT,
    timeout_seconds=4.0,
    latency_target_seconds=0.3,
    gap_target_seconds=0.25,
    priority=1,
    weights_by_service=(("plain", 1.0),),
    max_attempts=3,
    is_resumable=False,
    is_public=False,
)


def _attempts(*ends: END | None) -> tuple[relaying.ServerAttempt, ...]:
    return tuple(relaying.ServerAttempt(f"s{n}", end) for n, end in enumerate(ends))


@pytest.mark.parametrize("attempts", [None, (), _attempts(END.BROKEN, None)])
@pytest.mark.parametrize("end", [END.DELIVERED, END.NOT_SENT, END.NOT_EXECUTED])
def test_an_end_that_settles_the_request_counts_as_itself(
    end: END, attempts: tuple[relaying.ServerAttempt, ...] | None
) -> None:
    assert relaying.count_ends(attempts, end, ROUTE, is_complete=False) == [end]


@pytest.mark.parametrize("is_complete", [False, True])
@pytest.mark.parametrize("end", [END.ERROR_STATUS, END.BROKEN, END.STALE, END.TIMEOUT])
def test_no_attempt_is_left_after_a_node_that_reports_none(end: END, is_complete: bool) -> None:
    ends = relaying.count_ends(None, end, ROUTE, is_complete=is_complete)
    assert not forwarding.has_attempt_left(ends, ROUTE)


@pytest.mark.parametrize(
    ("attempts", "is_complete", "expected"),
    [
        (_attempts(END.ERROR_STATUS, END.ERROR_STATUS), True, [END.ERROR_STATUS] * 2),
        (_attempts(END.NOT_EXECUTED, END.BROKEN), True, [END.NOT_EXECUTED, END.BROKEN]),
        (_attempts(END.NOT_EXECUTED, None), False, [END.NOT_EXECUTED, END.TIMEOUT]),
        (_attempts(END.BROKEN), False, [END.BROKEN, END.TIMEOUT]),
        ((), False, [END.TIMEOUT]),
        ((), True, [END.TIMEOUT]),
        (_attempts(END.NOT_EXECUTED), True, [END.NOT_EXECUTED, END.TIMEOUT]),
    ],
)
def test_reported_attempts_count_and_what_may_be_missing(
    attempts: tuple[relaying.ServerAttempt, ...], is_complete: bool, expected: list[END]
) -> None:
    assert relaying.count_ends(attempts, END.TIMEOUT, ROUTE, is_complete=is_complete) == expected
