"""Commands of skylarktallyctl, as functions of a client and a console."""

from collections.abc import Callable, Iterable, Iterator
import datetime
import json
import sys
from typing import Any, NamedTuple, TextIO
import urllib.parse
import uuid

import json5
from returns import result

from skylarktally import _applying
from skylarktally import _client
from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _schemas

ErrorKind = _errors.ErrorKind

EXIT_SUCCESS = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_TIMED_OUT = 5

_EXIT_CODES = {
    ErrorKind.CONFLICT: EXIT_CONFLICT,
    ErrorKind.PEER_UNREACHABLE: EXIT_UNREACHABLE,
    ErrorKind.PLATFORM_UNAVAILABLE: EXIT_UNREACHABLE,
    ErrorKind.DEADLINE_EXCEEDED: EXIT_TIMED_OUT,
    ErrorKind.INVALID_REQUEST: EXIT_USAGE,
}
_POLL_INTERVAL = datetime.timedelta(seconds=1)

Body = _client.Body


class Console(NamedTuple):
    """Output streams for results and progress, and the result format."""

    as_json: bool = False
    out: TextIO = sys.stdout
    err: TextIO = sys.stderr

    def print_result(
        self, body: Any, lines: Callable[[], Iterable[str]]
    ) -> None:
        """Write a result as JSON or as lines of text."""
        if self.as_json:
            print(json.dumps(body, indent=2), file=self.out, flush=True)
            return
        for line in lines():
            print(line, file=self.out, flush=True)

    def print_progress(self, text: str) -> None:
        """Write a line about progress or an error to the error stream."""
        print(text, file=self.err, flush=True)


def report_failure(console: Console, failure: _errors.Failure) -> int:
    """Write an error and return its exit code."""
    console.print_progress(f'error: {failure.kind.value}: {failure.message}')
    return _EXIT_CODES.get(failure.kind, EXIT_REFUSED)


def _finish(
    console: Console,
    outcome: result.Result[Body, _errors.Failure],
    describe: Callable[[Body], Iterable[str]],
) -> int:
    if not isinstance(outcome, result.Success):
        return report_failure(console, outcome.failure())
    body = outcome.unwrap()
    console.print_result(body, lambda: describe(body))
    return EXIT_SUCCESS


def read_documents(
    path: str,
) -> result.Result[list[Any], _errors.Failure]:
    """Read the resource documents of a JSON5 file."""
    try:
        with open(path, encoding='utf-8') as file:
            data = json5.load(file)
    except (OSError, ValueError, RecursionError) as error:
        return _client.fail(ErrorKind.INVALID_REQUEST, f'{path}: {error}')
    if isinstance(data, dict):
        data = data.get('resources')
    if not isinstance(data, list):
        text = 'must be a list of resources, or an object with resources'
        return _client.fail(ErrorKind.INVALID_REQUEST, f'{path}: {text}')
    return result.Success(data)


def _describe_difference(change: Body) -> Iterator[str]:
    yield f'{change["action"]:9} {change["kind"]}/{change["name"]}'
    if change['action'] == 'update':
        for field in change['fields']:
            old, new = json.dumps(field['old']), json.dumps(field['new'])
            yield f'            {field["path"]}: {old} -> {new}'


def _describe_apply(body: Body) -> Iterator[str]:
    for change in body['changes']:
        yield from _describe_difference(change)
    verb = 'would apply to' if body['dry_run'] else 'in the log at'
    yield f'{verb} version {body["version"]}'


def apply_file(
    client: _client.Client, console: Console, path: str, dry_run: bool
) -> int:
    """Declare the resources of a file, in one transaction if possible."""
    documents = read_documents(path)
    if not isinstance(documents, result.Success):
        return report_failure(console, documents.failure())
    applied = _applying.apply(
        client, documents.unwrap(), dry_run, console.print_progress
    )
    code = _finish(console, applied.outcome, _describe_apply)
    if code != EXIT_SUCCESS and applied.applied_count:
        console.print_progress(
            f'{applied.applied_count} of {applied.total_count} resources '
            f'were applied, in {applied.transaction_count} transactions; '
            'apply the file again to go on'
        )
    return code


def _build_path(kind: str, name: str = '') -> str:
    path = f'/v1/{urllib.parse.quote(kind, safe="")}s'
    return f'{path}/{urllib.parse.quote(name, safe="")}' if name else path


def _build_row(kind: str, item: Body) -> Body:
    status = {
        key: item['status'].get(key)
        for key in ('phase', 'epoch', 'target_pool', 'reason')
        if key in item['status']
    }
    hidden = ('memory_bytes', 'connections') if kind == 'instance' else ()
    spec = {k: v for k, v in item['spec'].items() if k not in hidden}
    cells = {'name': item['name'], **spec, **status}
    return {**cells, 'version': item['resource_version']}


def format_table(rows: list[Body]) -> Iterator[str]:
    """Yield a header line and a line for each row, in aligned columns."""
    if not rows:
        return
    names = list(dict.fromkeys(name for row in rows for name in row))
    table = [[name.upper() for name in names]]
    for row in rows:
        cells = [row.get(name) for name in names]
        table.append(
            [
                '-'
                if cell in (None, '')
                else cell
                if isinstance(cell, str)
                else json.dumps(cell)
                for cell in cells
            ]
        )
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        padded = map(str.ljust, line, widths)
        yield '  '.join(padded).rstrip()


def get_resources(
    client: _client.Client, console: Console, kind: str, name: str
) -> int:
    """Show one resource, or all resources of a kind if name is empty."""
    if _schemas.parse_kind(kind) is None:
        known = ', '.join(member.value for member in _schemas.Kind)
        text = f'kind must be one of {known}'
        return report_failure(
            console, _errors.Failure(ErrorKind.INVALID_REQUEST, text)
        )
    if name:
        return _finish(
            console,
            client.call('GET', _build_path(kind, name)),
            lambda item: format_table([_build_row(kind, item)]),
        )
    items: list[Body] = []
    after = ''
    while True:
        query = urllib.parse.urlencode({'after': after})
        page = client.call('GET', f'{_build_path(kind)}?{query}')
        if not isinstance(page, result.Success):
            return report_failure(console, page.failure())
        items += page.unwrap()['items']
        after = page.unwrap()['next']
        if not after:
            break
    console.print_result(
        items, lambda: format_table([_build_row(kind, i) for i in items])
    )
    return EXIT_SUCCESS


def delete_resource(
    client: _client.Client, console: Console, kind: str, name: str
) -> int:
    """Delete a resource."""
    return _finish(
        console,
        client.call('DELETE', _build_path(kind, name)),
        lambda body: [f'deleted {kind}/{name} at version {body["version"]}'],
    )


def _describe_message(message: Body) -> Iterator[str]:
    version = message['version']
    if 'snapshot' in message:
        count = len(message['snapshot'])
        yield f'{version} snapshot of {count} resources'
        return
    for change in message['changes']:
        value = change['value']
        what = f'{version} {change["kind"]}/{change["name"]}'
        if value is None:
            yield f'{what} deleted'
        elif change['kind'] == 'instance':
            status = value['status']
            yield (
                f'{what} {status["phase"]} in {value["spec"]["pool"]}, '
                f'epoch {status["epoch"]}: {status["reason"]}'
            )
        else:
            yield f'{what} written'


def watch_changes(
    client: _client.Client,
    console: Console,
    clock: _clock.Clock,
    after: int | None,
    limit: int,
) -> int:
    """Show changes as they arrive; reconnects when a connection is lost.

    :param limit: number of messages after which to stop, 0 for no limit
    """
    seen = 0
    while True:
        for message in client.follow(after):
            if not isinstance(message, result.Success):
                code = report_failure(console, message.failure())
                if code != EXIT_UNREACHABLE:
                    return code
                continue
            body = message.unwrap()
            after = body['version']
            lines = [json.dumps(body)]
            if not console.as_json:
                lines = list(_describe_message(body))
            # JSON is one line per message, so that a program can parse each
            # message when it arrives.
            for line in lines:
                print(line, file=console.out, flush=True)
            seen += 1
            if seen == limit:
                return EXIT_SUCCESS
        clock.sleep(_POLL_INTERVAL)


class WaitOptions(NamedTuple):
    """Clock and timeout for waiting; no wait if the timeout is None."""

    clock: _clock.Clock
    timeout: datetime.timedelta | None


def drain_instance(
    client: _client.Client,
    console: Console,
    name: str,
    then: str,
    wait: WaitOptions,
) -> int:
    """Drain an instance, then reboot or cordon it."""
    identifier = str(uuid.uuid4())
    outcome = client.call(
        'POST',
        f'{_build_path("instance", name)}/drain',
        {'operation_id': identifier, 'then': then},
    )
    final = 'cordoned' if then == 'cordon' else 'serving'

    def is_done(item: Body) -> bool:
        status = item['status']
        own = status.get('operation_id') == identifier
        return own and status['phase'] == final

    return _await_operation(client, console, outcome, is_done, wait)


def move_instance(
    client: _client.Client,
    console: Console,
    name: str,
    pool: str,
    wait: WaitOptions,
) -> int:
    """Move an instance to another pool."""
    outcome = client.call(
        'POST', f'{_build_path("instance", name)}/move', {'pool': pool}
    )

    def is_done(item: Body) -> bool:
        serving = item['status']['phase'] == 'serving'
        return serving and item['spec']['pool'] == pool

    return _await_operation(client, console, outcome, is_done, wait)


def return_instance(
    client: _client.Client, console: Console, name: str
) -> int:
    """Return an instance to service, or undo a drain."""
    outcome = client.call(
        'POST', f'{_build_path("instance", name)}/return', {}
    )
    return _finish(console, outcome, _describe_instance)


def _describe_instance(item: Body) -> list[str]:
    status = item['status']
    return [
        f'{item["name"]}: {status["phase"]} in {item["spec"]["pool"]}, '
        f'epoch {status["epoch"]}, {status["reason"]}'
    ]


def _await_operation(
    client: _client.Client,
    console: Console,
    outcome: result.Result[Body, _errors.Failure],
    is_done: Callable[[Body], bool],
    wait: WaitOptions,
) -> int:
    if wait.timeout is None or not isinstance(outcome, result.Success):
        return _finish(console, outcome, _describe_instance)
    item = outcome.unwrap()
    name = item['name']
    end = wait.clock.monotonic() + wait.timeout
    shown = ''
    while not is_done(item):
        if item['status']['phase'] == 'failed':
            text = f'{name} failed: {item["status"]["reason"]}'
            return report_failure(
                console, _errors.Failure(ErrorKind.WORKER_UNREACHABLE, text)
            )
        progress = _describe_instance(item)[0]
        if progress != shown:
            console.print_progress(progress)
            shown = progress
        if wait.clock.monotonic() >= end:
            text = f'{name} is still {item["status"]["phase"]}'
            return report_failure(
                console, _errors.Failure(ErrorKind.DEADLINE_EXCEEDED, text)
            )
        wait.clock.sleep(_POLL_INTERVAL)
        # The operation goes on while no controller can be reached, so the
        # last known state is kept; only the timeout ends the wait.
        item = client.call('GET', _build_path('instance', name)).value_or(item)
    console.print_result(item, lambda: _describe_instance(item))
    return EXIT_SUCCESS


def _describe_record(record: Body) -> Iterator[str]:
    yield f'{record["at"]} {record["outcome"]}'
    yield f'    observed: {record["observed"]}'
    yield f'    rule: {record["rule"]}'
    for text in record['alternatives']:
        yield f'    alternative: {text}'


def explain_resource(
    client: _client.Client, console: Console, kind: str, name: str
) -> int:
    """Show the explanations of decisions recorded by all controllers."""
    path = f'/v1/explanations/{urllib.parse.quote(kind, safe="")}'
    answers = client.call_all(f'{path}/{urllib.parse.quote(name, safe="")}')
    found = [a.unwrap() for a in answers if isinstance(a, result.Success)]
    if not found:
        failed = answers[0] if answers else client.call('GET', path)
        return report_failure(console, failed.failure())
    records = sorted(
        (record for body in found for record in body['records']),
        key=lambda record: record['at'],
    )
    console.print_result(
        records, lambda: (x for r in records for x in _describe_record(r))
    )
    return EXIT_SUCCESS
