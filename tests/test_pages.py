"""Tests of the documentation pages.

The commands that they show must run, and the metrics, flags, paths and
settings that they name must exist.
"""

import itertools
import os
import pathlib
import re
import subprocess
import sys

import pytest
import urllib3

from skylarktally import _settings

ROOT = pathlib.Path(__file__).parent.parent
PAGES = (
    'README.md',
    'docs/getting-started.md',
    'docs/incidents.md',
    'docs/operating.md',
)
# Flags of other programs that the pages use.
OTHER_FLAGS = {'--fail-with-body', '--help'}
METRIC = re.compile('skylarktally_[a-z_]+')


def read(page):
    return (ROOT / page).read_text(encoding='utf-8')


def find_blocks(page, language):
    return re.findall(rf'(?ms)^```{language}\n(.*?)^```$', read(page))


@pytest.fixture(scope='module')
def held(tmp_path_factory):
    """Start the demo with --hold; yield the variables used by the pages."""
    process = subprocess.Popen(
        [
            *(sys.executable, '-W', 'ignore', '-m', 'demo'),
            *('--deployment=examples/ghala-pamoja.json', '--hold'),
        ],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        text=True,
    )
    lines = list(
        itertools.takewhile(lambda x: 'Ctrl-D' not in x, process.stderr)
    )
    found = dict(re.findall(r'(?m)^(\w+ \w+) {2,}(\S+)$', ''.join(lines)))
    try:
        yield {
            'API': found['resource API'],
            'TOKEN_FILE': found['operator token'],
            'SERVING': found['serving port'],
            'CALLER_TOKEN': found['caller token'],
            'ADMIN': found['state dump'].split('/')[2],
        }
    finally:
        process.communicate('', timeout=60)


@pytest.fixture(scope='module')
def scripts(held, tmp_path_factory):
    """Start the commands of all pages in parallel, as a script per page."""
    running = {}
    for page in PAGES[1:]:
        directory = tmp_path_factory.mktemp('page')
        for name in ('.venv', 'skylarktally', 'examples', 'docs'):
            (directory / name).symlink_to(ROOT / name)
        script = '\n'.join(find_blocks(page, 'sh'))
        running[page] = subprocess.Popen(
            ['bash', '-euxo', 'pipefail', '-c', script],
            cwd=directory,
            env={**os.environ, **held},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
    yield running
    for process in running.values():
        if process.poll() is None:
            process.kill()
        process.wait()


@pytest.mark.processes
@pytest.mark.parametrize('page', PAGES[1:])
def test_commands_of_a_page_run(scripts, page):
    """Guards against a command that fails when copied from a page."""
    _, errors = scripts[page].communicate(timeout=100)
    assert scripts[page].returncode == 0, errors[-3000:]


def read_metrics(held):
    """Return the names of the metrics of router and controller."""
    host, port = held['ADMIN'].split(':')
    names = set()
    for offset in (0, 3):
        url = f'http://{host}:{int(port) + offset}/metrics'
        text = urllib3.request('GET', url, timeout=10).data.decode()
        families = re.findall(r'(?m)^# TYPE (\S+) (\w+)$', text)
        assert families, url
        for name, kind in families:
            names.add(name)
            if kind == 'histogram':
                names.update(f'{name}_{end}' for end in ('bucket', 'count'))
    return names


@pytest.mark.processes
def test_named_metrics_exist(held):
    """Guards against an alert that never fires.

    That is so if the metric that it names was renamed or removed.
    """
    known = read_metrics(held)
    for page in ('docs/alerts.yaml', *PAGES[2:]):
        named = set(METRIC.findall(read(page)))
        missing = {x for x in named if not {x, f'{x}_total'} & known}
        assert named and not missing, page


def test_named_flags_exist():
    """Guards against a flag that was renamed or removed."""
    known = set(OTHER_FLAGS)
    modules = ('ctl', 'router', 'controller')
    for module in (*(f'skylarktally.{name}' for name in modules), 'demo'):
        command = (sys.executable, '-W', 'ignore', '-m', module, '--helpfull')
        # absl exits with status 1 after --helpfull, so it is not checked.
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True
        )
        text = done.stdout
        known.update(
            re.findall(r'(?m)^\s+(--[\w-]+)', text.replace('[no]', ''))
        )
    for page in PAGES:
        named = set(re.findall(r'(?<![\w-])--[a-z][\w-]*', read(page)))
        assert named <= known, page


def test_named_paths_exist():
    """Guards against a link to a page or file that has moved."""
    for page in PAGES:
        links = re.findall(r'\]\(([^):#]+)\)', read(page))
        links += re.findall(r'(?<==)examples/\S+\.json', read(page))
        base = (ROOT / page).parent
        for link in links:
            start = ROOT if link.startswith('examples/') else base
            assert (start / link).exists(), f'{page}: {link}'


def test_named_settings_exist():
    """Guards against a setting that was renamed or removed."""
    known = {
        name
        for kind in (_settings.RouterSettings, _settings.ControllerSettings)
        for name in _settings.list_fields(kind)
    }
    text = read('docs/operating.md')
    named = set(re.findall(r'`(\w+_(?:seconds|limit|secrets?))`', text))
    assert named and named <= known
