"""Parses requests to the resource API and builds its responses."""

from collections.abc import Iterator
import json
import logging
from typing import Any, NamedTuple
import urllib.parse

from returns import result

from skylarktally import _declarations
from skylarktally import _errors
from skylarktally import _resources
from skylarktally import _schemas
from skylarktally import _tokens

log = logging.getLogger(__name__)

ErrorKind = _errors.ErrorKind

# Bytes of a request body.
_BODY_LIMIT = 2**20


class Response(NamedTuple):
    """Response to one request.

    The body is sent as JSON, or as it is if it is an iterator.
    """

    body: dict[str, Any] | Iterator[bytes]
    status: int = 200


Outcome = result.Result[Response, _errors.Failure]


class Request(NamedTuple):
    """One authenticated request with its parsed JSON body."""

    method: str
    path_segments: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: Any
    identity: _tokens.Identity


def fail(kind: ErrorKind, message: str) -> result.Result[Any, Any]:
    """Return a failure with a message for the client."""
    return result.Failure(_errors.Failure(kind, message))


def parse_if_match(text: str) -> result.Result[int | None, _errors.Failure]:
    """Return the version in an If-Match header, None for ``*``."""
    text = text.strip().strip('"')
    if text == '*':
        return result.Success(None)
    if not text.isdecimal():
        return fail(
            ErrorKind.INVALID_REQUEST,
            'If-Match must be a resource_version or *',
        )
    return result.Success(int(text))


def log_rejection(environ: dict[str, Any], failure: _errors.Failure) -> None:
    log.warning(
        'refused %s %s from %s: %s',
        environ['REQUEST_METHOD'],
        environ.get('PATH_INFO', ''),
        environ.get('REMOTE_ADDR', 'unknown'),
        failure.message,
    )


def build_error_response(
    failure: _errors.Failure, headers: list[tuple[str, str]]
) -> Response:
    response = failure.find_response()
    delay_seconds = (
        response.retry_after and response.retry_after.total_seconds()
    )
    if delay_seconds:
        headers.append(('Retry-After', str(max(round(delay_seconds), 1))))
    error = {
        'kind': failure.kind.value,
        'outcome': response.outcome.value,
        'message': failure.message,
        'retry_after_seconds': delay_seconds,
    }
    return Response({'error': error}, response.status)


def _read_body(
    environ: dict[str, Any],
) -> result.Result[Any, _errors.Failure]:
    length = environ.get('CONTENT_LENGTH') or '0'
    if not length.isdecimal():
        return fail(ErrorKind.INVALID_REQUEST, 'malformed Content-Length')
    if int(length) > _BODY_LIMIT:
        return fail(
            ErrorKind.BODY_TOO_LARGE,
            f'the body is larger than {_BODY_LIMIT} bytes',
        )
    if int(length) == 0:
        return result.Success(None)
    try:
        return result.Success(
            json.loads(environ['wsgi.input'].read(int(length)))
        )
    except (ValueError, RecursionError) as error:
        return fail(ErrorKind.INVALID_REQUEST, f'malformed JSON: {error}')


def parse_request(
    environ: dict[str, Any], identity: _tokens.Identity
) -> result.Result[Request, _errors.Failure]:
    path = environ.get('PATH_INFO', '').strip('/')
    query = urllib.parse.parse_qsl(environ.get('QUERY_STRING', ''))
    headers = {
        name[5:].lower().replace('_', '-'): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    return _read_body(environ).map(
        lambda body: Request(
            environ['REQUEST_METHOD'],
            tuple(path.split('/')),
            dict(query),
            headers,
            body,
            identity,
        )
    )


def parse_apply(
    body: Any, dry_run: bool
) -> result.Result[list[_declarations.Declaration], _errors.Failure]:
    documents = body.get('resources') if isinstance(body, dict) else None
    if not isinstance(documents, list) or not documents:
        return fail(
            ErrorKind.INVALID_REQUEST,
            'the body must be {"resources": [...]} with one resource or more',
        )
    # The limit is that of a transaction, and a dry run commits none.
    if not dry_run and len(documents) > _resources.CHANGES_LIMIT:
        return fail(
            ErrorKind.INVALID_REQUEST,
            f'{len(documents)} resources; one transaction holds at most '
            f'{_resources.CHANGES_LIMIT}',
        )
    declarations, problems = [], []
    for index, document in enumerate(documents):
        path = f'resources[{index}].'
        problems_found = _schemas.find_problems(document, path)
        problems += problems_found
        if not problems_found:
            resource = _schemas.parse_resource(document, path).unwrap()
            version = resource['resource_version'] or None
            declarations.append(
                _declarations.Declaration(
                    resource, path, version, keep_pool=True
                )
            )
    if problems:
        return result.Failure(_schemas.describe_problems(problems))
    return result.Success(declarations)


def build_plan_response(
    plan: _declarations.Plan, version: int, dry_run: bool
) -> Response:
    return Response(
        {
            'version': version,
            'dry_run': dry_run,
            'changes': [item._asdict() for item in plan.differences],
        }
    )
