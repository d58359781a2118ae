"""Answers of the router to callers, in the form that WSGI takes."""

from collections.abc import Callable, Iterable, Iterator
from http import client
import json
import math
from typing import Any, NamedTuple

from skylarktally import _errors


class Reply(NamedTuple):
    """Status line, headers and body of an answer."""

    status: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]
    # Frees what the answer holds; called once, also without a reader.
    close: Callable[[], None] = lambda: None


def format_status(status: int, reason: str = '') -> str:
    """Return a status line without the protocol version."""
    return f'{status} {reason or client.responses.get(status, "Unknown")}'


def create_error_reply(failure: _errors.Failure, request_id: str) -> Reply:
    """Return the answer of a failure."""
    answer = failure.find_response()
    seconds = None
    if answer.retry_after is not None:
        seconds = max(math.ceil(answer.retry_after.total_seconds()), 1)
    error = {
        'kind': failure.kind.value,
        'outcome': answer.outcome.value,
        'message': failure.message,
        'retry_after_seconds': seconds,
        'request_id': request_id,
    }
    reply = create_json_reply(answer.status, {'error': error})
    reply.headers.append(('Skylarktally-Outcome', answer.outcome.value))
    reply.headers.append(('Skylarktally-Request-Id', request_id))
    if seconds is not None:
        reply.headers.append(('Retry-After', str(seconds)))
    return reply


def create_json_reply(status: int, data: dict[str, Any]) -> Reply:
    """Return an answer with a JSON body."""
    body = json.dumps(data).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    return Reply(format_status(status), headers, [body])


class ReplyBody:
    """WSGI iterable that calls back once when it is closed."""

    def __init__(self, reply: Reply, note_end: Callable[[], None]) -> None:
        self._pieces: Iterator[bytes] = iter(reply.body)
        self._close = reply.close
        self._note_end: Callable[[], None] | None = note_end

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces

    def close(self) -> None:
        """Free what the answer holds."""
        note_end, self._note_end = self._note_end, None
        if note_end is None:
            return
        try:
            self._close()
        finally:
            note_end()
