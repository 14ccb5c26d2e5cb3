"""Program ``python -m briarknot_standins.platform``."""

import cappa

from briarknot_standins import serving
from briarknot_standins.platform import PlatformConfig, make_app


def main() -> None:
    """Runs the platform until SIGTERM."""
    config = cappa.parse(PlatformConfig)
    serving.run(make_app(config), config.port)


if __name__ == '__main__':
    main()
