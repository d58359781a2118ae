"""Client of the platform's instance list and of its operations."""

import datetime
import json
import urllib.parse
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _certificates
from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _platform


class ListedInstance(NamedTuple):
    """An instance as the platform lists it."""

    name: str
    zone: str
    rack: str
    # IP address and port, as in 127.0.0.1:8080.
    address: str
    # Either live or leaving.
    state: str
    cores: float
    memory_bytes: int
    accelerators: int
    slots: int
    connections: int


class InstanceList(NamedTuple):
    """The list and the time, in UTC, at which it was true."""

    instances: tuple[ListedInstance, ...]
    as_of: datetime.datetime


class Operation(NamedTuple):
    """A drain or reboot; its state is running, done or failed."""

    operation_id: str
    state: str


class InstanceApi(Protocol):
    """The platform's instances, with the failures of the table."""

    def list(self, zone: str) -> result.Result[InstanceList, _errors.Failure]:
        """Return the list of a zone, which lags behind the actual state."""

    def drain(
        self, name: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        """Start a drain once per operation id, or NOT_FOUND."""

    def reboot(
        self, name: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        """Start a reboot once per operation id, or NOT_FOUND."""


class HttpInstanceApi:
    """Instance list of section 11 of the design, over HTTP."""

    def __init__(
        self,
        address: str,
        clock: _clock.Clock,
        limits: _limits.PlatformLimits,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._clock = clock
        self._client = _platform.PlatformClient(address, limits, certificates)
        # Entity tag and content of the last list, by zone.
        self._listed: dict[str, tuple[str, tuple[ListedInstance, ...]]] = {}

    def list(self, zone: str) -> result.Result[InstanceList, _errors.Failure]:
        """Return the list of a zone, which lags behind the actual state.

        An unchanged list costs no more than its entity tag.
        """
        etag, known = self._listed.get(zone, ('', ()))
        sent = self._client.send(
            'GET',
            f'/v1/instances?zone={urllib.parse.quote(zone, safe="")}',
            headers={'If-None-Match': etag} if etag else None,
        )
        if not isinstance(sent, result.Success):
            return result.Failure(sent.failure())
        response = sent.unwrap()
        if response.status != 304:
            read = _decode_list(response)
            if not isinstance(read, result.Success):
                return result.Failure(read.failure())
            etag, known = response.headers.get('ETag', ''), read.unwrap()
            self._listed[zone] = etag, known
        as_of = datetime.datetime.fromisoformat(response.headers['As-Of'])
        return result.Success(InstanceList(known, as_of))

    def drain(
        self, name: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        """Start a drain once per operation id, or NOT_FOUND."""
        return self._operate(name, 'drain', operation_id)

    def reboot(
        self, name: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        """Start a reboot once per operation id, or NOT_FOUND."""
        return self._operate(name, 'reboot', operation_id)

    def _operate(
        self, name: str, verb: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        quoted = urllib.parse.quote(name, safe='')
        return self._client.send(
            'POST',
            f'/v1/instances/{quoted}/{verb}',
            json.dumps({'operation_id': operation_id}).encode(),
            {'Content-Type': 'application/json'},
        ).bind(_decode_operation)


def _decode_list(
    response: _platform.Response,
) -> result.Result[tuple[ListedInstance, ...], _errors.Failure]:
    if response.status != 200:
        return _platform.report_unexpected_status(response)
    fields = ListedInstance._fields
    try:
        listed = tuple(
            ListedInstance(**{field: entry[field] for field in fields})
            for entry in response.read_json()['instances']
        )
    except (KeyError, TypeError, ValueError) as error:
        message = f'malformed instance list: {error!r}'
        return result.Failure(
            _errors.Failure(_errors.ErrorKind.INTERNAL, message)
        )
    return result.Success(listed)


def _decode_operation(
    response: _platform.Response,
) -> result.Result[Operation, _errors.Failure]:
    if response.status == 200:
        body = response.read_json()
        return result.Success(Operation(body['operation_id'], body['state']))
    if response.status == 404:
        return result.Failure(
            _errors.Failure(_errors.ErrorKind.NOT_FOUND, 'unknown instance')
        )
    return _platform.report_unexpected_status(response)
