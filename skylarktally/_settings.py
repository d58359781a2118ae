"""Settings of the router and of the controller, from JSON with comments.

Each setting is declared once, as an annotated attribute with its type, unit
and bounds. The defaults are the values of the design page.
"""

from collections.abc import Iterator
import dataclasses
import datetime
import typing
from typing import Annotated, Any, Generic, NamedTuple, TypeVar

import json5

from skylarktally import _fields
from skylarktally import _limits
from skylarktally import _moves
from skylarktally import _repairs
from skylarktally import _tls

Token = _fields.Token
split_address = _fields.split_address
strip_https = _fields.strip_https

_Duration = datetime.timedelta
_Name = _fields.String(
    '[A-Za-z0-9][A-Za-z0-9._-]{0,62}', 'a name of 1 to 63 letters or digits'
)
# 32 characters hold 128 bits even if only hexadecimal digits are used.
_Secret = _fields.String(
    r'[\x21-\x7e]{32,256}', '32 to 256 printable characters', secret=True
)
_Address = _fields.Address()
_FilesByRole = dict[str, _tls.TlsFiles]


def _seconds(seconds: float) -> _Duration:
    return datetime.timedelta(seconds=seconds)


def _count(low: int, high: int, unit: str = '') -> _fields.Number:
    return _fields.Number(low, high, unit)


def _bytes(low: int, high: int) -> _fields.Number:
    return _fields.Number(low, high, 'bytes')


_FRACTION = _fields.Number(0, 1, 'of the whole', integer=False)
_SHORT_DELAY = _fields.Seconds(0.01, 60)
_LONG_DELAY = _fields.Seconds(0.1, 3600)
# The history of demand and of moves covers one minute.
_DELAY_IN_HISTORY = _fields.Seconds(0.1, 55)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings that routers and controllers have in common."""

    name: Annotated[str, _Name]
    zone: Annotated[str, _Name]
    admin_address: Annotated[str, _Address]
    platform_address: Annotated[str, _fields.Address(https=True)]
    # Peer addresses of routers for the first contact.
    seeds: Annotated[tuple[str, ...], _fields.ListOf(_Address, 0, 64)] = ()
    tokens: Annotated[dict[str, Token], _fields.Tokens()] = dataclasses.field(
        default_factory=dict
    )
    # Address at which others reach the peer protocol of this instance's
    # router.
    peer_address: Annotated[str, _Address]
    # Address to listen on for peers if it differs from peer_address. Calls
    # to peers leave from the IP address that is listened on, so that firewall
    # rules can tell the instances apart.
    peer_listen_address: Annotated[str, _Address] = ''
    # Shared by all routers and controllers of a deployment.
    peer_secret: Annotated[str, _Secret]
    # Accepted from peers but not used for calls to them, so that the secret
    # can be rotated without an interruption.
    other_peer_secrets: Annotated[
        tuple[str, ...], _fields.ListOf(_Secret, 0, 4)
    ] = ()
    tls: Annotated[
        _FilesByRole, _tls.TlsRoles(('admin', 'peer', 'platform'))
    ] = dataclasses.field(default_factory=dict)

    log_level: Annotated[
        str,
        _fields.String(
            'DEBUG|INFO|WARNING|ERROR', 'DEBUG, INFO, WARNING or ERROR'
        ),
    ] = 'INFO'
    platform_timeout: Annotated[_Duration, _SHORT_DELAY] = _seconds(2)
    # Maximum rates at which this process calls the platform. Its share of
    # the platform's rate limits, which depends on the number of live entry
    # instances, may be lower.
    platform_writes_per_second: Annotated[int, _count(1, 300)] = 11
    platform_reads_per_second: Annotated[int, _count(1, 2000)] = 20
    # Number of entry instances, each with a router and a controller, that
    # is assumed until the live ones have been counted.
    assumed_entries: Annotated[int, _count(1, 1024)] = 24
    peer_timeout: Annotated[_Duration, _SHORT_DELAY] = _seconds(1)
    snapshot_timeout: Annotated[_Duration, _SHORT_DELAY] = _seconds(5)
    # Maximum frame of the peer protocol; a snapshot of 3,200 workers takes
    # about 1.5 MB.
    peer_frame_bytes: Annotated[int, _bytes(65536, 256 << 20)] = 64 << 20
    peer_clients: Annotated[int, _count(1, 4096, 'connections')] = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings(Settings):
    """Settings of a router."""

    serving_address: Annotated[str, _Address]
    # Certificates of the listeners and of outgoing calls, by role.
    tls: Annotated[
        _FilesByRole,
        _tls.TlsRoles(('serving', 'admin', 'peer', 'platform', 'upstream')),
    ] = dataclasses.field(default_factory=dict)

    # Membership and roll-out, section 8.
    gossip_interval: Annotated[_Duration, _SHORT_DELAY] = _seconds(0.5)
    # A router of another zone is called too in every n-th gossip period.
    # With 24 routers and 30 % packet loss, a live router was not heard from
    # for up to 7.6 s with n = 4, close to dead_after, and for up to 3.4 s
    # with n = 1.
    gossip_zone_ratio: Annotated[int, _count(1, 100)] = 1
    suspect_after: Annotated[_Duration, _LONG_DELAY] = _seconds(4)
    dead_after: Annotated[_Duration, _LONG_DELAY] = _seconds(8)
    # Maximum size of the member list in one gossip message.
    gossip_members_bytes: Annotated[int, _bytes(256, 1 << 20)] = 1024
    sync_entries: Annotated[int, _count(1, 2000, 'log entries')] = 200
    table_poll_interval: Annotated[_Duration, _SHORT_DELAY] = _seconds(2)
    peer_server_connections: Annotated[int, _count(1, 4096)] = 256
    routers_per_zone_limit: Annotated[int, _count(1, 64)] = 4

    # Graceful shutdown: how long the router is not ready but still accepts
    # requests, then the maximum wait for requests in progress.
    drain_notice: Annotated[_Duration, _fields.Seconds(0, 300)] = _seconds(5)
    drain_limit: Annotated[_Duration, _fields.Seconds(0, 3600)] = _seconds(60)

    # Slots and connections, section 5.
    connections_per_worker: Annotated[int, _count(1, 4096)] = 64
    slot_lease_ttl: Annotated[_Duration, _LONG_DELAY] = _seconds(10)
    slot_lease_margin: Annotated[_Duration, _LONG_DELAY] = _seconds(2)
    slot_lease_idle: Annotated[_Duration, _LONG_DELAY] = _seconds(1)

    # At-most-once execution, section 6.
    key_retention: Annotated[_Duration, _LONG_DELAY] = _seconds(600)
    recorded_answer_bytes: Annotated[int, _bytes(0, 1 << 24)] = 64 << 10
    recorded_answers: Annotated[int, _count(0, 1000000)] = 10000

    # Request path, section 7.
    request_timeout: Annotated[_Duration, _LONG_DELAY] = _seconds(10)
    queue_limit: Annotated[int, _count(1, 65536, 'requests')] = 256
    retry_ratio: Annotated[float, _FRACTION] = 0.1
    ejection_failures: Annotated[int, _count(1, 1000)] = 5
    ejection_shortest: Annotated[_Duration, _LONG_DELAY] = _seconds(1)
    ejection_longest: Annotated[_Duration, _LONG_DELAY] = _seconds(30)
    ejection_share: Annotated[float, _FRACTION] = 0.5
    response_timeout: Annotated[_Duration, _LONG_DELAY] = _seconds(2)
    connection_idle: Annotated[_Duration, _LONG_DELAY] = _seconds(5)
    header_bytes: Annotated[int, _bytes(1024, 1 << 20)] = 16 << 10
    body_bytes: Annotated[int, _bytes(0, 1 << 34)] = 64 << 20
    client_connections: Annotated[int, _count(1, 65536)] = 1024
    header_timeout: Annotated[_Duration, _LONG_DELAY] = _seconds(10)
    progress_timeout: Annotated[_Duration, _LONG_DELAY] = _seconds(30)

    @property
    def serving_url(self) -> str:
        """Return the URL at which other routers call this one."""
        scheme = 'https://' if 'serving' in self.tls else ''
        return scheme + self.serving_address

    @property
    def limits(self) -> _limits.ServingLimits:
        """Return the settings that the request path uses."""
        per_router = self.connections_per_worker // self.routers_per_zone_limit
        return _limits.ServingLimits(
            lease_ttl=self.slot_lease_ttl,
            lease_margin=self.slot_lease_margin,
            lease_idle_timeout=self.slot_lease_idle,
            max_connections_per_worker=per_router,
            routers_per_zone=self.routers_per_zone_limit,
            response_timeout=self.response_timeout,
            connection_idle_timeout=self.connection_idle,
            queue_limit=self.queue_limit,
            default_deadline=self.request_timeout,
            retry_ratio=self.retry_ratio,
            ejection_threshold=self.ejection_failures,
            min_ejection_time=self.ejection_shortest,
            max_ejection_time=self.ejection_longest,
            max_ejected_share=self.ejection_share,
            max_body_bytes=self.body_bytes,
            max_header_bytes=self.header_bytes,
            max_client_connections=self.client_connections,
            header_timeout=self.header_timeout,
            progress_timeout=self.progress_timeout,
            max_recorded_answer_bytes=self.recorded_answer_bytes,
            max_recorded_answers=self.recorded_answers,
            key_retention=self.key_retention,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControllerSettings(Settings):
    """Settings of a controller."""

    api_address: Annotated[str, _Address]
    # A controller uses the role peer for calls to routers only.
    tls: Annotated[
        _FilesByRole,
        _tls.TlsRoles(('api', 'admin', 'peer', 'platform', 'upstream')),
    ] = dataclasses.field(default_factory=dict)
    platform_writes_per_second: Annotated[int, _count(1, 300)] = 5

    # Shard leases, section 3.
    beat_interval: Annotated[_Duration, _LONG_DELAY] = _seconds(4)
    lease_hold: Annotated[_Duration, _LONG_DELAY] = _seconds(8)
    lease_expiry: Annotated[_Duration, _LONG_DELAY] = _seconds(12)
    snapshot_versions: Annotated[int, _count(1, 100000)] = 100

    # Decisions, section 10.
    reconcile_interval: Annotated[_Duration, _LONG_DELAY] = _seconds(1)
    explanations: Annotated[int, _count(1, 1000000)] = 1000
    # Hysteresis of moves: how long demand must last before a move, how long
    # a pool must not have needed an instance that it lends, over which time
    # the need of a pool is measured, and how long an instance stays after a
    # move.
    move_hold: Annotated[_Duration, _DELAY_IN_HISTORY] = (
        _moves.DEFAULT_POLICY.hold
    )
    move_release: Annotated[_Duration, _DELAY_IN_HISTORY] = (
        _moves.DEFAULT_POLICY.release
    )
    move_window: Annotated[_Duration, _DELAY_IN_HISTORY] = (
        _moves.DEFAULT_POLICY.window
    )
    move_dwell: Annotated[_Duration, _DELAY_IN_HISTORY] = (
        _moves.DEFAULT_POLICY.dwell
    )
    # Cost of a move: the fraction of the urgent deadline for which work may
    # queue before an instance moves to its pool.
    move_deadline_share: Annotated[float, _FRACTION] = (
        _moves.DEFAULT_POLICY.deadline_share
    )

    # Minimum duration of the first cordon of a worker.
    cordon_time: Annotated[_Duration, _LONG_DELAY] = _repairs.MIN_CORDON_TIME

    def build_move_policy(self) -> _moves.Policy:
        """Return the policy that limits how often instances move."""
        return _moves.DEFAULT_POLICY._replace(
            hold=self.move_hold,
            release=self.move_release,
            window=self.move_window,
            dwell=self.move_dwell,
            deadline_share=self.move_deadline_share,
        )


S = TypeVar('S')


class Issue(NamedTuple):
    """One error or warning about a settings file."""

    # Either error or warning.
    severity: str
    file: str
    # Path of the field in the file; empty for the file as a whole.
    path: str
    message: str

    def __str__(self) -> str:
        place = f'{self.file}: {self.path}' if self.path else self.file
        return f'{self.severity}: {place}: {self.message}'


class CheckResult(NamedTuple, Generic[S]):
    """Settings, or None if an issue is an error, and all issues."""

    settings: S | None
    issues: list[Issue]


def load_settings(settings_class: type[S], path: str) -> CheckResult[S]:
    """Read and check a settings file."""
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return CheckResult(None, [Issue('error', path, '', str(error))])
    return check_settings(settings_class, text, path)


def check_settings(
    settings_class: type[S], text: str, file: str
) -> CheckResult[S]:
    """Check the text of a settings file and collect its issues."""
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return CheckResult(None, [Issue('error', file, '', str(error))])
    if not isinstance(data, dict):
        return CheckResult(
            None, [Issue('error', file, '', 'must be a mapping of settings')]
        )
    issues: list[Issue] = []
    values = _parse_fields(settings_class, data, file, issues)
    if issues:
        return CheckResult(None, issues)
    settings = settings_class(**values)
    violations = (
        _check_rules(settings) if isinstance(settings, Settings) else ()
    )
    for severity, path, message in violations:
        issues.append(Issue(severity, file, path, message))
    if any(issue.severity == 'error' for issue in issues):
        return CheckResult(None, issues)
    return CheckResult(settings, issues)


def list_fields(
    settings_class: type[S],
) -> dict[str, tuple[str, _fields.Field]]:
    """Return the attribute name and type of each key of the file."""
    hints = typing.get_type_hints(settings_class, include_extras=True)
    declared = {name: hint.__metadata__[0] for name, hint in hints.items()}
    return {
        name + field.suffix: (name, field) for name, field in declared.items()
    }


def _parse_fields(
    settings_class: type[S],
    data: dict[str, Any],
    file: str,
    issues: list[Issue],
) -> dict[str, Any]:
    known = list_fields(settings_class)
    values = {}

    def report(path: str, message: str) -> None:
        issues.append(Issue('error', file, path, message))

    for key, value in data.items():
        if key not in known:
            report(key, _fields.describe_unknown(key, known))
            continue
        name, field = known[key]
        values[name] = field.parse(value, _fields.prefix_report(report, key))
    for item in dataclasses.fields(settings_class):  # type: ignore[arg-type]
        if (
            item.default is dataclasses.MISSING
            and item.default_factory is dataclasses.MISSING
            and item.name not in values
        ):
            report(item.name, 'is required')
    return values


_RuleViolation = tuple[str, str, str]


def _check_rules(settings: Settings) -> Iterator[_RuleViolation]:
    """Yield severity, path and message of each broken rule."""
    if isinstance(settings, RouterSettings):
        yield from _check_router(settings)
        yield from _check_addresses(
            settings, ('admin_address', 'serving_address', 'peer_address')
        )
    if isinstance(settings, ControllerSettings):
        yield from _check_controller(settings)
        yield from _check_addresses(settings, ('admin_address', 'api_address'))
    if strip_https(settings.platform_address)[0]:
        if 'platform' not in settings.tls:
            yield 'error', 'tls.platform', 'is required for an https address'
    if 'serving' in settings.tls and 'upstream' not in settings.tls:
        yield (
            'warning',
            'tls.upstream',
            'without it no request can be forwarded to another router',
        )
    if not settings.seeds:
        yield (
            'warning',
            'seeds',
            'no peer can be called while the table is unavailable',
        )
    if not settings.tokens:
        yield 'warning', 'tokens', 'every request will be refused'


def _check_addresses(
    settings: Settings, names: tuple[str, ...]
) -> Iterator[_RuleViolation]:
    seen: dict[str, str] = {}
    for name in names:
        address = getattr(settings, name)
        if address in seen:
            yield 'error', name, f'is the same as {seen[address]}'
        seen[address] = name


def _check_router(settings: RouterSettings) -> Iterator[_RuleViolation]:
    if settings.dead_after <= settings.suspect_after:
        path = 'dead_after_seconds'
        yield 'error', path, 'must be above suspect_after_seconds'
    if settings.suspect_after < 4 * settings.gossip_interval:
        path = 'suspect_after_seconds'
        yield 'warning', path, 'below 4 gossip intervals causes false alarms'
    if settings.table_poll_interval > _seconds(4):
        path = 'table_poll_interval_seconds'
        yield 'warning', path, 'above 4 s a change may take more than 5 s'
    if settings.slot_lease_margin * 2 > settings.slot_lease_ttl:
        path = 'slot_lease_margin_seconds'
        yield 'error', path, 'must be at most half of slot_lease_ttl_seconds'
    if settings.connections_per_worker < settings.routers_per_zone_limit:
        path = 'connections_per_worker'
        yield (
            'error',
            path,
            'must be at least routers_per_zone_limit, '
            'one connection for each router of a zone',
        )
    if settings.ejection_shortest > settings.ejection_longest:
        path = 'ejection_shortest_seconds'
        yield 'error', path, 'must not exceed ejection_longest_seconds'


def _check_controller(
    settings: ControllerSettings,
) -> Iterator[_RuleViolation]:
    if settings.lease_hold <= settings.beat_interval:
        path = 'lease_hold_seconds'
        yield 'error', path, 'must be above beat_interval_seconds'
    if settings.lease_expiry <= settings.lease_hold:
        path = 'lease_expiry_seconds'
        yield 'error', path, 'must be above lease_hold_seconds'
