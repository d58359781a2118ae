"""Handlers of peer calls, and the request path's view of other routers."""

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
    """Handles calls of the peer protocol from routers and controllers."""

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
        """Exchange heartbeat counters, log versions and log entries."""
        return self._gossip.handle_sync(request)

    def push_log(self, entries: list[ttypes.LogEntry]) -> int:
        """Apply log entries and return the log version reached."""
        return self._gossip.handle_push(entries)

    def fetch_snapshot(self) -> ttypes.Snapshot:
        """Return the whole resource state; version -1 before one is loaded."""
        if not self._gossip.loaded:
            return ttypes.Snapshot(log_version=-1, body='[]')
        return self._snapshots.build()

    def find_answer(self, request_key: str) -> ttypes.Answer:
        """Return the recorded response to a request key."""
        response = self._claims.find(request_key)
        return ttypes.Answer(
            state=response.state.value,
            status=response.status,
            headers=[ttypes.Header(*pair) for pair in response.headers],
            body=response.body,
        )

    def get_observations(self) -> str:
        """Return observations of pools and workers as a JSON object."""
        return json.dumps(self._observe(), default=_dumps.encode_value)


class OtherRouters:
    """Lists and calls the other routers, for the request path."""

    def __init__(
        self,
        membership: _membership.Membership,
        peer_client: _peers.ThriftPeerClient,
    ) -> None:
        self._membership = membership
        self.find_answer = peer_client.find_answer

    def list_routers(
        self, zone: str | None = None
    ) -> list[_membership.Member]:
        """List the other routers that are alive, of one zone or of all."""
        return self._membership.list_alive(zone)


def check_caller(
    identity: _tokens.Identity, team: str | None
) -> result.Result[_tokens.Identity, _errors.Failure]:
    """Check that a caller or operator may send requests to a pool.

    They may use the pools of their team; operators of all teams and holders
    of a token for all teams may use any pool.

    :param team: team of the pool; None if the pool does not exist, which a
        later step reports
    :returns: the identity if access is granted
    """
    if identity.role not in (_tokens.CALLER, _tokens.OPERATOR):
        return result.Failure(_tokens.refuse_access(identity, 'requests'))
    has_all_pools = identity.is_operator or identity.team == _tokens.ALL_TEAMS
    if team is None or has_all_pools or identity.team == team:
        return result.Success(identity)
    return result.Failure(
        _tokens.refuse_access(identity, f'the pools of team {team!r}')
    )
