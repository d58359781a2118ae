"""Client of a router for the API of workers, except for tasks."""

import datetime
from http import client
import json
from typing import Any, NamedTuple

from returns import result

from skylarktally import _connections
from skylarktally import _errors


class WorkerResponse(NamedTuple):
    """A complete response of a worker."""

    status: int
    data: dict[str, Any]


class WorkerClient:
    """Sends small JSON requests over pooled connections."""

    def __init__(self, connections: _connections.ConnectionPool) -> None:
        self._connections = connections

    def call(
        self,
        address: str,
        method: str,
        path: str,
        data: dict[str, Any] | None,
        timeout: datetime.timedelta,
        new_connection: bool = False,
    ) -> result.Result[WorkerResponse, _errors.Failure]:
        """Send a request and return the response, whatever its status.

        :param data: sent as JSON; None for an empty body
        :param new_connection: True to use a new connection, as a probe needs
        :returns: WORKER_UNREACHABLE when no valid response arrives, or
            the failure to open a connection
        """
        opened = self._connections.acquire(address, new_connection)
        if not isinstance(opened, result.Success):
            return result.Failure(opened.failure())
        connection = opened.unwrap()
        try:
            response = _send_request(connection, method, path, data, timeout)
        except (OSError, client.HTTPException, ValueError) as error:
            self._connections.close(connection)
            message = f'{method} {path} at {address}: {error!r}'
            kind = _errors.ErrorKind.WORKER_UNREACHABLE
            return result.Failure(_errors.Failure(kind, message))
        if connection.sock is None or new_connection:
            self._connections.close(connection)
        else:
            self._connections.release(connection)
        return result.Success(response)


def _send_request(
    connection: _connections.Connection,
    method: str,
    path: str,
    data: dict[str, Any] | None,
    timeout: datetime.timedelta,
) -> WorkerResponse:
    connection.set_timeout(timeout)
    body = b'' if data is None else json.dumps(data).encode()
    connection.request(method, path, body)
    response = connection.getresponse()
    text = response.read()
    return WorkerResponse(response.status, json.loads(text) if text else {})
