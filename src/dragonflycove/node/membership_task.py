"""Task that probes the other nodes and reports which of them start, stop or become unresponsive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.membership import digests, effects, membership
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dragonflycove.node import peer_task
    from dragonflycove.peering import messages
    from dragonflycove.values import identifiers

TICK_INTERVAL_SECONDS = 0.25
"""Interval at which the membership checks for due probes and timeouts."""


class MembershipTask:
    """Connects the membership's decisions with the peer connections and the host list."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peer_task.PeerTask,
        get_version: Callable[[], int],
        on_member_changed: Callable[[digests.Digest], None] | None = None,
        on_reachability: Callable[[bool, float], None] | None = None,
        on_probe_answered: Callable[[messages.Header, float], None] | None = None,
    ) -> None:
        """Create the task and register the handlers of its messages.

        Args:
            members: Decides on probes and on the state of each member.
            peers: Connections to the other nodes.
            get_version: Returns the configuration version in force at this node.
            on_member_changed: Called when a member starts, becomes unresponsive, answers again or
                leaves.
            on_reachability: Called with whether the host list holds other hosts, and the estimated
                fraction of them that can be reached.
            on_probe_answered: Called with the header of each answer to a probe, and the loop time
                in seconds at which the probe was sent.
        """
        self._members = members
        self._peers = peers
        self._get_version = get_version
        self._on_member_changed = on_member_changed
        self._on_reachability = on_reachability
        self._probe_answered_callback = on_probe_answered
        self._leaving = False
        peers.handle(digests.Probe, self._on_probe)
        peers.handle(digests.ProbeAnswered, self._on_probe_answered)
        peers.handle(digests.ProbeRequested, self._on_probe_requested)

    @property
    def members(self) -> membership.Membership:
        """State of all members; callers must only read it."""
        return self._members

    def on_hosts(self, hosts: Iterable[membership.HostEntry]) -> None:
        """Process a host list.

        Args:
            hosts: All listed hosts.
        """
        self._carry_out(self._members.on_hosts(hosts))

    def announce_leaving(self) -> None:
        """Announce to the other nodes that this node is stopping."""
        self._leaving = True
        self._members.update_own(self._get_version(), self._leaving)

    async def run(self) -> None:
        """Probe the other nodes and report reachability until cancelled."""
        while True:
            self._members.update_own(self._get_version(), self._leaving)
            self._carry_out(self._members.on_tick(_now()))
            self._peers.on_live_hosts(tuple(self._members.live_hosts()))
            if self._on_reachability is not None:
                expects_peers = bool(self._members.other_hosts)
                self._on_reachability(expects_peers, self._members.answered_fraction())
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    def _on_probe(self, sender: identifiers.NodeIdentity, message: digests.Probe) -> None:
        self._carry_out(self._members.on_probe(sender.host, message, _now()))

    def _on_probe_answered(
        self, sender: identifiers.NodeIdentity, message: digests.ProbeAnswered
    ) -> None:
        new_effects = self._members.on_probe_answered(message, _now())
        self._carry_out(new_effects)
        header = self._peers.header_of(sender.host)
        if header is None or self._probe_answered_callback is None:
            return
        for effect in new_effects:
            if isinstance(effect, effects.ProbeSucceeded):
                self._probe_answered_callback(header, effect.sent_at)

    def _on_probe_requested(
        self, sender: identifiers.NodeIdentity, message: digests.ProbeRequested
    ) -> None:
        self._carry_out(self._members.on_probe_requested(sender.host, message))

    def _carry_out(self, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            if isinstance(effect, effects.Send):
                self._peers.send(effect.host, effect.message)
            elif isinstance(effect, effects.MemberChanged):
                self._report_change(effect.digest)
            elif isinstance(effect, effects.MemberRemoved):
                logs.event("member_gone", host=effect.host)

    def _report_change(self, digest: digests.Digest) -> None:
        logs.event(
            "member_changed",
            host=digest.host,
            incarnation=digest.incarnation,
            health=digest.health.name.lower(),
            leaving=digest.leaving,
        )
        if self._on_member_changed is not None:
            self._on_member_changed(digest)


def _now() -> float:
    return asyncio.get_running_loop().time()
