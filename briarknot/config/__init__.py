"""The fleet document: committing, reading, and following it."""

from briarknot.config._commit import (
    Accepted,
    CommitUnavailable,
    Invalid,
    Race,
    commit_document,
)
from briarknot.config._follower import Follower, InForce, make_follower
from briarknot.config._published import (
    Published,
    Unreadable,
    read_published,
    read_row,
)

__all__ = (
    'Accepted',
    'CommitUnavailable',
    'Follower',
    'InForce',
    'Invalid',
    'Published',
    'Race',
    'Unreadable',
    'commit_document',
    'make_follower',
    'read_published',
    'read_row',
)
