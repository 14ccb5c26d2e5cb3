"""Configuration of the worker stand-in."""

import attrs
import cappa


@cappa.command(name='briarknot_standins.worker', default_long=True)
@attrs.frozen(kw_only=True)
class WorkerConfig:
    """Configuration of a worker.

    :param port: port on the loopback interface.
    :param id: id of the worker; its process number is added, as each start
        is another worker.
    :param address: address that it registers, which may be a proxy's.
    :param store: base URL of the store.
    :param service: name of its service.
    :param stage: ``prefill`` or ``decode`` for an engine; ``none`` for a plain
        service.
    :param slots: requests that it runs at once; others are rejected.
    :param work_s: time that a request or an event takes.
    :param failure_share: share of plain requests that end with status 500.
    :param seed: seed of the failures.
    """

    port: int = 0
    id: str = 'w'
    address: str | None = None
    store: str | None = None
    service: str = 's'
    stage: str = 'none'
    slots: int = 16
    work_s: float = 0.02
    failure_share: float = 0
    seed: int = 0
