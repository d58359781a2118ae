"""Client of the platform's object store."""

import urllib.parse
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _certificates
from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _platform


class StoredObject(NamedTuple):
    """Content of an object and its entity tag, which changes with it."""

    data: bytes
    etag: str


class ObjectStore(Protocol):
    """The platform's object store; calls fail as those of the table do."""

    def read(
        self, key: str
    ) -> result.Result[StoredObject | None, _errors.Failure]:
        """Return an object, or None if it is absent."""

    def write(
        self,
        key: str,
        data: bytes,
        if_match: str | None = None,
        if_absent: bool = False,
    ) -> result.Result[str, _errors.Failure]:
        """Store an object and return its entity tag.

        Fails with CONFLICT if the object doesn't meet the condition.

        :param if_match: entity tag that the stored object must have
        :param if_absent: whether the object must not exist yet
        """

    def delete(self, key: str) -> result.Result[None, _errors.Failure]:
        """Delete an object if it exists."""


class HttpObjectStore:
    """Client of the object store over HTTP, section 11 of the design."""

    def __init__(
        self,
        address: str,
        clock: _clock.Clock,
        limits: _limits.PlatformLimits,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._clock = clock
        self._client = _platform.PlatformClient(address, limits, certificates)

    def read(
        self, key: str
    ) -> result.Result[StoredObject | None, _errors.Failure]:
        """Return an object, or None if it is absent."""
        return self._client.send('GET', _format_path(key)).bind(_decode_object)

    def write(
        self,
        key: str,
        data: bytes,
        if_match: str | None = None,
        if_absent: bool = False,
    ) -> result.Result[str, _errors.Failure]:
        """Store an object and return its entity tag.

        Fails with CONFLICT if the object doesn't meet the condition.

        :param if_match: entity tag that the stored object must have
        :param if_absent: whether the object must not exist yet
        """
        headers = {'Content-Type': 'application/octet-stream'}
        if if_match is not None:
            headers['If-Match'] = if_match
        if if_absent:
            headers['If-None-Match'] = '*'
        return self._client.send('PUT', _format_path(key), data, headers).bind(
            _decode_etag
        )

    def delete(self, key: str) -> result.Result[None, _errors.Failure]:
        """Delete an object if it exists."""
        return self._client.send('DELETE', _format_path(key)).bind(
            _decode_deletion
        )


def _format_path(key: str) -> str:
    return '/v1/objects/' + urllib.parse.quote(key, safe='')


def _decode_object(
    response: _platform.Response,
) -> result.Result[StoredObject | None, _errors.Failure]:
    if response.status == 200:
        return result.Success(
            StoredObject(response.body, response.headers['ETag'])
        )
    if response.status == 404:
        return result.Success(None)
    return _platform.report_unexpected_status(response)


def _decode_etag(
    response: _platform.Response,
) -> result.Result[str, _errors.Failure]:
    if response.status == 200:
        return result.Success(response.headers['ETag'])
    if response.status == 412:
        return result.Failure(
            _errors.Failure(
                _errors.ErrorKind.CONFLICT, 'the object has changed'
            )
        )
    return _platform.report_unexpected_status(response)


def _decode_deletion(
    response: _platform.Response,
) -> result.Result[None, _errors.Failure]:
    if response.status in (200, 404):
        return result.Success(None)
    return _platform.report_unexpected_status(response)
