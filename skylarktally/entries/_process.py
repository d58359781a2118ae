"""The process of an entry instance.

It claims shards and serves callers and other entry instances.
"""

from collections.abc import Mapping
import datetime
import logging
import secrets
import signal
from typing import Any

import prometheus_client

from skylarktally import _clock
from skylarktally import _guards
from skylarktally import _listeners
from skylarktally import _loop
from skylarktally import _metrics
from skylarktally.entries import _calls
from skylarktally.entries import _claims
from skylarktally.entries import _directory
from skylarktally.entries import _dispatcher
from skylarktally.entries import _load
from skylarktally.entries import _reachability
from skylarktally.entries import _requests
from skylarktally.entries import _settings
from skylarktally.entries import _shards
from skylarktally.entries import _state_dump
from skylarktally.entries import _store_relay
from skylarktally import platform
from skylarktally.scheduling import _inquiries
from skylarktally.scheduling import _standstills

_LOG = logging.getLogger(__name__)

_CLAIM_INTERVAL = datetime.timedelta(seconds=0.1)
# The balancer takes up to two seconds to notice that an entry instance is
# not ready; callers with open connections are served meanwhile.
_BALANCER_DELAY = datetime.timedelta(seconds=2.5)
_STOP_POLL_INTERVAL = datetime.timedelta(seconds=0.05)
# Time reserved for the exit of the process within the stop limit.
_STOP_MARGIN = datetime.timedelta(seconds=1)
_MAX_CLIENT_CONNECTIONS = 1024
_KEEPALIVE_SECONDS = 60
# Metrics that all owners of the process share.
_OWNER_COLLECTORS = (
    _inquiries.QUESTIONS,
    _inquiries.QUESTION_SECONDS,
    _standstills.STANDSTILL_SECONDS,
)


class EntryProcess:
    """One entry instance of a deployment."""

    def __init__(
        self, settings: _settings.EntrySettings, clock: _clock.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        registry = _metrics.create_registry()
        for collector in _OWNER_COLLECTORS:
            registry.register(collector)
        self._metrics = _metrics.EntryMetrics(registry)
        self._incarnation = secrets.token_hex(8)
        self._calls = _calls.EntryCalls()
        store = _store_relay.RelayedStore(
            platform.TableStore(settings.store_address, clock),
            self._calls,
            self._list_peers,
            clock,
        )
        self._store = store
        layout = platform.PlatformLayout()
        self._directory = _directory.Directory(store, layout, clock)
        self._shards = _shards.ShardManager(
            _shards.Identity(
                settings.name,
                settings.peer_address,
                self._incarnation,
                _measure_capacity(settings),
            ),
            _shards.PlatformClients(
                store,
                _load.CountedWorkerClient(
                    platform.WorkerCalls(), self._metrics
                ),
                platform.InstanceCalls(settings.instances_address),
                layout,
                platform.decode_job,
                platform.AdvisorCalls(settings.advisor_address)
                if settings.advisor_address
                else None,
            ),
            self._directory,
            _requests.OwnerRequests(
                settings.peer_address, self, self._directory, self._calls
            ),
            clock,
            lambda duration: self._metrics.plan_seconds.observe(
                duration.total_seconds()
            ),
        )
        self._reachability = _reachability.ReachabilityWatch(
            lambda: self._directory.terms_read_at,
            self._calls,
            self._list_peers,
            clock,
        )
        self._dispatcher = _dispatcher.JobDispatcher(
            self._shards,
            self._directory,
            self._calls,
            self._reachability,
            clock,
        )
        self._ingress = platform.Ingress(
            self._dispatcher,
            lambda: self._directory.configuration,
            lambda: self._is_stopping,
            self._metrics,
            clock,
        )
        self._is_stopping = False

    def run(self) -> None:
        """Serve until a signal asks to stop."""
        settings = self._settings
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGINT, self._request_stop)
        # Settings are mostly addresses, which need a new process.
        signal.signal(signal.SIGHUP, self._log_reload)
        _LOG.info(
            'entry instance started',
            extra={'entry': settings.name, 'incarnation': self._incarnation},
        )
        self._directory.start()
        self._serve()
        _loop.spawn_logging_errors(self._reachability.run)
        watch = _load.LoopWatch(self._clock, self._metrics, self)
        _loop.spawn_logging_errors(watch.run)
        guard = _guards.Guard('claims', self._clock)
        while not self._is_stopping:
            self._clock.sleep(_CLAIM_INTERVAL)
            guard.attempt(self._update_shards, watch.is_overloaded)
        self._stop()

    def _update_shards(self, is_overloaded: bool) -> None:
        """Release a shard that is too much, and claim vacant ones."""
        if is_overloaded:
            self._shards.hand_over()
        self._shards.claim_vacant()

    def _serve(self) -> None:
        settings = self._settings
        _loop.spawn(
            _calls.EntryServer(self).serve,
            _listeners.open_listener(settings.peer_address),
        )
        _listeners.serve_wsgi(
            settings.readiness_address,
            platform.create_readiness_application(self._is_ready),
            None,
        )
        _listeners.serve_wsgi(
            settings.metrics_address,
            _state_dump.add_state(
                prometheus_client.make_wsgi_app(self._metrics.registry),
                lambda: _state_dump.describe_state(
                    self._directory, self._shards
                ),
            ),
            None,
        )
        _listeners.serve_wsgi(
            settings.serving_address,
            self._ingress,
            None,
            max_size=_MAX_CLIENT_CONNECTIONS,
            keepalive=_KEEPALIVE_SECONDS,
        )

    def _is_ready(self) -> bool:
        return (
            not self._is_stopping
            and self._directory.configuration is not None
            and not self._reachability.is_isolated
        )

    def _list_peers(self) -> list[str]:
        """Return the addresses of the other last known owners of shards."""
        own = self._settings.peer_address
        addresses = {
            observed.term.address
            for observed in self._directory.observed_terms.values()
        }
        return sorted(addresses - {own})

    def _request_stop(self, number: int, frame: object) -> None:
        del number, frame
        self._is_stopping = True

    def _log_reload(self, number: int, frame: object) -> None:
        del number, frame
        _LOG.info(
            'SIGHUP ignored: settings are read only when the process starts'
        )

    def _stop(self) -> None:
        """Release the shards and finish the requests in progress."""
        started_at = self._clock.monotonic()
        _LOG.info('stopping', extra={'shards': self._shards.release_all()})
        end = started_at + self._settings.stop_limit - _STOP_MARGIN
        while self._clock.monotonic() < end:
            elapsed = self._clock.monotonic() - started_at
            if elapsed >= _BALANCER_DELAY and not self._ingress.in_progress:
                break
            self._clock.sleep(_STOP_POLL_INTERVAL)
        _LOG.info('stopped', extra={'in_progress': self._ingress.in_progress})

    def describe_work(self) -> Mapping[str, Any]:
        """Return the owned shards and the work done so far, for a log line."""
        shards = [ledger.shard for ledger in self._shards.list_ledgers()]
        return {'shards': shards, **self._metrics.summarise_work()}

    # Handlers of calls from other entry instances.

    def handle(self, call: _calls.JobCall) -> _calls.JobReply:
        """Execute a job call as the owner of the pool."""
        return self._dispatcher.handle(call)

    def vacate(self, pool: str, worker: str) -> bool:
        """Evacuate a worker; True once its instance may be taken away."""
        owner = self._shards.find_owner(pool)
        return owner is not None and owner.vacate(worker)

    def measure(self, pool: str, lendable_millicores: int) -> _calls.PoolLoad:
        """Return the load of a pool, marked if it is not owned here."""
        owner = self._shards.find_owner(pool)
        if owner is None or not owner.is_ready:
            return _calls.PoolLoad(workers=[], is_owned=False)
        return _calls.encode_load(owner.measure(lendable_millicores))

    def carry(self, call: _calls.StoreCall) -> _calls.StoreReply:
        """Make a table service call for another entry instance."""
        return self._store.carry(call)

    def reaches_store(self) -> bool:
        """Return whether the store answered lately, directly or relayed."""
        return self._reachability.reaches_store()


def _measure_capacity(settings: _settings.EntrySettings) -> float:
    """Return the capacity of the entry instance to own shards, in cores."""
    return _claims.measure_capacity(
        _claims.Limits(
            settings.processor_share, settings.processor_speed, settings.link
        )
    )
