"""What requests occupy of a service's servers, and how much of it is each organisation's.

It measures shares where requests differ in size: a prompt of 190,000 tokens fills an engine that
runs eight short ones. A request counts by its dominant resource (Ghodsi et al., Dominant Resource
Fairness, NSDI 2011).
"""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast, plain_servers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.fleet import catalog, work

MIN_OCCUPIED = 1e-9
"""Servers below which nothing is occupied; sums are rounded."""


class Occupation(NamedTuple):
    """What one request occupies."""

    servers: float
    """Servers that it fills by its dominant resource; below 1 unless it is split."""

    seconds: float
    """Predicted time from its placement to its end."""

    @property
    def cost(self) -> float:
        """Capacity that it takes, in seconds of one server."""
        return self.servers * self.seconds

    @classmethod
    def of_job(cls, job: work.Job, spec: catalog.EngineSpec | None) -> Occupation:
        """Return the occupation by a request.

        Args:
            job: The request.
            spec: The engine of its service; None for a plain service.
        """
        if spec is None:
            return cls(1.0, plain_servers.PLAIN_CALL_SECONDS)
        prefill = engine_forecast.prefill_seconds(spec, job.prompt_tokens, 1)
        # The engine's other slots are assumed to be taken; each step yields one token a sequence.
        context = min(spec.kv_cache_tokens, spec.slots * job.kv_cache_tokens)
        step = engine_forecast.step_seconds(spec, spec.slots, context)
        seconds = prefill + job.output_tokens * step
        kv_cache_share = job.kv_cache_tokens / spec.kv_cache_tokens
        return cls(max(prefill / seconds, 1 / spec.slots, kv_cache_share), seconds)


class _Running(NamedTuple):
    """A running request; ordered by its expected end."""

    ends_at: float
    number: int
    organisation: str
    servers: float


class OccupiedServers:
    """Servers that each organisation's running requests occupy, by their predicted ends."""

    def __init__(self) -> None:
        """Create a count without requests."""
        self._running: list[_Running] = []
        self._numbers = itertools.count()
        self._servers_by_organisation: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )

    def add(self, organisation: str, occupation: Occupation, now: float) -> None:
        """Count a request until its predicted end.

        Args:
            organisation: Organisation that sent it.
            occupation: What it occupies.
            now: Loop time of its placement.
        """
        running = _Running(
            now + occupation.seconds, next(self._numbers), organisation, occupation.servers
        )
        heapq.heappush(self._running, running)
        self._servers_by_organisation[organisation] += occupation.servers

    def request_count(self, now: float) -> int:
        """Return the number of running requests.

        Args:
            now: Loop time.
        """
        self.by_organisation(now)
        return len(self._running)

    def by_organisation(self, now: float) -> Mapping[str, float]:
        """Return the occupied servers of the organisations that have running requests.

        Args:
            now: Loop time.
        """
        while self._running and self._running[0].ends_at <= now:
            ended = heapq.heappop(self._running)
            self._servers_by_organisation[ended.organisation] -= ended.servers
            if self._servers_by_organisation[ended.organisation] < MIN_OCCUPIED:
                del self._servers_by_organisation[ended.organisation]
        return self._servers_by_organisation
