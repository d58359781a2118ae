"""Requests that another router has to answer, and repeated keys."""

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
    """Another router, as membership knows it."""

    name: str
    zone: str
    incarnation: int
    serving_address: str
    peer_address: str


class Peers(Protocol):
    """The other routers and their recorded answers."""

    def find_answer(
        self, address: str, key: str
    ) -> result.Result[Any, _errors.Failure]:
        """Ask a router for the recorded answer of a request key."""

    def list_routers(self, zone: str | None = None) -> list[Any]:
        """List the live routers, of one zone or of all."""


class Forwarder:
    """Sends exchanges on to other routers."""

    def __init__(
        self,
        peers: Peers,
        relay: _relay.Relay,
        clock: _clock.Clock,
        zone: str,
        address: str,
        source: random.Random,
    ) -> None:
        self._peers = peers
        self._relay = relay
        self._clock = clock
        self._zone = zone
        self._address = address
        self._random = source

    def list_other_zones(self) -> list[Router]:
        """List the routers of other zones in random order."""
        routers = [
            x for x in self._peers.list_routers() if x.zone != self._zone
        ]
        self._random.shuffle(routers)
        return routers

    def find_answering(
        self, exchange: _exchange.Exchange, routers: list[Router]
    ) -> list[Router]:
        """Return the first router that answers a peer call, if any.

        A paused router still accepts connections. A non-idempotent request
        that was sent to it could not be sent to another one.
        """
        answering = _loop.Queue()

        def ask(router: Router) -> None:
            asked = self._peers.find_answer(
                router.peer_address, exchange.key or ''
            )
            answered = isinstance(asked, result.Success)
            answering.put(router if answered else None)

        # All at once, so that a silent one does not delay the request.
        for router in routers:
            _loop.spawn(ask, router)
        for _ in routers:
            router = answering.get()
            if router is not None:
                return [router]
        return []

    def forward_to_issuer(
        self, exchange: _exchange.Exchange, issuer: _claims.ClaimResult
    ) -> result.Result[_responses.RelayedResponse, _errors.Failure]:
        """Send a request to the only router that may run its key."""
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
        """Send a request to the first router that takes it.

        :raises RequestError: when the caller's body cannot be read
        """
        message = 'no other router can be reached'
        for router in routers:
            sent = self._relay.send(exchange, self._describe(exchange, router))
            if isinstance(sent, result.Success):
                return result.Success(sent.unwrap())
            failure = sent.failure()
            message = failure.message
            if failure.may_have_run:
                return _fail(_errors.ErrorKind.OUTCOME_UNKNOWN, message)
        return _fail(_errors.ErrorKind.NO_CAPACITY, message)

    def _describe(
        self, exchange: _exchange.Exchange, router: Router
    ) -> _relay.Destination:
        left = exchange.deadline - self._clock.monotonic()
        milliseconds = max(int(left.total_seconds() * 1000), 1)
        headers = [
            ('Skylarktally-Forwarded', self._address),
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

    def find_repeated(
        self,
        exchange: _exchange.Exchange,
        state: _claims.ClaimResult,
        find_own: Callable[[str], _claims.RecordedResponse],
    ) -> result.Result[_claims.RecordedResponse, _errors.Failure]:
        """Return the recorded answer of a key that is already claimed."""
        key = exchange.key or ''
        if state.owner_address:
            asked = self._peers.find_answer(state.owner_address, key)
            if not isinstance(asked, result.Success):
                return _fail(
                    _errors.ErrorKind.DUPLICATE_REQUEST,
                    'the router that claimed the key does not answer',
                )
            answer = decode_answer(asked.unwrap())
        else:
            answer = find_own(key)
        if answer.state is not _claims.ResponseState.RECORDED:
            return _fail(
                _errors.ErrorKind.DUPLICATE_REQUEST,
                f'the key is in use; its answer is {answer.state.value}',
            )
        if dict(answer.headers).get(DIGEST_HEADER) != (
            exchange.compute_digest()
        ):
            return _fail(
                _errors.ErrorKind.CONFLICT,
                'the key was used for another request',
            )
        return result.Success(answer)


def decode_answer(answer: Any) -> _claims.RecordedResponse:
    """Convert an answer of the peer protocol."""
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
