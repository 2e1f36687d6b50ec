"""Parameters and fault switches of the stand-in model engine."""

from __future__ import annotations

import msgspec

from dragonflycove.standins import faults


class EngineParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of a model engine."""

    models: list[str] = []
    """Models that are loaded at start."""

    memory_tokens: int = 400_000
    """Size of the KV cache memory, tokens."""

    prefill_tokens_per_second: float = 40_000.0
    """Prefill rate of a warm engine."""

    step_seconds: float = 0.02
    """Duration of one batch step, in which each decoding stream gets one token."""

    concurrency: int = 32
    """Maximum number of running streams."""

    max_waiting: int = 256
    """Maximum number of waiting streams; a prompt beyond it is rejected with 429."""

    starts_cold: bool = True
    """Whether the engine is cold at start."""

    cold_concurrency: int = 2
    """Maximum number of streams of a cold engine; one more crashes it."""

    cold_speed: float = 0.25
    """Prefill rate of a cold engine as a fraction of the warm rate."""

    warm_after_requests: int = 8
    """Number of streams that a cold engine has to finish to become warm."""

    restart_seconds: float = 3.0
    """Time from a crash until the engine accepts connections again, cold."""

    keep_seconds: float = 15.0
    """How long a finished stream can be resumed and, while undelivered, keeps its KV cache."""

    export_keep_seconds: float = 60.0
    """Time after which an export that was not dropped expires."""

    import_tokens_per_second: float = 2_000_000.0
    """Transfer rate of a KV cache that is imported from another engine."""

    load_lag_seconds: float = 0.5
    """Age of the reported load."""

    heartbeat_seconds: float = 1.0
    """Time without a token after which a stream sends a heartbeat."""

    cache_tokens: int = 200_000
    """Maximum size of the prefix cache, tokens."""

    cache_event_lag_seconds: float = 0.5
    """Minimum age of a cache event before readers get it."""

    cache_event_loss: float = 0.05
    """Probability that a cache event is lost."""

    cache_events_kept: int = 1_000
    """Number of cache events retained."""

    checks_fencing: bool = True
    """Whether a state change with an outdated fencing token is rejected."""

    crash_marker: str = "CRASH-ENGINE"
    """A prompt that contains this crashes the engine."""

    weight_store: str = ""
    """Address of the weight store; if empty, loading takes no time."""

    load_seconds_per_unit: float = 0.5
    """Time to load one unit of weights, as the weight store counts units."""

    seed: int = 0
    """Seed of the engine's ids and of its lost cache events."""


class EngineSwitches(faults.Switches, kw_only=True):
    """Faults of a model engine; `..._every` is an interval in frames of one connection, 0 for never."""

    crash: bool = False
    """Crash the engine when the switch is set."""

    turn_cold: bool = False
    """Turn the engine cold when the switch is set, without any sign of it in its reports."""

    duplicate_every: int = 0
    """Send every n-th frame twice."""

    swap_every: int = 0
    """Send every n-th frame after its successor."""

    cross_every: int = 0
    """Send a frame with another attempt's id before every n-th frame."""

    drop_every: int = 0
    """Omit every n-th frame."""
