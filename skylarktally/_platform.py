"""HTTP client shared by the clients of the platform's services."""

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

_MAX_CONNECTIONS = 8
# Errors raised before any byte of the request was sent.
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    # Another request has just closed all connections.
    urllib3.exceptions.ClosedPoolError,
)
# Timeouts, after which the next request would probably time out as well.
_TIMEOUTS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.ReadTimeoutError,
)
# Consecutive responses with status 503 that are taken for an outage.
_OUTAGE_RESPONSES = 2


class Response(NamedTuple):
    """A complete response of the platform."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def read_json(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body)


class PlatformClient:
    """Sends requests within the process's rate limits, without retries."""

    def __init__(
        self,
        address: str,
        limits: _limits.PlatformLimits,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._url = _fields.build_url(address)
        self._limits = limits
        # Whether the last completed call timed out.
        self.is_unresponsive = False
        # Whether the platform or its host refused the last completed calls.
        self.is_refusing = False
        # Number of consecutive responses with status 503.
        self._unavailable_count = 0
        # Limit of a whole call. The read timeout alone doesn't limit it,
        # because it starts again with every byte that arrives.
        self._total_timeout = (
            limits.connect_timeout + 2 * limits.response_timeout
        ).total_seconds()
        self._http = _certificates.HttpClient(
            certificates,
            maxsize=_MAX_CONNECTIONS,
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
        """Send a request; return a response of status below 500 except 429.

        PLATFORM_UNAVAILABLE and RATE_LIMITED mean that the request had no
        effect; OUTCOME_UNKNOWN, only for methods other than GET, that it
        may have had one.
        """
        is_read = method == 'GET'
        bucket = self._limits.reads if is_read else self._limits.writes
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
        timeout = _loop.Timeout(self._total_timeout)
        try:
            response = self._http.manager.request(
                method, self._url + path, body=body, headers=headers
            )
        except _NOT_SENT as error:
            self._record_error(error)
            return _fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            self._record_error(error)
            # The other idle connections may be broken in the same way.
            self._http.manager.clear()
            return _fail(_choose_kind(method), str(error))
        except _loop.Timeout as expired:
            if expired is not timeout:
                raise
            self.is_unresponsive, self.is_refusing = True, False
            self._http.manager.clear()
            return _fail(_choose_kind(method), 'the request timed out')
        finally:
            timeout.cancel()
        self.is_unresponsive = False
        self._unavailable_count = (
            self._unavailable_count + 1 if response.status == 503 else 0
        )
        # A single response with status 503 isn't taken for an outage,
        # because claims would be refused until the next poll of the log, up
        # to 2 s later.
        self.is_refusing = self._unavailable_count >= _OUTAGE_RESPONSES
        if response.status == 429:
            return _fail(
                _errors.ErrorKind.RATE_LIMITED, 'rate limit of the platform'
            )
        if response.status == 503:
            return _fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE, 'status 503')
        if response.status >= 500:
            return _fail(_choose_kind(method), f'status {response.status}')
        return result.Success(
            Response(response.status, response.headers, response.data)
        )

    def _record_error(self, error: Exception) -> None:
        self.is_unresponsive = isinstance(error, _TIMEOUTS)
        self.is_refusing = isinstance(
            error, urllib3.exceptions.NewConnectionError
        )


def report_unexpected_status(
    response: Response,
) -> result.Result[Any, _errors.Failure]:
    """Return the failure for a response with an unexpected status."""
    return _fail(
        _errors.ErrorKind.INTERNAL,
        f'unexpected status {response.status} from the platform: '
        f'{response.body[:200]!r}',
    )


def _choose_kind(method: str) -> _errors.ErrorKind:
    if method == 'GET':
        return _errors.ErrorKind.PLATFORM_UNAVAILABLE
    return _errors.ErrorKind.OUTCOME_UNKNOWN


def _fail(
    kind: _errors.ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
