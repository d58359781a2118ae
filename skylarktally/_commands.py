"""Commands of the command line, as functions of a client and a screen."""

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

DONE = 0
REFUSED = 1
USAGE = 2
CONFLICT = 3
UNREACHABLE = 4
TIMED_OUT = 5

_EXIT_CODES = {
    ErrorKind.CONFLICT: CONFLICT,
    ErrorKind.PEER_UNREACHABLE: UNREACHABLE,
    ErrorKind.PLATFORM_UNAVAILABLE: UNREACHABLE,
    ErrorKind.DEADLINE_EXCEEDED: TIMED_OUT,
    ErrorKind.INVALID_REQUEST: USAGE,
}
_POLL = datetime.timedelta(seconds=1)

Body = _client.Body


class Screen(NamedTuple):
    """Where results and progress are written, and in which form."""

    as_json: bool = False
    out: TextIO = sys.stdout
    err: TextIO = sys.stderr

    def show(self, body: Any, lines: Callable[[], Iterable[str]]) -> None:
        """Write a result as JSON or as lines of text."""
        if self.as_json:
            print(json.dumps(body, indent=2), file=self.out, flush=True)
            return
        for line in lines():
            print(line, file=self.out, flush=True)

    def report(self, text: str) -> None:
        """Write progress, apart from the result."""
        print(text, file=self.err, flush=True)


def explain_failure(screen: Screen, failure: _errors.Failure) -> int:
    """Write an error and return the exit code for it."""
    screen.report(f'error: {failure.kind.value}: {failure.message}')
    return _EXIT_CODES.get(failure.kind, REFUSED)


def _finish(
    screen: Screen,
    outcome: result.Result[Body, _errors.Failure],
    describe: Callable[[Body], Iterable[str]],
) -> int:
    if not isinstance(outcome, result.Success):
        return explain_failure(screen, outcome.failure())
    body = outcome.unwrap()
    screen.show(body, lambda: describe(body))
    return DONE


def read_documents(
    path: str,
) -> result.Result[list[Any], _errors.Failure]:
    """Read the resources of a JSON file with comments."""
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
    client: _client.Client, screen: Screen, path: str, dry_run: bool
) -> int:
    """Declare the resources of a file, in one transaction if they fit."""
    documents = read_documents(path)
    if not isinstance(documents, result.Success):
        return explain_failure(screen, documents.failure())
    applied = _applying.apply(
        client, documents.unwrap(), dry_run, screen.report
    )
    code = _finish(screen, applied.outcome, _describe_apply)
    if code != DONE and applied.done:
        screen.report(
            f'{applied.done} of {applied.total} resources were applied, in '
            f'{applied.parts} transactions; apply the file again to go on'
        )
    return code


def _locate(kind: str, name: str = '') -> str:
    path = f'/v1/{urllib.parse.quote(kind, safe="")}s'
    return f'{path}/{urllib.parse.quote(name, safe="")}' if name else path


def _list_cells(kind: str, item: Body) -> Body:
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
    """Yield a heading and one line for each row, in aligned columns."""
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
    client: _client.Client, screen: Screen, kind: str, name: str
) -> int:
    """Show one resource, or all of a kind."""
    if _schemas.parse_kind(kind) is None:
        known = ', '.join(member.value for member in _schemas.Kind)
        text = f'kind must be one of {known}'
        return explain_failure(
            screen, _errors.Failure(ErrorKind.INVALID_REQUEST, text)
        )
    if name:
        return _finish(
            screen,
            client.call('GET', _locate(kind, name)),
            lambda item: format_table([_list_cells(kind, item)]),
        )
    items: list[Body] = []
    after = ''
    while True:
        query = urllib.parse.urlencode({'after': after})
        page = client.call('GET', f'{_locate(kind)}?{query}')
        if not isinstance(page, result.Success):
            return explain_failure(screen, page.failure())
        items += page.unwrap()['items']
        after = page.unwrap()['next']
        if not after:
            break
    screen.show(
        items, lambda: format_table([_list_cells(kind, i) for i in items])
    )
    return DONE


def delete_resource(
    client: _client.Client, screen: Screen, kind: str, name: str
) -> int:
    """Delete a resource."""
    return _finish(
        screen,
        client.call('DELETE', _locate(kind, name)),
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
    screen: Screen,
    clock: _clock.Clock,
    after: int | None,
    limit: int,
) -> int:
    """Show changes as they come; goes on after a lost connection.

    :param limit: number of messages after which to stop, 0 for no limit
    """
    seen = 0
    while True:
        for message in client.follow(after):
            if not isinstance(message, result.Success):
                code = explain_failure(screen, message.failure())
                if code != UNREACHABLE:
                    return code
                continue
            body = message.unwrap()
            after = body['version']
            lines = [json.dumps(body)]
            if not screen.as_json:
                lines = list(_describe_message(body))
            # One line a message in both forms, for programs that read on.
            for line in lines:
                print(line, file=screen.out, flush=True)
            seen += 1
            if seen == limit:
                return DONE
        clock.sleep(_POLL)


class Wait(NamedTuple):
    """How long to wait for an operation; None not to wait."""

    clock: _clock.Clock
    timeout: datetime.timedelta | None


def drain_instance(
    client: _client.Client, screen: Screen, name: str, then: str, wait: Wait
) -> int:
    """Take an instance out of service for a reboot or to stay out."""
    identifier = str(uuid.uuid4())
    outcome = client.call(
        'POST',
        f'{_locate("instance", name)}/drain',
        {'operation_id': identifier, 'then': then},
    )
    final = 'cordoned' if then == 'cordon' else 'serving'

    def is_done(item: Body) -> bool:
        status = item['status']
        own = status.get('operation_id') == identifier
        return own and status['phase'] == final

    return _await_operation(client, screen, outcome, is_done, wait)


def move_instance(
    client: _client.Client, screen: Screen, name: str, pool: str, wait: Wait
) -> int:
    """Move an instance to another pool."""
    outcome = client.call(
        'POST', f'{_locate("instance", name)}/move', {'pool': pool}
    )

    def is_done(item: Body) -> bool:
        serving = item['status']['phase'] == 'serving'
        return serving and item['spec']['pool'] == pool

    return _await_operation(client, screen, outcome, is_done, wait)


def return_instance(client: _client.Client, screen: Screen, name: str) -> int:
    """Return an instance to service, or undo a drain."""
    outcome = client.call('POST', f'{_locate("instance", name)}/return', {})
    return _finish(screen, outcome, _describe_instance)


def _describe_instance(item: Body) -> list[str]:
    status = item['status']
    return [
        f'{item["name"]}: {status["phase"]} in {item["spec"]["pool"]}, '
        f'epoch {status["epoch"]}, {status["reason"]}'
    ]


def _await_operation(
    client: _client.Client,
    screen: Screen,
    outcome: result.Result[Body, _errors.Failure],
    is_done: Callable[[Body], bool],
    wait: Wait,
) -> int:
    if wait.timeout is None or not isinstance(outcome, result.Success):
        return _finish(screen, outcome, _describe_instance)
    item = outcome.unwrap()
    name = item['name']
    end = wait.clock.monotonic() + wait.timeout
    shown = ''
    while not is_done(item):
        if item['status']['phase'] == 'failed':
            text = f'{name} failed: {item["status"]["reason"]}'
            return explain_failure(
                screen, _errors.Failure(ErrorKind.WORKER_UNREACHABLE, text)
            )
        progress = _describe_instance(item)[0]
        if progress != shown:
            screen.report(progress)
            shown = progress
        if wait.clock.monotonic() >= end:
            text = f'{name} is still {item["status"]["phase"]}'
            return explain_failure(
                screen, _errors.Failure(ErrorKind.DEADLINE_EXCEEDED, text)
            )
        wait.clock.sleep(_POLL)
        # A controller that cannot be reached for a while is no failure of
        # the operation; the time limit ends the wait.
        item = client.call('GET', _locate('instance', name)).value_or(item)
    screen.show(item, lambda: _describe_instance(item))
    return DONE


def _describe_record(record: Body) -> Iterator[str]:
    yield f'{record["at"]} {record["outcome"]}'
    yield f'    observed: {record["observed"]}'
    yield f'    rule: {record["rule"]}'
    for text in record['alternatives']:
        yield f'    alternative: {text}'


def explain_resource(
    client: _client.Client, screen: Screen, kind: str, name: str
) -> int:
    """Show why decisions were made, as the controllers recorded it."""
    path = f'/v1/explanations/{urllib.parse.quote(kind, safe="")}'
    answers = client.call_all(f'{path}/{urllib.parse.quote(name, safe="")}')
    found = [a.unwrap() for a in answers if isinstance(a, result.Success)]
    if not found:
        failed = answers[0] if answers else client.call('GET', path)
        return explain_failure(screen, failed.failure())
    records = sorted(
        (record for body in found for record in body['records']),
        key=lambda record: record['at'],
    )
    screen.show(
        records, lambda: (x for r in records for x in _describe_record(r))
    )
    return DONE
