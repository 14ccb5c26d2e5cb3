"""Program ``python -m briarknot_standins.proxy``."""

import cappa

from briarknot_standins import serving
from briarknot_standins.proxy import ProxyConfig, make_app


def main() -> None:
    """Runs the proxy until SIGTERM."""
    config = cappa.parse(ProxyConfig)
    serving.run(make_app(config), config.port)


if __name__ == '__main__':
    main()
