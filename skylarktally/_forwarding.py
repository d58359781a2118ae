"""Forwarding of requests to other routers, and responses to repeated keys."""

from collections.abc import Callable, Iterable
import random
from typing import Any, Protocol

from returns import result

from skylarktally import _claims
from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _exchange
from skylarktally import _loop
from skylarktally import _relay
from skylarktally import _responses

DIGEST_HEADER = 'Skylarktally-Request-Digest'


class Router(Protocol):
    """Another router, as listed by the membership."""

    name: str
    zone: str
    incarnation: int
    serving_address: str
    peer_address: str


class Peers(Protocol):
    """Lists the other routers and calls them."""

    def find_answer(
        self, address: str, key: str
    ) -> result.Result[Any, _errors.Failure]:
        """Ask a router for the recorded response to a request key."""

    def list_routers(self, zone: str | None = None) -> list[Any]:
        """List the other live routers, of one zone or of all."""


class Forwarder:
    """Forwards exchanges to other routers."""

    def __init__(
        self,
        peers: Peers,
        relay: _relay.Relay,
        clock: _clock.Clock,
        zone: str,
        serving_address: str,
        source: random.Random,
    ) -> None:
        self._peers = peers
        self._relay = relay
        self._clock = clock
        self._zone = zone
        self._serving_address = serving_address
        self._random = source

    def list_other_zones(self) -> list[Router]:
        """List the routers of other zones in random order."""
        routers = [
            x for x in self._peers.list_routers() if x.zone != self._zone
        ]
        self._random.shuffle(routers)
        return routers

    def find_responsive_router(
        self, exchange: _exchange.Exchange, routers: list[Router]
    ) -> list[Router]:
        """Return the first router that responds to a peer call.

        A paused process still accepts connections. A non-idempotent request
        that was sent to one could not be sent to another router, since it
        may run later.

        :returns: a list of that router, empty if none responds
        """
        replies = _loop.Queue()

        def call(router: Router) -> None:
            found = self._peers.find_answer(
                router.peer_address, exchange.key or ''
            )
            responded = isinstance(found, result.Success)
            replies.put(router if responded else None)

        # All are called at once, so that an unresponsive router does not
        # delay the request.
        for router in routers:
            _loop.spawn(call, router)
        for _ in routers:
            router = replies.get()
            if router is not None:
                return [router]
        return []

    def forward_to_issuer(
        self, exchange: _exchange.Exchange, issuer: _claims.ClaimResult
    ) -> result.Result[_responses.RelayedResponse, _errors.Failure]:
        """Forward a request to the router that issued its key.

        No other router may run the key.

        :returns: OUTCOME_UNKNOWN if that incarnation of the router is gone,
            since the request may have run there
        """
        for router in self._peers.list_routers():
            if (router.name, router.incarnation) == (
                issuer.owner,
                issuer.incarnation,
            ):
                return self.forward(exchange, [router])
        return _fail(
            _errors.ErrorKind.OUTCOME_UNKNOWN,
            'the router that issued the key is gone',
        )

    def forward(
        self, exchange: _exchange.Exchange, routers: Iterable[Router]
    ) -> result.Result[_responses.RelayedResponse, _errors.Failure]:
        """Forward a request to the first router that can be reached.

        :returns: OUTCOME_UNKNOWN once a router may have run the request,
            NO_CAPACITY if no router can have run it
        :raises RequestError: when the caller's body cannot be read
        """
        message = 'no other router can be reached'
        for router in routers:
            sent = self._relay.send(
                exchange, self._build_destination(exchange, router)
            )
            if isinstance(sent, result.Success):
                return result.Success(sent.unwrap())
            failure = sent.failure()
            message = failure.message
            if failure.may_have_run:
                return _fail(_errors.ErrorKind.OUTCOME_UNKNOWN, message)
        return _fail(_errors.ErrorKind.NO_CAPACITY, message)

    def _build_destination(
        self, exchange: _exchange.Exchange, router: Router
    ) -> _relay.Destination:
        left = exchange.deadline - self._clock.monotonic()
        milliseconds = max(int(left.total_seconds() * 1000), 1)
        headers = [
            ('Skylarktally-Forwarded', self._serving_address),
            ('Skylarktally-Timeout-Ms', str(milliseconds)),
            ('Skylarktally-Idempotent', str(exchange.idempotent).lower()),
        ]
        if exchange.key is not None:
            headers.append(('Idempotency-Key', exchange.key))
        if exchange.authorization is not None:
            headers.append(('Authorization', exchange.authorization))
        return _relay.Destination(
            router.serving_address, exchange.path, tuple(headers)
        )

    def find_recorded_response(
        self,
        exchange: _exchange.Exchange,
        claim: _claims.ClaimResult,
        find_own: Callable[[str], _claims.RecordedResponse],
    ) -> result.Result[_claims.RecordedResponse, _errors.Failure]:
        """Return the recorded response to a key that is already claimed.

        :param find_own: looks a key up among the responses of this router
        :returns: DUPLICATE_REQUEST if the response is not available, or
            CONFLICT if the key was used for a request that differs
        """
        key = exchange.key or ''
        if claim.owner_address:
            found = self._peers.find_answer(claim.owner_address, key)
            if not isinstance(found, result.Success):
                return _fail(
                    _errors.ErrorKind.DUPLICATE_REQUEST,
                    'the router that claimed the key does not answer',
                )
            response = decode_answer(found.unwrap())
        else:
            response = find_own(key)
        if response.state is not _claims.ResponseState.RECORDED:
            return _fail(
                _errors.ErrorKind.DUPLICATE_REQUEST,
                f'the key is in use; its answer is {response.state.value}',
            )
        if dict(response.headers).get(DIGEST_HEADER) != (
            exchange.compute_digest()
        ):
            return _fail(
                _errors.ErrorKind.CONFLICT,
                'the key was used for another request',
            )
        return result.Success(response)


def decode_answer(answer: Any) -> _claims.RecordedResponse:
    """Return the recorded response in an Answer of the peer protocol."""
    state = getattr(answer.state, 'value', answer.state)
    return _claims.RecordedResponse(
        _claims.ResponseState(state),
        answer.status or 0,
        tuple((x.name, x.value) for x in answer.headers or ()),
        answer.body or b'',
    )


def _fail(
    kind: _errors.ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
