"""What the request path and the peers ask of a router."""

from collections.abc import Callable
import json
from typing import Any

from returns import result

from skylarktally import _claims
from skylarktally import _dumps
from skylarktally import _errors
from skylarktally._gen.peer import ttypes
from skylarktally import _gossip
from skylarktally import _membership
from skylarktally import _peers
from skylarktally import _snapshots
from skylarktally import _tokens


class PeerHandler:
    """Answers the calls of peers and controllers."""

    def __init__(
        self,
        gossip: _gossip.Gossip,
        snapshots: _snapshots.Snapshots,
        claims: _claims.Claims,
        observe: Callable[[], dict[str, Any]],
    ) -> None:
        self._gossip = gossip
        self._snapshots = snapshots
        self._claims = claims
        self._observe = observe

    def sync(self, request: ttypes.SyncRequest) -> ttypes.SyncReply:
        """Exchange counters and versions."""
        return self._gossip.handle_sync(request)

    def push_log(self, entries: list[ttypes.LogEntry]) -> int:
        """Apply log entries and return the version afterwards."""
        return self._gossip.handle_push(entries)

    def fetch_snapshot(self) -> ttypes.Snapshot:
        """Return the whole resource state, of version -1 if there is none."""
        if not self._gossip.loaded:
            return ttypes.Snapshot(log_version=-1, body='[]')
        return self._snapshots.build()

    def find_answer(self, request_key: str) -> ttypes.Answer:
        """Return the recorded answer of a request key."""
        answer = self._claims.find(request_key)
        return ttypes.Answer(
            state=answer.state.value,
            status=answer.status,
            headers=[ttypes.Header(*pair) for pair in answer.headers],
            body=answer.body,
        )

    def get_observations(self) -> str:
        """Return the observations, a JSON object."""
        return json.dumps(self._observe(), default=_dumps.encode_value)


class OtherRouters:
    """The other routers, as the request path asks for them."""

    def __init__(
        self,
        membership: _membership.Membership,
        calls: _peers.ThriftPeerClient,
    ) -> None:
        self._membership = membership
        self.find_answer = calls.find_answer

    def list_routers(
        self, zone: str | None = None
    ) -> list[_membership.Member]:
        """List the other routers that are alive, of one zone or of all."""
        return self._membership.list_alive(zone)


def check_caller(
    identity: _tokens.Identity, team: str | None
) -> result.Result[_tokens.Identity, _errors.Failure]:
    """Let callers and operators send requests to pools of their team.

    :param team: team of the pool; None when the pool is not known, which a
        later step reports
    """
    if identity.role not in (_tokens.CALLER, _tokens.OPERATOR):
        return result.Failure(_tokens.refuse_access(identity, 'requests'))
    every = identity.is_operator or identity.team == _tokens.ALL_TEAMS
    if team is None or every or identity.team == team:
        return result.Success(identity)
    return result.Failure(
        _tokens.refuse_access(identity, f'the pools of team {team!r}')
    )
