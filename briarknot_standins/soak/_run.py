"""Runs a soak and checks the guarantees of the gateway."""

import asyncio
import collections
import pathlib
import random
import shutil
import time

import aiohttp

from briarknot_standins import launcher
from briarknot_standins.soak import (
    _attempts,
    _clients,
    _config,
    _faults,
    _fleet,
)

#: Mean time between two faults; they overlap, as each lasts up to 3 s.
_MEAN_FAULT_INTERVAL_S = 0.8
#: Time after the last fault within which requests must be served again: the
#: users' bound for a recovery.
_RECOVERY_S = 12.0
#: Share of the requests after the recovery that must be served.
_MIN_SERVED_SHARE = 0.9
_AFTER_RECOVERY_S = 2.0
#: Time in which a late run of a refused request would reach a worker.
_LATE_RUN_WAIT_S = 1.0
_TRACEBACK = 'Traceback'
#: Length to which a report cuts a traceback; enough for the innermost calls.
_MAX_TRACEBACK_CHARACTERS = 6000


async def run_soak(config: _config.SoakConfig) -> _config.Report:
    """Runs the faults of one seed.

    :param config: configuration.
    :returns: the results.
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
                await _inject_faults(fleet, report)
                await asyncio.sleep(_RECOVERY_S)
                recovered_s = time.monotonic()
                await asyncio.sleep(_AFTER_RECOVERY_S)
                clients.stopping.set()
        await asyncio.sleep(_LATE_RUN_WAIT_S)
        _check_attempts(
            clients.attempts, _count_runs(cluster), recovered_s, report
        )
        _check_streams(clients.streams, report)
        _check_tracebacks(cluster, report)
        if report.findings and config.keep:
            shutil.copytree(
                cluster.folder, pathlib.Path(config.keep), dirs_exist_ok=True
            )
    return report


async def _inject_faults(fleet: _fleet.Fleet, report: _config.Report) -> None:
    source = random.Random(fleet.config.seed)
    end_s = time.monotonic() + fleet.config.seconds
    tasks: dict[str, asyncio.Task] = {}
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            name = source.choice(_faults.FAULTS.names)
            fault_source = random.Random(source.random())
            # Two faults of a kind may hit the same target, and the first one to
            # end would revert the second one too.
            if name not in tasks or tasks[name].done():
                report.faults.append(name)
                tasks[name] = group.create_task(
                    _faults.FAULTS.get(name)(fleet, fault_source)
                )
            await asyncio.sleep(source.uniform(0, 2 * _MEAN_FAULT_INTERVAL_S))


def _count_runs(cluster: launcher.Cluster) -> collections.Counter:
    runs: collections.Counter = collections.Counter()
    for process in cluster.processes:
        for line in process.read_output().splitlines():
            if line.startswith('run '):
                runs[line.removeprefix('run ').strip()] += 1
    return runs


def _check_attempts(
    attempts: list[_attempts.Attempt],
    runs: collections.Counter,
    recovered_s: float,
    report: _config.Report,
) -> None:
    after_recovery = []
    for attempt in attempts:
        report.answers[attempt.kind, attempt.status] += 1
        run_count = runs[attempt.id]
        if attempt.kind == 'booking' and run_count > 1:
            report.findings.append(
                f'{attempt.id}: a booking ran {run_count} times'
            )
        if (
            attempt.status in _attempts.NOT_RUN_STATUSES
            and run_count
            and attempt.kind == 'booking'
        ):
            report.findings.append(
                f'{attempt.id}: answered {attempt.status}, but it ran'
            )
        if attempt.violation:
            report.findings.append(f'{attempt.id}: {attempt.violation}')
        if attempt.sent_s >= recovered_s:
            after_recovery.append(attempt)
    served = sum(sent.status in {200, 500} for sent in after_recovery)
    if not after_recovery or served < _MIN_SERVED_SHARE * len(after_recovery):
        report.findings.append(
            f'{served} of {len(after_recovery)} requests served after the faults'
        )


def _check_streams(
    streams: list[_attempts.Stream], report: _config.Report
) -> None:
    for stream in streams:
        report.streams.update(stream.count())
        if stream.violation:
            report.findings.append(f'{stream.id}: {stream.violation}')


def _check_tracebacks(
    cluster: launcher.Cluster, report: _config.Report
) -> None:
    for process in cluster.processes:
        parts = process.read_output().partition(_TRACEBACK)
        if parts[1]:
            # The folder of the logs is deleted before the report is printed.
            details = parts[-1][:_MAX_TRACEBACK_CHARACTERS]
            report.findings.append(
                f'{process.name}: traceback in its log: {details}'
            )
