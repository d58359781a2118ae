"""One attempt: sends a request to a worker and reads its response."""

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
    """Why an attempt got no response that can be relayed."""

    failure_class: _retries.FailureClass
    message: str
    # Whether the worker may have processed any part of the request.
    may_have_run: bool
    # Whether the worker could not be reached on a new connection.
    worker_unreachable: bool = False
    # Whether no response arrived although a probe on a new connection showed
    # that the worker responds and that the task does not run.
    connection_unresponsive: bool = False
    # Whether the failure counts towards the ejection of the worker.
    counts_against_worker: bool = True
    retry_after: datetime.timedelta | None = None
    # Whether the lease id never reached the worker, so that the lease can be
    # used for another task.
    lease_unused: bool = False


class Destination(NamedTuple):
    """Address and path of an attempt, and the headers to add."""

    address: str
    path: str
    headers: tuple[tuple[str, str], ...]
    # Key by which the worker identifies the task; empty for a router.
    task_key: str = ''


class Relay:
    """Sends requests to workers and other routers."""

    def __init__(
        self,
        connections: _connections.ConnectionPool,
        worker_client: _worker_client.WorkerClient,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
    ) -> None:
        self._connections = connections
        self._worker_client = worker_client
        self._clock = clock
        self._limits = limits

    def send(
        self, exchange: _exchange.Exchange, destination: Destination
    ) -> result.Result[_responses.RelayedResponse, AttemptFailure]:
        """Make one attempt.

        :raises RequestError: when the request cannot be read or sent on
        """
        opened = self._connections.acquire(destination.address)
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
            attempt = self._attempt(exchange, destination, connection)
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
        destination: Destination,
        connection: _connections.Connection,
    ) -> result.Result[_responses.RelayedResponse, AttemptFailure]:
        try:
            self._write_head(exchange, destination, connection)
        except (ValueError, client.HTTPException) as error:
            raise _exchange.RequestError(
                _errors.ErrorKind.INVALID_REQUEST, str(error)
            ) from error
        connection.set_timeout(self._limits.progress_timeout)
        exchange.sent = True
        self._send_body(exchange, connection)
        waited = self._wait_for_response(exchange, destination, connection)
        if waited is not None:
            return result.Failure(waited)
        connection.set_timeout(self._limits.response_timeout)
        response = connection.getresponse()
        fault = _find_head_fault(
            response, exchange.method, destination.task_key
        )
        if fault is not None:
            return _fail(fault)
        if (
            response.status == 409
            and response.getheader('Task-Started') == 'false'
        ):
            return _build_refusal(response)
        relayed = _responses.RelayedResponse(
            response,
            connection,
            self._connections,
            exchange.method,
            self._limits,
        )
        relayed.read_first_chunk()
        return result.Success(relayed)

    def _write_head(
        self,
        exchange: _exchange.Exchange,
        destination: Destination,
        connection: _connections.Connection,
    ) -> None:
        path = destination.path
        if exchange.query:
            path += '?' + exchange.query
        connection.putrequest(exchange.method, path, skip_accept_encoding=True)
        for name, value in (*exchange.headers, *destination.headers):
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
        # A caller that sends one byte at a time never exceeds the progress
        # timeout. Only the deadline keeps it from occupying the slot.
        late = _exchange.RequestError(
            _errors.ErrorKind.REQUEST_TIMEOUT, 'body: the deadline passed'
        )
        try:
            with _loop.Timeout(max(left.total_seconds(), 0.001), late):
                connection.endheaders(
                    exchange.body.iterate(), encode_chunked=chunked
                )
        except OSError:
            # A worker that refuses a task may close the connection before it
            # has read the body. Its response can then still be read.
            if not _loop.wait_readable(connection.sock, 0.1):
                raise

    def _wait_for_response(
        self,
        exchange: _exchange.Exchange,
        destination: Destination,
        connection: _connections.Connection,
    ) -> AttemptFailure | None:
        """Wait for the first byte of the response.

        Probes the task each time that nothing has arrived for the response
        timeout.
        """
        start = self._clock.monotonic()
        while True:
            left = exchange.deadline - self._clock.monotonic()
            if left <= datetime.timedelta():
                waited = self._clock.monotonic() - start
                counts_against_worker = waited > compute_answer_timeout(
                    exchange, self._limits
                )
                return _build_transport_failure(
                    'the deadline passed',
                    counts_against_worker=counts_against_worker,
                )
            wait = min(left, self._limits.response_timeout)
            if _loop.wait_readable(connection.sock, wait.total_seconds()):
                return None
            if not destination.task_key or wait == left:
                continue
            fault = self._probe_task(destination, connection)
            if fault is not None:
                return fault

    def _probe_task(
        self, destination: Destination, connection: _connections.Connection
    ) -> AttemptFailure | None:
        """Ask the worker on a new connection whether the task still runs.

        :returns: None if it does, if the response has arrived meanwhile, or
            if no connection is free for the probe
        """
        called = self._worker_client.call(
            destination.address,
            'GET',
            '/v1/tasks/' + parse.quote(destination.task_key, safe=''),
            None,
            self._limits.probe_timeout,
            new_connection=True,
        )
        if not isinstance(called, result.Success):
            failure = called.failure()
            if failure.kind is _errors.ErrorKind.NO_CAPACITY:
                return None
            return _build_transport_failure(
                failure.message, worker_unreachable=True
            )
        reply = called.unwrap()
        if reply.status == 200 and reply.data.get('end') is None:
            return None
        # The response may have arrived during the probe.
        if _loop.wait_readable(connection.sock, 0.05):
            return None
        return _build_transport_failure(
            'no data arrives on the connection',
            connection_unresponsive=True,
            counts_against_worker=False,
        )


def compute_answer_timeout(
    exchange: _exchange.Exchange, limits: _limits.ServingLimits
) -> datetime.timedelta:
    """Return the time after which a missing response is the worker's fault.

    Declared run times can be wrong by a factor of up to 4.
    """
    usual = datetime.timedelta(seconds=4 * exchange.job.expected_seconds)
    return max(usual, limits.response_timeout)


def _find_head_fault(
    response: client.HTTPResponse, method: str, task_key: str
) -> str | None:
    """Return why the head of a response cannot be trusted, or None."""
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
    """Return the delay in Retry-After, if it is given in seconds."""
    for name, value in headers.items():
        if name.lower() == 'retry-after' and value.isdecimal():
            return datetime.timedelta(seconds=min(int(value[:6]), 3600))
    return None


def _build_refusal(
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


def _build_transport_failure(
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
    return result.Failure(_build_transport_failure(message))
