"""The load view: lagged reports, own and peers' work on top."""

from __future__ import annotations

import node_fleet
import pytest

from dragonflycove.routing import load_digests, load_view


def make_report(age=0.2, first=0, second=0, memory=0, start="1"):
    return load_view.LoadReport(
        "s1", age, start, 1, 0, (0, 0), (first, second), memory, 100_000, 9, (node_fleet.MODEL,)
    )


def make_load():
    return load_view.EngineLoadView(node_fleet.make_server("s1"), 4)


def work(sent_at, tokens, request_id="r", memory=500):
    return load_view.PendingWork(sent_at, request_id, tokens, memory, 1)


@pytest.mark.parametrize(
    ("report", "sent", "now", "expected"),
    [
        (make_report(0.0, 5_000, 5_000), [], 10.0, (0.5, 1.0)),
        (make_report(0.2, 5_000, 5_000), [], 10.0, (0.3, 0.8)),
        (make_report(0.2, 5_000, 5_000), [], 10.6, (0.0, 0.2)),
        (make_report(0.2, 5_000, 0), [work(9.0, (9_000, 0))], 10.0, (0.3, 0.3)),
        (make_report(0.2, 5_000, 0), [work(9.9, (9_000, 0))], 10.0, (1.2, 1.2)),
        (make_report(0.2), [work(9.9, (0, 9_000))], 10.0, (0.0, 0.9)),
    ],
)
def test_backlog(report, sent, now, expected):
    load = make_load()
    for item in sent:
        load.add(item)
    load.on_report(report, 10.0)
    assert load.backlog_seconds(now) == pytest.approx(expected)


def test_older_report_changes_nothing():
    load = make_load()
    load.on_report(make_report(0.1, 4_000), 10.0)
    load.on_report(make_report(5.0, 9_000), 10.1)
    assert load.reported_prefill_tokens == [4_000, 0]


def test_prompt_that_was_read_still_holds_memory_and_the_end_frees_it():
    load = make_load()
    load.add(work(1.0, (1_000, 0), "r", 30_000))
    load.on_prefill_done("r")
    assert (load.pending_prefill_tokens, load.free_memory_tokens()) == ([0, 0], 70_000)
    load.remove("r")
    assert load.free_memory_tokens() == 100_000


def test_digest_replaces_the_last_one_and_a_newer_report_ends_it():
    view = load_view.LoadView()
    view.set_servers([node_fleet.make_server("s1")])
    peers = load_digests.PeerDigests()

    def tell(age, tokens):
        told = (load_digests.PendingServerWork("s1", (tokens, 0), 0, 1),)
        peers.on_digest(load_digests.LoadDigest("n2", age, told, ()), view, 10.0)

    load = view.loads_by_id["s1"]
    tell(0.1, 2_000)
    tell(0.0, 3_000)
    tell(0.5, 9_000)
    assert load.pending_prefill_tokens == [3_000, 0]
    load.on_report(make_report(0.3), 10.0)
    assert load.pending_prefill_tokens == [3_000, 0]
    load.on_report(make_report(0.0), 10.1)
    assert load.pending_prefill_tokens == [0, 0]
    tell(0.0, 3_000)
    peers.expire(view, 10.0 + load_digests.DIGEST_LIFETIME_SECONDS + 0.1)
    assert (load.pending_prefill_tokens, peers.count) == ([0, 0], 0)


def test_digest_is_bounded():
    loads = []
    for index in range(600):
        load = load_view.EngineLoadView(node_fleet.make_server(f"s{index}"), 4)
        load.add(work(1.0, (index, 0)))
        loads.append(load)
    works = load_digests.collect_pending_work(loads)
    assert len(works) == load_digests.DIGEST_SERVERS_LIMIT
    assert works[0].prefill_tokens == (599, 0)
