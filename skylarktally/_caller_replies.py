"""Replies to callers, built from responses of workers and routers."""

from collections.abc import Callable
from typing import Any

from skylarktally import _claims
from skylarktally import _dispatch
from skylarktally import _exchange
from skylarktally import _forwarding
from skylarktally import _replies
from skylarktally import _responses


def _list_common_headers(
    exchange: _exchange.Exchange, outcome: str = 'complete'
) -> list[tuple[str, str]]:
    return [
        ('Skylarktally-Outcome', outcome),
        ('Skylarktally-Request-Id', exchange.request_id),
    ]


def _build_reply(
    response: _responses.RelayedResponse,
    headers: list[tuple[str, str]],
    body: Any,
    close: Callable[[], None],
) -> _replies.Reply:
    if response.length is not None:
        headers = [*headers, ('Content-Length', str(response.length))]
    status = _replies.format_status(response.status, response.reason)
    return _replies.Reply(status, headers, body, close)


def create_worker_reply(
    delivery: _dispatch.Delivery, exchange: _exchange.Exchange
) -> _replies.Reply:
    """Return the reply that relays a worker's response."""
    headers = [
        *delivery.response.headers,
        *_list_common_headers(exchange),
        ('Skylarktally-Instance', delivery.instance),
    ]
    return _build_reply(
        delivery.response, headers, delivery.iterate(), delivery.close
    )


def create_forwarded_reply(
    response: _responses.RelayedResponse, exchange: _exchange.Exchange
) -> _replies.Reply:
    """Return the reply that relays another router's response.

    The other router has set the outcome; only the request id is replaced.
    """
    headers = [
        x
        for x in response.headers
        if x[0].lower() != 'skylarktally-request-id'
    ]
    headers.append(('Skylarktally-Request-Id', exchange.request_id))
    return _build_reply(response, headers, response.iterate(), response.close)


def create_recorded_reply(
    response: _claims.RecordedResponse, exchange: _exchange.Exchange
) -> _replies.Reply:
    """Return the recorded response to an earlier request with the key."""
    headers = [
        *(x for x in response.headers if x[0] != _forwarding.DIGEST_HEADER),
        *_list_common_headers(exchange),
        ('Content-Length', str(len(response.body))),
    ]
    status = _replies.format_status(response.status)
    return _replies.Reply(status, headers, [response.body])
