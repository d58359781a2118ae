"""The router process: its parts, its loops and its graceful shutdown."""

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

# Peers asked for a state at start; more would only repeat it.
_BOOTSTRAP_PEERS = 8
# Gossip calls that wait for silent peers at the same time.
_GOSSIP_LIMIT = 8
# Periods vary by this share, so that routers started together spread out.
_JITTER = 0.25
_ADMIN_CONNECTIONS = 64
# Members become known within some gossip periods and healed cuts within 4 s.
_SETTLE = datetime.timedelta(seconds=10)


@dataclasses.dataclass
class _ServingSettings:
    """What the request path reads of the settings."""

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

        :param path: the settings file, whose tokens are read again when
            it changes
        """
        self._settings = settings
        self._certificates = _certificates.CertificateStore(settings.tls)
        token_file = _tokens.TokenFile(_settings.RouterSettings, path)
        self._tokens = _tokens.TokenStore(token_file.read, clock)
        self._clock = clock
        self._random = random.Random()
        self._draining = False
        self._finished = _loop.Event()
        self._gossiping = 0
        self._surplus = False
        # Whether the last poll of the table succeeded.
        self._reached = False
        incarnation = time.time_ns()
        self.fleet = _fleet.Fleet()
        self._build_membership(incarnation)
        self._build_platform()
        self._build_serving(incarnation)
        self._build_diagnosis()

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
        self._calls = _peers.ThriftPeerClient(
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
            self._calls,
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
            _SETTLE,
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
            _handlers.OtherRouters(self.membership, self._calls),
            _metrics.ServingMetrics(self._registry),
            self._authenticate,
            self._certificates.find('upstream'),
        )
        handler = _handlers.PeerHandler(
            self._gossip, self._snapshots, self._claims, self._pipeline.observe
        )
        self._server = _peers.PeerServer(
            handler,
            _peers.collect_secrets(settings),
            settings.peer_server_connections,
            settings.peer_frame_bytes,
            self._certificates.find('peer'),
        )

    def _build_diagnosis(self) -> None:
        self._dump = _dumps.Dump()
        for name, read in (
            ('log_version', lambda: self.fleet.version),
            ('not_ready', self.list_unready_reasons),
            ('settings', lambda: _dumps.describe_settings(self._settings)),
            ('membership', self.membership.dump),
            ('gossip', lambda: self._gossip.counts),
            ('peer_calls', lambda: self._calls.counts),
            ('platform_share', lambda: self._shares.current._asdict()),
            ('peer_server', lambda: self._server.counts),
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
                        lambda: self._calls.counts,
                    ),
                    (
                        f'{prefix}_peer_server',
                        'Connections of peers by kind.',
                        lambda: self._server.counts,
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
        """Return why the balancer should send no requests here."""
        reasons = []
        if self._draining:
            reasons.append('shutting down')
        if not self._gossip.loaded:
            reasons.append('no state from the table, a peer or a snapshot')
        if self.membership.superseded_by is not None:
            reasons.append('a newer process uses the name of this one')
        if self._is_surplus():
            reasons.append('the zone has its limit of routers already')
        return reasons

    def _is_surplus(self) -> bool:
        """Tell whether the zone has its limit of routers without this one.

        All routers of the zone order them alike, so that a surplus one does
        not take the others out of service.
        """
        oldest = sorted(
            self.membership.list_not_dead(self._settings.zone),
            key=lambda member: (member.incarnation, member.name),
        )
        surplus = oldest[self._settings.routers_per_zone_limit :]
        return self.membership.own in surplus

    def run(self) -> None:
        """Serve until a graceful shutdown has finished."""
        settings = self._settings
        self._dump.install_signal()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_stop)
        peer_listener = _listeners.open_listener(
            settings.peer_listen_address or settings.peer_address
        )
        _loop.spawn(self._server.serve, peer_listener)
        _listeners.serve_wsgi(
            settings.admin_address,
            self._admin.application,
            self._certificates.find('admin'),
            max_size=_ADMIN_CONNECTIONS,
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
        """Answer a caller; refuse everything until a state is in force.

        A surplus router refuses as well: the connections to a worker are
        divided among the others.
        """
        if not self._gossip.loaded:
            failure = _errors.Failure(
                _errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'the router has no state yet',
            )
        elif self._surplus:
            failure = _errors.Failure(
                _errors.ErrorKind.NO_CAPACITY,
                'the zone has its limit of routers already',
            )
        else:
            return self._pipeline.application(environ, start_response)
        reply = _replies.create_error_reply(failure, uuid.uuid4().hex)
        start_response(reply.status, reply.headers)
        return reply.body

    def _follow_table(self) -> None:
        _bootstrap.Bootstrap(
            self._clock, self._poll_table, self._list_sources
        ).run()
        self._gossip.loaded = True
        self._repeat(self._poll_table, self._settings.table_poll_interval)

    def _poll_table(self) -> bool:
        self._reached = isinstance(self._journal.refresh(), result.Success)
        return self._reached

    def _list_sources(self) -> dict[str, _bootstrap.Source]:
        """Return the sources of a state other than the table."""
        addresses = {
            member.peer_address for member in self.membership.list_alive()
        }
        addresses.update(self.membership.list_unheard_addresses())
        chosen = self._random.sample(
            sorted(addresses), min(len(addresses), _BOOTSTRAP_PEERS)
        )
        sources: dict[str, _bootstrap.Source] = {
            address: functools.partial(self._ask_peer, address)
            for address in chosen
        }
        sources['objects'] = lambda: isinstance(
            self._snapshots.load_object(self._objects.read), result.Success
        )
        return sources

    def _ask_peer(self, address: str) -> bool:
        version = self._gossip.exchange(address)
        return version is not None and version >= 0

    def _start_gossip(self) -> None:
        self._surplus = self._is_surplus()
        self._shares.update(
            len(self.membership.list_not_dead()), self._reached
        )
        # A step lasts as long as a silent peer takes to time out.
        if self._gossiping < _GOSSIP_LIMIT:
            _loop.spawn(self._run_gossip_step)

    def _run_gossip_step(self) -> None:
        self._gossiping += 1
        try:
            self._gossip.step()
        finally:
            self._gossiping -= 1

    def _repeat(
        self, act: Callable[[], Any], interval: datetime.timedelta
    ) -> None:
        while True:
            try:
                act()
            # A fault in one period must not end all later ones.
            except Exception:
                log.exception('a periodic action failed')
            factor = self._random.uniform(1 - _JITTER, 1 + _JITTER)
            self._clock.sleep(interval * factor)

    def _authenticate(
        self, header: str | None, pool: str | None
    ) -> result.Result[_tokens.Identity, _errors.Failure]:
        found = None
        if pool is not None:
            found = self.fleet.find(_resources.Kind.POOL, pool)
        team = found['spec'].get('team') if found else None

        def check(
            identity: _tokens.Identity,
        ) -> result.Result[_tokens.Identity, _errors.Failure]:
            return _handlers.check_caller(identity, team)

        return self._tokens.identify(header or '').bind(check)

    def _handle_stop(self, number: int, frame: Any) -> None:
        # Runs in the middle of any code; a repeated signal changes nothing.
        if not self._draining:
            self._draining = True
            _loop.spawn_after(0, self._stop)

    def _stop(self) -> None:
        """Leave: not ready first, then refuse, then finish what runs."""
        settings = self._settings
        log.info('graceful shutdown begins')
        self.membership.leave()
        self._clock.sleep(settings.drain_notice)
        finished = False
        try:
            with _loop.Timeout(settings.drain_limit.total_seconds(), False):
                self._pipeline.drain()
                finished = True
        finally:
            if not finished:
                log.error('requests were still running at the end')
            self._calls.close()
            self._finished.send(finished)
