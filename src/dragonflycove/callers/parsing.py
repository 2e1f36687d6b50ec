"""Reads callers' requests and says what is wrong with them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import result
import xxhash

from dragonflycove.configuration import schema
from dragonflycove.values import outcomes, requests

if TYPE_CHECKING:
    from collections.abc import Mapping

LONGEST_DEADLINE_SECONDS = 3600.0
"""Longest time that a caller may give a request, seconds."""

DEFAULT_MAX_TOKENS = 256
"""Tokens generated where the caller names no number."""

MOST_TOKENS = 32_768
"""Most tokens that a caller may ask for."""


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    """Who speaks."""

    content: str
    """What is said."""


class CompletionBody(msgspec.Struct):
    """Body of a model call; fields that are not known are passed over."""

    model: str
    """Name of the model."""

    prompt: str | None = None
    """The prompt, for `/v1/completions`."""

    messages: list[Message] | None = None
    """The chat, for `/v1/chat/completions`."""

    max_tokens: int | None = None
    """Most tokens to generate."""

    max_completion_tokens: int | None = None
    """Newer name of `max_tokens`."""

    stream: bool = False
    """Whether tokens are sent as they come."""


class ModelCall(NamedTuple):
    """A checked model call."""

    request: requests.ModelRequest
    """The request."""

    prompt: str
    """The prompt."""

    stream: bool
    """Whether tokens are sent as they come."""


class CallHeaders(NamedTuple):
    """What the headers of a call say."""

    organisation: str
    """Name of the organisation; empty where none is named."""

    deadline_seconds: float
    """Time for the request, seconds."""

    urgency: requests.Urgency
    """Priority."""


def refuse(reason: outcomes.Reason, detail: str) -> result.Err[outcomes.Refused]:
    """Return a refusal that coming back does not help."""
    return result.Err(outcomes.Refused(reason, detail))


def read_headers(
    headers: Mapping[str, str], default_seconds: float
) -> result.Result[CallHeaders, outcomes.Refused]:
    """Read the headers that every call may carry.

    Args:
        headers: The headers, names in any case.
        default_seconds: Time for a request that names none, seconds.

    Returns:
        What they say, or why they are refused.
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
    if not 0 < seconds <= LONGEST_DEADLINE_SECONDS:
        return refuse(bad, f"X-Deadline-Seconds is not within 0 to {LONGEST_DEADLINE_SECONDS:.0f}")
    urgency_name = headers.get("x-urgency", "interactive").upper()
    if urgency_name not in requests.Urgency.__members__:
        return refuse(bad, "X-Urgency is neither interactive nor batch")
    return result.Ok(CallHeaders(organisation, seconds, requests.Urgency[urgency_name]))


def check_organisation(
    configuration: schema.Configuration, organisation: str
) -> result.Result[None, outcomes.Refused]:
    """Check that the configuration has an organisation."""
    if organisation in configuration.organisations_by_name:
        return result.Ok(None)
    detail = "name an organisation in X-Organisation, OpenAI-Organization or as bearer token"
    if organisation:
        detail = f"organisation {organisation!r} is not in the configuration"
    return refuse(outcomes.Reason.UNKNOWN_ORGANISATION, detail)


def find_model_service(configuration: schema.Configuration, model: str) -> str | None:
    """Return the name of the service that serves a model, `None` for an unknown model."""
    for service in configuration.services_by_name.values():
        if model in service.models:
            return service.name
    return None


def read_body(
    body: bytes, is_chat: bool
) -> result.Result[tuple[CompletionBody, str], outcomes.Refused]:
    """Read the body of a model call.

    Args:
        body: The body.
        is_chat: Whether it carries `messages` in place of `prompt`.

    Returns:
        The body and its prompt, or why it is refused.
    """
    bad = outcomes.Reason.BAD_REQUEST
    try:
        completion = msgspec.json.decode(body, type=CompletionBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return refuse(bad, f"the body is not as documented: {error}")
    if is_chat and not completion.messages:
        return refuse(bad, "messages is missing or empty")
    if not is_chat and not completion.prompt:
        return refuse(bad, "prompt is missing or empty")
    if completion.messages and is_chat:
        turns = [f"{message.role}: {message.content}\n" for message in completion.messages]
        return result.Ok((completion, "".join(turns)))
    return result.Ok((completion, completion.prompt or ""))


def read_max_tokens(completion: CompletionBody) -> result.Result[int, outcomes.Refused]:
    """Return the most tokens to generate, or why the number is refused."""
    wanted = completion.max_completion_tokens or completion.max_tokens
    if wanted is None:
        wanted = DEFAULT_MAX_TOKENS
    if not 0 < wanted <= MOST_TOKENS:
        return refuse(outcomes.Reason.BAD_REQUEST, f"max_tokens is not within 1 to {MOST_TOKENS}")
    return result.Ok(wanted)


def read_model_call(
    body: bytes,
    is_chat: bool,
    headers: CallHeaders,
    configuration: schema.Configuration,
    request_id: str,
    now: float,
) -> result.Result[ModelCall, outcomes.Refused]:
    """Check a model call.

    Args:
        body: The body.
        is_chat: Whether it carries `messages` in place of `prompt`.
        headers: What its headers say.
        configuration: The configuration in force.
        request_id: The node's identifier of the request.
        now: Time of the loop's clock, seconds.

    Returns:
        The call, or why it is refused.
    """
    read = read_body(body, is_chat)
    if isinstance(read, result.Err):
        return read
    completion, prompt = read.ok_value
    known = check_organisation(configuration, headers.organisation)
    if isinstance(known, result.Err):
        return known
    service = find_model_service(configuration, completion.model)
    if service is None:
        detail = f"model {completion.model!r} is not in the configuration"
        return refuse(outcomes.Reason.UNKNOWN_SERVICE, detail)
    max_tokens = read_max_tokens(completion)
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


def read_service_call(
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
    """Check a call to a plain service.

    Args:
        method: HTTP method.
        path: Path and query within the service.
        service_name: Name of the service.
        body: The body.
        key: The caller's key; empty for none.
        headers: What its headers say.
        configuration: The configuration in force.
        request_id: The node's identifier of the call.
        now: Time of the loop's clock, seconds.

    Returns:
        The call, or why it is refused.
    """
    known = check_organisation(configuration, headers.organisation)
    if isinstance(known, result.Err):
        return known
    service = configuration.services_by_name.get(service_name)
    if service is None or service.kind is not schema.ServiceKind.PLAIN:
        detail = f"{service_name!r} is no plain service of the configuration"
        return refuse(outcomes.Reason.UNKNOWN_SERVICE, detail)
    idempotent = is_idempotent(service, method, path)
    if not idempotent and not key:
        detail = "this call may not be repeated, so it needs an Idempotency-Key"
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
    """Tell whether a call may be repeated; the first matching rule counts.

    Args:
        service: The plain service.
        method: HTTP method.
        path: Path and query.

    Returns:
        False where no rule matches.
    """
    bare = path.partition("?")[0]
    for rule in service.calls:
        if rule.method not in (method, "*"):
            continue
        matches = bare == rule.path
        if rule.path.endswith("*"):
            matches = bare.startswith(rule.path[:-1])
        if matches:
            return rule.idempotent
    return False
