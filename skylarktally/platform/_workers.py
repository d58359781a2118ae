"""Clients of the workers and of the platform's instance interface."""

from collections.abc import Iterator
import datetime
import logging
from typing import Any, NamedTuple

from returns import result

from skylarktally import _errors
from skylarktally import _values
from skylarktally.platform import _decoding
from skylarktally.platform import _http
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind
Rejection = _orders.Rejection

# Workers answer in about 1 ms.
_ORDER_TIMEOUT = datetime.timedelta(seconds=0.4)
_INSTANCE_CALL_TIMEOUT = datetime.timedelta(seconds=1.5)
# Of the list of instances.
_MAX_PAGES = 1000
_MAX_PAGE_ITEMS = 100000
# Unreadable entries of that list that are logged while the process lives.
_MAX_LOGGED = 1000
_EXPECTED_INSTANCE_HEADER = 'X-Skylarktally-Expect-Instance'
_HOLDER_HEADER = 'X-Skylarktally-Duty-Holder'
_TOKEN_HEADER = 'X-Skylarktally-Fencing-Token'

_REJECTIONS_BY_REASON = {
    'fence': Rejection.FENCED,
    'old': Rejection.STALE,
    'late': Rejection.EXPIRED,
    'room': Rejection.NO_CAPACITY,
    'ticket': Rejection.TICKET,
    'busy': Rejection.BUSY,
    'wave': Rejection.WAVE,
}
_REJECTIONS_BY_STATUS = {
    400: Rejection.INVALID,
    421: Rejection.OTHER_INCARNATION,
    429: Rejection.UNHEALTHY,
    503: Rejection.UNHEALTHY,
}


def _to_milliseconds(value: datetime.timedelta) -> int:
    return int(value.total_seconds() * 1000)


class WorkerCalls:
    """Client of the workers."""

    def __init__(self) -> None:
        self._client = _http.HttpClient(ErrorKind.WORKER_UNREACHABLE)

    def start(
        self,
        worker: _work.WorkerRecord,
        token: int,
        order: _orders.StartOrder,
    ) -> _orders.OrderOutcome:
        """Start a run under a lease that ends at `order.until`."""
        body = {
            'task': _decoding.format_task(order.task),
            'run_id': order.number,
            'task_spec': order.task_spec,
            'until_ms': _to_milliseconds(order.until),
            'fencing_token': token,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket_id'] = order.ticket
        return self._order(worker, '/-/run-start', body)

    def stop(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
    ) -> _orders.OrderOutcome:
        """Stop a run; if its start order arrives later, it is rejected."""
        body = {
            'task': _decoding.format_task(task),
            'run_id': number,
            'fencing_token': token,
        }
        return self._order(worker, '/-/run-stop', body)

    def pace(
        self,
        worker: _work.WorkerRecord,
        token: int,
        task: _work.TaskId,
        number: int,
        percent: int,
    ) -> _orders.OrderOutcome:
        """Limit a run to a percentage of its full speed."""
        body = {
            'task': _decoding.format_task(task),
            'run_id': number,
            'percent': percent,
            'fencing_token': token,
        }
        return self._order(worker, '/-/pace', body)

    def renew_leases(
        self,
        worker: _work.WorkerRecord,
        token: int,
        order: _orders.RenewOrder,
    ) -> result.Result[
        _work.WorkerReport | _orders.OrderResult, _errors.Failure
    ]:
        """Renew the leases of all runs; return the report or a rejection."""
        body = {
            'fencing_token': token,
            'last_seen': order.acknowledged,
            'wait_ms': _to_milliseconds(order.wait),
        }
        if order.until is not None:
            body['until_ms'] = _to_milliseconds(order.until)
        timeout = order.wait + order.answer_time
        outcome = self._call(worker, '/-/hold', body, timeout)
        return outcome.bind(_read_report)

    def _order(
        self, worker: _work.WorkerRecord, path: str, body: dict[str, Any]
    ) -> _orders.OrderOutcome:
        outcome = self._call(worker, path, body, _ORDER_TIMEOUT)
        return outcome.bind(_read_order)

    def _call(
        self,
        worker: _work.WorkerRecord,
        path: str,
        body: dict[str, Any],
        timeout: datetime.timedelta,
    ) -> _http.CallOutcome:
        headers = {_EXPECTED_INSTANCE_HEADER: worker.id}
        return self._client.call(
            'POST', worker.address, path, timeout, body, headers
        )


class InstanceCalls:
    """Client of the platform's instance interface."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = _http.HttpClient(ErrorKind.PLATFORM_UNAVAILABLE)
        # Names and reasons of the unreadable entries that were logged.
        self._logged: set[tuple[str, str]] = set()

    def list_instances(
        self,
    ) -> result.Result[tuple[_work.InstanceRecord, ...], _errors.Failure]:
        """Return all instances, read page by page.

        An entry that cannot be decoded is logged and left out.
        """
        found: list[_work.InstanceRecord] = []
        query: dict[str, str] = {}
        for _ in range(_MAX_PAGES):
            outcome = self._client.call(
                'GET',
                self._address,
                '/-/machines',
                _INSTANCE_CALL_TIMEOUT,
                query=query,
            )
            if not isinstance(outcome, result.Success):
                return result.Failure(outcome.failure())
            status, body = outcome.unwrap()
            if status != 200:
                return _fail_listing(f'answered {status}')
            try:
                page = _read_page(body)
            except _errors.MalformedInput as error:
                return _fail_listing(str(error))
            found.extend(self._decode_instances(page.items))
            if not page.next_token:
                return result.Success(tuple(found))
            query['page_token'] = page.next_token
        return _fail_listing(f'has more than {_MAX_PAGES} pages')

    def _decode_instances(
        self, items: list[Any]
    ) -> Iterator[_work.InstanceRecord]:
        for item in items:
            try:
                record = _decoding.decode_instance(item)
            except _errors.MalformedInput as error:
                self._log_unreadable(item, str(error))
                continue
            yield record

    def _log_unreadable(self, item: Any, reason: str) -> None:
        """Log an unreadable entry, once for each reason and instance.

        The list is read several times a second.
        """
        name = item.get('machine') if isinstance(item, dict) else None
        entry = (str(name)[: _values.MAX_NAME_LENGTH], reason)
        if entry in self._logged or len(self._logged) >= _MAX_LOGGED:
            return
        self._logged.add(entry)
        _LOG.error(
            'unreadable entry in the list of instances',
            extra={'instance': entry[0], 'reason': reason},
        )

    def maintain(
        self, instance: str, wave: int, permit: _orders.Permit
    ) -> _orders.OrderOutcome:
        """Take an instance down for maintenance."""
        body = {'machine': instance, 'wave_id': wave}
        return self._order('/-/machine-upkeep', body, permit)

    def move(
        self, instance: str, pool: str, permit: _orders.Permit
    ) -> _orders.OrderOutcome:
        """Move an instance to another pool."""
        body = {'machine': instance, 'node_pool': pool}
        return self._order('/-/machine-move', body, permit)

    def _order(
        self, path: str, body: dict[str, Any], permit: _orders.Permit
    ) -> _orders.OrderOutcome:
        headers = {
            _HOLDER_HEADER: permit.holder,
            _TOKEN_HEADER: str(permit.token),
        }
        outcome = self._client.call(
            'POST',
            self._address,
            path,
            _INSTANCE_CALL_TIMEOUT,
            body,
            headers,
            find_time_left=permit.find_time_left,
        )
        return outcome.bind(_read_order)


class _Page(NamedTuple):
    """A page of the list of instances."""

    items: list[Any]
    # Empty on the last page.
    next_token: str


def _read_page(body: dict[str, Any]) -> _Page:
    return _Page(
        _values.check_list(body.get('machines'), 'machines', _MAX_PAGE_ITEMS),
        _values.check_string(body.get('next_token') or '', 'next_token'),
    )


def _fail_listing(reason: str) -> result.Result[Any, _errors.Failure]:
    kind = ErrorKind.PLATFORM_UNAVAILABLE
    return result.Failure(
        _errors.Failure(kind, f'list of instances: {reason}')
    )


def _read_order(response: _http.Response) -> _orders.OrderOutcome:
    rejection: Rejection | None = None
    if response.status != 200:
        rejection = _find_rejection(response)
        if rejection is None:
            return _fail_unknown(f'order answered {response.status}')
    clock = response.body.get('clock_ms')
    try:
        read = None if clock is None else _decoding.decode_clock(clock)
    except _errors.MalformedInput as error:
        # The status says what became of the order.
        _LOG.warning('unreadable clock', extra={'reason': str(error)})
        read = None
    return result.Success(_orders.OrderResult(rejection, read))


def _find_rejection(response: _http.Response) -> Rejection | None:
    if response.status != 409:
        return _REJECTIONS_BY_STATUS.get(response.status)
    reason = response.body.get('reason')
    if not isinstance(reason, str):
        return None
    return _REJECTIONS_BY_REASON.get(reason)


def _read_report(
    response: _http.Response,
) -> result.Result[_work.WorkerReport | _orders.OrderResult, _errors.Failure]:
    if response.status != 200:
        return _read_order(response)
    try:
        return result.Success(_decoding.decode_report(response.body))
    except _errors.MalformedInput as error:
        return _fail_unknown(f'unreadable report: {error}')


def _fail_unknown(message: str) -> result.Result[Any, _errors.Failure]:
    kind = ErrorKind.OUTCOME_UNKNOWN
    return result.Failure(_errors.Failure(kind, message))
