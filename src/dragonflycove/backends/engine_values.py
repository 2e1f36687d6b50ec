"""Reports of a model engine, and the JSON objects that carry them."""

from __future__ import annotations

from typing import Literal, NamedTuple, TypedDict


class EngineLoad(NamedTuple):
    """Load of an engine at one point in time."""

    measured_at: float
    """Time of measurement, Unix seconds by the engine's clock."""

    start_id: str
    """Identifier of the engine process; changes with each start."""

    running: int
    """Number of streams that hold KV cache memory and run."""

    waiting: int
    """Number of streams that wait for memory or a free slot."""

    waiting_prefill_tokens: dict[int, int]
    """Prompt tokens still to prefill for waiting streams, by priority."""

    running_prefill_tokens: dict[int, int]
    """Prompt tokens still to prefill for running streams, by priority."""

    memory_used_tokens: int
    """KV cache memory in use, tokens."""

    memory_tokens: int
    """KV cache capacity, tokens."""

    finished_since_start: int
    """Number of streams finished since the engine started."""

    models: tuple[str, ...]
    """Names of the loaded models."""


class StreamEntry(NamedTuple):
    """A stream in an engine's list."""

    attempt: str
    """Identifier of the attempt."""

    owner: str
    """`host/incarnation` of the node that owns it."""

    memory_tokens: int
    """KV cache memory that it holds, tokens."""

    state: str
    """`waiting`, `prefill`, `decode`, `finished` or `imported`."""


class ExportEntry(NamedTuple):
    """An exported KV cache in an engine's list."""

    export_id: str
    """Identifier of the export."""

    attempt: str
    """Identifier of the exported attempt."""

    owner: str
    """`host/incarnation` of the node that owned the attempt."""

    tokens: int
    """KV cache memory that it holds, tokens."""


class ReservationEntry(NamedTuple):
    """KV cache memory reserved for a memory group."""

    group: str
    """Identifier of the group."""

    owner: str
    """`host/incarnation` of the node that reserved it."""

    tokens: int
    """Reserved KV cache memory, tokens."""

    expires_in_seconds: float
    """Time until the reservation expires."""


class EngineStreams(NamedTuple):
    """All holders of KV cache memory on an engine."""

    start_id: str
    """Identifier of the engine process; changes with each start."""

    streams: tuple[StreamEntry, ...]
    """Streams in any state."""

    exports: tuple[ExportEntry, ...]
    """Exports that are not deleted."""

    reservations: tuple[ReservationEntry, ...]
    """Reservations of memory groups."""


class CacheEvent(NamedTuple):
    """Blocks stored in or evicted from an engine's prefix cache."""

    seq: int
    """Sequence number; a gap in the numbers means lost events."""

    stored: bool
    """`True` if the blocks were stored, `False` if they were evicted."""

    hashes: tuple[int, ...]
    """Hashes of the blocks."""


class CacheEvents(NamedTuple):
    """A page of prefix cache events in order."""

    first: int
    """Lowest sequence number that the engine still keeps."""

    next_seq: int
    """Sequence number of the first event of the next page."""

    events: tuple[CacheEvent, ...]
    """The events in order of their sequence numbers."""


class Export(NamedTuple):
    """A KV cache exported for import by another engine."""

    export_id: str
    """Identifier of the export."""

    tokens: int
    """Size, tokens."""


class EngineState(NamedTuple):
    """Models, adapters and role that an engine serves or is ordered to serve."""

    fencing: int
    """Fencing token of the order that set the state; 0 if none was set yet."""

    models: tuple[str, ...]
    """Names of the models to serve."""

    adapters: tuple[str, ...]
    """Names of the adapters to serve."""

    versions: dict[str, str]
    """Version by name of model or adapter."""

    role: str
    """Name of the engine's role."""


class WireLoad(TypedDict):
    """JSON object of `EngineLoad`."""

    measured_at: float
    start_id: str
    running: int
    waiting: int
    waiting_prefill_tokens: dict[int, int]
    running_prefill_tokens: dict[int, int]
    memory_used_tokens: int
    memory_tokens: int
    finished_since_start: int
    models: list[str]


class _WireStream(TypedDict):
    """JSON object of `StreamEntry`."""

    attempt: str
    owner: str
    memory_tokens: int
    state: str


class _WireExport(TypedDict):
    """JSON object of `ExportEntry`."""

    export_id: str
    attempt: str
    owner: str
    tokens: int


class _WireReservation(TypedDict):
    """JSON object of `ReservationEntry`."""

    group: str
    owner: str
    tokens: int
    expires_in_seconds: float


class WireStreams(TypedDict):
    """JSON object of `EngineStreams`."""

    start_id: str
    streams: list[_WireStream]
    exports: list[_WireExport]
    reservations: list[_WireReservation]


class _WireCacheEvent(TypedDict):
    """JSON object of `CacheEvent`."""

    seq: int
    kind: Literal["stored", "evicted"]
    hashes: list[int]


class WireCacheEvents(TypedDict):
    """JSON object of `CacheEvents`."""

    first: int
    next: int
    events: list[_WireCacheEvent]


class WireExportMade(TypedDict):
    """JSON body of the response to an export request."""

    export_id: str
    tokens: int


class WireState(TypedDict):
    """JSON object of `EngineState`."""

    fencing: int
    models: list[str]
    adapters: list[str]
    versions: dict[str, str]
    role: str


def parse_load(wire: WireLoad) -> EngineLoad:
    """Convert a decoded load report."""
    return EngineLoad(**{**wire, "models": tuple(wire["models"])})  # type: ignore[arg-type]


def parse_streams(wire: WireStreams) -> EngineStreams:
    """Convert the decoded lists of memory holders."""
    return EngineStreams(
        wire["start_id"],
        tuple(StreamEntry(**entry) for entry in wire["streams"]),
        tuple(ExportEntry(**entry) for entry in wire["exports"]),
        tuple(ReservationEntry(**entry) for entry in wire["reservations"]),
    )


def parse_cache_events(wire: WireCacheEvents) -> CacheEvents:
    """Convert a decoded page of prefix cache events."""
    events = tuple(
        CacheEvent(event["seq"], event["kind"] == "stored", tuple(event["hashes"]))
        for event in wire["events"]
    )
    return CacheEvents(wire["first"], wire["next"], events)


def parse_state(wire: WireState) -> EngineState:
    """Convert a decoded engine state."""
    return EngineState(
        wire["fencing"],
        tuple(wire["models"]),
        tuple(wire["adapters"]),
        wire["versions"],
        wire["role"],
    )
