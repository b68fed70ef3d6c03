"""Fake of the platform's host service."""

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
    """State of a host at the platform."""

    pool: str
    boot: int = 1
    is_live: bool = True
    is_leaving: bool = False
    tasks: int = 0

    def status(self, name):
        """Return the status as reported by the platform."""
        return {
            'is_live': self.is_live,
            'is_leaving': self.is_leaving,
            'boot_id': f'{name}-boot-{self.boot}',
            'pool': self.pool,
            'tasks': self.tasks,
        }


class Platform:
    """Drains, reboots and moves hosts.

    :param hosts: hosts by name
    :param endpoints_url: URL of the fake endpoints, which are stopped and
        started when their host reboots; empty if there are none
    :param reboot_s: duration of a reboot
    """

    def __init__(self, hosts, endpoints_url, reboot_s):
        self.hosts = hosts
        self._endpoints_url = endpoints_url
        self._reboot_s = reboot_s
        self._reboot_tasks = set()
        self.events = []

    def drain(self, name):
        """Remove all tasks from a host."""
        self.hosts[name].is_leaving = True
        self.hosts[name].tasks = 0
        self.events.append(['drain', name])

    def reboot(self, name):
        """Start a reboot."""
        self.events.append(['reboot', name])
        self.hosts[name].is_live = False
        task = asyncio.create_task(self._reboot(name))
        self._reboot_tasks.add(task)
        task.add_done_callback(self._reboot_tasks.discard)

    async def _reboot(self, name):
        host = self.hosts[name]
        host.boot += 1
        await self._notify_endpoints(name, 'stop')
        await asyncio.sleep(self._reboot_s)
        await self._notify_endpoints(name, 'start')
        host.is_live = True

    async def _notify_endpoints(self, name, verb):
        if not self._endpoints_url:
            return
        url = f'{self._endpoints_url}/admin/hosts/{name}/{verb}'
        async with aiohttp.ClientSession() as session:
            async with session.post(url) as response:
                await response.read()

    def move(self, name, pool):
        """Move a host into a pool."""
        self.events.append(['move', name, pool])
        self.hosts[name].pool = pool

    def restore(self, name):
        """Let a host accept tasks again."""
        self.hosts[name].is_leaving = False
        self.events.append(['restore', name])


class HostListVersions:
    """Computes changes of the host list between versions.

    :param name: prefix of version ids, unique for each start of the platform
    """

    def __init__(self, name):
        self._name = name
        self._number = 0
        self._last_statuses = {}
        self._changed = {}
        self._removed = {}

    def _record_changes(self, statuses):
        changed = [
            n for n in statuses if self._last_statuses.get(n) != statuses[n]
        ]
        removed = [n for n in self._last_statuses if n not in statuses]
        if not changed and not removed:
            return
        self._number += 1
        self._changed.update(dict.fromkeys(changed, self._number))
        self._removed.update(dict.fromkeys(removed, self._number))
        for name in removed:
            del self._changed[name]
        self._last_statuses = dict(statuses)

    def changes_since(self, statuses, since):
        """Return the changes since a version, or else the full list.

        :param since: version id; the full list is returned if it is empty or
            of another start of the platform
        """
        self._record_changes(statuses)
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
                for host, at in self._removed.items()
                if at > int(number) and host not in statuses
            ],
        }


def make_app(platform, has_versions=True):
    """Return the application that serves the hosts.

    :param has_versions: whether reads may ask for changes since a version
    """
    app = faults.make_app()

    versions = HostListVersions(uuid.uuid4().hex)

    async def list_hosts(request):
        statuses = {
            name: host.status(name) for name, host in platform.hosts.items()
        }
        if not has_versions:
            return web.json_response({'hosts': statuses})
        since = request.query.get('since', '')
        return web.json_response(versions.changes_since(statuses, since))

    async def get_host(request):
        name = request.match_info['host']
        return web.json_response(platform.hosts[name].status(name))

    async def handle_verb(request):
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
    app.router.add_post('/v1/hosts/{host}/{verb}', handle_verb)
    app.router.add_get('/admin/events', events)
    return app


def main():
    """Serve until the process is terminated."""
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
