"""A request that may run once only runs twice after its answer was lost."""

import collections

import harness

REQUESTS = 240
#: The limit of the pages is 0.03 of the requests that half of the workers ran.
LOST_EVERY = 34


async def case(deployment):
    runs = collections.Counter()
    served = collections.Counter()
    faulty = []

    async def serve(worker, head, body, writer, before):
        request_id = head.get('Request-Id')
        runs[request_id] += 1
        served[worker.id] += 1
        deployment.record(
            f'{worker.id} runs {request_id}: {head.start} (run'
            f' {runs[request_id]})'
        )
        is_due = served[worker.id] % LOST_EVERY == 0
        if is_due and not faulty:
            # Only one of the two workers loses answers.
            faulty.append(worker.id)
        if harness.is_troubled() and is_due and worker.id in faulty:
            deployment.record(f'{worker.id} has run {request_id}, answer lost')
            return False
        writer.write(worker.reply(head, b'done'))
        return True

    deployment.services = [{'name': 'plain', 'maxConnections': 100}]
    deployment.add_route('book', 'non_idempotent', 'plain')
    await deployment.write_manifest()
    for name in ('w1', 'w2'):
        await deployment.add_worker(name, serve)
    deployment.run_heartbeats()
    gateway = await deployment.add_gateway('g1')
    await gateway.wait_ready()
    client = harness.Client(deployment, gateway.front)
    for number in range(REQUESTS):
        # Both kinds of request are those of the same route.
        method, body = (('PUT', b'order'), ('DELETE', b''))[number % 2]
        request_id = harness.make_id()
        await client.send(method, '/book/1', request_id, body=body)
    return [
        f'{request_id} was sent once and ran {count} times'
        for request_id, count in runs.items()
        if count > 1
    ]


harness.run(case)
