"""Client of the platform's transactional table."""

import json
import urllib.parse
from typing import Any, NamedTuple, Protocol

from returns import result

from skylarktally import _certificates
from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _platform


class Row(NamedTuple):
    """A row; all rows of one transaction have the same version."""

    key: str
    value: dict[str, Any]
    version: int


class Condition(NamedTuple):
    """The version that a row must have; 0 means absent."""

    key: str
    version: int


class Write(NamedTuple):
    """A row's new value, or None to delete the row."""

    key: str
    value: dict[str, Any] | None


class Transaction(NamedTuple):
    """Writes that take effect together if all conditions hold."""

    id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The platform's table.

    PLATFORM_UNAVAILABLE and RATE_LIMITED mean not applied; OUTCOME_UNKNOWN
    means that a commit may or may not have taken effect.
    """

    def commit(
        self, transaction: Transaction
    ) -> result.Result[int, _errors.Failure]:
        """Return the version of the rows, or CONFLICT."""

    def read(self, key: str) -> result.Result[Row | None, _errors.Failure]:
        """Return one row, or None when it is absent."""

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], _errors.Failure]:
        """Return up to 1,000 rows in key order, in one consistent read."""


class HttpTable:
    """Table of section 11 of the design, over HTTP."""

    def __init__(
        self,
        address: str,
        clock: _clock.Clock,
        limits: _limits.PlatformLimits,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._clock = clock
        self._client = _platform.PlatformClient(address, limits, certificates)

    @property
    def silent(self) -> bool:
        """Tell whether the last call that ended got no answer in time."""
        return self._client.silent

    @property
    def refused(self) -> bool:
        """Tell whether the last call that ended was refused."""
        return self._client.refused

    def commit(
        self, transaction: Transaction
    ) -> result.Result[int, _errors.Failure]:
        """Return the version of the rows, or CONFLICT."""
        body = {
            'id': transaction.id,
            'conditions': [c._asdict() for c in transaction.conditions],
            'writes': [w._asdict() for w in transaction.writes],
        }
        return self._client.send(
            'POST',
            '/v1/transactions',
            json.dumps(body).encode(),
            {'Content-Type': 'application/json'},
        ).bind(_read_commit)

    def read(self, key: str) -> result.Result[Row | None, _errors.Failure]:
        """Return one row, or None when it is absent."""
        path = '/v1/rows/' + urllib.parse.quote(key, safe='')
        return self._client.send('GET', path).bind(_read_row)

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], _errors.Failure]:
        """Return up to 1,000 rows in key order, in one consistent read."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        return self._client.send('GET', f'/v1/rows?{query}').bind(_read_rows)


def _read_commit(
    response: _platform.Response,
) -> result.Result[int, _errors.Failure]:
    if response.status == 200:
        return result.Success(response.read_json()['version'])
    if response.status == 409:
        conflicts = response.read_json()['conflicts']
        keys = ', '.join(c['key'] for c in conflicts)
        return result.Failure(
            _errors.Failure(_errors.ErrorKind.CONFLICT, f'changed: {keys}')
        )
    return _platform.explain_status(response)


def _read_row(
    response: _platform.Response,
) -> result.Result[Row | None, _errors.Failure]:
    if response.status == 200:
        return result.Success(Row(**response.read_json()))
    if response.status == 404:
        return result.Success(None)
    return _platform.explain_status(response)


def _read_rows(
    response: _platform.Response,
) -> result.Result[list[Row], _errors.Failure]:
    if response.status == 200:
        rows = response.read_json()['rows']
        return result.Success([Row(**row) for row in rows])
    return _platform.explain_status(response)
