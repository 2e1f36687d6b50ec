"""Parses and validates callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import result
import xxhash

from dragonflycove.configuration import schema
from dragonflycove.values import outcomes, requests

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_DEADLINE_SECONDS = 3600.0
"""Maximum value of `X-Deadline-Seconds`."""

DEFAULT_MAX_TOKENS = 256
"""Output token limit of a request that gives no limit."""

MAX_OUTPUT_TOKENS = 32_768
"""Maximum output token limit that a caller may request."""


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    """Role of the speaker, such as `user`; any text is accepted."""

    content: str
    """Text of the message."""


class CompletionBody(msgspec.Struct):
    """JSON body of a model call; unknown fields are ignored."""

    model: str
    """Name of the requested model."""

    prompt: str | None = None
    """Prompt of `/v1/completions`."""

    messages: list[Message] | None = None
    """Messages of `/v1/chat/completions`."""

    max_tokens: int | None = None
    """Output token limit."""

    max_completion_tokens: int | None = None
    """Newer name of `max_tokens`, which it overrides."""

    stream: bool = False
    """Whether to stream tokens as they are generated."""


class ModelCall(NamedTuple):
    """A validated model call."""

    request: requests.ModelRequest
    """The request to admit and place."""

    prompt: str
    """Prompt text; a chat is joined into one text."""

    stream: bool
    """Whether to stream tokens as they are generated."""


class CallHeaders(NamedTuple):
    """Values from the headers of a call."""

    organisation: str
    """Name of the organisation; empty if not given."""

    deadline_seconds: float
    """Time from receipt to the deadline, seconds."""

    urgency: requests.Urgency
    """Urgency class; `INTERACTIVE` if not given."""


def refuse(reason: outcomes.Reason, detail: str) -> result.Err[outcomes.Refused]:
    """Return a refusal without a retry-after, as a retry would be refused again."""
    return result.Err(outcomes.Refused(reason, detail))


def parse_headers(
    headers: Mapping[str, str], default_seconds: float
) -> result.Result[CallHeaders, outcomes.Refused]:
    """Parse the headers that every call may carry.

    Args:
        headers: Headers with case-insensitive lookup.
        default_seconds: Time to the deadline if the caller gives none, seconds.

    Returns:
        The values, or the refusal.
    """
    bad = outcomes.Reason.BAD_REQUEST
    organisation = headers.get("x-organisation") or headers.get("openai-organization") or ""
    authorization = headers.get("authorization", "")
    if not organisation and authorization.lower().startswith("bearer "):
        organisation = authorization[len("bearer ") :].strip()
    try:
        seconds = float(headers.get("x-deadline-seconds", default_seconds))
    except ValueError:
        return refuse(bad, "X-Deadline-Seconds is not a number")
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        return refuse(bad, f"X-Deadline-Seconds is not within 0 to {MAX_DEADLINE_SECONDS:.0f}")
    urgency_name = headers.get("x-urgency", "interactive").upper()
    if urgency_name not in requests.Urgency.__members__:
        return refuse(bad, "X-Urgency is neither interactive nor batch")
    return result.Ok(CallHeaders(organisation, seconds, requests.Urgency[urgency_name]))


def check_organisation(
    configuration: schema.Configuration, organisation: str
) -> result.Result[None, outcomes.Refused]:
    """Refuse an organisation that is missing or not in the configuration."""
    if organisation in configuration.organisations_by_name:
        return result.Ok(None)
    detail = "name an organisation in X-Organisation, OpenAI-Organization or as bearer token"
    if organisation:
        detail = f"organisation {organisation!r} is not in the configuration"
    return refuse(outcomes.Reason.UNKNOWN_ORGANISATION, detail)


def find_model_service(configuration: schema.Configuration, model: str) -> str | None:
    """Return the name of the service that has a model; `None` for an unknown model."""
    for service in configuration.services_by_name.values():
        if model in service.models:
            return service.name
    return None


def parse_body(
    body: bytes, is_chat: bool
) -> result.Result[tuple[CompletionBody, str], outcomes.Refused]:
    """Parse the body of a model call.

    Args:
        body: Received body.
        is_chat: Whether the body carries `messages` instead of `prompt`.

    Returns:
        The parsed body and the prompt text, or the refusal.
    """
    bad = outcomes.Reason.BAD_REQUEST
    try:
        completion = msgspec.json.decode(body, type=CompletionBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return refuse(bad, f"the body is malformed: {error}")
    if is_chat and not completion.messages:
        return refuse(bad, "messages is missing or empty")
    if not is_chat and not completion.prompt:
        return refuse(bad, "prompt is missing or empty")
    if completion.messages and is_chat:
        lines = [f"{message.role}: {message.content}\n" for message in completion.messages]
        return result.Ok((completion, "".join(lines)))
    return result.Ok((completion, completion.prompt or ""))


def parse_max_tokens(completion: CompletionBody) -> result.Result[int, outcomes.Refused]:
    """Return the output token limit, or the refusal if it is out of range."""
    limit = completion.max_completion_tokens or completion.max_tokens
    if limit is None:
        limit = DEFAULT_MAX_TOKENS
    if not 0 < limit <= MAX_OUTPUT_TOKENS:
        return refuse(
            outcomes.Reason.BAD_REQUEST, f"max_tokens is not within 1 to {MAX_OUTPUT_TOKENS}"
        )
    return result.Ok(limit)


def parse_model_call(
    body: bytes,
    is_chat: bool,
    headers: CallHeaders,
    configuration: schema.Configuration,
    request_id: str,
    now: float,
) -> result.Result[ModelCall, outcomes.Refused]:
    """Parse and validate a model call.

    Args:
        body: Received body.
        is_chat: Whether the body carries `messages` instead of `prompt`.
        headers: Values from its headers.
        configuration: The configuration in force.
        request_id: Identifier for the request.
        now: Loop time to which the deadline is relative, seconds.

    Returns:
        The call, or the refusal.
    """
    parsed = parse_body(body, is_chat)
    if isinstance(parsed, result.Err):
        return parsed
    completion, prompt = parsed.ok_value
    organisation_check = check_organisation(configuration, headers.organisation)
    if isinstance(organisation_check, result.Err):
        return organisation_check
    service = find_model_service(configuration, completion.model)
    if service is None:
        detail = f"model {completion.model!r} is not in the configuration"
        return refuse(outcomes.Reason.UNKNOWN_SERVICE, detail)
    max_tokens = parse_max_tokens(completion)
    if isinstance(max_tokens, result.Err):
        return max_tokens
    request = requests.ModelRequest(
        request_id,
        headers.organisation,
        service,
        completion.model,
        requests.count_tokens(prompt),
        max_tokens.ok_value,
        requests.hash_prefix(prompt),
        headers.urgency,
        now + headers.deadline_seconds,
    )
    return result.Ok(ModelCall(request, prompt, completion.stream))


def parse_service_call(
    method: str,
    path: str,
    service_name: str,
    body: bytes,
    key: str,
    headers: CallHeaders,
    configuration: schema.Configuration,
    request_id: str,
    now: float,
) -> result.Result[requests.ServiceCall, outcomes.Refused]:
    """Validate a call to a plain service.

    Args:
        method: HTTP method.
        path: Path and query within the service.
        service_name: Name of the service.
        body: Received body, of which the call keeps a hash.
        key: `Idempotency-Key` of the caller; empty if not given.
        headers: Values from its headers.
        configuration: The configuration in force.
        request_id: Identifier for the call.
        now: Loop time to which the deadline is relative, seconds.

    Returns:
        The call, or the refusal.
    """
    organisation_check = check_organisation(configuration, headers.organisation)
    if isinstance(organisation_check, result.Err):
        return organisation_check
    service = configuration.services_by_name.get(service_name)
    if service is None or service.kind is not schema.ServiceKind.PLAIN:
        detail = f"{service_name!r} is not a plain service in the configuration"
        return refuse(outcomes.Reason.UNKNOWN_SERVICE, detail)
    idempotent = is_idempotent(service, method, path)
    if not idempotent and not key:
        detail = "this call is not idempotent, so it needs an Idempotency-Key"
        return refuse(outcomes.Reason.KEY_MISSING, detail)
    call = requests.ServiceCall(
        request_id,
        headers.organisation,
        service_name,
        method,
        path,
        xxhash.xxh3_128_hexdigest(body),
        idempotent,
        key,
        now + headers.deadline_seconds,
    )
    return result.Ok(call)


def is_idempotent(service: schema.Service, method: str, path: str) -> bool:
    """Return whether a call may be retried; the first matching rule applies.

    Args:
        service: The plain service.
        method: HTTP method.
        path: Path and query.

    Returns:
        The rule's value, or `False` if no rule matches.
    """
    path_without_query = path.partition("?")[0]
    for rule in service.calls:
        if rule.method not in (method, "*"):
            continue
        matches = path_without_query == rule.path
        if rule.path.endswith("*"):
            matches = path_without_query.startswith(rule.path[:-1])
        if matches:
            return rule.idempotent
    return False
