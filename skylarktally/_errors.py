"""The closed list of error kinds and the response to each of them."""

import datetime
import enum
from typing import NamedTuple


class MalformedInput(ValueError):
    """A value from other software has the wrong type, range or length."""


class Outcome(enum.Enum):
    """What is known about the execution of a request."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ErrorKind(enum.Enum):
    """Every kind of error that a caller, operator or peer can receive."""

    INVALID_REQUEST = 'invalid_request'
    INVALID_RESOURCE = 'invalid_resource'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    CONFLICT = 'conflict'
    DUPLICATE_REQUEST = 'duplicate_request'
    KEY_EXPIRED = 'key_expired'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    REQUEST_TIMEOUT = 'request_timeout'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    QUOTA_EXHAUSTED = 'quota_exhausted'
    QUEUE_FULL = 'queue_full'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    NO_CAPACITY = 'no_capacity'
    WORKER_REFUSED = 'worker_refused'
    WORKER_UNREACHABLE = 'worker_unreachable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    LEASE_LOST = 'lease_lost'
    SHUTTING_DOWN = 'shutting_down'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    RATE_LIMITED = 'rate_limited'
    PEER_UNREACHABLE = 'peer_unreachable'
    UNSCHEDULABLE = 'unschedulable'
    INTERNAL = 'internal'


class ErrorResponse(NamedTuple):
    """HTTP status, outcome and retry delay of an error kind."""

    status: int
    outcome: Outcome
    retry_after: datetime.timedelta | None


_RETRY_SOON = datetime.timedelta(seconds=1)
_RETRY_LATER = datetime.timedelta(seconds=5)
_NOT_RUN = Outcome.NOT_RUN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID_REQUEST: ErrorResponse(400, _NOT_RUN, None),
    ErrorKind.INVALID_RESOURCE: ErrorResponse(422, _NOT_RUN, None),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, _NOT_RUN, None),
    ErrorKind.FORBIDDEN: ErrorResponse(403, _NOT_RUN, None),
    ErrorKind.NOT_FOUND: ErrorResponse(404, _NOT_RUN, None),
    ErrorKind.CONFLICT: ErrorResponse(409, _NOT_RUN, None),
    # Another request with the same key may have been executed or may still
    # be in progress.
    ErrorKind.DUPLICATE_REQUEST: ErrorResponse(409, Outcome.UNKNOWN, None),
    ErrorKind.KEY_EXPIRED: ErrorResponse(410, Outcome.UNKNOWN, None),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NOT_RUN, None),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, _NOT_RUN, None),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, _NOT_RUN, None),
    ErrorKind.BUDGET_EXHAUSTED: ErrorResponse(409, _NOT_RUN, _RETRY_LATER),
    ErrorKind.QUOTA_EXHAUSTED: ErrorResponse(429, _NOT_RUN, _RETRY_LATER),
    ErrorKind.QUEUE_FULL: ErrorResponse(429, _NOT_RUN, _RETRY_SOON),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, _NOT_RUN, _RETRY_SOON),
    ErrorKind.NO_CAPACITY: ErrorResponse(503, _NOT_RUN, _RETRY_SOON),
    ErrorKind.WORKER_REFUSED: ErrorResponse(503, _NOT_RUN, _RETRY_SOON),
    ErrorKind.WORKER_UNREACHABLE: ErrorResponse(503, _NOT_RUN, _RETRY_SOON),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, Outcome.UNKNOWN, None),
    ErrorKind.LEASE_LOST: ErrorResponse(503, _NOT_RUN, _RETRY_LATER),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, _NOT_RUN, _RETRY_SOON),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(503, _NOT_RUN, _RETRY_LATER),
    ErrorKind.RATE_LIMITED: ErrorResponse(503, _NOT_RUN, _RETRY_SOON),
    ErrorKind.PEER_UNREACHABLE: ErrorResponse(503, _NOT_RUN, _RETRY_SOON),
    ErrorKind.UNSCHEDULABLE: ErrorResponse(422, _NOT_RUN, None),
    ErrorKind.INTERNAL: ErrorResponse(500, Outcome.UNKNOWN, None),
}


class Failure(NamedTuple):
    """Error value of a Result of the returns library."""

    kind: ErrorKind
    message: str
    # Overrides the delay in ERROR_RESPONSES when a more exact one is known.
    retry_after: datetime.timedelta | None = None

    def find_response(self) -> ErrorResponse:
        """Return the status, outcome and retry delay for this failure."""
        response = ERROR_RESPONSES[self.kind]
        if self.retry_after is None:
            return response
        return response._replace(retry_after=self.retry_after)
