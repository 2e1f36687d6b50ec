"""Schema of the objects in a configuration text, with defaults and allowed ranges."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][\w.-]*$")]
"""Name of a service, availability zone, backend server, organisation or model."""

Count = Annotated[int, msgspec.Meta(ge=1)]
"""An integer of at least 1."""

Natural = Annotated[int, msgspec.Meta(ge=0)]
"""An integer of at least 0."""


class CallShape(msgspec.Struct, forbid_unknown_fields=True):
    """An entry of `calls`."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
    path: Annotated[str, msgspec.Meta(pattern=r"^/")]
    idempotent: bool


class ServiceShape(msgspec.Struct, forbid_unknown_fields=True):
    """An entry of `services`."""

    kind: Literal["model", "plain"]
    depends_on: list[Name] = []
    models: list[Name] = []
    calls: list[CallShape] = []


class ServerShape(msgspec.Struct, forbid_unknown_fields=True):
    """An entry of `servers`."""

    service: Name
    zone: Name
    address: str
    models: list[Name] = []
    memory_tokens: Natural = 0
    prefill_tokens_per_second: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    concurrency: Count = 8
    cold_concurrency: Count = 1
    warm_after_requests: Natural = 8
    checks_fencing: bool = False
    leaving: bool = False


class OrganisationShape(msgspec.Struct, forbid_unknown_fields=True):
    """An entry of `organisations`."""

    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    tokens_per_second: Annotated[float, msgspec.Meta(ge=0)] = 0.0


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "services": ServiceShape,
    "servers": ServerShape,
    "organisations": OrganisationShape,
}
"""Type of the entries of each section that maps names to entries."""
