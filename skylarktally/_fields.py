"""Declarations of single settings: type, unit, bounds and how to read one."""

from collections.abc import Callable
import datetime
import ipaddress
import math
import re
from typing import Any, NamedTuple, Protocol

_HTTPS = 'https://'

# Takes the path below the field and the message of an error.
Report = Callable[[str, str], None]


def prefix_report(report: Report, start: str) -> Report:
    """Return a report that puts the start before each path."""
    return lambda path, message: report(start + path, message)


class Field(Protocol):
    """How one setting is read from its JSON value."""

    # Appended to the name of the attribute to form the key in the file.
    suffix: str

    def parse(self, value: Any, report: Report) -> Any:
        """Return the typed value, after reporting every error in it."""


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


class Number(NamedTuple):
    """A number within bounds, both included."""

    low: float
    high: float
    unit: str = ''
    integer: bool = True
    suffix: str = ''

    def parse(self, value: Any, report: Report) -> Any:
        """Return the number as it stands."""
        wanted = int if self.integer else (int, float)
        if not _is_number(value) or not isinstance(value, wanted):
            noun = 'a whole number' if self.integer else 'a number'
            report('', f'must be {noun}, is {value!r}')
        elif not self.low <= value <= self.high:
            unit = f' {self.unit}' if self.unit else ''
            report('', f'must be {self.low} to {self.high}{unit}, is {value}')
        return value


class Seconds(NamedTuple):
    """A duration in seconds, read as a timedelta."""

    low: float
    high: float
    suffix: str = '_seconds'

    def parse(self, value: Any, report: Report) -> Any:
        """Return the timedelta, or None for what is not a finite number."""
        Number(self.low, self.high, 'seconds', False).parse(value, report)
        if not _is_number(value) or not math.isfinite(value):
            return None
        if abs(value) > datetime.timedelta.max.days:
            return None
        return datetime.timedelta(seconds=value)


class String(NamedTuple):
    """A string whose whole length matches a pattern."""

    pattern: str
    description: str
    suffix: str = ''
    # A secret is never repeated in a message.
    secret: bool = False

    def parse(self, value: Any, report: Report) -> Any:
        """Return the string as it stands."""
        shown = '' if self.secret else f', is {value!r}'
        if not isinstance(value, str):
            report('', f'must be a string{shown}')
        elif not re.fullmatch(self.pattern, value):
            report('', f'must be {self.description}{shown}')
        return value


class Address(NamedTuple):
    """An IP address and port, as in 127.0.0.1:8080 or [::1]:8080.

    With https, an address may also have the form https://127.0.0.1:8080.
    """

    suffix: str = ''
    https: bool = False

    def parse(self, value: Any, report: Report) -> Any:
        """Return the address as it stands."""
        try:
            split_address(strip_https(value)[1] if self.https else value)
        except (ValueError, AttributeError):
            report('', f'must be an IP address and port, is {value!r}')
        return value


class ListOf(NamedTuple):
    """A list of values of one kind, read as a tuple."""

    item_field: Field
    low: int
    high: int
    suffix: str = ''

    def parse(self, value: Any, report: Report) -> Any:
        """Return the tuple of the parsed values."""
        if not isinstance(value, list):
            report('', f'must be a list, is {value!r}')
            return ()
        if not self.low <= len(value) <= self.high:
            report('', f'must have {self.low} to {self.high} values')
        return tuple(
            self.item_field.parse(item, prefix_report(report, f'[{index}]'))
            for index, item in enumerate(value)
        )


class Token(NamedTuple):
    """Who a bearer token speaks for."""

    subject: str
    role: str
    team: str | None


ROLES = ('operator', 'caller', 'peer')
_DIGEST = re.compile('[0-9a-f]{64}')


class Tokens(NamedTuple):
    """A mapping from the SHA-256 digest of a token to its Token."""

    suffix: str = ''

    def parse(self, value: Any, report: Report) -> Any:
        """Return a dict from digest to Token."""
        if not isinstance(value, dict):
            report('', 'must be a mapping from SHA-256 digest to token')
            return {}
        return {
            digest: _parse_token(
                digest, body, prefix_report(report, f'.{digest}')
            )
            for digest, body in value.items()
        }


def _parse_token(digest: str, body: Any, report: Report) -> Token | None:
    if not _DIGEST.fullmatch(digest):
        report('', 'must be a SHA-256 digest in 64 lower-case hex digits')
    if not isinstance(body, dict):
        report('', 'must be a mapping with subject, role and team')
        return None
    for key in body.keys() - set(Token._fields):
        report(f'.{key}', describe_unknown(key, Token._fields))
    token = Token(body.get('subject', ''), body.get('role', ''), None)
    if not isinstance(token.subject, str) or not token.subject:
        report('.subject', 'must be a string that is not empty')
    if token.role not in ROLES:
        report('.role', f'must be one of {", ".join(ROLES)}')
    team = body.get('team')
    if team is not None and not isinstance(team, str):
        report('.team', 'must be a string')
    if token.role == 'caller' and not team:
        report('.team', 'is required for the role caller')
    return token._replace(team=team)


def _count_edits(left: str, right: str) -> int:
    """Return the Levenshtein distance of two names."""
    row = list(range(len(right) + 1))
    for i, a in enumerate(left, 1):
        diagonal, row[0] = row[0], i
        for j, b in enumerate(right, 1):
            least = min(row[j] + 1, row[j - 1] + 1, diagonal + (a != b))
            diagonal, row[j] = row[j], least
    return row[-1]


def describe_unknown(key: str, known: Any) -> str:
    """Return the error for an unknown key, naming the nearest known one."""
    nearest = min(known, key=lambda name: (_count_edits(key, name), name))
    return f'is unknown; the nearest known name is {nearest}'


def strip_https(address: str) -> tuple[bool, str]:
    """Tell whether the address is reached over TLS, and return its rest."""
    rest = address.removeprefix(_HTTPS)
    return rest != address, rest


def build_url(address: str) -> str:
    """Return the address as a URL without a path."""
    return address if strip_https(address)[0] else f'http://{address}'


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raise ValueError unless host is an IP number."""
    host, separator, port = address.rpartition(':')
    bare = host[1:-1] if host[:1] + host[-1:] == '[]' else host
    version = ipaddress.ip_address(bare).version
    if not separator or (version == 6) != (bare != host):
        raise ValueError(address)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(address)
    return bare, int(port)
