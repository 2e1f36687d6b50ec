"""Parameters and fault switches of the model engine's stand-in."""

from __future__ import annotations

import msgspec

from dragonflycove.standins import faults


class EngineParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of a model engine."""

    models: list[str] = []
    """Models that are loaded at the start."""

    memory_tokens: int = 400_000
    """KV memory, tokens."""

    prefill_tokens_per_second: float = 40_000.0
    """Prompt tokens that it reads in a second when warm."""

    step_seconds: float = 0.02
    """Time of one batch step, in which each decoding stream gets one token."""

    concurrency: int = 32
    """Streams that run at once."""

    max_waiting: int = 256
    """Streams that wait at most; more are refused."""

    starts_cold: bool = True
    """Whether it is cold at the start."""

    cold_concurrency: int = 2
    """Streams that it bears at once when cold; one more and it crashes."""

    cold_speed: float = 0.25
    """Share of the prefill rate that it reaches when cold."""

    warm_after_requests: int = 8
    """Streams finished since it turned cold after which it is warm."""

    restart_seconds: float = 3.0
    """Time from a crash until it answers again, cold."""

    keep_seconds: float = 15.0
    """How long an ended stream can be resumed and keeps undelivered KV memory."""

    export_keep_seconds: float = 60.0
    """How long an export is kept."""

    import_tokens_per_second: float = 2_000_000.0
    """Rate at which KV cache comes in from another engine."""

    load_lag_seconds: float = 0.5
    """Age of the load that it reports."""

    heartbeat_seconds: float = 1.0
    """Time without a token after which a stream gets a heartbeat."""

    cache_tokens: int = 200_000
    """Most tokens in the prefix cache."""

    cache_event_lag_seconds: float = 0.5
    """Age of the cache events that it shows."""

    cache_event_loss: float = 0.05
    """Share of the cache events that are lost."""

    cache_events_kept: int = 1_000
    """Cache events that it keeps."""

    checks_fencing: bool = True
    """Whether it refuses an order with an old fencing number."""

    crash_marker: str = "CRASH-ENGINE"
    """A prompt that contains this crashes the engine."""

    weight_store: str = ""
    """Address of the weight store; empty where loading takes no time."""

    load_seconds_per_unit: float = 0.5
    """Time to load one unit of weights."""

    seed: int = 0
    """Seed of its random numbers."""


class EngineSwitches(faults.Switches, kw_only=True):
    """Faults of a model engine; `every` counts the frames of one connection, 0 for never."""

    crash: bool = False
    """The engine crashes now."""

    turn_cold: bool = False
    """The engine turns cold now and tells nobody."""

    duplicate_every: int = 0
    """Every so many frames, one is sent twice."""

    swap_every: int = 0
    """Every so many frames, one is sent after its successor."""

    cross_every: int = 0
    """Every so many frames, one of another attempt is sent before it."""

    drop_every: int = 0
    """Every so many frames, one is left out."""
