"""Calls of a controller to the workers of its zone."""

import datetime
import json
from typing import Any, NamedTuple, Protocol
import urllib.parse

from returns import result
import urllib3

from skylarktally import _certificates
from skylarktally import _errors
from skylarktally import _fields

ErrorKind = _errors.ErrorKind

_CONNECTIONS_LIMIT = 2
_ADDRESSES_LIMIT = 512


class FenceStatus(NamedTuple):
    """What a worker says of itself."""

    # 0 while it is not fenced.
    epoch: int
    pool: str | None
    # Tasks in progress, under whatever epoch they started.
    running: int
    boot_id: str
    # Entity tag of the fence; changes with each fence and each restart.
    etag: str


class SlotLease(NamedTuple):
    """The right to run tasks on some slots of a worker."""

    lease_id: str
    slots: int


class Task(NamedTuple):
    """A task to run under a lease."""

    job: str
    key: str
    path: str
    timeout: datetime.timedelta


class TaskResult(NamedTuple):
    """How a task ended; not started when the worker refused it."""

    started: bool
    status: int


class WorkerApi(Protocol):
    """The workers' interface, by address.

    WORKER_UNREACHABLE means that the effect of a call is unknown.
    """

    def read_fence(
        self, address: str
    ) -> result.Result[FenceStatus, _errors.Failure]:
        """Return the fence and the number of running tasks."""

    def raise_fence(
        self, address: str, seen: FenceStatus, epoch: int, pool: str
    ) -> result.Result[FenceStatus, _errors.Failure]:
        """Raise the fence; CONFLICT when it is no longer the one seen."""

    def acquire_lease(
        self,
        address: str,
        holder: str,
        epoch: int,
        pool: str,
        slots: int,
        ttl: datetime.timedelta,
    ) -> result.Result[SlotLease, _errors.Failure]:
        """Take slots; WORKER_REFUSED when there is none to have."""

    def renew_lease(
        self, address: str, lease_id: str, ttl: datetime.timedelta
    ) -> result.Result[None, _errors.Failure]:
        """Extend a lease; LEASE_LOST when it has expired."""

    def release_lease(self, address: str, lease_id: str) -> None:
        """Give a lease back, as far as the worker can be reached."""

    def run_task(
        self, address: str, lease_id: str, task: Task
    ) -> result.Result[TaskResult, _errors.Failure]:
        """Run a task and return when it has ended."""

    def find_task(
        self, address: str, key: str
    ) -> result.Result[dict[str, Any] | None, _errors.Failure]:
        """Return what the worker knows of a task, None when nothing."""

    def control_task(
        self, address: str, key: str, action: str
    ) -> result.Result[None, _errors.Failure]:
        """Checkpoint, throttle or stop a running task."""


class HttpWorkerApi:
    """Workers of section 11 of the design, over HTTP."""

    def __init__(
        self,
        timeout: datetime.timedelta = datetime.timedelta(seconds=2),
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._timeout = timeout.total_seconds()
        self._http = _certificates.HttpClient(
            certificates,
            num_pools=_ADDRESSES_LIMIT,
            maxsize=_CONNECTIONS_LIMIT,
            retries=False,
        )

    def read_fence(
        self, address: str
    ) -> result.Result[FenceStatus, _errors.Failure]:
        """Return the fence and the number of running tasks."""
        return self._call(address, 'GET', '/v1/fence').bind(_decode_fence)

    def raise_fence(
        self, address: str, seen: FenceStatus, epoch: int, pool: str
    ) -> result.Result[FenceStatus, _errors.Failure]:
        """Raise the fence; CONFLICT when it is no longer the one seen."""
        body = {'epoch': epoch, 'pool': pool}
        headers = {'If-Match': seen.etag}
        return self._call(address, 'PUT', '/v1/fence', body, headers).bind(
            _decode_fence
        )

    def acquire_lease(
        self,
        address: str,
        holder: str,
        epoch: int,
        pool: str,
        slots: int,
        ttl: datetime.timedelta,
    ) -> result.Result[SlotLease, _errors.Failure]:
        """Take slots; WORKER_REFUSED when there is none to have."""
        body = {
            'holder': holder,
            'epoch': epoch,
            'pool': pool,
            'slots': slots,
            'ttl_seconds': ttl.total_seconds(),
        }
        return self._call(address, 'POST', '/v1/leases', body).bind(
            _decode_lease
        )

    def renew_lease(
        self, address: str, lease_id: str, ttl: datetime.timedelta
    ) -> result.Result[None, _errors.Failure]:
        """Extend a lease; LEASE_LOST when it has expired."""
        body = {'ttl_seconds': ttl.total_seconds()}
        path = f'/v1/leases/{urllib.parse.quote(lease_id, safe="")}'
        return self._call(address, 'PUT', path, body).bind(
            lambda reply: (
                result.Success(None)
                if reply[0] == 200
                else _fail(ErrorKind.LEASE_LOST, str(reply[1]))
            )
        )

    def release_lease(self, address: str, lease_id: str) -> None:
        """Give a lease back, as far as the worker can be reached."""
        quoted = urllib.parse.quote(lease_id, safe='')
        self._call(address, 'DELETE', f'/v1/leases/{quoted}')

    def run_task(
        self, address: str, lease_id: str, task: Task
    ) -> result.Result[TaskResult, _errors.Failure]:
        """Run a task and return when it has ended."""
        milliseconds = task.timeout // datetime.timedelta(milliseconds=1)
        headers = {
            'Lease-Id': lease_id,
            'Request-Key': task.key,
            'Timeout-Ms': str(milliseconds),
            'Job': task.job,
        }
        try:
            response = self._http.manager.request(
                'POST',
                f'{_fields.build_url(address)}/v1/tasks{task.path}',
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self._timeout, read=task.timeout.total_seconds()
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            return _fail(ErrorKind.WORKER_UNREACHABLE, f'{address}: {error}')
        refused = response.headers.get('Task-Started') == 'false'
        return result.Success(TaskResult(not refused, response.status))

    def find_task(
        self, address: str, key: str
    ) -> result.Result[dict[str, Any] | None, _errors.Failure]:
        """Return what the worker knows of a task, None when nothing."""
        path = f'/v1/tasks/{urllib.parse.quote(key, safe="")}'
        return self._call(address, 'GET', path).bind(
            lambda reply: (
                result.Success(reply[1] if reply[0] == 200 else None)
                if reply[0] in (200, 404)
                else _fail(ErrorKind.WORKER_REFUSED, str(reply[1]))
            )
        )

    def control_task(
        self, address: str, key: str, action: str
    ) -> result.Result[None, _errors.Failure]:
        """Checkpoint, throttle or stop a running task."""
        path = f'/v1/tasks/{urllib.parse.quote(key, safe="")}/{action}'
        return self._call(address, 'POST', path).map(lambda _: None)

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> result.Result[tuple[int, dict[str, Any]], _errors.Failure]:
        try:
            response = self._http.manager.request(
                method,
                _fields.build_url(address) + path,
                body=None if body is None else json.dumps(body),
                headers=headers,
                timeout=self._timeout,
            )
            answer = json.loads(response.data or b'{}')
            if 'ETag' in response.headers:
                answer['etag'] = response.headers['ETag']
        except (urllib3.exceptions.HTTPError, ValueError, TypeError) as error:
            return _fail(ErrorKind.WORKER_UNREACHABLE, f'{address}: {error}')
        if response.status >= 500 or not isinstance(answer, dict):
            text = f'{address}: status {response.status}'
            return _fail(ErrorKind.WORKER_UNREACHABLE, text)
        return result.Success((response.status, answer))


def _fail(kind: ErrorKind, message: str) -> result.Result[Any, Any]:
    return result.Failure(_errors.Failure(kind, message))


def _decode_fence(
    reply: tuple[int, dict[str, Any]],
) -> result.Result[FenceStatus, _errors.Failure]:
    status, body = reply
    if status != 200:
        return _fail(ErrorKind.CONFLICT, f'the fence is {body}')
    return result.Success(
        FenceStatus(
            int(body.get('epoch') or 0),
            body.get('pool'),
            int(body['running']),
            str(body['boot_id']),
            str(body['etag']),
        )
    )


def _decode_lease(
    reply: tuple[int, dict[str, Any]],
) -> result.Result[SlotLease, _errors.Failure]:
    status, body = reply
    if status != 200:
        return _fail(ErrorKind.WORKER_REFUSED, str(body.get('reason')))
    return result.Success(SlotLease(body['lease_id'], int(body['slots'])))
