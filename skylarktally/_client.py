"""Client of the resource API, for the command line."""

from collections.abc import Iterable, Iterator
import json
import ssl
from typing import Any

from returns import result
import urllib3

from skylarktally import _errors

ErrorKind = _errors.ErrorKind
Body = dict[str, Any]

# Three heartbeat intervals: the API sends an empty line every 5 s.
_WATCH_TIMEOUT_SECONDS = 15.0


class Client:
    """Calls the resource API at the first address that can be reached."""

    def __init__(
        self,
        addresses: Iterable[str],
        token: str,
        timeout: float = 15.0,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Create the client.

        :param timeout: time limit in seconds for connecting and each read
        :param context: TLS context of all calls; plain HTTP if None
        """
        self._addresses = list(addresses)
        self._scheme = 'http' if context is None else 'https'
        self._token = token
        self._timeout = timeout
        self._http = urllib3.PoolManager(retries=False, ssl_context=context)

    def call(
        self,
        method: str,
        path: str,
        body: Body | None = None,
        headers: dict[str, str] | None = None,
    ) -> result.Result[Body, _errors.Failure]:
        """Send a request, to the next address if one cannot be reached.

        This may repeat a request that was carried out, which is safe because
        each operation of the API may be repeated.
        """
        outcome = fail(ErrorKind.INVALID_REQUEST, '--api is required')
        for address in self._addresses:
            outcome = self._call_address(address, method, path, body, headers)
            if isinstance(outcome, result.Success):
                return outcome
            if outcome.failure().kind is not ErrorKind.PEER_UNREACHABLE:
                return outcome
        return outcome

    def call_all(
        self, path: str
    ) -> list[result.Result[Body, _errors.Failure]]:
        """Get a path from all addresses and return the outcome of each."""
        return [
            self._call_address(address, 'GET', path)
            for address in self._addresses
        ]

    def _call_address(
        self,
        address: str,
        method: str,
        path: str,
        body: Body | None = None,
        headers: dict[str, str] | None = None,
    ) -> result.Result[Body, _errors.Failure]:
        try:
            response = self._http.request(
                method,
                self._build_url(address) + path,
                body=None if body is None else json.dumps(body),
                headers={**self._build_headers(), **(headers or {})},
                timeout=self._timeout,
            )
            answer = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return fail(ErrorKind.PEER_UNREACHABLE, f'{address}: {error}')
        if response.status < 400:
            return result.Success(answer)
        return result.Failure(_read_error(answer))

    def _build_url(self, address: str) -> str:
        return f'{self._scheme}://{address.removeprefix("https://")}'

    def _build_headers(self) -> dict[str, str]:
        if not self._token:
            return {}
        return {'Authorization': f'Bearer {self._token}'}

    def follow(
        self, after: int | None
    ) -> Iterator[result.Result[Body, _errors.Failure]]:
        """Yield the messages of a watch until the connection ends."""
        query = '' if after is None else f'?after={after}'
        failure = 'no address'
        for address in self._addresses:
            try:
                response = self._http.request(
                    'GET',
                    f'{self._build_url(address)}/v1/watch{query}',
                    headers=self._build_headers(),
                    preload_content=False,
                    timeout=_WATCH_TIMEOUT_SECONDS,
                )
                try:
                    yield from _read_watch(response)
                finally:
                    response.close()
                return
            except urllib3.exceptions.HTTPError as error:
                failure = f'{address}: {error}'
        yield fail(ErrorKind.PEER_UNREACHABLE, failure)


def _read_watch(
    response: urllib3.BaseHTTPResponse,
) -> Iterator[result.Result[Body, _errors.Failure]]:
    if response.status >= 400:
        yield result.Failure(_read_error(json.loads(response.read())))
        return
    incomplete_line = b''
    # read1 returns the bytes that have arrived. A read of a fixed size would
    # delay the first message until enough later ones arrived.
    while chunk := response.read1(65536):
        *lines, incomplete_line = (incomplete_line + chunk).split(b'\n')
        for line in filter(None, lines):
            yield result.Success(json.loads(line))


def _read_error(answer: Body) -> _errors.Failure:
    error = answer.get('error', {})
    try:
        kind = ErrorKind(error.get('kind'))
    except ValueError:
        kind = ErrorKind.INTERNAL
    return _errors.Failure(kind, str(error.get('message', answer)))


def fail(kind: ErrorKind, message: str) -> result.Result[Any, Any]:
    return result.Failure(_errors.Failure(kind, message))
