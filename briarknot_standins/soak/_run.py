"""Runs a soak and checks the promises."""

import asyncio
import collections
import pathlib
import random
import shutil
import time

import aiohttp

from briarknot_standins import launcher
from briarknot_standins.soak import _clients, _config, _faults, _fleet

#: Statuses that promise that a request has not run and never will.
_PROMISES = frozenset((408, 421, 429, 503))
#: Time between two faults; they overlap, as each lasts up to three seconds.
_GAP_S = 0.8
#: Time in which requests must be served again after the last fault, as the
#: users' bound for a recovery says.
_RECOVERY_S = 12.0
#: Share of the requests after the recovery that must be served.
_SERVED_SHARE = 0.9
_CALM_S = 2.0
#: Time in which a late run of a refused request would show itself.
_LATE_S = 1.0
_TRACEBACK = 'Traceback'
#: Part of a traceback that a report shows; its last calls are within it.
_TRACEBACK_CHARACTERS = 6000


async def run_soak(config: _config.SoakConfig) -> _config.Report:
    """Runs the faults of one seed.

    :param config: configuration.
    :returns: what was seen.
    """
    report = _config.Report(config)
    async with launcher.make_cluster() as cluster:
        async with aiohttp.ClientSession() as session:
            fleet = _fleet.Fleet(config, cluster, session)
            await fleet.start()
            clients = _clients.Clients(fleet, config.seed)
            async with asyncio.TaskGroup() as group:
                for number in range(config.clients):
                    group.create_task(clients.run(number))
                await _inject(fleet, report)
                await asyncio.sleep(_RECOVERY_S)
                calm_s = time.monotonic()
                await asyncio.sleep(_CALM_S)
                clients.stopping.set()
        await asyncio.sleep(_LATE_S)
        _check(clients.seen, _count_runs(cluster), calm_s, report)
        _check_exits(cluster, report)
        if report.findings and config.keep:
            shutil.copytree(
                cluster.folder, pathlib.Path(config.keep), dirs_exist_ok=True
            )
    return report


async def _inject(fleet: _fleet.Fleet, report: _config.Report) -> None:
    source = random.Random(fleet.config.seed)
    end_s = time.monotonic() + fleet.config.seconds
    tasks: dict[str, asyncio.Task] = {}
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            name = source.choice(_faults.FAULTS.names)
            fault_source = random.Random(source.random())
            # A second fault of a kind would undo the first one.
            if name not in tasks or tasks[name].done():
                report.faults.append(name)
                tasks[name] = group.create_task(
                    _faults.FAULTS.get(name)(fleet, fault_source)
                )
            await asyncio.sleep(source.uniform(0, 2 * _GAP_S))


def _count_runs(cluster: launcher.Cluster) -> collections.Counter:
    runs: collections.Counter = collections.Counter()
    for process in cluster.processes:
        for line in process.read_output().splitlines():
            if line.startswith('run '):
                runs[line.removeprefix('run ').strip()] += 1
    return runs


def _check(
    seen: list[_clients.Seen],
    runs: collections.Counter,
    calm_s: float,
    report: _config.Report,
) -> None:
    calm = []
    for one in seen:
        report.answers[one.kind, one.status] += 1
        ran = runs[one.id]
        if one.kind == 'booking' and ran > 1:
            report.findings.append(f'{one.id}: a booking ran {ran} times')
        if one.status in _PROMISES and ran and one.kind == 'booking':
            report.findings.append(f'{one.id}: {one.status}, and it ran')
        if one.fault:
            report.findings.append(f'{one.id}: {one.fault}')
        if one.sent_s >= calm_s:
            calm.append(one)
    served = sum(last.status in {200, 500} for last in calm)
    if not calm or served < _SERVED_SHARE * len(calm):
        report.findings.append(
            f'{served} of {len(calm)} requests served after the faults'
        )


def _check_exits(cluster: launcher.Cluster, report: _config.Report) -> None:
    for process in cluster.processes:
        found = process.read_output().partition(_TRACEBACK)
        if found[1]:
            # The folder of the logs is gone when the report is read.
            details = found[-1][:_TRACEBACK_CHARACTERS]
            report.findings.append(
                f'{process.name}: a traceback in its log: {details}'
            )
