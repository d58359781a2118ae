"""The platform's table service.

Names on the wire: a partition is a "part", the puts of a transaction are
"set_keys", its removals "remove", and the feed is the history of a table.
"""

import base64
import datetime
from typing import Any

from returns import result

from skylarktally import _errors
from skylarktally.platform import _http
from skylarktally.scheduling import _rows

ErrorKind = _errors.ErrorKind

# The store answers in some ms, and in up to half a second when slow.
_WRITE_TIMEOUT = datetime.timedelta(seconds=1.5)
_READ_TIMEOUT = datetime.timedelta(seconds=1.5)
_PAGE_ROWS = 500


class TableStore:
    """Client of the table service."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = _http.HttpClient(ErrorKind.PLATFORM_UNAVAILABLE)

    def commit(
        self, transaction: _rows.Transaction
    ) -> result.Result[_rows.CommitResult, _errors.Failure]:
        """Apply a transaction."""
        body = {
            'expected': [
                {**_encode_row_key(place), 'row_version': version}
                for place, version in transaction.expected
            ],
            'set_keys': [
                {
                    **_encode_row_key(place),
                    'value': base64.b64encode(value).decode(),
                }
                for place, value in transaction.puts
            ],
            'remove': [
                _encode_row_key(place) for place in transaction.removals
            ],
        }
        outcome = self._client.call(
            'POST', self._address, '/-/rows-tx', _WRITE_TIMEOUT, body
        )
        return outcome.bind(_read_commit)

    def read(
        self, table: str, partition: str
    ) -> result.Result[_rows.Changes, _errors.Failure]:
        """Return all rows of a partition."""
        rows: list[_rows.Row] = []
        version: int | None = None
        query: dict[str, Any] = {
            'table': table,
            'part': partition,
            'limit': _PAGE_ROWS,
        }
        while True:
            outcome = self._get('/-/rows-get', _READ_TIMEOUT, query)
            if not isinstance(outcome, result.Success):
                return result.Failure(outcome.failure())
            body = outcome.unwrap().body
            page = _decode_rows(body)
            rows.extend(page)
            # Changes after the first page may be missing from it.
            version = body['row_version'] if version is None else version
            if not body.get('has_more') or not page:
                return result.Success(_rows.Changes(tuple(rows), version))
            query['from'] = page[-1].row_key.key + '\0'

    def list_partitions(
        self, table: str
    ) -> result.Result[tuple[str, ...], _errors.Failure]:
        """Return the partitions of a table."""
        names: list[str] = []
        query = {'table': table}
        while True:
            outcome = self._get('/-/rows-parts', _READ_TIMEOUT, query)
            if not isinstance(outcome, result.Success):
                return result.Failure(outcome.failure())
            body = outcome.unwrap().body
            page = body.get('parts', [])
            names.extend(page)
            if not body.get('has_more') or not page:
                return result.Success(tuple(names))
            query['after'] = page[-1]

    def follow(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[_rows.Changes, _errors.Failure]:
        """Return the changes after a version, waiting for the first."""
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait.total_seconds() * 1000),
        }
        outcome = self._get('/-/rows-feed', wait + _READ_TIMEOUT, query)
        if not isinstance(outcome, result.Success):
            return result.Failure(outcome.failure())
        status, body = outcome.unwrap()
        if status == 410:
            return result.Success(_rows.Changes((), after, True))
        return result.Success(
            _rows.Changes(_decode_rows(body), body['row_version'])
        )

    def _get(
        self, path: str, timeout: datetime.timedelta, query: dict[str, Any]
    ) -> _http.CallOutcome:
        outcome = self._client.call(
            'GET', self._address, path, timeout, query=query
        )
        return outcome.bind(_check_read)


def _check_read(response: _http.Response) -> _http.CallOutcome:
    if response.status in (200, 410):
        return result.Success(response)
    return result.Failure(_create_failure(response))


def _read_commit(
    response: _http.Response,
) -> result.Result[_rows.CommitResult, _errors.Failure]:
    if response.status == 200:
        version = response.body['row_version']
        return result.Success(_rows.CommitResult(True, version))
    if response.status == 412:
        rows = _decode_rows(response.body)
        version = response.body.get('row_version', 0)
        return result.Success(_rows.CommitResult(False, version, rows))
    return result.Failure(_create_failure(response))


def _create_failure(response: _http.Response) -> _errors.Failure:
    kinds = {
        400: ErrorKind.INVALID_REQUEST,
        403: ErrorKind.FORBIDDEN,
        429: ErrorKind.RATE_LIMITED,
        503: ErrorKind.PLATFORM_UNAVAILABLE,
    }
    kind = kinds.get(response.status, ErrorKind.OUTCOME_UNKNOWN)
    return _errors.Failure(kind, f'table service answered {response.status}')


def _encode_row_key(place: _rows.RowKey) -> dict[str, str]:
    return {
        'table': place.table,
        'part': place.partition,
        'key': place.key,
    }


def _decode_rows(body: dict[str, Any]) -> tuple[_rows.Row, ...]:
    return tuple(_decode_row(item) for item in body.get('rows', ()))


def _decode_row(item: dict[str, Any]) -> _rows.Row:
    place = _rows.RowKey(item['table'], item.get('part', ''), item['key'])
    value = base64.b64decode(item.get('value') or '')
    version = item.get('row_version', 0)
    return _rows.Row(place, value, version, bool(item.get('deleted')))
