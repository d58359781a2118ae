"""Client of the platform's list of instances and operations on them."""

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
    # Either live or leaving, about to be stopped by the platform.
    state: str
    cores: float
    memory_bytes: int
    accelerators: int
    slots: int
    connections: int


class InstanceList(NamedTuple):
    """Listed instances and the UTC time of the state that they show."""

    instances: tuple[ListedInstance, ...]
    as_of: datetime.datetime


class Operation(NamedTuple):
    """A drain or reboot; its state is running, done or failed."""

    operation_id: str
    state: str


class InstanceApi(Protocol):
    """Interface of the platform's instances; fails as the table does."""

    def list(self, zone: str) -> result.Result[InstanceList, _errors.Failure]:
        """Return the list of a zone, which lags behind the actual state."""

    def drain(
        self, name: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        """Start a drain, idempotent by operation id; or NOT_FOUND."""

    def reboot(
        self, name: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        """Start a reboot, idempotent by operation id; or NOT_FOUND."""


class HttpInstanceApi:
    """Instance interface of section 11 of the design, over HTTP."""

    def __init__(
        self,
        address: str,
        clock: _clock.Clock,
        limits: _limits.PlatformLimits,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        self._clock = clock
        self._client = _platform.PlatformClient(address, limits, certificates)
        # Entity tag and instances of the last list, by zone.
        self._last_lists: dict[
            str, tuple[str, tuple[ListedInstance, ...]]
        ] = {}

    def list(self, zone: str) -> result.Result[InstanceList, _errors.Failure]:
        """Return the list of a zone, which lags behind the actual state.

        The platform omits the body of a list that has not changed since
        the last call (status 304).
        """
        etag, instances = self._last_lists.get(zone, ('', ()))
        outcome = self._client.send(
            'GET',
            f'/v1/instances?zone={urllib.parse.quote(zone, safe="")}',
            headers={'If-None-Match': etag} if etag else None,
        )
        if not isinstance(outcome, result.Success):
            return result.Failure(outcome.failure())
        response = outcome.unwrap()
        if response.status != 304:
            decoded = _decode_list(response)
            if not isinstance(decoded, result.Success):
                return result.Failure(decoded.failure())
            etag, instances = (
                response.headers.get('ETag', ''),
                decoded.unwrap(),
            )
            self._last_lists[zone] = etag, instances
        as_of = datetime.datetime.fromisoformat(response.headers['As-Of'])
        return result.Success(InstanceList(instances, as_of))

    def drain(
        self, name: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        """Start a drain, idempotent by operation id; or NOT_FOUND."""
        return self._operate(name, 'drain', operation_id)

    def reboot(
        self, name: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        """Start a reboot, idempotent by operation id; or NOT_FOUND."""
        return self._operate(name, 'reboot', operation_id)

    def _operate(
        self, name: str, operation: str, operation_id: str
    ) -> result.Result[Operation, _errors.Failure]:
        quoted_name = urllib.parse.quote(name, safe='')
        return self._client.send(
            'POST',
            f'/v1/instances/{quoted_name}/{operation}',
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
            ListedInstance(**{field: item[field] for field in fields})
            for item in response.read_json()['instances']
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
