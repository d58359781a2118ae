"""HTTP client that the clients of the platform's services share."""

from collections.abc import Mapping
import json
from typing import Any, NamedTuple

from returns import result
import urllib3

from skylarktally import _certificates
from skylarktally import _errors
from skylarktally import _fields
from skylarktally import _limits
from skylarktally import _loop

_CONNECTIONS_LIMIT = 8
# Errors raised before any byte of the request was sent.
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    # Another request has just replaced the connections.
    urllib3.exceptions.ClosedPoolError,
)
# Errors after which the next request would wait in vain as well.
_NO_ANSWER = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.ReadTimeoutError,
)


# Answers with status 503 in a row that stand for an outage.
_UNAVAILABLE_ANSWERS = 2


class Response(NamedTuple):
    """A complete answer of the platform."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def read_json(self) -> Any:
        """Decode the body."""
        return json.loads(self.body)


class PlatformClient:
    """Sends requests within the process's limits, each at most once."""

    def __init__(
        self,
        address: str,
        limits: _limits.PlatformLimits,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._url = _fields.build_url(address)
        self._limits = limits
        # Whether the last call that ended got no answer in time.
        self.silent = False
        # Whether it was refused, by the platform or its host.
        self.refused = False
        # Answers with status 503 in a row.
        self._unavailable = 0
        # The timeout of a read starts anew with every byte that arrives.
        self._longest = (
            limits.connect_timeout + 2 * limits.response_timeout
        ).total_seconds()
        self._http = _certificates.HttpClient(
            certificates,
            maxsize=_CONNECTIONS_LIMIT,
            retries=False,
            timeout=urllib3.Timeout(
                connect=limits.connect_timeout.total_seconds(),
                read=limits.response_timeout.total_seconds(),
            ),
        )

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> result.Result[Response, _errors.Failure]:
        """Send a request and return its answer, of any status below 500.

        PLATFORM_UNAVAILABLE and RATE_LIMITED mean that it had no effect;
        OUTCOME_UNKNOWN, only for methods other than GET, that it may have.
        """
        reading = method == 'GET'
        bucket = self._limits.reads if reading else self._limits.writes
        return bucket.acquire().bind(
            lambda _: self._exchange(method, path, body, headers)
        )

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
    ) -> result.Result[Response, _errors.Failure]:
        timeout = _loop.Timeout(self._longest)
        try:
            answer = self._http.manager.request(
                method, self._url + path, body=body, headers=headers
            )
        except _NOT_SENT as error:
            self._note_error(error)
            return _fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            self._note_error(error)
            # The other idle connections may have gone silent as well.
            self._http.manager.clear()
            return _fail(_choose_kind(method), str(error))
        except _loop.Timeout as expired:
            if expired is not timeout:
                raise
            self.silent, self.refused = True, False
            self._http.manager.clear()
            return _fail(_choose_kind(method), 'the answer took too long')
        finally:
            timeout.cancel()
        self.silent = False
        self._unavailable = (
            self._unavailable + 1 if answer.status == 503 else 0
        )
        # One such answer among others is no outage: claims would be
        # refused until the next poll of the log, 2 s later.
        self.refused = self._unavailable >= _UNAVAILABLE_ANSWERS
        if answer.status == 429:
            return _fail(_errors.ErrorKind.RATE_LIMITED, 'platform limit')
        if answer.status == 503:
            return _fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE, 'status 503')
        if answer.status >= 500:
            return _fail(_choose_kind(method), f'status {answer.status}')
        return result.Success(
            Response(answer.status, answer.headers, answer.data)
        )

    def _note_error(self, error: Exception) -> None:
        self.silent = isinstance(error, _NO_ANSWER)
        self.refused = isinstance(error, urllib3.exceptions.NewConnectionError)


def explain_status(
    response: Response,
) -> result.Result[Any, _errors.Failure]:
    """Turn an answer that the protocol does not foresee into a failure."""
    return _fail(
        _errors.ErrorKind.INTERNAL,
        f'platform answered {response.status}: {response.body[:200]!r}',
    )


def _choose_kind(method: str) -> _errors.ErrorKind:
    if method == 'GET':
        return _errors.ErrorKind.PLATFORM_UNAVAILABLE
    return _errors.ErrorKind.OUTCOME_UNKNOWN


def _fail(
    kind: _errors.ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
