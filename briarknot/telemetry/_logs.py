"""Log lines for changes of state."""

import typing

import prometheus_client
from absl import flags, logging

_CHANGES = prometheus_client.Counter(
    'briarknot_state_changes',
    'Changes of state that were logged.',
    ('subject',),
)


def set_up_logs(program: str, host: str) -> None:
    """Sends log lines to standard error.

    :param program: name of the program.
    :param host: name of the host.
    """
    # Settings replace absl's flags; unparsed flags cause a warning per line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold('info')
    log_change(program, 'starting', host=host)


def log_change(subject: str, state: str, **details: typing.Any) -> None:
    """Counts and logs a change of state.

    :param subject: what changed, from a small set, as it is a metric label.
    :param state: the state that it is in now.
    :param details: figures and names that explain the change.
    """
    _CHANGES.labels(subject).inc()
    parts = ' '.join(f'{key}={detail}' for key, detail in details.items())
    logging.info('%s: %s %s', subject, state, parts)
