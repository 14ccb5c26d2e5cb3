"""Program ``python -m briarknot_standins.demo``."""

import asyncio
import sys

from briarknot_standins.demo import _demo


def main() -> None:
    """Runs the demo; exit code 1 where a guarantee was violated."""
    sys.exit(asyncio.run(_demo.run()))


if __name__ == '__main__':
    main()
