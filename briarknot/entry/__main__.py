"""Program ``briarknot-entry``."""

from briarknot import commandline, schema
from briarknot.entry import _serve


def main() -> None:
    """Serves callers' requests until SIGTERM."""
    commandline.run_program(
        'briarknot-entry', schema.settings.EntrySettings, _serve.serve
    )


if __name__ == '__main__':
    main()
