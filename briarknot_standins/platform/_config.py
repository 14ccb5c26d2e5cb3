"""Configuration and faults of the platform stand-in."""

import attrs
import cappa


@cappa.command(name='briarknot_standins.platform', default_long=True)
@attrs.frozen(kw_only=True)
class PlatformConfig:
    """Configuration of the platform.

    :param port: port on the loopback interface.
    :param reads_per_s: reads above this rate are answered with 429; 0 means
        no limit.
    :param writes_per_s: writes above this rate are answered with 429; 0 means
        no limit. A transaction counts as one write.
    :param host_lag_s: age of the host list.
    :param weights_bytes: size of each weights file.
    :param weights_bytes_per_s: rate that all downloads of weights share.
    """

    port: int = 0
    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0
    host_lag_s: float = 1.0
    weights_bytes: int = 1024 * 1024
    weights_bytes_per_s: float = 4 * 1024 * 1024


@attrs.frozen(kw_only=True)
class Faults:
    """Faults in force, as ``POST /faults`` sets them.

    :param down: whether connections are closed without a response and requests
        have no effect.
    :param busy: whether requests are answered with 503 and have no effect.
    :param slow_s: delay in seconds before a request is handled.
    :param lose_answers: number of the next writes that take effect and whose
        connection is then closed without a response.
    :param stale_reads: age in seconds of the rows that reads of tables
        return.
    :param host_lag_s: age of the host list.
    """

    down: bool = False
    busy: bool = False
    slow_s: float = 0
    lose_answers: int = 0
    stale_reads: float = 0
    host_lag_s: float = 1.0
