"""Guards against requests in a rank that the document does not allow."""

from briarknot import outcomes, schema
from briarknot.entry import _identity

_FLEET = schema.fleet.Fleet(
    ranks=(
        schema.fleet.Rank(name='urgent'),
        schema.fleet.Rank(name='waiting'),
    ),
    accounts=(
        schema.fleet.Account(name='shop', ranks=('waiting',)),
        schema.fleet.Account(name='site'),
    ),
)


def test_rank_outside_the_account_is_refused():
    """A caller could give its requests priority over those of others."""
    directory = _identity.make_directory(_FLEET)
    refused = directory.identify_forwarded('shop', 'urgent')
    assert refused.cause is outcomes.Cause.RANK_NOT_ALLOWED


def test_default_is_the_least_urgent_rank():
    """A request without a rank must not compete with urgent ones."""
    directory = _identity.make_directory(_FLEET)
    assert directory.identify_forwarded('site', '').rank.name == 'waiting'


def test_rank_of_a_service_replaces_that_of_the_caller():
    """Calls of a service would be measured against another rank's target."""
    directory = _identity.make_directory(_FLEET)
    changed = directory.change_rank(
        directory.identify_forwarded('site', ''), 'urgent'
    )
    assert (changed.rank.name, changed.priority) == ('urgent', 0)
