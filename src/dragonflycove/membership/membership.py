"""Who exists, by the host list, and who answers, by probes of bounded fan-out.

It is a hint for performance: nothing that must always hold rests on it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.membership import digests, dissemination, effects, probing

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from dragonflycove.values import identifiers

SUSPICION_SECONDS = 4.0
"""Time in which a suspected member may take the suspicion back, seconds."""

HELPERS = 2
"""Hosts that are asked to probe one that did not answer."""


class HostEntry(NamedTuple):
    """One host of the host list."""

    name: str
    """Name of the host."""

    leaving: bool
    """Whether the host list says that it is leaving."""


class Membership:
    """What one node knows of the others."""

    def __init__(
        self, identity: identifiers.NodeIdentity, started_at: float, rng: random.Random
    ) -> None:
        """Create the view of a node that starts.

        Args:
            identity: This process.
            started_at: When it started, Unix seconds.
            rng: Where the order of the probes comes from.
        """
        self._rng = rng
        self._own = digests.Digest(
            identity.host, identity.incarnation, started_at, 0, 0, 0, False, digests.Health.ALIVE
        )
        self._digests_by_host: dict[str, digests.Digest] = {}
        self._hosts_by_name: dict[str, HostEntry] = {}
        self._heard_at_by_host: dict[str, float] = {}
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
        """What is known of the other hosts that the host list names."""
        return self._digests_by_host

    @property
    def other_hosts(self) -> list[str]:
        """Names of the other hosts in the host list."""
        return [name for name in self._hosts_by_name if name != self._own.host]

    def live_hosts(self) -> list[str]:
        """Return the other hosts that are neither leaving nor silent, sorted."""
        return sorted(name for name in self.other_hosts if self._is_live(name))

    def heard_at(self, host: str) -> float | None:
        """Return when a host last gave a sign of life, by whatever way.

        Args:
            host: Name of the host.

        Returns:
            Seconds; `None` if it never did.
        """
        return self._heard_at_by_host.get(host)

    def answered_fraction(self) -> float:
        """Return the part of the hosts probed last that answered, 0 to 1."""
        return self._probes.answered_fraction()

    def on_hosts(self, hosts: Iterable[HostEntry]) -> list[effects.Effect]:
        """Take in a reading of the host list.

        Args:
            hosts: The hosts, this one included or not.

        Returns:
            What to do.
        """
        self._hosts_by_name = {host.name: host for host in hosts}
        gone = [host for host in self._digests_by_host if host not in self._hosts_by_name]
        for host in gone:
            del self._digests_by_host[host]
            self._heard_at_by_host.pop(host, None)
            self._suspected_at_by_host.pop(host, None)
            self._dissemination.drop(host)
        self._probes.keep_hosts(self._hosts_by_name)
        return [effects.MemberGone(host) for host in gone]

    def update_own(self, version: int, leaving: bool) -> None:
        """Take note of this node's own configuration version and stop.

        Args:
            version: Version in force.
            leaving: Whether it is stopping.
        """
        if (version, leaving) == (self._own.version, self._own.leaving):
            return
        newly_leaving = leaving and not self._own.leaving
        heartbeat = self._own.heartbeat + 1
        self._own = self._own._replace(version=version, leaving=leaving, heartbeat=heartbeat)
        if newly_leaving:
            self._dissemination.add(self._own.host)

    def on_tick(self, now: float) -> list[effects.Effect]:
        """Do what is due; call it several times in `probing.PERIOD_SECONDS`.

        Args:
            now: Time, seconds.

        Returns:
            What to do.
        """
        found: list[effects.Effect] = []
        late = self._probes.collect_late(now)
        for pending in late.to_ask_others:
            found.extend(self._ask_others(pending))
        for pending in late.failed:
            found.extend(self._suspect(pending.host, now))
        for host, suspected_at in list(self._suspected_at_by_host.items()):
            if now - suspected_at >= SUSPICION_SECONDS:
                del self._suspected_at_by_host[host]
                found.extend(self._mark(host, digests.Health.SILENT))
        if now >= self._next_probe_at:
            self._next_probe_at = now + probing.PERIOD_SECONDS
            self._own = self._own._replace(heartbeat=self._own.heartbeat + 1)
            found.extend(self._probe_next(now))
        return found

    def on_probe(self, sender: str, probe: digests.Probe, now: float) -> list[effects.Effect]:
        """Answer a probe.

        Args:
            sender: Name of the sender's host.
            probe: The probe.
            now: Time, seconds.

        Returns:
            What to do.
        """
        found = self._take(probe.digests, now)
        answer = digests.ProbeAnswered(probe.probe_id, self._own.host, self._pick(sender))
        return [*found, effects.Send(sender, answer)]

    def on_probe_answered(self, answer: digests.ProbeAnswered, now: float) -> list[effects.Effect]:
        """Take in the answer to a probe.

        Args:
            answer: The answer.
            now: Time, seconds.

        Returns:
            What to do.
        """
        found = self._take(answer.digests, now)
        pending = self._probes.end(answer.probe_id, answer.target)
        if pending is not None:
            found.append(effects.ProbeSucceeded(pending.sent_at))
            self._heard_at_by_host[pending.host] = now
        helping = self._probes.end_helping(answer.probe_id)
        if helping is not None:
            chosen = self._pick(helping.asker)
            passed_on = digests.ProbeAnswered(helping.their_probe_id, answer.target, chosen)
            found.append(effects.Send(helping.asker, passed_on))
        return found

    def on_probe_requested(
        self, sender: str, request: digests.ProbeRequested
    ) -> list[effects.Effect]:
        """Probe a host for another node.

        Args:
            sender: Name of the asker's host.
            request: Its request.

        Returns:
            What to do.
        """
        if request.target not in self._hosts_by_name:
            return []
        helping = probing.HelpingProbe(sender, request.probe_id)
        probe_id = self._probes.begin_helping(helping)
        return [effects.Send(request.target, digests.Probe(probe_id, self._pick(request.target)))]

    def _probe_next(self, now: float) -> list[effects.Effect]:
        host = self._probes.next_host(self.other_hosts)
        if host is None:
            return []
        probe_id = self._probes.begin(host, now)
        return [effects.Send(host, digests.Probe(probe_id, self._pick(host)))]

    def _ask_others(self, pending: probing.PendingProbe) -> list[effects.Effect]:
        helpers = [host for host in self.live_hosts() if host != pending.host]
        chosen = self._rng.sample(helpers, min(HELPERS, len(helpers)))
        request = digests.ProbeRequested(pending.probe_id, pending.host)
        return [effects.Send(helper, request) for helper in chosen]

    def _suspect(self, host: str, now: float) -> list[effects.Effect]:
        known = self._digests_by_host.get(host)
        if known is None or known.health is not digests.Health.ALIVE:
            return []
        self._suspected_at_by_host[host] = now
        return self._mark(host, digests.Health.SUSPECT)

    def _mark(self, host: str, health: digests.Health) -> list[effects.Effect]:
        known = self._digests_by_host.get(host)
        if known is None:
            return []
        marked = known._replace(health=health)
        self._digests_by_host[host] = marked
        self._dissemination.add(host)
        return [effects.MemberChanged(marked)]

    def _take(self, given: Iterable[digests.Digest], now: float) -> list[effects.Effect]:
        found: list[effects.Effect] = []
        for digest in given:
            if digest.host == self._own.host:
                self._refute(digest)
            elif digest.host in self._hosts_by_name:
                found.extend(self._take_one(digest, now))
        return found

    def _take_one(self, digest: digests.Digest, now: float) -> list[effects.Effect]:
        known = self._digests_by_host.get(digest.host)
        if not digests.is_newer(digest, known):
            return []
        self._digests_by_host[digest.host] = digest
        if digest.health is digests.Health.ALIVE:
            self._heard_at_by_host[digest.host] = now
            self._suspected_at_by_host.pop(digest.host, None)
        elif digest.health is digests.Health.SUSPECT:
            self._suspected_at_by_host.setdefault(digest.host, now)
        if known is not None and _is_same_news(digest, known):
            return []
        # What a node hears first is new to itself only, unless it is bad news.
        if known is not None or digest.health is not digests.Health.ALIVE:
            self._dissemination.add(digest.host)
        return [effects.MemberChanged(digest)]

    def _refute(self, digest: digests.Digest) -> None:
        """Refute a suspicion against this process."""
        own = self._own
        if digest.incarnation != own.incarnation or digest.health is digests.Health.ALIVE:
            return
        self._own = own._replace(refutation=max(own.refutation, digest.refutation) + 1)
        self._dissemination.add(own.host)

    def _pick(self, receiver: str) -> tuple[digests.Digest, ...]:
        known = {**self._digests_by_host, self._own.host: self._own}
        chosen = self._dissemination.pick(known, exclude=self._own.host)
        suspected = self._digests_by_host.get(receiver)
        if suspected is not None and suspected.health is not digests.Health.ALIVE:
            # The receiver has to hear of it, to take it back.
            chosen.append(suspected)
        return (self._own, *chosen)

    def _is_live(self, host: str) -> bool:
        if self._hosts_by_name[host].leaving:
            return False
        digest = self._digests_by_host.get(host)
        return digest is None or not (digest.leaving or digest.health is digests.Health.SILENT)


def _is_same_news(digest: digests.Digest, known: digests.Digest) -> bool:
    """Tell whether two digests differ in nothing that the others need to hear at once."""
    return (digest.incarnation, digest.leaving, digest.health) == (
        known.incarnation,
        known.leaving,
        known.health,
    )
