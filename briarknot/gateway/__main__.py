"""Program ``briarknot-gateway``."""

from briarknot.gateway import _program


def main() -> None:
    """Serves clients until SIGTERM."""
    _program.run()


if __name__ == '__main__':
    main()
