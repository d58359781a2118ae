"""Router: accepts requests and relays them to workers.

Run as ``python -m skylarktally.router --settings=FILE``.
"""

from skylarktally import _loop

_loop.patch_standard_library()

from absl import app  # noqa: E402
from absl import flags  # noqa: E402

from skylarktally import _clock  # noqa: E402
from skylarktally import _launch  # noqa: E402
from skylarktally import _router  # noqa: E402
from skylarktally import _settings  # noqa: E402


def serve(arguments: list[str]) -> None:
    """Serve until a graceful shutdown, requested by a signal, is complete."""
    del arguments
    settings = _launch.load_settings(_settings.RouterSettings)
    path = str(flags.FLAGS.settings)
    _router.Router(settings, path, _clock.SystemClock()).run()


def main() -> None:
    """Run the binary."""
    app.run(serve)


if __name__ == '__main__':
    main()
