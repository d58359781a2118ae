"""Thrift calls between entry instances."""

import collections
from collections.abc import Callable
import datetime
import logging
import socket
from typing import Any, Protocol

from returns import result
from thrift.protocol import TBinaryProtocol
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

from skylarktally import _errors
from skylarktally import _fields
from skylarktally._gen.entry import Entry
from skylarktally._gen.entry import ttypes
from skylarktally import _guards
from skylarktally import _loop
from skylarktally.scheduling import _lending

_LOG = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind
JobCall = ttypes.JobCall
JobReply = ttypes.JobReply
PoolLoad = ttypes.PoolLoad
WorkerLoad = ttypes.WorkerLoad
StoreCall = ttypes.StoreCall
StoreReply = ttypes.StoreReply
StoredRow = ttypes.StoredRow

_CONNECT_TIMEOUT = datetime.timedelta(seconds=0.5)
# Left of the timeout of a call for its reply; later the caller would close the
# connection.
_REPLY_TIME = datetime.timedelta(seconds=0.1)
# Idle connections kept open to each entry instance.
_IDLE_CONNECTIONS = 8
_MAX_I32 = 2**31 - 1
# Longest string and list in a message: a relayed table of a large deployment.
_MAX_STRING_BYTES = 32 * 1024 * 1024
_MAX_CONTAINER_ITEMS = 1000000
# Pause after a connection that could not be accepted, for example for want of
# descriptors.
_ACCEPT_RETRY_DELAY = datetime.timedelta(seconds=0.1)
_TRANSPORT_ERRORS = (
    TTransport.TTransportException,
    Thrift.TException,
    OSError,
    EOFError,
)


class Handler(Protocol):
    """Calls that an entry instance serves for other entry instances."""

    def handle(self, call: ttypes.JobCall) -> ttypes.JobReply:
        """Execute a job call as the owner of the pool."""

    def vacate(self, pool: str, worker: str) -> bool:
        """Evacuate a worker; True once its instance may be taken away."""

    def measure(self, pool: str, lendable_millicores: int) -> ttypes.PoolLoad:
        """Return the load of a pool, and note what it could be lent.

        :param lendable_millicores: capacity that the pool could borrow
        """

    def carry(self, call: ttypes.StoreCall) -> ttypes.StoreReply:
        """Make a table service call for another entry instance."""


def find_waiting_time(call: ttypes.JobCall) -> datetime.timedelta:
    """Return how long an owner may wait before it replies to a call."""
    timeout = datetime.timedelta(milliseconds=call.timeout_ms)
    return max(timeout - _REPLY_TIME, datetime.timedelta())


class EntryCalls:
    """Client of the other entry instances, with a pool of connections."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Connection]] = collections.defaultdict(
            list
        )

    def handle(
        self, address: str, call: ttypes.JobCall
    ) -> result.Result[ttypes.JobReply, _errors.Failure]:
        """Send a job call to the owner of its pool."""
        timeout = datetime.timedelta(milliseconds=call.timeout_ms)
        return self._call(address, timeout, lambda client: client.handle(call))

    def vacate(
        self,
        address: str,
        pool: str,
        worker: str,
        timeout: datetime.timedelta,
    ) -> result.Result[bool, _errors.Failure]:
        """Ask the owner of a pool to evacuate a worker.

        :return: whether its instance may be taken away
        """
        return self._call(
            address, timeout, lambda client: client.vacate(pool, worker)
        )

    def reaches_store(
        self, address: str, timeout: datetime.timedelta
    ) -> result.Result[bool, _errors.Failure]:
        """Ask an entry instance whether the store answers it."""
        return self._call(
            address, timeout, lambda client: client.reaches_store()
        )

    def carry(
        self,
        address: str,
        call: ttypes.StoreCall,
        timeout: datetime.timedelta,
    ) -> result.Result[ttypes.StoreReply, _errors.Failure]:
        """Ask an entry instance to make a table service call."""
        return self._call(address, timeout, lambda client: client.carry(call))

    def measure(
        self,
        address: str,
        pool: str,
        lendable_millicores: int,
        timeout: datetime.timedelta,
    ) -> result.Result[ttypes.PoolLoad, _errors.Failure]:
        """Ask the owner of a pool for the load of the pool."""
        return self._call(
            address,
            timeout,
            lambda client: client.measure(pool, lendable_millicores),
        )

    def _call(
        self,
        address: str,
        timeout: datetime.timedelta,
        function: Callable[[Any], Any],
    ) -> result.Result[Any, _errors.Failure]:
        idle = self._idle[address]
        try:
            connection = idle.pop() if idle else _Connection(address)
        except (*_TRANSPORT_ERRORS, ValueError) as error:
            return _fail(ErrorKind.PEER_UNREACHABLE, address, error)
        try:
            connection.set_timeout(timeout)
            answer = function(connection.client)
        except (*_TRANSPORT_ERRORS, ValueError, TypeError) as error:
            # The last two: the answer is no thrift message. A late delivery
            # would carry out what the caller has given up.
            connection.abort()
            # The other idle connections may be broken too.
            for other in idle:
                other.close()
            idle.clear()
            return _fail(ErrorKind.OUTCOME_UNKNOWN, address, error)
        if len(idle) < _IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()
        return result.Success(answer)


class _Connection:
    """A connection to another entry instance."""

    def __init__(self, address: str) -> None:
        host, port = _fields.split_address(address)
        self._socket = TSocket.TSocket(host, port)
        self._socket.setHandle(
            _loop.connect_patiently(
                host, port, _CONNECT_TIMEOUT.total_seconds()
            )
        )
        transport = TTransport.TBufferedTransport(self._socket)
        protocol = _create_protocol(transport)
        self.client = Entry.Client(protocol)

    def set_timeout(self, timeout: datetime.timedelta) -> None:
        self._socket.setTimeout(int(timeout.total_seconds() * 1000))

    def close(self) -> None:
        self._socket.close()

    def abort(self) -> None:
        """Close the connection and discard a call not yet delivered."""
        if self._socket.handle is not None:
            _loop.abort(self._socket.handle)
        self._socket.close()


class EntryServer:
    """Serves the calls of other entry instances."""

    def __init__(self, handler: Handler) -> None:
        self._processor = Entry.Processor(handler)

    def serve(self, listener: socket.socket) -> None:
        """Accept connections until the process ends."""
        while True:
            try:
                connection, _ = listener.accept()
                connection.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                )
            except OSError as error:
                _LOG.warning(
                    'connection not accepted', extra={'reason': str(error)}
                )
                _loop.sleep(_ACCEPT_RETRY_DELAY.total_seconds())
                continue
            _loop.spawn(self._serve_connection, connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        stream = TSocket.TSocket()
        stream.setHandle(connection)
        transport = TTransport.TBufferedTransport(stream)
        protocol = _create_protocol(transport)
        try:
            while True:
                self._processor.process(protocol, protocol)
        except _TRANSPORT_ERRORS as error:
            # Usually the other side has closed the connection.
            _LOG.debug('connection ended', extra={'reason': str(error)})
        except Exception:
            # A message that is no thrift call; the library raises many types.
            _guards.record_error('message of an entry instance')
        finally:
            transport.close()


def _create_protocol(transport: Any) -> Any:
    """Return a codec that refuses lengths no message has."""
    return TBinaryProtocol.TBinaryProtocolAccelerated(
        transport,
        string_length_limit=_MAX_STRING_BYTES,
        container_length_limit=_MAX_CONTAINER_ITEMS,
    )


def encode_load(load: _lending.PoolLoad) -> ttypes.PoolLoad:
    """Return the thrift message for the load of an owned pool."""
    return ttypes.PoolLoad(
        _limit(load.long_running_millicores),
        _limit(load.running_millicores),
        _limit(load.waiting_millicores),
        _to_milliseconds(load.waiting_work),
        _limit(_to_milliseconds(load.waiting_time_left)),
        _limit(load.arriving_millicores),
        _limit(load.reserve_millicores),
        _limit(load.fewest_workers),
        [ttypes.WorkerLoad(*worker) for worker in load.workers],
        True,
    )


def _limit(value: int) -> int:
    """Return the value, or the largest one that the message can hold."""
    return min(value, _MAX_I32)


def _to_milliseconds(time: datetime.timedelta) -> int:
    return int(time.total_seconds() * 1000)


def decode_load(load: ttypes.PoolLoad) -> _lending.PoolLoad | None:
    """Return the load in a message; None if the sender is not the owner."""
    if not load.is_owned:
        return None
    return _lending.PoolLoad(
        load.lasting,
        load.running,
        load.waiting,
        datetime.timedelta(milliseconds=load.waiting_work_ms),
        datetime.timedelta(milliseconds=load.waiting_time_left_ms),
        load.arriving,
        load.reserve,
        load.fewest_workers,
        tuple(
            _lending.WorkerLoad(
                item.worker, item.runs, item.long_runs, item.is_leaving
            )
            for item in load.workers
        ),
    )


def _fail(
    kind: ErrorKind, address: str, error: Exception
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, f'{address}: {error}'))
