"""The controller process: its components, loops and graceful shutdown."""

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

_LEASE_INTERVAL = datetime.timedelta(seconds=1)
# While an instance drains, cycles are more frequent than the interval of the
# settings, because it serves no requests until the drain ends.
_DRAIN_INTERVAL = datetime.timedelta(seconds=0.25)
# Well below the 10 s after which a router counts as dead.
_DISCOVERY_INTERVAL = datetime.timedelta(seconds=3)
_CONCURRENT_STEPS = 16
# Time until this process trusts its own count of the live controllers. It
# spans two counts, which are 16 s apart, with a margin.
_COUNT_SETTLE_TIME = datetime.timedelta(seconds=40)
_API_CONNECTIONS = 256
_ADMIN_CONNECTIONS = 64
_SHUTDOWN_LIMIT = datetime.timedelta(seconds=10)
_RECORDS_PER_PUSH = 200


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
        self._shutdown_finished = _loop.Event()
        self._notifier = _watches.VersionNotifier()
        # Log version up to which records were pushed to a router.
        self._pushed_version = 0
        # Log version up to which records were checked for drains that this
        # process has written.
        self._fence_checked_version = 0
        incarnation = time.time_ns()
        self.fleet = _fleet.Fleet()
        self.fleet.subscribe(self._notifier.notify)
        self._build_platform_clients(incarnation)
        self._build_components(f'{settings.name}/{incarnation}')
        self._build_diagnostics()

    def _build_platform_clients(self, incarnation: int) -> None:
        settings = self._settings
        clients = _platform_clients.build_platform_clients(
            settings,
            self._clock,
            self._certificates.find('platform'),
            _limits.CONTROLLER_RATES,
            _COUNT_SETTLE_TIME,
        )
        self._shares = clients.shares
        self._table = clients.table
        self._objects = clients.objects
        self._instances = clients.instances
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

    def _build_components(self, holder: str) -> None:
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
            _loop.GreenPool(_CONCURRENT_STEPS).imap,
            settings.build_move_policy(),
            settings.cordon_time,
        )
        self._snapshots = _reconciler.SnapshotWriter(
            self.fleet, self._objects, settings.snapshot_versions
        )
        self._peer_calls = _peers.ThriftPeerClient(
            _peers.collect_secrets(settings),
            settings.peer_timeout,
            settings.snapshot_timeout,
            settings.peer_clients,
            settings.peer_frame_bytes,
            self._certificates.find('peer'),
            settings.peer_listen_address or settings.peer_address,
        )
        self._routers = _routers.ZoneRouters(
            self._peer_calls,
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

    def _build_diagnostics(self) -> None:
        self._dump = _dumps.Dump()
        shards = range(_leases.SHARDS)
        for name, read in (
            ('log_version', lambda: self.fleet.version),
            ('not_ready', self.list_unready_reasons),
            ('settings', lambda: _dumps.describe_settings(self._settings)),
            ('shards', lambda: list(filter(self.leases.holds, shards))),
            ('routers', self._routers.list_addresses),
            ('pushed_version', lambda: self._pushed_version),
            ('peer_calls', lambda: self._peer_calls.counts),
            ('demand', self._demand.sum_by_pool),
            ('platform_share', lambda: self._shares.current._asdict()),
            ('own_runs', self._batch.count_awaited_tasks),
        ):
            self._dump.add_section(name, read)
        self._admin = _admin.Admin(
            self._dump, self.list_unready_reasons, self._registry
        )

    def list_unready_reasons(self) -> list[str]:
        """Return why this process is not ready; empty when it is.

        The admin port shows the reasons under /readyz.
        """
        reasons = []
        if self._stopping:
            reasons.append('shutting down')
        if not self._reconciler.has_read_table:
            reasons.append('the table has not been read yet')
        return reasons

    def run(self) -> None:
        """Run the process until its graceful shutdown has finished."""
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
        for action, interval in (
            (self._renew_leases, _LEASE_INTERVAL),
            (self._discover_routers, _DISCOVERY_INTERVAL),
            (self._read_observations, settings.reconcile_interval),
            (self._push_records, settings.reconcile_interval),
            (self._snapshots.step, settings.reconcile_interval),
        ):
            _loop.spawn(self._repeat, action, interval)
        _loop.spawn(self._reconcile)
        log.info('controller started', extra={'zone': settings.zone})
        self._shutdown_finished.wait()
        log.info('controller stopped')

    def _repeat(
        self, action: Callable[[], Any], interval: datetime.timedelta
    ) -> None:
        while not self._stopping:
            self._run_logging_errors(action)
            if action == self._push_records:
                self._notifier.wait(interval.total_seconds())
            else:
                self._clock.sleep(interval)

    def _run_logging_errors(self, action: Callable[[], Any]) -> Any:
        # An error in one period must not end the loop.
        try:
            return action()
        except Exception:
            log.exception('a periodic action failed')
            return None

    def _reconcile(self) -> None:
        while not self._stopping:
            is_draining = self._run_logging_errors(self._reconciler.step)
            # A new version wakes the loop, but not within _DRAIN_INTERVAL.
            self._clock.sleep(_DRAIN_INTERVAL)
            if not is_draining:
                remaining = self._settings.reconcile_interval - _DRAIN_INTERVAL
                self._notifier.wait(max(remaining.total_seconds(), 0.01))

    def _read_observations(self) -> None:
        """Read what the routers observe.

        A controller without any shard makes no decision that needs it.
        """
        if not any(map(self.leases.holds, range(_leases.SHARDS))):
            return
        for router, report in self._routers.fetch_observations():
            self._demand.record_report(router, report)
            self._worker_monitor.record_counters(
                router, report.get('workers', {})
            )

    def _renew_leases(self) -> None:
        self.leases.renew()
        self._shares.update(
            self.leases.live_controller_count, self.leases.is_table_reachable
        )

    def _discover_routers(self) -> None:
        self._routers.discover(self.fleet.version)

    def _push_records(self) -> None:
        """Push new log records to the local router, or to another one.

        Drains that this process has written are fenced before the push.
        """
        while self._pushed_version < self.fleet.version:
            records = self.fleet.read_records(
                self._pushed_version, _RECORDS_PER_PUSH
            )
            if not records:
                # The records have been trimmed; the router reads a snapshot
                # from the table instead.
                self._pushed_version = self.fleet.version
                return
            self._fence_own_drains(records)
            version = self._routers.push_records(records)
            if version is None:
                return
            self._record_rollout_times(records)
            self._pushed_version = records[-1]['version']

    def _record_rollout_times(
        self, records: list[_resources.LogRecord]
    ) -> None:
        now = self._clock.now()
        for record in records:
            accepted_at = datetime.datetime.fromisoformat(
                record['accepted_at']
            )
            self._metrics.rollout_seconds.observe(
                max((now - accepted_at).total_seconds(), 0)
            )

    def _fence_own_drains(self, records: list[_resources.LogRecord]) -> None:
        """Raise the fences of the drains that this process has written.

        The instance may belong to another zone, whose controllers read the
        record from the table a little later. A fence can only grow, so it
        does not matter which process raises it.
        """
        for record in records:
            is_own = record['author'] == self._settings.name
            if not is_own or record['version'] <= self._fence_checked_version:
                continue
            self._fence_checked_version = record['version']
            for change in record['changes']:
                value = change['value']
                if value and value['status'].get('phase') == 'draining':
                    instance = _resources.decode_instance(value)
                    # An unresponsive worker must not delay the push to
                    # the routers.
                    _loop.spawn(
                        _steps.fence_draining_worker, self._workers, instance
                    )

    def _handle_stop(self, number: int, frame: Any) -> None:
        # A signal interrupts arbitrary code, so the shutdown runs in a
        # green thread. Repeated signals have no effect.
        if not self._stopping:
            self._stopping = True
            _loop.spawn_after(0, self._shut_down)

    def _shut_down(self) -> None:
        """Wait for the batch runs of this process, then release its leases.

        The wait and the release take at most _SHUTDOWN_LIMIT each.
        """
        log.info('graceful shutdown begins')
        self._api.close()
        self._notifier.notify()
        deadline = self._clock.monotonic() + _SHUTDOWN_LIMIT
        while (
            self._batch.count_awaited_tasks()
            and self._clock.monotonic() < deadline
        ):
            self._clock.sleep(_DRAIN_INTERVAL)
        with _loop.Timeout(_SHUTDOWN_LIMIT.total_seconds(), False):
            self.leases.release()
        self._peer_calls.close()
        self._shutdown_finished.send(True)
