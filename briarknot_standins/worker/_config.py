"""Configuration of the worker stand-in."""

import attrs
import cappa


@cappa.command(name='briarknot_standins.worker', default_long=True)
@attrs.frozen(kw_only=True)
class WorkerConfig:
    """Configuration of a worker.

    :param port: port on the loopback interface.
    :param id: id of the worker; the process id is appended, because each
        start is a new instance, mostly with a new id.
    :param keep_id: whether the id is used without the process id, as by a
        worker that starts again under its id.
    :param software_version: version of its software; streams contain it.
    :param address: address to register, which may be a proxy's; by default
        the loopback interface and the port.
    :param store: base URL of the store.
    :param service: name of its service.
    :param stage: ``prefill`` or ``decode`` for an engine; ``none`` for a plain
        service.
    :param slots: maximum number of concurrent requests; others are rejected.
    :param work_s: duration of a request or of an event.
    :param failure_share: share of plain requests that are answered with status
        500.
    :param seed: seed of the random failures.
    """

    port: int = 0
    id: str = 'w'
    keep_id: bool = False
    software_version: str = 'v1'
    address: str | None = None
    store: str | None = None
    service: str = 's'
    stage: str = 'none'
    slots: int = 16
    work_s: float = 0.02
    failure_share: float = 0
    seed: int = 0
