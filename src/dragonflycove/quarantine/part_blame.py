"""Finds the parts of prompts that crash backend servers, among all that ran when one ended.

A crash implicates all parts of all requests that ran on the server. Parts that are answered elsewhere
afterwards are cleared by that. Of the others, the part that accounts for the most crashes is blamed,
and crashes that it accounts for implicate no other part.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from dragonflycove.quarantine import crash_counts

MIN_CRASHED_SERVERS = 3
"""Crashed servers from which on parts are blamed that were never answered."""

MIN_CRASHED_AFTER_ANSWER = 5
"""Crashed servers from which on parts are blamed that were answered before; the platform tolerates
five."""

MIN_SPAN_SECONDS = 0.3
"""Time between the first and the last of these crashes.

A failure of a host or a zone ends many servers in the same moment, whatever they run.
"""

CONFIRMATION_SECONDS = 1.0
"""Time without an answer after these crashes, for parts that have been answered before."""


class PartCrashes(NamedTuple):
    """The crashes that count against one part, and its last answer."""

    crashes: Sequence[crash_counts.Crash]
    """Crashes after the last answer; at least one."""

    answered_at: float | None
    """Loop time of the last complete response to a request with this part; None if not known."""


class Blame(NamedTuple):
    """Parts that together account for crashes; requests that contain all of them are refused."""

    parts: frozenset[int]
    """Fingerprints of the parts. More than one if no crash and no answer tells them apart."""

    last_crash_at: float
    """Loop time of the last of the crashes."""


def part_fingerprint(part_id: str) -> int:
    """Return the fingerprint of a part of prompts; negative, unlike those of requests.

    Args:
        part_id: Id of the part, equal in all requests that share it.
    """
    return -(xxhash.xxh3_64_intdigest(part_id.encode()) >> 1) - 1


def is_part(fingerprint: int) -> bool:
    """Whether a fingerprint is that of a part, not of a request.

    Args:
        fingerprint: The fingerprint.
    """
    return fingerprint < 0


def find_blamed(by_part: Mapping[int, PartCrashes], now: float) -> list[Blame]:
    """Return the parts that crash servers.

    Parts that were never answered are tried first; they are likelier than those that were.

    Args:
        by_part: Crashes and last answers by part.
        now: Loop time.
    """
    servers_by_part = {
        part: frozenset(crash.instance for crash in known.crashes)
        for part, known in by_part.items()
        if len(known.crashes) >= MIN_CRASHED_SERVERS
    }
    blamed = []
    for was_answered in (False, True):
        enough = MIN_CRASHED_AFTER_ANSWER if was_answered else MIN_CRASHED_SERVERS
        candidates = {
            part
            for part in servers_by_part
            if (by_part[part].answered_at is not None) is was_answered
        }
        while True:
            most = max((servers_by_part[part] for part in candidates), key=len, default=frozenset())
            if len(most) < enough:
                break
            parts = frozenset(part for part in candidates if servers_by_part[part] == most)
            crashes = [one for one in by_part[next(iter(parts))].crashes if one.instance in most]
            if _is_conclusive(crashes, was_answered=was_answered, now=now):
                blamed.append(Blame(parts, max(crash.at for crash in crashes)))
            servers_by_part = {part: servers - most for part, servers in servers_by_part.items()}
    return blamed


def _is_conclusive(
    crashes: Iterable[crash_counts.Crash], *, was_answered: bool, now: float
) -> bool:
    """Whether crashes suffice to blame the part that all of them implicate."""
    times = sorted(crash.at for crash in crashes)
    if times[-1] - times[0] < MIN_SPAN_SECONDS:
        return False
    return not was_answered or now >= times[MIN_CRASHED_AFTER_ANSWER - 1] + CONFIRMATION_SECONDS
