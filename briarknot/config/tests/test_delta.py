"""Guards against nodes whose document differs from the committed one."""

import hypothesis
from hypothesis import strategies

from briarknot import schema
from briarknot.config import _delta

_NAMES = strategies.sampled_from('abcdef')
_ACCOUNTS = strategies.lists(
    strategies.builds(
        schema.fleet.Account,
        name=_NAMES,
        max_streams=strategies.integers(1, 3),
    ),
    unique_by=lambda account: account.name,
).map(tuple)
_RANKS = strategies.lists(
    strategies.builds(
        schema.fleet.Rank,
        name=_NAMES,
        worth=strategies.sampled_from((1.0, 2.0)),
    ),
    unique_by=lambda rank: rank.name,
).map(tuple)
_FLEETS = strategies.builds(
    schema.fleet.Fleet,
    name=strategies.sampled_from(('x', 'y')),
    accounts=_ACCOUNTS,
    ranks=_RANKS,
)


@hypothesis.given(_FLEETS, _FLEETS)
def test_delta_leads_to_the_committed_document(before, after):
    """A delta must carry additions, removals, changes, and a new order."""
    delta = _delta.make_delta(before, after, 'base')
    sent = schema.from_plain(
        schema.records.DocumentDelta, schema.to_plain(delta)
    )
    assert _delta.apply_delta(before, sent) == after


def test_delta_of_one_account_is_small():
    """A delta with all accounts would be as slow to parse as the text."""
    accounts = tuple(
        schema.fleet.Account(name=f'a{number}') for number in range(500)
    )
    before = schema.fleet.Fleet(accounts=accounts)
    new = schema.fleet.Account(name='new')
    after = schema.fleet.Fleet(accounts=(*accounts, new))
    delta = _delta.make_delta(before, after, 'base')
    assert delta.changed.accounts == (new,)
