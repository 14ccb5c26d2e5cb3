"""Decisions of a gateway: routes, workers, homes of prompts, and retries.

The modules take and return values; they import neither a transport nor an
encoding, so that any front end and any endpoint protocol can use them.
"""

from briarknot.serving._board import Board, WorkerRecord, make_board
from briarknot.serving._calls import (
    NOT_RUN_ENDS,
    Answer,
    Call,
    Dispatch,
    End,
    Failed,
    Header,
    KvSource,
    Load,
    Prompt,
)
from briarknot.serving._engine_choice import (
    DECODE_POLICIES,
    EngineChoice,
    rank_homes,
    rank_names,
)
from briarknot.serving._engine_work import EngineWork
from briarknot.serving._fleet import Fleet, choose_destination, make_fleet
from briarknot.serving._placement import (
    PLACEMENT_POLICIES,
    PlacementView,
)
from briarknot.serving._places import Distance, Places
from briarknot.serving._plain_choice import PLAIN_POLICIES, PlainChoice
from briarknot.serving._prompt_load import (
    Placement,
    PromptLoad,
    make_prompt_load,
)
from briarknot.serving._retry_budget import RetryBudget, make_retry_budget

__all__ = (
    'DECODE_POLICIES',
    'NOT_RUN_ENDS',
    'PLACEMENT_POLICIES',
    'PLAIN_POLICIES',
    'Answer',
    'Board',
    'Call',
    'Dispatch',
    'Distance',
    'End',
    'EngineChoice',
    'EngineWork',
    'Failed',
    'Fleet',
    'Header',
    'KvSource',
    'Load',
    'Placement',
    'PlacementView',
    'Places',
    'PlainChoice',
    'Prompt',
    'PromptLoad',
    'RetryBudget',
    'WorkerRecord',
    'choose_destination',
    'make_board',
    'make_fleet',
    'make_prompt_load',
    'make_retry_budget',
    'rank_homes',
    'rank_names',
)
