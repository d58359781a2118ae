"""Encoding and decoding of Thrift messages of the peer protocol."""

from collections.abc import Iterable
import json
import logging

from skylarktally._gen.peer import ttypes
from skylarktally import _membership
from skylarktally import _resources

log = logging.getLogger(__name__)

# Maximum encoded size of a member in the compact protocol without its
# strings: field headers, lengths and variable-length integers.
_FULL_MEMBER_BYTES = 32
_HEARTBEAT_BYTES = 22
# Maximum size of the log entries in one message; a single entry may exceed it.
_MAX_ENTRIES_BYTES = 1 << 20


def encode_member(member: _membership.Member) -> ttypes.Member:
    """Encode a member with all its fields."""
    return ttypes.Member(**member._asdict())


def encode_heartbeat(member: _membership.Member) -> ttypes.Member:
    """Encode a member without its static fields, which the peer knows."""
    return ttypes.Member(
        name=member.name,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        leaving=member.leaving or None,
    )


def decode_member(
    message: ttypes.Member | None,
) -> _membership.Member | None:
    """Return the member, or None if its name or incarnation is missing."""
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
    """Return an upper bound of the encoded size of a member in bytes."""
    name = len(member.name.encode())
    if not full:
        return name + _HEARTBEAT_BYTES
    texts = (member.zone, member.peer_address, member.serving_address)
    return (
        name + sum(len(text.encode()) for text in texts) + _FULL_MEMBER_BYTES
    )


def encode_members(
    members: Iterable[tuple[_membership.Member, bool]], limit: int
) -> list[ttypes.Member]:
    """Encode members in order until a limit of bytes is reached.

    :param members: pairs of a member and whether all its fields are sent
    """
    encoded = []
    for member, full in members:
        limit -= estimate_encoded_size(member, full)
        if limit < 0:
            break
        encoded.append(
            encode_member(member) if full else encode_heartbeat(member)
        )
    return encoded


def encode_entries(
    records: Iterable[_resources.LogRecord], limit: int = _MAX_ENTRIES_BYTES
) -> list[ttypes.LogEntry]:
    """Encode log records in order until a limit of bytes is reached.

    The first one is encoded whatever its size.
    """
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
    """Return the log records before the first entry that is malformed."""
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
