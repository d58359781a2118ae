"""Answers of workers and routers in the form that callers get."""

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
    answer: _responses.RelayedResponse,
    headers: list[tuple[str, str]],
    body: Any,
    close: Callable[[], None],
) -> _replies.Reply:
    if answer.length is not None:
        headers = [*headers, ('Content-Length', str(answer.length))]
    status = _replies.format_status(answer.status, answer.reason)
    return _replies.Reply(status, headers, body, close)


def deliver(
    delivery: _dispatch.Delivery, exchange: _exchange.Exchange
) -> _replies.Reply:
    """Return a worker's answer."""
    headers = [
        *delivery.response.headers,
        *_list_common_headers(exchange),
        ('Skylarktally-Instance', delivery.instance),
    ]
    return _build_reply(
        delivery.response, headers, delivery.iterate(), delivery.close
    )


def pass_on(
    answer: _responses.RelayedResponse, exchange: _exchange.Exchange
) -> _replies.Reply:
    """Return another router's answer, with its outcome."""
    headers = [
        x for x in answer.headers if x[0].lower() != 'skylarktally-request-id'
    ]
    headers.append(('Skylarktally-Request-Id', exchange.request_id))
    return _build_reply(answer, headers, answer.iterate(), answer.close)


def repeat(
    answer: _claims.RecordedResponse, exchange: _exchange.Exchange
) -> _replies.Reply:
    """Return the recorded answer of an earlier request of the key."""
    headers = [
        *(x for x in answer.headers if x[0] != _forwarding.DIGEST_HEADER),
        *_list_common_headers(exchange),
        ('Content-Length', str(len(answer.body))),
    ]
    status = _replies.format_status(answer.status)
    return _replies.Reply(status, headers, [answer.body])
