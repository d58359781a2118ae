"""HTTP stand-in of the platform: table, object store and instance list.

Run as ``python -m standins.platform --address=127.0.0.1:7000``.
"""

from skylarktally import _loop

_loop.patch_standard_library()

import hashlib  # noqa: E402
import json  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402
import urllib.parse  # noqa: E402
from collections.abc import Callable, Iterable  # noqa: E402
from typing import Any, NamedTuple  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import urllib3  # noqa: E402

from standins import faults  # noqa: E402
from standins import instances  # noqa: E402
from standins import table  # noqa: E402

_ADDRESS = flags.DEFINE_string(
    'address', '127.0.0.1:7000', 'IP address and port to listen on.'
)
_WRITES = flags.DEFINE_integer(
    'writes_per_second', 300, 'Limit on writes per second.'
)
_READS = flags.DEFINE_integer(
    'reads_per_second', 2000, 'Limit on reads per second.'
)

# An order is retried because a worker that has just rebooted may not accept
# connections yet.
_REBOOT_ATTEMPTS = 10
_REBOOT_RETRY_SECONDS = 0.5


class Response(NamedTuple):
    """Status, JSON body or raw bytes, and headers of a response."""

    status: int
    body: Any
    headers: tuple[tuple[str, str], ...] = ()


class Request(NamedTuple):
    """The parts of a request that the handlers read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Decode the JSON body; an empty body is an empty object."""
        return json.loads(self.body or b'{}')


Handler = Callable[[Request, str], Response]
_NOT_FOUND = Response(404, {'error': 'not found'})


class Platform:
    """WSGI application that serves the platform's three services.

    Paths below /standin/ inject faults, set the instances and return counts;
    faults and rate limits do not apply to them.
    """

    def __init__(self, writes_per_second: int, reads_per_second: int) -> None:
        self.faults = faults.Faults()
        self.rows = table.RowStore()
        self.instances = instances.InstanceList(time.monotonic)
        self.writes = faults.RateWindow(writes_per_second)
        self.reads = faults.RateWindow(reads_per_second)
        self._objects: dict[str, bytes] = {}
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        self._handlers: tuple[tuple[str, Handler], ...] = (
            ('/v1/transactions', self._commit),
            ('/v1/rows/', self._read),
            ('/v1/rows', self._scan),
            ('/v1/objects/', self._handle_object),
            ('/v1/instances/', self._handle_operation),
            ('/v1/instances', self._list_instances),
        )

    def application(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Handle one request."""
        request = _read_request(environ)
        if request.path.startswith('/standin/'):
            return _send(self._control(request), start_response)
        refusal = self._find_refusal(request)
        if refusal is not None:
            return _send(refusal, start_response)
        if self.faults.delay_seconds > 0:
            _loop.sleep(self.faults.delay_seconds)
        response = self._dispatch(request)
        if self.faults.should_lose_response():
            # The request has taken effect, but the caller cannot know.
            connection = environ['eventlet.input'].get_socket()
            connection.shutdown(socket.SHUT_RDWR)
        return _send(response, start_response)

    def _find_refusal(self, request: Request) -> Response | None:
        if self.faults.down:
            return Response(503, {'error': 'unavailable'})
        window = self.reads if request.method == 'GET' else self.writes
        if not window.admit(time.monotonic()):
            return Response(429, {'error': 'rate limited'})
        return None

    def _dispatch(self, request: Request) -> Response:
        for prefix, handler in self._handlers:
            if request.path.startswith(prefix):
                try:
                    return handler(request, request.path[len(prefix) :])
                except (KeyError, TypeError, ValueError) as error:
                    return Response(400, {'error': str(error)})
        return _NOT_FOUND

    def _control(self, request: Request) -> Response:
        if request.path == '/standin/faults':
            return Response(200, self.faults.update(request.read_json()))
        if request.path == '/standin/instances':
            self.instances.register(request.read_json()['instances'])
            return Response(200, {})
        if request.path.startswith('/standin/instances/'):
            name = request.path.rpartition('/')[2]
            if self.instances.find(name) is None:
                return _NOT_FOUND
            self.instances.update(name, request.read_json())
            return Response(200, {})
        if request.path == '/standin/record':
            return Response(
                200,
                {
                    'writes': self.writes.report(),
                    'reads': self.reads.report(),
                },
            )
        return _NOT_FOUND

    def _commit(self, request: Request, _rest: str) -> Response:
        body = self.rows.commit(request.read_json())
        return Response(200 if body['committed'] else 409, body)

    def _read(self, _request: Request, key: str) -> Response:
        row = self.rows.read(key)
        return _NOT_FOUND if row is None else Response(200, row)

    def _scan(self, request: Request, _rest: str) -> Response:
        rows = self.rows.scan(
            request.query.get('prefix', ''),
            request.query.get('after', ''),
            int(request.query.get('limit', table.PAGE_ROWS_LIMIT)),
        )
        return Response(200, {'rows': rows})

    def _handle_object(self, request: Request, key: str) -> Response:
        data = self._objects.get(key)
        if request.method != 'PUT' and data is None:
            return _NOT_FOUND
        expected = request.headers.get('if-match')
        if expected is not None and expected != _compute_etag(data):
            return Response(412, {'error': 'precondition failed'})
        if request.headers.get('if-none-match') == '*' and data is not None:
            return Response(412, {'error': 'precondition failed'})
        if request.method == 'PUT':
            self._objects[key] = data = request.body
            return Response(200, {}, (('ETag', _compute_etag(data)),))
        if request.method == 'DELETE':
            del self._objects[key]
            return Response(200, {})
        return Response(200, data, (('ETag', _compute_etag(data)),))

    def _list_instances(self, request: Request, _rest: str) -> Response:
        listed = self.instances.list(self.faults.list_lag_seconds)
        zone = request.query.get('zone')
        listed['instances'] = [
            i for i in listed['instances'] if zone in (None, i['zone'])
        ]
        etag = _compute_etag(json.dumps(listed['instances']).encode())
        headers = (('ETag', etag), ('As-Of', listed['as_of']))
        if request.headers.get('if-none-match') == etag:
            return Response(304, b'', headers)
        return Response(200, listed, headers)

    def _handle_operation(self, request: Request, rest: str) -> Response:
        name, _, verb = rest.rpartition('/')
        if self.instances.find(name) is None:
            return _NOT_FOUND
        if verb not in ('drain', 'reboot'):
            return _NOT_FOUND
        operation_id = request.read_json()['operation_id']
        if self.instances.start_operation(name, verb, operation_id):
            if verb == 'reboot':
                _loop.spawn(self._reboot, name, operation_id)
            else:
                self.instances.finish_operation(
                    name, verb, operation_id, 'done'
                )
        found = self.instances.find_operation(name, verb, operation_id)
        return Response(200, found)

    def _reboot(self, name: str, operation_id: str) -> None:
        instance = self.instances.find(name) or {}
        url = f'http://{instance.get("address")}/standin/reboot'
        state = 'failed'
        for _ in range(_REBOOT_ATTEMPTS):
            try:
                response = self._http.request(
                    'POST', url, json={'operation_id': operation_id}
                )
            except urllib3.exceptions.HTTPError:
                _loop.sleep(_REBOOT_RETRY_SECONDS)
                continue
            if response.status < 300:
                state = 'done'
            break
        self.instances.finish_operation(name, 'reboot', operation_id, state)


def _compute_etag(data: bytes | None) -> str:
    if data is None:
        return ''
    return f'"{hashlib.sha256(data).hexdigest()}"'


def _read_request(environ: dict[str, Any]) -> Request:
    length = int(environ.get('CONTENT_LENGTH') or 0)
    query = urllib.parse.parse_qsl(environ.get('QUERY_STRING', ''))
    headers = {
        key[5:].replace('_', '-').lower(): value
        for key, value in environ.items()
        if key.startswith('HTTP_')
    }
    return Request(
        method=environ['REQUEST_METHOD'],
        # WSGI decodes the bytes of the path as Latin-1; they are UTF-8.
        path=environ['PATH_INFO'].encode('latin-1').decode(),
        query=dict(query),
        headers=headers,
        body=environ['wsgi.input'].read(length) if length else b'',
    )


def _send(response: Response, start_response: Callable) -> Iterable[bytes]:
    raw = isinstance(response.body, bytes)
    data = response.body if raw else json.dumps(response.body).encode()
    content_type = 'application/octet-stream' if raw else 'application/json'
    start_response(
        f'{response.status} Answer',
        [
            ('Content-Type', content_type),
            ('Content-Length', str(len(data))),
            *response.headers,
        ],
    )
    return [data]


def main(_argv: list[str]) -> None:
    """Serve requests until the process is stopped."""
    host, _, port = _ADDRESS.value.rpartition(':')
    listener = _loop.listen((host, int(port)), backlog=512, reuse_port=False)
    platform = Platform(_WRITES.value, _READS.value)
    _loop.serve_wsgi(
        listener, platform.application, log_output=False, max_size=2048
    )


if __name__ == '__main__':
    app.run(main)
