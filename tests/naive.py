"""Naive baseline for the request path: forwards and retries any error.

Tests compare routers with it to show that their checks detect faults.

Run as ``python -m tests.naive ADDRESS WORKER_ADDRESS...`` for a process.
"""

import datetime
from http import client
import itertools
import json
import sys

from skylarktally import _connections
from skylarktally import _loop

_ATTEMPTS = 3
_TIMEOUT = datetime.timedelta(seconds=1)


class _NaiveConnection(_connections.Connection):
    response_class = client.HTTPResponse

    def getresponse(self):
        return client.HTTPConnection.getresponse(self)


class NaivePipeline:
    """Round robin over the workers with pooled connections.

    Keeps no state of keys, leases, deadlines or the health of workers.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.next_index = itertools.count()
        self.idle = {}

    def application(self, environ, start_response):
        body = environ['wsgi.input'].read(
            int(environ.get('CONTENT_LENGTH') or 0)
        )
        subpath = environ['RAW_PATH_INFO'].split('/', 6)[-1]
        workers = list(self.fleet.instances.values())
        for _ in range(_ATTEMPTS):
            worker = workers[next(self.next_index) % len(workers)]
            try:
                lease = self._request_lease(worker)
                return self._forward(
                    worker, lease, environ, subpath, body, start_response
                )
            except Exception:  # noqa: S112
                continue
        start_response('503', [('Skylarktally-Outcome', 'not-run')])
        return [b'']

    def _acquire_connection(self, address):
        idle = self.idle.setdefault(address, [])
        if idle:
            return idle.pop()
        connection = _NaiveConnection(address, 1)
        connection.connect()
        return connection

    def _request_lease(self, worker):
        connection = _NaiveConnection(worker.address, 1)
        data = {
            'holder': 'naive',
            'epoch': worker.epoch,
            'pool': worker.pool,
            'slots': 1,
            'ttl_seconds': 10,
        }
        connection.request('POST', '/v1/leases', json.dumps(data))
        text = connection.getresponse().read()
        connection.close()
        return json.loads(text).get('lease_id', 'none')

    def _forward(self, worker, lease, environ, subpath, body, start_response):
        connection = self._acquire_connection(worker.address)
        headers = {
            'Lease-Id': lease,
            'Request-Key': environ.get('HTTP_IDEMPOTENCY_KEY', ''),
        }
        connection.set_timeout(_TIMEOUT)
        path = f'/v1/tasks/{subpath}?{environ.get("QUERY_STRING", "")}'
        connection.request(environ['REQUEST_METHOD'], path, body, headers)
        response = connection.getresponse()
        if response.status >= 500 or response.status == 409:
            raise ValueError('retry')
        start_response(
            f'{response.status} X',
            [
                ('Skylarktally-Outcome', 'complete'),
                ('Skylarktally-Instance', worker.name),
            ],
        )
        return self._stream(connection, response)

    def _stream(self, connection, response):
        while True:
            try:
                chunk = response.read(65536)
            except Exception:
                return
            if not chunk:
                break
            yield chunk
        self.idle[connection.address].append(connection)


class QueuedNaivePipeline(NaivePipeline):
    """Variant with one unbounded first-in first-out queue for all pools."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.slots = None
        # Wakes waiting requests in order of arrival, unlike _loop.Queue.
        self.free_count = _loop.Semaphore(0)

    def application(self, environ, start_response):
        if self.slots is None:
            self.slots = []
            for worker in self.fleet.instances.values():
                for _ in range(8):
                    self.slots.append((worker, self._request_lease(worker)))
                    self.free_count.release()
        subpath = environ['RAW_PATH_INFO'].split('/', 6)[-1]
        self.free_count.acquire()
        slot = self.slots.pop()
        try:
            return list(
                self._forward(*slot, environ, subpath, b'', start_response)
            )
        finally:
            self.slots.append(slot)
            self.free_count.release()


if __name__ == '__main__':
    from tests import serving

    fleet = serving.FakeFleet()
    for address in sys.argv[2:]:
        fleet.put_instance(address, address, pool='p')
    listener, _ = serving.listen(sys.argv[1])
    _loop.serve(listener, NaivePipeline(fleet).application)
