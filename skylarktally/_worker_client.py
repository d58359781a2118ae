"""Calls of a router to the interface of a worker, other than tasks."""

import datetime
from http import client
import json
from typing import Any, NamedTuple

from returns import result

from skylarktally import _connections
from skylarktally import _errors


class WorkerResponse(NamedTuple):
    """A whole answer of a worker."""

    status: int
    data: dict[str, Any]


class WorkerClient:
    """Sends small JSON requests over the pooled connections."""

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
        """Return the worker's answer, or WORKER_UNREACHABLE.

        :param new_connection: uses a new connection, as a probe must
        """
        opened = self._connections.acquire(address, new_connection)
        if not isinstance(opened, result.Success):
            return result.Failure(opened.failure())
        connection = opened.unwrap()
        try:
            reply = _exchange(connection, method, path, data, timeout)
        except (OSError, client.HTTPException, ValueError) as error:
            self._connections.close(connection)
            message = f'{method} {path} at {address}: {error!r}'
            kind = _errors.ErrorKind.WORKER_UNREACHABLE
            return result.Failure(_errors.Failure(kind, message))
        if connection.sock is None or new_connection:
            self._connections.close(connection)
        else:
            self._connections.release(connection)
        return result.Success(reply)


def _exchange(
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
