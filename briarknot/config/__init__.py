"""The document in force."""

from briarknot.config._follower import Follower, InForce, make_follower

__all__ = ('Follower', 'InForce', 'make_follower')
