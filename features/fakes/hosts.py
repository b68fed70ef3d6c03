"""A stand-in for the platform's list of hosts, and its work on them."""

import argparse
import asyncio
import itertools
import pathlib
import uuid

import aiohttp
from aiohttp import web
import attrs
import yaml

from . import faults


@attrs.define
class Host:
    """Hold what the platform knows of a host."""

    pool: str
    boot: int = 1
    is_live: bool = True
    is_leaving: bool = False
    tasks: int = 0

    def status(self, name):
        """Return the status as the platform tells it."""
        return {
            'is_live': self.is_live,
            'is_leaving': self.is_leaving,
            'boot_id': f'{name}-boot-{self.boot}',
            'pool': self.pool,
            'tasks': self.tasks,
        }


class Platform:
    """Drain, reboot and move hosts.

    :param hosts: host by name
    :param endpoints_url: where endpoints are told of reboots
    :param reboot_s: how long a reboot takes
    """

    def __init__(self, hosts, endpoints_url, reboot_s):
        self.hosts = hosts
        self._endpoints_url = endpoints_url
        self._reboot_s = reboot_s
        self._work = set()
        self.events = []

    def drain(self, name):
        """Take the tasks off a host."""
        self.hosts[name].is_leaving = True
        self.hosts[name].tasks = 0
        self.events.append(['drain', name])

    def reboot(self, name):
        """Begin a reboot."""
        self.events.append(['reboot', name])
        self.hosts[name].is_live = False
        work = asyncio.create_task(self._reboot(name))
        self._work.add(work)
        work.add_done_callback(self._work.discard)

    async def _reboot(self, name):
        host = self.hosts[name]
        host.boot += 1
        await self._tell(name, 'stop')
        await asyncio.sleep(self._reboot_s)
        await self._tell(name, 'start')
        host.is_live = True

    async def _tell(self, name, verb):
        if not self._endpoints_url:
            return
        url = f'{self._endpoints_url}/admin/hosts/{name}/{verb}'
        async with aiohttp.ClientSession() as session:
            async with session.post(url) as answer:
                await answer.read()

    def move(self, name, pool):
        """Put a host into a pool."""
        self.events.append(['move', name, pool])
        self.hosts[name].pool = pool

    def restore(self, name):
        """Let a host take tasks again."""
        self.hosts[name].is_leaving = False
        self.events.append(['restore', name])


class Versions:
    """Tell what changed in the list of hosts since a version.

    :param name: differs for each start of the platform
    """

    def __init__(self, name):
        self._name = name
        self._number = 0
        self._told = {}
        self._changed = {}
        self._gone = {}

    def _follow(self, statuses):
        changed = [n for n in statuses if self._told.get(n) != statuses[n]]
        gone = [n for n in self._told if n not in statuses]
        if not changed and not gone:
            return
        self._number += 1
        self._changed.update(dict.fromkeys(changed, self._number))
        self._gone.update(dict.fromkeys(gone, self._number))
        for name in gone:
            del self._changed[name]
        self._told = dict(statuses)

    def answer(self, statuses, since):
        """Return the whole list, or what is newer than a version."""
        self._follow(statuses)
        name, _, number = since.rpartition('-')
        version = f'{self._name}-{self._number}'
        if name != self._name:
            return {'version': version, 'is_whole': True, 'hosts': statuses}
        return {
            'version': version,
            'is_whole': False,
            'hosts': {
                host: statuses[host]
                for host, at in self._changed.items()
                if at > int(number)
            },
            'gone': [
                host
                for host, at in self._gone.items()
                if at > int(number) and host not in statuses
            ],
        }


def make_app(platform, has_versions=True):
    """Return the application of the stand-in."""
    app = faults.make_app()

    versions = Versions(uuid.uuid4().hex)

    async def list_hosts(request):
        statuses = {
            name: host.status(name) for name, host in platform.hosts.items()
        }
        if not has_versions:
            return web.json_response({'hosts': statuses})
        since = request.query.get('since', '')
        return web.json_response(versions.answer(statuses, since))

    async def get_host(request):
        name = request.match_info['host']
        return web.json_response(platform.hosts[name].status(name))

    async def act(request):
        name = request.match_info['host']
        body = await request.json()
        verb = request.match_info['verb']
        if verb == 'move':
            platform.move(name, body['pool'])
        elif verb in ('drain', 'reboot', 'restore'):
            getattr(platform, verb)(name)
        return web.json_response({})

    async def events(request):
        return web.json_response({'events': platform.events})

    app.router.add_get('/v1/hosts', list_hosts)
    app.router.add_get('/v1/hosts/{host}', get_host)
    app.router.add_post('/v1/hosts/{host}/{verb}', act)
    app.router.add_get('/admin/events', events)
    return app


def main():
    """Serve until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--fleet', required=True)
    parser.add_argument('--endpoints-url', default='')
    parser.add_argument('--reboot-s', type=float, default=1.0)
    options = parser.parse_args()
    fleet = yaml.safe_load(pathlib.Path(options.fleet).read_text())
    numbers = itertools.count(1)
    hosts = {
        name: Host(pool=host['pool'], tasks=next(numbers) % 3)
        for name, host in fleet['hosts'].items()
    }
    platform = Platform(hosts, options.endpoints_url, options.reboot_s)
    web.run_app(
        make_app(platform),
        host=options.host,
        port=options.port,
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
