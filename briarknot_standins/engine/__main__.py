"""Program ``python -m briarknot_standins.engine``."""

import cappa

from briarknot_standins import serving
from briarknot_standins.engine import EngineConfig, make_app


def main() -> None:
    """Runs one engine until SIGTERM."""
    config = cappa.parse(EngineConfig)
    serving.run(make_app(config), config.port)


if __name__ == '__main__':
    main()
