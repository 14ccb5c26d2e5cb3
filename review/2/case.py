"""A lookup that makes workers crash comes again and again."""

import asyncio
import random

import harness

WORKERS = 3
GATEWAYS = ('g1', 'g2')
SECONDS = 45.0
#: A worker is back after some seconds.
DOWN_S = 3.0
#: One in twenty of the four lookups a second, as a client repeats one.
DEADLY_PERIOD_S = 4.0
DEADLY_PATH = '/look/deadly'
#: A crash follows the start of the run by this much.
RUN_S = 0.05
#: The rule: sends later than stabilityWindowMs after the third crash.
STABLE_S = 4.0
ALLOWED = 3


async def case(deployment):
    loop = asyncio.get_running_loop()
    crashes_s = []
    arrivals_s = []
    lost = []
    starts = {}

    async def restart(worker, name):
        await asyncio.sleep(DOWN_S)
        await deployment.remove('servers', worker.id)
        starts[name] += 1
        worker.id = f'i-{name}-{starts[name]}'
        await worker.restart('1')

    async def serve(worker, head, body, writer, before):
        request_id = head.get('Request-Id')
        path = head.start.split()[1]
        deployment.record(f'{worker.id} runs {request_id}: {head.start}')
        if path != DEADLY_PATH:
            await asyncio.sleep(RUN_S)
            if writer.is_closing():
                lost.append(request_id)
                return False
            writer.write(worker.reply(head, b'done'))
            return True
        arrivals_s.append(loop.time())
        await asyncio.sleep(RUN_S)
        if worker.is_listed:
            crashes_s.append(loop.time())
            worker.crash()
            name = worker.id.split('-')[1]
            deployment.tasks.append(asyncio.create_task(restart(worker, name)))
        return False

    async def send(gateway, method, path, body=b''):
        client = harness.Client(deployment, gateway.front)
        try:
            await client.send(
                method, path, harness.make_id(), body=body, limit_s=3.0
            )
        finally:
            client.close()

    deployment.services = [{'name': 'plain', 'maxConnections': 110}]
    deployment.add_route('look', 'idempotent', 'plain', timeoutMs=1500)
    deployment.add_route('book', 'non_idempotent', 'plain', timeoutMs=1500)
    await deployment.write_manifest()
    for number in range(WORKERS):
        name = f'w{number}'
        starts[name] = 0
        await deployment.add_worker(f'{name}-0', serve)
    deployment.run_heartbeats()
    for name in GATEWAYS:
        await deployment.add_gateway(name)
    await asyncio.gather(*(one.wait_ready() for one in deployment.gateways))
    await asyncio.sleep(STABLE_S)
    end_s = loop.time() + SECONDS
    deadly_s = loop.time() + 1
    async with asyncio.TaskGroup() as group:
        while loop.time() < end_s:
            gateway = random.choice(deployment.gateways)
            if harness.is_troubled() and loop.time() >= deadly_s:
                deadly_s += DEADLY_PERIOD_S
                group.create_task(send(gateway, 'GET', DEADLY_PATH))
            else:
                method, path, body = random.choice(
                    (
                        ('GET', f'/look/{random.randrange(100)}', b''),
                        ('POST', '/book/1', b'order'),
                    )
                )
                group.create_task(send(gateway, method, path, body))
            await asyncio.sleep(0.1)
    deployment.record(
        f'{len(crashes_s)} crashes, {len(lost)} other runs lost with them'
    )
    if len(crashes_s) < 3:
        return []
    after = [one for one in arrivals_s if one > crashes_s[2] + STABLE_S]
    if len(after) <= ALLOWED:
        return []
    return [
        f'the deadly request reached workers {len(after)} times later than'
        f' {STABLE_S} s after its third crash'
    ]


harness.run(case)
