"""Program ``python -m briarknot_standins.worker``."""

import cappa

from briarknot_standins import serving
from briarknot_standins.worker import WorkerConfig, make_app


def main() -> None:
    """Runs one worker until SIGTERM."""
    config = cappa.parse(WorkerConfig)
    serving.run(make_app(config), config.port)


if __name__ == '__main__':
    main()
