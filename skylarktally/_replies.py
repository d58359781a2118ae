"""Responses to callers, in the form that WSGI needs."""

from collections.abc import Callable, Iterable, Iterator
from http import client
import json
import math
from typing import Any, NamedTuple

from skylarktally import _errors


class Reply(NamedTuple):
    """Status line, headers and body of a response."""

    status: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]
    # Releases the resources of the response; called once, also if the body
    # is never read.
    close: Callable[[], None] = lambda: None


def format_status(status: int, reason: str = '') -> str:
    """Return a status line without the protocol version.

    :param reason: empty for the standard phrase of the status
    """
    return f'{status} {reason or client.responses.get(status, "Unknown")}'


def create_error_reply(failure: _errors.Failure, request_id: str) -> Reply:
    """Return the response that reports a failure, with a JSON body."""
    response = failure.find_response()
    seconds = None
    if response.retry_after is not None:
        seconds = max(math.ceil(response.retry_after.total_seconds()), 1)
    error = {
        'kind': failure.kind.value,
        'outcome': response.outcome.value,
        'message': failure.message,
        'retry_after_seconds': seconds,
        'request_id': request_id,
    }
    reply = create_json_reply(response.status, {'error': error})
    reply.headers.append(('Skylarktally-Outcome', response.outcome.value))
    reply.headers.append(('Skylarktally-Request-Id', request_id))
    if seconds is not None:
        reply.headers.append(('Retry-After', str(seconds)))
    return reply


def create_json_reply(status: int, data: dict[str, Any]) -> Reply:
    """Return a response with a JSON body."""
    body = json.dumps(data).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    return Reply(format_status(status), headers, [body])


class ReplyBody:
    """WSGI iterable that calls a function once when it is closed."""

    def __init__(self, reply: Reply, on_close: Callable[[], None]) -> None:
        self._chunks: Iterator[bytes] = iter(reply.body)
        self._close = reply.close
        self._on_close: Callable[[], None] | None = on_close

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Release the resources of the response and call back once.

        Further calls have no effect.
        """
        on_close, self._on_close = self._on_close, None
        if on_close is None:
            return
        try:
            self._close()
        finally:
            on_close()
