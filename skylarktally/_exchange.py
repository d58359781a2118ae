"""A request on its way through the filters, and its body."""

from collections.abc import Iterator
import dataclasses
import datetime
import hashlib
from typing import Any, Protocol

from skylarktally import _errors
from skylarktally import _resources


class Stream(Protocol):
    """Source of body bytes, as the WSGI input is."""

    def read(self, size: int) -> bytes:
        """Return up to that many bytes."""


class RequestError(Exception):
    """The request cannot be read to its end or sent on."""

    def __init__(self, kind: _errors.ErrorKind, message: str) -> None:
        super().__init__(message)
        self.kind = kind


class RequestBody:
    """Body of a request; at most one piece of it is in memory."""

    def __init__(
        self, stream: Stream, length: int | None, piece: int, limit: int
    ) -> None:
        self._stream = stream
        # None for a chunked body.
        self.length = length
        self._piece = piece
        self._limit = limit
        self._taken = 0
        self._finished = False
        self.first_chunk = b''

    @property
    def replayable(self) -> bool:
        """Whether the whole body is in memory and can be sent again."""
        return self._finished and self._taken == len(self.first_chunk)

    def read_first_chunk(self) -> None:
        """Read the first piece, before a slot is taken for the request."""
        parts = []
        size = 0
        while size < self._piece and not self._finished:
            part = self._read(self._piece - size)
            parts.append(part)
            size += len(part)
        self.first_chunk = b''.join(parts)

    def _read(self, size: int) -> bytes:
        if self.length is not None:
            size = min(size, self.length - self._taken)
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
        self._taken += len(data)
        if self._taken > self._limit:
            raise RequestError(
                _errors.ErrorKind.BODY_TOO_LARGE,
                f'the body is longer than {self._limit} bytes',
            )
        if self.length is None:
            self._finished = not data
        elif not data and self._taken < self.length:
            # The server's input reads an early end of stream as empty.
            raise RequestError(
                _errors.ErrorKind.INVALID_REQUEST, 'the body is cut short'
            )
        else:
            self._finished = self._taken == self.length
        return data

    def iterate(self) -> Iterator[bytes]:
        """Yield the body; only a replayable one more than once."""
        if self.first_chunk:
            yield self.first_chunk
        while not self._finished:
            data = self._read(self._piece)
            if data:
                yield data


@dataclasses.dataclass
class Exchange:
    """One request as the filters see it."""

    request_id: str
    pool: str
    # Path below the job, without the leading slash.
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
    # True once this router holds the claim of the key.
    claimed: bool = False
    # True once a byte of it may have reached a worker or router.
    sent: bool = False
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)

    def compute_digest(self) -> str:
        """Return a digest that tells different requests of a key apart."""
        digest = hashlib.sha256()
        length = self.body.length
        for part in (self.method, self.path, self.query, str(length)):
            digest.update(part.encode() + b'\0')
        digest.update(self.body.first_chunk)
        return digest.hexdigest()


def find_header(environ: dict[str, Any], name: str) -> str | None:
    """Return a request header of a WSGI environment."""
    return environ.get('HTTP_' + name.upper().replace('-', '_'))
