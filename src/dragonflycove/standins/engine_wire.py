"""JSON bodies of the model engine's HTTP interface."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

from dragonflycove.standins import engine_memory, engine_streams
from dragonflycove.values import requests as request_values


class CompletionBody(TypedDict):
    """Body of a completion request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    priority: int
    group: NotRequired[list[str]]


class ReservationBody(TypedDict):
    """Body of a request to reserve memory for a group."""

    tokens: int
    owner: str
    expires_in_seconds: float


class ImportBody(TypedDict):
    """Body of a request to import a stream from another engine."""

    source: str
    export_id: str
    attempt: str


class StateBody(TypedDict):
    """Body of a request to set the engine's desired state."""

    fencing: int
    models: list[str]
    adapters: list[str]
    versions: dict[str, str]
    role: str


class ExportedCache(TypedDict):
    """Body of a response that transfers an exported KV cache to another engine."""

    submission: dict[str, Any]
    owner: str
    prefill_remaining: float
    emitted: int


def parse_completion(
    body: CompletionBody, attempt: str, owner: str, crash_marker: str
) -> engine_streams.Submission:
    """Convert the body of a completion request.

    Args:
        body: The decoded body.
        attempt: Identifier of the attempt.
        owner: `host/incarnation` of the node that sent it.
        crash_marker: Text that makes a prompt crash the engine.

    Returns:
        The submission.
    """
    prompt = body["prompt"]
    return engine_streams.Submission(
        attempt,
        owner,
        body["model"],
        request_values.count_tokens(prompt),
        request_values.hash_prefix(prompt),
        body["max_tokens"],
        body["priority"],
        tuple(body.get("group", ())),
        crash_marker in prompt,
    )


def encode_export(item: engine_memory.Export) -> ExportedCache:
    """Convert an export to the body that transfers it."""
    return ExportedCache(
        submission=item.submission._asdict(),
        owner=item.owner,
        prefill_remaining=item.prefill_remaining,
        emitted=item.emitted,
    )


def parse_export(export_id: str, body: ExportedCache) -> engine_memory.Export:
    """Convert the body that transfers an export; the result has no expiry time."""
    fields = body["submission"]
    hashes = tuple(fields.pop("prefix_hashes"))
    group = tuple(fields.pop("group"))
    submission = engine_streams.Submission(**fields, prefix_hashes=hashes, group=group)
    return engine_memory.Export(
        export_id,
        submission,
        body["owner"],
        body["prefill_remaining"],
        body["emitted"],
        float("inf"),
    )
