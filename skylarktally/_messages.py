"""Thrift messages of the peer protocol, built and read."""

from collections.abc import Iterable
import json
import logging

from skylarktally._gen.peer import ttypes
from skylarktally import _membership
from skylarktally import _resources

log = logging.getLogger(__name__)

# Sizes of a member in the compact protocol beyond its strings: field
# headers, lengths and variable-length integers at their longest.
_FULL_BYTES = 32
_BRIEF_BYTES = 22
# Bytes of log entries in one message; a single larger one still goes.
_ENTRIES_BYTES = 1 << 20


def encode_member(member: _membership.Member) -> ttypes.Member:
    """Build the message of a member with all its fields."""
    return ttypes.Member(**member._asdict())


def encode_counter(member: _membership.Member) -> ttypes.Member:
    """Build the message of a member whose static fields are known."""
    return ttypes.Member(
        name=member.name,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        leaving=member.leaving or None,
    )


def decode_member(
    message: ttypes.Member | None,
) -> _membership.Member | None:
    """Return the member, or None when the message is unusable."""
    if not message or not message.name or not message.incarnation:
        return None
    return _membership.Member(
        name=message.name,
        zone=message.zone or '',
        incarnation=message.incarnation,
        peer_address=message.peer_address or '',
        serving_address=message.serving_address or '',
        heartbeat=message.heartbeat or 0,
        leaving=bool(message.leaving),
    )


def estimate_encoded_size(member: _membership.Member, full: bool) -> int:
    """Return an upper bound of the encoded size of a member."""
    name = len(member.name.encode())
    if not full:
        return name + _BRIEF_BYTES
    texts = (member.zone, member.peer_address, member.serving_address)
    return name + sum(len(text.encode()) for text in texts) + _FULL_BYTES


def encode_members(
    members: Iterable[tuple[_membership.Member, bool]], limit: int
) -> list[ttypes.Member]:
    """Build the messages of members in order, up to a number of bytes.

    :param members: pairs of a member and whether all its fields are sent
    """
    fitting = []
    for member, full in members:
        limit -= estimate_encoded_size(member, full)
        if limit < 0:
            break
        fitting.append(
            encode_member(member) if full else encode_counter(member)
        )
    return fitting


def encode_entries(
    records: Iterable[_resources.LogRecord], limit: int = _ENTRIES_BYTES
) -> list[ttypes.LogEntry]:
    """Build the messages of log records in order, up to some bytes."""
    entries: list[ttypes.LogEntry] = []
    for record in records:
        body = json.dumps(record, separators=(',', ':'))
        limit -= len(body)
        if entries and limit < 0:
            break
        entries.append(ttypes.LogEntry(version=record['version'], body=body))
    return entries


def decode_entries(
    entries: Iterable[ttypes.LogEntry] | None,
) -> list[_resources.LogRecord]:
    """Return the log records up to the first that cannot be read."""
    records = []
    for entry in entries or ():
        try:
            record = json.loads(entry.body)
            valid = (
                record['version'] == entry.version
                and isinstance(record['version'], int)
                and isinstance(record['changes'], list)
            )
            for change in record['changes']:
                _resources.check_change(change)
        except (ValueError, TypeError, KeyError):
            valid = False
        if not valid:
            log.error('peer sent a malformed log entry')
            break
        records.append(record)
    return records
