"""Checks of values from other software: type, range, length and depth.

Each function returns a complete typed value or raises MalformedInput. Its
message names the field and not the value, which may be very long.
"""

import datetime
import json
from typing import Any

from skylarktally import _errors

# Largest whole number that every JSON implementation represents exactly.
MAX_INTEGER = 2**53 - 1
# Longest key of a row, and so of a name that is used as a key.
MAX_NAME_LENGTH = 200
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Start of the year 9000, in milliseconds since 1970. Each calculation with
# times of jobs stays below the end of the year 9999.
_MAX_TIME_MS = 221845392000000


def parse_object(content: bytes) -> dict[str, Any]:
    """Parse a JSON object in UTF-8."""
    return check_object(_parse(content), 'the document')


def parse_list(content: bytes, sizes: range) -> list[Any]:
    """Parse a JSON list in UTF-8 that has one of these numbers of items."""
    data = _parse(content)
    if not isinstance(data, list) or len(data) not in sizes:
        raise _errors.MalformedInput(
            f'not a list of {sizes.start} to {sizes.stop - 1} items'
        )
    return data


def _parse(content: bytes) -> Any:
    try:
        return json.loads(content.decode())
    except RecursionError as error:
        raise _errors.MalformedInput('nested too deeply') from error
    except ValueError as error:
        raise _errors.MalformedInput('no JSON text in UTF-8') from error


def check_object(value: Any, name: str) -> dict[str, Any]:
    """Return a JSON object."""
    if not isinstance(value, dict):
        raise _errors.MalformedInput(f'{name} is not a JSON object')
    return value


def check_list(value: Any, name: str, max_items: int) -> list[Any]:
    """Return a list of at most so many items."""
    if not isinstance(value, list):
        raise _errors.MalformedInput(f'{name} is not a list')
    if len(value) > max_items:
        raise _errors.MalformedInput(f'{name} has more than {max_items} items')
    return value


def check_string(
    value: Any, name: str, max_length: int = MAX_NAME_LENGTH
) -> str:
    """Return a string of at most so many characters, valid in UTF-8."""
    if not isinstance(value, str):
        raise _errors.MalformedInput(f'{name} is not a string')
    if len(value) > max_length:
        raise _errors.MalformedInput(
            f'{name} has more than {max_length} characters'
        )
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError as error:
            raise _errors.MalformedInput(
                f'{name} has a lone surrogate'
            ) from error
    return value


def check_integer(
    value: Any, name: str, maximum: int = MAX_INTEGER, minimum: int = 0
) -> int:
    """Return a whole number within inclusive bounds."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise _errors.MalformedInput(f'{name} is not a whole number')
    if not minimum <= value <= maximum:
        raise _errors.MalformedInput(
            f'{name} is not between {minimum} and {maximum}'
        )
    return value


def check_number(
    value: Any, name: str, maximum: float, minimum: float = 0
) -> float:
    """Return a number within inclusive bounds."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _errors.MalformedInput(f'{name} is not a number')
    # A comparison with NaN is false.
    if not minimum <= value <= maximum:
        raise _errors.MalformedInput(
            f'{name} is not between {minimum} and {maximum}'
        )
    return value


def check_milliseconds(
    value: Any, name: str, maximum: datetime.timedelta
) -> datetime.timedelta:
    """Return a duration that is given in milliseconds."""
    limit = maximum / _MILLISECOND
    return check_number(value, name, limit) * _MILLISECOND


def check_time(value: Any, name: str) -> datetime.datetime:
    """Return a time in UTC that is given in milliseconds since 1970."""
    number = check_number(value, name, _MAX_TIME_MS)
    return datetime.datetime.fromtimestamp(number / 1000, datetime.UTC)
