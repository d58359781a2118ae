"""The controller process: its parts, its loops and its graceful shutdown."""

from collections.abc import Callable
import datetime
import logging
import signal
import time
from typing import Any

import prometheus_client

from skylarktally import _admin
from skylarktally import _api
from skylarktally import _batch
from skylarktally import _certificates
from skylarktally import _clock
from skylarktally import _controller_metrics
from skylarktally import _dumps
from skylarktally import _explanations
from skylarktally import _fleet
from skylarktally import _journal
from skylarktally import _leases
from skylarktally import _limits
from skylarktally import _listeners
from skylarktally import _loop
from skylarktally import _observations
from skylarktally import _peers
from skylarktally import _platform_clients
from skylarktally import _reconciler
from skylarktally import _resources
from skylarktally import _routers
from skylarktally import _runs
from skylarktally import _settings
from skylarktally import _steps
from skylarktally import _tokens
from skylarktally import _watches
from skylarktally import _workers

log = logging.getLogger(__name__)

_RENEW_INTERVAL = datetime.timedelta(seconds=1)
# A drain is looked at more often than the interval of the settings, because
# its instance serves nobody until it ends.
_DRAIN_INTERVAL = datetime.timedelta(seconds=0.25)
# Well below the time after which a router counts as dead.
_LEARN_INTERVAL = datetime.timedelta(seconds=3)
_PARALLEL_WORKERS = 16
# Two counts of the controllers, 16 s apart, with some time to spare.
_SETTLE = datetime.timedelta(seconds=40)
_API_CONNECTIONS = 256
_ADMIN_CONNECTIONS = 64
_STOP_LIMIT = datetime.timedelta(seconds=10)
_PUSH_LIMIT = 200


class Controller:
    """One controller process."""

    def __init__(
        self,
        settings: _settings.ControllerSettings,
        settings_path: str,
        clock: _clock.Clock,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self._settings = settings
        self._certificates = _certificates.CertificateStore(settings.tls)
        self._settings_path = settings_path
        self._clock = clock
        self._registry = registry
        self._stopping = False
        self._finished = _loop.Event()
        self._notifier = _watches.VersionNotifier()
        # Versions pushed to the local router, and looked at for own drains.
        self._pushed = 0
        self._fenced = 0
        incarnation = time.time_ns()
        self.fleet = _fleet.Fleet()
        self.fleet.subscribe(self._notifier.notify)
        self._build_platform(incarnation)
        self._build_parts(f'{settings.name}/{incarnation}')
        self._build_diagnosis()

    def _build_platform(self, incarnation: int) -> None:
        settings = self._settings
        services = _platform_clients.build_platform_clients(
            settings,
            self._clock,
            self._certificates.find('platform'),
            _limits.CONTROLLER_RATES,
            _SETTLE,
        )
        self._shares = services.shares
        self._table = services.table
        self._objects = services.objects
        self._instances = services.instances
        self.journal = _journal.Journal(
            self._table, self.fleet, self._clock, settings.name
        )
        self.leases = _leases.ShardLeases(
            self._table,
            self._clock,
            settings.zone,
            settings.name,
            incarnation,
            _leases.LeaseTimes(
                settings.beat_interval,
                settings.lease_hold,
                settings.lease_expiry,
            ),
        )

    def _build_parts(self, holder: str) -> None:
        settings = self._settings
        self._explanations = _explanations.Explanations(settings.explanations)
        self._metrics = _controller_metrics.ControllerMetrics(self._registry)
        self._workers = _workers.HttpWorkerApi(
            settings.peer_timeout, self._certificates.find('upstream')
        )
        dependencies = _steps.Dependencies(
            self.journal,
            self.fleet,
            self.leases,
            self._workers,
            self._instances,
            self._clock,
            self._explanations,
            settings.zone,
        )
        self._worker_monitor = _observations.WorkerMonitor(self._clock)
        self._demand = _observations.DemandTracker(self._clock)
        self._batch = _batch.BatchRunner(
            dependencies,
            _runs.RunTable(self._table),
            self._metrics,
            holder,
            _loop.spawn,
        )
        self._reconciler = _reconciler.Reconciler(
            dependencies,
            self.journal,
            self._worker_monitor,
            self._demand,
            self._metrics,
            self._batch,
            _loop.GreenPool(_PARALLEL_WORKERS).imap,
            settings.build_move_policy(),
            settings.cordon_time,
        )
        self._snapshots = _reconciler.SnapshotWriter(
            self.fleet, self._objects, settings.snapshot_versions
        )
        self._calls = _peers.ThriftPeerClient(
            _peers.collect_secrets(settings),
            settings.peer_timeout,
            settings.snapshot_timeout,
            settings.peer_clients,
            settings.peer_frame_bytes,
            self._certificates.find('peer'),
            settings.peer_listen_address or settings.peer_address,
        )
        self._routers = _routers.ZoneRouters(
            self._calls,
            settings.peer_address,
            settings.seeds,
            settings.zone,
            self._clock,
        )
        token_file = _tokens.TokenFile(
            _settings.ControllerSettings, self._settings_path
        )
        tokens = _tokens.TokenStore(token_file.read, self._clock)
        self._api = _api.Api(
            self.journal, self.fleet, tokens, self._clock, self._explanations
        )

    def _build_diagnosis(self) -> None:
        self._dump = _dumps.Dump()
        shards = range(_leases.SHARDS)
        for name, read in (
            ('log_version', lambda: self.fleet.version),
            ('not_ready', self.list_unready_reasons),
            ('settings', lambda: _dumps.describe_settings(self._settings)),
            ('shards', lambda: list(filter(self.leases.holds, shards))),
            ('routers', self._routers.list_addresses),
            ('pushed_version', lambda: self._pushed),
            ('peer_calls', lambda: self._calls.counts),
            ('demand', self._demand.sum_by_pool),
            ('platform_share', lambda: self._shares.current._asdict()),
            ('own_runs', self._batch.count_awaited_tasks),
        ):
            self._dump.add_section(name, read)
        self._admin = _admin.Admin(
            self._dump, self.list_unready_reasons, self._registry
        )

    def list_unready_reasons(self) -> list[str]:
        """Return why the API should not be used here."""
        reasons = []
        if self._stopping:
            reasons.append('shutting down')
        if not self._reconciler.has_read_table:
            reasons.append('the table has not been read yet')
        return reasons

    def run(self) -> None:
        """Work until a graceful shutdown has finished."""
        settings = self._settings
        self._dump.install_signal()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_stop)
        for role, address, application, limit in (
            (
                'admin',
                settings.admin_address,
                self._admin.application,
                _ADMIN_CONNECTIONS,
            ),
            (
                'api',
                settings.api_address,
                self._api.application,
                _API_CONNECTIONS,
            ),
        ):
            certificates = self._certificates.find(role)
            _listeners.serve_wsgi(
                address, application, certificates, max_size=limit
            )
        self._certificates.install_sighup_handler()
        _loop.spawn(self._certificates.reload_changed_files, self._clock)
        for act, interval in (
            (self._renew, _RENEW_INTERVAL),
            (self._learn_routers, _LEARN_INTERVAL),
            (self._observe, settings.reconcile_interval),
            (self._push, settings.reconcile_interval),
            (self._snapshots.step, settings.reconcile_interval),
        ):
            _loop.spawn(self._repeat, act, interval)
        _loop.spawn(self._reconcile)
        log.info('controller started', extra={'zone': settings.zone})
        self._finished.wait()
        log.info('controller stopped')

    def _repeat(
        self, act: Callable[[], Any], interval: datetime.timedelta
    ) -> None:
        while not self._stopping:
            self._guard(act)
            if act == self._push:
                self._notifier.wait(interval.total_seconds())
            else:
                self._clock.sleep(interval)

    def _guard(self, act: Callable[[], Any]) -> Any:
        # A fault in one period must not end all later ones.
        try:
            return act()
        except Exception:
            log.exception('a periodic action failed')
            return None

    def _reconcile(self) -> None:
        while not self._stopping:
            busy = self._guard(self._reconciler.step)
            # A new version wakes the loop, but not more often than this.
            self._clock.sleep(_DRAIN_INTERVAL)
            if not busy:
                rest = self._settings.reconcile_interval - _DRAIN_INTERVAL
                self._notifier.wait(max(rest.total_seconds(), 0.01))

    def _observe(self) -> None:
        """Read the routers, if this controller decides anything by it."""
        if not any(map(self.leases.holds, range(_leases.SHARDS))):
            return
        for router, report in self._routers.fetch_observations():
            self._demand.record_report(router, report)
            self._worker_monitor.record_counters(
                router, report.get('workers', {})
            )

    def _renew(self) -> None:
        self.leases.renew()
        self._shares.update(
            self.leases.live_controller_count, self.leases.is_table_reachable
        )

    def _learn_routers(self) -> None:
        self._routers.discover(self.fleet.version)

    def _push(self) -> None:
        """Hand new log entries to the local router."""
        while self._pushed < self.fleet.version:
            records = self.fleet.read_records(self._pushed, _PUSH_LIMIT)
            if not records:
                # The router takes a snapshot from the table.
                self._pushed = self.fleet.version
                return
            self._fence_own(records)
            version = self._routers.push_records(records)
            if version is None:
                return
            self._note_rollout(records)
            self._pushed = records[-1]['version']

    def _note_rollout(self, records: list[_resources.LogRecord]) -> None:
        now = self._clock.now()
        for record in records:
            accepted = datetime.datetime.fromisoformat(record['accepted_at'])
            self._metrics.rollout_seconds.observe(
                max((now - accepted).total_seconds(), 0)
            )

    def _fence_own(self, records: list[_resources.LogRecord]) -> None:
        """Raise the fences of the drains that this process has written.

        The entry may concern another zone, whose controllers read it from
        the table a little later; a fence above the present one does no
        harm whoever raises it.
        """
        for record in records:
            own = record['author'] == self._settings.name
            if not own or record['version'] <= self._fenced:
                continue
            self._fenced = record['version']
            for change in record['changes']:
                value = change['value']
                if value and value['status'].get('phase') == 'draining':
                    instance = _resources.decode_instance(value)
                    # A worker that does not answer must not hold back
                    # the push to the routers.
                    _loop.spawn(
                        _steps.fence_draining_worker, self._workers, instance
                    )

    def _handle_stop(self, number: int, frame: Any) -> None:
        # The handler runs in the middle of any code; a repeated signal
        # changes nothing.
        if not self._stopping:
            self._stopping = True
            _loop.spawn_after(0, self._stop)

    def _stop(self) -> None:
        """Finish the batch runs waited for, then give the leases back."""
        log.info('graceful shutdown begins')
        self._api.close()
        self._notifier.notify()
        end = self._clock.monotonic() + _STOP_LIMIT
        while (
            self._batch.count_awaited_tasks() and self._clock.monotonic() < end
        ):
            self._clock.sleep(_DRAIN_INTERVAL)
        with _loop.Timeout(_STOP_LIMIT.total_seconds(), False):
            self.leases.release()
        self._calls.close()
        self._finished.send(True)
