"""WSGI applications for the requests of callers and for readiness.

The host and the longest matching prefix of the path select the queue; the
rest of the path is the id of a job.
"""

from collections.abc import Callable, Iterable
import datetime
import logging
import re
from typing import Any, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _guards
from skylarktally import _metrics
from skylarktally import _replies
from skylarktally.scheduling import _work

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind
Failure = _errors.Failure

_JOB_ID = re.compile('[0-9a-f]{16}')
_DEADLINE_HEADER = 'HTTP_X_SKYLARKTALLY_DEADLINE_MS'
_DEFAULT_DEADLINE = datetime.timedelta(seconds=3)
# A caller may wait longer; then the request is given up earlier.
_MAX_DEADLINE_MS = 600000
# Digits of a header with a number.
_DIGITS = re.compile('[0-9]{1,20}')
# Time reserved for sending the response before the caller's deadline; also the
# shortest timeout of a request.
_RESPONSE_MARGIN = datetime.timedelta(seconds=0.15)
# Characters of the path of a request in a log line.
_MAX_LOGGED_PATH = 300
_METHODS = frozenset({'GET', 'POST', 'DELETE'})
# Status for a job that does not exist.
_UNKNOWN_JOB_STATUS = 410

Environment = dict[str, Any]
StartResponse = Callable[..., Any]


class JobService(Protocol):
    """Submits, shows, cancels and counts jobs."""

    def submit(
        self,
        queue: _work.Queue,
        job: str,
        body: bytes,
        timeout: datetime.timedelta,
    ) -> result.Result[None, Failure]:
        """Submit a job; a success means that it is stored."""

    def show(
        self, queue: _work.Queue, job: str, timeout: datetime.timedelta
    ) -> result.Result[_work.JobState, Failure]:
        """Return the state of a job."""

    def cancel(
        self, queue: _work.Queue, job: str, timeout: datetime.timedelta
    ) -> result.Result[_work.JobState, Failure]:
        """Cancel a job; a success means that this is stored."""

    def count(
        self, queue: _work.Queue, timeout: datetime.timedelta
    ) -> result.Result[int, Failure]:
        """Return the number of jobs that have not started."""


class Ingress:
    """WSGI application that serves callers."""

    def __init__(
        self,
        jobs: JobService,
        get_configuration: Callable[[], _work.Configuration | None],
        is_stopping: Callable[[], bool],
        metrics: _metrics.EntryMetrics,
        clock: _clock.Clock,
    ) -> None:
        self.in_progress = 0
        self._metrics = metrics
        self._clock = clock
        self._jobs = jobs
        self._get_configuration = get_configuration
        self._is_stopping = is_stopping

    def __call__(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to one request."""
        self.in_progress += 1
        started_at = self._clock.monotonic()
        try:
            reply = self._respond(environment)
        except Exception:
            reply = _create_unexpected_reply(environment)
        finally:
            self.in_progress -= 1
        self._record_metrics(environment, reply, started_at)
        if self._is_stopping():
            reply.headers.append(('Connection', 'close'))
        start_response(reply.status, reply.headers)
        return reply.body

    def _record_metrics(
        self,
        environment: Environment,
        reply: _replies.Reply,
        started_at: datetime.timedelta,
    ) -> None:
        # A caller may send any method, but a label needs a bounded value set.
        method = environment['REQUEST_METHOD']
        method = method if method in _METHODS else 'other'
        status = reply.status.split(' ', 1)[0]
        self._metrics.requests.labels(method, status).inc()
        elapsed = self._clock.monotonic() - started_at
        self._metrics.request_seconds.labels(method).observe(
            elapsed.total_seconds()
        )

    def _respond(self, environment: Environment) -> _replies.Reply:
        configuration = self._get_configuration()
        if configuration is None:
            message = 'no configuration has been read yet'
            return _create_refusal(
                Failure(ErrorKind.SHUTTING_DOWN, message), ''
            )
        host = environment.get('HTTP_HOST', '')
        path = environment.get('PATH_INFO', '')
        queue = configuration.match_queue(host, path)
        if queue is None:
            message = f'no queue for {host}{path}'
            return _create_refusal(Failure(ErrorKind.NOT_FOUND, message), '')
        job = path.removeprefix(queue.prefix)
        timeout = _read_timeout(environment)
        if timeout is None:
            message = 'the deadline is not a number of milliseconds'
            return _create_refusal(
                Failure(ErrorKind.INVALID_REQUEST, message), job
            )
        if not job:
            return self._count(environment, queue, timeout)
        if not _JOB_ID.fullmatch(job):
            message = 'the id of a job is 16 hexadecimal digits'
            return _create_refusal(
                Failure(ErrorKind.INVALID_REQUEST, message), job
            )
        method = environment['REQUEST_METHOD']
        if method == 'POST':
            body_limit = configuration.body_limit_bytes
            return self._submit(environment, queue, job, timeout, body_limit)
        if method == 'GET':
            return _create_state_reply(
                self._jobs.show(queue, job, timeout), job
            )
        if method == 'DELETE':
            cancelled = self._jobs.cancel(queue, job, timeout)
            return _create_state_reply(cancelled, job)
        message = f'method {method} is not supported'
        return _create_refusal(
            Failure(ErrorKind.INVALID_REQUEST, message), job
        )

    def _count(
        self,
        environment: Environment,
        queue: _work.Queue,
        timeout: datetime.timedelta,
    ) -> _replies.Reply:
        if environment['REQUEST_METHOD'] != 'GET':
            message = 'a queue can only be read'
            return _create_refusal(
                Failure(ErrorKind.INVALID_REQUEST, message), ''
            )
        counted = self._jobs.count(queue, timeout)
        if isinstance(counted, result.Success):
            return _replies.create_json_reply(
                200, {'queued_count': counted.unwrap()}
            )
        return _create_refusal(counted.failure(), '')

    def _submit(
        self,
        environment: Environment,
        queue: _work.Queue,
        job: str,
        timeout: datetime.timedelta,
        body_limit: int,
    ) -> _replies.Reply:
        length = environment.get('CONTENT_LENGTH') or '0'
        if not _DIGITS.fullmatch(length):
            message = 'invalid Content-Length'
            return _create_refusal(
                Failure(ErrorKind.INVALID_REQUEST, message), job
            )
        if int(length) > body_limit:
            message = f'the body is above {body_limit} bytes'
            return _create_refusal(
                Failure(ErrorKind.BODY_TOO_LARGE, message), job
            )
        body = environment['wsgi.input'].read()
        accepted = self._jobs.submit(queue, job, body, timeout)
        if isinstance(accepted, result.Success):
            return _replies.create_json_reply(200, {})
        return _create_refusal(accepted.failure(), job)


def _read_timeout(environment: Environment) -> datetime.timedelta | None:
    """Return the timeout of a request; None if its deadline is malformed."""
    deadline = _DEFAULT_DEADLINE
    text = environment.get(_DEADLINE_HEADER, '')
    if text:
        if not _DIGITS.fullmatch(text):
            return None
        milliseconds = min(int(text), _MAX_DEADLINE_MS)
        deadline = datetime.timedelta(milliseconds=milliseconds)
    return max(deadline - _RESPONSE_MARGIN, _RESPONSE_MARGIN)


def _create_state_reply(
    shown: result.Result[_work.JobState, Failure], job: str
) -> _replies.Reply:
    if isinstance(shown, result.Success):
        return _replies.create_json_reply(200, {'state': shown.unwrap().value})
    failure = shown.failure()
    if failure.kind is ErrorKind.NOT_FOUND:
        return _replies.create_json_reply(
            _UNKNOWN_JOB_STATUS, {'error': failure.message}
        )
    return _create_refusal(failure, job)


def _create_unexpected_reply(environment: Environment) -> _replies.Reply:
    """Return the reply to a request whose handler raised an exception.

    The outcome is unknown, so that the caller asks again under the same id.
    """
    path = environment.get('PATH_INFO', '')[:_MAX_LOGGED_PATH]
    _guards.record_error('request', path=path)
    message = 'the request was interrupted by an unexpected error'
    return _replies.create_error_reply(
        Failure(ErrorKind.OUTCOME_UNKNOWN, message), ''
    )


def _create_refusal(failure: Failure, job: str) -> _replies.Reply:
    _LOG.info(
        'request refused',
        extra={
            'job': job,
            'error': failure.kind.value,
            'reason': failure.message,
        },
    )
    return _replies.create_error_reply(failure, job)


def create_readiness_application(
    is_ready: Callable[[], bool],
) -> Callable[[Environment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application that reports readiness."""

    def answer(
        environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        del environment
        reply = _replies.create_json_reply(200 if is_ready() else 503, {})
        start_response(reply.status, reply.headers)
        return reply.body

    return answer
