"""Fake endpoints of a fleet, each with its own address."""

import argparse
import asyncio
import collections
import pathlib

from aiohttp import web
import yaml

from . import faults


class Endpoint:
    """Runs requests on a limited number of slots, and counts them.

    :param name: name of the endpoint
    :param address: address to listen on, as ``IP:PORT``
    :param slots: maximum number of concurrent requests
    :param work_s: duration of a request
    :ivar cut_off: number of requests that were running when it was stopped
    """

    def __init__(self, name, address, slots, work_s):
        self.name = name
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._slots = slots
        self._work_s = work_s
        self._runner = None
        self._app = None
        self.in_flight = 0
        self.most_in_flight = 0
        self.refused = 0
        self.cut_off = 0
        self.runs = collections.Counter()
        self.fault = faults.Fault()

    async def start(self):
        """Start to listen, unless already started."""
        if self._runner is not None:
            return
        app = web.Application(middlewares=[faults.middleware])
        app[faults.FAULT_KEY] = self.fault
        app.router.add_post('/run/{service}', self._run)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.0
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self._host, self._port, reuse_address=True
        ).start()

    async def stop(self):
        """Stop without draining, as on a crash of the host."""
        if self._runner is None:
            return
        self.cut_off += self.in_flight
        runner, self._runner = self._runner, None
        await runner.cleanup()

    async def _run(self, request):
        request_id = request.headers.get('Hd-Request-Id', '')
        body = await request.read()
        if self.in_flight >= self._slots:
            self.refused += 1
            return web.Response(status=503, headers={'Hd-Not-Run': '1'})
        self.runs[request_id] += 1
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self.in_flight -= 1
        return web.Response(
            body=b'done:' + body, headers={'Hd-Request-Id': request_id}
        )

    def counters(self):
        """Return all counters."""
        return {
            'runs': sum(self.runs.values()),
            'run_twice': sorted(
                request_id
                for request_id, times in self.runs.items()
                if times > 1
            ),
            'ran': self.runs,
            'refused': self.refused,
            'cut_off': self.cut_off,
            'in_flight': self.in_flight,
            'most_in_flight': self.most_in_flight,
        }


def make_app(endpoints, hosts):
    """Return the admin application, through which tests control endpoints.

    :param endpoints: endpoints by name
    :param hosts: names of the endpoints of each host
    """
    app = web.Application()

    async def handle_host_verb(request):
        verb = request.match_info['verb']
        for name in hosts.get(request.match_info['host'], ()):
            await getattr(endpoints[name], verb)()
        return web.json_response({})

    async def count(request):
        return web.json_response(
            {name: e.counters() for name, e in endpoints.items()}
        )

    async def set_fault(request):
        fault = endpoints[request.match_info['name']].fault
        body = await request.json()
        fault.mode = faults.Mode(body.get('mode', 'ok'))
        fault.calls = body.get('calls', -1)
        fault.delay_s = body.get('delay_s', 1.0)
        return web.json_response({})

    app.router.add_post(
        '/admin/hosts/{host}/{verb:start|stop}', handle_host_verb
    )
    app.router.add_post('/admin/endpoints/{name}/fault', set_fault)
    app.router.add_get('/admin/counters', count)

    async def on_startup(_):
        await asyncio.gather(*(e.start() for e in endpoints.values()))

    app.on_startup.append(on_startup)
    return app


def main():
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--fleet', required=True)
    parser.add_argument('--work-s', type=float, default=0.02)
    options = parser.parse_args()
    fleet = yaml.safe_load(pathlib.Path(options.fleet).read_text())
    endpoints = {}
    hosts = collections.defaultdict(list)
    for name, endpoint in fleet['endpoints'].items():
        service = fleet['services'][endpoint['service']]
        endpoints[name] = Endpoint(
            name, endpoint['address'], service.get('slots', 8), options.work_s
        )
        hosts[endpoint['host']].append(name)
    web.run_app(
        make_app(endpoints, hosts),
        host=options.host,
        port=options.port,
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
