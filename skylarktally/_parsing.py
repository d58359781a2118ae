"""First step of the request path: builds an exchange of a request."""

import datetime
import re
from typing import Any, Protocol
from urllib import parse
import uuid

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _exchange
from skylarktally import _limits
from skylarktally import _resources

_PATH = re.compile('/v1/pools/([^/]+)/jobs/([^/]+)(?:/(.*))?')
_KEY = re.compile('[!-~]{1,255}')
_SAFE_METHODS = {'GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'}
# Headers that are not relayed to a worker: those of the connection with the
# caller, and those that only the router may set or uses itself.
_DROPPED_HEADERS = {
    'authorization',
    'connection',
    'content-length',
    'expect',
    'host',
    'idempotency-key',
    'job',
    'keep-alive',
    'lease-id',
    'proxy-authorization',
    'proxy-connection',
    'request-key',
    'te',
    'timeout-ms',
    'trailer',
    'transfer-encoding',
    'upgrade',
}


class Fleet(Protocol):
    """Resources of the fleet, as far as parsing uses them."""

    def find(
        self, kind: _resources.Kind, name: str
    ) -> _resources.Resource | None:
        """Return a resource by kind and name."""


class _RefusedRequest(Exception):
    def __init__(self, kind: _errors.ErrorKind, message: str) -> None:
        super().__init__(message)
        self.failure = _errors.Failure(kind, message)


class Parser:
    """Builds exchanges and refuses requests that are invalid."""

    def __init__(
        self,
        fleet: Fleet,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._limits = limits

    def parse(
        self, environ: dict[str, Any]
    ) -> result.Result[_exchange.Exchange, _errors.Failure]:
        """Return the exchange of a request, without reading its body."""
        try:
            return result.Success(self._parse(environ))
        except _RefusedRequest as error:
            return result.Failure(error.failure)

    def _parse(self, environ: dict[str, Any]) -> _exchange.Exchange:
        path = environ['RAW_PATH_INFO']
        match = _PATH.fullmatch(path)
        if match is None:
            raise _RefusedRequest(_errors.ErrorKind.NOT_FOUND, 'no such path')
        pool, job_name, subpath = match.groups(default='')
        _check_dot_segments(subpath)
        resource = self._find_job(parse.unquote(pool), parse.unquote(job_name))
        job = _read_job(resource)
        method = environ['REQUEST_METHOD']
        declared = resource['spec'].get('idempotent')
        idempotent = _read_idempotent(environ, declared, method)
        return _exchange.Exchange(
            request_id=uuid.uuid4().hex,
            pool=job.pool,
            subpath=subpath,
            query=environ.get('QUERY_STRING', ''),
            method=method,
            headers=_copy_headers(environ),
            job=job,
            key=_read_key(environ, idempotent),
            idempotent=idempotent,
            deadline=self._clock.monotonic() + self._read_timeout(environ),
            body=self._open_body(environ),
            forwarded=bool(
                _exchange.find_header(environ, 'Skylarktally-Forwarded')
            ),
            path=path,
            authorization=environ.get('HTTP_AUTHORIZATION'),
        )

    def _find_job(self, pool: str, name: str) -> _resources.Resource:
        resource = self._fleet.find(_resources.Kind.JOB, name)
        if resource is None or resource['spec'].get('pool') != pool:
            raise _RefusedRequest(
                _errors.ErrorKind.NOT_FOUND, f'no job {name} in pool {pool}'
            )
        return resource

    def _read_timeout(self, environ: dict[str, Any]) -> datetime.timedelta:
        text = _exchange.find_header(environ, 'Skylarktally-Timeout-Ms')
        if text is None:
            return self._limits.default_deadline
        if not re.fullmatch('[0-9]{1,9}', text) or int(text) == 0:
            raise _RefusedRequest(
                _errors.ErrorKind.INVALID_REQUEST,
                'Skylarktally-Timeout-Ms is not a number of milliseconds',
            )
        timeout = datetime.timedelta(milliseconds=int(text))
        return min(timeout, self._limits.max_deadline)

    def _open_body(self, environ: dict[str, Any]) -> _exchange.RequestBody:
        transfer_encoding = environ.get('HTTP_TRANSFER_ENCODING')
        length: int | None = None
        if transfer_encoding is None:
            # The server has already refused a length that is not a number.
            length = int(environ.get('CONTENT_LENGTH') or 0)
        if length is not None and length > self._limits.max_body_bytes:
            raise _RefusedRequest(
                _errors.ErrorKind.BODY_TOO_LARGE,
                f'the body is longer than {self._limits.max_body_bytes} bytes',
            )
        return _exchange.RequestBody(
            environ['wsgi.input'],
            length,
            self._limits.chunk_bytes,
            self._limits.max_body_bytes,
        )


def _check_dot_segments(subpath: str) -> None:
    # The path at the worker is /v1/tasks/ and the subpath. A worker that
    # resolves dot segments would route such a request to another part of its
    # own interface.
    for segment in parse.unquote(parse.unquote(subpath)).split('/'):
        if segment in ('.', '..'):
            raise _RefusedRequest(
                _errors.ErrorKind.INVALID_REQUEST, 'dot segment in the path'
            )


def _read_job(resource: _resources.Resource) -> _resources.Job:
    spec = _resources.pick_fields(_resources.Job, resource['spec'])
    return _resources.Job(name=resource['name'], **spec)


def _read_idempotent(
    environ: dict[str, Any], declared: bool | None, method: str
) -> bool:
    text = _exchange.find_header(environ, 'Skylarktally-Idempotent')
    if text is None:
        return method in _SAFE_METHODS if declared is None else declared
    if text not in ('true', 'false'):
        raise _RefusedRequest(
            _errors.ErrorKind.INVALID_REQUEST,
            'Skylarktally-Idempotent is neither true nor false',
        )
    return text == 'true'


def _read_key(environ: dict[str, Any], idempotent: bool) -> str | None:
    key = _exchange.find_header(environ, 'Idempotency-Key')
    if key is None:
        if not idempotent:
            raise _RefusedRequest(
                _errors.ErrorKind.INVALID_REQUEST,
                'a non-idempotent request needs an Idempotency-Key',
            )
        return None
    if not _KEY.fullmatch(key):
        raise _RefusedRequest(
            _errors.ErrorKind.INVALID_REQUEST, 'bad Idempotency-Key'
        )
    return key


def _copy_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    raw = environ['headers_raw']
    connection_tokens = {
        token.strip().lower()
        for name, value in raw
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    return [
        (name, value)
        for name, value in raw
        if name.lower() not in _DROPPED_HEADERS
        and name.lower() not in connection_tokens
        and not name.lower().startswith('skylarktally-')
    ]
