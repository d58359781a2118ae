"""A request while the filters of the router process it, and its body."""

from collections.abc import Iterator
import dataclasses
import datetime
import hashlib
from typing import Any, Protocol

from skylarktally import _errors
from skylarktally import _resources


class Stream(Protocol):
    """Source of body bytes, such as the WSGI input."""

    def read(self, size: int) -> bytes:
        """Return up to that many bytes, none at the end."""


class RequestError(Exception):
    """The request cannot be read completely or cannot be relayed."""

    def __init__(self, kind: _errors.ErrorKind, message: str) -> None:
        super().__init__(message)
        self.kind = kind


class RequestBody:
    """Body of a request, of which at most one chunk is in memory.

    Lengths and sizes are in bytes.
    """

    def __init__(
        self, stream: Stream, length: int | None, chunk_size: int, limit: int
    ) -> None:
        self._stream = stream
        # None for a chunked body.
        self.length = length
        self._chunk_size = chunk_size
        self._limit = limit
        self._bytes_read = 0
        self._finished = False
        self.first_chunk = b''

    @property
    def replayable(self) -> bool:
        """Whether the whole body is in memory and can be sent again."""
        return self._finished and self._bytes_read == len(self.first_chunk)

    def read_first_chunk(self) -> None:
        """Read the first chunk, so that a slow caller occupies no slot yet.

        :raises RequestError: when the body cannot be read
        """
        parts = []
        size = 0
        while size < self._chunk_size and not self._finished:
            part = self._read(self._chunk_size - size)
            parts.append(part)
            size += len(part)
        self.first_chunk = b''.join(parts)

    def _read(self, size: int) -> bytes:
        if self.length is not None:
            size = min(size, self.length - self._bytes_read)
        try:
            data = self._stream.read(size) if size else b''
        except ValueError as error:
            raise RequestError(
                _errors.ErrorKind.INVALID_REQUEST, str(error)
            ) from error
        except OSError as error:
            raise RequestError(
                _errors.ErrorKind.REQUEST_TIMEOUT, f'body: {error}'
            ) from error
        self._bytes_read += len(data)
        if self._bytes_read > self._limit:
            raise RequestError(
                _errors.ErrorKind.BODY_TOO_LARGE,
                f'the body is longer than {self._limit} bytes',
            )
        if self.length is None:
            self._finished = not data
        elif not data and self._bytes_read < self.length:
            # The WSGI input returns no bytes if the stream ends too early.
            raise RequestError(
                _errors.ErrorKind.INVALID_REQUEST, 'the body is cut short'
            )
        else:
            self._finished = self._bytes_read == self.length
        return data

    def iterate(self) -> Iterator[bytes]:
        """Yield the body; it can be repeated only if it is replayable."""
        if self.first_chunk:
            yield self.first_chunk
        while not self._finished:
            data = self._read(self._chunk_size)
            if data:
                yield data


@dataclasses.dataclass
class Exchange:
    """One request, as the filters pass it on."""

    request_id: str
    pool: str
    # Path after the job, without the leading slash.
    subpath: str
    query: str
    method: str
    headers: list[tuple[str, str]]
    job: _resources.Job
    key: str | None
    idempotent: bool
    # On the monotonic clock.
    deadline: datetime.timedelta
    body: RequestBody
    forwarded: bool
    path: str
    authorization: str | None = None
    # True once this router has been granted the claim of the key.
    claimed: bool = False
    # True once a byte of the request may have reached a worker or router.
    sent: bool = False
    attempts: int = 0
    tried_workers: set[str] = dataclasses.field(default_factory=set)

    def compute_digest(self) -> str:
        """Return a digest that detects a different request with the same key.

        It covers the method, path, query, the length of the body if that
        is known, and the first chunk of the body.
        """
        digest = hashlib.sha256()
        length = self.body.length
        for part in (self.method, self.path, self.query, str(length)):
            digest.update(part.encode() + b'\0')
        digest.update(self.body.first_chunk)
        return digest.hexdigest()


def find_header(environ: dict[str, Any], name: str) -> str | None:
    """Return a request header of a WSGI environment."""
    return environ.get('HTTP_' + name.upper().replace('-', '_'))
