"""Program of an entry instance.

Accepts jobs, schedules pools and runs maintenance waves.

Run as ``python -m skylarktally.entry --settings=FILE``.
"""

from skylarktally import _loop

_loop.patch_standard_library()

from absl import app  # noqa: E402

from skylarktally import _clock  # noqa: E402
from skylarktally import _launch  # noqa: E402
from skylarktally.entries import _process  # noqa: E402
from skylarktally.entries import _settings  # noqa: E402


def serve(arguments: list[str]) -> None:
    """Serve until a signal asks for a graceful shutdown."""
    del arguments
    settings = _launch.load_settings(_settings.EntrySettings)
    _process.EntryProcess(settings, _clock.SystemClock()).run()


def main() -> None:
    """Run the program."""
    app.run(serve)


if __name__ == '__main__':
    main()
