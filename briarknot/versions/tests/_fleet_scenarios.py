"""Releases and disturbances that befall a simulated fleet."""

import attrs

from briarknot.versions.tests import _fleet_simulation as simulation


@attrs.define(eq=False)
class Releases:
    """Changes the versions of the workers, again and again.

    :param newest: number of the version that was released last.
    :param serving: version of the workers that stay.
    """

    fleet: simulation.Fleet
    newest: int = 1
    serving: str = '1'
    is_restarting: bool = False
    pause_s: tuple[float, float] = (4, 16)
    _number: int = 0

    def step(self):
        """Begins one change, and schedules the next one."""
        self.change()
        self.fleet.after(self.fleet.source.uniform(*self.pause_s), self.step)

    def change(self):
        """Begins one change."""
        source = self.fleet.source
        changes = [self.release, self._release_briefly, self._roll_back]
        if self.is_restarting:
            changes.append(self._restart)
        source.choice(changes)()

    def release(self):
        """Replaces all workers by those of a new version."""
        self.newest += 1
        self._replace(str(self.newest))

    def _roll_back(self):
        self._replace(str(self.fleet.source.randint(1, self.newest)))

    def _replace(self, version):
        """Replaces workers one by one: the new one starts first."""
        source = self.fleet.source
        leaving = sorted(self.fleet.running)
        self.serving = version
        pause_s = source.choice((0.1, 0.5, 1.5))
        for position, worker_id in enumerate(leaving):
            self.fleet.after(position * pause_s, self._add, version)
            self.fleet.after(position * pause_s + 0.2, self._leave, worker_id)

    def release_briefly(self, lived_s, expiry_s):
        """Starts a version whose workers live for a few seconds only."""
        self.newest += 1
        for _ in range(self.fleet.source.randint(2, 4)):
            worker_id = self._add(str(self.newest))
            crash = simulation.crash_worker
            self.fleet.after(lived_s, crash, self.fleet, worker_id, expiry_s)

    def _release_briefly(self):
        lived_s = self.fleet.source.uniform(0.5, 4)
        expiry_s = self.fleet.source.choice((0, 0.5, 3))
        self.release_briefly(lived_s, expiry_s)

    def _restart(self):
        """Starts a worker again under its id, with another version."""
        worker_id = self.fleet.source.choice(sorted(self.fleet.running))
        self.fleet.running.pop(worker_id)
        self.newest += 1
        delay_s = self.fleet.source.uniform(0.05, 1)
        self.fleet.after(
            delay_s,
            simulation.add_worker,
            self.fleet,
            worker_id,
            str(self.newest),
        )

    def _add(self, version):
        self._number += 1
        worker_id = f'v{self._number}'
        simulation.add_worker(self.fleet, worker_id, version)
        return worker_id

    def _leave(self, worker_id):
        drain_s = self.fleet.source.uniform(0.5, 3)
        simulation.drain_worker(self.fleet, worker_id, drain_s)


@attrs.define(eq=False)
class Disturbances:
    """Disturbs gateways and the store, each few seconds.

    :param all_kills_left: how often all gateways may still be killed at once.
    """

    fleet: simulation.Fleet
    mean_s: float = 2.5
    all_kills_left: int = 3

    def step(self):
        """Begins one disturbance, and schedules the next one."""
        self.disturb()
        delay_s = self.fleet.source.expovariate(1 / self.mean_s)
        self.fleet.after(delay_s, self.step)

    def disturb(self):
        """Begins one disturbance."""
        source = self.fleet.source
        source.choice(
            (
                self._kill_some,
                self._kill_all,
                self._cut_off,
                self._cut_off,
                self._suspend,
                self._slow,
                self._stop_store,
                self._refuse,
                self._restore,
            )
        )()

    def _draw_hosts(self):
        """Draws one host, a third or nearly all of them."""
        hosts = sorted(self.fleet.gateways)
        size = self.fleet.source.choice((1, 1, len(hosts) // 3, len(hosts) - 1))
        return self.fleet.source.sample(hosts, size)

    def _draw_s(self):
        return self.fleet.source.choice((0.5, 1.5, 2.5, 5, 12))

    def _kill_some(self):
        down_s = self.fleet.source.uniform(0.1, 3)
        self.fleet.kill(self._draw_hosts(), down_s)

    def _kill_all(self):
        if self.all_kills_left:
            self.all_kills_left -= 1
            self.fleet.kill(sorted(self.fleet.gateways))

    def _cut_off(self):
        seconds = self._draw_s()
        cuts = (('peers',), ('store',), ('peers', 'store'))
        cut_from = self.fleet.source.choice(cuts)
        for host in self._draw_hosts():
            gateway = self.fleet.gateways[host]
            self.fleet.disturb(gateway, seconds, cut_from)

    def _suspend(self):
        seconds = self._draw_s()
        for host in self._draw_hosts():
            self.fleet.suspend(host, seconds)

    def _slow(self):
        seconds = self._draw_s()
        slowness = self.fleet.source.choice((5, 20, 60))
        for host in self._draw_hosts():
            gateway = self.fleet.gateways[host]
            self.fleet.disturb(gateway, seconds, slowness=slowness)

    def _stop_store(self):
        self.fleet.store.is_up = False
        self.fleet.after(self._draw_s(), self._start_store)

    def _start_store(self):
        self.fleet.store.is_up = True

    def _refuse(self):
        hosts = self._draw_hosts()
        self.fleet.store.refused.update(hosts)
        self.fleet.after(
            self._draw_s(), self.fleet.store.refused.difference_update, hosts
        )

    def _restore(self):
        if self.fleet.source.choice((True, False)):
            self.fleet.store.take_copy()
        else:
            self.fleet.store.restore()


@attrs.define(eq=False)
class Episodes:
    """Disturbs a fleet around each change, after calm with one version."""

    releases: Releases
    disturbances: Disturbances
    period_s: float = 24

    def step(self):
        """Begins one episode, and schedules the next one."""
        fleet = self.releases.fleet
        begin = fleet.source.choice(
            (
                self._disturb,
                self._kill_all,
                self._restore,
                self._cut_off,
                self._cut_off_peers,
            )
        )
        begin()
        fleet.after(self.period_s, self.step)

    def _disturb(self):
        """Disturbs the fleet at random around one or two changes."""
        fleet = self.releases.fleet
        source = fleet.source
        for _ in range(source.randint(1, 5)):
            delay_s = source.uniform(0, 4)
            fleet.after(delay_s, self.disturbances.disturb)
        for _ in range(source.randint(1, 2)):
            fleet.after(source.uniform(0, 5), self.releases.change)

    def _kill_all(self):
        """Kills all gateways when a version has just left the list."""
        fleet = self.releases.fleet
        lived_s = fleet.source.uniform(2.5, 5)
        self.releases.release_briefly(lived_s, expiry_s=0)
        fleet.after(
            lived_s + fleet.source.uniform(0, 2),
            fleet.kill,
            sorted(fleet.gateways),
        )

    def _restore(self):
        """Restores the store when a version has just left the list."""
        fleet = self.releases.fleet
        fleet.store.take_copy()
        lived_s = fleet.source.uniform(2.5, 5)
        self.releases.release_briefly(lived_s, expiry_s=0)
        restore_s = lived_s + fleet.source.uniform(-0.5, 1)
        fleet.after(restore_s, fleet.store.restore)
        kill_s = restore_s + fleet.source.uniform(0, 1)
        fleet.after(kill_s, fleet.kill, sorted(fleet.gateways))

    def _cut_off_peers(self):
        """Cuts all gateways off from each other while versions change."""
        fleet = self.releases.fleet
        seconds = fleet.source.uniform(2, 9)
        for gateway in fleet.gateways.values():
            fleet.disturb(gateway, seconds, ('peers',))
        for _ in range(2):
            delay_s = fleet.source.uniform(0, seconds)
            fleet.after(delay_s, self.releases.change)

    def _cut_off(self):
        """Cuts gateways off while a version is listed."""
        fleet = self.releases.fleet
        lived_s = fleet.source.uniform(2.5, 5)
        fleet.after(0.3, self.releases.release_briefly, lived_s, 0)
        hosts = fleet.source.sample(
            sorted(fleet.gateways), len(fleet.gateways) // 2
        )
        for host in hosts:
            cut_s = lived_s + fleet.source.uniform(0, 1)
            gateway = fleet.gateways[host]
            fleet.disturb(gateway, cut_s, ('peers', 'store'))


def make_episodes(fleet):
    """Makes episodes in which all gateways may be killed at any time."""
    disturbances = Disturbances(fleet, all_kills_left=10**6)
    return Episodes(Releases(fleet), disturbances)


def load_streams(fleet, per_s, seconds):
    """Begins streams at a steady rate for a time."""
    for _ in range(int(per_s * seconds)):
        fleet.open(fleet.source.uniform(0.2, 3))
        fleet.run(1 / per_s)
