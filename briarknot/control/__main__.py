"""Program ``briarknot-control``."""

from briarknot import commandline, schema
from briarknot.control import _serve


def main() -> None:
    """Acquires the lease and controls engines until SIGTERM."""
    commandline.run_program(
        'briarknot-control', schema.settings.ControlSettings, _serve.serve
    )


if __name__ == '__main__':
    main()
