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
    """A stored row.

    A transaction gives all rows that it writes the same version.
    """

    key: str
    value: dict[str, Any]
    version: int


class Condition(NamedTuple):
    """The version that a row must have; 0 requires that it is absent."""

    key: str
    version: int


class Write(NamedTuple):
    """The new value of a row; None deletes it."""

    key: str
    value: dict[str, Any] | None


class Transaction(NamedTuple):
    """Writes that are applied atomically if all conditions hold."""

    id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The platform's transactional table.

    A commit that fails with PLATFORM_UNAVAILABLE or RATE_LIMITED wasn't
    applied; one that fails with OUTCOME_UNKNOWN may have been.
    """

    def commit(
        self, transaction: Transaction
    ) -> result.Result[int, _errors.Failure]:
        """Apply a transaction and return the version of its rows.

        Fails with CONFLICT if a condition does not hold.
        """

    def read(self, key: str) -> result.Result[Row | None, _errors.Failure]:
        """Return a row, or None if it is absent."""

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], _errors.Failure]:
        """Return rows by prefix in key order, in one consistent read.

        :param after: only rows with greater keys are returned
        :param limit: maximum number of rows, up to 1,000
        """


class HttpTable:
    """Client of the table's HTTP interface, section 11 of the design."""

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
    def is_unresponsive(self) -> bool:
        """Return whether the last completed call timed out."""
        return self._client.is_unresponsive

    @property
    def is_refusing(self) -> bool:
        """Return whether the platform or its host refuses requests.

        That is if the last completed call couldn't connect, or if it got at
        least the second consecutive response with status 503.
        """
        return self._client.is_refusing

    def commit(
        self, transaction: Transaction
    ) -> result.Result[int, _errors.Failure]:
        """Apply a transaction and return the version of its rows.

        Fails with CONFLICT if a condition does not hold.
        """
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
        ).bind(_decode_commit)

    def read(self, key: str) -> result.Result[Row | None, _errors.Failure]:
        """Return a row, or None if it is absent."""
        path = '/v1/rows/' + urllib.parse.quote(key, safe='')
        return self._client.send('GET', path).bind(_decode_row)

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], _errors.Failure]:
        """Return rows by prefix in key order, in one consistent read.

        :param after: only rows with greater keys are returned
        :param limit: maximum number of rows, up to 1,000
        """
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        return self._client.send('GET', f'/v1/rows?{query}').bind(_decode_rows)


def _decode_commit(
    response: _platform.Response,
) -> result.Result[int, _errors.Failure]:
    if response.status == 200:
        return result.Success(response.read_json()['version'])
    if response.status == 409:
        conflicts = response.read_json()['conflicts']
        keys = ', '.join(c['key'] for c in conflicts)
        return result.Failure(
            _errors.Failure(
                _errors.ErrorKind.CONFLICT, f'rows have changed: {keys}'
            )
        )
    return _platform.report_unexpected_status(response)


def _decode_row(
    response: _platform.Response,
) -> result.Result[Row | None, _errors.Failure]:
    if response.status == 200:
        return result.Success(Row(**response.read_json()))
    if response.status == 404:
        return result.Success(None)
    return _platform.report_unexpected_status(response)


def _decode_rows(
    response: _platform.Response,
) -> result.Result[list[Row], _errors.Failure]:
    if response.status == 200:
        rows = response.read_json()['rows']
        return result.Success([Row(**row) for row in rows])
    return _platform.report_unexpected_status(response)
