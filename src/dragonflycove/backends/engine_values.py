"""What a model engine reports about itself, and its wire forms."""

from __future__ import annotations

from typing import Literal, NamedTuple, TypedDict


class EngineLoad(NamedTuple):
    """Load of an engine as it was at one time."""

    measured_at: float
    """When it was measured, Unix seconds by the engine's clock."""

    start_id: str
    """Identifier of this start of the engine."""

    running: int
    """Streams that have memory and run."""

    waiting: int
    """Streams that wait for memory or for a place."""

    waiting_prefill_tokens: dict[int, int]
    """Prompt tokens of waiting streams still to be read, by priority."""

    running_prefill_tokens: dict[int, int]
    """Prompt tokens of running streams still to be read, by priority."""

    memory_used_tokens: int
    """KV memory held, tokens."""

    memory_tokens: int
    """KV memory in all, tokens."""

    finished_since_start: int
    """Streams finished since this start."""

    models: tuple[str, ...]
    """Names of the models that are loaded."""


class StreamEntry(NamedTuple):
    """One stream that an engine keeps."""

    attempt: str
    """Identifier of the attempt."""

    owner: str
    """`host/incarnation` of the node that owns it."""

    memory_tokens: int
    """KV memory that it holds, tokens."""

    state: str
    """`waiting`, `prefill`, `decode`, `finished` or `imported`."""


class ExportEntry(NamedTuple):
    """One exported KV cache that an engine keeps."""

    export_id: str
    """Identifier of the export."""

    attempt: str
    """Identifier of the attempt that it was made from."""

    owner: str
    """`host/incarnation` of the node that owned the attempt."""

    tokens: int
    """KV memory that it holds, tokens."""


class ReservationEntry(NamedTuple):
    """Memory reserved for one memory group."""

    group: str
    """Identifier of the group."""

    owner: str
    """`host/incarnation` of the node that reserved it."""

    tokens: int
    """Memory reserved, tokens."""

    expires_in_seconds: float
    """Time until the reservation lapses."""


class EngineStreams(NamedTuple):
    """All that holds memory on an engine."""

    start_id: str
    """Identifier of this start of the engine."""

    streams: tuple[StreamEntry, ...]
    """Streams."""

    exports: tuple[ExportEntry, ...]
    """Exports."""

    reservations: tuple[ReservationEntry, ...]
    """Reservations."""


class CacheEvent(NamedTuple):
    """One change of an engine's prefix cache."""

    seq: int
    """Its sequence number; a missing number is a lost event."""

    stored: bool
    """Whether the blocks were stored; otherwise they were evicted."""

    hashes: tuple[int, ...]
    """Hashes of the blocks."""


class CacheEvents(NamedTuple):
    """Changes of an engine's prefix cache in order."""

    first: int
    """Lowest sequence number that the engine still keeps."""

    next_seq: int
    """Sequence number to ask for next."""

    events: tuple[CacheEvent, ...]
    """The changes."""


class Export(NamedTuple):
    """A KV cache made ready for another engine."""

    export_id: str
    """Its identifier."""

    tokens: int
    """Its size, tokens."""


class EngineState(NamedTuple):
    """What an engine is to serve, or serves."""

    fencing: int
    """Fencing number of the order that set it; 0 for none yet."""

    models: tuple[str, ...]
    """Names of the models."""

    adapters: tuple[str, ...]
    """Names of the adapters."""

    versions: dict[str, str]
    """Version of each model or adapter, by name."""

    role: str
    """Role of the engine."""


class WireLoad(TypedDict):
    """Load as an engine sends it."""

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
    """A stream as an engine sends it."""

    attempt: str
    owner: str
    memory_tokens: int
    state: str


class _WireExport(TypedDict):
    """An export as an engine lists it."""

    export_id: str
    attempt: str
    owner: str
    tokens: int


class _WireReservation(TypedDict):
    """A reservation as an engine lists it."""

    group: str
    owner: str
    tokens: int
    expires_in_seconds: float


class WireStreams(TypedDict):
    """Streams, exports and reservations as an engine sends them."""

    start_id: str
    streams: list[_WireStream]
    exports: list[_WireExport]
    reservations: list[_WireReservation]


class _WireCacheEvent(TypedDict):
    """A cache event as an engine sends it."""

    seq: int
    kind: Literal["stored", "evicted"]
    hashes: list[int]


class WireCacheEvents(TypedDict):
    """Cache events as an engine sends them."""

    first: int
    next: int
    events: list[_WireCacheEvent]


class WireExportMade(TypedDict):
    """An engine's answer to an export."""

    export_id: str
    tokens: int


class WireState(TypedDict):
    """The state as an engine sends it."""

    fencing: int
    models: list[str]
    adapters: list[str]
    versions: dict[str, str]
    role: str


def read_load(wire: WireLoad) -> EngineLoad:
    """Convert a load from its wire form."""
    return EngineLoad(**{**wire, "models": tuple(wire["models"])})  # type: ignore[arg-type]


def read_streams(wire: WireStreams) -> EngineStreams:
    """Convert streams, exports and reservations from their wire form."""
    return EngineStreams(
        wire["start_id"],
        tuple(StreamEntry(**entry) for entry in wire["streams"]),
        tuple(ExportEntry(**entry) for entry in wire["exports"]),
        tuple(ReservationEntry(**entry) for entry in wire["reservations"]),
    )


def read_cache_events(wire: WireCacheEvents) -> CacheEvents:
    """Convert cache events from their wire form."""
    events = tuple(
        CacheEvent(event["seq"], event["kind"] == "stored", tuple(event["hashes"]))
        for event in wire["events"]
    )
    return CacheEvents(wire["first"], wire["next"], events)


def read_state(wire: WireState) -> EngineState:
    """Convert a state from its wire form."""
    return EngineState(
        wire["fencing"],
        tuple(wire["models"]),
        tuple(wire["adapters"]),
        wire["versions"],
        wire["role"],
    )
