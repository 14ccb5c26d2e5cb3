"""Simulates gateways, their store and workers of several versions.

All is in virtual time and drawn from one seeded source. The version at which a
stream began is that of the worker that ran it, whatever the gateways believe.
"""

import heapq
import itertools
import math
import random

import attrs

from briarknot import schema, serving, versions

SERVICE = 's'
#: Offset of the store's clock from the gateways' clock.
_STORE_OFFSET_S = 5000.0
_TICK_S = 0.2
_UPDATE_S = 0.8
_OWN_READ_S = 1.9
_GOSSIP_S = 1.0
_RANK_DELAY_S = 0.7
_MAX_RANK = 4
_CALL_TIMEOUT_S = 1.0
_ANSWER_S = 0.25
#: Time after which an origin is sent once more, and how often it is.
_CONFIRM_S = 0.15
_CONFIRM_ROUNDS = 4
#: A gateway counts as in touch this long after its last disturbance.
_IN_TOUCH_S = 4.0
_TRIES = 3
#: Share of the streams whose connection breaks.
_BROKEN_SHARE = 0.6
#: Time for which clients try to connect to any gateway.
_RETRY_S = 2.0
_MS_PER_S = 1000


@attrs.define(eq=False)
class Store:
    """The platform's store.

    :param listed: entries of workers.
    :param refused: hosts whose calls are not answered.
    :param writes: writes of the row of versions.
    :param slowness: factor on the latencies of its calls.
    """

    listed: dict[str, schema.serving.Worker] = attrs.field(factory=dict)
    row: schema.records.VersionsRow | None = None
    row_number: int = 0
    era: int = 1
    is_up: bool = True
    refused: set[str] = attrs.field(factory=set)
    writes: int = 0
    slowness: float = 1
    copied_row: schema.records.VersionsRow | None = None
    copied_number: int = 0

    def read_workers(self):
        """Returns the listed workers."""
        return dict(self.listed)

    def read_row(self):
        """Returns the row, its number and the era."""
        return self.row, self.row_number, self.era

    def write_row(self, number, row):
        """Writes the row if it has not changed; returns whether it did."""
        if number != self.row_number:
            return False
        self.row = row
        self.row_number += 1
        self.writes += 1
        return True

    def take_copy(self):
        """Keeps a copy of the row."""
        self.copied_row = self.row
        self.copied_number = self.row_number

    def restore(self):
        """Goes back to the copy, in a new era."""
        self.row = self.copied_row
        self.row_number = self.copied_number
        self.era += 1


@attrs.define(eq=False)
class Gateway:
    """A process of a gateway.

    :param workers: workers of its list.
    :param failed: ids of workers that did not answer since the last list.
    :param slowness: factor on its latencies.
    :param disturbed_s: end of its latest disturbance.
    :param waiting: messages that arrived while it was suspended.
    """

    host: str
    software: versions.SoftwareVersions
    origins: versions.StreamOrigins
    workers: dict[str, schema.serving.Worker] = attrs.field(factory=dict)
    failed: set[str] = attrs.field(factory=set)
    is_up: bool = True
    is_serving: bool = False
    is_suspended: bool = False
    cut_from: set[str] = attrs.field(factory=set)
    slowness: float = 1
    disturbed_s: float = -math.inf
    waiting: list = attrs.field(factory=list)
    sync: 'Sync' = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Begins without a list."""
        self.sync = Sync()


@attrs.define(eq=False)
class Sync:
    """State of a gateway's exchange of versions.

    :param list_s: time of the last list or confirmation.
    :param reads_until_s: time until which its read of the list is under way.
    :param calls_until_s: time until which its call for the row is under way.
    :param unstored_s: time since which it knows of something to be stored.
    :param gossip_s: time of its last repetition of the records.
    :param row_keys: versions that the row had when it last read or wrote it.
    :param row_era: era of that row.
    :param era: latest era of the store that it has seen.
    """

    list_s: float = -math.inf
    reads_until_s: float = -math.inf
    calls_until_s: float = -math.inf
    unstored_s: float = math.inf
    gossip_s: float = -math.inf
    row_keys: frozenset = frozenset()
    row_number: int = -1
    row_era: int = 0
    era: int = 0


@attrs.define(eq=False)
class Stream:
    """A stream of a client.

    :param id: id of the attempt that brought the first event.
    :param resumes: id that the client names; empty for none.
    :param version: version of the worker that began it.
    :param believed: version that the gateway believed.
    :param began_s: time for which its worker had run when it began.
    :param gateway: the gateway that forwards it.
    :param take_ups: outcomes of its take-ups at gateways in touch.
    """

    id: str
    resumes: str
    end_s: float
    version: str = ''
    believed: str = ''
    began_s: float = 0
    gateway: Gateway | None = None
    tries: int = 0
    take_ups: list[bool] = attrs.field(factory=list)


@attrs.define
class Counts:
    """What happened to streams.

    :param wrong: take-ups that went on at another version: the stream, both
        versions, and for how long the younger one's worker had run.
    :param restarted: those of a worker that had started again under its id.
    :param new: outcomes of new streams at gateways in touch.
    :param taken_up: outcomes of take-ups at gateways in touch.
    :param records: messages with records of versions.
    :param origins: messages with origins, and questions about them.
    :param confirmations: messages that confirm origins.
    :param unconfirmed: streams whose origin too few gateways confirmed.
    """

    wrong: list = attrs.field(factory=list)
    restarted: list = attrs.field(factory=list)
    new: list[bool] = attrs.field(factory=list)
    taken_up: list[bool] = attrs.field(factory=list)
    refusals: list[tuple[float, str]] = attrs.field(factory=list)
    records: int = 0
    origins: int = 0
    confirmations: int = 0
    unconfirmed: int = 0


@attrs.define(eq=False)
class Fleet:
    """Gateways, their store and the workers, in virtual time.

    :param running: what runs under the id of each worker.
    :param loss: share of the messages that are lost.
    :param is_naming: whether clients name the attempt that they take up.
    :param give_up_s: silence after which clients leave a stream.
    """

    source: random.Random
    store: Store = attrs.field(factory=Store)
    gateways: dict[str, Gateway] = attrs.field(factory=dict)
    running: dict[str, schema.serving.Worker] = attrs.field(factory=dict)
    counts: Counts = attrs.field(factory=Counts)
    streams: list[Stream] = attrs.field(factory=list)
    loss: float = 0
    is_naming: bool = True
    give_up_s: float = 1.0
    now: float = 1000.0
    _leader: str = ''
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def after(self, delay_s, call, *arguments):
        """Schedules a call."""
        entry = (self.now + delay_s, next(self._numbers), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, seconds):
        """Handles the events of a time."""
        until_s = self.now + seconds
        while self._events and self._events[0][0] <= until_s:
            time_s, _, call, arguments = heapq.heappop(self._events)
            self.now = time_s
            call(*arguments)
        self.now = until_s

    def start(self, host):
        """Starts the process of a gateway, which knows nothing."""
        gateway = Gateway(
            host,
            versions.make_software_versions(),
            versions.make_stream_origins(),
            disturbed_s=self.now,
        )
        self.gateways[host] = gateway
        exchange = Exchange(self, gateway)
        self.after(self.source.uniform(0, _TICK_S), exchange.tick)

    def kill(self, hosts, down_s=0.5):
        """Ends processes, which start again after a time."""
        for host in hosts:
            gateway = self.gateways[host]
            if not gateway.is_up:
                continue
            gateway.is_up = False
            gateway.is_serving = False
            gateway.disturbed_s = math.inf
            self.after(down_s, self.start, host)
        for stream in tuple(self.streams):
            if not stream.gateway.is_up:
                self._break(stream)

    def suspend(self, host, seconds):
        """Suspends a process; clients leave its streams after some time."""
        gateway = self.gateways[host]
        if gateway.is_suspended or not gateway.is_up:
            return
        gateway.is_suspended = True
        gateway.disturbed_s = math.inf
        self.after(seconds, self._resume, gateway)
        if seconds > self.give_up_s:
            for stream in tuple(self.streams):
                if stream.gateway is gateway:
                    self.after(self.give_up_s, self._break, stream)

    def disturb(self, gateway, seconds, cut_from=(), slowness=1):
        """Cuts a gateway off, or makes it slow, for a time."""
        gateway.cut_from.update(cut_from)
        gateway.slowness = slowness
        gateway.disturbed_s = math.inf
        self.after(seconds, self._heal, gateway)

    def is_in_touch(self, gateway):
        """Returns whether a gateway has not been disturbed lately."""
        return gateway.is_up and self.now - gateway.disturbed_s > _IN_TOUCH_S

    def lead(self):
        """Sends the list from the leader to all others, again and again."""
        self.after(_UPDATE_S, self.lead)
        leader = self.gateways.get(self._leader)
        if leader is None or not self._can_lead(leader):
            # The next one takes over when the term of the last one is over.
            self._leader = self.source.choice(sorted(self.gateways))
            return
        sent_s = self.now
        self.call_store(
            leader,
            self.store.read_workers,
            lambda workers: self._publish(leader, workers, sent_s),
        )

    def send(self, sender, receiver, call, *arguments):
        """Delivers a message to another gateway, unless it is lost."""
        is_cut = 'peers' in sender.cut_from | receiver.cut_from
        if is_cut or self.source.random() < self.loss:
            return
        delay_s = self._draw_latency(sender, receiver)
        self.after(delay_s, self.deliver, receiver, call, *arguments)

    def deliver(self, gateway, call, *arguments):
        """Hands a message to a process when it runs."""
        if gateway.is_suspended:
            gateway.waiting.append((call, arguments))
        elif gateway.is_up:
            call(*arguments)

    def call_store(self, gateway, operation, then):
        """Calls the store; the answer may be late or lost."""
        delay_s = self._draw_latency(gateway) * self.store.slowness
        self.after(delay_s, self._perform, gateway, operation, then)

    def open(self, lasting_s):
        """Begins a stream of a client at any gateway."""
        number = f'r{next(self._numbers)}'
        resumes = number if self.is_naming else ''
        stream = Stream(number, resumes, self.now + lasting_s)
        self._request(stream, self._begin)

    def reach(self, gateway, worker):
        """Returns what runs under the id of a worker; None if it is down."""
        running = self.running.get(worker.id)
        if running is None:
            gateway.failed.add(worker.id)
        return running

    def _perform(self, gateway, operation, then):
        host = gateway.host
        is_cut = 'store' in gateway.cut_from or host in self.store.refused
        if is_cut or not self.store.is_up:
            return
        found = operation()
        if self.source.random() >= self.loss:
            delay_s = self._draw_latency(gateway) * self.store.slowness
            self.after(delay_s, self.deliver, gateway, then, found)

    def _can_lead(self, gateway):
        is_cut = 'store' in gateway.cut_from or gateway.is_suspended
        is_refused = gateway.host in self.store.refused
        return gateway.is_serving and not is_cut and not is_refused

    def _publish(self, leader, workers, sent_s):
        for gateway in tuple(self.gateways.values()):
            apply = Exchange(self, gateway).apply_list
            if gateway is leader:
                apply(workers, sent_s)
            else:
                self.send(leader, gateway, apply, workers, sent_s)

    def _draw_latency(self, *gateways):
        slowness = max(one.slowness for one in gateways)
        return self.source.uniform(0.001, 0.03) * slowness

    def _resume(self, gateway):
        gateway.is_suspended = False
        gateway.disturbed_s = self.now
        waiting = tuple(gateway.waiting)
        gateway.waiting.clear()
        for call, arguments in waiting:
            self.deliver(gateway, call, *arguments)

    def _heal(self, gateway):
        gateway.cut_from.clear()
        gateway.slowness = 1
        if gateway.is_up:
            gateway.disturbed_s = self.now

    def _request(self, stream, call):
        """Sends a request of a client to a gateway that takes connections."""
        serving_ones = [one for one in self.gateways.values() if one.is_serving]
        if serving_ones:
            gateway = self.source.choice(serving_ones)
            self.after(0.002, self.deliver, gateway, call, stream, gateway)
        elif self.now < stream.end_s + _RETRY_S:
            self.after(0.1, self._request, stream, call)

    def _begin(self, stream, gateway):
        for worker in Choice(self, gateway).list_for_new():
            running = self.reach(gateway, worker)
            if running is not None:
                stream.version = running.version
                stream.believed = worker.version
                stream.began_s = self._get_run_s(running)
                Beginning(self, gateway, stream, worker).start()
                return
        self.count_new(stream, gateway, is_served=False)

    def begin(self, stream, gateway, worker):
        """Forwards the first event of a stream."""
        self._forward(stream, gateway, worker)
        self.count_new(stream, gateway, is_served=True)

    def count_new(self, stream, gateway, *, is_served):
        """Counts a new stream that begins, or is refused."""
        self._count(self.counts.new, stream, gateway, is_served)

    def hand_over(self, stream, gateway):
        """Breaks a connection; the client takes the stream up at a gateway."""
        self.streams.remove(stream)
        stream.tries += 1
        self.deliver(gateway, self.take_up, stream, gateway)

    def take_up(self, stream, gateway):
        """Handles a request that takes a stream up."""
        Choice(self, gateway).find_version(
            stream,
            lambda version: self._go_on(stream, gateway, version),
        )

    def _go_on(self, stream, gateway, version):
        if not version:
            self._refuse(stream, gateway, version.reason)
            return
        for worker in Choice(self, gateway).list_for(version):
            running = self.reach(gateway, worker)
            if running is not None:
                self._check(stream, gateway, worker, running)
                self._forward(stream, gateway, worker)
                self._count(
                    self.counts.taken_up, stream, gateway, is_served=True
                )
                return
        self._refuse(stream, gateway, 'no worker')

    def _refuse(self, stream, gateway, reason):
        self.counts.refusals.append((self.now, reason))
        self._count(self.counts.taken_up, stream, gateway, is_served=False)

    def _check(self, stream, gateway, worker, running):
        if running.version == stream.version:
            return
        is_restarted = (
            running.version != worker.version
            or stream.version != stream.believed
        )
        found = self.counts.restarted if is_restarted else self.counts.wrong
        run_s = min(stream.began_s, self._get_run_s(running))
        found.append((stream.id, stream.version, running.version, run_s))

    def _get_run_s(self, running):
        return self.now - running.born_ms / _MS_PER_S

    def _count(self, outcomes, stream, gateway, is_served):
        ready = [one for one in self.running.values() if not one.draining]
        if stream.version:
            ready = [one for one in ready if one.version == stream.version]
        if self.is_in_touch(gateway) and len(ready) >= 2:
            outcomes.append(is_served)
            if outcomes is self.counts.taken_up:
                stream.take_ups.append(is_served)

    def _forward(self, stream, gateway, worker):
        """Forwards a stream, after its origin was sent where it is needed."""
        gateway.origins.record(stream.resumes, worker, self.now)
        possible = gateway.software.list_possible(SERVICE, self.now)
        origin = gateway.origins.find(stream.resumes, self.now)
        if origin is not None and (not possible or len(possible) > 1):
            self.send_origin(gateway, origin, lambda keeper: None)
        stream.gateway = gateway
        self.streams.append(stream)
        left_s = stream.end_s - self.now
        if left_s > 0:
            self.after(left_s, self._end, stream, stream.tries)
            if self.source.random() < _BROKEN_SHARE:
                delay_s = left_s * self.source.random() ** 3
                self.after(delay_s, self._break, stream, stream.tries)
        else:
            self.streams.remove(stream)

    def send_origin(self, gateway, origin, then):
        """Sends an origin to its keepers, and calls something at each of them."""
        for host in versions.choose_keepers(origin.stream, self.gateways):
            keeper = self.gateways[host]
            if keeper is not gateway:
                self.counts.origins += 1
                self.send(
                    gateway, keeper, self._merge_origin, keeper, origin, then
                )

    def _merge_origin(self, keeper, origin, then):
        keeper.origins.merge(origin, self.now)
        then(keeper)

    def _end(self, stream, tries):
        if stream in self.streams and stream.tries == tries:
            self.streams.remove(stream)

    def _break(self, stream, tries=None):
        """Ends a connection; the client takes the stream up elsewhere."""
        is_other = tries is not None and tries != stream.tries
        if stream not in self.streams or is_other:
            return
        self.streams.remove(stream)
        stream.tries += 1
        if stream.tries <= _TRIES:
            delay_s = self.source.uniform(0.002, 0.3)
            self.after(delay_s, self._request, stream, self.take_up)


@attrs.frozen
class Choice:
    """Choices of a gateway for a stream."""

    fleet: Fleet
    gateway: Gateway

    def list_for_new(self):
        """Lists workers for a new stream, in the order of trial."""
        software = self.gateway.software
        now = self.fleet.now
        admitted = software.list_admitted(SERVICE, now)
        visible = software.list_visible(SERVICE, now)
        usable = self._list_usable(is_new=True)
        found = [one for one in usable if one.version in admitted]
        found = found or [one for one in usable if one.version in visible]
        if not self.gateway.origins.is_isolated(now):
            return found
        return [
            one
            for one in found
            if not software.needs_known_origin(SERVICE, one.version, now)
        ]

    def testify(self, stream_id):
        """Returns the version that must have begun a stream, or None."""
        now = self.fleet.now
        if not self.gateway.origins.is_witness(stream_id, now):
            return None
        return self.gateway.software.find_sole(SERVICE, now)

    def list_for(self, version):
        """Lists workers of a version, in the order of trial."""
        usable = self._list_usable(is_new=False)
        return [one for one in usable if one.version == version]

    def find_version(self, stream, then):
        """Finds the version of a stream and passes it on."""
        now = self.fleet.now
        possible = self.gateway.software.list_possible(SERVICE, now)
        own = self.gateway.origins.find(stream.resumes, now)
        version = versions.choose_version(possible, own)
        if version or not stream.resumes:
            then(version)
            return
        pending = [True]
        testimonies = self._list_own_testimony(stream.resumes)

        def answer(origin, testimony):
            if pending and (origin is not None):
                pending.clear()
                then(origin.version)
            testimonies.append(testimony)

        def decide(is_late):
            """Decides by the list, which may be recent by now."""
            possible = self.gateway.software.list_possible(
                SERVICE, self.fleet.now
            )
            sole = None
            if is_late:
                hosts = len(self.fleet.gateways)
                sole = versions.choose_sole(testimonies, hosts)
            found = versions.choose_version(possible, None, sole)
            if pending and (found or is_late):
                pending.clear()
                then(found)

        self._ask(stream.resumes, answer)
        if isinstance(possible, versions.Uncertain):
            exchange = Exchange(self.fleet, self.gateway)
            exchange.read_list(lambda: decide(is_late=False))
        self.fleet.after(
            _ANSWER_S, self.fleet.deliver, self.gateway, decide, True
        )

    def _list_own_testimony(self, stream_id):
        """Lists what the gateway states itself if it is a keeper."""
        hosts = versions.choose_keepers(stream_id, self.fleet.gateways)
        if self.gateway.host in hosts:
            return [self.testify(stream_id)]
        return []

    def _ask(self, stream_id, answer):
        fleet = self.fleet
        for host in versions.choose_keepers(stream_id, fleet.gateways):
            keeper = fleet.gateways[host]
            if keeper is self.gateway:
                continue

            def find(one=keeper):
                origin = one.origins.find(stream_id, fleet.now)
                testimony = Choice(fleet, one).testify(stream_id)
                fleet.send(one, self.gateway, answer, origin, testimony)

            fleet.counts.origins += 1
            fleet.send(self.gateway, keeper, find)

    def _list_usable(self, is_new):
        found = [
            one
            for one in self.gateway.workers.values()
            if one.id not in self.gateway.failed
            and not (is_new and one.draining)
        ]
        return self.fleet.source.sample(found, len(found))


@attrs.define(eq=False)
class Beginning:
    """A stream that begins once enough other gateways know its origin.

    :param confirmed: hosts of the gateways that know it.
    """

    fleet: Fleet
    gateway: Gateway
    stream: Stream
    worker: schema.serving.Worker
    confirmed: set[str] = attrs.field(factory=set)
    is_decided: bool = False

    def start(self):
        """Begins the stream, or asks others to confirm its origin."""
        now = self.fleet.now
        origins = self.gateway.origins
        origins.record(self.stream.resumes, self.worker, now)
        is_needed = self.gateway.software.needs_known_origin(
            SERVICE, self.worker.version, now
        )
        origin = origins.find(self.stream.resumes, now)
        if not (is_needed and origin and self._count_needed()):
            self.fleet.begin(self.stream, self.gateway, self.worker)
            return
        self._send(origin)
        deliver = self.fleet.deliver
        for sent in range(1, _CONFIRM_ROUNDS):
            delay_s = sent * _CONFIRM_S
            self.fleet.after(delay_s, deliver, self.gateway, self._send, origin)
        end_s = _CONFIRM_ROUNDS * _CONFIRM_S
        self.fleet.after(end_s, deliver, self.gateway, self._give_up)

    def _count_needed(self):
        hosts = self.fleet.gateways
        keepers = versions.choose_keepers(self.stream.resumes, hosts)
        is_keeper = self.gateway.host in keepers
        return versions.count_confirmations(len(hosts), is_keeper=is_keeper)

    def _send(self, origin):
        if not self.is_decided:
            self.fleet.send_origin(self.gateway, origin, self._answer)

    def _answer(self, keeper):
        self.fleet.counts.confirmations += 1
        self.fleet.send(keeper, self.gateway, self._confirm, keeper.host)

    def _confirm(self, host):
        self.confirmed.add(host)
        is_enough = len(self.confirmed) >= self._count_needed()
        if is_enough and not self.is_decided:
            self.is_decided = True
            self.gateway.origins.complete(self.stream.resumes)
            self.fleet.begin(self.stream, self.gateway, self.worker)

    def _give_up(self):
        if self.is_decided:
            return
        self.is_decided = True
        self.fleet.counts.unconfirmed += 1
        if not self.confirmed:
            self.gateway.origins.record_isolation(self.fleet.now)
        self.fleet.count_new(self.stream, self.gateway, is_served=False)


@attrs.frozen
class Exchange:
    """Exchange of a gateway with the store and the others."""

    fleet: Fleet
    gateway: Gateway

    def tick(self):
        """Does what is due."""
        if not self.gateway.is_up:
            return
        self.fleet.after(_TICK_S, self.tick)
        if self.gateway.is_suspended:
            return
        self._renew_list()
        self._gossip()
        sync = self.gateway.sync
        if self.fleet.now < sync.calls_until_s or sync.list_s < 0:
            return
        if not self.gateway.software.is_loaded:
            self._call_row(self._load)
        elif self._is_write_due():
            self._call_row(self._store)

    def apply_list(self, workers, read_s):
        """Applies a list or the confirmation of one."""
        sync = self.gateway.sync
        if read_s <= sync.list_s:
            return
        sync.list_s = read_s
        for worker in workers.values():
            known = self.gateway.workers.get(worker.id)
            if known is not None and known != attrs.evolve(
                worker, draining=known.draining
            ):
                self.gateway.origins.forget_restarted(worker.id, self.fleet.now)
                if known.version != worker.version:
                    self.gateway.software.forget_sole(SERVICE)
        self.gateway.workers = dict(workers)
        self.gateway.failed.clear()
        if self.gateway.software.record_list(
            workers.values(), read_s, self.fleet.now
        ):
            self._tell(self.fleet.gateways)

    def _renew_list(self):
        sync = self.gateway.sync
        now = self.fleet.now
        if now - sync.list_s >= _OWN_READ_S and now >= sync.reads_until_s:
            sync.reads_until_s = now + _CALL_TIMEOUT_S
            self.read_list()

    def read_list(self, then=None):
        """Reads the list from the store, and calls something after it."""
        sent_s = self.fleet.now

        def apply(workers):
            self.apply_list(workers, sent_s)
            if then is not None:
                then()

        self.fleet.call_store(
            self.gateway, self.fleet.store.read_workers, apply
        )

    def _gossip(self):
        sync = self.gateway.sync
        if self.gateway.software.is_settled:
            return
        if self.fleet.now - sync.gossip_s >= _GOSSIP_S:
            sync.gossip_s = self.fleet.now
            hosts = sorted(self.fleet.gateways)
            self._tell(self.fleet.source.sample(hosts, min(3, len(hosts))))

    def _tell(self, hosts):
        """Sends all records, once the process knows what is stored."""
        if not self.gateway.software.is_loaded:
            return
        records = self.gateway.software.list_records(self.fleet.now)
        for host in tuple(hosts):
            other = self.fleet.gateways[host]
            if other is not self.gateway:
                self.fleet.counts.records += 1
                merge = Exchange(self.fleet, other).merge
                self.fleet.send(self.gateway, other, merge, records)

    def merge(self, records):
        """Merges the records of another gateway."""
        if self.gateway.software.merge(records, self.fleet.now):
            self._tell(self.fleet.gateways)

    def _is_write_due(self):
        sync = self.gateway.sync
        software = self.gateway.software
        now = self.fleet.now
        is_pruned = bool(sync.row_keys - software.list_keys())
        is_due = is_pruned or sync.era > sync.row_era
        if not is_due and not software.list_unstored():
            sync.unstored_s = math.inf
            return False
        sync.unstored_s = min(sync.unstored_s, now)
        key = ' '.join(version for _, version in sorted(software.list_keys()))
        hosts = serving.rank_names(key, self.fleet.gateways)
        rank = min(hosts.index(self.gateway.host), _MAX_RANK)
        return now - sync.unstored_s >= rank * _RANK_DELAY_S

    def _call_row(self, then):
        sent_s = self.fleet.now
        self.gateway.sync.calls_until_s = sent_s + _CALL_TIMEOUT_S

        def read():
            return (*self.fleet.store.read_row(), self.fleet.now)

        self.fleet.call_store(
            self.gateway, read, lambda found: then(sent_s, *found)
        )

    def _load(self, sent_s, row, number, era, answered_s):
        """Merges the row; a process serves from its first load on."""
        now = self.fleet.now
        software = self.gateway.software
        self._remember(row, number, era)
        if row is None:
            software.load((), now, now, now, sent_s)
        else:
            # The later of the possible times: ages must not grow.
            written_s = row.store_s - _STORE_OFFSET_S + now - answered_s
            known_s = written_s - row.known_age_ms / _MS_PER_S
            if row.era != era:
                known_s = now
            software.load(row.versions, written_s, known_s, now, sent_s)
        self.gateway.sync.calls_until_s = now
        if not self.gateway.is_serving:
            self.gateway.is_serving = True
            self.gateway.disturbed_s = max(self.gateway.disturbed_s, now)

    def _remember(self, row, number, era):
        sync = self.gateway.sync
        rows = () if row is None else row.versions
        sync.row_keys = frozenset((one.service, one.version) for one in rows)
        sync.row_number = number
        sync.era = max(sync.era, era)
        sync.row_era = 0 if row is None else row.era

    def _store(self, sent_s, row, number, era, answered_s):
        software = self.gateway.software
        sync = self.gateway.sync
        known = software.list_keys()
        is_pruning = (number, era) == (sync.row_number, sync.row_era)
        if not is_pruning:
            self._load(sent_s, row, number, era, answered_s)
            if sync.row_era == era and known <= sync.row_keys:
                return
        written = schema.records.VersionsRow(
            store_s=answered_s + _STORE_OFFSET_S,
            era=era,
            known_age_ms=int(software.get_known_age_s(sent_s) * _MS_PER_S),
            versions=software.list_records(sent_s),
        )
        self.fleet.call_store(
            self.gateway,
            lambda: self.fleet.store.write_row(number, written),
            lambda is_done: self._confirm(is_done, written, number + 1),
        )
        sync.calls_until_s = self.fleet.now + _CALL_TIMEOUT_S

    def _confirm(self, is_done, row, number):
        sync = self.gateway.sync
        sync.calls_until_s = self.fleet.now
        if is_done:
            self._remember(row, number, row.era)
            self.gateway.software.record_stored(sync.row_keys, self.fleet.now)
            self._tell(self.fleet.gateways)


def make_fleet(size, seed, version='1', workers=4):
    """Makes a fleet that has served one version for long."""
    fleet = Fleet(random.Random(seed))
    fleet.store.row = schema.records.VersionsRow(
        store_s=fleet.now + _STORE_OFFSET_S,
        era=fleet.store.era,
        known_age_ms=10**6,
        versions=(
            schema.records.VersionRecord(
                service=SERVICE, version=version, stored_age_ms=10**6
            ),
        ),
    )
    fleet.store.take_copy()
    for number in range(workers):
        add_worker(fleet, f'w{number}', version)
    for number in range(size):
        fleet.start(f'g{number}')
    fleet.lead()
    fleet.run(4)
    return fleet


def add_worker(fleet, worker_id, version):
    """Starts a worker, which registers itself."""
    worker = schema.serving.Worker(
        id=worker_id,
        service=SERVICE,
        version=version,
        stage=schema.serving.Stage.DECODE,
        born_ms=int(fleet.now * _MS_PER_S),
    )
    fleet.running[worker_id] = worker
    fleet.store.listed[worker_id] = worker


def drain_worker(fleet, worker_id, drain_s=2.0):
    """Lets a worker leave: it drains, is removed and serves a little longer."""
    worker = fleet.running.get(worker_id)
    if worker is None:
        return
    fleet.running[worker_id] = attrs.evolve(worker, draining=True)
    fleet.store.listed[worker_id] = fleet.running[worker_id]
    fleet.after(drain_s, _remove, fleet.store.listed, worker_id, worker)
    fleet.after(drain_s + 1, _remove, fleet.running, worker_id, worker)


def _remove(workers, worker_id, worker):
    known = workers.get(worker_id)
    if known is not None and known.born_ms == worker.born_ms:
        del workers[worker_id]


def crash_worker(fleet, worker_id, expiry_s=3.0):
    """Ends a worker, whose entry expires."""
    worker = fleet.running.pop(worker_id, None)
    if worker is not None:
        fleet.after(expiry_s, _remove, fleet.store.listed, worker_id, worker)
