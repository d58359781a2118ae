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
    """Content of an object and the tag that changes with it."""

    data: bytes
    etag: str


class Objects(Protocol):
    """The platform's object store, with the failures of the table."""

    def read(
        self, key: str
    ) -> result.Result[StoredObject | None, _errors.Failure]:
        """Return an object, or None when it is absent."""

    def write(
        self,
        key: str,
        data: bytes,
        if_match: str | None = None,
        if_absent: bool = False,
    ) -> result.Result[str, _errors.Failure]:
        """Store an object and return its tag, or CONFLICT.

        :param if_absent: whether only a new object may be stored
        """

    def delete(self, key: str) -> result.Result[None, _errors.Failure]:
        """Delete an object, present or not."""


class HttpObjects:
    """Object store of section 11 of the design, over HTTP."""

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
        """Return an object, or None when it is absent."""
        return self._client.send('GET', _locate(key)).bind(_read_object)

    def write(
        self,
        key: str,
        data: bytes,
        if_match: str | None = None,
        if_absent: bool = False,
    ) -> result.Result[str, _errors.Failure]:
        """Store an object and return its tag, or CONFLICT.

        :param if_absent: whether only a new object may be stored
        """
        headers = {'Content-Type': 'application/octet-stream'}
        if if_match is not None:
            headers['If-Match'] = if_match
        if if_absent:
            headers['If-None-Match'] = '*'
        return self._client.send('PUT', _locate(key), data, headers).bind(
            _read_tag
        )

    def delete(self, key: str) -> result.Result[None, _errors.Failure]:
        """Delete an object, present or not."""
        return self._client.send('DELETE', _locate(key)).bind(_read_deletion)


def _locate(key: str) -> str:
    return '/v1/objects/' + urllib.parse.quote(key, safe='')


def _read_object(
    response: _platform.Response,
) -> result.Result[StoredObject | None, _errors.Failure]:
    if response.status == 200:
        return result.Success(
            StoredObject(response.body, response.headers['ETag'])
        )
    if response.status == 404:
        return result.Success(None)
    return _platform.explain_status(response)


def _read_tag(
    response: _platform.Response,
) -> result.Result[str, _errors.Failure]:
    if response.status == 200:
        return result.Success(response.headers['ETag'])
    if response.status == 412:
        return result.Failure(
            _errors.Failure(_errors.ErrorKind.CONFLICT, 'object changed')
        )
    return _platform.explain_status(response)


def _read_deletion(
    response: _platform.Response,
) -> result.Result[None, _errors.Failure]:
    if response.status in (200, 404):
        return result.Success(None)
    return _platform.explain_status(response)
