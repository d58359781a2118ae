"""Tables and keys of the rows of the operator and of workers."""

import re

from skylarktally.platform import _decoding
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _work

_CONFIGURATION = 'config'
_WAVE_PREFIX = 'wave/'
# Number of the heartbeat, clock of the worker, and how long it is still slow
# after its start; none of them is decoded.
_HEARTBEAT_FIELDS = re.compile(
    rb'"(?:sequence|clock_ms|cold_left_ms)": ?[0-9.]+'
)


class PlatformLayout:
    """Names the platform's tables and keys and decodes their rows."""

    operator_table = 'op'
    workers_table = 'servers'

    def is_configuration(self, key: str) -> bool:
        """Return whether the key is that of the configuration."""
        return key == _CONFIGURATION

    def is_wave(self, key: str) -> bool:
        """Return whether the key is that of a maintenance wave."""
        return key.startswith(_WAVE_PREFIX)

    def decode_configuration(self, value: bytes) -> _work.Configuration:
        """Decode the configuration; ValueError or KeyError if damaged."""
        return _decoding.decode_configuration(value)

    def decode_worker(self, id_: str, value: bytes) -> _work.WorkerRecord:
        """Decode the row of a worker; ValueError or KeyError if damaged."""
        return _decoding.decode_worker(id_, value)

    def strip_heartbeat(self, value: bytes) -> bytes:
        """Return a worker's row without what each heartbeat changes."""
        return _HEARTBEAT_FIELDS.sub(b'', value)

    def decode_wave(self, value: bytes) -> _work.Wave:
        """Decode a maintenance wave; ValueError or KeyError if damaged."""
        return _decoding.decode_wave(value)

    def make_wave_status_key(self, wave: int) -> _rows.RowKey:
        """Return the key of the row that tells the operator a wave's state."""
        return _rows.RowKey('status', '', f'{_WAVE_PREFIX}{wave}')

    def encode_wave_status(self, wave: int, is_completed: bool) -> bytes:
        """Encode the state of a maintenance wave for the operator."""
        return _decoding.encode_wave_status(wave, is_completed)
