"""Owns membership: reads the host list's news, probes, and tells the others of changes."""

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

TICK_SECONDS = 0.25
"""Time between two looks at what is due, seconds."""


class MembershipTask:
    """Runs the membership decisions over the peer connections."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peer_task.PeerTask,
        read_version: Callable[[], int],
        on_change: Callable[[digests.Digest], None] | None = None,
        on_reachability: Callable[[bool, float], None] | None = None,
        on_answer: Callable[[messages.Header, float], None] | None = None,
    ) -> None:
        """Create the task and register for its messages.

        Args:
            members: The decisions.
            peers: The connections.
            read_version: Gives the configuration version in force here.
            on_change: Told of members that start, fall silent, answer again or leave.
            on_reachability: Told whether the host list names other hosts, and the estimated part
                of them that can be reached.
            on_answer: Told of the header of each answer to a probe, and when the probe was sent.
        """
        self._members = members
        self._peers = peers
        self._read_version = read_version
        self._on_change = on_change
        self._on_reachability = on_reachability
        self._on_answer = on_answer
        self._leaving = False
        peers.handle(digests.Probe, self._on_probe)
        peers.handle(digests.ProbeAnswered, self._on_probe_answered)
        peers.handle(digests.ProbeRequested, self._on_probe_requested)

    @property
    def members(self) -> membership.Membership:
        """The decisions, to read from."""
        return self._members

    def on_hosts(self, hosts: Iterable[membership.HostEntry]) -> None:
        """Take in a reading of the host list.

        Args:
            hosts: The hosts.
        """
        self._carry_out(self._members.on_hosts(hosts))

    def announce_leaving(self) -> None:
        """Tell the others that this node is stopping."""
        self._leaving = True
        self._members.update_own(self._read_version(), self._leaving)

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            self._members.update_own(self._read_version(), self._leaving)
            self._carry_out(self._members.on_tick(_now()))
            self._peers.on_live_hosts(tuple(self._members.live_hosts()))
            if self._on_reachability is not None:
                expects_peers = bool(self._members.other_hosts)
                self._on_reachability(expects_peers, self._members.answered_fraction())
            await asyncio.sleep(TICK_SECONDS)

    def _on_probe(self, sender: identifiers.NodeIdentity, message: digests.Probe) -> None:
        self._carry_out(self._members.on_probe(sender.host, message, _now()))

    def _on_probe_answered(
        self, sender: identifiers.NodeIdentity, message: digests.ProbeAnswered
    ) -> None:
        found = self._members.on_probe_answered(message, _now())
        self._carry_out(found)
        header = self._peers.header_of(sender.host)
        if header is None or self._on_answer is None:
            return
        for effect in found:
            if isinstance(effect, effects.ProbeSucceeded):
                self._on_answer(header, effect.sent_at)

    def _on_probe_requested(
        self, sender: identifiers.NodeIdentity, message: digests.ProbeRequested
    ) -> None:
        self._carry_out(self._members.on_probe_requested(sender.host, message))

    def _carry_out(self, found: list[effects.Effect]) -> None:
        for effect in found:
            if isinstance(effect, effects.Send):
                self._peers.send(effect.host, effect.message)
            elif isinstance(effect, effects.MemberChanged):
                self._tell(effect.digest)
            elif isinstance(effect, effects.MemberGone):
                logs.event("member_gone", host=effect.host)

    def _tell(self, digest: digests.Digest) -> None:
        logs.event(
            "member_changed",
            host=digest.host,
            incarnation=digest.incarnation,
            health=digest.health.name.lower(),
            leaving=digest.leaving,
        )
        if self._on_change is not None:
            self._on_change(digest)


def _now() -> float:
    return asyncio.get_running_loop().time()
