"""The fleet document: committing, reading, and following it."""

from briarknot.config._commit import (
    Accepted,
    CommitUnavailable,
    Invalid,
    Race,
    commit_document,
)
from briarknot.config._follower import Follower, InForce, make_follower
from briarknot.config._storage import (
    Archive,
    CommittedDocument,
    UnreadableDocument,
    make_archive,
    read_fleet,
    read_row,
)

__all__ = (
    'Accepted',
    'Archive',
    'CommitUnavailable',
    'CommittedDocument',
    'Follower',
    'InForce',
    'Invalid',
    'Race',
    'UnreadableDocument',
    'commit_document',
    'make_archive',
    'make_follower',
    'read_fleet',
    'read_row',
)
