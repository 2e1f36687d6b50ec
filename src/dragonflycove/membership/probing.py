"""Probes of one node: order of the targets, timeouts, and probes on behalf of other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

PROBE_INTERVAL_SECONDS = 1.0
"""Time between two probes that one node starts, seconds."""

DIRECT_PROBE_TIMEOUT_SECONDS = 0.5
"""Time without a response after which indirect probes are requested, seconds."""

MAX_PROBED_HOSTS = 16
"""Number of last probed hosts over which the fraction that responded is computed."""

MAX_INDIRECT_PROBES = 64
"""Maximum number of indirect probes that are tracked; the oldest is dropped first."""


class PendingProbe(NamedTuple):
    """A probe without a response yet."""

    probe_id: int
    """Number of the probe."""

    host: str
    """Host that was probed."""

    sent_at: float
    """Loop time at which it was sent, seconds."""

    is_probed_indirectly: bool
    """Whether indirect probes of the host were requested."""


class IndirectProbe(NamedTuple):
    """A probe that was sent on behalf of another node."""

    requester: str
    """Host of the other node."""

    requester_probe_id: int
    """Number of the other node's own probe of the target."""


class OverdueProbes(NamedTuple):
    """Probes whose direct or total timeout has passed."""

    to_probe_indirectly: list[PendingProbe]
    """Probes for which indirect probes are now to be requested."""

    failed: list[PendingProbe]
    """Probes that also got no response through indirect probes."""


class Probes:
    """Probes that one node has started or sent on behalf of others."""

    def __init__(self, rng: random.Random) -> None:
        """Create a tracker without probes.

        Args:
            rng: Random generator for the order of the targets.
        """
        self._rng = rng
        self._next_probe_id = 0
        self._round: list[str] = []
        self._pending_by_id: dict[int, PendingProbe] = {}
        self._indirect_by_id: dict[int, IndirectProbe] = {}
        self._answered_by_host: dict[str, bool] = {}

    def answered_fraction(self) -> float:
        """Return the fraction of the last probed hosts that responded, directly or indirectly.

        All hosts are probed in rounds, so it is exact up to `MAX_PROBED_HOSTS` hosts, and an
        estimate beyond.

        Returns:
            A number from 0 to 1; 1 before the first probe.
        """
        recent = self._answered_by_host.values()
        return sum(recent) / len(recent) if recent else 1.0

    def retain_hosts(self, hosts: Collection[str]) -> None:
        """Drop the outcomes of hosts that no longer exist.

        Args:
            hosts: Names of the hosts that exist.
        """
        for host in [host for host in self._answered_by_host if host not in hosts]:
            del self._answered_by_host[host]

    def next_host(self, others: list[str]) -> str | None:
        """Return the next host to probe; in each shuffled round, every host is probed once.

        Args:
            others: Names of the other hosts.

        Returns:
            The host; `None` if there are no other hosts.
        """
        while self._round:
            host = self._round.pop()
            if host in others:
                return host
        self._round = list(others)
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def begin(self, host: str, now: float) -> int:
        """Record that a probe is sent.

        Args:
            host: Host that is probed.
            now: Loop time, seconds.

        Returns:
            Number of the probe.
        """
        probe_id = self._new_id()
        self._pending_by_id[probe_id] = PendingProbe(probe_id, host, now, False)
        return probe_id

    def begin_indirect(self, indirect: IndirectProbe) -> int:
        """Record that a probe is sent on behalf of another node.

        Args:
            indirect: The other node and its probe.

        Returns:
            Number of the probe.
        """
        probe_id = self._new_id()
        self._indirect_by_id[probe_id] = indirect
        if len(self._indirect_by_id) > MAX_INDIRECT_PROBES:
            del self._indirect_by_id[next(iter(self._indirect_by_id))]
        return probe_id

    def end(self, probe_id: int, target: str) -> PendingProbe | None:
        """Record a response to a probe.

        Args:
            probe_id: Number of the probe.
            target: Host that is alive.

        Returns:
            The probe; `None` if it failed before, or was sent on behalf of another node.
        """
        pending = self._pending_by_id.pop(probe_id, None)
        if pending is None or pending.host != target:
            return None
        self._record_outcome(target, answered=True)
        return pending

    def end_indirect(self, probe_id: int) -> IndirectProbe | None:
        """Return the node on whose behalf a probe was sent; `None` if the probe is this node's own.

        Args:
            probe_id: Number of the probe that got a response.
        """
        return self._indirect_by_id.pop(probe_id, None)

    def collect_overdue(self, now: float) -> OverdueProbes:
        """Return the probes whose direct or total timeout has passed.

        Args:
            now: Loop time, seconds.

        Returns:
            The probes; each is returned at most once per timeout.
        """
        overdue = OverdueProbes([], [])
        for probe_id, pending in list(self._pending_by_id.items()):
            waited = now - pending.sent_at
            if waited >= PROBE_INTERVAL_SECONDS + DIRECT_PROBE_TIMEOUT_SECONDS:
                del self._pending_by_id[probe_id]
                self._record_outcome(pending.host, answered=False)
                overdue.failed.append(pending)
            elif waited >= DIRECT_PROBE_TIMEOUT_SECONDS and not pending.is_probed_indirectly:
                self._pending_by_id[probe_id] = pending._replace(is_probed_indirectly=True)
                overdue.to_probe_indirectly.append(pending)
        return overdue

    def _record_outcome(self, host: str, *, answered: bool) -> None:
        self._answered_by_host.pop(host, None)
        self._answered_by_host[host] = answered
        if len(self._answered_by_host) > MAX_PROBED_HOSTS:
            del self._answered_by_host[next(iter(self._answered_by_host))]

    def _new_id(self) -> int:
        self._next_probe_id += 1
        return self._next_probe_id
