"""Gateway decisions: routing, worker selection, prompt placement, retries.

The modules take and return values and import neither a transport nor an
encoding, so that any front end and any endpoint protocol can use them.
"""

from briarknot.serving._accounts import AccountDirectory
from briarknot.serving._backpressure import Backpressure
from briarknot.serving._calls import (
    NOT_RUN_KINDS,
    Answer,
    Call,
    Dispatch,
    Failed,
    FailureKind,
    Header,
    KvSource,
    Load,
    Prompt,
)
from briarknot.serving._crash_quarantine import (
    CrashQuarantine,
    make_crash_quarantine,
)
from briarknot.serving._destinations import choose_destination
from briarknot.serving._engine_choice import (
    DECODE_POLICIES,
    DecodeView,
)
from briarknot.serving._engine_work import EngineWork
from briarknot.serving._fleet import Fleet, make_fleet
from briarknot.serving._placement import (
    PLACEMENT_POLICIES,
    PlacementView,
)
from briarknot.serving._plain_choice import PLAIN_POLICIES, PlainView
from briarknot.serving._prompt_load import (
    Placement,
    PromptLoad,
    make_prompt_load,
)
from briarknot.serving._quarantine_results import (
    Clear,
    OnTrial,
    Quarantined,
    Suspected,
)
from briarknot.serving._rendezvous import rank_names, rank_workers
from briarknot.serving._retry_budget import RetryBudget, make_retry_budget
from briarknot.serving._send_permits import (
    Need,
    NotPermitted,
    Permit,
    SendPermits,
    make_send_permits,
)
from briarknot.serving._topology import Distance, Topology
from briarknot.serving._work_sums import WorkSums, make_work_sums
from briarknot.serving._worker_limits import (
    WorkerLimits,
    make_worker_limits,
)
from briarknot.serving._worker_records import (
    WorkerRecord,
    WorkerRecords,
    make_worker_records,
)
from briarknot.serving._worker_starts import name_start

__all__ = (
    'DECODE_POLICIES',
    'NOT_RUN_KINDS',
    'PLACEMENT_POLICIES',
    'PLAIN_POLICIES',
    'AccountDirectory',
    'Answer',
    'Backpressure',
    'Call',
    'Clear',
    'CrashQuarantine',
    'DecodeView',
    'Dispatch',
    'Distance',
    'EngineWork',
    'Failed',
    'FailureKind',
    'Fleet',
    'Header',
    'KvSource',
    'Load',
    'Need',
    'NotPermitted',
    'OnTrial',
    'Permit',
    'Placement',
    'PlacementView',
    'PlainView',
    'Prompt',
    'PromptLoad',
    'Quarantined',
    'RetryBudget',
    'SendPermits',
    'Suspected',
    'Topology',
    'WorkSums',
    'WorkerLimits',
    'WorkerRecord',
    'WorkerRecords',
    'choose_destination',
    'make_crash_quarantine',
    'make_fleet',
    'make_prompt_load',
    'make_retry_budget',
    'make_send_permits',
    'make_work_sums',
    'make_worker_limits',
    'make_worker_records',
    'name_start',
    'rank_names',
    'rank_workers',
)
