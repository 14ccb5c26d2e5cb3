"""Fleets with compressed time."""

import attrs

from benchmarks import _work
from briarknot import schema
from briarknot_standins import fleet

#: Factor by which engine times and targets are shorter than in production.
COMPRESSION = 4.0
#: Production tokens that one output unit represents; fewer chunks cost the
#: processes less time.
TOKENS_PER_UNIT = 4.0
_PREFILL_TOKENS_PER_S = 8000.0
_DECODE_TOKENS_PER_S = 40.0
_MAX_STREAMS = 16
_REPORT_LAG_S = 0.2

SPEEDS = _work.Speeds(
    prefill_tokens_per_s=_PREFILL_TOKENS_PER_S * COMPRESSION,
    decode_units_per_s=_DECODE_TOKENS_PER_S / TOKENS_PER_UNIT * COMPRESSION,
    max_streams=_MAX_STREAMS,
)


def make_sprossenwerk() -> fleet.FleetPlan:
    """Makes the failure domain obb-a: 4 engines, 3 entry processes."""
    return _compress(fleet.make_sprossenwerk_plan())


def make_inac() -> fleet.FleetPlan:
    """Makes the failure domain tacuarembo-a: 2 engines, 2 entry processes."""
    return _compress(fleet.make_inac_plan())


def set_option(
    plan: fleet.FleetPlan, name: str, option_value: float
) -> fleet.FleetPlan:
    """Sets an option of the engines; the last occurrence takes effect.

    :param plan: the fleet.
    :param name: name of the option.
    :param option_value: its value.
    """
    options = (*plan.engine_arguments, f'--{name}', str(option_value))
    return attrs.evolve(plan, engine_arguments=options)


def set_domain(plan: fleet.FleetPlan, **changes: object) -> fleet.FleetPlan:
    """Changes the only failure domain of a plan.

    :param plan: the fleet.
    :param changes: fields of the failure domain.
    """
    return attrs.evolve(
        plan, domains=(attrs.evolve(plan.domains[0], **changes),)
    )


def count_engines(plan: fleet.FleetPlan) -> int:
    """Returns the number of engines."""
    return sum(part.count for domain in plan.domains for part in domain.engines)


def _compress(plan: fleet.FleetPlan) -> fleet.FleetPlan:
    arguments = {
        'time-compression': COMPRESSION,
        'prefill-tokens-per-s': _PREFILL_TOKENS_PER_S,
        'decode-tokens-per-s': _DECODE_TOKENS_PER_S / TOKENS_PER_UNIT,
        'max-streams': _MAX_STREAMS,
        'report-lag-s': _REPORT_LAG_S,
    }
    domain = attrs.evolve(plan.domains[0], services=1)
    policies = attrs.evolve(
        plan.policies,
        planner_interval_s=plan.policies.planner_interval_s / COMPRESSION,
        planner_times=_compress_times(plan.policies.planner_times),
    )
    return attrs.evolve(
        plan,
        domains=(domain,),
        policies=policies,
        ranks=tuple(_compress_rank(rank) for rank in plan.ranks),
        model=attrs.evolve(
            plan.model,
            prefill_tokens_per_s=SPEEDS.prefill_tokens_per_s,
            decode_tokens_per_s=SPEEDS.decode_units_per_s,
            max_streams=SPEEDS.max_streams,
        ),
        engine_arguments=tuple(
            part
            for name, option_value in arguments.items()
            for part in (f'--{name}', str(option_value))
        ),
        timing=schema.settings.Timing(
            document_poll_s=0.25, load_poll_s=0.1, journal_flush_s=1
        ),
    )


def _compress_rank(rank: schema.fleet.Rank) -> schema.fleet.Rank:
    return attrs.evolve(
        rank,
        first_token_s=rank.first_token_s / COMPRESSION,
        token_interval_s=rank.token_interval_s * TOKENS_PER_UNIT / COMPRESSION,
        max_queue_s=rank.max_queue_s / COMPRESSION,
    )


def _compress_times(
    times: schema.fleet.PlannerTimes,
) -> schema.fleet.PlannerTimes:
    fields = attrs.asdict(times)
    return schema.fleet.PlannerTimes(
        **{name: time_s / COMPRESSION for name, time_s in fields.items()}
    )
