"""Pattern: many processes choose engines on sums that arrive late.

Relays add up the work of their domain and exchange sums by datagrams, which are
lost, doubled and reordered; relays are killed and suspended.
"""

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from briarknot import schema, serving

_DOMAINS = {'a': ('a0', 'a1', 'a2'), 'b': ('b0', 'b1')}
_HOSTS = tuple(host for hosts in _DOMAINS.values() for host in hosts)
_RELAYS = ('a0', 'a1', 'b0', 'b1')
_WORKERS = ('w0', 'w1', 'w2')


@attrs.define(eq=False)
class Process:
    """Work and sums of one process, without a network."""

    host: str
    born_ms: int = 1
    sequence: int = 0
    work: serving.EngineWork = attrs.field(factory=serving.EngineWork)
    sums: serving.WorkSums = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Makes its sums."""
        self.sums = serving.make_work_sums(
            self.host, self.domain, self.born_ms, self.work
        )

    @property
    def domain(self):
        """Its failure domain."""
        return self.host[0]

    def make_report(self):
        """Makes a report of its work."""
        self.sequence += 1
        return schema.messages.EngineWork(
            host=self.host,
            domain=self.domain,
            born_ms=self.born_ms,
            sequence=self.sequence,
            workers=self.work.record_report(self.sequence),
        )

    def make_fleet_work(self, now):
        """Makes and applies the sum of the fleet, as a relay."""
        self.sequence += 1
        self.work.record_report(self.sequence)
        message = self.sums.make_fleet_work(self.sequence, now)
        self.work.apply_fleet_work(message, self.host, now)
        return message

    def apply(self, message, now):
        """Applies a message of another process."""
        if isinstance(message, schema.messages.EngineWork):
            self.sums.apply_report(message, now)
        elif isinstance(message, schema.messages.DomainWork):
            self.sums.apply_domain_work(message, now)
        else:
            self.work.apply_fleet_work(message, self.host, now)

    def count_tokens(self, worker, now):
        """Returns the tokens that it believes to be queued at a worker."""
        return self.work.get_total(worker, now).tokens


def make_processes():
    """Makes the processes of the fleet by host."""
    return {host: Process(host) for host in _HOSTS}


def list_receivers(message):
    """Lists the hosts that a message is sent to."""
    if isinstance(message, schema.messages.EngineWork):
        return [
            host
            for host in _RELAYS
            if host[0] == message.domain and host != message.host
        ]
    if isinstance(message, schema.messages.DomainWork):
        return [host for host in _RELAYS if host[0] != message.domain]
    return [
        host for host in _DOMAINS[message.relay[0]] if host != message.relay
    ]


def exchange(processes, now):
    """Delivers a whole round of messages."""
    rounds = (
        lambda: [one.make_report() for one in processes.values()],
        lambda: [processes[one].sums.make_domain_work(now) for one in _RELAYS],
        lambda: [processes[one].make_fleet_work(now) for one in _RELAYS],
    )
    for make_messages in rounds:
        for message in make_messages():
            for host in list_receivers(message):
                processes[host].apply(message, now)


class WorkSumsMachine(stateful.RuleBasedStateMachine):
    """Adds and removes work while messages are lost, doubled and reordered."""

    def __init__(self):
        """Makes processes without work."""
        super().__init__()
        self.now = 100.0
        self.processes = make_processes()
        self.sent = []

    @stateful.rule(
        host=st.sampled_from(_HOSTS),
        worker=st.sampled_from(_WORKERS),
        tokens=st.integers(1, 50),
    )
    def add_work(self, host, worker, tokens):
        """A process sends prompts to a worker."""
        self.processes[host].work.add(worker, tokens=tokens)

    @stateful.rule(
        host=st.sampled_from(_HOSTS), worker=st.sampled_from(_WORKERS)
    )
    def end_work(self, host, worker):
        """All prompts of a process at a worker end."""
        self.processes[host].work.add(worker, tokens=-10_000)

    @stateful.rule(host=st.sampled_from(_HOSTS))
    def report(self, host):
        """A process reports its work."""
        self.sent.append(self.processes[host].make_report())

    @stateful.rule(relay=st.sampled_from(_RELAYS))
    def send_sums(self, relay):
        """A relay sends its sums."""
        process = self.processes[relay]
        self.sent.append(process.sums.make_domain_work(self.now))
        self.sent.append(process.make_fleet_work(self.now))

    @stateful.rule(choice=st.randoms(use_true_random=False))
    def deliver(self, choice):
        """One message that was ever sent arrives somewhere, maybe again."""
        if self.sent:
            message = choice.choice(self.sent)
            host = choice.choice(list_receivers(message))
            self.processes[host].apply(message, self.now)

    @stateful.rule(host=st.sampled_from(_HOSTS))
    def restart(self, host):
        """A process is killed and starts anew, without its work."""
        born_ms = self.processes[host].born_ms + 1
        self.processes[host] = Process(host, born_ms=born_ms)

    @stateful.rule(seconds=st.floats(0.01, 3))
    def wait(self, seconds):
        """Time passes, so that messages become outdated."""
        self.now += seconds

    @stateful.invariant()
    def check_no_negative_work(self):
        """Subtracting an earlier report never makes work negative."""
        for process in self.processes.values():
            for worker in _WORKERS:
                assert process.count_tokens(worker, self.now) >= 0

    @stateful.invariant()
    def check_sums_equal_after_an_exchange(self):
        """All know the whole work after one exchange without losses."""
        exchange(self.processes, self.now)
        for worker in _WORKERS:
            expected = sum(
                one.tokens
                for process in self.processes.values()
                for one in process.work.local
                if one.worker == worker
            )
            for process in self.processes.values():
                assert process.count_tokens(worker, self.now) == expected


TestWorkSums = WorkSumsMachine.TestCase
TestWorkSums.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None
)


def test_own_work_counts_at_once():
    """A process sent its next prompts to the worker that it had just loaded."""
    processes = make_processes()
    exchange(processes, 0)
    process = processes['a2']
    process.work.add('w0', tokens=500)
    assert process.count_tokens('w0', 0.1) == 500
    exchange(processes, 0.2)
    assert process.count_tokens('w0', 0.2) == 500
    process.work.add('w0', tokens=-500)
    assert process.count_tokens('w0', 0.3) == 0


def test_relay_that_knows_a_part_is_not_preferred():
    """A relay that had just started hid the work of others."""
    processes = make_processes()
    processes['a1'].work.add('w0', tokens=70)
    exchange(processes, 0)
    started = Process('a0', born_ms=2)
    processes['a2'].apply(started.make_fleet_work(0.1), 0.1)
    assert processes['a2'].count_tokens('w0', 0.1) == 70


def test_outdated_sum_is_not_used():
    """A suspended relay spread old sums as new ones when it woke up."""
    processes = make_processes()
    processes['a2'].work.add('w0', tokens=70)
    exchange(processes, 0)
    old = processes['a0'].sums.make_fleet_work(0, 0)
    processes['a2'].work.add('w0', tokens=-70)
    for _ in range(20):
        processes['a2'].make_report()
    processes['a2'].apply(old, 1)
    assert processes['a2'].count_tokens('w0', 1) == 0


def test_loss_of_all_relays_leaves_the_local_work():
    """Work of others was counted for ever."""
    processes = make_processes()
    processes['b0'].work.add('w0', tokens=70)
    exchange(processes, 0)
    processes['a2'].work.add('w0', tokens=5)
    assert processes['a2'].count_tokens('w0', 0.5) == 75
    assert processes['a2'].count_tokens('w0', 10) == 5
