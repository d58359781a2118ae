"""Where the operator, the workers and waves stand in the table service."""

from skylarktally.platform import _decoding
from skylarktally.scheduling import _rows
from skylarktally.scheduling import _work

_CONFIGURATION = 'config'
_WAVE_PREFIX = 'wave/'


class PlatformLayout:
    """Tables and keys of the platform, and how their rows are decoded."""

    operator_table = 'op'
    workers_table = 'servers'

    def is_configuration(self, key: str) -> bool:
        """Tell whether the key is that of the configuration."""
        return key == _CONFIGURATION

    def is_wave(self, key: str) -> bool:
        """Tell whether the key is that of a wave."""
        return key.startswith(_WAVE_PREFIX)

    def decode_configuration(self, value: bytes) -> _work.Configuration:
        """Decode the configuration."""
        return _decoding.decode_configuration(value)

    def decode_worker(self, id_: str, value: bytes) -> _work.WorkerRecord:
        """Decode the entry of a worker."""
        return _decoding.decode_worker(id_, value)

    def decode_wave(self, value: bytes) -> _work.Wave:
        """Decode a wave."""
        return _decoding.decode_wave(value)

    def make_wave_status_key(self, wave: int) -> _rows.RowKey:
        """Return where the operator reads the state of a wave."""
        return _rows.RowKey('status', '', f'{_WAVE_PREFIX}{wave}')

    def encode_wave_status(self, wave: int, is_completed: bool) -> bytes:
        """Encode the state of a wave."""
        return _decoding.encode_wave_status(wave, is_completed)
