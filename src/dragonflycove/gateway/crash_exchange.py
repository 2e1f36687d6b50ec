"""Exchanges with the other nodes which servers ended while they ran which requests.

A node that loses a server reports it to all nodes at once. Datagrams can be lost and nodes can be
cut off or start later, so that nodes also compare digests with the hubs at intervals and exchange
all crashes where they differ.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import peer_messages
from dragonflycove.quarantine import crash_counts
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dragonflycove.fleet import catalog, roster
    from dragonflycove.gateway import peer_socket

DIGEST_INTERVAL_SECONDS = 0.9
"""Interval at which digests are sent, as long as a crash is known."""

FULL_REPORT_INTERVAL_SECONDS = 0.5
"""Minimum time between two reports of all crashes to one node."""

RECORDS_PER_DATAGRAM = 12
"""Records of each kind in one datagram; keeps it under 1,400 bytes, as any network path carries."""


class _Facts(NamedTuple):
    """What one node tells another."""

    crashes: Sequence[crash_counts.Crash] = ()
    answers: Sequence[crash_counts.Answer] = ()
    survivals: Sequence[crash_counts.Survival] = ()


class CrashExchange:
    """Reports this node's losses, and keeps its counts equal to those of the hubs."""

    def __init__(
        self,
        nodes: roster.Roster,
        counts: crash_counts.CrashCounts,
        datagram_socket: peer_socket.PeerSocket,
    ) -> None:
        """Create the exchange and register its message handlers at the socket.

        Args:
            nodes: This node and the others.
            counts: Crashes that this node knows.
            datagram_socket: Socket to the other nodes.
        """
        self._nodes = nodes
        self._counts = counts
        self._peer_socket = datagram_socket
        self._reported_all_at_by_address: dict[catalog.Address, float] = {}
        datagram_socket.register(peer_messages.CrashReport, self._on_report)
        datagram_socket.register(peer_messages.CrashDigest, self._on_digest)

    def report_crash(self, crash: crash_counts.Crash) -> None:
        """Report a crash that this node has noticed to all nodes.

        Args:
            crash: The crash.
        """
        answer = self._counts.answer(crash.fingerprint)
        self._broadcast(_Facts([crash], [answer] if answer else []))

    def report_answer(self, answer: crash_counts.Answer) -> None:
        """Report an answer that clears a request of crashes to all nodes.

        Args:
            answer: The answer.
        """
        self._broadcast(_Facts(answers=[answer]))

    def report_survival(self, survival: crash_counts.Survival) -> None:
        """Report to all nodes that a server has not ended.

        Args:
            survival: The server, and when it was alive.
        """
        self._broadcast(_Facts(survivals=[survival]))

    def _broadcast(self, facts: _Facts) -> None:
        now = asyncio.get_running_loop().time()
        for message in _encode(facts, now, wants_all=False):
            for address in self._other_addresses(now):
                self._peer_socket.send(address, message)

    async def run(self) -> None:
        """Send digests at intervals; runs until cancelled."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_SECONDS)
            self._send_digests()

    def _send_digests(self) -> None:
        """Send the digest to the hubs, and as the first hub to all nodes."""
        now = asyncio.get_running_loop().time()
        digest = self._counts.digest(now)
        if not digest:
            return
        addresses = {hub.peer_address for hub in self._nodes.hubs(now)}
        if self._nodes.is_first_hub(now):
            addresses.update(self._other_addresses(now))
        for address in addresses - {self._nodes.own.peer_address}:
            self._peer_socket.send(address, peer_messages.CrashDigest(digest))

    def _other_addresses(self, now: float) -> list[catalog.Address]:
        members = [status.member for status in self._nodes.alive(now)]
        return [member.peer_address for member in [*members, *self._nodes.unconfirmed(now)]]

    def _on_digest(self, message: peer_messages.CrashDigest, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        if message.digest != self._counts.digest(now):
            self._report_all(sender, now, wants_all=True)

    def _on_report(self, message: peer_messages.CrashReport, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        for answered in message.answers:
            answer = crash_counts.Answer(answered.fingerprint, now - answered.age_seconds)
            if self._counts.add_answer(answer, now):
                logs.event("suspect_cleared", fingerprint=f"{answer.fingerprint:016x}")
        for survived in message.survivals:
            survival = crash_counts.Survival(survived.instance, now - survived.age_seconds)
            self._counts.add_survival(survival)
        for record in message.crashes:
            crash = crash_counts.Crash(
                record.fingerprint, record.instance, now - record.age_seconds
            )
            if self._counts.add(crash, now):
                self._on_new_crash(crash, sender, now)
        if message.wants_all:
            self._report_all(sender, now, wants_all=False)

    def _on_new_crash(self, crash: crash_counts.Crash, sender: catalog.Address, now: float) -> None:
        logs.event(
            "server_loss_told",
            sender=sender,
            fingerprint=f"{crash.fingerprint:016x}",
            server=crash.instance.server_id,
            born=crash.instance.started_at_ms,
            age=now - crash.at,
            lost=self._counts.crash_count(crash.fingerprint, now),
        )
        answer = self._counts.answer(crash.fingerprint)
        if answer is not None:
            for message in _encode(_Facts(answers=[answer]), now, wants_all=False):
                self._peer_socket.send(sender, message)

    def _report_all(self, address: catalog.Address, now: float, *, wants_all: bool) -> None:
        """Send all that is known to a node, at most every `FULL_REPORT_INTERVAL_SECONDS`."""
        reported_at = self._reported_all_at_by_address.get(address, float("-inf"))
        if now - reported_at < FULL_REPORT_INTERVAL_SECONDS:
            return
        self._reported_all_at_by_address = {
            known: at
            for known, at in self._reported_all_at_by_address.items()
            if now - at < FULL_REPORT_INTERVAL_SECONDS
        }
        self._reported_all_at_by_address[address] = now
        facts = _Facts(
            self._counts.crashes(now), self._counts.answers(now), self._counts.survivals()
        )
        for message in _encode(facts, now, wants_all=wants_all):
            self._peer_socket.send(address, message)


def _encode(facts: _Facts, now: float, *, wants_all: bool) -> Iterable[peer_messages.CrashReport]:
    """Divide facts among messages; one message if there are none."""
    crashes = tuple(
        peer_messages.CrashRecord(one.fingerprint, one.instance, round(now - one.at, 3))
        for one in facts.crashes
    )
    answers = tuple(
        peer_messages.AnswerRecord(one.fingerprint, round(now - one.at, 3)) for one in facts.answers
    )
    survivals = tuple(
        peer_messages.SurvivalRecord(one.instance, round(now - one.at, 3))
        for one in facts.survivals
    )
    longest = max(1, len(crashes), len(answers), len(survivals))
    for start in range(0, longest, RECORDS_PER_DATAGRAM):
        part = slice(start, start + RECORDS_PER_DATAGRAM)
        yield peer_messages.CrashReport(crashes[part], answers[part], survivals[part], wants_all)
