"""Admission control: rank queues, floors, account caps, and limits."""

from briarknot.admission import _fifo, _ranked  # noqa: F401 - fill POLICIES
from briarknot.admission._admission import Admission, make_admission
from briarknot.admission._limits import (
    LimitMember,
    LimitOwner,
    make_limit_member,
    make_limit_owner,
)
from briarknot.admission._owners import choose_owner
from briarknot.admission._policies import POLICIES
from briarknot.admission._tickets import (
    CAUSES,
    AdmissionRequest,
    Admitted,
    Refusal,
    Ticket,
)
from briarknot.routing import Capacity

__all__ = (
    'CAUSES',
    'POLICIES',
    'Admission',
    'AdmissionRequest',
    'Admitted',
    'Capacity',
    'LimitMember',
    'LimitOwner',
    'Refusal',
    'Ticket',
    'choose_owner',
    'make_admission',
    'make_limit_member',
    'make_limit_owner',
)
