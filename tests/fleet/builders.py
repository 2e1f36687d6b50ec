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
"""An engine with the speed and capacity that the platform's specification states."""


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
    latency_target: float = 0.3,
    gap_target: float = 0.25,
) -> catalog.Route:
    """Return a route of one service."""
    return catalog.Route(
        name=f"r{prefix}",
        host="h.example",
        path_prefix=prefix,
        kind=kind,
        timeout_seconds=timeout,
        latency_target_seconds=latency_target,
        gap_target_seconds=gap_target if kind is catalog.CallKind.STREAMING else 0.0,
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


def view(*servers: catalog.BackendServer) -> store_view.StoreView:
    """Return a view with a configuration and servers, current at time 0."""
    view = store_view.StoreView()
    view.apply_configuration(configuration(), 0)
    view.on_synced(0.0, 0.0)
    for offset, one in enumerate(servers):
        view.apply_server(one.instance.server_id, one, offset, 0.0)
    return view


def engines(count: int) -> list[catalog.BackendServer]:
    """Return engines in three availability zones."""
    return [server(f"e{number}", zone=f"z{number % 3}") for number in range(count)]


def job(
    number: int,
    *,
    tokens: int = 5_000,
    output: int = 1_300,
    latency_target: float = 0.3,
    gap_target: float = 0.25,
    deadline: float = 10.0,
    service: str = "svc",
    excluded: tuple[str, ...] = (),
    host: str = "n1",
    priority: int = 1,
    next_event_deadline: float | None = None,
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
        latency_target_seconds=latency_target,
        gap_target_seconds=gap_target,
        deadline_seconds=deadline,
        zone="z1",
        excluded=excluded,
        fingerprint=number,
        next_event_deadline_seconds=(
            deadline if next_event_deadline is None else next_event_deadline
        ),
        has_started=has_started,
    )
