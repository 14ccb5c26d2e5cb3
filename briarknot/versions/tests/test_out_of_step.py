"""Sweeps a gateway that is out of step over the start of a new version.

All old workers drain as the new version starts, so that other gateways begin
streams at it as early as they may. One gateway is suspended, cut off or slow for a
while, and gets the take-ups of all these streams.
"""

import pytest

from briarknot.versions.tests import _fleet_simulation as simulation

_OUT_OF_STEP = 'g0'
#: Time of the start in a play, and of its end.
_START_S = 4.0
_END_S = 10.0
#: Moments at which the gateway falls out of step, from the start of the version:
#: before it is listed, and until after it is admitted.
_MOMENTS_S = [step / 10 for step in range(-30, 31)]
_STEP_S = 0.1
_STREAMS_PER_S = 20
#: Factor on the latencies of the store: a read takes up to 2.4 s.
_SLOW_STORE = 40

_DISTURBANCES = {
    'suspended': lambda fleet, gateway, seconds: fleet.suspend(
        gateway.host, seconds
    ),
    'cut from gateways': lambda fleet, gateway, seconds: fleet.disturb(
        gateway, seconds, ('peers',)
    ),
    'cut from the store': lambda fleet, gateway, seconds: fleet.disturb(
        gateway, seconds, ('store',)
    ),
    'cut off': lambda fleet, gateway, seconds: fleet.disturb(
        gateway, seconds, ('peers', 'store')
    ),
    'slow': lambda fleet, gateway, seconds: fleet.disturb(
        gateway, seconds, slowness=20
    ),
}


def start_version(fleet, lived_s):
    """Starts workers of a new version, which leave after a time, if any."""
    for worker_id in tuple(fleet.running):
        simulation.drain_worker(fleet, worker_id, drain_s=_END_S)
    for worker_id in ('n0', 'n1'):
        simulation.add_worker(fleet, worker_id, '2')
        if lived_s:
            crash = simulation.crash_worker
            fleet.after(lived_s, crash, fleet, worker_id, 0)


def take_up_streams(fleet, gateway):
    """Has a gateway take up a stream of the new version, again and again."""
    fleet.after(_STEP_S, take_up_streams, fleet, gateway)
    for stream in reversed(fleet.streams):
        if stream.version == '2' and stream.gateway is not gateway:
            fleet.hand_over(stream, gateway)
            return


def play(disturb, moment_s, seconds, lived_s, slowness):
    """Plays one moment; returns the streams that were joined."""
    seed = f'{moment_s} {seconds} {lived_s}'
    fleet = simulation.make_fleet(5, seed)
    gateway = fleet.gateways[_OUT_OF_STEP]
    fleet.store.slowness = slowness
    fleet.after(_START_S, start_version, fleet, lived_s)
    fleet.after(_START_S + moment_s, disturb, fleet, gateway, seconds)
    fleet.after(_START_S, take_up_streams, fleet, gateway)
    for _ in range(int(_END_S * _STREAMS_PER_S)):
        fleet.open(fleet.source.uniform(0.5, 3))
        fleet.run(1 / _STREAMS_PER_S)
    assert fleet.counts.taken_up or fleet.counts.refusals
    return fleet.counts.wrong


@pytest.mark.parametrize('slowness', [1, _SLOW_STORE])
@pytest.mark.parametrize('lived_s', [0, 1.5, 3])
@pytest.mark.parametrize('name', _DISTURBANCES)
def test_gateway_out_of_step_keeps_the_version(name, lived_s, slowness):
    """It went on at the old version with streams that had begun at a new one.

    Others began them too early: they counted the age of the new version from the
    beginning of a slow read, before it was listed.
    """
    joined = {
        (moment_s, seconds): found
        for moment_s in _MOMENTS_S
        for seconds in (1.5, 5)
        if (
            found := play(
                _DISTURBANCES[name], moment_s, seconds, lived_s, slowness
            )
        )
    }
    assert not joined
