"""Tests that cold servers are not overloaded when all servers of a zone turn cold and a node dies.

Every node sends as much as its limits allow and receives reports with a lag of its own. Crashed
servers accept no connections for one second, by when every node has noticed the crash.
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
    """A simulated server and its running requests, each with its node and end time."""

    def __init__(self) -> None:
        self.start = 0
        self.finished = 100
        self.running: list[tuple[Node, float]] = []
        self.reports = [(-9.0, "start-0", 100, 0)]

    def step(self, now: float) -> None:
        ended = [request for request in self.running if request[1] <= now]
        self.running = [request for request in self.running if request[1] > now]
        self.finished += len(ended)
        report = (now, f"start-{self.start}", self.finished, len(self.running))
        self.reports = [*self.reports[-8:], report]


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
            visible = [report for report in engine.reports if report[0] <= now - self.report_lag]
            age = now - visible[-1][0]
            self.tracker.on_report(server_id, *visible[-1][1:], age, now)
        for server_id, limit in self.tracker.node_limits(self.shares, now).items():
            running = engines[server_id].running
            own_running = sum(request[0] is self for request in running)
            running += [(self, now + 2.0 + len(running) % 5)] * (limit - own_running)


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    st.lists(st.sampled_from([0.0, 0.5, 1.0, 2.0]), min_size=6, max_size=6),
    st.integers(0, 5),
    st.integers(0, 60),
    st.sampled_from(["unlisted", "replaced", "still listed"]),
)
def test_no_cold_server_gets_more_than_its_cold_concurrency(
    lags: list[float], dying_node: int, steps_to_death: int, host_list_change: str
) -> None:
    engines = {server_id: Engine() for server_id in SERVERS}
    nodes = [Node(host, lag) for host, lag in zip(HOSTS, lags, strict=True)]
    listed = frozenset(HOSTS)
    running_on_cold = 0
    for step in range(200):
        now = step * STEP_SECONDS
        if step == 50:
            _restart_all(engines, nodes, now)
        if step == 50 + steps_to_death:
            nodes[dying_node].died_at = now
            listed = listed - {HOSTS[dying_node]} if host_list_change == "unlisted" else listed
            if host_list_change == "replaced":
                nodes.append(Node(HOSTS[dying_node], 0.5))
        for engine in engines.values():
            engine.step(now)
            engine.running = [r for r in engine.running if now < r[0].died_at + RECLAIM_SECONDS]
        for node in nodes:
            if now < node.died_at and not 50 <= step < 52:
                node.step(engines, listed, now)
        if step >= 52:
            # A warm server refuses requests above its limit; one in cold start would crash.
            cold = [e for e in engines.values() if e.finished < SERVER.warm_after_requests]
            assert all(len(engine.running) <= SERVER.cold_concurrency for engine in cold)
            running_on_cold += sum(len(engine.running) for engine in cold)
    assert running_on_cold > 0
    assert all(engine.finished > 0 for engine in engines.values())


def _restart_all(engines: dict[str, Engine], nodes: list[Node], now: float) -> None:
    """Restart all servers of the zone at once; every node notices the crash."""
    for server_id, engine in engines.items():
        engine.start += 1
        engine.finished = 0
        engine.running = []
        engine.reports.append((now, f"start-{engine.start}", 0, 0))
        for node in nodes:
            node.tracker.on_crash(server_id, now)
