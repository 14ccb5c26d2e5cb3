"""Program ``briarknotctl``."""

import sys

from briarknot.ctl import _program


def main() -> None:
    """Runs one command and exits with its code."""
    sys.exit(_program.run(sys.argv[1:]))


if __name__ == '__main__':
    main()
