"""Measures the bytes, messages and CPU time that membership costs one node."""

from __future__ import annotations

import collections
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.membership import digests, effects, membership
from dragonflycove.peering import codec, messages
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_SECONDS = 0.25
"""Step of the simulated clock."""

FRAME_OVERHEAD_BYTES = 8 + 2 * 8 + 40
"""Overhead of one frame: websocket frame, ping and pong that confirm it, and TCP/IP headers."""


class MembershipCost(NamedTuple):
    """Cost of membership per node, and how well it detects failures."""

    nodes: int
    """Number of nodes."""

    frames_per_second: float
    """Frames sent by one node."""

    sent_bytes_per_second: float
    """Bytes sent by one node, including the frames' overhead."""

    received_bytes_per_second: float
    """Bytes received by one node; on average equal to the bytes sent."""

    cpu_fraction: float
    """Fraction of one core that decisions, encoding and decoding take on one node."""

    detection_seconds: float
    """Time from a node's failure until all others have detected it; -1 if some never did."""

    falsely_unresponsive: int
    """Pairs of live nodes of which one considered the other unresponsive before the failure."""


class SimulatedFleet:
    """Simulated nodes that exchange encoded frames without delay."""

    def __init__(self, nodes: int, seed: int) -> None:
        self._registry = codec.new_registry()
        self._members: dict[str, membership.Membership] = {}
        self.isolated: set[str] = set()
        self.on_frame: Callable[[str, str], None] = _ignore_frame
        self.frames = 0
        self.sent_bytes = 0
        hosts = [membership.HostEntry(f"host-{index:03d}", False) for index in range(nodes)]
        for index, host in enumerate(hosts):
            identity = identifiers.NodeIdentity(host.name, f"start-{index:024x}")
            member = membership.Membership(identity, 1.0e9, random.Random(seed + index))
            member.on_hosts(hosts)
            self._members[host.name] = member

    def step(self, now: float) -> None:
        """Run one tick of every node and deliver all frames, with those sent in response."""
        queue: collections.deque[tuple[str, effects.Send]] = collections.deque()
        for host, member in self._members.items():
            queue.extend(_filter_sends(host, member.on_tick(now)))
        while queue:
            sender, send = queue.popleft()
            self._deliver(sender, send, now, queue)

    @property
    def members(self) -> dict[str, membership.Membership]:
        """Membership state of the running nodes, by host."""
        return self._members

    def kill(self, host: str) -> None:
        """Remove a node without notice to the others."""
        del self._members[host]

    def count_undetected(self, host: str) -> int:
        """Return how many nodes don't consider a host unresponsive."""
        return sum(
            1 for member in self._members.values() if not _considers_unresponsive(member, host)
        )

    def count_falsely_unresponsive(self) -> int:
        """Return how many pairs of live nodes have one that considers the other unresponsive."""
        return sum(
            1
            for member in self._members.values()
            for host in self._members
            if _considers_unresponsive(member, host)
        )

    def _deliver(
        self,
        sender: str,
        send: effects.Send,
        now: float,
        queue: collections.deque[tuple[str, effects.Send]],
    ) -> None:
        header = messages.Header(f"{sender}/start-{0:024x}", 1234, 56789, 1.5)
        data = self._registry.encode(header, send.message).unwrap()
        self.frames += 1
        self.sent_bytes += len(data) + FRAME_OVERHEAD_BYTES
        receiver = self._members.get(send.host)
        frame = self._registry.decode(data)
        if receiver is None or not isinstance(frame, messages.Frame):
            return
        if (sender in self.isolated) != (send.host in self.isolated):
            return
        self.on_frame(sender, send.host)
        queue.extend(
            _filter_sends(send.host, _handle_message(receiver, sender, frame.message, now))
        )


def measure_membership(nodes: int, seconds: float, seed: int = 1) -> MembershipCost:
    """Simulate membership, then stop one node.

    Args:
        nodes: Number of nodes.
        seconds: Simulated time before the node stops, seconds.
        seed: Seed of all random choices.

    Returns:
        The cost per node, and the time until all others detected the failure.
    """
    fleet = SimulatedFleet(nodes, seed)
    now = 0.0
    started_at = time.process_time()
    while now < seconds:
        now += TICK_SECONDS
        fleet.step(now)
    cpu_seconds = time.process_time() - started_at
    frames, sent_bytes = fleet.frames, fleet.sent_bytes
    falsely_unresponsive = fleet.count_falsely_unresponsive()
    detection = _measure_detection_seconds(fleet, now)
    per_node = nodes * seconds
    return MembershipCost(
        nodes,
        frames / per_node,
        sent_bytes / per_node,
        sent_bytes / per_node,
        cpu_seconds / per_node,
        detection,
        falsely_unresponsive,
    )


def _ignore_frame(sender: str, receiver: str) -> None:
    """Do nothing; default of `SimulatedFleet.on_frame`."""


def _measure_detection_seconds(fleet: SimulatedFleet, now: float) -> float:
    fleet.kill("host-000")
    stopped_at = now
    while now < stopped_at + 120.0:
        now += TICK_SECONDS
        fleet.step(now)
        if fleet.count_undetected("host-000") == 0:
            return now - stopped_at
    return -1.0


def _handle_message(
    member: membership.Membership, sender: str, message: object, now: float
) -> list[effects.Effect]:
    if isinstance(message, digests.Probe):
        return member.on_probe(sender, message, now)
    if isinstance(message, digests.ProbeAnswered):
        return member.on_probe_answered(message, now)
    if isinstance(message, digests.ProbeRequested):
        return member.on_probe_requested(sender, message)
    raise AssertionError(f"no receiver for {type(message).__name__}")


def _considers_unresponsive(member: membership.Membership, host: str) -> bool:
    digest = member.digests_by_host.get(host)
    return digest is not None and digest.health is digests.Health.SILENT


def _filter_sends(host: str, all_effects: list[effects.Effect]) -> list[tuple[str, effects.Send]]:
    return [(host, effect) for effect in all_effects if isinstance(effect, effects.Send)]
