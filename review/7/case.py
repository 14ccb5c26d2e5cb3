"""Streams of a frozen machine can't be taken up again, as a release has begun."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
import fleet as fleets  # noqa: E402

WORKERS = [f'w{number}' for number in range(6)]
GATEWAYS = ['g0', 'g1', 'g2', 'g3']
FROZEN = 'g0'
STREAMS = 30
#: New streams per second at the other machines.
NEW_PER_S = 5
EVENTS = 70
EVENT_S = 0.1
DEADLINE_S = 14.0
#: Clients abandon a stream after a gap of two seconds, four times the objective of
#: 0.8 s or eight times the pause of 0.3 s, whichever is longest.
GAP_S = 3.2
#: As the sheets say.
RETRIES = 1
#: Time from the freeze to the start of the first worker of the newer software.
RELEASE_AFTER_S = 0.5
FREEZE_S = 4.0
MANIFEST = {
    'version': 3,
    'routes': [
        {
            'name': 'ask',
            'host': 'shop.example',
            'pathPrefix': '/ask/',
            'service': 'lm',
            'kind': 'streaming',
            'resumable': True,
            'maxAttempts': 2,
            'timeoutMs': 14000,
            'targetLatencyMs': 800,
            'gapTargetMs': 300,
            'priority': 0,
            'sticky': True,
        }
    ],
    'services': [
        {
            'name': 'lm',
            'healthPath': '/healthz',
            'maxConnections': 360,
            'engine': {'slots': 64, 'kvTokens': 473595, 'handleTtlS': 5},
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


class Client:
    """One request of a client, with its tries."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.events = []
        self.versions = []
        self.is_whole = False
        self.is_begun = False
        #: Whether it took its stream up again, and whether that went on.
        self.has_taken_up = False
        self.has_gone_on = False
        self.tries = 0

    async def run(self, gateways):
        """Sends the request, and again while its time and its retries allow."""
        end_s = time.monotonic() + DEADLINE_S
        while self.tries <= RETRIES and time.monotonic() < end_s:
            gateway = gateways[min(self.tries, len(gateways) - 1)]
            self.tries += 1
            known = len(self.events)
            status, retry_s = await self.send(gateway, end_s)
            got = len(self.events) - known
            self.is_begun = self.is_begun or bool(self.events)
            told = f'from event {known + 1}' if known else 'new'
            self.fleet.note(
                f'{self.name} try {self.tries} at {gateway} ({told}): {status},'
                f' {got} events{", whole" if self.is_whole else ""}'
            )
            if self.is_whole:
                return
            await asyncio.sleep(retry_s)

    async def send(self, gateway, end_s):
        """Sends one try; returns its status, and when to come back."""
        port = self.fleet.get_front(gateway)
        remaining_ms = int((end_s - time.monotonic()) * 1000)
        fields = {
            'Host': 'shop.example',
            'Request-Id': f'{self.name}-{self.tries}',
            'Deadline-Ms': str(remaining_ms),
            'Content-Length': '8',
        }
        takes_up = bool(self.events)
        if takes_up:
            self.has_taken_up = True
            fields['Last-Event-Id'] = str(len(self.events))
            fields['Resumes'] = f'{self.name}-1'
        lines = ''.join(
            f'{name}: {value}\r\n' for name, value in fields.items()
        )
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', port
                )
        except (OSError, TimeoutError) as error:
            return repr(error), 0
        try:
            writer.write(
                f'POST /ask/x HTTP/1.1\r\n{lines}\r\nquestion'.encode()
            )
            async with asyncio.timeout(GAP_S):
                status, answer = await fleets.read_head(reader)
            if status != 200:
                return status, float(answer.get('retry-after', 0))
            await self.read_events(reader, takes_up)
            return status, 0
        except TimeoutError:
            return 'no event for too long', 0
        except (asyncio.IncompleteReadError, OSError) as error:
            return repr(error)[:60], 0
        finally:
            writer.close()

    async def read_events(self, reader, takes_up):
        while True:
            async with asyncio.timeout(GAP_S):
                size = int((await reader.readline()).strip() or b'0', 16)
                data = await reader.readexactly(size + 2)
            if not size:
                self.is_whole = len(self.events) == EVENTS
                return
            for line in data.decode().splitlines():
                if line.startswith('data:'):
                    self.events.append(line)
                    self.versions.append(line.split()[1])
                    self.has_gone_on = self.has_gone_on or takes_up


async def send_new(fleet, clients):
    """Sends new requests to the other machines."""
    tasks = []
    others = [one for one in GATEWAYS if one != FROZEN]
    try:
        while True:
            number = len(tasks)
            client = Client(fleet, f'n{number:04d}')
            clients.append(client)
            at = others[number % len(others) :] + others
            tasks.append(asyncio.create_task(client.run(at)))
            await asyncio.sleep(1 / NEW_PER_S)
    except asyncio.CancelledError:
        await asyncio.wait(tasks)


async def freeze(fleet):
    await asyncio.sleep(0.9)
    fleet.note(f'{FROZEN} freezes')
    fleet.gateways[FROZEN].send_signal(signal.SIGSTOP)


async def play(fleet, trouble):
    await fleet.start_store(MANIFEST)
    for number, worker in enumerate(WORKERS):
        fleet.start_worker(
            worker,
            'lm',
            zone='abc'[number % 3],
            stage='decode',
            events=EVENTS,
            event_s=EVENT_S,
        )
    for worker in WORKERS:
        await fleet.wait_worker(worker)
    for name, zone in zip(GATEWAYS, 'abca', strict=True):
        fleet.make_settings(name, zone)
        fleet.start_gateway(name)
    for name in GATEWAYS:
        await fleet.wait_ready(name)
    await asyncio.sleep(3)
    new = []
    sending = asyncio.create_task(send_new(fleet, new))
    others = [one for one in GATEWAYS if one != FROZEN]
    clients, tasks = [], []
    for number in range(STREAMS):
        client = Client(fleet, f's{number:04d}')
        clients.append(client)
        at = [FROZEN, *others[number % 3 :], *others]
        tasks.append(asyncio.create_task(client.run(at)))
        await asyncio.sleep(0.02)
    if trouble:
        await freeze(fleet)
    await asyncio.sleep(RELEASE_AFTER_S)
    fleet.note('a release begins: a worker of the newer software starts')
    fleet.start_worker(
        'w6',
        'lm',
        zone='a',
        stage='decode',
        events=EVENTS,
        event_s=EVENT_S,
        version='v2',
    )
    await asyncio.sleep(FREEZE_S - RELEASE_AFTER_S)
    if trouble:
        fleet.note(f'{FROZEN} wakes again')
        fleet.gateways[FROZEN].send_signal(signal.SIGCONT)
    await asyncio.wait(tasks)
    sending.cancel()
    await asyncio.wait([sending])
    return judge(fleet, clients, new)


def judge(fleet, clients, new):
    taken = [one for one in clients + new if one.has_taken_up]
    gone_on = sum(one.has_gone_on for one in taken)
    begun = sum(one.is_begun for one in new)
    mixed = sum(len(set(one.versions)) > 1 for one in clients + new)
    fleet.note(f'{begun} of {len(new)} new streams begin at the other machines')
    fleet.note(f'{gone_on} of {len(taken)} streams that were taken up go on')
    fleet.note(f'{mixed} streams hold events of two versions')
    whole = sum(one.is_whole for one in clients)
    fleet.note(f'{whole} of the {len(clients)} streams of {FROZEN} end whole')
    if begun < len(new) / 2:
        raise fleets.CannotRun('too few new streams begin')
    if len(taken) < 12:
        return True
    return gone_on / len(taken) >= begun / len(new) / 2


if __name__ == '__main__':
    fleets.run_case(FOLDER, play)
