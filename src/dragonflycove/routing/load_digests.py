"""What nodes tell each other about the work that they have sent and that waits in them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.routing import load_view

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_SERVERS_LIMIT = 48
"""Most engines in one digest."""

DIGEST_MODELS_LIMIT = 8
"""Most models in one digest."""

PEERS_LIMIT = 512
"""Most peers remembered."""

DIGEST_LIFETIME_SECONDS = 5.0
"""Time after which a digest counts no longer."""


class PendingServerWork(NamedTuple):
    """Work that a node has sent to an engine and that no report has shown to it."""

    server_id: str
    """The engine."""
    prefill_tokens: tuple[int, int]
    """Prompt tokens to read, by priority."""
    memory_tokens: int
    """KV memory that it takes."""
    requests: int
    """Number of requests."""


class ModelLaneLoad(NamedTuple):
    """What waits in a node for one model, and what it has admitted lately."""

    model: str
    """Name of the model."""
    queued_tokens: tuple[int, ...]
    """Tokens that wait, by lane in the order of service."""
    admitted_per_second: tuple[float, ...]
    """Prompt tokens admitted in a second, by lane in the order of service."""


class LoadDigest(NamedTuple):
    """One node's work, as it tells its peers."""

    node: str
    """Name of the node's host."""
    age_seconds: float
    """Time since it was made; 0 as it leaves its node."""
    works: tuple[PendingServerWork, ...]
    """Work sent, the largest of it where there is too much."""
    lanes: tuple[ModelLaneLoad, ...]
    """What waits in the node, by model."""


class _ReceivedDigest(NamedTuple):
    made_at: float
    digest: LoadDigest


class PeerDigests:
    """The last digest of each peer."""

    def __init__(self) -> None:
        """Create a view of no peers."""
        self._received_by_node: dict[str, _ReceivedDigest] = {}

    def on_digest(self, digest: LoadDigest, view: load_view.LoadView, now: float) -> None:
        """Take in a digest; one older than the last changes nothing.

        Args:
            digest: The digest.
            view: The load view to which its work is added.
            now: Time, seconds.
        """
        made_at = now - digest.age_seconds
        previous = self._received_by_node.pop(digest.node, None)
        if previous is not None:
            if previous.made_at > made_at:
                self._received_by_node[digest.node] = previous
                return
            self._remove_peer_work(previous.digest, view)
        while len(self._received_by_node) >= PEERS_LIMIT:
            oldest = self._received_by_node.pop(next(iter(self._received_by_node)))
            self._remove_peer_work(oldest.digest, view)
        self._received_by_node[digest.node] = _ReceivedDigest(made_at, digest)
        for work in digest.works[:DIGEST_SERVERS_LIMIT]:
            load = view.loads_by_id.get(work.server_id)
            if load is not None:
                load.set_peer_work(
                    digest.node,
                    load_view.PendingWork(
                        made_at, "", work.prefill_tokens, work.memory_tokens, work.requests
                    ),
                )

    def expire(self, view: load_view.LoadView, now: float) -> None:
        """Forget digests that are too old.

        Args:
            view: The load view to which their work was added.
            now: Time, seconds.
        """
        for node, received in list(self._received_by_node.items()):
            if received.made_at + DIGEST_LIFETIME_SECONDS < now:
                self._remove_peer_work(received.digest, view)
                del self._received_by_node[node]

    @property
    def count(self) -> int:
        """Number of peers that have been heard lately."""
        return len(self._received_by_node)

    def lanes(self, model: str) -> list[ModelLaneLoad]:
        """Return what waits in the peers for a model.

        Args:
            model: Name of the model.

        Returns:
            One item for each peer that told of the model.
        """
        received = self._received_by_node.values()
        return [item for k in received for item in k.digest.lanes if item.model == model]

    def _remove_peer_work(self, digest: LoadDigest, view: load_view.LoadView) -> None:
        for work in digest.works:
            load = view.loads_by_id.get(work.server_id)
            if load is not None:
                load.set_peer_work(digest.node, None)


def collect_pending_work(
    loads: Iterable[load_view.EngineLoadView],
) -> tuple[PendingServerWork, ...]:
    """Collect the work of this node that no report has shown.

    Args:
        loads: Beliefs about the engines.

    Returns:
        The work, that of the largest sums where there is too much.
    """
    works = []
    for load in loads:
        if not load.pending:
            continue
        by_priority = [sum(w.prefill_tokens[p] for w in load.pending) for p in (0, 1)]
        works.append(
            PendingServerWork(
                load.server.server_id,
                (by_priority[0], by_priority[1]),
                sum(work.memory_tokens for work in load.pending),
                sum(work.requests for work in load.pending),
            )
        )
    works.sort(key=lambda work: sum(work.prefill_tokens), reverse=True)
    return tuple(works[:DIGEST_SERVERS_LIMIT])
