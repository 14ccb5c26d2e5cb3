"""At-most-once claims for calls that must not be repeated."""

from briarknot.claims._claims import Claims, ClaimSettings, make_claims
from briarknot.claims._values import (
    Acquired,
    ClaimUnavailable,
    Deferred,
    Finished,
    InProgress,
    Lost,
    Reused,
    Stored,
    UnknownRun,
    decode_answer,
    make_claim_key,
)

__all__ = (
    'Acquired',
    'ClaimSettings',
    'ClaimUnavailable',
    'Claims',
    'Deferred',
    'Finished',
    'InProgress',
    'Lost',
    'Reused',
    'Stored',
    'UnknownRun',
    'make_claim_key',
    'make_claims',
    'decode_answer',
)
