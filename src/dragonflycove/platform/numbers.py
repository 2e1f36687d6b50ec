"""Reads the numbers of the platform's records, headers and settings.

An identifier is compared with others and handed on, so it is read exactly. A quantity is only
measured or weighed; beyond a magnitude that no deployment reaches, its size makes no difference.
"""

from __future__ import annotations

import decimal
import json
from typing import Any

MAX_QUANTITY = 10**15
"""Magnitude beyond which quantities count as this one; 10^15 ms are some 32,000 years."""

MAX_IDENTIFIER_DIGITS = 1_000
"""Maximum number of digits of an identifier, which other nodes are told in a header."""

_IDENTIFIER_LIMIT = 10**MAX_IDENTIFIER_DIGITS
"""The first whole number that is too long."""


def load_json(text: bytes | str) -> Any:
    """Parse JSON without rounding its numbers.

    Args:
        text: The JSON text.

    Returns:
        The value; a number with a fraction or an exponent is a `decimal.Decimal`.

    Raises:
        ValueError: The text is not JSON, or holds an integer of more digits than Python converts.
        RecursionError: Its values are nested too deeply.
    """
    return json.loads(text, parse_float=_parse_decimal)


def exact(value: Any) -> decimal.Decimal | int:
    """Return a finite number without rounding it.

    Args:
        value: A number, or the text of one.

    Raises:
        TypeError: The value is neither.
        ValueError: It is no finite number.
    """
    if isinstance(value, int):
        return int(value)
    if not isinstance(value, (float, decimal.Decimal, str)):
        raise TypeError(f"not a number: {value!r}")
    try:
        number = decimal.Decimal(value)
    except decimal.InvalidOperation as error:
        raise ValueError(f"not a number: {value!r}") from error
    if not number.is_finite():
        raise ValueError(f"not a finite number: {value!r}")
    return number


def identifier(value: Any) -> int:
    """Return a whole number exactly.

    Args:
        value: A number, or the text of one.

    Raises:
        TypeError: The value is neither.
        ValueError: It is no whole number, or has more digits than `MAX_IDENTIFIER_DIGITS`.
    """
    number = exact(value)
    if isinstance(number, decimal.Decimal):
        # The exponent of a short text may stand for more digits than there is memory for.
        if number.adjusted() < MAX_IDENTIFIER_DIGITS and number == number.to_integral_value():
            return int(number)
    elif abs(number) < _IDENTIFIER_LIMIT:
        return number
    raise ValueError(f"no whole number of at most {MAX_IDENTIFIER_DIGITS} digits")


def quantity(value: Any) -> float:
    """Return a number, or `MAX_QUANTITY` with its sign if its magnitude is greater.

    Args:
        value: A number, or the text of one.

    Raises:
        TypeError: The value is neither.
        ValueError: It is no finite number.
    """
    return float(_bounded(value))


def count(value: Any) -> int:
    """Return a number without its fraction, bounded like `quantity`.

    Args:
        value: A number, or the text of one.

    Raises:
        TypeError: The value is neither.
        ValueError: It is no finite number.
    """
    return int(_bounded(value))


def _bounded(value: Any) -> decimal.Decimal | int:
    number = exact(value)
    if number > MAX_QUANTITY:
        return MAX_QUANTITY
    return -MAX_QUANTITY if number < -MAX_QUANTITY else number


def _parse_decimal(text: str) -> decimal.Decimal:
    try:
        return decimal.Decimal(text)
    except decimal.InvalidOperation as error:
        raise ValueError(f"exponent out of range: {text!r}") from error
