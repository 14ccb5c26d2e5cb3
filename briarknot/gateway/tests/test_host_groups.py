"""Guards against orders of processes that are not those of the present list."""

import hypothesis
from hypothesis import strategies as st

from briarknot import serving
from briarknot.gateway import _context
from briarknot.gateway.tests import test_peers as peers_tests

_CONTEXT = peers_tests.make_peer_context('h0')
_DOMAINS = st.dictionaries(
    st.sampled_from([f'h{index}' for index in range(1, 9)]),
    st.sampled_from('abc'),
    max_size=8,
)


@hypothesis.given(st.lists(_DOMAINS, min_size=1, max_size=4))
def test_groups_follow_the_list_of_processes(lists):
    """A stopped process would stay a relay or the reader of the store."""
    for domains in lists:
        _CONTEXT.peer_hosts = {
            host: _context.PeerHost(('127.0.0.1', 9), domain)
            for host, domain in domains.items()
        }
        groups = _CONTEXT.host_groups
        assert groups is _CONTEXT.host_groups
        near = [host for host in domains if domains[host] == 'a']
        assert groups.near == tuple(near)
        ranked = serving.rank_names('k', ('h0', *domains))
        assert groups.rank_all('k') == ranked
        firsts = [serving.rank_names('k', ('h0', *near))[0]]
        for domain in {'b', 'c'} & set(domains.values()):
            hosts = [host for host in domains if domains[host] == domain]
            assert groups.far[domain] == tuple(hosts)
            firsts.append(serving.rank_names('k', hosts)[0])
        ranked = enumerate(serving.rank_names('k', firsts))
        ranks = {host: rank for rank, host in ranked}
        assert groups.get_reader_rank('k') == ranks.get('h0')
