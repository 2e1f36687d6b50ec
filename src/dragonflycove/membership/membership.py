"""Membership in the style of SWIM: which nodes exist, and which respond to probes.

Existence comes from the host list, health from probes with bounded fan-out. The result is a hint
for performance; no invariant may depend on it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.membership import digests, dissemination, effects, probing

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from dragonflycove.values import identifiers

SUSPICION_TIMEOUT_SECONDS = 4.0
"""Time after which a suspect member that has not refuted the suspicion is unresponsive, seconds."""

INDIRECT_PROBERS = 2
"""Number of hosts that are asked to probe a host that did not respond."""


class HostEntry(NamedTuple):
    """One host of the host list."""

    name: str
    """Name of the host."""

    leaving: bool
    """Whether the host list says that it is leaving."""


class Membership:
    """One node's view of the other nodes, and its part of the probing."""

    def __init__(
        self, identity: identifiers.NodeIdentity, started_at: float, rng: random.Random
    ) -> None:
        """Create the view of a node that has just started.

        Args:
            identity: Identity of this node.
            started_at: Start time of its process, Unix seconds.
            rng: Random generator for the order of probes and the choice of digests.
        """
        self._rng = rng
        self._own = digests.Digest(
            identity.host, identity.incarnation, started_at, 0, 0, 0, False, digests.Health.ALIVE
        )
        self._digests_by_host: dict[str, digests.Digest] = {}
        self._hosts_by_name: dict[str, HostEntry] = {}
        self._last_alive_at_by_host: dict[str, float] = {}
        self._suspected_at_by_host: dict[str, float] = {}
        self._dissemination = dissemination.Dissemination(rng)
        self._probes = probing.Probes(rng)
        self._next_probe_at = float("-inf")

    @property
    def own(self) -> digests.Digest:
        """This node's own digest."""
        return self._own

    @property
    def digests_by_host(self) -> dict[str, digests.Digest]:
        """Digests of the other hosts on the host list, as far as known."""
        return self._digests_by_host

    @property
    def other_hosts(self) -> list[str]:
        """Names of the other hosts on the host list."""
        return [name for name in self._hosts_by_name if name != self._own.host]

    def live_hosts(self) -> list[str]:
        """Return the names of the other hosts that are neither leaving nor `SILENT`, sorted."""
        return sorted(name for name in self.other_hosts if self._is_live(name))

    def last_alive_at(self, host: str) -> float | None:
        """Return when a host last proved to be alive, by a response or a digest from any node.

        Args:
            host: Name of the host.

        Returns:
            Loop time, seconds; `None` if it never did.
        """
        return self._last_alive_at_by_host.get(host)

    def answered_fraction(self) -> float:
        """Return the fraction of the last `probing.MAX_PROBED_HOSTS` probed hosts that responded.

        Returns:
            A number from 0 to 1; 1 while no probe has an outcome.
        """
        return self._probes.answered_fraction()

    def on_hosts(self, hosts: Iterable[HostEntry]) -> list[effects.Effect]:
        """Update the host list.

        Args:
            hosts: The hosts, with or without this one.

        Returns:
            Effects.
        """
        self._hosts_by_name = {host.name: host for host in hosts}
        removed = [host for host in self._digests_by_host if host not in self._hosts_by_name]
        for host in removed:
            del self._digests_by_host[host]
            self._last_alive_at_by_host.pop(host, None)
            self._suspected_at_by_host.pop(host, None)
            self._dissemination.drop(host)
        self._probes.retain_hosts(self._hosts_by_name)
        return [effects.MemberRemoved(host) for host in removed]

    def update_own(self, version: int, leaving: bool) -> None:
        """Update this node's own configuration version and whether it is stopping.

        Args:
            version: Configuration version in force.
            leaving: Whether this node is stopping.
        """
        if (version, leaving) == (self._own.version, self._own.leaving):
            return
        newly_leaving = leaving and not self._own.leaving
        heartbeat = self._own.heartbeat + 1
        self._own = self._own._replace(version=version, leaving=leaving, heartbeat=heartbeat)
        if newly_leaving:
            self._dissemination.add(self._own.host)

    def on_tick(self, now: float) -> list[effects.Effect]:
        """Start probes and handle timeouts; call several times per `PROBE_INTERVAL_SECONDS`.

        Args:
            now: Loop time, seconds.

        Returns:
            Effects.
        """
        result: list[effects.Effect] = []
        overdue = self._probes.collect_overdue(now)
        for pending in overdue.to_probe_indirectly:
            result.extend(self._request_indirect_probes(pending))
        for pending in overdue.failed:
            result.extend(self._mark_suspect(pending.host, now))
        for host, suspected_at in list(self._suspected_at_by_host.items()):
            if now - suspected_at >= SUSPICION_TIMEOUT_SECONDS:
                del self._suspected_at_by_host[host]
                result.extend(self._set_health(host, digests.Health.SILENT))
        if now >= self._next_probe_at:
            self._next_probe_at = now + probing.PROBE_INTERVAL_SECONDS
            self._own = self._own._replace(heartbeat=self._own.heartbeat + 1)
            result.extend(self._probe_next(now))
        return result

    def on_probe(self, sender: str, probe: digests.Probe, now: float) -> list[effects.Effect]:
        """Respond to a probe and merge its digests.

        Args:
            sender: Name of the sender's host.
            probe: The probe.
            now: Loop time, seconds.

        Returns:
            Effects.
        """
        result = self._merge_digests(probe.digests, now)
        response = digests.ProbeAnswered(
            probe.probe_id, self._own.host, self._choose_digests(sender)
        )
        return [*result, effects.Send(sender, response)]

    def on_probe_answered(
        self, response: digests.ProbeAnswered, now: float
    ) -> list[effects.Effect]:
        """Handle the response to a probe; forward it if the probe was sent for another node.

        Args:
            response: The response.
            now: Loop time, seconds.

        Returns:
            Effects.
        """
        result = self._merge_digests(response.digests, now)
        pending = self._probes.end(response.probe_id, response.target)
        if pending is not None:
            result.append(effects.ProbeSucceeded(pending.sent_at))
            self._last_alive_at_by_host[pending.host] = now
        indirect = self._probes.end_indirect(response.probe_id)
        if indirect is not None:
            chosen = self._choose_digests(indirect.requester)
            forwarded = digests.ProbeAnswered(indirect.requester_probe_id, response.target, chosen)
            result.append(effects.Send(indirect.requester, forwarded))
        return result

    def on_probe_requested(
        self, sender: str, request: digests.ProbeRequested
    ) -> list[effects.Effect]:
        """Probe a host on behalf of another node.

        Args:
            sender: Name of the requester's host.
            request: The request.

        Returns:
            Effects; none if the host is not on the host list.
        """
        if request.target not in self._hosts_by_name:
            return []
        indirect = probing.IndirectProbe(sender, request.probe_id)
        probe_id = self._probes.begin_indirect(indirect)
        return [
            effects.Send(
                request.target, digests.Probe(probe_id, self._choose_digests(request.target))
            )
        ]

    def _probe_next(self, now: float) -> list[effects.Effect]:
        """Probe the next host of the round."""
        host = self._probes.next_host(self.other_hosts)
        if host is None:
            return []
        probe_id = self._probes.begin(host, now)
        return [effects.Send(host, digests.Probe(probe_id, self._choose_digests(host)))]

    def _request_indirect_probes(self, pending: probing.PendingProbe) -> list[effects.Effect]:
        candidates = [host for host in self.live_hosts() if host != pending.host]
        chosen = self._rng.sample(candidates, min(INDIRECT_PROBERS, len(candidates)))
        request = digests.ProbeRequested(pending.probe_id, pending.host)
        return [effects.Send(prober, request) for prober in chosen]

    def _mark_suspect(self, host: str, now: float) -> list[effects.Effect]:
        """Mark a member whose probe failed as suspect, if it is not yet."""
        known = self._digests_by_host.get(host)
        if known is None or known.health is not digests.Health.ALIVE:
            return []
        self._suspected_at_by_host[host] = now
        return self._set_health(host, digests.Health.SUSPECT)

    def _set_health(self, host: str, health: digests.Health) -> list[effects.Effect]:
        known = self._digests_by_host.get(host)
        if known is None:
            return []
        changed = known._replace(health=health)
        self._digests_by_host[host] = changed
        self._dissemination.add(host)
        return [effects.MemberChanged(changed)]

    def _merge_digests(self, given: Iterable[digests.Digest], now: float) -> list[effects.Effect]:
        result: list[effects.Effect] = []
        for digest in given:
            if digest.host == self._own.host:
                self._refute(digest)
            elif digest.host in self._hosts_by_name:
                result.extend(self._merge_digest(digest, now))
        return result

    def _merge_digest(self, digest: digests.Digest, now: float) -> list[effects.Effect]:
        """Apply another member's digest if it is newer than the known one."""
        known = self._digests_by_host.get(digest.host)
        if not digests.is_newer(digest, known):
            return []
        self._digests_by_host[digest.host] = digest
        if digest.health is digests.Health.ALIVE:
            self._last_alive_at_by_host[digest.host] = now
            self._suspected_at_by_host.pop(digest.host, None)
        elif digest.health is digests.Health.SUSPECT:
            self._suspected_at_by_host.setdefault(digest.host, now)
        if known is not None and _has_same_status(digest, known):
            return []
        # A first digest is new to this node only, so it is disseminated only if it is not alive.
        if known is not None or digest.health is not digests.Health.ALIVE:
            self._dissemination.add(digest.host)
        return [effects.MemberChanged(digest)]

    def _refute(self, digest: digests.Digest) -> None:
        """Refute a suspicion against this process, if the digest contains one."""
        own = self._own
        if digest.incarnation != own.incarnation or digest.health is digests.Health.ALIVE:
            return
        self._own = own._replace(refutation=max(own.refutation, digest.refutation) + 1)
        self._dissemination.add(own.host)

    def _choose_digests(self, receiver: str) -> tuple[digests.Digest, ...]:
        """Return the digests for a message to a host, this node's own first."""
        known = {**self._digests_by_host, self._own.host: self._own}
        chosen = self._dissemination.choose(known, exclude=self._own.host)
        suspected = self._digests_by_host.get(receiver)
        if suspected is not None and suspected.health is not digests.Health.ALIVE:
            # The receiver has to know of the suspicion to refute it.
            chosen.append(suspected)
        return (self._own, *chosen)

    def _is_live(self, host: str) -> bool:
        if self._hosts_by_name[host].leaving:
            return False
        digest = self._digests_by_host.get(host)
        return digest is None or not (digest.leaving or digest.health is digests.Health.SILENT)


def _has_same_status(digest: digests.Digest, known: digests.Digest) -> bool:
    """Return whether two digests differ in nothing that has to be disseminated as an update."""
    return (digest.incarnation, digest.leaving, digest.health) == (
        known.incarnation,
        known.leaving,
        known.health,
    )
