"""Program ``python -m briarknot_standins.service``."""

import cappa

from briarknot_standins import serving
from briarknot_standins.service import ServiceConfig, make_app


def main() -> None:
    """Runs one worker until SIGTERM."""
    config = cappa.parse(ServiceConfig)
    serving.run(make_app(config), config.port)


if __name__ == '__main__':
    main()
