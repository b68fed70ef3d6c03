"""Stand-ins of the service of machines and of the service for advice."""

import asyncio
import itertools

from aiohttp import web

from standins import serving


class Cloud:
    """Lists the machines of a fleet; none moves where there is one pool.

    :param fleet: the executors
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.orders = []
        self.address = ''
        self._runner = None

    async def start(self):
        """Serve on a free port."""
        self._runner, self.address = await serving.serve(
            [
                web.get('/-/machines', self._list),
                web.post('/-/machine-move', self._order),
                web.post('/-/machine-upkeep', self._order),
            ]
        )

    async def stop(self):
        """Stop serving."""
        await self._runner.cleanup()

    async def _list(self, request):
        machines = [
            {
                'machine': executor.entry['machine'],
                'pool': executor.entry['service'],
                'state': 'up',
                'zone': executor.entry['zone'],
                'labels': executor.entry['labels'],
                'capacity': executor.entry['capacity'],
                'id': executor.executor_id,
            }
            for executor in self._fleet.executors.values()
        ]
        answer = {'machines': machines, 'next-page-token': None}
        return web.json_response(answer)

    async def _order(self, request):
        # No case asks for one; it would be reported.
        self.orders.append(await request.json())
        return web.json_response({'reason': 'busy'}, status=409)


class Advice:
    """Permits executors to run steps; one call at a time for each caller.

    :param allows: returns whether a step may run on an executor
    """

    def __init__(self, allows, decision_s=0.02, per_worker_s=0.0005):
        self._allows = allows
        self._decision_s = decision_s
        self._per_worker_s = per_worker_s
        self._numbers = itertools.count(1)
        self._lock = asyncio.Lock()
        self.tickets = {}
        self.calls = []
        self.address = ''
        self._runner = None

    async def start(self):
        """Serve on a free port."""
        routes = [web.post('/-/advise', self._advise)]
        self._runner, self.address = await serving.serve(routes)

    async def stop(self):
        """Stop serving."""
        await self._runner.cleanup()

    async def _advise(self, request):
        body = await request.json()
        step, workers = body['step'], body['workers']
        if len(workers) > 100:
            return web.json_response({}, status=400)
        async with self._lock:
            wait_s = self._decision_s + self._per_worker_s * len(workers)
            await asyncio.sleep(wait_s)
        good = [
            [worker, self._ticket(step, worker)]
            for worker in workers
            if self._allows(step, worker)
        ]
        self.calls.append((step, len(workers), len(good)))
        return web.json_response({'good': good, 'validity-ms': 3000})

    def _ticket(self, step, worker):
        text = f'{next(self._numbers):04x}-ticket'
        self.tickets.setdefault((step, worker), set()).add(text)
        return text

    def is_valid(self, step, worker, ticket):
        """Return whether a ticket was issued for a step on an executor."""
        return ticket in self.tickets.get((step, worker), ())
