"""Kinds of requests, and their arrivals as determined by a seed."""

import random

import attrs


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of work.

    :param name: name of the kind.
    :param rank: rank of its requests.
    :param prompt_tokens: length of the prompt.
    :param shared_tokens: leading tokens that several requests share.
    :param documents: number of different shared prefixes.
    :param output_units: length of the answer in units of the stand-in.
    """

    name: str
    rank: str
    prompt_tokens: int
    output_units: int
    shared_tokens: int = 0
    documents: int = 1


@attrs.frozen(kw_only=True)
class Flow:
    """Requests of one kind with independent arrivals.

    :param kind: kind of work.
    :param rate: requests per second.
    :param start_s: time of the start.
    :param end_s: time of the end.
    :param account: account of the caller.
    :param entry: number of the entry process; None for round robin.
    """

    kind: Kind
    rate: float
    start_s: float
    end_s: float
    account: str = 'site'
    entry: int | None = None


@attrs.frozen(kw_only=True)
class Arrival:
    """One request.

    :param at_s: time from the start of the scenario.
    :param flow: flow that it belongs to.
    :param number: number in the flow; makes the prompt unique.
    """

    at_s: float
    flow: Flow
    number: int

    def make_prompt(self) -> str:
        """Makes the prompt: a shared prefix and a unique suffix."""
        kind = self.flow.kind
        document = self.number % kind.documents
        shared = f'{kind.name}-{document} ' * kind.shared_tokens
        unique = f'{self.flow.account}-{self.number}-{self.at_s:.4f} '
        return shared + unique * (kind.prompt_tokens - kind.shared_tokens)


@attrs.frozen(kw_only=True)
class Speeds:
    """Speeds of one engine after time compression.

    :param prefill_tokens_per_s: prefill speed.
    :param decode_units_per_s: decode speed of one stream.
    :param max_streams: concurrent streams.
    """

    prefill_tokens_per_s: float
    decode_units_per_s: float
    max_streams: int

    def count_work(self, kind: Kind) -> float:
        """Returns the engine seconds of a request without a cached prefix."""
        decode_s = kind.output_units / self.decode_units_per_s
        prefill_s = kind.prompt_tokens / self.prefill_tokens_per_s
        return prefill_s + decode_s / self.max_streams


def make_arrivals(flows: tuple[Flow, ...], seed: int) -> list[Arrival]:
    """Makes the arrivals of all flows in order of time.

    :param flows: the flows.
    :param seed: seed of the random intervals.

    >>> kind = Kind(name='k', rank='r', prompt_tokens=1, output_units=1)
    >>> flows = (Flow(kind=kind, rate=5, start_s=0, end_s=2),)
    >>> make_arrivals(flows, 1) == make_arrivals(flows, 1)
    True
    """
    arrivals = []
    for number, flow in enumerate(flows):
        arrivals.extend(_make_flow(flow, random.Random(f'{seed}-{number}')))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _make_flow(flow: Flow, generator: random.Random) -> list[Arrival]:
    arrivals = []
    at_s = flow.start_s + generator.expovariate(flow.rate)
    while at_s < flow.end_s:
        arrivals.append(Arrival(at_s=at_s, flow=flow, number=len(arrivals)))
        at_s += generator.expovariate(flow.rate)
    return arrivals
