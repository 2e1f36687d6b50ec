"""Builds the values that the tests of `fleet` and `gateway` share."""

from __future__ import annotations

from dragonflycove.fleet import catalog, store_view, work

ENGINE = catalog.EngineSpec(
    slots=8,
    kv_cache_tokens=232_000,
    step_seconds=0.00102,
    step_seconds_per_sequence=0.0000045,
    step_seconds_per_context_token=0.00431e-6,
    prefill_tokens_per_second=206_000.0,
    attention_seconds_per_token_pair=0.138e-9,
    steps_per_pass=43,
)
"""An engine as the users' sheets describe it."""


def server(
    server_id: str,
    *,
    started_at_ms: int = 1,
    service: str = "svc",
    zone: str = "z1",
    port: int = 8_000,
    slots: int = 8,
) -> catalog.BackendServer:
    """Return a ready server."""
    return catalog.BackendServer(
        instance=catalog.Instance(server_id, started_at_ms),
        service=service,
        address=catalog.Address("127.0.0.1", port),
        zone=zone,
        slots=slots,
        state=catalog.ServerState.READY,
        cold_seconds=0.0,
    )


def route(
    kind: catalog.CallKind = catalog.CallKind.STREAMING,
    *,
    prefix: str = "/p/",
    service: str = "svc",
    attempts: int = 2,
    timeout: float = 10.0,
    goal: float = 0.3,
    gap: float = 0.25,
) -> catalog.Route:
    """Return a route of one service."""
    return catalog.Route(
        name=f"r{prefix}",
        host="h.example",
        path_prefix=prefix,
        kind=kind,
        timeout_seconds=timeout,
        latency_target_seconds=goal,
        gap_target_seconds=gap if kind is catalog.CallKind.STREAMING else 0.0,
        priority=1,
        weights_by_service=((service, 1),),
        max_attempts=attempts,
        is_public=False,
        is_resumable=kind is catalog.CallKind.STREAMING,
    )


def configuration(
    *routes: catalog.Route, version: int = 1, engine: catalog.EngineSpec | None = ENGINE
) -> catalog.Configuration:
    """Return a configuration with one model service and one plain service."""
    listed = routes or (route(),)
    return catalog.Configuration(
        version=version,
        route_by_host_prefix={(one.host, one.path_prefix): one for one in listed},
        service_by_name={
            "svc": catalog.Service("svc", "/healthz", 100, 3.0, 28.0, engine),
            "plain": catalog.Service("plain", "/healthz", 100, 0.0, 0.0, None),
        },
        organisation_by_key={"k1": catalog.Organisation("org", None)},
        needs_keys=True,
        limits=catalog.CallerLimits(),
    )


def belief(*servers: catalog.BackendServer) -> store_view.StoreView:
    """Return a belief of a configuration and servers, fresh at time 0."""
    known = store_view.StoreView()
    known.apply_configuration(configuration(), 0)
    known.on_synced(0.0, 0.0)
    for offset, one in enumerate(servers):
        known.apply_server(one.instance.server_id, one, offset, 0.0)
    return known


def engines(count: int) -> list[catalog.BackendServer]:
    """Return engines in three availability zones."""
    return [server(f"e{number}", zone=f"z{number % 3}") for number in range(count)]


def job(
    number: int,
    *,
    tokens: int = 5_000,
    output: int = 1_300,
    goal: float = 0.3,
    gap: float = 0.25,
    deadline: float = 10.0,
    service: str = "svc",
    excluded: tuple[str, ...] = (),
    host: str = "n1",
    priority: int = 1,
    patience: float | None = None,
    has_started: bool = False,
) -> work.Job:
    """Return a request to place."""
    return work.Job(
        key=work.JobKey(host, 1, number),
        service=service,
        organisation="org",
        priority=priority,
        prompt_tokens=tokens,
        output_tokens=output,
        latency_target_seconds=goal,
        gap_target_seconds=gap,
        deadline_seconds=deadline,
        zone="z1",
        excluded=excluded,
        fingerprint=number,
        next_event_deadline_seconds=deadline if patience is None else patience,
        has_started=has_started,
    )
