"""HTTP calls to the platform and to workers, with JSON bodies."""

import datetime
import json
from typing import Any, NamedTuple
from urllib import parse

from returns import result
import urllib3

from skylarktally import _errors

_CONNECT_TIMEOUT = datetime.timedelta(seconds=0.5)
# Idle connections that are kept to one address.
_IDLE_CONNECTIONS = 16
_MAX_ADDRESSES = 512


class Response(NamedTuple):
    """Status and decoded body of an answer."""

    status: int
    body: dict[str, Any]


CallOutcome = result.Result[Response, _errors.Failure]


class HttpClient:
    """Calls addresses over connections that are kept open.

    A call that may have reached the other side and has no answer fails
    with OUTCOME_UNKNOWN; one that was never sent fails with the kind given
    at construction.
    """

    def __init__(self, unreachable_kind: _errors.ErrorKind) -> None:
        self._unreachable_kind = unreachable_kind
        self._http = urllib3.PoolManager(
            num_pools=_MAX_ADDRESSES,
            maxsize=_IDLE_CONNECTIONS,
            retries=False,
        )

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
        """Send a request and return its answer.

        :param timeout: longest silence while the answer is awaited
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
        raise ValueError('the body is not a mapping')
    return body


def _fail(kind: _errors.ErrorKind, message: str) -> CallOutcome:
    return result.Failure(_errors.Failure(kind, message))
