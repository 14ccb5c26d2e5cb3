"""What a claim's row means, as functions over values."""

import attrs

from briarknot import platform, schema
from briarknot.claims import _values

_Phase = schema.records.ClaimPhase

#: Phases of an own claim from which each phase may follow. A call that was
#: marked unknown can still turn out to be done, as only its holder knows.
_BEFORE = {
    _Phase.DONE: frozenset((_Phase.CLAIMED, _Phase.UNKNOWN)),
    _Phase.UNKNOWN: frozenset((_Phase.CLAIMED,)),
    _Phase.RELEASED: frozenset((_Phase.CLAIMED,)),
}


@attrs.frozen
class Take:
    """The claim is free.

    :param expected_version: version of the released row; None inserts.
    """

    expected_version: int | None


@attrs.frozen
class Settled:
    """The row needs no write."""


@attrs.frozen
class Stale:
    """The row is from before the own claim, which only its holder ends."""


@attrs.frozen
class Foreign:
    """The row is not an own claim in a phase that may change.

    :param row: the row as it is.
    """

    row: schema.records.ClaimRow


Reading = Take | _values.Acquired | _values.Stored | _values.InProgress
Reading |= _values.Reused | _values.UnknownRun


def read_claim(
    found: platform.Row | platform.Missing,
    wanted: schema.records.ClaimRow,
    unknown_after_s: float,
) -> Reading:
    """Decides what a row means to a request that wants the claim.

    Only a row that is missing or released is free. A claimed row is never
    taken over, however old it is: its holder may have sent the call.

    :param found: the row in the table.
    :param wanted: row that the request writes.
    :param unknown_after_s: age in seconds from which a claim without a
        result is reported as unknown.
    """
    if isinstance(found, platform.Missing):
        return Take(None)
    row = schema.from_plain(schema.records.ClaimRow, found.value)
    if row.phase is _Phase.RELEASED:
        return Take(found.version)
    if row.attempt_id == wanted.attempt_id:
        return _values.Acquired(found.key, wanted)
    return _read_foreign(row, wanted, unknown_after_s)


def _read_foreign(
    row: schema.records.ClaimRow,
    wanted: schema.records.ClaimRow,
    unknown_after_s: float,
) -> Reading:
    """Decides what another request's claim means."""
    if row.body_hash != wanted.body_hash:
        return _values.Reused(row.request_id)
    if row.phase is _Phase.DONE:
        return _values.Stored(row)
    # Clocks of hosts may differ; neither answer allows a second run.
    is_old = wanted.time_s - row.time_s > unknown_after_s
    if row.phase is _Phase.UNKNOWN or is_old:
        return _values.UnknownRun(row.request_id)
    return _values.InProgress(row.request_id)


def read_settlement(
    found: platform.Row | platform.Missing, target: schema.records.ClaimRow
) -> Take | Settled | Stale | Foreign:
    """Decides how a row changes to the result of an own claim.

    A release also replaces a row that is missing or released by another: the
    version that a lost claim write expects is then gone, so that the write
    can't take effect after the caller was told "not run".

    :param found: the row in the table.
    :param target: the own row with its new phase.
    :returns: where to write the target, or why not to.
    """
    if isinstance(found, platform.Missing):
        return Take(None)
    row = schema.from_plain(schema.records.ClaimRow, found.value)
    if row.attempt_id == target.attempt_id:
        if row.phase is target.phase:
            return Settled()
        if row.phase in _BEFORE[target.phase]:
            return Take(found.version)
    elif target.phase is not _Phase.RELEASED:
        return Stale()
    elif row.phase is _Phase.RELEASED:
        return Take(found.version)
    return Foreign(row)
