"""The process of an entry: claims shards and serves callers and entries."""

import datetime
import logging
import secrets
import signal

import prometheus_client
from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _listeners
from skylarktally import _loop
from skylarktally import _metrics
from skylarktally.entries import _calls
from skylarktally.entries import _claims
from skylarktally.entries import _desk
from skylarktally.entries import _directory
from skylarktally.entries import _isolation
from skylarktally.entries import _settings
from skylarktally import platform
from skylarktally.scheduling import _ledger
from skylarktally.scheduling import _lending
from skylarktally.scheduling import _maintenance
from skylarktally.scheduling import _owner
from skylarktally.scheduling import _records

_LOG = logging.getLogger(__name__)

_CLAIM_INTERVAL = datetime.timedelta(seconds=0.1)
_CONTACT_INTERVAL = datetime.timedelta(seconds=0.25)
_CONTACT_TIMEOUT = datetime.timedelta(seconds=0.3)
_VACATE_TIMEOUT = datetime.timedelta(seconds=0.5)
# The balancer takes up to two seconds to notice; callers with open
# connections are served meanwhile.
_STOP_NOTICE = datetime.timedelta(seconds=2.5)
_STOP_POLL = datetime.timedelta(seconds=0.05)
# Time that is left for the end of the process itself.
_STOP_MARGIN = datetime.timedelta(seconds=1)
_CLIENT_CONNECTIONS = 1024
_IDLE_SECONDS = 60


class EntryProcess:
    """One entry of a deployment."""

    def __init__(
        self, settings: _settings.EntrySettings, clock: _clock.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = secrets.token_hex(8)
        self._store = platform.TableStore(settings.store_address)
        self._layout = platform.PlatformLayout()
        self._directory = _directory.Directory(
            self._store, self._layout, clock
        )
        self._workers = platform.WorkerCalls()
        self._instances = platform.InstanceCalls(settings.instances_address)
        self._calls = _calls.EntryCalls()
        self._desk = _desk.Desk(self, self._directory, self._calls, clock)
        self._ingress = platform.Ingress(
            self._desk,
            lambda: self._directory.configuration,
            lambda: self._is_stopping,
        )
        self._owners: dict[str, _owner.PoolOwner] = {}
        self._maintenance: _maintenance.Maintenance | None = None
        self._started_at = clock.monotonic()
        self._contacts = _isolation.Contacts(self._started_at)
        self._is_stopping = False

    def run(self) -> None:
        """Serve until a signal asks to stop."""
        settings = self._settings
        signal.signal(signal.SIGTERM, self._note_stop)
        signal.signal(signal.SIGINT, self._note_stop)
        # The settings name addresses only, which need a new process.
        signal.signal(signal.SIGHUP, self._note_reload)
        _LOG.info(
            'entry started',
            extra={'entry': settings.name, 'incarnation': self._incarnation},
        )
        self._directory.start()
        self._serve()
        _loop.spawn_guarded(self._watch_contacts)
        while not self._is_stopping:
            self._clock.sleep(_CLAIM_INTERVAL)
            self._claim_vacant()
        self._stop()

    def _serve(self) -> None:
        settings = self._settings
        _loop.spawn(
            _calls.EntryServer(self).serve,
            _listeners.open_listener(settings.peer_address),
        )
        _listeners.serve_wsgi(
            settings.readiness_address,
            platform.answer_readiness(self._is_ready),
            None,
        )
        registry = _metrics.create_registry()
        _listeners.serve_wsgi(
            settings.metrics_address,
            prometheus_client.make_wsgi_app(registry),
            None,
        )
        _listeners.serve_wsgi(
            settings.serving_address,
            self._ingress,
            None,
            max_size=_CLIENT_CONNECTIONS,
            keepalive=_IDLE_SECONDS,
        )

    def _is_ready(self) -> bool:
        return (
            not self._is_stopping
            and self._directory.configuration is not None
            and not self._contacts.is_cut_off(self._clock.monotonic())
        )

    def _watch_contacts(self) -> None:
        """Ask other entries for a sign of life while the store is away."""
        was_cut_off = False
        while True:
            self._clock.sleep(_CONTACT_INTERVAL)
            now = self._clock.monotonic()
            read_at = self._directory.terms_read_at
            if read_at is not None:
                self._contacts.note_store(read_at)
            if self._contacts.lacks_store(now):
                self._ask_peers()
            is_cut_off = self._contacts.is_cut_off(self._clock.monotonic())
            if is_cut_off != was_cut_off:
                was_cut_off = is_cut_off
                _LOG.info(
                    'cut off from the store and other entries'
                    if is_cut_off
                    else 'no longer cut off'
                )

    def _ask_peers(self) -> None:
        own = self._settings.peer_address
        addresses = {
            tenure.term.address for tenure in self._directory.tenures.values()
        } - {own}
        for address in sorted(addresses):
            outcome = self._calls.reaches_store(address, _CONTACT_TIMEOUT)
            reaches_store = outcome.value_or(False)
            self._contacts.note_peer(reaches_store)
            if reaches_store:
                return

    def _note_stop(self, number: int, frame: object) -> None:
        del number, frame
        self._is_stopping = True

    def _note_reload(self, number: int, frame: object) -> None:
        del number, frame
        _LOG.info('settings may have changed; they are read at the start')

    def _stop(self) -> None:
        """Hand over the shards and finish what is in progress."""
        begin = self._clock.monotonic()
        _LOG.info('stopping', extra={'shards': sorted(self._owners)})
        for ledger in self._list_ledgers():
            ledger.release()
        end = begin + self._settings.stop_limit - _STOP_MARGIN
        while self._clock.monotonic() < end:
            spent = self._clock.monotonic() - begin
            if spent >= _STOP_NOTICE and not self._ingress.in_progress:
                break
            self._clock.sleep(_STOP_POLL)
        _LOG.info('stopped', extra={'in_progress': self._ingress.in_progress})

    def _list_ledgers(self) -> list[_ledger.Ledger]:
        ledgers = [owner.ledger for owner in self._owners.values()]
        if self._maintenance is not None:
            ledgers.append(self._maintenance.ledger)
        return ledgers

    # Claims.

    def _claim_vacant(self) -> None:
        """Claim shards that have been without an owner for long enough."""
        directory = self._directory
        configuration = directory.configuration
        read_at = directory.terms_read_at
        if configuration is None or read_at is None:
            return
        if directory.workers_known_since is None:
            return
        self._drop_ended()
        now = self._clock.monotonic()
        shards = [pool.name for pool in configuration.pools]
        for shard in (*shards, _maintenance.SHARD):
            if self._owns(shard):
                continue
            claimant = _claims.Claimant(
                self._settings.name,
                self._incarnation,
                len(self._list_ledgers()),
            )
            vacancy = _claims.find_vacancy(
                directory.tenures.get(shard),
                claimant,
                _claims.Reading(
                    self._started_at, directory.terms_steady_since, read_at
                ),
            )
            if vacancy is None:
                continue
            delay = _claims.find_delay(claimant, shard, vacancy)
            # The vacancy must show in a read after the delay.
            if vacancy.since + delay <= min(now, read_at):
                self._claim(shard, vacancy)

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
        former = self._directory.tenures.get(shard)
        term = _records.Term(
            self._settings.name,
            self._settings.peer_address,
            self._incarnation,
            vacancy.generation + 1,
            0,
            workers=former.term.workers if former is not None else (),
        )
        outcome = _ledger.claim(
            self._store, self._clock, shard, term, vacancy.version
        )
        if not isinstance(outcome, result.Success):
            _LOG.info(
                'claim without answer',
                extra={
                    'shard': shard,
                    'failure': outcome.failure().kind.value,
                },
            )
            self._directory.refresh_terms()
            return
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
        self._directory.note_term(shard, term, ledger.token)
        self._begin(shard, ledger, former)

    def _begin(
        self,
        shard: str,
        ledger: _ledger.Ledger,
        former: _directory.Tenure | None,
    ) -> None:
        if shard == _maintenance.SHARD:
            self._maintenance = _maintenance.Maintenance(
                ledger,
                self._store,
                self._instances,
                self._layout,
                self._clock,
                self._settings.name,
            )
            _loop.spawn_guarded(
                self._maintenance.run,
                _maintenance.Surroundings(
                    lambda: self._directory.waves,
                    lambda: self._directory.configuration,
                    self._request_vacancy,
                    self._request_load,
                ),
            )
            return
        owner = _owner.PoolOwner(
            ledger,
            self._store,
            self._workers,
            self._clock,
            platform.decode_job,
        )
        self._owners[shard] = owner
        configuration = self._directory.configuration
        queues = configuration.queues if configuration is not None else ()
        _loop.spawn_guarded(
            owner.run,
            {queue.name: queue for queue in queues},
            lambda: self._directory.list_workers(shard),
            self._describe_succession(shard, former),
        )

    def _describe_succession(
        self, shard: str, former: _directory.Tenure | None
    ) -> _owner.Succession:
        now = self._clock.monotonic()
        last_order_at = now
        if former is not None:
            last_order_at = min(now, former.seen_at + _ledger.HOLD_LIMIT)
        return _owner.Succession(
            former.term.workers if former is not None else (),
            self._directory.list_departed(shard),
            last_order_at,
        )

    def find_owner(self, pool: str) -> _owner.PoolOwner | None:
        """Return the owner of a pool if it is in this process."""
        owner = self._owners.get(pool)
        if owner is None or owner.ledger.is_over:
            return None
        return owner

    # Calls of other entries.

    def handle(self, call: _calls.JobCall) -> _calls.JobReply:
        """Carry out a call on a job."""
        return self._desk.handle(call)

    def vacate(self, pool: str, worker: str) -> bool:
        """Empty a worker; tell whether its instance can go now."""
        owner = self.find_owner(pool)
        return owner is not None and owner.vacate(worker)

    def measure(self, pool: str, lendable_millicores: int) -> _calls.PoolLoad:
        """Tell what the pool would use at once."""
        owner = self.find_owner(pool)
        if owner is None or not owner.is_ready:
            return _calls.PoolLoad(0, 0, 0, [], False)
        load = owner.measure(lendable_millicores)
        workers = [_calls.WorkerLoad(*worker) for worker in load.workers]
        return _calls.PoolLoad(
            load.needed_millicores,
            load.reserve_millicores,
            load.fewest_workers,
            workers,
            True,
        )

    def reaches_store(self) -> bool:
        """Tell whether the store answers this entry."""
        return not self._contacts.lacks_store(self._clock.monotonic())

    def _request_load(
        self, pool: str, lendable: int
    ) -> _lending.PoolLoad | None:
        """Return the load of a pool; None if its owner does not answer."""
        if self.find_owner(pool) is not None:
            return _read_load(self.measure(pool, lendable))
        address = self._directory.find_address(pool)
        if address is None:
            return None
        outcome = self._calls.measure(address, pool, lendable, _VACATE_TIMEOUT)
        if isinstance(outcome, result.Success):
            return _read_load(outcome.unwrap())
        return None

    def _request_vacancy(self, pool: str, worker: str) -> bool:
        """Have a worker emptied by the owner of its pool."""
        if self.find_owner(pool) is not None:
            return self.vacate(pool, worker)
        address = self._directory.find_address(pool)
        if address is None:
            return False
        outcome = self._calls.vacate(address, pool, worker, _VACATE_TIMEOUT)
        if isinstance(outcome, result.Success):
            return bool(outcome.unwrap())
        kind = outcome.failure().kind
        if kind is not _errors.ErrorKind.OUTCOME_UNKNOWN:
            _LOG.info(
                'owner not reached', extra={'pool': pool, 'kind': kind.value}
            )
        return False


def _read_load(load: _calls.PoolLoad) -> _lending.PoolLoad | None:
    if not load.is_owned:
        return None
    return _lending.PoolLoad(
        load.needed_millicores,
        load.reserve_millicores,
        load.fewest_workers,
        tuple(
            _lending.WorkerLoad(item.worker, item.runs, item.long_runs)
            for item in load.workers
        ),
    )
