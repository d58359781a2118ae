"""Client of the platform's table service.

Wire names: a partition is a "part", the puts of a transaction are
"set_keys", its removals "remove", and "rows-feed" returns the changes of a
table.
"""

import base64
import datetime
from typing import Any

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _values
from skylarktally.platform import _http
from skylarktally.platform import _timeouts
from skylarktally.scheduling import _rows

ErrorKind = _errors.ErrorKind

# The store answers within some ms, and within half a second or more when slow.
# With the lower limit, an answer of a store that has just turned slow is still
# read, and the owner of a pool notices a lost one while its term is valid.
_MIN_TIMEOUT = datetime.timedelta(seconds=0.8)
_MAX_TIMEOUT = datetime.timedelta(seconds=1.5)
_PAGE_ROWS = 500
# Rows and names in one answer; the changes of a table come without pages.
_MAX_ROWS = 1000000
_NO_WAIT = datetime.timedelta()


class TableStore:
    """Client of the table service."""

    def __init__(self, address: str, clock: _clock.Clock) -> None:
        self._address = address
        self._clock = clock
        self._client = _http.HttpClient(ErrorKind.PLATFORM_UNAVAILABLE)
        # A transaction takes longer than a read.
        self._write_timeout = _timeouts.AdaptiveTimeout(
            _MIN_TIMEOUT, _MAX_TIMEOUT
        )
        self._read_timeout = _timeouts.AdaptiveTimeout(
            _MIN_TIMEOUT, _MAX_TIMEOUT
        )

    def commit(
        self, transaction: _rows.Transaction
    ) -> result.Result[_rows.CommitResult, _errors.Failure]:
        """Apply a transaction if its expected row versions match."""
        body = {
            'expected': [
                {**_encode_row_key(row_key), 'row_version': version}
                for row_key, version in transaction.expected
            ],
            'set_keys': [
                {
                    **_encode_row_key(row_key),
                    'value': base64.b64encode(value).decode(),
                }
                for row_key, value in transaction.puts
            ],
            'remove': [
                _encode_row_key(row_key) for row_key in transaction.removals
            ],
        }
        outcome = self._call(
            self._write_timeout, 'POST', '/-/rows-tx', body=body
        )
        return outcome.bind(_read_commit)

    def read(
        self, table: str, partition: str
    ) -> result.Result[_rows.Changes, _errors.Failure]:
        """Return all rows of a partition, read page by page.

        The version returned is that of the first page.
        """
        rows: list[_rows.Row] = []
        version: int | None = None
        query: dict[str, Any] = {
            'table': table,
            'part': partition,
            'limit': _PAGE_ROWS,
        }
        while True:
            outcome = self._get('/-/rows-get', query)
            if not isinstance(outcome, result.Success):
                return result.Failure(outcome.failure())
            body = outcome.unwrap().body
            try:
                page, found = _decode_rows(body), _decode_version(body)
            except _errors.MalformedInput as error:
                return result.Failure(_create_read_failure(error))
            rows.extend(page)
            # Changes made after the first read may be missing from its page.
            version = found if version is None else version
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
            outcome = self._get('/-/rows-parts', query)
            if not isinstance(outcome, result.Success):
                return result.Failure(outcome.failure())
            body = outcome.unwrap().body
            try:
                page = _decode_partitions(body)
            except _errors.MalformedInput as error:
                return result.Failure(_create_read_failure(error))
            names.extend(page)
            if not body.get('has_more') or not page:
                return result.Success(tuple(names))
            query['after'] = page[-1]

    def follow(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[_rows.Changes, _errors.Failure]:
        """Return the changes after a version.

        :param wait: how long to wait for the first change
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait.total_seconds() * 1000),
        }
        outcome = self._get('/-/rows-feed', query, wait)
        if not isinstance(outcome, result.Success):
            return result.Failure(outcome.failure())
        status, body = outcome.unwrap()
        if status == 410:
            return result.Success(_rows.Changes((), after, True))
        try:
            changes = _rows.Changes(_decode_rows(body), _decode_version(body))
        except _errors.MalformedInput as error:
            return result.Failure(_create_read_failure(error))
        return result.Success(changes)

    def _get(
        self,
        path: str,
        query: dict[str, Any],
        wait: datetime.timedelta = _NO_WAIT,
    ) -> _http.CallOutcome:
        outcome = self._call(
            self._read_timeout, 'GET', path, wait, query=query
        )
        return outcome.bind(_check_read)

    def _call(
        self,
        timeout: _timeouts.AdaptiveTimeout,
        method: str,
        path: str,
        wait: datetime.timedelta = _NO_WAIT,
        *,
        body: dict[str, Any] | None = None,
        query: dict[str, Any] | None = None,
    ) -> _http.CallOutcome:
        """Call the store, and learn how long its answers take.

        :param wait: how long the store may hold back its answer
        """
        sent_at = self._clock.monotonic()
        outcome = self._client.call(
            method,
            self._address,
            path,
            wait + timeout.current,
            body,
            query=query,
        )
        if not isinstance(outcome, result.Success):
            timeout.record_loss()
        elif not wait:
            timeout.record_answer(self._clock.monotonic() - sent_at)
        return outcome


def _check_read(response: _http.Response) -> _http.CallOutcome:
    if response.status in (200, 410):
        return result.Success(response)
    return result.Failure(_create_failure(response))


def _read_commit(
    response: _http.Response,
) -> result.Result[_rows.CommitResult, _errors.Failure]:
    if response.status not in (200, 412):
        return result.Failure(_create_failure(response))
    is_applied = response.status == 200
    try:
        version = _decode_version(response.body, is_required=is_applied)
        rows = () if is_applied else _decode_rows(response.body)
    except _errors.MalformedInput as error:
        # Sending the transaction again shows what became of it.
        message = f'unreadable answer of the table service: {error}'
        kind = ErrorKind.OUTCOME_UNKNOWN
        return result.Failure(_errors.Failure(kind, message))
    return result.Success(_rows.CommitResult(is_applied, version, rows))


def _create_read_failure(error: _errors.MalformedInput) -> _errors.Failure:
    return _errors.Failure(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f'unreadable answer of the table service: {error}',
    )


def _create_failure(response: _http.Response) -> _errors.Failure:
    kinds = {
        400: ErrorKind.INVALID_REQUEST,
        403: ErrorKind.FORBIDDEN,
        429: ErrorKind.RATE_LIMITED,
        503: ErrorKind.PLATFORM_UNAVAILABLE,
    }
    kind = kinds.get(response.status, ErrorKind.OUTCOME_UNKNOWN)
    return _errors.Failure(kind, f'table service answered {response.status}')


def _encode_row_key(row_key: _rows.RowKey) -> dict[str, str]:
    return {
        'table': row_key.table,
        'part': row_key.partition,
        'key': row_key.key,
    }


def _decode_version(body: dict[str, Any], is_required: bool = True) -> int:
    version = body.get('row_version', None if is_required else 0)
    return _values.check_integer(version, 'row_version')


def _decode_partitions(body: dict[str, Any]) -> list[str]:
    names = _values.check_list(body.get('parts', []), 'parts', _MAX_ROWS)
    return [_values.check_string(name, 'a part') for name in names]


def _decode_rows(body: dict[str, Any]) -> tuple[_rows.Row, ...]:
    items = _values.check_list(body.get('rows', []), 'rows', _MAX_ROWS)
    return tuple(_decode_row(item) for item in items)


def _decode_row(item: Any) -> _rows.Row:
    data = _values.check_object(item, 'a row')
    row_key = _rows.RowKey(
        _values.check_string(data.get('table'), 'table'),
        _values.check_string(data.get('part', ''), 'part'),
        _values.check_string(data.get('key'), 'key'),
    )
    content = data.get('value') or ''
    try:
        value = base64.b64decode(content)
    except (ValueError, TypeError) as error:
        raise _errors.MalformedInput('value is not base64') from error
    version = _values.check_integer(data.get('row_version', 0), 'row_version')
    return _rows.Row(row_key, value, version, bool(data.get('deleted')))
