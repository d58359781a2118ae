"""The router process: its components, loops and graceful shutdown."""

from collections.abc import Callable, Iterable
import dataclasses
import datetime
import functools
import logging
import random
import signal
import time
from typing import Any
import uuid

import prometheus_client
from returns import result

from skylarktally import _admin
from skylarktally import _bootstrap
from skylarktally import _certificates
from skylarktally import _claims
from skylarktally import _clock
from skylarktally import _collectors
from skylarktally import _dumps
from skylarktally import _errors
from skylarktally import _fleet
from skylarktally import _gossip
from skylarktally import _handlers
from skylarktally import _journal
from skylarktally import _limits
from skylarktally import _listeners
from skylarktally import _loop
from skylarktally import _membership
from skylarktally import _metrics
from skylarktally import _peers
from skylarktally import _pipeline
from skylarktally import _platform_clients
from skylarktally import _replies
from skylarktally import _resources
from skylarktally import _server
from skylarktally import _settings
from skylarktally import _snapshots
from skylarktally import _tokens

log = logging.getLogger(__name__)

# Peers asked for the fleet state at startup; more of them would only repeat
# it.
_BOOTSTRAP_PEERS = 8
# Gossip steps that may run at the same time, because earlier ones wait for
# unresponsive peers.
_MAX_GOSSIP_STEPS = 8
# Fraction by which each period varies at random, so that routers started
# together do not stay synchronized.
_PERIOD_JITTER = 0.25
_MAX_ADMIN_CONNECTIONS = 64
# How long the table must have been reachable before the router derives its
# share of the platform's rates from its own count of live members. Members
# become known within some gossip periods; after a network partition has healed
# it takes up to 4 s.
_SETTLING_TIME = datetime.timedelta(seconds=10)


@dataclasses.dataclass
class _ServingSettings:
    """Settings of the request path; a _pipeline.Settings."""

    name: str
    zone: str
    serving_address: str
    limits: _limits.ServingLimits


class Router:
    """One router process."""

    def __init__(
        self,
        settings: _settings.RouterSettings,
        path: str,
        clock: _clock.Clock,
    ) -> None:
        """Create the router.

        :param path: the settings file; its tokens are reloaded when it
            changes
        """
        self._settings = settings
        self._certificates = _certificates.CertificateStore(settings.tls)
        token_file = _tokens.TokenFile(_settings.RouterSettings, path)
        self._tokens = _tokens.TokenStore(token_file.read, clock)
        self._clock = clock
        self._random = random.Random()
        self._draining = False
        self._finished = _loop.Event()
        self._running_gossip_steps = 0
        self._is_surplus = False
        # Whether the last poll of the table succeeded.
        self._is_table_reachable = False
        incarnation = time.time_ns()
        self.fleet = _fleet.Fleet()
        self._build_membership(incarnation)
        self._build_platform()
        self._build_serving(incarnation)
        self._build_diagnostics()

    def _build_membership(self, incarnation: int) -> None:
        settings = self._settings
        own = _membership.Member(
            settings.name,
            settings.zone,
            incarnation,
            settings.peer_address,
            settings.serving_url,
        )
        self.membership = _membership.Membership(
            self._clock,
            own,
            settings.seeds,
            settings.suspect_after,
            settings.dead_after,
        )
        self._peer_client = _peers.ThriftPeerClient(
            _peers.collect_secrets(settings),
            settings.peer_timeout,
            settings.snapshot_timeout,
            settings.peer_clients,
            settings.peer_frame_bytes,
            self._certificates.find('peer'),
            settings.peer_listen_address or settings.peer_address,
        )
        self._snapshots = _snapshots.Snapshots(self.fleet)
        self._gossip = _gossip.Gossip(
            self.membership,
            self.fleet,
            self._peer_client,
            self._random,
            _gossip.GossipLimits(
                zone_ratio=settings.gossip_zone_ratio,
                members_bytes=settings.gossip_members_bytes,
                entries=settings.sync_entries,
            ),
            self._snapshots.load,
        )

    def _build_platform(self) -> None:
        settings = self._settings
        services = _platform_clients.build_platform_clients(
            settings,
            self._clock,
            self._certificates.find('platform'),
            _limits.ROUTER_RATES,
            _SETTLING_TIME,
        )
        self._shares = services.shares
        self._table = services.table
        self._objects = services.objects
        self._journal = _journal.Journal(
            self._table, self.fleet, self._clock, settings.name
        )

    def _build_serving(self, incarnation: int) -> None:
        settings = self._settings
        owner = _claims.Owner(
            settings.name, incarnation, settings.peer_address
        )
        self._claims = _claims.Claims(
            self._table, self._clock, owner, settings.limits
        )
        self._registry = _metrics.create_registry()
        self._pipeline = _pipeline.Pipeline(
            _ServingSettings(
                settings.name,
                settings.zone,
                settings.serving_url,
                settings.limits,
            ),
            self.fleet,
            self._clock,
            self._claims,
            _handlers.OtherRouters(self.membership, self._peer_client),
            _metrics.ServingMetrics(self._registry),
            self._authenticate,
            self._certificates.find('upstream'),
        )
        handler = _handlers.PeerHandler(
            self._gossip, self._snapshots, self._claims, self._pipeline.observe
        )
        self._peer_server = _peers.PeerServer(
            handler,
            _peers.collect_secrets(settings),
            settings.peer_server_connections,
            settings.peer_frame_bytes,
            self._certificates.find('peer'),
        )

    def _build_diagnostics(self) -> None:
        self._dump = _dumps.Dump()
        for name, read in (
            ('log_version', lambda: self.fleet.version),
            ('not_ready', self.list_unready_reasons),
            ('settings', lambda: _dumps.describe_settings(self._settings)),
            ('membership', self.membership.dump),
            ('gossip', lambda: self._gossip.counts),
            ('peer_calls', lambda: self._peer_client.counts),
            ('platform_share', lambda: self._shares.current._asdict()),
            ('peer_server', lambda: self._peer_server.counts),
            ('pipeline', self._pipeline.dump),
        ):
            self._dump.add_section(name, read)
        prefix = 'skylarktally_router'
        prometheus_client.ProcessCollector(registry=self._registry)
        self._registry.register(_tokens.REFUSALS)
        self._registry.register(_certificates.RELOADS)
        self._registry.register(_certificates.HANDSHAKE_FAILURES)
        self._registry.register(
            _collectors.StateCollector(
                (
                    (
                        f'{prefix}_gossip',
                        'Gossip messages by kind.',
                        lambda: self._gossip.counts,
                    ),
                    (
                        f'{prefix}_peer_calls',
                        'Calls to peers and their bytes by kind.',
                        lambda: self._peer_client.counts,
                    ),
                    (
                        f'{prefix}_peer_server',
                        'Connections of peers by kind.',
                        lambda: self._peer_server.counts,
                    ),
                ),
                (
                    (
                        f'{prefix}_log_version',
                        'Log version in force.',
                        lambda: {'in_force': self.fleet.version},
                    ),
                    (
                        f'{prefix}_members',
                        'Other members by state.',
                        self.membership.count_states,
                    ),
                ),
            )
        )
        self._admin = _admin.Admin(
            self._dump, self.list_unready_reasons, self._registry
        )

    def list_unready_reasons(self) -> list[str]:
        """Return the reasons why this router is not ready, if any."""
        reasons = []
        if self._draining:
            reasons.append('shutting down')
        if not self._gossip.loaded:
            reasons.append('no state from the table, a peer or a snapshot')
        if self.membership.superseded_by is not None:
            reasons.append('a newer process uses the name of this one')
        if self._check_surplus():
            reasons.append(
                'the zone already has its maximum number of routers'
            )
        return reasons

    def _check_surplus(self) -> bool:
        """Tell whether the zone has enough routers without this one.

        The oldest routers of a zone serve, up to the limit. All routers sort
        by the same key and agree on which one is surplus, so that a surplus
        router does not put the others out of service.
        """
        oldest = sorted(
            self.membership.list_not_dead(self._settings.zone),
            key=lambda member: (member.incarnation, member.name),
        )
        surplus = oldest[self._settings.routers_per_zone_limit :]
        return self.membership.own in surplus

    def run(self) -> None:
        """Serve until the graceful shutdown is complete."""
        settings = self._settings
        self._dump.install_signal()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_stop_signal)
        peer_listener = _listeners.open_listener(
            settings.peer_listen_address or settings.peer_address
        )
        _loop.spawn(self._peer_server.serve, peer_listener)
        _listeners.serve_wsgi(
            settings.admin_address,
            self._admin.application,
            self._certificates.find('admin'),
            max_size=_MAX_ADMIN_CONNECTIONS,
            socket_timeout=settings.progress_timeout.total_seconds(),
        )
        _loop.spawn(
            _server.serve,
            _listeners.open_listener(settings.serving_address),
            self.application,
            settings.limits,
            self._certificates.find('serving'),
        )
        self._certificates.install_sighup_handler()
        _loop.spawn(self._certificates.reload_changed_files, self._clock)
        _loop.spawn(self._follow_table)
        _loop.spawn(self._repeat, self._start_gossip, settings.gossip_interval)
        log.info('router started', extra={'zone': settings.zone})
        self._finished.wait()
        log.info('router stopped')

    def application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a caller; refuse all requests before a state is loaded.

        A surplus router refuses as well, since each worker's connections are
        divided among a fixed number of routers.
        """
        if not self._gossip.loaded:
            failure = _errors.Failure(
                _errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'the router has no state yet',
            )
        elif self._is_surplus:
            failure = _errors.Failure(
                _errors.ErrorKind.NO_CAPACITY,
                'the zone already has its maximum number of routers',
            )
        else:
            return self._pipeline.application(environ, start_response)
        reply = _replies.create_error_reply(failure, uuid.uuid4().hex)
        start_response(reply.status, reply.headers)
        return reply.body

    def _follow_table(self) -> None:
        _bootstrap.Bootstrap(
            self._clock, self._poll_table, self._list_other_sources
        ).run()
        self._gossip.loaded = True
        self._repeat(self._poll_table, self._settings.table_poll_interval)

    def _poll_table(self) -> bool:
        self._is_table_reachable = isinstance(
            self._journal.refresh(), result.Success
        )
        return self._is_table_reachable

    def _list_other_sources(self) -> dict[str, _bootstrap.Source]:
        """Return the sources of the state other than the table, by name."""
        addresses = {
            member.peer_address for member in self.membership.list_alive()
        }
        addresses.update(self.membership.list_unheard_addresses())
        chosen = self._random.sample(
            sorted(addresses), min(len(addresses), _BOOTSTRAP_PEERS)
        )
        sources: dict[str, _bootstrap.Source] = {
            address: functools.partial(self._load_from_peer, address)
            for address in chosen
        }
        sources['objects'] = lambda: isinstance(
            self._snapshots.load_object(self._objects.read), result.Success
        )
        return sources

    def _load_from_peer(self, address: str) -> bool:
        version = self._gossip.exchange(address)
        return version is not None and version >= 0

    def _start_gossip(self) -> None:
        self._is_surplus = self._check_surplus()
        self._shares.update(
            len(self.membership.list_not_dead()), self._is_table_reachable
        )
        # A step that calls an unresponsive peer lasts until the call times
        # out, which can be longer than a gossip period.
        if self._running_gossip_steps < _MAX_GOSSIP_STEPS:
            _loop.spawn(self._run_gossip_step)

    def _run_gossip_step(self) -> None:
        self._running_gossip_steps += 1
        try:
            self._gossip.step()
        finally:
            self._running_gossip_steps -= 1

    def _repeat(
        self, action: Callable[[], Any], interval: datetime.timedelta
    ) -> None:
        while True:
            try:
                action()
            # An error in one period must not end the loop.
            except Exception:
                log.exception('periodic action failed')
            factor = self._random.uniform(
                1 - _PERIOD_JITTER, 1 + _PERIOD_JITTER
            )
            self._clock.sleep(interval * factor)

    def _authenticate(
        self, header: str | None, pool: str | None
    ) -> result.Result[_tokens.Identity, _errors.Failure]:
        pool_resource = None
        if pool is not None:
            pool_resource = self.fleet.find(_resources.Kind.POOL, pool)
        team = pool_resource['spec'].get('team') if pool_resource else None

        def check(
            identity: _tokens.Identity,
        ) -> result.Result[_tokens.Identity, _errors.Failure]:
            return _handlers.check_caller(identity, team)

        return self._tokens.identify(header or '').bind(check)

    def _handle_stop_signal(self, number: int, frame: Any) -> None:
        # A signal handler can interrupt any code, so the shutdown runs in a
        # green thread of its own. A repeated signal has no effect.
        if not self._draining:
            self._draining = True
            _loop.spawn_after(0, self._shut_down)

    def _shut_down(self) -> None:
        """Shut down gracefully.

        The router reports that it is not ready and tells its peers that it
        leaves, but still serves for the time of the drain notice, in which
        the balancer reacts. Then it refuses new requests and waits for the
        running ones, for the drain limit at most.
        """
        settings = self._settings
        log.info('graceful shutdown started')
        self.membership.leave()
        self._clock.sleep(settings.drain_notice)
        finished = False
        try:
            with _loop.Timeout(settings.drain_limit.total_seconds(), False):
                self._pipeline.drain()
                finished = True
        finally:
            if not finished:
                log.error('drain limit reached with requests still running')
            self._peer_client.close()
            self._finished.send(finished)
