"""Admits requests: route, organisation, service and deadline by the configuration in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import result
import xxhash

from dragonflycove.fleet import catalog, forwarding, relaying
from dragonflycove.gateway import denials, request_context, stop_limits
from dragonflycove.quarantine import part_blame
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dragonflycove.fleet import host_settings, store_view

DEFAULT_DEADLINE_SECONDS = 10.0
"""Deadline of a request that has no deadline header."""

FINAL_RESPONSE_MARGIN_SECONDS = 0.05
"""Time before the route's timeout at which the final response is written."""

RETRY_AFTER_SECONDS = 0.1
"""Retry-after of a refusal that concerns this node alone."""


UNCONFIGURED = forwarding.FinalResponse(503, "no_configuration", 0.5)
"""Refusal before the first configuration."""


OUTDATED = forwarding.FinalResponse(503, "configuration_outdated", RETRY_AFTER_SECONDS)
"""Refusal of what a newer configuration may allow."""

CHANGE_SLACK_SHARE = 0.5
"""Share of `Bounds.rollback_slack_seconds` by which a request may have been sent before its head was
read; the rest is for the way of the caller's next requests."""


class _Admitted(NamedTuple):
    """What a configuration says of a request that it allows."""

    route: catalog.Route
    organisation: catalog.Organisation | None


def _check(
    request: forwarding.CallerRequest, configuration: catalog.Configuration
) -> _Admitted | denials.Check:
    """Return a request's route and organisation, or what a configuration finds wrong with it."""
    route = configuration.find_route(request.host, request.path)
    if route is None:
        return denials.Check.ROUTE
    organisation = configuration.organisation_by_key.get(request.key or "")
    if organisation is None and configuration.needs_keys and not route.is_public:
        return denials.Check.KEY
    return _Admitted(route, organisation)


class RequestAdmission:
    """Resolves requests by this node's configuration, or refuses them."""

    def __init__(
        self,
        view: store_view.StoreView,
        rng: random.Random,
        configuration_age: Callable[[], float],
        bounds: Callable[[], host_settings.Bounds],
    ) -> None:
        """Create an admission.

        Args:
            view: Configuration as this node knows it.
            rng: Chooses among weighted services.
            configuration_age: Returns the time, seconds, for which newer versions may exist that
                this node doesn't know.
            bounds: Returns the bounds of the deployment.
        """
        self._configuration_age = configuration_age
        self._bounds = bounds
        self._store_view = view
        self._rng = rng
        self._organisations = (-1, dict[str, catalog.Organisation]())
        self.stop_limits = stop_limits.StopLimits()
        """Which requests this node accepts while it is stopping."""

    def admit(
        self, request: forwarding.CallerRequest
    ) -> result.Result[request_context.RequestContext, forwarding.FinalResponse]:
        """Resolve a request's route, organisation, service and deadline, or refuse it.

        A request that was on its way when a configuration came in force is denied only if it is
        wrong by the one before as well.

        Args:
            request: The request.
        """
        slack_seconds = CHANGE_SLACK_SHARE * self._bounds().rollback_slack_seconds
        candidates = self._store_view.configurations_since(request.arrived_at - slack_seconds)
        if not candidates:
            return result.Err(UNCONFIGURED)
        verdicts = [_check(request, configuration) for configuration in candidates]
        for configuration, verdict in zip(candidates, verdicts, strict=True):
            if isinstance(verdict, _Admitted):
                return self._build_context(
                    request,
                    configuration,
                    verdict.route,
                    self._choose_service(verdict.route),
                    verdict.organisation,
                    None,
                )
        newest = verdicts[0]
        assert isinstance(newest, denials.Check)
        return self._deny(request, newest, candidates[0].version)

    def _choose_service(self, route: catalog.Route) -> str:
        """Choose among the services that a route's requests are distributed to."""
        services = [name for name, _ in route.weights_by_service]
        weights = [weight for _, weight in route.weights_by_service]
        return self._rng.choices(services, weights)[0] if sum(weights) else services[0]

    @property
    def may_deny(self) -> bool:
        """Whether the configuration in force is known to be the newest that has had time to apply."""
        return (
            self._configuration_age() <= self._bounds().config_apply_seconds
            and not self._store_view.has_unreadable_configuration
        )

    def _deny(
        self, request: forwarding.CallerRequest, check: denials.Check, version: int
    ) -> result.Err[forwarding.FinalResponse]:
        """Turn a request away that doesn't fit the configuration in force.

        A configuration that may be outdated proves nothing against a request.
        """
        if not self.may_deny:
            return result.Err(OUTDATED)
        age_seconds = self._configuration_age()
        is_route = check is denials.Check.ROUTE
        final = (
            forwarding.FinalResponse(404, "no_route", None)
            if is_route
            else forwarding.FinalResponse(401, "unknown_key", None)
        )
        denials.log_by_configuration(
            request.attempt_id,
            final.status,
            check,
            version,
            age_seconds,
            request.host if is_route else request.key or "",
        )
        return result.Err(final)

    def admit_relayed(
        self, request: forwarding.CallerRequest, relayed: relaying.RelayedRequest
    ) -> result.Result[request_context.RequestContext, forwarding.FinalResponse]:
        """Resolve the route of a request that another node has accepted, or refuse it.

        It is refused by an older configuration, and where this node's configuration would not lead
        to the same service for the same organisation.

        Args:
            request: The request, without the caller's key.
            relayed: What the other node tells of it.
        """
        configuration = self._store_view.configuration
        differs = forwarding.FinalResponse(503, relaying.CONFIGURATION_DIFFERS, RETRY_AFTER_SECONDS)
        if configuration is None or configuration.version < relayed.configuration_version:
            return result.Err(differs)
        route = configuration.find_route(request.host, request.path)
        if route is None or relayed.service not in dict(route.weights_by_service):
            return result.Err(differs)
        organisation = self._find_organisation(configuration, relayed.organisation)
        has_unknown_organisation = organisation is None and relayed.organisation is not None
        needs_key = configuration.needs_keys and not route.is_public
        if has_unknown_organisation or (needs_key and organisation is None):
            return result.Err(differs)
        return self._build_context(
            request, configuration, route, relayed.service, organisation, relayed
        )

    def _find_organisation(
        self, configuration: catalog.Configuration, name: str | None
    ) -> catalog.Organisation | None:
        """Return an organisation by its name; None if there is none."""
        if self._organisations[0] != configuration.version:
            by_name = {one.name: one for one in configuration.organisation_by_key.values()}
            self._organisations = (configuration.version, by_name)
        return None if name is None else self._organisations[1].get(name)

    def _build_context(
        self,
        request: forwarding.CallerRequest,
        configuration: catalog.Configuration,
        route: catalog.Route,
        service: str,
        organisation: catalog.Organisation | None,
        relayed: relaying.RelayedRequest | None,
    ) -> result.Result[request_context.RequestContext, forwarding.FinalResponse]:
        """Determine a request's deadline and fingerprints; refuse late ones while stopping."""
        now = asyncio.get_running_loop().time()
        requested_seconds = request.deadline_seconds
        deadline = DEFAULT_DEADLINE_SECONDS if requested_seconds is None else requested_seconds
        seconds = min(deadline, route.timeout_seconds - FINAL_RESPONSE_MARGIN_SECONDS)
        if not self.stop_limits.is_accepted(route, request, seconds, now):
            return result.Err(forwarding.FinalResponse(503, relaying.STOPPING, RETRY_AFTER_SECONDS))
        name = organisation.name if organisation else ""
        context = request_context.RequestContext(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            received_at=now - (relayed.waited_seconds if relayed else 0.0),
            deadline_at=now + seconds,
            fingerprint=request.content_hash ^ hash_text(name),
            part_fingerprints=tuple(map(part_blame.part_fingerprint, request.shared_parts)),
            relayed=relayed,
        )
        logs.event(
            "received",
            request=request.attempt_id,
            route=route.name,
            kind=route.kind.value,
            service=service,
            organisation=name,
            tokens=request.prompt_tokens,
            resumes_after=_resumption_text(request),
            deadline=seconds,
            version=configuration.version,
            fingerprint=context.fingerprint_text,
            parts=context.parts_text,
            relayed_by=relayed.host if relayed else "",
        )
        return result.Ok(context)


def _resumption_text(request: forwarding.CallerRequest) -> str | None:
    """Return the beginning of the event id that a request resumes after; None for a new request."""
    event_id = request.last_event_id
    return None if event_id is None else event_id[: logs.MAX_VALUE_BYTES].decode("latin-1")


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text that is equal in all processes.

    Args:
        text: The text.
    """
    return xxhash.xxh3_64_intdigest(text.encode())
