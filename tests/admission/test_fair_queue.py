"""The fair queue: shares by weight, earliest deadline first, latest starts, bounded state."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from dragonflycove.admission import fair_queue

COST_LIMIT = 50


def push(queue, request_id, organisation, weight=1.0, cost=1, deadline=100.0, latest_start=1e9):
    queue.push(request_id, organisation, weight, cost, deadline, latest_start)


@hypothesis.given(
    weights=st.lists(st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=5),
    costs=st.lists(st.integers(1, COST_LIMIT), min_size=200, max_size=200),
    served=st.integers(1, 100),
)
def test_backlogged_organisations_get_tokens_by_weight(weights, costs, served):
    queue = fair_queue.FairQueue()
    for index, cost in enumerate(costs):
        for name, weight in enumerate(weights):
            push(queue, f"{index}/{name}", str(name), weight, cost)
    served_by_weight = [0.0] * len(weights)
    for _ in range(served):
        item = queue.take(queue.peek(0.0).request_id)
        served_by_weight[int(item.organisation)] += (
            item.cost_tokens / weights[int(item.organisation)]
        )
    bound = 2 * COST_LIMIT / min(weights)
    assert max(served_by_weight) - min(served_by_weight) <= bound


def test_organisation_that_was_idle_gets_no_more_than_its_share():
    queue = fair_queue.FairQueue()
    for index in range(100):
        push(queue, f"a{index}", "a")
    taken = []
    for index in range(50):
        push(queue, f"b{index}", "b")
        taken.append(queue.take(queue.peek(0.0).request_id).organisation)
        taken.append(queue.take(queue.peek(0.0).request_id).organisation)
    assert 48 <= taken.count("a") <= 52


@hypothesis.given(st.permutations(range(8)))
def test_earliest_deadline_first_within_an_organisation(deadlines):
    queue = fair_queue.FairQueue()
    for deadline in deadlines:
        push(queue, str(deadline), "a", deadline=float(deadline))
    order = [int(queue.take(queue.peek(0.0).request_id).request_id) for _ in deadlines]
    assert order == sorted(deadlines)


def test_request_at_its_latest_start_goes_before_the_fair_order():
    queue = fair_queue.FairQueue()
    for index in range(10):
        push(queue, f"a{index}", "a")
    push(queue, "late", "a", deadline=500.0, latest_start=5.0)
    assert queue.peek(4.9).request_id == "a0"
    assert queue.peek(5.0).request_id == "late"


def test_state_is_bounded_by_the_active_organisations():
    queue = fair_queue.FairQueue()
    push(queue, "stays", "busy", deadline=1e6, cost=1_000_000)
    for index in range(26_000):
        push(queue, str(index), f"organisation-{index}", deadline=1.0)
        queue.take(str(index))
    assert queue.tracked_organisations <= 2 * fair_queue.STALE_ENTRIES_LIMIT
    assert len(queue._latest_starts) <= 2 * fair_queue.STALE_ENTRIES_LIMIT
    assert len(queue._order) <= 4 * fair_queue.STALE_ENTRIES_LIMIT


@hypothesis.given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from("ab"), st.booleans())))
def test_token_counts_match_the_queued_requests(steps):
    queue = fair_queue.FairQueue()
    oracle: dict[str, tuple[str, int]] = {}
    for number, organisation, is_served in steps:
        request_id = str(number)
        if request_id not in oracle:
            push(queue, request_id, organisation, cost=number + 1)
            oracle[request_id] = (organisation, number + 1)
        elif is_served:
            oracle.pop(queue.take(request_id).request_id)
        else:
            oracle.pop(queue.remove(request_id).request_id)
        assert queue.tokens == sum(cost for _, cost in oracle.values())
        for name in "ab":
            expected = sum(cost for owner, cost in oracle.values() if owner == name)
            assert queue.organisation_tokens(name) == expected
        head = queue.peek(0.0)
        assert (head is None) == (not oracle)
        assert head is None or head.request_id in oracle
