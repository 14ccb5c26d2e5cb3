"""State that the tasks of a gateway process share."""

import asyncio
import random
import time
import typing

import attrs
import prometheus_client

from briarknot import (
    platform,
    program,
    schema,
    serving,
    telemetry,
    usage,
    versions,
)
from briarknot.gateway import (
    _clock,
    _host_groups,
    _manifest_status,
    _pending_answers,
    _stopping,
)
from briarknot.serving import cache_lists

REQUESTS = prometheus_client.Counter(
    'briarknot_gateway_requests',
    'Requests of clients by kind and outcome.',
    ('kind', 'outcome'),
)
ATTEMPTS = prometheus_client.Counter(
    'briarknot_gateway_attempts',
    'Requests sent to workers by call and result.',
    ('call', 'result'),
)
BROKEN_ANSWERS = prometheus_client.Counter(
    'briarknot_gateway_broken_answers',
    'Answers of workers that were not complete after their head, by outcome.',
    ('outcome',),
)
SECONDS = prometheus_client.Histogram(
    'briarknot_gateway_seconds',
    'Time from a request to its whole answer or to the first event.',
    ('kind',),
)
#: Number of processes that share the retry budget until the list of hosts has
#: been read. A number that is too large only makes the share smaller.
_ASSUMED_HOSTS = 16
#: Processes that may start before the hosts are counted again.
_SPARE_HOSTS = 3


SendMessage = typing.Callable[[typing.Any, tuple[str, ...]], None]
HasRestarted = typing.Callable[
    [schema.serving.Worker], typing.Coroutine[typing.Any, typing.Any, bool]
]


def _drop_message(message: typing.Any, hosts: tuple[str, ...]) -> None:
    """Sends nothing, in a process that exchanges no messages."""


@attrs.frozen
class PeerHost:
    """Another gateway process.

    :param address: IP number and port for peer messages.
    :param domain: its failure domain.
    """

    address: tuple[str, int]
    domain: str


async def _assume_listed(worker: schema.serving.Worker) -> bool:
    """Takes the list for current, where no store is read."""
    return False


def _make_cache_listing() -> cache_lists.CacheListing:
    return cache_lists.make_cache_listing(_clock.read_clock())


@attrs.define(eq=False)
class Context:
    """State of a gateway process.

    :param settings: settings in force.
    :param fleet: manifest and known workers.
    :param worker_records: load and health of the workers.
    :param prompt_load: prompts that are in flight at engines.
    :param budget: retries that this process may send.
    :param calls: client of the workers.
    :param topology: distances between failure domains.
    :param permits: limits that workers have named, and permits to send to them.
    :param random_source: source of randomness.
    :param peer_hosts: the other gateway processes by host.
    :param heard_starts: starts of the other processes that have sent messages on
        their work, by host.
    :param fleet_update: latest update that another process sent.
    :param fleet_update_received: set when an update arrives.
    :param fleet_known: set when the manifest and the workers are known.
    :param quarantine: evidence on what makes workers crash.
    :param quarantine_changed: notified when the evidence changes.
    :param backpressure_changed: notified when a worker has named another limit, or
        has said that it is leaving.
    :param permit_answers: answers of other processes that issue permits.
    :param software_versions: versions of the software that may have begun streams.
    :param versions_changed: notified when a version is new or is stored, and when
        the store was restored.
    :param origins: workers that began streams.
    :param origin_answers: answers of other processes that know such a worker.
    :param account_usage: requests of client accounts that began to run.
    :param has_restarted: returns whether a worker has started again since it was
        listed.
    :param send_message: sends a message to other processes, by their hosts.
    :param stop: shortens the time limits of requests when the process stops.
    :param accounts: client accounts of the manifest.
    :param manifest_status: whether the manifest is known to be the newest.
    :param hosts_known: set when the list of gateway processes was read.
    :param cache_listing: reads of the lists of engines' caches after the start.
    :param configuration_changed: notified when a manifest or settings are in force.
    :param background_tasks: tasks that outlive the request that started them.
    """

    settings: schema.settings.GatewaySettings
    fleet: serving.Fleet
    worker_records: serving.WorkerRecords
    prompt_load: serving.PromptLoad
    budget: serving.RetryBudget
    calls: platform.WorkerCalls
    topology: serving.Topology
    permits: serving.SendPermits
    random_source: random.Random = attrs.field(factory=random.Random)
    peer_hosts: dict[str, PeerHost] = attrs.field(factory=dict)
    heard_starts: dict[str, int] = attrs.field(factory=dict)
    fleet_update: schema.messages.FleetUpdate | None = None
    fleet_update_received: asyncio.Event = attrs.field(factory=asyncio.Event)
    fleet_known: asyncio.Event = attrs.field(factory=asyncio.Event)
    quarantine: serving.CrashQuarantine = attrs.field(
        factory=serving.make_crash_quarantine
    )
    quarantine_changed: program.Signal = attrs.field(factory=program.Signal)
    backpressure_changed: program.Signal = attrs.field(factory=program.Signal)
    permit_answers: _pending_answers.PendingAnswers = attrs.field(
        factory=_pending_answers.PendingAnswers
    )
    software_versions: versions.SoftwareVersions = attrs.field(
        factory=versions.make_software_versions
    )
    versions_changed: program.Signal = attrs.field(factory=program.Signal)
    origins: versions.StreamOrigins = attrs.field(
        factory=versions.make_stream_origins
    )
    origin_answers: _pending_answers.PendingAnswers = attrs.field(
        factory=_pending_answers.PendingAnswers
    )
    account_usage: usage.Usage = attrs.field(factory=usage.make_usage)
    has_restarted: HasRestarted = _assume_listed
    send_message: SendMessage = _drop_message
    stop: _stopping.Stop = attrs.field(factory=_stopping.Stop)
    accounts: serving.AccountDirectory = attrs.field(
        factory=serving.AccountDirectory
    )
    manifest_status: _manifest_status.ManifestStatus = attrs.field(
        factory=_manifest_status.ManifestStatus
    )
    hosts_known: asyncio.Event = attrs.field(factory=asyncio.Event)
    cache_listing: cache_lists.CacheListing = attrs.field(
        factory=_make_cache_listing
    )
    configuration_changed: program.Signal = attrs.field(factory=program.Signal)
    background_tasks: set[typing.Any] = attrs.field(factory=set)
    _groups: _host_groups.HostGroups | None = None

    @property
    def host_groups(self) -> _host_groups.HostGroups:
        """The gateway processes by failure domain."""
        current = (self.settings.host, self.settings.domain, self.peer_hosts)
        known = self._groups
        if known is None or not known.is_current(*current):
            known = _host_groups.make_host_groups(*current)
            self._groups = known
        return known

    @property
    def is_ready(self) -> bool:
        """Whether the manifest and the workers are known."""
        return bool(self.fleet.manifest and self.fleet.workers)

    def set_peer_hosts(self, hosts: dict[str, PeerHost]) -> None:
        """Replaces the other processes, and sets their number in the budget."""
        hosts = {
            host: peer
            for host, peer in hosts.items()
            if host != self.settings.host
        }
        if hosts.keys() != self.peer_hosts.keys():
            telemetry.log_event(
                'hosts_changed',
                hosts=len(hosts),
                added=sorted(hosts.keys() - self.peer_hosts.keys()),
                removed=sorted(self.peer_hosts.keys() - hosts.keys()),
            )
        self.peer_hosts = hosts
        self.permits.set_domains(
            {
                self.settings.host: self.settings.domain,
                **{host: peer.domain for host, peer in hosts.items()},
            }
        )
        # The share of the budget must stay safe when more processes start.
        self.budget.set_hosts(1 + len(hosts) + _SPARE_HOSTS)

    def notify_if_ready(self) -> None:
        """Wakes waiting requests once the manifest and workers are known."""
        if self.is_ready:
            self.fleet_known.set()

    def make_plain_view(
        self, turn_waits_s: dict[str, float]
    ) -> serving.PlainView:
        """Makes the inputs of the policies for plain services.

        :param turn_waits_s: times until limits of workers allow a request.
        """
        return serving.PlainView(
            self.worker_records,
            self.topology,
            self.random_source,
            turn_waits_s,
        )

    def make_decode_view(
        self, event_gap_s: float, turn_waits_s: dict[str, float]
    ) -> serving.DecodeView:
        """Makes the inputs of the policies for decode workers.

        :param event_gap_s: gap from which an event of the request is late, in
            seconds; 0 for none.
        :param turn_waits_s: times until limits of workers allow a request.
        """
        return serving.DecodeView(
            self.worker_records,
            self.topology,
            self.random_source,
            self.prompt_load,
            event_gap_s,
            1 + len(self.peer_hosts),
            turn_waits_s,
        )


def make_context(
    settings: schema.settings.GatewaySettings, calls: platform.WorkerCalls
) -> Context:
    """Makes the state of a process that does not know the fleet yet.

    :param settings: settings in force.
    :param calls: client of the workers.
    """
    regions = {one.domain: one.region for one in settings.domains}
    return Context(
        settings=settings,
        fleet=serving.make_fleet(),
        worker_records=serving.make_worker_records(),
        prompt_load=serving.make_prompt_load(),
        budget=serving.make_retry_budget(
            settings.retry_share,
            settings.retry_extra,
            settings.retry_window_s,
            hosts=_ASSUMED_HOSTS,
        ),
        calls=calls,
        topology=serving.Topology(settings.domain, regions),
        permits=serving.make_send_permits(
            settings.host, settings.domain, time.monotonic()
        ),
    )
