"""Builds each kind of stand-in from its parameters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from dragonflycove.standins import (
    engine_app,
    engine_parameters,
    host_list,
    log_app,
    log_service,
    plain_service,
    weight_store,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.standins import clock, serving

    Builder = Callable[[dict[str, Any], clock.Clock], serving.Standin]


def build_log(parameters: dict[str, Any], now: clock.Clock) -> serving.Standin:
    """Build a stand-in for the log service."""
    checked = msgspec.convert(parameters, log_service.LogParameters)
    return log_app.LogApp(log_service.LogService(checked, now)).standin()


def build_hosts(parameters: dict[str, Any], now: clock.Clock) -> serving.Standin:
    """Build a stand-in for the host list."""
    checked = msgspec.convert(parameters, host_list.HostListParameters)
    return host_list.HostListApp(host_list.HostListService(checked, now)).standin()


def build_weights(parameters: dict[str, Any], now: clock.Clock) -> serving.Standin:
    """Build a stand-in for the weight store."""
    checked = msgspec.convert(parameters, weight_store.WeightStoreParameters)
    return weight_store.WeightStoreApp(weight_store.WeightStore(checked, now)).standin()


def build_engine(parameters: dict[str, Any], now: clock.Clock) -> serving.Standin:
    """Build a stand-in for a model engine."""
    checked = msgspec.convert(parameters, engine_parameters.EngineParameters)
    return engine_app.EngineApp(checked, now).standin()


def build_plain(parameters: dict[str, Any], now: clock.Clock) -> serving.Standin:
    """Build a stand-in for a plain service."""
    checked = msgspec.convert(parameters, plain_service.PlainParameters)
    return plain_service.PlainApp(plain_service.PlainService(checked, now)).standin()


BUILDERS_BY_KIND: dict[str, Builder] = {
    "log": build_log,
    "hosts": build_hosts,
    "weights": build_weights,
    "engine": build_engine,
    "plain": build_plain,
}
"""Builders by kind of stand-in; each raises `msgspec.ValidationError` for invalid parameters."""
