"""Compares failure detectors at 8, 20 and 70 members of a failure domain.

Run as ``python -m benchmarks.membership RESULT.json``. All detectors run with
the same periods. Each group of members is one process with real UDP traffic
on loopback. A pause is simulated by not running a member's task.
"""

import asyncio
import collections.abc
import concurrent.futures
import json
import pathlib
import statistics
import sys
import time

import attrs
import rich.console
import rich.table

from benchmarks import _membership_group
from briarknot import membership, schema

_SIZES = (8, 20, 70)
#: Concurrent groups; each needs a few hundredths of a core.
_MAX_PROCESSES = 5
_WARM_UP_S = 3
_IDLE_S = 5
_SHORT_PAUSE_S = 1.5
_LONG_PAUSE_S = 6
_SETTLE_S = 3
_CRASH_GAP_S = 1.1
_DETECTION_TIMEOUT_S = 20
_POLL_S = 0.1


@attrs.frozen(kw_only=True)
class Result:
    """Figures of one detector at one size.

    :param detect_first_s: median time from a crash to its first suspicion.
    :param detect_all_s: median time until all members suspect it.
    :param detect_worst_s: maximum of the same time over the single crashes.
    :param rack_all_s: time until all members suspect all hosts of a rack, a
        quarter of the group, that crash at once.
    :param undetected: pairs of a member and a crashed host that it does not
        suspect at the end.
    :param wrong_short: false suspicions, by any member, during pauses that are
        shorter than the timeout.
    :param wrong_long: false suspicions of members that were not paused, during
        pauses that are longer than the timeout.
    :param refuted_s: time from the end of the long pauses until no member
        suspects a live one; None where it took longer than the settling time.
    :param traffic_bytes_per_s: bytes sent and received by a node, with UDP and
        IP headers, while nothing fails.
    :param peak_bytes_per_s: the same while the crash of the rack is detected.
    :param messages_per_s: messages sent by a node while nothing fails.
    :param cpu_share: share of a core that a node uses while nothing fails.
    """

    detector: str
    members: int
    detect_first_s: float
    detect_all_s: float
    detect_worst_s: float
    rack_all_s: float
    undetected: int
    wrong_short: int
    wrong_long: int
    refuted_s: float | None
    traffic_bytes_per_s: float
    peak_bytes_per_s: float
    messages_per_s: float
    cpu_share: float


@attrs.define(eq=False)
class _Group:
    platform: _membership_group.Platform
    nodes: dict[str, _membership_group.Node]
    tasks: dict[str, asyncio.Task[None]]
    changes: list[_membership_group.SuspicionChange]

    def crash(self, hosts: collections.abc.Iterable[str]) -> None:
        for host in hosts:
            self.tasks.pop(host).cancel()
            self.nodes.pop(host).port.close()
        self.platform.publish(sorted(self.nodes))

    def count_traffic(self) -> int:
        return sum(node.port.traffic_bytes for node in self.nodes.values())

    def count_messages(self) -> int:
        return sum(node.port.messages for node in self.nodes.values())

    def compute_detection_times(
        self, subject: str, since_s: float
    ) -> list[float]:
        """Returns each member's time from the crash to its suspicion."""
        first: dict[str, float] = {}
        for change in self.changes:
            is_later = change.at_s > since_s and change.suspected
            if is_later and change.subject == subject:
                first.setdefault(change.observer, change.at_s - since_s)
        return [first[host] for host in self.nodes if host in first]

    def count_undetected(self, crashed: collections.abc.Iterable[str]) -> int:
        return sum(
            not node.view.get(host).is_suspected
            for node in self.nodes.values()
            for host in crashed
        )

    def count_false_suspicions(
        self, since: int, ignored_hosts: set[str]
    ) -> int:
        return sum(
            change.suspected and change.subject not in ignored_hosts
            for change in self.changes[since:]
        )

    async def wait_detected(self, crashed: list[str]) -> None:
        for _ in range(int(_DETECTION_TIMEOUT_S / _POLL_S)):
            if not self.count_undetected(crashed):
                return
            await asyncio.sleep(_POLL_S)


async def _make_group(detector: str, size: int) -> _Group:
    hosts = [f'obb-{number:03}' for number in range(size)]
    ports = {host: await _membership_group.open_port() for host in hosts}
    platform = _membership_group.Platform(await _membership_group.open_port())
    group = _Group(platform, {}, {}, [])
    addresses = {host: port.address for host, port in ports.items()}
    listed = [
        membership.ListedHost(host=host, domain=_membership_group.DOMAIN)
        for host in hosts
    ]
    for host, port in ports.items():
        view = membership.make_members(host, _membership_group.DOMAIN, 1)
        view.apply_hosts(listed, 0)
        for peer in hosts:
            # The first message on a link carries the incarnation.
            view.apply_hello(
                schema.messages.Hello(
                    host=peer,
                    domain=_membership_group.DOMAIN,
                    program='entry',
                    incarnation=1,
                )
            )
        group.nodes[host] = _membership_group.Node(
            host=host,
            port=port,
            view=view,
            detector=membership.make_detector(
                view, _membership_group.TIMES, detector
            ),
            platform=platform.port.address,
            polls=detector == 'platform_list',
            addresses=addresses,
            changes=group.changes,
        )
    platform.publish(hosts)
    group.tasks['platform'] = asyncio.create_task(platform.run())
    for host, node in group.nodes.items():
        group.tasks[host] = asyncio.create_task(node.run())
    return group


async def _measure_idle(group: _Group) -> dict[str, float]:
    cpu_s = time.process_time()
    traffic, messages = group.count_traffic(), group.count_messages()
    await asyncio.sleep(_IDLE_S)
    node_seconds = len(group.nodes) * _IDLE_S
    return {
        'traffic_bytes_per_s': (group.count_traffic() - traffic) / node_seconds,
        'messages_per_s': (group.count_messages() - messages) / node_seconds,
        'cpu_share': (time.process_time() - cpu_s) / node_seconds,
    }


async def _measure_pauses(group: _Group) -> dict[str, float | None]:
    hosts = sorted(group.nodes)
    before = len(group.changes)
    for host in hosts[1:4]:
        group.nodes[host].pause_s = _SHORT_PAUSE_S
    await asyncio.sleep(_SHORT_PAUSE_S + _SETTLE_S)
    wrong_short = group.count_false_suspicions(before, set())
    before = len(group.changes)
    paused = set(hosts[4:6])
    for host in paused:
        group.nodes[host].pause_s = _LONG_PAUSE_S
    await asyncio.sleep(_LONG_PAUSE_S)
    resumed_s = asyncio.get_running_loop().time()
    await asyncio.sleep(_SETTLE_S)
    last_s = max((change.at_s for change in group.changes), default=0)
    # No host has crashed, so no member may suspect another.
    is_settled = group.count_undetected(hosts) == len(hosts) ** 2
    return {
        'wrong_short': wrong_short,
        'wrong_long': group.count_false_suspicions(before, paused),
        'refuted_s': max(0, last_s - resumed_s) if is_settled else None,
    }


async def _measure_crashes(group: _Group) -> dict[str, float]:
    hosts = sorted(group.nodes)
    # Hosts with low numbers have been paused.
    crashed = hosts[-max(2, len(hosts) // 10) :]
    crashed_at_s = {}
    for crashed_host in crashed:
        crashed_at_s[crashed_host] = asyncio.get_running_loop().time()
        group.crash([crashed_host])
        await asyncio.sleep(_CRASH_GAP_S)
    await group.wait_detected(crashed)
    detections = [
        group.compute_detection_times(host, at_s)
        for host, at_s in crashed_at_s.items()
    ]
    last = [max(times, default=_DETECTION_TIMEOUT_S) for times in detections]
    return {
        'detect_first_s': statistics.median(
            min(times, default=_DETECTION_TIMEOUT_S) for times in detections
        ),
        'detect_all_s': statistics.median(last),
        'detect_worst_s': max(last),
        'undetected': group.count_undetected(crashed),
    }


async def _measure_rack(group: _Group) -> dict[str, float]:
    rack = sorted(group.nodes)[: len(group.nodes) // 4]
    started_s = asyncio.get_running_loop().time()
    group.crash(rack)
    traffic = group.count_traffic()
    await group.wait_detected(rack)
    elapsed_s = asyncio.get_running_loop().time() - started_s
    traffic = group.count_traffic() - traffic
    return {
        'rack_all_s': elapsed_s,
        'peak_bytes_per_s': traffic / elapsed_s / len(group.nodes),
        'undetected': group.count_undetected(rack),
    }


async def _measure(detector: str, size: int) -> Result:
    group = await _make_group(detector, size)
    await asyncio.sleep(_WARM_UP_S)
    figures = await _measure_idle(group)
    figures |= await _measure_pauses(group)
    figures |= await _measure_crashes(group)
    rack = await _measure_rack(group)
    rack['undetected'] += figures['undetected']
    for task in group.tasks.values():
        task.cancel()
    return Result(detector=detector, members=size, **figures | rack)


def _run_group(detector: str, size: int) -> Result:
    return asyncio.run(_measure(detector, size))


def _print_table(results: list[Result]) -> None:
    table = rich.table.Table()
    for attribute in attrs.fields(Result):
        table.add_column(attribute.name, justify='right', overflow='fold')
    for result in results:
        table.add_row(
            *[
                f'{figure:.4g}' if isinstance(figure, float) else str(figure)
                for figure in attrs.astuple(result)
            ]
        )
    rich.console.Console(width=200).print(table)


def main() -> None:
    """Measures all detectors at all sizes and writes the results."""
    started_s = time.monotonic()
    cases = [
        (detector, size)
        for detector in membership.DETECTORS.names
        for size in _SIZES
    ]
    with concurrent.futures.ProcessPoolExecutor(_MAX_PROCESSES) as pool:
        results = list(pool.map(_run_group, *zip(*cases, strict=True)))
    _print_table(results)
    report = {
        'heartbeat_s': _membership_group.TIMES.heartbeat_s,
        'suspect_after_s': _membership_group.TIMES.suspect_after_s,
        'list_lag_s': _membership_group.LIST_LAG_S,
        'list_poll_s': _membership_group.LIST_POLL_S,
        'short_pause_s': _SHORT_PAUSE_S,
        'long_pause_s': _LONG_PAUSE_S,
        'duration_s': time.monotonic() - started_s,
        'results': [attrs.asdict(result) for result in results],
    }
    pathlib.Path(sys.argv[1]).write_text(json.dumps(report, indent=2) + '\n')


if __name__ == '__main__':
    main()
