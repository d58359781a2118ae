"""One attempt: a request to a worker and its answer back."""

import datetime
from http import client
from typing import NamedTuple
from urllib import parse

from returns import result

from skylarktally import _clock
from skylarktally import _connections
from skylarktally import _errors
from skylarktally import _exchange
from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _responses
from skylarktally import _retries
from skylarktally import _worker_client


class AttemptFailure(NamedTuple):
    """Why an attempt got no answer that can be relayed."""

    failure_class: _retries.FailureClass
    message: str
    # Whether a byte of the request may have been processed.
    may_have_run: bool
    # The worker answered on no connection.
    worker_unreachable: bool = False
    # The connection went silent while the worker answered a probe.
    connection_unresponsive: bool = False
    # Counts against the worker.
    counts_against_worker: bool = True
    retry_after: datetime.timedelta | None = None
    # The lease never reached the worker and is still good.
    lease_unused: bool = False


class Destination(NamedTuple):
    """Where an attempt goes, with the headers that it needs there."""

    address: str
    path: str
    headers: tuple[tuple[str, str], ...]
    # Key under which the worker knows the task; empty for a router.
    task_key: str = ''


class Relay:
    """Sends requests to workers and other routers."""

    def __init__(
        self,
        connections: _connections.ConnectionPool,
        calls: _worker_client.WorkerClient,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
    ) -> None:
        self._connections = connections
        self._calls = calls
        self._clock = clock
        self._limits = limits

    def send(
        self, exchange: _exchange.Exchange, target: Destination
    ) -> result.Result[_responses.RelayedResponse, AttemptFailure]:
        """Make one attempt.

        :raises RequestError: when the request cannot be read or sent on
        """
        opened = self._connections.acquire(target.address)
        if not isinstance(opened, result.Success):
            failure = opened.failure()
            unreachable = _errors.ErrorKind.WORKER_UNREACHABLE
            worker_unreachable = failure.kind is unreachable
            return result.Failure(
                AttemptFailure(
                    _retries.FailureClass.NOT_STARTED,
                    failure.message,
                    may_have_run=False,
                    worker_unreachable=worker_unreachable,
                    counts_against_worker=worker_unreachable,
                    lease_unused=True,
                )
            )
        connection = opened.unwrap()
        try:
            attempt = self._attempt(exchange, target, connection)
        except (
            OSError,
            client.HTTPException,
            _responses.TruncatedResponse,
        ) as error:
            attempt = _fail(repr(error))
        except BaseException:
            self._connections.close(connection)
            raise
        if not isinstance(attempt, result.Success):
            self._connections.close(connection)
        return attempt

    def _attempt(
        self,
        exchange: _exchange.Exchange,
        target: Destination,
        connection: _connections.Connection,
    ) -> result.Result[_responses.RelayedResponse, AttemptFailure]:
        try:
            self._put_head(exchange, target, connection)
        except (ValueError, client.HTTPException) as error:
            raise _exchange.RequestError(
                _errors.ErrorKind.INVALID_REQUEST, str(error)
            ) from error
        connection.set_timeout(self._limits.progress_timeout)
        exchange.sent = True
        self._send_body(exchange, connection)
        waited = self._wait_for_answer(exchange, target, connection)
        if waited is not None:
            return result.Failure(waited)
        connection.set_timeout(self._limits.response_timeout)
        response = connection.getresponse()
        fault = _check_head(response, exchange.method, target.task_key)
        if fault is not None:
            return _fail(fault)
        if (
            response.status == 409
            and response.getheader('Task-Started') == 'false'
        ):
            return _refuse(response)
        answer = _responses.RelayedResponse(
            response,
            connection,
            self._connections,
            exchange.method,
            self._limits,
        )
        answer.read_first_chunk()
        return result.Success(answer)

    def _put_head(
        self,
        exchange: _exchange.Exchange,
        target: Destination,
        connection: _connections.Connection,
    ) -> None:
        path = target.path
        if exchange.query:
            path += '?' + exchange.query
        connection.putrequest(exchange.method, path, skip_accept_encoding=True)
        for name, value in (*exchange.headers, *target.headers):
            connection.putheader(name, value)
        if exchange.body.length is None:
            connection.putheader('Transfer-Encoding', 'chunked')
        else:
            connection.putheader('Content-Length', str(exchange.body.length))

    def _send_body(
        self,
        exchange: _exchange.Exchange,
        connection: _connections.Connection,
    ) -> None:
        chunked = exchange.body.length is None
        left = exchange.deadline - self._clock.monotonic()
        # A caller that sends a byte at a time always makes progress; only
        # the deadline keeps it from holding the slot.
        late = _exchange.RequestError(
            _errors.ErrorKind.REQUEST_TIMEOUT, 'body: the deadline passed'
        )
        try:
            with _loop.Timeout(max(left.total_seconds(), 0.001), late):
                connection.endheaders(
                    exchange.body.iterate(), encode_chunked=chunked
                )
        except OSError:
            # A worker that refuses may close before it has read the
            # body; its answer is then waiting to be read.
            if not _loop.wait_readable(connection.sock, 0.1):
                raise

    def _wait_for_answer(
        self,
        exchange: _exchange.Exchange,
        target: Destination,
        connection: _connections.Connection,
    ) -> AttemptFailure | None:
        """Wait for the first byte, with checks for a silent connection."""
        start = self._clock.monotonic()
        while True:
            left = exchange.deadline - self._clock.monotonic()
            if left <= datetime.timedelta():
                waited = self._clock.monotonic() - start
                counts_against_worker = waited > compute_answer_timeout(
                    exchange, self._limits
                )
                return _describe(
                    'the deadline passed',
                    counts_against_worker=counts_against_worker,
                )
            wait = min(left, self._limits.response_timeout)
            if _loop.wait_readable(connection.sock, wait.total_seconds()):
                return None
            if not target.task_key or wait == left:
                continue
            fault = self._check_silence(target, connection)
            if fault is not None:
                return fault

    def _check_silence(
        self, target: Destination, connection: _connections.Connection
    ) -> AttemptFailure | None:
        """Ask on a new connection whether the task still runs."""
        called = self._calls.call(
            target.address,
            'GET',
            '/v1/tasks/' + parse.quote(target.task_key, safe=''),
            None,
            self._limits.probe_timeout,
            new_connection=True,
        )
        if not isinstance(called, result.Success):
            failure = called.failure()
            if failure.kind is _errors.ErrorKind.NO_CAPACITY:
                return None
            return _describe(failure.message, worker_unreachable=True)
        reply = called.unwrap()
        if reply.status == 200 and reply.data.get('end') is None:
            return None
        # The answer may have arrived during the probe.
        if _loop.wait_readable(connection.sock, 0.05):
            return None
        return _describe(
            'the connection is silent',
            connection_unresponsive=True,
            counts_against_worker=False,
        )


def compute_answer_timeout(
    exchange: _exchange.Exchange, limits: _limits.ServingLimits
) -> datetime.timedelta:
    """Return the time after which a missing answer is the worker's fault.

    Declared run times are off by up to 4 times.
    """
    usual = datetime.timedelta(seconds=4 * exchange.job.expected_seconds)
    return max(usual, limits.response_timeout)


def _check_head(
    response: client.HTTPResponse, method: str, task_key: str
) -> str | None:
    """Return why an answer cannot be trusted, or None."""
    echoed = response.getheader('Request-Key')
    if task_key and echoed is not None and echoed != task_key:
        return 'the answer belongs to another request'
    if response.status < 200:
        return f'unexpected status {response.status}'
    lengths = response.headers.get_all('Content-Length') or []
    if len(lengths) + (response.chunked is True) > 1:
        return 'the answer has more than one length'
    bodyless = (
        method == 'HEAD' or response.status in _responses.NO_BODY_STATUSES
    )
    if not bodyless and response.length is None and not response.chunked:
        return 'the answer has no length, so its end is unknown'
    return None


def read_retry_after(headers: dict[str, str]) -> datetime.timedelta | None:
    """Return the delay that an answer asks for, if it gives seconds."""
    for name, value in headers.items():
        if name.lower() == 'retry-after' and value.isdecimal():
            return datetime.timedelta(seconds=min(int(value[:6]), 3600))
    return None


def _refuse(
    response: client.HTTPResponse,
) -> result.Result[_responses.RelayedResponse, AttemptFailure]:
    return result.Failure(
        AttemptFailure(
            _retries.FailureClass.NOT_STARTED,
            'the worker refused the task',
            may_have_run=False,
            counts_against_worker=False,
            retry_after=read_retry_after(dict(response.getheaders())),
        )
    )


def _describe(
    message: str,
    worker_unreachable: bool = False,
    connection_unresponsive: bool = False,
    counts_against_worker: bool = True,
) -> AttemptFailure:
    return AttemptFailure(
        _retries.FailureClass.TRANSPORT,
        message,
        may_have_run=True,
        worker_unreachable=worker_unreachable,
        connection_unresponsive=connection_unresponsive,
        counts_against_worker=counts_against_worker,
    )


def _fail(
    message: str,
) -> result.Result[_responses.RelayedResponse, AttemptFailure]:
    return result.Failure(_describe(message))
