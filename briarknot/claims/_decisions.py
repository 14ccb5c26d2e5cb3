"""Decisions on claim rows, as pure functions."""

import attrs

from briarknot import platform, schema
from briarknot.claims import _values

_Phase = schema.records.ClaimPhase

#: Phases that may precede each phase of a claim. A call that was marked unknown
#: can still become done, as only the holder of its claim learns the result.
_PREDECESSORS = {
    _Phase.DONE: frozenset((_Phase.CLAIMED, _Phase.UNKNOWN)),
    _Phase.UNKNOWN: frozenset((_Phase.CLAIMED,)),
    _Phase.RELEASED: frozenset((_Phase.CLAIMED,)),
}


@attrs.frozen
class Writable:
    """The row may be written.

    :param expected_version: version of the row to replace; None inserts.
    """

    expected_version: int | None


@attrs.frozen
class UpToDate:
    """The row already is in the wanted phase."""


@attrs.frozen
class Stale:
    """The read returned a row from before this claim was written.

    Only the holder of a claim ends it, so another claim can't have followed.
    """


@attrs.frozen
class NotWritable:
    """The row belongs to another claim, or its phase can't change.

    :param row: the stored row.
    """

    row: schema.records.ClaimRow


ClaimStatus = Writable | _values.Acquired | _values.Stored | _values.InProgress
ClaimStatus |= _values.Reused | _values.UnknownRun


def evaluate_claim(
    found: platform.Row | platform.Missing,
    wanted: schema.records.ClaimRow,
    unknown_after_s: float,
) -> ClaimStatus:
    """Decides whether a request may acquire a claim, and why not.

    Only a row that is missing or released is free. A claimed row is never
    taken over, however old it is: its holder may have sent the call.

    :param found: the row in the table.
    :param wanted: row that the request wants to write.
    :param unknown_after_s: age in seconds from which a claim without a
        result is reported as unknown.
    """
    if isinstance(found, platform.Missing):
        return Writable(None)
    row = schema.from_plain(schema.records.ClaimRow, found.value)
    if row.phase is _Phase.RELEASED:
        return Writable(found.version)
    if row.attempt_id == wanted.attempt_id:
        return _values.Acquired(found.key, wanted)
    return _evaluate_other_claim(row, wanted, unknown_after_s)


def _evaluate_other_claim(
    row: schema.records.ClaimRow,
    wanted: schema.records.ClaimRow,
    unknown_after_s: float,
) -> ClaimStatus:
    """Decides what to answer where another request has the claim."""
    if row.body_hash != wanted.body_hash:
        return _values.Reused(row.request_id)
    if row.phase is _Phase.DONE:
        return _values.Stored(row)
    # The clocks of hosts may differ, but neither answer allows a second run.
    is_old = wanted.time_s - row.time_s > unknown_after_s
    if row.phase is _Phase.UNKNOWN or is_old:
        return _values.UnknownRun(row.request_id)
    return _values.InProgress(row.request_id)


def evaluate_result(
    found: platform.Row | platform.Missing, target: schema.records.ClaimRow
) -> Writable | UpToDate | Stale | NotWritable:
    """Decides whether the result of a claim may be written to its row.

    A release also replaces a row that is missing or was released by another
    request. A delayed write of the claim then fails its version check, so that
    it can't take effect after the caller got the outcome "not run".

    :param found: the row in the table.
    :param target: the claim's row with its new phase.
    :returns: where to write the target, or why not to.
    """
    if isinstance(found, platform.Missing):
        return Writable(None)
    row = schema.from_plain(schema.records.ClaimRow, found.value)
    if row.attempt_id == target.attempt_id:
        if row.phase is target.phase:
            return UpToDate()
        if row.phase in _PREDECESSORS[target.phase]:
            return Writable(found.version)
    elif target.phase is not _Phase.RELEASED:
        return Stale()
    elif row.phase is _Phase.RELEASED:
        return Writable(found.version)
    return NotWritable(row)
