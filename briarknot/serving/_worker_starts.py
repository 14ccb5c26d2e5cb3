"""Names of workers and their starts."""

from briarknot import schema


def name_start(worker: schema.serving.Worker) -> str:
    """Names a worker and its start; a restart may keep the id.

    :param worker: the worker.
    """
    return f'{worker.id} {worker.born_ms}'
