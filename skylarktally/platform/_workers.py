"""Clients of the workers and of the platform's instance interface."""

import datetime
from typing import Any

from returns import result

from skylarktally import _errors
from skylarktally.platform import _decoding
from skylarktally.platform import _http
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _work

ErrorKind = _errors.ErrorKind
Rejection = _orders.Rejection

# Workers answer in about 1 ms.
_ORDER_TIMEOUT = datetime.timedelta(seconds=0.4)
_INSTANCE_CALL_TIMEOUT = datetime.timedelta(seconds=1.5)
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

    def list_instances(
        self,
    ) -> result.Result[tuple[_work.InstanceRecord, ...], _errors.Failure]:
        """Return all instances, read page by page."""
        found: list[_work.InstanceRecord] = []
        query: dict[str, str] = {}
        while True:
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
                message = f'list of instances answered {status}'
                kind = ErrorKind.PLATFORM_UNAVAILABLE
                return result.Failure(_errors.Failure(kind, message))
            found.extend(
                _decoding.decode_instance(item) for item in body['machines']
            )
            if not body.get('next_token'):
                return result.Success(tuple(found))
            query['page_token'] = body['next_token']

    def maintain(
        self, instance: str, wave: int, holder: str, token: int
    ) -> _orders.OrderOutcome:
        """Take an instance down for maintenance."""
        body = {'machine': instance, 'wave_id': wave}
        return self._order('/-/machine-upkeep', body, holder, token)

    def move(
        self, instance: str, pool: str, holder: str, token: int
    ) -> _orders.OrderOutcome:
        """Move an instance to another pool."""
        body = {'machine': instance, 'node_pool': pool}
        return self._order('/-/machine-move', body, holder, token)

    def _order(
        self, path: str, body: dict[str, Any], holder: str, token: int
    ) -> _orders.OrderOutcome:
        headers = {_HOLDER_HEADER: holder, _TOKEN_HEADER: str(token)}
        outcome = self._client.call(
            'POST', self._address, path, _INSTANCE_CALL_TIMEOUT, body, headers
        )
        return outcome.bind(_read_order)


def _read_order(response: _http.Response) -> _orders.OrderOutcome:
    clock = response.body.get('clock_ms')
    read = None if clock is None else datetime.timedelta(milliseconds=clock)
    if response.status == 200:
        return result.Success(_orders.OrderResult(None, read))
    if response.status == 409:
        reason = _REJECTIONS_BY_REASON.get(response.body.get('reason', ''))
        if reason is not None:
            return result.Success(_orders.OrderResult(reason, read))
    rejection = _REJECTIONS_BY_STATUS.get(response.status)
    if rejection is not None:
        return result.Success(_orders.OrderResult(rejection, read))
    message = f'order answered {response.status}: {response.body}'
    kind = ErrorKind.OUTCOME_UNKNOWN
    return result.Failure(_errors.Failure(kind, message))


def _read_report(
    response: _http.Response,
) -> result.Result[_work.WorkerReport | _orders.OrderResult, _errors.Failure]:
    if response.status == 200:
        try:
            return result.Success(_decoding.decode_report(response.body))
        except _errors.DECODING_ERRORS as error:
            message = f'unreadable report: {error!r}'
            kind = ErrorKind.OUTCOME_UNKNOWN
            return result.Failure(_errors.Failure(kind, message))
    return _read_order(response)
