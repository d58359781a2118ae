"""Command line of the resource API.

Commands: apply FILE, get KIND [NAME], delete KIND NAME, watch, drain NAME,
move NAME POOL, return NAME, explain KIND NAME, dump ADMIN_ADDRESS,
check-settings FILE, reference, reference-settings.

Exit codes: 0 success, 1 refused, 2 usage error, 3 conflict with another
change, 4 no controller or table could be reached, 5 --timeout exceeded.
"""

from collections.abc import Callable
import datetime
import ssl
import sys
from typing import Any

from absl import app
from absl import flags
from returns import result

from skylarktally import _client
from skylarktally import _clock
from skylarktally import _commands
from skylarktally import _errors
from skylarktally import _reference
from skylarktally import _settings
from skylarktally import _tls

FLAGS = flags.FLAGS
flags.DEFINE_multi_string(
    'api', [], 'Address of a controller; repeat it to name alternatives.'
)
flags.DEFINE_string('token-file', '', 'File that holds the bearer token.')
flags.DEFINE_string(
    'ca_file', None, 'CA certificates; with it, every call uses TLS.'
)
flags.DEFINE_string('certificate_file', None, 'Client certificate, in PEM.')
flags.DEFINE_string(
    'key_file', None, 'Private key of the client certificate, in PEM.'
)
flags.DEFINE_enum('output', 'table', ['table', 'json'], 'Format of results.')
flags.DEFINE_bool('dry-run', False, 'apply: only show the changes.')
flags.DEFINE_integer('after', None, 'watch: version to continue after.')
flags.DEFINE_integer(
    'limit', 0, 'watch: stop after this number of messages; 0 for no limit.'
)
flags.DEFINE_enum(
    'then',
    'reboot',
    ['reboot', 'cordon'],
    'drain: what to do with the drained instance.',
)
flags.DEFINE_bool('wait', False, 'drain and move: wait for completion.')
flags.DEFINE_float('timeout', 900.0, 'Time limit of --wait in seconds.')
flags.DEFINE_enum(
    'process',
    'controller',
    ['controller', 'router'],
    'check-settings: the process that the file is for.',
)

Command = Callable[..., int]
# Permitted numbers of positional arguments of each command.
_ARGUMENT_COUNTS = {
    'apply': (1,),
    'get': (1, 2),
    'delete': (2,),
    'watch': (0,),
    'drain': (1,),
    'move': (2,),
    'return': (1,),
    'explain': (2,),
    'dump': (1,),
    'check-settings': (1,),
    'reference': (0,),
    'reference-settings': (0,),
}


def _check_settings(console: _commands.Console, path: str) -> int:
    kind: type[_settings.Settings] = _settings.ControllerSettings
    if FLAGS.process == 'router':
        kind = _settings.RouterSettings
    checked = _settings.load_settings(kind, path)
    issues = [issue._asdict() for issue in checked.issues]
    console.print_result(issues, lambda: map(str, checked.issues))
    if checked.settings is None:
        return _commands.EXIT_REFUSED
    console.print_progress(f'{path} can be used')
    return _commands.EXIT_SUCCESS


def _dump_state(
    console: _commands.Console, context: ssl.SSLContext | None, address: str
) -> int:
    client = _client.Client([address], '', context=context)
    outcome = client.call('GET', '/debug/state')
    if not isinstance(outcome, result.Success):
        return _commands.report_failure(console, outcome.failure())
    console._replace(as_json=True).print_result(outcome.unwrap(), list)
    return _commands.EXIT_SUCCESS


def _show_reference(page: str) -> int:
    sys.stdout.write(page)
    return _commands.EXIT_SUCCESS


def _read_token() -> result.Result[str, _errors.Failure]:
    path = FLAGS['token-file'].value
    if not path:
        return result.Success('')
    try:
        with open(path, encoding='utf-8') as file:
            return result.Success(file.read().strip())
    except (OSError, UnicodeDecodeError) as error:
        kind = _errors.ErrorKind.INVALID_REQUEST
        return result.Failure(_errors.Failure(kind, str(error)))


def _build_tls_context() -> result.Result[
    ssl.SSLContext | None, _errors.Failure
]:
    issues: list[str] = []
    names = ('ca_file', 'certificate_file', 'key_file')
    given = {name: FLAGS[name].value for name in names if FLAGS[name].value}
    if not given:
        return result.Success(None)
    files = _tls.parse_client_files(
        given, lambda path, message: issues.append(f'--{path[1:]} {message}')
    )
    if issues:
        kind = _errors.ErrorKind.INVALID_REQUEST
        return result.Failure(_errors.Failure(kind, '; '.join(issues)))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _tls.configure(context, files)
    return result.Success(context)


def _call_api(
    console: _commands.Console,
    token: str,
    context: ssl.SSLContext | None,
    name: str,
    arguments: list[str],
) -> int:
    client = _client.Client(FLAGS.api, token, context=context)
    clock = _clock.SystemClock()
    limit = datetime.timedelta(seconds=FLAGS.timeout)
    wait = _commands.WaitOptions(clock, limit if FLAGS.wait else None)
    extra: dict[str, tuple[Command, tuple[Any, ...]]] = {
        'apply': (_commands.apply_file, (FLAGS['dry-run'].value,)),
        'get': (_commands.get_resources, ('',)[: 2 - len(arguments)]),
        'delete': (_commands.delete_resource, ()),
        'watch': (_commands.watch_changes, (clock, FLAGS.after, FLAGS.limit)),
        'drain': (_commands.drain_instance, (FLAGS.then, wait)),
        'move': (_commands.move_instance, (wait,)),
        'return': (_commands.return_instance, ()),
        'explain': (_commands.explain_resource, ()),
    }
    command, rest = extra[name]
    return command(client, console, *arguments, *rest)


def _run(argv: list[str]) -> int:
    console = _commands.Console(FLAGS.output == 'json', sys.stdout, sys.stderr)
    name, arguments = (argv[1:2] or [''])[0], argv[2:]
    if len(arguments) not in _ARGUMENT_COUNTS.get(name, ()):
        commands = ', '.join(_ARGUMENT_COUNTS)
        console.print_progress(
            f'error: usage: see --help; commands are {commands}'
        )
        return _commands.EXIT_USAGE
    match name:
        case 'check-settings':
            return _check_settings(console, *arguments)
        case 'reference':
            return _show_reference(_reference.describe_kinds())
        case 'reference-settings':
            return _show_reference(_reference.describe_settings())
    context = _build_tls_context()
    if not isinstance(context, result.Success):
        return _commands.report_failure(console, context.failure())
    if name == 'dump':
        return _dump_state(console, context.unwrap(), *arguments)
    token = _read_token()
    if not isinstance(token, result.Success):
        return _commands.report_failure(console, token.failure())
    return _call_api(
        console, token.unwrap(), context.unwrap(), name, arguments
    )


def main() -> None:
    """Run the command named by the arguments and exit with its code."""
    FLAGS.set_gnu_getopt(True)
    try:
        app.run(_run)
    except KeyboardInterrupt:
        # Ctrl-C is the usual way to end a watch; 130 is the status of a shell
        # command that was ended by SIGINT.
        sys.exit(130)


if __name__ == '__main__':
    main()
