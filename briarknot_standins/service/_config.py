"""Configuration and faults of the service stand-in."""

import attrs
import cappa


@cappa.command(name='briarknot_standins.service', default_long=True)
@attrs.frozen(kw_only=True)
class ServiceConfig:
    """Configuration of one worker of a plain service.

    :param port: port on the loopback interface.
    :param name: name in answers and in ``GET /runs``.
    :param run_s: duration of one call.
    :param max_running: maximum number of concurrent calls; further ones are
        queued.
    """

    port: int = 0
    name: str = 'service'
    run_s: float = 0.005
    max_running: int = 64


@attrs.frozen(kw_only=True)
class Faults:
    """Faults in force, as ``POST /faults`` sets them.

    :param delay_s: delay before a call runs.
    :param crash_before_run: whether the next call ends the process before it
        runs.
    :param crash_after_run: whether the next call ends the process after it
        ran and before it is answered.
    :param crash_marker: crashes apply only to bodies that contain it.
    :param silence_open: silences the connections that are open now
        permanently; takes effect once for each request to ``POST /faults``.
    :param silent_after_run: whether calls run and are never answered.
    :param error_status: status that calls are answered with; 0 for none.
    :param error_after_run: whether calls run before they are answered with
        ``error_status``.
    :param problem_outcome: value of the member ``outcome`` of answers, which
        then have the type ``application/problem+json``, as from a service
        with its own problem format; empty for plain JSON.
    """

    delay_s: float = 0
    crash_before_run: bool = False
    crash_after_run: bool = False
    crash_marker: str = ''
    silence_open: bool = False
    silent_after_run: bool = False
    error_status: int = 0
    error_after_run: bool = False
    problem_outcome: str = ''
