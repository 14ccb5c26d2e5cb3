"""Configuration and report of a soak."""

import collections

import attrs
import cappa


@cappa.command(name='briarknot_standins.soak', default_long=True)
@attrs.frozen(kw_only=True)
class SoakConfig:
    """Configuration of a soak.

    :param seed: seed of the faults and of the clients.
    :param seconds: time during which faults are injected.
    :param gateways: gateway processes.
    :param workers: workers of each kind; of decode workers, this many of each
        software version.
    :param clients: clients, each of which sends one request at a time.
    :param cache_listing: whether gateways read what the engines' caches hold
        after a start of all of them.
    :param keep: folder to which the output of all processes is copied where a
        guarantee was violated; None to copy nothing.
    """

    seed: int = 1
    seconds: float = 10.0
    gateways: int = 3
    workers: int = 2
    clients: int = 12
    cache_listing: bool = False
    keep: str | None = None


@attrs.define(eq=False)
class Report:
    """Results of a soak.

    :param config: its configuration.
    :param faults: faults that were injected, in order.
    :param answers: counts of answers by kind and status.
    :param streams: counts of streams, and of attempts to take them up.
    :param findings: violated guarantees.
    """

    config: SoakConfig
    faults: list[str] = attrs.field(factory=list)
    answers: collections.Counter = attrs.field(factory=collections.Counter)
    streams: collections.Counter = attrs.field(factory=collections.Counter)
    findings: list[str] = attrs.field(factory=list)

    def describe(self) -> str:
        """Returns the report as text."""
        answers = ', '.join(
            f'{kind} {status}: {count}'
            for (kind, status), count in sorted(self.answers.items(), key=repr)
        )
        streams = ', '.join(
            f'{name}: {count}' for name, count in self.streams.items()
        )
        lines = [
            f'seed {self.config.seed}: {len(self.faults)} faults '
            f'({", ".join(self.faults)})',
            f'answers: {answers}',
            f'streams: {streams}',
            *(f'BROKEN {finding}' for finding in self.findings),
        ]
        return '\n'.join(lines)
