"""What membership costs: bytes, messages and CPU of one node, at any count of nodes."""

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
"""Step of the simulated clock, seconds."""

FRAME_OVERHEAD_BYTES = 8 + 2 * 8 + 40
"""Bytes that a websocket frame, the ping and pong that confirm it, and TCP/IP add to one frame."""


class MembershipCost(NamedTuple):
    """Cost of membership for one node."""

    nodes: int
    """Count of nodes."""

    frames_per_second: float
    """Frames that one node sends."""

    sent_bytes_per_second: float
    """Bytes that one node sends, overhead of the frames included."""

    received_bytes_per_second: float
    """Bytes that one node receives; the same on average."""

    cpu_fraction: float
    """Part of one core that decisions, encoding and decoding take of one node's time."""

    detection_seconds: float
    """Time from a death until the last node knew; -1 if not all did."""

    falsely_silent: int
    """Pairs of live nodes of which one took the other for silent, at the end."""


class Fleet:
    """Nodes that exchange encoded frames without delay."""

    def __init__(self, nodes: int, seed: int) -> None:
        self._registry = codec.new_registry()
        self._members: dict[str, membership.Membership] = {}
        self.cut_off: set[str] = set()
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
        """Let every node do what is due, and deliver all frames."""
        queue: collections.deque[tuple[str, effects.Send]] = collections.deque()
        for host, member in self._members.items():
            queue.extend(_sends(host, member.on_tick(now)))
        while queue:
            sender, sent = queue.popleft()
            self._deliver(sender, sent, now, queue)

    @property
    def members(self) -> dict[str, membership.Membership]:
        """The nodes by host."""
        return self._members

    def kill(self, host: str) -> None:
        """Take a node away."""
        del self._members[host]

    def count_unaware(self, host: str) -> int:
        """Count the nodes that don't know that a host is silent."""
        return sum(1 for member in self._members.values() if not _knows_silent(member, host))

    def count_falsely_silent(self) -> int:
        """Count the pairs of live nodes of which one takes the other for silent."""
        return sum(
            1
            for member in self._members.values()
            for host in self._members
            if _knows_silent(member, host)
        )

    def _deliver(
        self,
        sender: str,
        sent: effects.Send,
        now: float,
        queue: collections.deque[tuple[str, effects.Send]],
    ) -> None:
        header = messages.Header(f"{sender}/start-{0:024x}", 1234, 56789, 1.5)
        data = self._registry.encode(header, sent.message).unwrap()
        self.frames += 1
        self.sent_bytes += len(data) + FRAME_OVERHEAD_BYTES
        receiver = self._members.get(sent.host)
        frame = self._registry.decode(data)
        if receiver is None or not isinstance(frame, messages.Frame):
            return
        if (sender in self.cut_off) != (sent.host in self.cut_off):
            return
        self.on_frame(sender, sent.host)
        queue.extend(_sends(sent.host, _receive(receiver, sender, frame.message, now)))


def measure_membership(nodes: int, seconds: float, seed: int = 1) -> MembershipCost:
    """Run membership among nodes on a simulated clock, and kill one of them.

    Args:
        nodes: Count of nodes.
        seconds: Simulated time before the death, seconds.
        seed: Seed of the nodes' choices.

    Returns:
        The cost of one node, and the time until all knew of the death.
    """
    fleet = Fleet(nodes, seed)
    now = 0.0
    began = time.process_time()
    while now < seconds:
        now += TICK_SECONDS
        fleet.step(now)
    cpu_seconds = time.process_time() - began
    frames, sent_bytes = fleet.frames, fleet.sent_bytes
    falsely_silent = fleet.count_falsely_silent()
    detection = _time_detection(fleet, now)
    per_node = nodes * seconds
    return MembershipCost(
        nodes,
        frames / per_node,
        sent_bytes / per_node,
        sent_bytes / per_node,
        cpu_seconds / per_node,
        detection,
        falsely_silent,
    )


def _ignore_frame(sender: str, receiver: str) -> None:
    """Take no note of a frame."""


def _time_detection(fleet: Fleet, now: float) -> float:
    fleet.kill("host-000")
    died_at = now
    while now < died_at + 120.0:
        now += TICK_SECONDS
        fleet.step(now)
        if fleet.count_unaware("host-000") == 0:
            return now - died_at
    return -1.0


def _receive(
    member: membership.Membership, sender: str, message: object, now: float
) -> list[effects.Effect]:
    if isinstance(message, digests.Probe):
        return member.on_probe(sender, message, now)
    if isinstance(message, digests.ProbeAnswered):
        return member.on_probe_answered(message, now)
    if isinstance(message, digests.ProbeRequested):
        return member.on_probe_requested(sender, message)
    raise AssertionError(f"no receiver for {type(message).__name__}")


def _knows_silent(member: membership.Membership, host: str) -> bool:
    digest = member.digests_by_host.get(host)
    return digest is not None and digest.health is digests.Health.SILENT


def _sends(host: str, found: list[effects.Effect]) -> list[tuple[str, effects.Send]]:
    return [(host, effect) for effect in found if isinstance(effect, effects.Send)]
