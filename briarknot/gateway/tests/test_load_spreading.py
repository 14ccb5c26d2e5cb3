"""Tests that the setting of load spreading reaches the choices."""

from unittest import mock

import attrs
import pytest

from briarknot import schema, serving
from briarknot.gateway import _context
from briarknot.gateway.tests import _support

_Spreading = schema.settings.LoadSpreading
_POLICIES = {
    _Spreading.NEAR_CHEAPEST: ('predicted', 'least_tokens'),
    _Spreading.WATER_FILLING: ('predicted_filled', 'least_tokens_filled'),
}


@pytest.mark.parametrize('spreading', list(_Spreading))
async def test_generations_use_the_policies_of_the_setting(spreading):
    """A changed setting must apply to the next request, without a restart."""
    prefill = _support.ScriptedWorker([_support.HANDLE], 'prefill')
    decode = _support.ScriptedWorker([_support.make_stream('x')], 'decode')
    route = _support.make_route(schema.serving.RequestKind.GENERATION)
    names = []
    async with _support.open_gateway(route, prefill, decode) as gateway:
        context = gateway.context
        context.set_peer_hosts({'h': _context.PeerHost(('127.0.0.1', 1), 'a')})
        context.settings = attrs.evolve(
            context.settings, load_spreading=spreading
        )
        with mock.patch.multiple(
            serving,
            PLACEMENT_POLICIES=_Recorder(serving.PLACEMENT_POLICIES, names),
            DECODE_POLICIES=_Recorder(serving.DECODE_POLICIES, names),
        ):
            status, _, _ = await gateway.send(
                headers={'Model': 'm', 'Token-Counts': '9000,5'}
            )
    assert status == 200
    # A placement may be chosen again before it is used.
    assert tuple(dict.fromkeys(names)) == _POLICIES[spreading]


@attrs.frozen
class _Recorder:
    """Registry that records the names of the policies in use."""

    policies: object
    names: list[str]

    def get(self, name):
        """Returns the policy with a name."""
        self.names.append(name)
        return self.policies.get(name)
