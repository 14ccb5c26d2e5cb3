"""Plain forms of the policies, which compute each worker's cost by itself."""

from briarknot import serving
from briarknot.serving import (
    _chance,
    _lateness,
    _prefill_time,
    _transfers,
)

NOW = 100.0
TOPOLOGY = serving.Topology(
    'a', {'a': 'north', 'b': 'north', 'c': 'south', 'd': 'south', 'e': ''}
)


class PlainPlacement:
    """Placement policy that computes each candidate by itself."""

    def __init__(self, view, prompt):
        """Remembers the inputs."""
        self.view = view
        self.prompt = prompt
        self.caches = view.load.caches
        self.workers = (*view.prefills, *view.decodes)

    def place(self):
        """Chooses the worker with the lowest expected cost."""
        view, prompt = self.view, self.prompt
        shared = sum(part.tokens for part in prompt.parts[:-1])
        held = {
            one.id
            for one in self.workers
            if self.caches.count_cached(one.id, prompt) >= shared
        }
        first = ()
        if shared and not held:
            first = self.rank(view.prefills or view.decodes)[:1]
        candidates = [
            self.estimate(worker, is_first=worker in first)
            for workers in (view.prefills, view.decodes)
            for worker in self.list_candidates(workers, held)
        ]
        if not candidates:
            return None
        costs = [self.compute_cost(one) for one in candidates]
        cheapest = candidates[costs.index(min(costs))]
        if cheapest.prefill_worker in first:
            return cheapest
        spread = 0.015 * _chance.compute_share(view.processes)
        return _chance.choose_near_cheapest(
            candidates, costs, spread, view.random_source
        )

    def rank(self, workers):
        """Orders workers by the hash of the shared part."""
        return serving.rank_workers(self.prompt.shared_key, workers)

    def get_distance(self, worker):
        """Returns the distance to a worker."""
        return TOPOLOGY.compute_distance('a', worker.domain)

    def list_candidates(self, workers, held):
        """Lists the candidates of a stage."""
        if held and _transfers.is_known(self.view.limits):
            return workers
        ranked = self.rank(workers)
        candidates = [
            one for one in ranked if one in ranked[:2] or one.id in held
        ]
        least = min(
            workers,
            key=lambda one: (
                self.view.load.get_queued_work(one, NOW),
                self.get_distance(one),
            ),
            default=None,
        )
        if least is not None and least not in candidates:
            candidates.append(least)
        return candidates

    def choose_source(self, worker, cached):
        """Returns the best source of shared parts with its transfer time."""
        gains = [(0, 0, None, 0, 0)]
        for index, holder in enumerate(self.workers):
            held = self.caches.count_cached(holder.id, self.prompt, NOW)
            tokens = held - cached
            is_known = _transfers.is_known(self.view.limits)
            if tokens <= 0 or holder is worker or not is_known:
                continue
            if holder.version != worker.version:
                continue
            distance = TOPOLOGY.compute_distance(holder.domain, worker.domain)
            transfer_s = _transfers.compute_transfer_s(
                tokens, self.view.limits, distance
            )
            speed = _prefill_time.get_prefill_speed(worker.stage)
            gain_s = tokens / speed - transfer_s
            if gain_s > 0:
                gains.append((gain_s, -index, holder, tokens, transfer_s))
        return max(gains, key=lambda one: one[:2])[2:]

    def estimate(self, worker, *, is_first):
        """Estimates a placement."""
        view, prompt = self.view, self.prompt
        cached = self.caches.count_cached(worker.id, prompt)
        source, fetched, transfer_s = self.choose_source(worker, cached)
        uncached = max(1, prompt.tokens - cached - fetched)
        work = _prefill_time.compute_work(uncached, prompt.tokens)
        overhead_s = transfer_s + _prefill_time.get_overhead_s(
            self.get_distance(worker)
        )
        waiting = view.load.get_queued_work(worker, NOW)
        speed = _prefill_time.get_prefill_speed(worker.stage)
        prefill_s = (work + waiting) / speed
        record = view.worker_records.get(worker.id)
        ratio = record.get_work_time_ratio(NOW, prefill_s)
        unshared = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        return serving.Placement(
            prefill_worker=worker,
            expected_s=overhead_s
            + prefill_s * view.load.get_slowdown(worker) * ratio
            + view.turn_waits_s.get(worker.id, 0),
            uncached=uncached,
            work=work,
            recomputed_tokens=0 if is_first else max(0, uncached - unshared),
            prefill_s=prefill_s,
            overhead_s=overhead_s,
            cache_holder=source,
            fetched_tokens=fetched,
        )

    def compute_crowding_s(self, worker):
        """Returns the cost of decode workers that are busier than others."""
        decodes = self.view.decodes
        if len({one.version for one in decodes}) < 2:
            return 0
        shares = {
            one.id: self.view.load.work.get_total(one.id, NOW).streams
            / max(1, one.slots)
            for one in decodes
        }
        fitting = [
            shares[one.id] for one in decodes if one.version == worker.version
        ]
        return 0.5 * (min(fitting, default=1) - min(shares.values()))

    def compute_cost(self, placement):
        """Returns the cost of a placement."""
        view, worker = self.view, placement.prefill_worker
        waits = [view.load.get_queued_s(one, NOW) for one in self.workers]
        wait_s = sum(waits) / max(1, len(waits))
        record = view.worker_records.get(worker.id)
        cost_s = placement.expected_s + record.failure_rate
        recomputed_s = placement.recomputed_tokens / 55000
        cost_s += recomputed_s * 2 * (1 + 6 * wait_s)
        if self.get_distance(worker) == serving.Distance.OTHER_REGION:
            cost_s += 0.05
        if worker.id in view.turn_waits_s:
            cost_s += 0.5 / (1 + placement.work / 2000)
        holder = placement.cache_holder
        if holder is not None:
            distance = TOPOLOGY.compute_distance(holder.domain, worker.domain)
            cost_s += _transfers.compute_cost_s(
                placement.fetched_tokens, view.limits, distance
            )
        first_token_s = placement.expected_s
        speed = _prefill_time.get_prefill_speed(worker.stage)
        total = view.load.work.get_total(worker.id, NOW)
        if placement.is_colocated:
            cost_s += 0.5 * placement.work / speed
            cost_s += total.tokens / speed
        else:
            transfer_s = 0.04 + _prefill_time.get_call_s(
                self.get_distance(worker)
            )
            cost_s += transfer_s + self.compute_crowding_s(worker)
            first_token_s += transfer_s
        in_time = 1 - _lateness.compute_late_probability(
            first_token_s, view.target_s
        )
        if placement.is_colocated and view.event_gap_s:
            before, after = (
                _lateness.compute_late_probability(
                    view.load.gaps.estimate('s', work / speed),
                    view.event_gap_s,
                )
                for work in (total.tokens, total.tokens + placement.work)
            )
            in_time *= 1 - after
            cost_s += total.streams * (after - before)
        return cost_s + (1 - in_time)


def place(view, prompt):
    """Chooses the worker that prefills a prompt."""
    return PlainPlacement(view, prompt).place()


def choose_decode(view, workers, source):
    """Chooses the worker with the lowest load and transfer cost."""
    costs = []
    start = source.worker.domain if source else 'a'
    for worker in workers:
        record = view.worker_records.get(worker.id)
        work = view.load.work.get_total(worker.id, NOW)
        wait_s = view.load.get_queued_s(worker, NOW)
        late = 0
        if view.event_gap_s:
            late = _lateness.compute_late_probability(
                view.load.gaps.estimate(worker.service, wait_s),
                view.event_gap_s,
            )
        cost = (
            max(record.in_flight, work.streams) / max(1, worker.slots)
            + wait_s * 0.5
            + late * 0.5
            + record.failure_rate
            + view.turn_waits_s.get(worker.id, 0)
        )
        distance = TOPOLOGY.compute_distance(start, worker.domain)
        costs.append(cost + (0, 0.1, 0.35)[distance])
    spread = 0.02 * _chance.compute_share(view.processes)
    return _chance.choose_near_cheapest(
        workers, costs, spread, view.random_source
    )


def choose_plain(view, workers):
    """Chooses the worker with the lowest expected time to success."""
    costs = []
    for worker in workers:
        record = view.worker_records.get(worker.id)
        answer_s = record.answer_s or 0.08
        load = record.get_load(NOW)
        busy = record.in_flight
        if load is not None:
            busy = max(busy, load.running + load.waiting)
        distance = TOPOLOGY.compute_distance('a', worker.domain)
        cost = (
            (0, 0.01, 0.09)[distance]
            + answer_s
            * record.get_work_time_ratio(NOW, answer_s)
            * (1 + busy / max(1, worker.slots))
            + record.failure_rate * 0.6
            + view.turn_waits_s.get(worker.id, 0)
        )
        costs.append((cost, view.random_source.random(), worker))
    return min(costs, key=lambda one: one[:2])[-1]
