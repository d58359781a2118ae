"""HTTP calls to the platform and to workers, with JSON bodies."""

import datetime
import json
import socket
from typing import Any, NamedTuple
from urllib import parse

from returns import result
import urllib3

from skylarktally import _errors
from skylarktally import _loop

_CONNECT_TIMEOUT = datetime.timedelta(seconds=0.5)
# Idle connections kept open to each address, and number of addresses with
# open connections.
_IDLE_CONNECTIONS = 16
_MAX_ADDRESSES = 512


class Response(NamedTuple):
    """Status and decoded JSON body of a response."""

    status: int
    body: dict[str, Any]


CallOutcome = result.Result[Response, _errors.Failure]


class _Connection(urllib3.connection.HTTPConnection):
    """Connection whose timeouts allow for pauses of this process."""

    def _new_conn(self) -> socket.socket:
        try:
            return _loop.connect_patiently(
                self.host, self.port, _CONNECT_TIMEOUT.total_seconds()
            )
        except TimeoutError as error:
            raise urllib3.exceptions.ConnectTimeoutError(
                self, 'no connection in time'
            ) from error
        except OSError as error:
            raise urllib3.exceptions.NewConnectionError(
                self, str(error)
            ) from error


class _ConnectionPool(urllib3.HTTPConnectionPool):
    """Open connections to one address."""

    ConnectionCls = _Connection


class HttpClient:
    """HTTP client with a connection pool for each address.

    A call that may have reached the server but has no usable response fails
    with OUTCOME_UNKNOWN; a call without a connection was never sent and
    fails with the kind given at construction.
    """

    def __init__(self, unreachable_kind: _errors.ErrorKind) -> None:
        self._unreachable_kind = unreachable_kind
        self._http = urllib3.PoolManager(
            num_pools=_MAX_ADDRESSES,
            maxsize=_IDLE_CONNECTIONS,
            retries=False,
        )
        self._http.pool_classes_by_scheme = {'http': _ConnectionPool}

    def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: datetime.timedelta,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        query: dict[str, Any] | None = None,
    ) -> CallOutcome:
        """Send a request and return its response.

        :param timeout: longest wait for the next data of the response
        """
        url = f'http://{address}{path}'
        if query:
            url = f'{url}?{parse.urlencode(query)}'
        sent = dict(headers or {})
        content = None
        if body is not None:
            sent['Content-Type'] = 'application/json'
            content = json.dumps(body, separators=(',', ':')).encode()
        limit = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT.total_seconds(),
            read=timeout.total_seconds(),
        )
        try:
            response = self._http.request(
                method, url, body=content, headers=sent, timeout=limit
            )
            return result.Success(
                Response(response.status, _decode_body(response.data))
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return _fail(self._unreachable_kind, f'{address}: {error}')
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as error:
            kind = _errors.ErrorKind.OUTCOME_UNKNOWN
            return _fail(kind, f'{address}: {error}')


def _decode_body(data: bytes) -> dict[str, Any]:
    if not data:
        return {}
    body = json.loads(data)
    if not isinstance(body, dict):
        raise ValueError('the body is not a JSON object')
    return body


def _fail(kind: _errors.ErrorKind, message: str) -> CallOutcome:
    return result.Failure(_errors.Failure(kind, message))
