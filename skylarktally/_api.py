"""WSGI application of the resource API, served by the controller."""

from collections.abc import Callable, Iterable, Iterator
import http
import json
import logging
from typing import Any, Protocol
import uuid

import prometheus_client
from returns import result

from skylarktally import _clock
from skylarktally import _declarations
from skylarktally import _errors
from skylarktally import _explanations
from skylarktally import _requests
from skylarktally import _resources
from skylarktally import _schemas
from skylarktally import _tokens
from skylarktally import _transitions
from skylarktally import _watches

log = logging.getLogger(__name__)

Kind = _resources.Kind
ErrorKind = _errors.ErrorKind

REQUESTS = prometheus_client.Counter(
    'skylarktally_api_requests_total',
    'Requests to the resource API.',
    ['method', 'status'],
)
# Items in one response to a list request.
_PAGE_LIMIT = 1000
# By the plural that the paths use.
_KINDS = {f'{kind.value}s': kind for kind in Kind}


class Replica(_watches.Replica, _transitions.Replica, Protocol):
    """Methods of the fleet replica that the API needs."""

    def subscribe(self, callback: Callable[[int], None]) -> None:
        """Call the function with each new version."""


class Journal(Protocol):
    """Method of the journal that the API needs for writes."""

    def transact(
        self,
        decide: Callable[[Any], _transitions.Changes],
        lease_conditions: Iterable[Any] = (),
    ) -> result.Result[int, _errors.Failure]:
        """Commit what `decide` returns for the up-to-date replica."""


class Api:
    """Serves reads from a fleet replica and writes through its journal."""

    def __init__(
        self,
        journal: Journal,
        fleet: Replica,
        tokens: _tokens.TokenStore,
        clock: _clock.Clock,
        explanations: _explanations.Explanations,
    ) -> None:
        self._journal = journal
        self._fleet = fleet
        self._tokens = tokens
        self._clock = clock
        self._explanations = explanations
        self._notifier = _watches.VersionNotifier()
        self._watches: set[_watches.Watch] = set()
        fleet.subscribe(self._notifier.notify)

    def close(self) -> None:
        """End every watch, because its open response delays a shutdown."""
        for watch in self._watches:
            watch.closed = True
        self._notifier.notify()

    def application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        try:
            outcome = self._answer(environ)
        except Exception:
            log.exception('resource API request failed')
            outcome = _requests.fail(
                ErrorKind.INTERNAL, 'internal error; see the log'
            )
        headers = [('Content-Type', 'application/json')]
        if isinstance(outcome, result.Success):
            response = outcome.unwrap()
        else:
            response = _requests.build_error_response(
                outcome.failure(), headers
            )
        REQUESTS.labels(environ['REQUEST_METHOD'], str(response.status)).inc()
        status = http.HTTPStatus(response.status)
        if not isinstance(response.body, dict):
            headers[0] = ('Content-Type', 'application/x-ndjson')
            start_response(f'{status.value} {status.phrase}', headers)
            return response.body
        body = json.dumps(response.body).encode()
        headers.append(('Content-Length', str(len(body))))
        start_response(f'{status.value} {status.phrase}', headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> _requests.Outcome:
        identity = self._tokens.identify(environ.get('HTTP_AUTHORIZATION', ''))
        if not isinstance(identity, result.Success):
            _requests.log_rejection(environ, identity.failure())
            return result.Failure(identity.failure())
        request = _requests.parse_request(environ, identity.unwrap())
        outcome: _requests.Outcome = request.bind(self._route)
        if not isinstance(outcome, result.Success):
            if outcome.failure().kind is ErrorKind.FORBIDDEN:
                _requests.log_rejection(environ, outcome.failure())
        return outcome

    def _route(self, request: _requests.Request) -> _requests.Outcome:
        match (request.method, *request.path_segments):
            case ('POST', 'v1', 'apply'):
                return self._apply(request)
            case ('GET', 'v1', 'watch'):
                return self._watch(request)
            case ('GET', 'v1', 'explanations', kind, name):
                return self._explain(request, kind, name)
            case ('POST', 'v1', 'instances', name, operation):
                return self._operate(request, name, operation)
            case (method, 'v1', plural, *names) if plural in _KINDS:
                return self._route_resource(
                    request, method, _KINDS[plural], names
                )
        return _requests.fail(
            ErrorKind.NOT_FOUND,
            f'no such path: {request.method} '
            f'/{"/".join(request.path_segments)}',
        )

    def _route_resource(
        self,
        request: _requests.Request,
        method: str,
        kind: Kind,
        names: list[str],
    ) -> _requests.Outcome:
        match (method, *names):
            case ('GET',):
                return self._list(request, kind)
            case ('GET', name):
                return self._get(request, kind, name)
            case ('PUT', name):
                return self._put(request, kind, name)
            case ('DELETE', name):
                return self._delete(request, kind, name)
        return _requests.fail(
            ErrorKind.NOT_FOUND, f'no such operation on {kind.value}s'
        )

    def _list(
        self, request: _requests.Request, kind: Kind
    ) -> _requests.Outcome:
        after = request.query.get('after', '')
        pool = request.query.get('pool')
        items = sorted(
            (
                item
                for item in self._fleet.list(kind)
                if item['name'] > after
                and pool in (None, item['spec'].get('pool'))
                and _declarations.can_access(
                    self._fleet, request.identity, item
                )
            ),
            key=lambda item: item['name'],
        )
        page = items[:_PAGE_LIMIT]
        more = page[-1]['name'] if len(items) > len(page) else None
        body = {'items': page, 'next': more, 'version': self._fleet.version}
        return result.Success(_requests.Response(body))

    def _find(
        self, request: _requests.Request, kind: Kind, name: str
    ) -> result.Result[_resources.Resource, _errors.Failure]:
        found = self._fleet.find(kind, name)
        # A resource of another team gives the same error as a missing one,
        # so that its existence is not disclosed.
        if found is None or not _declarations.can_access(
            self._fleet, request.identity, found
        ):
            return _requests.fail(
                ErrorKind.NOT_FOUND, f'no {kind.value} {name!r}'
            )
        return result.Success(found)

    def _get(
        self, request: _requests.Request, kind: Kind, name: str
    ) -> _requests.Outcome:
        found = self._find(request, kind, name)
        return found.map(lambda item: _requests.Response(dict(item)))

    def _put(
        self, request: _requests.Request, kind: Kind, name: str
    ) -> _requests.Outcome:
        document = request.body
        if isinstance(document, dict):
            document = {'kind': kind.value, 'name': name, **document}
            if (document['kind'], document['name']) != (kind.value, name):
                return _requests.fail(
                    ErrorKind.INVALID_RESOURCE,
                    'kind and name: must be those of the path',
                )
        resource = _schemas.parse_resource(document)
        expected_version = _requests.parse_if_match(
            request.headers.get('if-match', '0')
        )
        if not isinstance(resource, result.Success):
            return result.Failure(resource.failure())
        if not isinstance(expected_version, result.Success):
            return result.Failure(expected_version.failure())
        declarations = _declarations.Declaration(
            resource.unwrap(), expected_version=expected_version.unwrap()
        )
        written = self._write(request.identity, [declarations])
        return written.map(
            lambda _: _requests.Response(
                dict(self._fleet.find(kind, name) or {})
            )
        )

    def _write(
        self,
        identity: _tokens.Identity,
        declarations: list[_declarations.Declaration],
    ) -> result.Result[_requests.Response, _errors.Failure]:
        plans: list[_declarations.Plan] = []

        def decide(fleet: Any) -> _transitions.Changes:
            plan = _declarations.plan_write(
                fleet, declarations, identity, self._clock.now()
            )
            plans[:] = [plan.value_or(_declarations.Plan([], []))]
            return plan.map(lambda found: found.changes)

        version = self._commit(decide)
        return version.map(
            lambda v: _requests.build_plan_response(plans[0], v, False)
        )

    def _commit(
        self, decide: Callable[[Any], _transitions.Changes]
    ) -> result.Result[int, _errors.Failure]:
        """Commit the decided changes; no changes is a success, too.

        The decision is made inside the transaction, because the replica may
        lag: a decision to change nothing is valid only after the journal
        has brought the replica up to date.
        """
        return self._journal.transact(decide)

    def _delete(
        self, request: _requests.Request, kind: Kind, name: str
    ) -> _requests.Outcome:
        expected_version = _requests.parse_if_match(
            request.headers.get('if-match', '*')
        )
        if not isinstance(expected_version, result.Success):
            return result.Failure(expected_version.failure())
        version = expected_version.unwrap()

        def decide(fleet: Any) -> _transitions.Changes:
            plan = _declarations.plan_delete(
                fleet, kind, name, version, request.identity
            )
            return plan.map(lambda found: found.changes)

        return self._commit(decide).map(
            lambda v: _requests.Response({'version': v})
        )

    def _apply(self, request: _requests.Request) -> _requests.Outcome:
        dry_run = request.query.get('dry_run', 'false')
        if dry_run not in ('true', 'false'):
            return _requests.fail(
                ErrorKind.INVALID_REQUEST, 'dry_run must be true or false'
            )
        parsed = _requests.parse_apply(request.body, dry_run == 'true')
        if not isinstance(parsed, result.Success):
            return result.Failure(parsed.failure())
        declarations = parsed.unwrap()
        if dry_run == 'false':
            return self._write(request.identity, declarations)
        plan = _declarations.plan_write(
            self._fleet, declarations, request.identity, self._clock.now()
        )
        version = self._fleet.version
        return plan.map(
            lambda found: _requests.build_plan_response(found, version, True)
        )

    def _watch(self, request: _requests.Request) -> _requests.Outcome:
        after = request.query.get('after', str(self._fleet.version))
        if not after.isdecimal():
            return _requests.fail(
                ErrorKind.INVALID_REQUEST, 'after must be a version'
            )
        watch = _watches.Watch(
            self._fleet, self._notifier, request.identity, int(after)
        )
        return result.Success(_requests.Response(self._follow(watch)))

    def _follow(self, watch: _watches.Watch) -> Iterator[bytes]:
        self._watches.add(watch)
        try:
            yield from watch.stream()
        finally:
            self._watches.discard(watch)

    def _explain(
        self, request: _requests.Request, kind: str, name: str
    ) -> _requests.Outcome:
        known = _schemas.parse_kind(kind)
        if known is None:
            return _requests.fail(ErrorKind.NOT_FOUND, f'no kind {kind!r}')
        found = self._find(request, known, name)
        if not isinstance(found, result.Success):
            return result.Failure(found.failure())
        records = [
            {**record._asdict(), 'at': record.at.isoformat()}
            for record in self._explanations.find(kind, name)
        ]
        return result.Success(_requests.Response({'records': records}))

    def _operate(
        self, request: _requests.Request, name: str, operation: str
    ) -> _requests.Outcome:
        if not request.identity.is_operator:
            failure = _tokens.refuse_access(
                request.identity, f'{operation} of instances'
            )
            return result.Failure(failure)
        decide = _plan_operation(request, name, operation, self._clock)
        if not isinstance(decide, result.Success):
            return result.Failure(decide.failure())
        return self._commit(decide.unwrap()).map(
            lambda _: _requests.Response(
                dict(self._fleet.find(Kind.INSTANCE, name) or {})
            )
        )


def _plan_operation(
    request: _requests.Request, name: str, operation: str, clock: _clock.Clock
) -> result.Result[Callable[[Any], _transitions.Changes], _errors.Failure]:
    body = request.body if isinstance(request.body, dict) else {}
    identifier = str(body.get('operation_id') or uuid.uuid4())
    reason = str(body.get('reason') or f'{operation} by an operator')[:200]
    by = f'{reason} ({request.identity.name})'
    now = clock.now()
    match operation:
        case 'drain':
            then = body.get('then', _transitions.REBOOT)
            if then not in (_transitions.REBOOT, _transitions.CORDON):
                return _requests.fail(
                    ErrorKind.INVALID_REQUEST,
                    'then: must be reboot or cordon',
                )
            return result.Success(
                lambda fleet: _transitions.begin_stop(
                    fleet, name, identifier, by, now, then
                )
            )
        case 'move':
            pool = body.get('pool')
            if not isinstance(pool, str):
                return _requests.fail(
                    ErrorKind.INVALID_REQUEST, 'pool: must name a pool'
                )
            return result.Success(
                lambda fleet: _transitions.begin_move(
                    fleet, name, pool, by, now
                )
            )
        case 'return':
            return result.Success(
                lambda fleet: _transitions.return_to_service(
                    fleet, name, by, now
                )
            )
    return _requests.fail(ErrorKind.NOT_FOUND, f'no operation {operation!r}')
