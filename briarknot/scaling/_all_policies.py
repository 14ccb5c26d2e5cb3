"""The registry of scaling policies with all that are part of the system."""

from briarknot.scaling import _spot_first  # noqa: F401 - fills the registry
from briarknot.scaling._policies import SCALING_POLICIES, ScalingPolicy

__all__ = ('SCALING_POLICIES', 'ScalingPolicy')
