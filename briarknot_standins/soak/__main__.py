"""Program ``python -m briarknot_standins.soak``."""

import asyncio
import sys

import cappa

from briarknot_standins.soak import SoakConfig, run_soak


def main() -> None:
    """Runs one seed; exit code 1 where a guarantee was violated."""
    config = cappa.parse(SoakConfig)
    report = asyncio.run(run_soak(config))
    print(report.describe())
    if report.findings:
        sys.exit(1)


if __name__ == '__main__':
    main()
