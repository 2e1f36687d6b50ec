"""The load view: reports that lag, with own and peers' pending work added."""

from __future__ import annotations

import node_fleet
import pytest

from dragonflycove.routing import load_digests, load_view


def make_report(age=0.2, higher=0, lower=0, memory=0, start="1"):
    return load_view.LoadReport(
        "s1", age, start, 1, 0, (0, 0), (higher, lower), memory, 100_000, 9, (node_fleet.MODEL,)
    )


def make_load():
    return load_view.EngineLoadView(node_fleet.make_server("s1"), 4)


def make_work(sent_at, tokens, request_id="r", memory=500):
    return load_view.PendingWork(sent_at, request_id, tokens, memory, 1)


@pytest.mark.parametrize(
    ("report", "sent", "now", "expected"),
    [
        (make_report(0.0, 5_000, 5_000), [], 10.0, (0.5, 1.0)),
        (make_report(0.2, 5_000, 5_000), [], 10.0, (0.3, 0.8)),
        (make_report(0.2, 5_000, 5_000), [], 10.6, (0.0, 0.2)),
        (make_report(0.2, 5_000, 0), [make_work(9.0, (9_000, 0))], 10.0, (0.3, 0.3)),
        (make_report(0.2, 5_000, 0), [make_work(9.9, (9_000, 0))], 10.0, (1.2, 1.2)),
        (make_report(0.2), [make_work(9.9, (0, 9_000))], 10.0, (0.0, 0.9)),
    ],
)
def test_backlog_is_reported_prefill_plus_pending_work(report, sent, now, expected):
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


def test_prefilled_prompt_keeps_its_kv_cache_until_the_request_ends():
    load = make_load()
    load.add(make_work(1.0, (1_000, 0), "r", 30_000))
    load.on_prefill_done("r")
    assert (load.pending_prefill_tokens, load.free_memory_tokens()) == ([0, 0], 70_000)
    load.remove("r")
    assert load.free_memory_tokens() == 100_000


def test_newer_digest_replaces_a_peers_work_and_a_newer_report_drops_it():
    view = load_view.LoadView()
    view.set_servers([node_fleet.make_server("s1")])
    peers = load_digests.PeerDigests()

    def receive_digest(age, tokens):
        peer_work = (load_digests.PendingServerWork("s1", (tokens, 0), 0, 1),)
        peers.on_digest(load_digests.LoadDigest("n2", age, peer_work, ()), view, 10.0)

    load = view.loads_by_id["s1"]
    receive_digest(0.1, 2_000)
    receive_digest(0.0, 3_000)
    receive_digest(0.5, 9_000)
    assert load.pending_prefill_tokens == [3_000, 0]
    load.on_report(make_report(0.3), 10.0)
    assert load.pending_prefill_tokens == [3_000, 0]
    load.on_report(make_report(0.0), 10.1)
    assert load.pending_prefill_tokens == [0, 0]
    receive_digest(0.0, 3_000)
    peers.expire(view, 10.0 + load_digests.DIGEST_LIFETIME_SECONDS + 0.1)
    assert (load.pending_prefill_tokens, peers.count) == ([0, 0], 0)


def test_number_of_engines_in_a_digest_is_bounded():
    loads = []
    for index in range(600):
        load = load_view.EngineLoadView(node_fleet.make_server(f"s{index}"), 4)
        load.add(make_work(1.0, (index, 0)))
        loads.append(load)
    pending_work = load_digests.collect_pending_work(loads)
    assert len(pending_work) == load_digests.DIGEST_SERVERS_LIMIT
    assert pending_work[0].prefill_tokens == (599, 0)
