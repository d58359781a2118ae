"""Settings of the router and of the controller, from JSON with comments.

Each setting is declared once, as an annotated attribute with its unit and
bounds. The defaults are the figures of the design page.
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
# 32 characters hold 128 bits even when written in hexadecimal digits.
_Secret = _fields.String(
    r'[\x21-\x7e]{32,256}', '32 to 256 printable characters', secret=True
)
_Address = _fields.Address()
_Files = dict[str, _tls.TlsFiles]


def _seconds(seconds: float) -> _Duration:
    return datetime.timedelta(seconds=seconds)


def _count(low: int, high: int, unit: str = '') -> _fields.Number:
    return _fields.Number(low, high, unit)


def _bytes(low: int, high: int) -> _fields.Number:
    return _fields.Number(low, high, 'bytes')


_SHARE = _fields.Number(0, 1, 'of the whole', integer=False)
_SHORT = _fields.Seconds(0.01, 60)
_LONG = _fields.Seconds(0.1, 3600)
# The history of demand and of moves goes back one minute.
_IN_HISTORY = _fields.Seconds(0.1, 55)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """What every process of the system is told."""

    name: Annotated[str, _Name]
    zone: Annotated[str, _Name]
    admin_address: Annotated[str, _Address]
    platform_address: Annotated[str, _fields.Address(https=True)]
    # Peer addresses of routers that may be asked first.
    seeds: Annotated[tuple[str, ...], _fields.ListOf(_Address, 0, 64)] = ()
    tokens: Annotated[dict[str, Token], _fields.Tokens()] = dataclasses.field(
        default_factory=dict
    )
    # Where the router of this instance serves the peer protocol.
    peer_address: Annotated[str, _Address]
    # Where it listens for peers, if others reach it by another address.
    # Calls to peers leave from this IP number, so that the rules of a
    # network can tell the instances apart.
    peer_listen_address: Annotated[str, _Address] = ''
    # Shared by all routers and controllers of a deployment.
    peer_secret: Annotated[str, _Secret]
    # Accepted from others but not used for own calls, so that the secret
    # can be replaced without an interruption.
    other_peer_secrets: Annotated[
        tuple[str, ...], _fields.ListOf(_Secret, 0, 4)
    ] = ()
    tls: Annotated[_Files, _tls.TlsRoles(('admin', 'peer', 'platform'))] = (
        dataclasses.field(default_factory=dict)
    )

    log_level: Annotated[
        str,
        _fields.String(
            'DEBUG|INFO|WARNING|ERROR', 'DEBUG, INFO, WARNING or ERROR'
        ),
    ] = 'INFO'
    platform_timeout: Annotated[_Duration, _SHORT] = _seconds(2)
    # The most that this process uses of the platform's rates. Its share of
    # them, by the number of live entries, may be lower.
    platform_writes_per_second: Annotated[int, _count(1, 300)] = 11
    platform_reads_per_second: Annotated[int, _count(1, 2000)] = 20
    # Entry instances, each with a router and a controller, that are assumed
    # while the live ones have not been counted.
    assumed_entries: Annotated[int, _count(1, 1024)] = 24
    peer_timeout: Annotated[_Duration, _SHORT] = _seconds(1)
    snapshot_timeout: Annotated[_Duration, _SHORT] = _seconds(5)
    # Largest frame of the peer protocol; a snapshot of 3,200 workers has
    # about 1.5 MB.
    peer_frame_bytes: Annotated[int, _bytes(65536, 256 << 20)] = 64 << 20
    peer_clients: Annotated[int, _count(1, 4096, 'connections')] = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings(Settings):
    """What a router is told."""

    serving_address: Annotated[str, _Address]
    # Certificates of the listeners and of own calls, by role.
    tls: Annotated[
        _Files,
        _tls.TlsRoles(('serving', 'admin', 'peer', 'platform', 'upstream')),
    ] = dataclasses.field(default_factory=dict)

    # Membership and roll-out, section 8.
    gossip_interval: Annotated[_Duration, _SHORT] = _seconds(0.5)
    # In every n-th gossip period a router of another zone is called too.
    # With 24 routers and 30 % loss, live routers stayed silent for up to
    # 7.6 s with n = 4, close to dead_after, and for 3.4 s with n = 1.
    gossip_zone_ratio: Annotated[int, _count(1, 100)] = 1
    suspect_after: Annotated[_Duration, _LONG] = _seconds(4)
    dead_after: Annotated[_Duration, _LONG] = _seconds(8)
    # Bound of the member list in one message.
    gossip_members_bytes: Annotated[int, _bytes(256, 1 << 20)] = 1024
    sync_entries: Annotated[int, _count(1, 2000, 'log entries')] = 200
    table_poll_interval: Annotated[_Duration, _SHORT] = _seconds(2)
    peer_server_connections: Annotated[int, _count(1, 4096)] = 256
    routers_per_zone_limit: Annotated[int, _count(1, 64)] = 4

    # Graceful shutdown: time between not ready and refusing, then the
    # longest wait for requests in progress.
    drain_notice: Annotated[_Duration, _fields.Seconds(0, 300)] = _seconds(5)
    drain_limit: Annotated[_Duration, _fields.Seconds(0, 3600)] = _seconds(60)

    # Slots and connections, section 5.
    connections_per_worker: Annotated[int, _count(1, 4096)] = 64
    slot_lease_ttl: Annotated[_Duration, _LONG] = _seconds(10)
    slot_lease_margin: Annotated[_Duration, _LONG] = _seconds(2)
    slot_lease_idle: Annotated[_Duration, _LONG] = _seconds(1)

    # At most once, section 6.
    key_retention: Annotated[_Duration, _LONG] = _seconds(600)
    recorded_answer_bytes: Annotated[int, _bytes(0, 1 << 24)] = 64 << 10
    recorded_answers: Annotated[int, _count(0, 1000000)] = 10000

    # Request path, section 7.
    request_timeout: Annotated[_Duration, _LONG] = _seconds(10)
    queue_limit: Annotated[int, _count(1, 65536, 'requests')] = 256
    retry_ratio: Annotated[float, _SHARE] = 0.1
    ejection_failures: Annotated[int, _count(1, 1000)] = 5
    ejection_shortest: Annotated[_Duration, _LONG] = _seconds(1)
    ejection_longest: Annotated[_Duration, _LONG] = _seconds(30)
    ejection_share: Annotated[float, _SHARE] = 0.5
    response_timeout: Annotated[_Duration, _LONG] = _seconds(2)
    connection_idle: Annotated[_Duration, _LONG] = _seconds(5)
    header_bytes: Annotated[int, _bytes(1024, 1 << 20)] = 16 << 10
    body_bytes: Annotated[int, _bytes(0, 1 << 34)] = 64 << 20
    client_connections: Annotated[int, _count(1, 65536)] = 1024
    header_timeout: Annotated[_Duration, _LONG] = _seconds(10)
    progress_timeout: Annotated[_Duration, _LONG] = _seconds(30)

    @property
    def serving_url(self) -> str:
        """Return the serving address as other routers call it."""
        scheme = 'https://' if 'serving' in self.tls else ''
        return scheme + self.serving_address

    @property
    def limits(self) -> _limits.ServingLimits:
        """Return the settings that the request path reads."""
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
    """What a controller is told."""

    api_address: Annotated[str, _Address]
    # The role peer is for calls to routers only.
    tls: Annotated[
        _Files, _tls.TlsRoles(('api', 'admin', 'peer', 'platform', 'upstream'))
    ] = dataclasses.field(default_factory=dict)
    platform_writes_per_second: Annotated[int, _count(1, 300)] = 5

    # Shard leases, section 3.
    beat_interval: Annotated[_Duration, _LONG] = _seconds(4)
    lease_hold: Annotated[_Duration, _LONG] = _seconds(8)
    lease_expiry: Annotated[_Duration, _LONG] = _seconds(12)
    snapshot_versions: Annotated[int, _count(1, 100000)] = 100

    # Decisions, section 10.
    reconcile_interval: Annotated[_Duration, _LONG] = _seconds(1)
    explanations: Annotated[int, _count(1, 1000000)] = 1000
    # Hysteresis of moves: how long demand must last, how long a pool must
    # not have needed what it lends, and how long an instance stays.
    move_hold: Annotated[_Duration, _IN_HISTORY] = _moves.DEFAULT_POLICY.hold
    move_release: Annotated[_Duration, _IN_HISTORY] = (
        _moves.DEFAULT_POLICY.release
    )
    move_window: Annotated[_Duration, _IN_HISTORY] = (
        _moves.DEFAULT_POLICY.window
    )
    move_dwell: Annotated[_Duration, _IN_HISTORY] = _moves.DEFAULT_POLICY.dwell
    # Cost of a move: the part of the urgent deadline that work may wait
    # before an instance moves to it.
    move_deadline_share: Annotated[float, _SHARE] = (
        _moves.DEFAULT_POLICY.deadline_share
    )

    # Least time in the first cordon of a worker.
    cordon_time: Annotated[_Duration, _LONG] = _repairs.MIN_CORDON_TIME

    def build_move_policy(self) -> _moves.Policy:
        """Return the limits that keep moves few."""
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

    # error or warning
    severity: str
    file: str
    # Path of the field in the file; empty for the whole file.
    path: str
    message: str

    def __str__(self) -> str:
        place = f'{self.file}: {self.path}' if self.path else self.file
        return f'{self.severity}: {place}: {self.message}'


class Checked(NamedTuple, Generic[S]):
    """Settings, which are None when any issue is an error."""

    settings: S | None
    issues: list[Issue]


def load_settings(kind: type[S], path: str) -> Checked[S]:
    """Read and check a settings file."""
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Checked(None, [Issue('error', path, '', str(error))])
    return check_settings(kind, text, path)


def check_settings(kind: type[S], text: str, file: str) -> Checked[S]:
    """Check the text of a settings file and collect all issues in it."""
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return Checked(None, [Issue('error', file, '', str(error))])
    if not isinstance(data, dict):
        return Checked(
            None, [Issue('error', file, '', 'must be a mapping of settings')]
        )
    issues: list[Issue] = []
    values = _parse_fields(kind, data, file, issues)
    if issues:
        return Checked(None, issues)
    settings = kind(**values)
    rules = _check_rules(settings) if isinstance(settings, Settings) else ()
    for severity, path, message in rules:
        issues.append(Issue(severity, file, path, message))
    if any(issue.severity == 'error' for issue in issues):
        return Checked(None, issues)
    return Checked(settings, issues)


def list_fields(kind: type[S]) -> dict[str, tuple[str, _fields.Field]]:
    """Return the attribute and declaration of each key of the file."""
    hints = typing.get_type_hints(kind, include_extras=True)
    declared = {name: hint.__metadata__[0] for name, hint in hints.items()}
    return {
        name + field.suffix: (name, field) for name, field in declared.items()
    }


def _parse_fields(
    kind: type[S], data: dict[str, Any], file: str, issues: list[Issue]
) -> dict[str, Any]:
    known = list_fields(kind)
    values = {}

    def report(path: str, message: str) -> None:
        issues.append(Issue('error', file, path, message))

    for key, value in data.items():
        if key not in known:
            report(key, _fields.describe_unknown(key, known))
            continue
        name, field = known[key]
        values[name] = field.parse(value, _fields.prefix_report(report, key))
    for item in dataclasses.fields(kind):  # type: ignore[arg-type]
        if (
            item.default is dataclasses.MISSING
            and item.default_factory is dataclasses.MISSING
            and item.name not in values
        ):
            report(item.name, 'is required')
    return values


_Rule = tuple[str, str, str]


def _check_rules(settings: Settings) -> Iterator[_Rule]:
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
            'no peer can be asked while the table is down',
        )
    if not settings.tokens:
        yield 'warning', 'tokens', 'every request will be refused'


def _check_addresses(
    settings: Settings, names: tuple[str, ...]
) -> Iterator[_Rule]:
    seen: dict[str, str] = {}
    for name in names:
        address = getattr(settings, name)
        if address in seen:
            yield 'error', name, f'is the same as {seen[address]}'
        seen[address] = name


def _check_router(settings: RouterSettings) -> Iterator[_Rule]:
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
        yield 'error', path, 'leaves no connection to each router of a zone'
    if settings.ejection_shortest > settings.ejection_longest:
        path = 'ejection_shortest_seconds'
        yield 'error', path, 'must not exceed ejection_longest_seconds'


def _check_controller(settings: ControllerSettings) -> Iterator[_Rule]:
    if settings.lease_hold <= settings.beat_interval:
        path = 'lease_hold_seconds'
        yield 'error', path, 'must be above beat_interval_seconds'
    if settings.lease_expiry <= settings.lease_hold:
        path = 'lease_expiry_seconds'
        yield 'error', path, 'must be above lease_hold_seconds'
