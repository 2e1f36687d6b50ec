"""Registry of the messages that peering and membership define."""

from __future__ import annotations

from dragonflycove.membership import digests
from dragonflycove.peering import messages, relaying, snapshots


def new_registry() -> messages.Registry:
    """Return a new registry with the messages of peering and membership.

    Other components add theirs with `registry.register(name, version, message_type)`.
    """
    registry = messages.Registry()
    registry.register("probe", 1, digests.Probe)
    registry.register("probe_answered", 1, digests.ProbeAnswered)
    registry.register("probe_requested", 1, digests.ProbeRequested)
    registry.register("snapshot_requested", 1, snapshots.SnapshotRequested)
    registry.register("snapshot_part", 1, snapshots.SnapshotPart)
    registry.register("relayed", 1, relaying.Relayed)
    return registry
