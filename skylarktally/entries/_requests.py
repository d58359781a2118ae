"""Calls of maintenance on the owners of pools, here or in other entries."""

import datetime
import logging

from returns import result

from skylarktally import _errors
from skylarktally.entries import _calls
from skylarktally.entries import _directory
from skylarktally.scheduling import _lending

_LOG = logging.getLogger(__name__)

_TIMEOUT = datetime.timedelta(seconds=0.5)


class OwnerRequests:
    """Asks the owner of a pool, wherever it is."""

    def __init__(
        self,
        own_address: str,
        handler: _calls.Handler,
        directory: _directory.Directory,
        calls: _calls.EntryCalls,
    ) -> None:
        self._own_address = own_address
        self._handler = handler
        self._directory = directory
        self._calls = calls

    def measure(
        self, pool: str, lendable_millicores: int
    ) -> _lending.PoolLoad | None:
        """Return the load of a pool; None if its owner does not answer."""
        address = self._directory.find_address(pool)
        if address is None:
            return None
        if address == self._own_address:
            return _calls.decode_load(
                self._handler.measure(pool, lendable_millicores)
            )
        outcome = self._calls.measure(
            address, pool, lendable_millicores, _TIMEOUT
        )
        if isinstance(outcome, result.Success):
            return _calls.decode_load(outcome.unwrap())
        return None

    def vacate(self, pool: str, worker: str) -> bool:
        """Have a worker emptied; tell whether it is empty."""
        address = self._directory.find_address(pool)
        if address is None:
            return False
        if address == self._own_address:
            return self._handler.vacate(pool, worker)
        outcome = self._calls.vacate(address, pool, worker, _TIMEOUT)
        if isinstance(outcome, result.Success):
            return bool(outcome.unwrap())
        kind = outcome.failure().kind
        if kind is not _errors.ErrorKind.OUTCOME_UNKNOWN:
            _LOG.info(
                'owner not reached', extra={'pool': pool, 'kind': kind.value}
            )
        return False
