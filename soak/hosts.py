"""Stand-in of the platform's service of hosts."""

import asyncio
import itertools

import aiohttp
from aiohttp import web

from . import executors
from . import serving


class HostService:
    """Lists and moves the machines of several processes.

    :param addresses: addresses of the processes that hold the machines
    :param standby_pools: pools whose machines are off
    :ivar moves: number of moves that were carried out
    """

    def __init__(self, addresses, standby_pools):
        self._addresses = addresses
        self._standby_pools = standby_pools
        self._process_of = {}
        self._runner = None
        self._session = None
        self.address = ''
        self.moves = 0

    async def start(self):
        """Serve on a free port."""
        self._session = aiohttp.ClientSession()
        self._runner, self.address = await serving.serve(
            [
                web.get('/-/machines', self._list),
                web.post('/-/machine-move', self._move),
                web.post('/-/machine-upkeep', self._refuse),
            ]
        )

    async def stop(self):
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()
            await self._session.close()

    async def _list(self, request):
        machines = await self.machines()
        answer = {'machines': machines, 'next-page-token': None}
        return web.json_response(answer)

    async def machines(self):
        """Return the machines of all processes."""
        lists = await asyncio.gather(
            *(self._machines_of(address) for address in self._addresses)
        )
        return list(itertools.chain(*lists))

    async def _machines_of(self, address):
        url = f'http://{address}{executors.MACHINES_PATH}'
        async with self._session.get(url) as response:
            machines = await response.json()
        self._process_of.update((row['machine'], address) for row in machines)
        return machines

    async def _move(self, request):
        body = await request.json()
        is_standby = body['pool'] in self._standby_pools
        status, answer = await self._order(
            body['machine'],
            executors.MOVE_PATH,
            {'pool': body['pool'], 'is_standby': is_standby},
        )
        self.moves += status == 200
        return web.json_response(answer, status=status)

    async def crash(self, machine, away_s):
        """End the executor of a machine without a word.

        :param away_s: time until it has another executor
        """
        await self._order(machine, executors.CRASH_PATH, {'away_s': away_s})

    async def _order(self, machine, path, fields):
        if machine not in self._process_of:
            return 400, {}
        url = f'http://{self._process_of[machine]}{path}'
        body = {'machine': machine, **fields}
        async with self._session.post(url, json=body) as response:
            return response.status, await response.json()

    async def _refuse(self, request):
        # No wave is requested, so no order for one is expected.
        return web.json_response({'reason': 'wave'}, status=409)
