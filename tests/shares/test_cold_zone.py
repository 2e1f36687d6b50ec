"""A whole zone turns cold at once, and a node dies in it: no server gets more than it bears.

Every node sends all that it may. The reports lag, each node's by its own time; a server that broke
off takes no connection for a second, in which every node has seen its own connections break.
"""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from dragonflycove.configuration import schema
from dragonflycove.shares import cold_start, share_table

LAG_SECONDS = 3.0
RECLAIM_SECONDS = 6.0
STEP_SECONDS = 0.5
HOSTS = tuple(f"entry-{number}" for number in range(6))
SERVER = schema.Server("", "chat", "zone-1", "", ("m",), 200_000, 8000.0, 10, 2, 20, True, False)
SERVERS = {name: SERVER._replace(server_id=name) for name in ("e1", "e2", "e3", "e4", "e5")}


class Engine:
    """A server with the requests that it runs, each with its node and when it ends."""

    def __init__(self) -> None:
        self.start = 0
        self.finished = 100
        self.runs: list[tuple[Node, float]] = []
        self.reports = [(-9.0, "start-0", 100, 0)]

    def step(self, now: float) -> None:
        ended = [run for run in self.runs if run[1] <= now]
        self.runs = [run for run in self.runs if run[1] > now]
        self.finished += len(ended)
        report = (now, f"start-{self.start}", self.finished, len(self.runs))
        self.reports = [*self.reports[-8:], report]

    def bears(self) -> int:
        grown = (
            (SERVER.concurrency - SERVER.cold_concurrency)
            * self.finished
            // SERVER.warm_after_requests
        )
        return SERVER.cold_concurrency + grown


class Node:
    """One start of a node."""

    def __init__(self, host: str, report_lag: float) -> None:
        self.host = host
        self.report_lag = report_lag
        self.shares = share_table.ShareTable(host, LAG_SECONDS, RECLAIM_SECONDS)
        self.tracker = cold_start.ColdStartTracker(SERVERS)
        self.died_at = float("inf")

    def step(self, engines: dict[str, Engine], listed: frozenset[str], now: float) -> None:
        self.shares.on_host_list(listed, 0.0, now)
        for server_id, engine in engines.items():
            seen = [report for report in engine.reports if report[0] <= now - self.report_lag]
            age = now - seen[-1][0]
            self.tracker.on_report(server_id, *seen[-1][1:], age, now)
        for server_id, limit in self.tracker.node_limits(self.shares, now).items():
            runs = engines[server_id].runs
            mine = sum(run[0] is self for run in runs)
            runs += [(self, now + 2.0 + len(runs) % 5)] * (limit - mine)


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    st.lists(st.sampled_from([0.0, 0.5, 1.0, 2.0]), min_size=6, max_size=6),
    st.integers(0, 5),
    st.integers(0, 60),
    st.sampled_from(["unlisted", "replaced", "still listed"]),
)
def test_no_server_gets_more_than_it_bears(
    lags: list[float], victim: int, steps_to_death: int, then: str
) -> None:
    engines = {server_id: Engine() for server_id in SERVERS}
    nodes = [Node(host, lag) for host, lag in zip(HOSTS, lags, strict=True)]
    listed = frozenset(HOSTS)
    sent_cold = 0
    for step in range(200):
        now = step * STEP_SECONDS
        if step == 50:
            _restart_all(engines, nodes, now)
        if step == 50 + steps_to_death:
            nodes[victim].died_at = now
            listed = listed - {HOSTS[victim]} if then == "unlisted" else listed
            if then == "replaced":
                nodes.append(Node(HOSTS[victim], 0.5))
        for engine in engines.values():
            engine.step(now)
            engine.runs = [r for r in engine.runs if now < r[0].died_at + RECLAIM_SECONDS]
        for node in nodes:
            if now < node.died_at and not 50 <= step < 52:
                node.step(engines, listed, now)
        if step >= 52:
            # A warm server refuses what is too much; one in cold start falls over.
            cold = [e for e in engines.values() if e.finished < SERVER.warm_after_requests]
            assert all(len(engine.runs) <= engine.bears() for engine in cold)
            sent_cold += sum(len(engine.runs) for engine in cold)
    assert sent_cold > 0
    assert all(engine.finished > 0 for engine in engines.values())


def _restart_all(engines: dict[str, Engine], nodes: list[Node], now: float) -> None:
    """Turn the whole zone cold at once; every node sees its connections break."""
    for server_id, engine in engines.items():
        engine.start += 1
        engine.finished = 0
        engine.runs = []
        engine.reports.append((now, f"start-{engine.start}", 0, 0))
        for node in nodes:
            node.tracker.on_crash(server_id, now)
