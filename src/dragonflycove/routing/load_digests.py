"""Load digests: what nodes send each other about their dispatched and queued work."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.routing import load_view

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_SERVERS_LIMIT = 48
"""Maximum number of engines with pending work in one digest."""

DIGEST_MODELS_LIMIT = 8
"""Maximum number of models in one digest."""

PEERS_LIMIT = 512
"""Maximum number of peers whose digests are kept; the least recently updated is dropped first."""

DIGEST_LIFETIME_SECONDS = 5.0
"""Age above which a peer's digest is dropped."""


class PendingServerWork(NamedTuple):
    """Work that a node has dispatched to an engine and that no load report includes yet."""

    server_id: str
    """Identifier of the engine."""
    prefill_tokens: tuple[int, int]
    """Prompt tokens to prefill, by priority."""
    memory_tokens: int
    """KV cache that the requests take, tokens."""
    requests: int
    """Number of requests."""


class ModelLaneLoad(NamedTuple):
    """A node's queued tokens and recent admission rates of one model, by lane."""

    model: str
    """Name of the model."""
    queued_tokens: tuple[int, ...]
    """KV cache tokens of queued requests, by lane in the order of service."""
    admitted_per_second: tuple[float, ...]
    """Prompt tokens admitted per second, by lane in the order of service."""


class LoadDigest(NamedTuple):
    """One node's pending and queued work, sent to its peers."""

    host: str
    """Name of the node's host."""
    age_seconds: float
    """Time since the digest was made; 0 when its node sends it."""
    pending_work: tuple[PendingServerWork, ...]
    """Pending work, engines with the most prompt tokens first; at most `DIGEST_SERVERS_LIMIT`."""
    lane_loads: tuple[ModelLaneLoad, ...]
    """Queued work by model; at most `DIGEST_MODELS_LIMIT` items."""


class _ReceivedDigest(NamedTuple):
    """A peer's digest and the loop time at which the peer made it, seconds."""

    made_at: float
    digest: LoadDigest


class PeerDigests:
    """The newest digest of each peer; adds its pending work to a load view."""

    def __init__(self) -> None:
        """Create a collection without digests."""
        self._received_by_host: dict[str, _ReceivedDigest] = {}

    def on_digest(self, digest: LoadDigest, view: load_view.LoadView, now: float) -> None:
        """Replace a peer's digest and its pending work; an older digest changes nothing.

        Args:
            digest: The digest.
            view: The load view that its pending work is added to.
            now: Loop time, seconds.
        """
        made_at = now - digest.age_seconds
        previous = self._received_by_host.pop(digest.host, None)
        if previous is not None:
            if previous.made_at > made_at:
                self._received_by_host[digest.host] = previous
                return
            self._remove_peer_work(previous.digest, view)
        while len(self._received_by_host) >= PEERS_LIMIT:
            oldest = self._received_by_host.pop(next(iter(self._received_by_host)))
            self._remove_peer_work(oldest.digest, view)
        self._received_by_host[digest.host] = _ReceivedDigest(made_at, digest)
        for work in digest.pending_work[:DIGEST_SERVERS_LIMIT]:
            load = view.loads_by_id.get(work.server_id)
            if load is not None:
                load.set_peer_work(
                    digest.host,
                    load_view.PendingWork(
                        made_at, "", work.prefill_tokens, work.memory_tokens, work.requests
                    ),
                )

    def expire(self, view: load_view.LoadView, now: float) -> None:
        """Drop digests older than `DIGEST_LIFETIME_SECONDS` and their pending work.

        Args:
            view: The load view that their pending work was added to.
            now: Loop time, seconds.
        """
        for host, received in list(self._received_by_host.items()):
            if received.made_at + DIGEST_LIFETIME_SECONDS < now:
                self._remove_peer_work(received.digest, view)
                del self._received_by_host[host]

    @property
    def count(self) -> int:
        """Number of peers with a recent digest."""
        return len(self._received_by_host)

    def lane_loads(self, model: str) -> list[ModelLaneLoad]:
        """Return the peers' lane loads of a model.

        Args:
            model: Name of the model.

        Returns:
            One item for each peer whose digest includes the model.
        """
        received = self._received_by_host.values()
        return [
            item for entry in received for item in entry.digest.lane_loads if item.model == model
        ]

    def _remove_peer_work(self, digest: LoadDigest, view: load_view.LoadView) -> None:
        """Remove the pending work of a peer's digest from a load view."""
        for work in digest.pending_work:
            load = view.loads_by_id.get(work.server_id)
            if load is not None:
                load.set_peer_work(digest.host, None)


def collect_pending_work(
    loads: Iterable[load_view.EngineLoadView],
) -> tuple[PendingServerWork, ...]:
    """Collect this node's work that no load report includes yet, for its digest.

    Args:
        loads: Load views of the engines.

    Returns:
        Work by engine, the most prompt tokens first; at most `DIGEST_SERVERS_LIMIT` items.
    """
    pending_work = []
    for load in loads:
        if not load.pending:
            continue
        by_priority = [sum(w.prefill_tokens[p] for w in load.pending) for p in (0, 1)]
        pending_work.append(
            PendingServerWork(
                load.server.server_id,
                (by_priority[0], by_priority[1]),
                sum(work.memory_tokens for work in load.pending),
                sum(work.requests for work in load.pending),
            )
        )
    pending_work.sort(key=lambda work: sum(work.prefill_tokens), reverse=True)
    return tuple(pending_work[:DIGEST_SERVERS_LIMIT])
