"""Reads the numbers of headers; what can't be read is logged and counts as missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.platform import numbers
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_TOKENS = 10**12 - 1
"""Number of tokens that greater ones count as; no fleet has memory for so many."""


def decode(value: bytes) -> float | None:
    """Return a number, bounded like `numbers.quantity`; None if the text is no finite number.

    Args:
        value: The text of the number.
    """
    try:
        return numbers.quantity(value.decode("latin-1"))
    except ValueError:
        return None


def log_unreadable(name: bytes, value: bytes) -> None:
    """Log and count a header whose number can't be read.

    Args:
        name: Name of the header, in lower case.
        value: Its value.
    """
    logs.warning("header_unreadable", header=name.decode(), value=value[: logs.MAX_VALUE_BYTES])


def read_number(first_by_name: Mapping[bytes, bytes], name: bytes) -> float | None:
    """Return the number of a header; None if it is missing or can't be read.

    Args:
        first_by_name: Values of the headers by name, in lower case.
        name: Name of the header.
    """
    value = first_by_name.get(name)
    if value is None:
        return None
    number = decode(value)
    if number is None:
        log_unreadable(name, value)
    return number


def read_tokens(first_by_name: Mapping[bytes, bytes], name: bytes) -> int | None:
    """Return a header's number of tokens, `MAX_TOKENS` at most; None if missing or unreadable.

    Args:
        first_by_name: Values of the headers by name, in lower case.
        name: Name of the header.
    """
    value = first_by_name.get(name)
    if value is None:
        return None
    tokens = _tokens(value)
    if tokens is None:
        log_unreadable(name, value)
    return tokens


def read_token_counts(first_by_name: Mapping[bytes, bytes], name: bytes) -> tuple[int, int]:
    """Return the tokens of a prompt and the most of its output; 0, 0 if missing or unreadable.

    Args:
        first_by_name: Values of the headers by name, in lower case.
        name: Name of the header with both, separated by a comma.
    """
    value = first_by_name.get(name)
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(b",")
    prompt_tokens, output_tokens = _tokens(prompt), _tokens(output or b"0")
    if prompt_tokens is None or output_tokens is None:
        log_unreadable(name, value)
        return 0, 0
    return prompt_tokens, output_tokens


def _tokens(value: bytes) -> int | None:
    number = decode(value)
    return int(min(number, MAX_TOKENS)) if number is not None and number >= 0 else None
