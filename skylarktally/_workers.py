"""Client of the HTTP interface of workers, as controllers use it."""

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

_CONNECTIONS_PER_WORKER = 2
_CONNECTION_POOLS = 512


class FenceStatus(NamedTuple):
    """The fence of a worker, and what it reports with it."""

    # 0 while the worker has no fence.
    epoch: int
    pool: str | None
    # Number of running tasks, including those of earlier epochs.
    running: int
    boot_id: str
    # Entity tag of the fence; changes with each fence and each restart.
    etag: str


class SlotLease(NamedTuple):
    """A lease on slots of a worker; tasks run only under a lease."""

    lease_id: str
    slots: int


class Task(NamedTuple):
    """A task that is to be run under a lease."""

    job: str
    # Request key; the worker records the task under it.
    key: str
    # Path below /v1/tasks, with its leading slash.
    path: str
    timeout: datetime.timedelta


class TaskResult(NamedTuple):
    """Outcome of a task; started is False if the worker refused it."""

    started: bool
    # HTTP status of the response.
    status: int


class WorkerApi(Protocol):
    """Interface of the workers; each method takes a worker's address.

    WORKER_UNREACHABLE means that it is unknown whether the call took
    effect.
    """

    def read_fence(
        self, address: str
    ) -> result.Result[FenceStatus, _errors.Failure]:
        """Return the fence of a worker and what else it reports."""

    def raise_fence(
        self, address: str, seen: FenceStatus, epoch: int, pool: str
    ) -> result.Result[FenceStatus, _errors.Failure]:
        """Raise the fence; CONFLICT if it has changed since it was read."""

    def acquire_lease(
        self,
        address: str,
        holder: str,
        epoch: int,
        pool: str,
        slots: int,
        ttl: datetime.timedelta,
    ) -> result.Result[SlotLease, _errors.Failure]:
        """Lease slots; WORKER_REFUSED if the worker grants none."""

    def renew_lease(
        self, address: str, lease_id: str, ttl: datetime.timedelta
    ) -> result.Result[None, _errors.Failure]:
        """Extend a lease; LEASE_LOST if the worker no longer has it."""

    def release_lease(self, address: str, lease_id: str) -> None:
        """Release a lease; an unreachable worker lets it expire."""

    def run_task(
        self, address: str, lease_id: str, task: Task
    ) -> result.Result[TaskResult, _errors.Failure]:
        """Run a task and wait until it has ended."""

    def find_task(
        self, address: str, key: str
    ) -> result.Result[dict[str, Any] | None, _errors.Failure]:
        """Return the worker's record of a task, or None without one."""

    def control_task(
        self, address: str, key: str, action: str
    ) -> result.Result[None, _errors.Failure]:
        """Request a checkpoint, throttle or stop of a running task."""


class HttpWorkerApi:
    """Worker interface of section 11 of the design, over HTTP."""

    def __init__(
        self,
        timeout: datetime.timedelta = datetime.timedelta(seconds=2),
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._timeout = timeout.total_seconds()
        self._http = _certificates.HttpClient(
            certificates,
            num_pools=_CONNECTION_POOLS,
            maxsize=_CONNECTIONS_PER_WORKER,
            retries=False,
        )

    def read_fence(
        self, address: str
    ) -> result.Result[FenceStatus, _errors.Failure]:
        """Return the fence of a worker and what else it reports."""
        return self._call(address, 'GET', '/v1/fence').bind(_decode_fence)

    def raise_fence(
        self, address: str, seen: FenceStatus, epoch: int, pool: str
    ) -> result.Result[FenceStatus, _errors.Failure]:
        """Raise the fence; CONFLICT if it has changed since it was read."""
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
        """Lease slots; WORKER_REFUSED if the worker grants none."""
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
        """Extend a lease; LEASE_LOST if the worker no longer has it."""
        body = {'ttl_seconds': ttl.total_seconds()}
        path = f'/v1/leases/{urllib.parse.quote(lease_id, safe="")}'
        return self._call(address, 'PUT', path, body).bind(
            lambda response: (
                result.Success(None)
                if response[0] == 200
                else _fail(ErrorKind.LEASE_LOST, str(response[1]))
            )
        )

    def release_lease(self, address: str, lease_id: str) -> None:
        """Release a lease; an unreachable worker lets it expire."""
        quoted_id = urllib.parse.quote(lease_id, safe='')
        self._call(address, 'DELETE', f'/v1/leases/{quoted_id}')

    def run_task(
        self, address: str, lease_id: str, task: Task
    ) -> result.Result[TaskResult, _errors.Failure]:
        """Run a task and wait until it has ended."""
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
        is_refused = response.headers.get('Task-Started') == 'false'
        return result.Success(TaskResult(not is_refused, response.status))

    def find_task(
        self, address: str, key: str
    ) -> result.Result[dict[str, Any] | None, _errors.Failure]:
        """Return the worker's record of a task, or None without one."""
        path = f'/v1/tasks/{urllib.parse.quote(key, safe="")}'
        return self._call(address, 'GET', path).bind(
            lambda response: (
                result.Success(response[1] if response[0] == 200 else None)
                if response[0] in (200, 404)
                else _fail(ErrorKind.WORKER_REFUSED, str(response[1]))
            )
        )

    def control_task(
        self, address: str, key: str, action: str
    ) -> result.Result[None, _errors.Failure]:
        """Request a checkpoint, throttle or stop of a running task."""
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
            decoded = json.loads(response.data or b'{}')
            if 'ETag' in response.headers:
                decoded['etag'] = response.headers['ETag']
        except (urllib3.exceptions.HTTPError, ValueError, TypeError) as error:
            return _fail(ErrorKind.WORKER_UNREACHABLE, f'{address}: {error}')
        if response.status >= 500 or not isinstance(decoded, dict):
            text = f'{address}: status {response.status}'
            return _fail(ErrorKind.WORKER_UNREACHABLE, text)
        return result.Success((response.status, decoded))


def _fail(kind: ErrorKind, message: str) -> result.Result[Any, Any]:
    return result.Failure(_errors.Failure(kind, message))


def _decode_fence(
    response: tuple[int, dict[str, Any]],
) -> result.Result[FenceStatus, _errors.Failure]:
    status, body = response
    if status != 200:
        return _fail(
            ErrorKind.CONFLICT, f'status {status} for the fence: {body}'
        )
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
    response: tuple[int, dict[str, Any]],
) -> result.Result[SlotLease, _errors.Failure]:
    status, body = response
    if status != 200:
        return _fail(ErrorKind.WORKER_REFUSED, str(body.get('reason')))
    return result.Success(SlotLease(body['lease_id'], int(body['slots'])))
