"""Types of settings: parsing, units and bounds of a single value."""

from collections.abc import Callable
import datetime
import ipaddress
import math
import re
from typing import Any, NamedTuple, Protocol

_HTTPS_PREFIX = 'https://'

# Receives an error: its path, relative to the value that is parsed, and a
# message.
Report = Callable[[str, str], None]


def prefix_report(report: Report, prefix: str) -> Report:
    """Return a report function that prepends a prefix to each path."""
    return lambda path, message: report(prefix + path, message)


class Field(Protocol):
    """Type of a setting, which parses its JSON value."""

    # Appended to the name of the attribute to form the key in the settings
    # file.
    suffix: str

    def parse(self, value: Any, report: Report) -> Any:
        """Return the typed value; report every error in it."""


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


class Number(NamedTuple):
    """A number within inclusive bounds."""

    low: float
    high: float
    unit: str = ''
    integer: bool = True
    suffix: str = ''

    def parse(self, value: Any, report: Report) -> Any:
        """Return the value unchanged, even if it is not valid."""
        types = int if self.integer else (int, float)
        if not _is_number(value) or not isinstance(value, types):
            noun = 'a whole number' if self.integer else 'a number'
            report('', f'must be {noun}, is {value!r}')
        elif not self.low <= value <= self.high:
            unit = f' {self.unit}' if self.unit else ''
            report('', f'must be {self.low} to {self.high}{unit}, is {value}')
        return value


class Seconds(NamedTuple):
    """A duration in seconds, converted to a timedelta."""

    low: float
    high: float
    suffix: str = '_seconds'

    def parse(self, value: Any, report: Report) -> Any:
        """Return the timedelta; None if the value is no finite number.

        A number too large for a timedelta gives None as well.
        """
        Number(self.low, self.high, 'seconds', False).parse(value, report)
        if not _is_number(value) or not math.isfinite(value):
            return None
        if abs(value) > datetime.timedelta.max.days:
            return None
        return datetime.timedelta(seconds=value)


class String(NamedTuple):
    """A string that matches a regular expression as a whole."""

    pattern: str
    # What the pattern accepts, for error messages and the reference page.
    description: str
    suffix: str = ''
    # The value of a secret is left out of error messages.
    secret: bool = False

    def parse(self, value: Any, report: Report) -> Any:
        """Return the value unchanged, even if it is not valid."""
        shown = '' if self.secret else f', is {value!r}'
        if not isinstance(value, str):
            report('', f'must be a string{shown}')
        elif not re.fullmatch(self.pattern, value):
            report('', f'must be {self.description}{shown}')
        return value


class Address(NamedTuple):
    """An IP address and port, for example 127.0.0.1:8080 or [::1]:8080.

    If https is set, the form https://127.0.0.1:8080 is accepted too.
    """

    suffix: str = ''
    https: bool = False

    def parse(self, value: Any, report: Report) -> Any:
        """Return the value unchanged, even if it is not valid."""
        try:
            split_address(strip_https(value)[1] if self.https else value)
        except (ValueError, AttributeError):
            report('', f'must be an IP address and port, is {value!r}')
        return value


class ListOf(NamedTuple):
    """A list of values of one type, converted to a tuple."""

    item_field: Field
    # Bounds of the number of values.
    low: int
    high: int
    suffix: str = ''

    def parse(self, value: Any, report: Report) -> Any:
        """Return the parsed values; an empty tuple if value is no list."""
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
    """Identity and role that a bearer token grants."""

    subject: str
    role: str
    team: str | None


ROLES = ('operator', 'caller', 'peer')
_DIGEST = re.compile('[0-9a-f]{64}')


class Tokens(NamedTuple):
    """A mapping from the SHA-256 digest of a bearer token to its Token."""

    suffix: str = ''

    def parse(self, value: Any, report: Report) -> Any:
        """Return a dict from digest to Token; empty if value is no dict."""
        if not isinstance(value, dict):
            report('', 'must be a mapping from SHA-256 digest to token')
            return {}
        return {
            digest: _parse_token(
                digest, fields, prefix_report(report, f'.{digest}')
            )
            for digest, fields in value.items()
        }


def _parse_token(digest: str, fields: Any, report: Report) -> Token | None:
    if not _DIGEST.fullmatch(digest):
        report('', 'must be a SHA-256 digest in 64 lower-case hex digits')
    if not isinstance(fields, dict):
        report('', 'must be a mapping with subject, role and team')
        return None
    for key in fields.keys() - set(Token._fields):
        report(f'.{key}', describe_unknown(key, Token._fields))
    token = Token(fields.get('subject', ''), fields.get('role', ''), None)
    if not isinstance(token.subject, str) or not token.subject:
        report('.subject', 'must be a string that is not empty')
    if token.role not in ROLES:
        report('.role', f'must be one of {", ".join(ROLES)}')
    team = fields.get('team')
    if team is not None and not isinstance(team, str):
        report('.team', 'must be a string')
    if token.role == 'caller' and not team:
        report('.team', 'is required for the role caller')
    return token._replace(team=team)


def _count_edits(left: str, right: str) -> int:
    """Return the Levenshtein distance of two names."""
    # Distances of the current prefix of left to each prefix of right.
    distances = list(range(len(right) + 1))
    for i, a in enumerate(left, 1):
        diagonal, distances[0] = distances[0], i
        for j, b in enumerate(right, 1):
            distance = min(
                distances[j] + 1, distances[j - 1] + 1, diagonal + (a != b)
            )
            diagonal, distances[j] = distances[j], distance
    return distances[-1]


def describe_unknown(key: str, known: Any) -> str:
    """Return the message for an unknown key with the most similar known one.

    :param known: iterable of the known keys
    """
    nearest = min(known, key=lambda name: (_count_edits(key, name), name))
    return f'is unknown; the nearest known name is {nearest}'


def strip_https(address: str) -> tuple[bool, str]:
    """Split off https://; return whether it was there and the rest."""
    rest = address.removeprefix(_HTTPS_PREFIX)
    return rest != address, rest


def build_url(address: str) -> str:
    """Return the address as a URL without a path; http is the default."""
    return address if strip_https(address)[0] else f'http://{address}'


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port.

    :raises ValueError: if the host is not an IP address, an IPv6 address is
        not in brackets, or the port is not in 1 to 65535
    """
    host, separator, port = address.rpartition(':')
    ip = host[1:-1] if host[:1] + host[-1:] == '[]' else host
    version = ipaddress.ip_address(ip).version
    if not separator or (version == 6) != (ip != host):
        raise ValueError(address)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(address)
    return ip, int(port)
