"""Stand-in of the platform's service of machines."""

import asyncio

from aiohttp import web

from soak import serving

MIGRATION_S = 1.5
MAINTENANCE_S = 2.0
# A call that gets no answer is held open for this long.
SILENCE_S = 30.0


class Cloud:
    """Lists machines, and carries out moves and upkeeps.

    :param fleet: the machines
    :param recorder: records the orders
    :ivar waves: machines of each wave, by its number
    :ivar outage_s: for how long calls are carried out and not answered, from
        the first order on
    """

    def __init__(self, fleet, recorder):
        self.waves = {}
        self.outage_s = 0.0
        self._is_silent = False
        self._had_outage = False
        self.address = ''
        self._fleet = fleet
        self._recorder = recorder
        self._runner = None

    async def start(self):
        """Serve on a free port."""
        self._runner, self.address = await serving.serve(
            [
                web.get('/-/machines', self._list),
                web.post('/-/machine-move', self._move),
                web.post('/-/machine-upkeep', self._upkeep),
            ]
        )

    async def stop(self):
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _list(self, request):
        if self._is_silent:
            return await self._hang(request)
        machines = [
            {
                'machine': machine.name,
                'pool': machine.pool,
                'state': machine.state,
                'zone': machine.zone,
                'labels': machine.labels,
                'capacity': machine.capacity,
                'id': machine.executor.executor_id if machine.executor else '',
            }
            for machine in self._fleet.machines.values()
        ]
        return web.json_response({'machines': machines})

    async def _move(self, request):
        body = await request.json()
        machine = self._fleet.machines.get(body['machine'])
        if machine is None:
            return await self._answer(request, body, 400, {})
        if machine.pool == body['pool']:
            return await self._answer(request, body, 200, {})
        if machine.state != 'up':
            return await self._answer(request, body, 409, {'reason': 'busy'})
        machine.state, machine.pool = 'moving', body['pool']
        await self._replace(machine, MIGRATION_S)
        return await self._answer(request, body, 200, {})

    async def _upkeep(self, request):
        body = await request.json()
        machine = self._fleet.machines.get(body['machine'])
        if machine is None:
            return await self._answer(request, body, 400, {})
        wave = body['wave']
        if machine.name not in self.waves.get(wave, ()):
            return await self._answer(request, body, 409, {'reason': 'wave'})
        if wave in machine.upkeeps:
            return await self._answer(request, body, 200, {})
        if machine.state != 'up':
            return await self._answer(request, body, 409, {'reason': 'busy'})
        machine.state = 'upkeep'
        machine.upkeeps.add(wave)
        await self._replace(machine, MAINTENANCE_S)
        return await self._answer(request, body, 200, {})

    async def _replace(self, machine, after_s):
        await self._fleet.end(machine)
        self._fleet.spawn(self._return(machine, after_s))

    async def _return(self, machine, after_s):
        await asyncio.sleep(after_s)
        await self._fleet.begin(machine)

    def _begin_outage(self):
        if self.outage_s and not self._had_outage:
            self._had_outage = self._is_silent = True
            self._fleet.spawn(self._end_outage())

    async def _end_outage(self):
        await asyncio.sleep(self.outage_s)
        self._is_silent = False
        self._recorder.write('cloud-answers-again')

    async def _answer(self, request, body, status, plain):
        self._begin_outage()
        self._recorder.write(
            'order',
            path=request.path,
            machine=body['machine'],
            to=body.get('pool', body.get('wave')),
            holder=request.headers.get('Duty-Holder'),
            token=request.headers.get('Fencing-Token'),
            status=status,
            answer='none' if self._is_silent else 'sent',
        )
        if self._is_silent:
            return await self._hang(request)
        return web.json_response(plain, status=status)

    async def _hang(self, request):
        """Leave a call without an answer until its caller gives up."""
        await asyncio.sleep(SILENCE_S)
        return web.json_response({}, status=503)
