"""Tests of the admin port, the state dump and the JSON log format."""

import io
import json
import logging
import os
import signal

import prometheus_client
import pytest

from skylarktally import _admin
from skylarktally import _dumps
from skylarktally import _logs
from skylarktally import _loop
from tests import test_settings


def read_broken_section():
    raise ValueError('broken')


@pytest.fixture
def dump():
    state = _dumps.Dump()
    settings = test_settings.check().settings
    state.add_section('settings', lambda: _dumps.describe_settings(settings))
    state.add_section('broken', read_broken_section)
    return state


def request(admin, path, method='GET'):
    response = {}

    def start_response(status, headers):
        response.update(headers, status=int(status[:3]))

    environ = {'PATH_INFO': path, 'REQUEST_METHOD': method}
    return response, b''.join(admin.application(environ, start_response))


@pytest.mark.parametrize(
    ('path', 'method', 'status', 'content'),
    [
        ('/healthz', 'GET', 200, b'ok'),
        ('/readyz', 'GET', 503, b'no snapshot'),
        ('/metrics', 'GET', 200, b'things_total 1.0'),
        ('/debug/state', 'GET', 200, b'"broken"'),
        ('/debug/state', 'HEAD', 200, b''),
        ('/other', 'GET', 404, b''),
        ('/readyz', 'POST', 405, b''),
    ],
)
def test_pages(dump, path, method, status, content):
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.Counter('things', 'Things.', registry=registry).inc()
    admin = _admin.Admin(dump, lambda: ['no snapshot'], registry)
    response, body = request(admin, path, method)
    assert response['status'] == status
    assert content in body


def test_dump_survives_a_broken_section_and_hides_secrets(dump):
    state = json.loads(dump.render())
    assert 'ValueError' in state['broken']['error']
    assert state['settings']['gossip_interval'] == 0.5
    assert test_settings.KEY not in dump.render()
    assert test_settings.DIGEST not in dump.render()


def test_dump_on_signal(dump):
    stream = io.StringIO()
    before = signal.getsignal(signal.SIGUSR1)
    try:
        dump.install_signal(stream)
        os.kill(os.getpid(), signal.SIGUSR1)
        _loop.sleep(0.05)
    finally:
        signal.signal(signal.SIGUSR1, before)
    assert 'settings' in json.loads(stream.getvalue())


def test_log_lines_are_json_objects():
    stream = io.StringIO()
    root = logging.getLogger()
    before = root.handlers[:], root.level
    try:
        _logs.configure_logs('router-1', 'INFO', stream)
        logging.getLogger('x').info('member is dead', extra={'member': 'b'})
        logging.getLogger('x').debug('not shown')
    finally:
        root.handlers[:], root.level = before
    line = json.loads(stream.getvalue())
    assert line.pop('time')
    assert line == {
        'level': 'INFO',
        'logger': 'x',
        'message': 'member is dead',
        'process': 'router-1',
        'member': 'b',
    }
