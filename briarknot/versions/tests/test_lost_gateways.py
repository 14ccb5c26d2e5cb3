"""Sweeps the loss of a gateway over the start of a new version.

One gateway is suspended, killed or cut off while it forwards streams of a service
with one version, and a newer version starts before or after that. Clients of the
gateway take their streams up at the others.
"""

import pytest

from briarknot.versions.tests import _fleet_simulation as simulation

_LOST = 'g0'
_LOSS_S = 5.0
_END_S = 13.0
#: Starts of the newer version, from the loss of the gateway.
_STARTS_S = [step / 5 for step in range(-20, 23)]
_STREAMS_PER_S = 20
#: The rule counts from this number of streams on.
_LEAST_STREAMS = 12
#: As review/7 has it: a gap in a stream after which its client leaves.
_GIVE_UP_S = 3.2
_SUSPENSION_S = 4.0


def _suspend(fleet, gateway):
    fleet.suspend(gateway.host, _SUSPENSION_S)


def _suspend_for_long(fleet, gateway):
    fleet.suspend(gateway.host, 2 * _SUSPENSION_S)


def _suspend_two(fleet, gateway):
    fleet.suspend(gateway.host, _SUSPENSION_S)
    fleet.suspend('g1', _SUSPENSION_S)


def _kill(fleet, gateway):
    fleet.kill([gateway.host])


def _kill_cut_off(fleet, gateway):
    """Cuts a gateway from the others a second before it is killed."""
    fleet.disturb(gateway, _SUSPENSION_S, ('peers',))
    fleet.after(1, fleet.kill, [gateway.host])


def _suspend_cut_off(fleet, gateway):
    """Cuts a gateway from the others a second before it is suspended."""
    fleet.disturb(gateway, 2 * _SUSPENSION_S, ('peers',))
    fleet.after(1, fleet.suspend, gateway.host, _SUSPENSION_S)


def _lose_keepers(fleet, gateway):
    """Suspends a gateway, and has two others start again with no memory."""
    fleet.suspend(gateway.host, _SUSPENSION_S)
    fleet.after(1, fleet.kill, sorted(fleet.gateways)[1:3])


_LOSSES = {
    'suspended': _suspend,
    'suspended for long': _suspend_for_long,
    'two suspended': _suspend_two,
    'killed': _kill,
    'cut off and killed': _kill_cut_off,
    'cut off and suspended': _suspend_cut_off,
    'suspended, and keepers lost': _lose_keepers,
}


def start_version(fleet, version, *, is_replacing=False):
    """Starts workers of a version, which may replace those before."""
    leaving = tuple(fleet.running) if is_replacing else ()
    for number in range(2):
        simulation.add_worker(fleet, f'n{version}-{number}', version)
    for worker_id in leaving:
        simulation.drain_worker(fleet, worker_id, drain_s=1.0)


def play(size, loss, start_s, further):
    """Plays a loss beside the start of a version.

    :returns: the fleet, and the streams that the gateway forwarded when it was lost.
    """
    fleet = simulation.make_fleet(size, f'{size} {start_s} {further}')
    fleet.give_up_s = _GIVE_UP_S
    gateway = fleet.gateways[_LOST]
    lost = []

    def lose():
        lost.extend(one for one in fleet.streams if one.gateway is gateway)
        loss(fleet, gateway)

    fleet.after(_LOSS_S, lose)
    fleet.after(_LOSS_S + start_s, start_version, fleet, '2')
    if further == 'third version':
        fleet.after(_LOSS_S + start_s + 1, start_version, fleet, '3')
    if further == 'old workers leave':
        fleet.after(
            _LOSS_S + start_s + 2.5,
            lambda: start_version(fleet, '4', is_replacing=True),
        )
    for _ in range(int(_END_S * _STREAMS_PER_S)):
        fleet.open(fleet.source.uniform(2, 9))
        fleet.run(1 / _STREAMS_PER_S)
    return fleet, lost


@pytest.mark.parametrize('further', ['', 'third version', 'old workers leave'])
@pytest.mark.parametrize('name', _LOSSES)
@pytest.mark.parametrize('size', [2, 4, 8])
def test_streams_of_a_lost_gateway_go_on_beside_a_newer_version(
    size, name, further
):
    """All were refused: the newer version counted as one that had begun them.

    The lost gateway had not sent their origins while there was one version. None may
    be joined with events of another version instead.
    """
    joined, refused = [], []
    for start_s in _STARTS_S:
        fleet, lost = play(size, _LOSSES[name], start_s, further)
        joined += [(start_s, *found) for found in fleet.counts.wrong]
        taken_up = [any(one.take_ups) for one in lost if one.take_ups]
        new = fleet.counts.new
        if len(taken_up) >= _LEAST_STREAMS and new:
            share = sum(taken_up) / len(taken_up)
            if share < sum(new) / len(new) / 2:
                refused.append((start_s, share, len(taken_up)))
    assert not joined
    assert not refused
