"""Claims shards for an entry instance and runs their owners."""

from collections.abc import Callable
import datetime
import logging
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _loop
from skylarktally.entries import _claims
from skylarktally.entries import _directory
from skylarktally.entries import _handovers
from skylarktally.scheduling import _advice
from skylarktally.scheduling import _inquiries
from skylarktally.scheduling import _job_store
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _lending
from skylarktally.scheduling import _maintenance
from skylarktally.scheduling import _order_limits
from skylarktally.scheduling import _orders
from skylarktally.scheduling import _owner
from skylarktally.scheduling import _records
from skylarktally.scheduling import _roster
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _takeover

_LOG = logging.getLogger(__name__)


class Identity(NamedTuple):
    """An entry instance and its process."""

    name: str
    peer_address: str
    # Distinguishes the successive processes of one entry instance.
    incarnation: str
    # Capacity to own shards, in standard cores.
    cores: float = 1.0


class PlatformClients(NamedTuple):
    """Clients and codecs of the platform that owners use."""

    store: _rows.Store
    workers: _orders.WorkerClient
    instances: _orders.InstanceClient
    layout: _maintenance.WaveStatusLayout
    decode_job: _job_store.JobDecoder
    # None if there is no service that advises on workers.
    advisor: _advice.Advisor | None


class Requests(Protocol):
    """Calls of the maintenance owner to pool owners in any process."""

    def vacate(self, pool: str, worker: str) -> bool:
        """Evacuate a worker; True once its instance may be taken away."""

    def measure(
        self, pool: str, lendable_millicores: int
    ) -> _lending.PoolLoad | None:
        """Return the load of a pool; None if its owner does not answer."""


class ShardManager:
    """Claims, runs and releases the shards of this entry instance."""

    def __init__(
        self,
        identity: Identity,
        clients: PlatformClients,
        directory: _directory.Directory,
        requests: Requests,
        clock: _clock.Clock,
        note_plan: Callable[[datetime.timedelta], None] = lambda _: None,
    ) -> None:
        self._note_plan = note_plan
        self._identity = identity
        self._clients = clients
        self._directory = directory
        self._requests = requests
        self._clock = clock
        # Since when this entry instance knows what it needs for claims.
        self._ready_since: datetime.timedelta | None = None
        self._owners: dict[str, _owner.PoolOwner] = {}
        self._maintenance: _maintenance.Maintenance | None = None
        self._handovers = _handovers.HandoverPolicy()
        # Shards with a claim in progress.
        self._claiming: set[str] = set()
        # Shards whose last claim had no answer.
        self._unanswered_claims: set[str] = set()
        self._is_stopping = False
        self._order_limits = _order_limits.OrderLimits()
        self._advisor = (
            None
            if clients.advisor is None
            else _inquiries.AdvisorQueue(clients.advisor, clock)
        )

    def release_all(self) -> list[str]:
        """Release all shards, claim no more, and return the released ones."""
        self._is_stopping = True
        ledgers = self.list_ledgers()
        for ledger in ledgers:
            ledger.release()
        return [ledger.shard for ledger in ledgers]

    def list_ledgers(self) -> list[_ledger.Ledger]:
        """Return the ledgers of all shards that this entry instance owns."""
        ledgers = [owner.ledger for owner in self._owners.values()]
        if self._maintenance is not None:
            ledgers.append(self._maintenance.ledger)
        return ledgers

    def list_owners(self) -> list[_owner.PoolOwner]:
        """Return the owners of all pools of this entry instance."""
        return list(self._owners.values())

    def hand_over(self) -> None:
        """Release a shard, since this entry instance is overloaded."""
        now = self._clock.monotonic()
        chosen = self._handovers.choose(self._list_transferable(), now)
        if chosen is None:
            return
        _LOG.info(
            'shard handed over: event loop stays late',
            extra={'shard': chosen.name, 'jobs': chosen.open_jobs},
        )
        for ledger in self.list_ledgers():
            if ledger.shard == chosen.name:
                ledger.release()

    def _list_transferable(self) -> list[_handovers.OwnedShard]:
        """Return the shards whose release can be stored now."""
        open_jobs = {
            pool: owner.count_open() for pool, owner in self._owners.items()
        }
        return [
            _handovers.OwnedShard(
                ledger.shard, ledger.claimed_at, open_jobs.get(ledger.shard, 0)
            )
            for ledger in self.list_ledgers()
            if ledger.holds_term()
        ]

    def claim_vacant(self) -> None:
        """Claim shards that have been vacant for long enough.

        Claims run concurrently, since the store may answer late.
        """
        directory = self._directory
        configuration = directory.configuration
        read_at = directory.terms_read_at
        if self._is_stopping or configuration is None or read_at is None:
            return
        if directory.worker_list.known_since is None:
            return
        self._drop_ended()
        directory.record_ownership(bool(self._owners))
        now = self._clock.monotonic()
        if self._ready_since is None:
            self._ready_since = now
        reads = _claims.ReadTimes(
            self._ready_since, directory.terms_gapless_since, read_at
        )
        shards = [pool.name for pool in configuration.pools]
        is_read_due = False
        for shard in (*shards, _maintenance.SHARD):
            if self._owns(shard) or shard in self._claiming:
                continue
            claimant = _claims.Claimant(
                self._identity.name,
                self._identity.incarnation,
                len(self.list_ledgers()) + len(self._claiming),
                self._identity.cores,
                self._handovers.is_recovering(now),
            )
            observed = directory.observed_terms.get(shard)
            vacancy = _claims.find_vacancy(observed, claimant, reads)
            if vacancy is None:
                is_read_due |= _claims.is_read_due(observed, reads, now)
                continue
            delay = _claims.calculate_delay(claimant, shard, vacancy)
            due = vacancy.since + delay
            if due <= min(now, read_at):
                self._claiming.add(shard)
                _loop.spawn_logging_errors(
                    self._claim_and_clear, shard, vacancy
                )
            elif due <= now:
                # A read after the delay must still show the vacancy. Its
                # time must not depend on the interval of reads, which would
                # change the order of the claimants.
                is_read_due = True
        if is_read_due:
            _loop.spawn_logging_errors(self._read_and_claim)

    def _read_and_claim(self) -> None:
        """Read the terms and claim at once what they show as vacant."""
        if self._directory.refresh_terms():
            self.claim_vacant()

    def _claim_and_clear(self, shard: str, vacancy: _claims.Vacancy) -> None:
        try:
            self._claim(shard, vacancy)
        finally:
            self._claiming.discard(shard)

    def _owns(self, shard: str) -> bool:
        if shard == _maintenance.SHARD:
            return self._maintenance is not None
        return shard in self._owners

    def _drop_ended(self) -> None:
        for shard, owner in list(self._owners.items()):
            if owner.ledger.is_over:
                del self._owners[shard]
        maintenance = self._maintenance
        if maintenance is not None and maintenance.ledger.is_over:
            self._maintenance = None

    def _claim(self, shard: str, vacancy: _claims.Vacancy) -> None:
        former = self._directory.observed_terms.get(shard)
        unresolved = self._find_unresolved_leases(former)
        term = _records.Term(
            self._identity.name,
            self._identity.peer_address,
            self._identity.incarnation,
            vacancy.generation + 1,
            0,
            workers=former.term.workers if former is not None else (),
            # A successor to this term does not count them anew from its row.
            unreachable=_roster.make_records(
                unresolved, self._clock.monotonic()
            ),
        )
        outcome = _ledger.claim(
            self._clients.store, self._clock, shard, term, vacancy.version
        )
        if not isinstance(outcome, result.Success):
            self._log_unanswered_claim(shard, outcome.failure())
            self._directory.refresh_terms()
            return
        self._unanswered_claims.discard(shard)
        ledger = outcome.unwrap()
        if ledger is None:
            self._directory.refresh_terms()
            return
        _LOG.info(
            'shard claimed',
            extra={
                'shard': shard,
                'token': ledger.token,
                'generation': term.generation,
                'former': former.term.holder if former else None,
            },
        )
        self._directory.record_term(shard, term, ledger.token)
        if self._is_stopping:
            ledger.release()
            _loop.spawn_logging_errors(ledger.run)
            return
        self._start_owner(shard, ledger, former)

    def _log_unanswered_claim(
        self, shard: str, failure: _errors.Failure
    ) -> None:
        """Log a claim without an answer, once until a claim is answered."""
        if shard in self._unanswered_claims:
            return
        self._unanswered_claims.add(shard)
        _LOG.info(
            'claim without answer',
            extra={'shard': shard, 'failure': failure.kind.value},
        )

    def _start_owner(
        self,
        shard: str,
        ledger: _ledger.Ledger,
        former: _directory.ObservedTerm | None,
    ) -> None:
        if shard == _maintenance.SHARD:
            self._maintenance = _maintenance.Maintenance(
                ledger,
                self._clients.store,
                self._clients.instances,
                self._clients.layout,
                self._clock,
                self._identity.name,
            )
            _loop.spawn_logging_errors(
                self._maintenance.run,
                _maintenance.Dependencies(
                    lambda: self._directory.waves,
                    lambda: self._directory.configuration,
                    self._requests.vacate,
                    self._requests.measure,
                ),
            )
            return
        owner = _owner.PoolOwner(
            ledger,
            self._clients.store,
            self._clients.workers,
            self._clock,
            self._clients.decode_job,
            self._advisor,
            self._note_plan,
            self._order_limits,
        )
        self._owners[shard] = owner
        self._directory.record_ownership(True)
        configuration = self._directory.configuration
        queues = configuration.queues if configuration is not None else ()
        _loop.spawn_logging_errors(
            owner.run,
            {queue.name: queue for queue in queues},
            lambda: self._directory.worker_list.list_pool(shard),
            self._create_takeover_state(shard, former),
            lambda: self._directory.await_workers(
                ledger.claimed_at, lambda: ledger.is_over
            ),
        )

    def _create_takeover_state(
        self, shard: str, former: _directory.ObservedTerm | None
    ) -> _takeover.TakeoverState:
        return _takeover.TakeoverState(
            self._find_unresolved_leases(former),
            self._directory.worker_list.list_departed(shard),
        )

    def _find_unresolved_leases(
        self, former: _directory.ObservedTerm | None
    ) -> dict[str, _roster.UnresolvedLease]:
        if former is None:
            return {}
        return _takeover.find_unresolved_leases(
            former.term, former.seen_at, self._clock.monotonic()
        )

    def find_owner(self, pool: str) -> _owner.PoolOwner | None:
        """Return the owner of a pool; None if it is not in this process."""
        owner = self._owners.get(pool)
        if owner is None or owner.ledger.is_over:
            return None
        return owner
