"""Choice of another failure domain if the local one misses the target."""

import typing

import attrs

from briarknot import schema, sentinels
from briarknot.routing import _cost, _scores, _view

#: Expected output of the request whose delay a summary gives, in tokens.
_TYPICAL_TOKENS = 128
#: Least time that a hop must save: links between regions are billed by volume,
#: and summaries are seconds old.
_MIN_SAVING_S = 0.2


@attrs.frozen(kw_only=True)
class DomainChoice:
    """A failure domain that should run a request.

    :param domain: name of the failure domain.
    :param reason: sentence with the figures, for the journal.
    """

    domain: str
    reason: str


@attrs.frozen(kw_only=True)
class StayLocal(sentinels.Sentinel):
    """Sentinel for a request that stays in the local failure domain.

    :param reason: sentence with the figures, for the journal.
    """

    reason: str


def make_summary(view: _view.View, now: float) -> schema.messages.DomainSummary:
    """Makes the summary of a failure domain for other domains.

    :param view: endpoint view of the failure domain.
    :param now: monotonic time in seconds.

    >>> view = _view.make_view(schema.fleet.Fleet(), 'obb-a')
    >>> make_summary(view, now=0).models
    ()
    """
    fit = [one for one in view.engines if not one.explain_unfit(now)]
    models = []
    for model in dict.fromkeys(one.model_name for one in fit):
        serving = tuple(one for one in fit if one.model_name == model)
        work = _cost.WorkEstimate(model=model, expected_tokens=_TYPICAL_TOKENS)
        waits = [
            _scores.score_candidate(candidate, work, now).first_token_s
            for candidate in _scores.list_candidates(serving, work, now)
        ]
        if waits:
            models.append(
                schema.messages.ModelCapacity(
                    model=model, engines=len(serving), queue_delay_s=min(waits)
                )
            )
    return schema.messages.DomainSummary(
        domain=view.domain, models=tuple(models)
    )


def choose_domain(
    work: _cost.WorkEstimate,
    local_s: float,
    target_s: float,
    summaries: typing.Iterable[schema.messages.DomainSummary],
    hop_s: float,
) -> DomainChoice | StayLocal:
    """Chooses another failure domain only where the target would be missed.

    :param work: the request's expected work.
    :param local_s: expected time to the first token in the local domain,
        including the queue; infinite if no endpoint takes the request.
    :param target_s: time to the first token that the request needs.
    :param summaries: recent summaries of the other failure domains.
    :param hop_s: added delay of the hop.
    """
    if local_s <= target_s:
        return StayLocal(
            reason=f'own domain expects {local_s:.2f} s of {target_s:.2f} s'
        )
    expected = {
        summary.domain: capacity.queue_delay_s + work.prefill_s + hop_s
        for summary in summaries
        for capacity in summary.models
        if capacity.model == work.model
    }
    domain = min(expected, key=expected.__getitem__, default='')
    if not domain or expected[domain] + _MIN_SAVING_S > local_s:
        return StayLocal(
            reason=(
                f'own domain expects {local_s:.2f} s and misses '
                f'{target_s:.2f} s; none of {len(expected)} other domains '
                f'saves {_MIN_SAVING_S:.2f} s'
            )
        )
    return DomainChoice(
        domain=domain,
        reason=(
            f'own domain expects {local_s:.2f} s and misses {target_s:.2f} s; '
            f'{domain} expects {expected[domain]:.2f} s with the hop'
        ),
    )
