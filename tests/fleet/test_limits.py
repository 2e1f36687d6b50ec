"""Retry budget shares, server health, event streams, and rules of retries."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dragonflycove.fleet import (
    catalog,
    event_stream,
    forwarding,
    retry_budget_share,
    server_health,
)
from tests.fleet import builders

RATIO, ALLOWANCE, WINDOW = 0.2, 100.0, 10.0


@given(
    st.lists(st.tuples(st.integers(0, 4), st.booleans(), st.floats(0.0, 0.2)), max_size=600),
)
def test_the_retries_of_all_nodes_stay_within_the_budget(
    steps: list[tuple[int, bool, float]],
) -> None:
    nodes = [
        retry_budget_share.RetryBudgetShare(RATIO, ALLOWANCE, WINDOW, -WINDOW) for _ in range(5)
    ]
    requests: list[float] = []
    retries: list[float] = []
    now = 0.0
    for node, is_request, pause in steps:
        now += pause
        if is_request:
            nodes[node].on_request("svc", now)
            requests.append(now)
        elif nodes[node].spend("svc", 5, now):
            retries.append(now)
        in_window = [at for at in requests if at > now - WINDOW]
        spent = [at for at in retries if at > now - WINDOW]
        assert len(spent) <= RATIO * len(in_window) + ALLOWANCE


def test_the_allowance_is_not_exceeded_when_all_nodes_restart_twice() -> None:
    spent = 0
    for started_at in (-WINDOW, 1.0, 2.0):
        nodes = [
            retry_budget_share.RetryBudgetShare(RATIO, ALLOWANCE, WINDOW, started_at)
            for _ in range(7)
        ]
        for node in nodes:
            spent += sum(node.spend("svc", 7, started_at + WINDOW * 0.2) for _ in range(100))
    assert spent <= ALLOWANCE


def test_the_share_of_the_allowance_is_available_without_requests() -> None:
    share = retry_budget_share.RetryBudgetShare(RATIO, ALLOWANCE, WINDOW, -WINDOW)
    spent = sum(share.spend("svc", 7, 0.0) for _ in range(100))
    assert spent == int(ALLOWANCE * retry_budget_share.ALLOWANCE_SHARE / 7)
    assert share.spend("svc", 7, WINDOW + 0.1)


def test_suspicion_grows_with_failures_and_ends_with_a_response() -> None:
    health = server_health.ServerHealth()
    server = catalog.Instance("a", 1)
    assert health.on_outcome(server, server_health.Outcome.TIMEOUT, 0.0)
    assert health.is_suspect(server, 0.5)
    assert not health.is_suspect(server, 0.9)
    assert health.on_outcome(server, server_health.Outcome.BROKEN, 1.0)
    assert health.is_suspect(server, 2.5)
    health.on_outcome(server, server_health.Outcome.ANSWERED, 2.6)
    assert not health.is_suspect(server, 2.6)


def test_a_refusal_by_a_full_server_does_not_count_as_a_failure() -> None:
    health = server_health.ServerHealth()
    server = catalog.Instance("a", 1)
    health.on_outcome(server, server_health.Outcome.FULL, 0.0)
    assert health.failure_ratio(server, 0.0) == 0.0
    assert health.is_suspect(server, 0.05)
    assert not health.is_suspect(server, 0.2)


@given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_events_are_complete_for_any_split_of_the_bytes(cuts: list[int]) -> None:
    stream = b"".join(f"id: {n}\ndata: text {n}\n\n".encode() for n in range(1, 12))
    splitter = event_stream.EventSplitter()
    events = []
    position = 0
    for cut in [*cuts, len(stream)]:
        events += splitter.feed(stream[position : position + cut])
        position = min(len(stream), position + cut)
    assert b"".join(event.raw for event in events) == stream
    assert [event.number for event in events] == list(range(1, 12))
    assert not splitter.has_partial_event


@pytest.mark.parametrize(
    ("raw", "event_id", "number"),
    [
        (b"id: 7\ndata: x\n\n", b"7", 7),
        (b"data: x\r\nid:7\r\n\r\n", b"7", 7),
        (b"id:  7 \ndata: x\n\n", b"7", 7),
        (b"id: 007\n\n", b"007", 7),
        (b"id: 6\nid: 7\n\n", b"7", 7),
        (b"id: 1.5\n\n", b"1.5", None),
        (b"id: 7b\n\n", b"7b", None),
        (b"id: " + b"9" * 4_300 + b"\n\n", b"9" * 4_300, 10**4_300 - 1),
        (b"id: " + b"9" * 4_301 + b"\n\n", b"9" * 4_301, None),
        (b"id:\ndata: x\n\n", None, None),
        (b"data: id: 7\n\n", None, None),
        (b"idle: 7\n\n", None, None),
    ],
)
def test_the_id_of_an_event_is_read_whole(
    raw: bytes, event_id: bytes | None, number: int | None
) -> None:
    """The digits before a point or a letter counted as the number of the event."""
    (event,) = event_stream.EventSplitter().feed(raw)
    assert (event.event_id, event.number, event.raw) == (event_id, number, raw)


def test_an_incomplete_event_is_not_returned() -> None:
    splitter = event_stream.EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x") == []
    assert splitter.has_partial_event


def test_positions_detect_duplicates_and_gaps() -> None:
    position = event_stream.StreamPosition(b"3")

    def step(number: int) -> event_stream.EventOrder:
        return position.advance(event_stream.Event(b"%d" % number, b""))

    assert [step(n) for n in (2, 3, 4, 4, 6, 5)] == [
        event_stream.EventOrder.DUPLICATE,
        event_stream.EventOrder.DUPLICATE,
        event_stream.EventOrder.NEXT,
        event_stream.EventOrder.DUPLICATE,
        event_stream.EventOrder.GAP,
        event_stream.EventOrder.NEXT,
    ]


@pytest.mark.parametrize("end", list(forwarding.AttemptEnd))
@pytest.mark.parametrize("kind", list(catalog.CallKind))
def test_only_requests_that_did_not_run_or_are_retryable_are_retried(
    end: forwarding.AttemptEnd, kind: catalog.CallKind
) -> None:
    may = forwarding.may_retry(end, builders.route(kind))
    if end in (forwarding.AttemptEnd.NOT_EXECUTED, forwarding.AttemptEnd.NOT_SENT):
        assert may
    elif end is forwarding.AttemptEnd.DELIVERED or kind is catalog.CallKind.NON_IDEMPOTENT:
        assert not may
    else:
        assert may


@given(st.lists(st.sampled_from(list(forwarding.AttemptEnd)), max_size=5), st.booleans())
def test_a_status_that_states_that_nothing_ran_needs_proof(
    ends: list[forwarding.AttemptEnd], deadline_passed: bool
) -> None:
    final = forwarding.final_response(ends, deadline_passed=deadline_passed)
    may_have_run = any(
        end not in (forwarding.AttemptEnd.NOT_EXECUTED, forwarding.AttemptEnd.NOT_SENT)
        for end in ends
    )
    assert (final.status in (408, 421, 429, 503)) == (not may_have_run)


def test_unreachable_servers_and_refusals_do_not_count_as_attempts() -> None:
    route = builders.route(attempts=2)
    uncounted = [
        forwarding.AttemptEnd.NOT_EXECUTED,
        forwarding.AttemptEnd.SERVER_UNREACHABLE,
    ]
    assert forwarding.has_attempt_left([*uncounted, forwarding.AttemptEnd.BROKEN], route)
    assert forwarding.has_attempt_left([*uncounted, forwarding.AttemptEnd.STALE], route)
    stale_and_broken = [forwarding.AttemptEnd.STALE, forwarding.AttemptEnd.BROKEN]
    assert not forwarding.has_attempt_left(stale_and_broken, route)
    assert not forwarding.has_attempt_left([forwarding.AttemptEnd.TIMEOUT] * 2, route)


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_the_last_attempt_that_a_route_allows_uses_a_fresh_connection(attempts: int) -> None:
    route = builders.route(attempts=attempts)
    for count in range(attempts):
        ends = [forwarding.AttemptEnd.STALE] * count
        assert forwarding.needs_fresh_connection(ends, route) == (count == attempts - 1)
    only_once = builders.route(catalog.CallKind.NON_IDEMPOTENT, attempts=attempts)
    assert forwarding.needs_fresh_connection([], only_once)


def test_timeouts_end_before_callers_abandon_a_stream() -> None:
    for latency_target, gap_target in ((0.3, 0.25), (1.5, 0.6), (3.0, 1.0)):
        route = builders.route(latency_target=latency_target, gap_target=gap_target)
        caller_timeout = forwarding.route_caller_timeout_seconds(route)
        assert forwarding.first_event_timeout_seconds(route, 50.0) < caller_timeout
        assert gap_target < forwarding.gap_timeout_seconds(route) < caller_timeout


def test_a_long_prompt_is_not_moved_before_its_prefill_can_have_ended() -> None:
    # 13 long prompts were moved after 2.5 times their predicted time, which later placements had
    # made too short, and were prefilled again by up to 16 engines.
    long = builders.route(latency_target=2.5, gap_target=1.0)
    assert forwarding.first_event_timeout_seconds(long, 0.5) >= 2 * long.latency_target_seconds
    short = builders.route(latency_target=0.3, gap_target=0.25)
    assert forwarding.first_event_timeout_seconds(short, 0.1) <= 1.0


def test_a_stream_that_has_started_is_placed_until_its_deadline() -> None:
    # Interrupted streams were refused another placement, and so lost, since their callers would
    # give up before any engine could continue.
    short = builders.route(latency_target=0.3, gap_target=0.25)
    assert forwarding.placement_timeout_seconds(short, 1.2, 6.0, has_started=True) == 6.0
    assert forwarding.placement_timeout_seconds(short, 1.2, 6.0, has_started=False) < 1.0


def test_the_longest_matching_prefix_selects_the_route() -> None:
    routes = [builders.route(prefix=prefix) for prefix in ("/a/", "/a/b/", "/c/")]
    configuration = builders.configuration(*routes)
    found = [
        configuration.find_route("h.example", path)
        for path in ("/a/x", "/a/b/x", "/a/b", "/a/b/", "/c", "/d/x", "/")
    ]
    names = [route.path_prefix if route else None for route in found]
    assert names == ["/a/", "/a/b/", "/a/", "/a/b/", None, None, None]
    assert configuration.find_route("other", "/a/x") is None


@pytest.mark.parametrize(
    ("host", "route_host", "is_found"),
    [
        ("h.example:8443", "h.example", True),
        ("[::1]:8443", "[::1]", True),
        ("::1", "::1", True),
        ("h.example:8443", "h.example:8443", True),
        ("h.example", "h.example:8443", False),
        ("h.example:x", "h.example", False),
        ("h.example:", "h.example", True),
        ("other:8443", "h.example", False),
    ],
)
def test_the_port_of_a_host_header_hides_no_route(
    host: str, route_host: str, is_found: bool
) -> None:
    route = builders.route(prefix="/a/")._replace(host=route_host)
    configuration = builders.configuration(route)
    assert (configuration.find_route(host, "/a/x") is not None) == is_found
