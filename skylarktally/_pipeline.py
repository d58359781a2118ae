"""The request path: parse, authenticate, admit, claim, dispatch, relay."""

from collections.abc import Callable
import datetime
import logging
import random
from typing import Any, Protocol
import uuid

from returns import result

from skylarktally import _caller_replies
from skylarktally import _certificates
from skylarktally import _claims
from skylarktally import _clock
from skylarktally import _connections
from skylarktally import _dispatch
from skylarktally import _errors
from skylarktally import _exchange
from skylarktally import _forwarding
from skylarktally import _limits
from skylarktally import _loop
from skylarktally import _metrics
from skylarktally import _parsing
from skylarktally import _pools
from skylarktally import _relay
from skylarktally import _replies
from skylarktally import _retries
from skylarktally import _slots
from skylarktally import _worker_client

log = logging.getLogger(__name__)

_MAINTENANCE_PERIOD = datetime.timedelta(seconds=0.1)
# Failures of this zone that another zone may not have.
_FORWARDABLE_KINDS = (
    _errors.ErrorKind.NO_CAPACITY,
    _errors.ErrorKind.QUEUE_FULL,
    _errors.ErrorKind.DEADLINE_EXCEEDED,
    # The claim failed because this zone cannot reach the table.
    _errors.ErrorKind.PLATFORM_UNAVAILABLE,
)

# Authenticates a caller by the Authorization header and the name of the pool,
# which is None for a request that asks for a request key.
Authenticate = Callable[
    [str | None, str | None], result.Result[Any, _errors.Failure]
]


class Settings(Protocol):
    """Settings of the request path."""

    name: str
    zone: str
    serving_address: str
    limits: _limits.ServingLimits


class Pipeline:
    """WSGI application of the serving port.

    Parses, authenticates and admits each request, claims its key, sends it
    to a worker and relays the response. A request that this router cannot
    or must not serve is forwarded to another router.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: _pools.Fleet,
        clock: _clock.Clock,
        claims: _claims.Claims,
        peers: _forwarding.Peers,
        metrics: _metrics.ServingMetrics,
        authenticate: Authenticate | None = None,
        certificates: _certificates.Certificates | None = None,
    ) -> None:
        """Create the pipeline.

        :param authenticate: checks the Authorization header; None when
            the platform's load balancer authenticates the callers
        :param certificates: TLS files for calls to workers and routers at
            https addresses
        """
        limits = settings.limits
        source = random.Random()  # noqa: S311
        self._clock = clock
        self._limits = limits
        self._claims = claims
        self._metrics = metrics
        self._authenticate = authenticate
        self._parser = _parsing.Parser(fleet, clock, limits)
        self._connections = _connections.ConnectionPool(
            clock, limits, certificates
        )
        worker_client = _worker_client.WorkerClient(self._connections)
        holder = f'{settings.name}-{uuid.uuid4().hex}'
        self._slots = _slots.SlotLeases(
            clock,
            limits,
            holder,
            worker_client,
            lambda: 1 + len(peers.list_routers(settings.zone)),
        )
        self._pools = _pools.Pools(
            fleet, settings.zone, clock, limits, self._slots, source
        )
        relay = _relay.Relay(self._connections, worker_client, clock, limits)
        self._retries = _retries.RetryPolicy(clock, limits, source)
        self._dispatcher = _dispatch.Dispatcher(
            clock,
            limits,
            self._slots,
            relay,
            worker_client,
            self._retries,
            metrics,
        )
        self._forwarder = _forwarding.Forwarder(
            peers,
            relay,
            clock,
            settings.zone,
            settings.serving_address,
            source,
        )
        self._peers = peers
        self._name = settings.name
        self._zone = settings.zone
        self._may_serve = True
        self._running = 0
        self._draining = False
        self._maintenance: Any = None

    def application(
        self, environ: dict[str, Any], start_response: Any
    ) -> _replies.ReplyBody:
        """Answer one request of a caller."""
        if self._maintenance is None:
            self._update_may_serve()
            self._maintenance = _loop.spawn(self._maintain)
        self._running += 1
        try:
            reply = self._handle(environ)
        except BaseException:
            self._count_end()
            raise
        start_response(reply.status, reply.headers)
        return _replies.ReplyBody(reply, self._count_end)

    def _count_end(self) -> None:
        self._running -= 1

    def _handle(self, environ: dict[str, Any]) -> _replies.Reply:
        if self._draining:
            kind = _errors.ErrorKind.SHUTTING_DOWN
            failure = _errors.Failure(kind, 'the router is shutting down')
            return self._refuse(failure, uuid.uuid4().hex)
        if (
            environ['RAW_PATH_INFO'] == '/v1/request-keys'
            and environ['REQUEST_METHOD'] == 'POST'
        ):
            return self._issue_key(environ.get('HTTP_AUTHORIZATION'))
        parsed = self._parser.parse(environ).bind(self._check_caller)
        if not isinstance(parsed, result.Success):
            return self._refuse(parsed.failure(), uuid.uuid4().hex)
        return self._serve(parsed.unwrap())

    def _issue_key(self, authorization: str | None) -> _replies.Reply:
        if self._authenticate is not None:
            authenticated = self._authenticate(authorization, None)
            if not isinstance(authenticated, result.Success):
                return self._refuse(authenticated.failure(), uuid.uuid4().hex)
        return _replies.create_json_reply(
            200, {'key': self._claims.issue_key()}
        )

    def _check_caller(
        self, exchange: _exchange.Exchange
    ) -> result.Result[_exchange.Exchange, _errors.Failure]:
        if self._authenticate is None:
            return result.Success(exchange)
        authenticated = self._authenticate(
            exchange.authorization, exchange.pool
        )
        return authenticated.map(lambda _: exchange)

    def _serve(self, exchange: _exchange.Exchange) -> _replies.Reply:
        start = self._clock.monotonic()
        try:
            exchange.body.read_first_chunk()
            served = self._serve_or_forward(exchange)
        except _exchange.RequestError as error:
            # A worker that received bytes may have started the task.
            kind = error.kind
            if exchange.sent:
                kind = _errors.ErrorKind.OUTCOME_UNKNOWN
            served = result.Failure(_errors.Failure(kind, str(error)))
        except Exception:
            log.exception('request %s failed', exchange.request_id)
            kind = _errors.ErrorKind.INTERNAL
            served = result.Failure(_errors.Failure(kind, 'internal error'))
        elapsed = self._clock.monotonic() - start
        urgency = exchange.job.urgency
        self._metrics.request_seconds.labels(urgency).observe(
            elapsed.total_seconds()
        )
        if isinstance(served, result.Success):
            outcome = _errors.Outcome.COMPLETE
            reply = served.unwrap()
        else:
            failure = served.failure()
            outcome = failure.find_response().outcome
            reply = self._refuse(failure, exchange.request_id)
        self._metrics.requests.labels(
            exchange.pool, urgency, outcome.value
        ).inc()
        return reply

    def _refuse(
        self, failure: _errors.Failure, request_id: str
    ) -> _replies.Reply:
        self._metrics.refusals.labels(failure.kind.value).inc()
        return _replies.create_error_reply(failure, request_id)

    def _serve_or_forward(
        self, exchange: _exchange.Exchange
    ) -> result.Result[_replies.Reply, _errors.Failure]:
        """Serve the request, or forward it to another router.

        A key that another router issued is served by that router only.
        Other requests are served here if possible, and otherwise forwarded
        to another zone if that zone may be able to serve them.
        """
        issuer = None
        if exchange.key is not None and not exchange.idempotent:
            issuer = self._claims.find_other_issuer(exchange.key)
        if issuer is not None:
            if exchange.forwarded:
                kind = _errors.ErrorKind.OUTCOME_UNKNOWN
                message = 'the router that issued the key is gone'
                return result.Failure(_errors.Failure(kind, message))
            self._metrics.forwarded.labels('issuer').inc()
            sent = self._forwarder.forward_to_issuer(exchange, issuer)
            return sent.map(
                lambda x: _caller_replies.create_forwarded_reply(x, exchange)
            )
        served = self._admit(exchange)
        if isinstance(served, result.Success):
            return served
        return self._forward_on_shortage(exchange, served.failure())

    def _forward_on_shortage(
        self, exchange: _exchange.Exchange, failure: _errors.Failure
    ) -> result.Result[_replies.Reply, _errors.Failure]:
        """Forward a failed request to another zone if that is safe.

        A request that may have run, that holds a claim of this router or
        whose key was issued here stays here. One that was forwarded already
        is not forwarded again.
        """
        issued = (exchange.key or '').startswith(_claims.ISSUED_PREFIX)
        unavailable = failure.kind is _errors.ErrorKind.PLATFORM_UNAVAILABLE
        if (
            failure.kind not in _FORWARDABLE_KINDS
            # If the table answers and refuses, it refuses all zones alike.
            or (unavailable and not self._claims.is_table_unresponsive)
            or exchange.claimed
            or issued
            or exchange.forwarded
            or exchange.sent
            or self._clock.monotonic() >= exchange.deadline
        ):
            return result.Failure(failure)
        routers = self._forwarder.list_other_zones()[:2]
        if not exchange.idempotent:
            routers = self._forwarder.find_responsive_router(exchange, routers)
        if not routers:
            return result.Failure(failure)
        cause = 'claim' if unavailable else 'capacity'
        self._metrics.forwarded.labels(cause).inc()
        sent = self._forwarder.forward(exchange, routers)
        return sent.map(
            lambda x: _caller_replies.create_forwarded_reply(x, exchange)
        )

    def _admit(
        self, exchange: _exchange.Exchange
    ) -> result.Result[_replies.Reply, _errors.Failure]:
        pool = self._pools.find(exchange.pool)
        self._retries.note_request(exchange.pool)
        slots = exchange.job.slots
        fits = pool.selection.slots and pool.selection.can_ever_run(slots)
        if not (fits and self._may_serve):
            kind = _errors.ErrorKind.NO_CAPACITY
            message = 'no worker of the pool can be used from here'
            return result.Failure(_errors.Failure(kind, message))
        admitted = pool.queue.admit(
            exchange.job.urgency,
            exchange.deadline,
            pool.selection.slots // slots,
        )
        if not isinstance(admitted, result.Success):
            return result.Failure(admitted.failure())
        if exchange.idempotent:
            return self._dispatcher.dispatch(
                exchange, pool, admitted.unwrap(), self._pools
            ).map(lambda x: _caller_replies.create_worker_reply(x, exchange))
        claimed = self._claims.claim(exchange.key or '')
        if not isinstance(claimed, result.Success):
            return result.Failure(claimed.failure())
        state = claimed.unwrap()
        if state.status is not _claims.ClaimStatus.GRANTED:
            return self._forwarder.find_recorded_response(
                exchange, state, self._claims.find
            ).map(lambda x: _caller_replies.create_recorded_reply(x, exchange))
        exchange.claimed = True
        return self._run_claimed(exchange, pool, admitted.unwrap())

    def _run_claimed(
        self, exchange: _exchange.Exchange, pool: Any, waiter: Any
    ) -> result.Result[_replies.Reply, _errors.Failure]:
        """Dispatch a claimed request and record its response.

        The claim is released if the request certainly did not run, so that
        the caller can send the key again.
        """
        key = exchange.key or ''
        digest = exchange.compute_digest()
        try:
            dispatched = self._dispatcher.dispatch(
                exchange, pool, waiter, self._pools
            )
        except _exchange.RequestError:
            if not exchange.sent:
                self._claims.release(key)
            raise
        if not isinstance(dispatched, result.Success):
            failure = dispatched.failure()
            if failure.find_response().outcome is _errors.Outcome.NOT_RUN:
                self._claims.release(key)
            return result.Failure(failure)
        delivery = dispatched.unwrap()
        response = delivery.response
        if response.complete:
            headers = (
                *response.headers,
                ('Skylarktally-Instance', delivery.instance),
                (_forwarding.DIGEST_HEADER, digest),
            )
            self._claims.record(
                key,
                _claims.RecordedResponse(
                    _claims.ResponseState.RECORDED,
                    response.status,
                    headers,
                    response.first_chunk,
                ),
            )
        return result.Success(
            _caller_replies.create_worker_reply(delivery, exchange)
        )

    def _maintain(self) -> None:
        """Renew leases, close idle connections and probe workers."""
        while True:
            try:
                self._update_may_serve()
                self._slots.maintain(self._pools.is_current)
                self._connections.close_idle()
                self._start_probes()
            except Exception:
                log.exception('maintenance of the request path failed')
            self._clock.sleep(_MAINTENANCE_PERIOD)

    def _update_may_serve(self) -> None:
        """Update whether this router may connect to workers.

        Each worker's connections are divided among a fixed number of
        routers per zone. The oldest routers serve, so that a surplus router
        does not put any other out of service.
        """
        own = (self._claims.owner.incarnation, self._name)
        older = [
            x
            for x in self._peers.list_routers(self._zone)
            if (x.incarnation, x.name) < own
        ]
        may_serve = len(older) < self._limits.routers_per_zone
        if may_serve != self._may_serve:
            log.warning(
                'zone %s has %d older routers; serving: %s',
                self._zone,
                len(older),
                may_serve,
            )
        self._may_serve = may_serve

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests to this router."""
        return self._may_serve and not self._draining

    def _start_probes(self) -> None:
        for pool in self._pools.list_states():
            for name in pool.selection.outliers.list_due_probes():
                _loop.spawn(self._dispatcher.probe_ejected, pool, name)

    def observe(self) -> dict[str, Any]:
        """Return what this router has observed of its pools and workers."""
        return self._pools.observe()

    def drain(self) -> None:
        """Refuse new requests, wait for the running ones, then clean up.

        At the end all slot leases are returned and connections closed.
        """
        self._draining = True
        while self._running:
            self._clock.sleep(_MAINTENANCE_PERIOD)
        if self._maintenance is not None:
            self._maintenance.kill()
        self._slots.return_all()
        self._connections.close_idle(everything=True)

    def dump(self) -> dict[str, Any]:
        """Return the state of the request path for operators."""
        return {
            'running': self._running,
            'draining': self._draining,
            'leases': self._slots.count_held(),
            'connections': dict(self._connections.open_counts),
            **self.observe(),
        }
