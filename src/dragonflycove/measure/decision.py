"""Measures the CPU time of a dispatch decision."""

from __future__ import annotations

import random
import statistics
import time
from typing import NamedTuple

from dragonflycove.admission import dispatcher
from dragonflycove.measure import workload
from dragonflycove.routing import load_digests, load_view, policies

WARM_UP_DECISIONS = 500
"""Number of decisions before the measured ones; their times are discarded."""

PREFIX_COUNT = 200
"""Number of different prompt prefixes."""

PEER_COUNT = 40
"""Number of peers whose load digests the dispatcher holds."""

SLOTS_PER_ENGINE = 4
"""Requests that the node may have in flight at each engine."""

MAX_IN_FLIGHT_SHARE = 0.5
"""Maximum fraction of the node's slots in use, so that every submission finds a free one."""

REQUESTS_PER_SECOND = 1_000.0
"""Default request rate."""

REQUEST_RUN_SECONDS = 5.0
"""Mean time after which a request finishes."""


class DecisionTimes(NamedTuple):
    """Distribution of the CPU time of one dispatch decision; the fields are keys of the result."""

    servers: int
    """Number of engines."""
    decisions: int
    """Number of measured decisions."""
    median_microseconds: float
    """Median CPU time."""
    mean_microseconds: float
    """Mean CPU time."""
    p99_microseconds: float
    """99th percentile of the CPU time."""


def measure(
    servers: int, decisions: int, seed: int, rate: float = REQUESTS_PER_SECOND
) -> DecisionTimes:
    """Measure the CPU time of submissions that are all dispatched immediately.

    Args:
        servers: Number of engines.
        decisions: Number of decisions to measure.
        seed: Seed of the requests, the load reports and the dispatcher.
        rate: Requests per second of virtual time.

    Returns:
        Statistics of the CPU times.
    """
    rng = random.Random(seed)
    size = workload.COOPERATIVE._replace(model_servers=servers)
    configuration = workload.make_configuration(size)
    subject = dispatcher.Dispatcher.from_config(
        configuration, size.zones[0], policies.Policy.BORROWING, rng, "node-0"
    )
    server_ids = list(configuration.servers_by_id)
    subject.set_limits(dict.fromkeys(server_ids, SLOTS_PER_ENGINE), 0.0)
    for index in range(PEER_COUNT):
        pending_work = tuple(
            load_digests.PendingServerWork(s, (500, 0), 800, 1) for s in rng.sample(server_ids, 8)
        )
        waiting = (load_digests.ModelLaneLoad(workload.MODEL, (1_000,) * 6, (500.0,) * 6),)
        subject.on_peer_digest(
            load_digests.LoadDigest(f"peer-{index}", 0.0, pending_work, waiting), 0.0
        )
    prefixes = [tuple(rng.getrandbits(64) for _ in range(8)) for _ in range(PREFIX_COUNT)]
    arrivals = workload.make_arrivals(size, 0.5, 1.0, seed, workload.KINDS[:2])
    running: list[str] = []
    times = []
    now = 0.0
    for index in range(WARM_UP_DECISIONS + decisions):
        now += 1.0 / rate
        _report(subject, rng.choice(server_ids), rng, now)
        drawn = rng.choice(arrivals).request
        request = drawn._replace(
            request_id=str(index), prefix_hashes=rng.choice(prefixes), deadline=now + 60.0
        )
        before = time.thread_time_ns()
        subject.submit(request, now)
        times.append((time.thread_time_ns() - before) / 1_000)
        running.append(request.request_id)
        if len(running) > min(
            rate * REQUEST_RUN_SECONDS, MAX_IN_FLIGHT_SHARE * SLOTS_PER_ENGINE * servers
        ):
            finished_id = running.pop(rng.randrange(len(running)))
            subject.on_first_token(finished_id, now)
            subject.on_finished(finished_id, now)
    measured = sorted(times[WARM_UP_DECISIONS:])
    p99 = measured[int(0.99 * len(measured))]
    median, mean = statistics.median(measured), statistics.fmean(measured)
    return DecisionTimes(servers, decisions, median, mean, p99)


def _report(subject: dispatcher.Dispatcher, server_id: str, rng: random.Random, now: float) -> None:
    backlog = rng.randrange(0, 4_000)
    report = load_view.LoadReport(
        server_id, 0.2, "start", 4, 0, (0, 0), (backlog, 0), 20_000, 400_000, 100, (workload.MODEL,)
    )
    subject.on_report(report, now)
