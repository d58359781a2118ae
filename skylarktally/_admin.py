"""WSGI application of the admin port of router and controller."""

from collections.abc import Callable, Iterable
from typing import Any

import prometheus_client
from prometheus_client import exposition

from skylarktally import _dumps

# Returns the reasons why the process is not ready; empty when it is.
Readiness = Callable[[], list[str]]
# Status line, content type and body.
_Response = tuple[str, str, bytes]

_TEXT = 'text/plain; charset=utf-8'


class Admin:
    """Serves /healthz, /readyz, /metrics and /debug/state."""

    def __init__(
        self,
        dump: _dumps.Dump,
        list_unready_reasons: Readiness,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self._dump = dump
        self._list_unready_reasons = list_unready_reasons
        self._registry = registry
        self._handlers: dict[str, Callable[[str], _Response]] = {
            '/healthz': self._show_health,
            '/readyz': self._show_readiness,
            '/metrics': self._show_metrics,
            '/debug/state': self._show_state,
        }

    def application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        handler = self._handlers.get(environ.get('PATH_INFO', ''))
        if environ['REQUEST_METHOD'] not in ('GET', 'HEAD'):
            status, content_type, body = '405 Method Not Allowed', _TEXT, b''
        elif handler is None:
            status, content_type, body = '404 Not Found', _TEXT, b'not found\n'
        else:
            status, content_type, body = handler(
                environ.get('HTTP_ACCEPT', '')
            )
        start_response(
            status,
            [
                ('Content-Type', content_type),
                ('Content-Length', str(len(body))),
                ('Cache-Control', 'no-store'),
            ],
        )
        return [] if environ['REQUEST_METHOD'] == 'HEAD' else [body]

    def _show_health(self, accept: str) -> _Response:
        return '200 OK', _TEXT, b'ok\n'

    def _show_readiness(self, accept: str) -> _Response:
        reasons = self._list_unready_reasons()
        if not reasons:
            return '200 OK', _TEXT, b'ready\n'
        body = ''.join(f'{reason}\n' for reason in reasons).encode()
        return '503 Service Unavailable', _TEXT, body

    def _show_metrics(self, accept: str) -> _Response:
        encode, content_type = exposition.choose_encoder(accept)
        return '200 OK', content_type, encode(self._registry)

    def _show_state(self, accept: str) -> _Response:
        return '200 OK', 'application/json', self._dump.render().encode()
