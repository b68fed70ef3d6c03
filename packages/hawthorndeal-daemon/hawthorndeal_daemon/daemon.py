"""Assemble a daemon from its settings and run it."""

import asyncio
import random
import signal
import uuid

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records
from hawthorndeal_fleet import routing
from hawthorndeal_fleet import waves
from hawthorndeal_platform import hosts as hosts_module
from hawthorndeal_platform import log as log_module
from hawthorndeal_platform import transport
from hawthorndeal_platform import workers

from . import callers
from . import checkpointer
from . import claim_returns
from . import clock as clock_module
from . import control
from . import dispatcher
from . import endpoints
from . import follower
from . import forwarding
from . import gauges
from . import host_watch
from . import loader
from . import logs
from . import maintainer
from . import metrics
from . import peers
from . import placer
from . import restarter
from . import supervisor
from . import web
from . import writer

JOIN_RETRY_S = 1.0
JOIN_TIMEOUT_S = 5.0
LEAVE_TIMEOUT_S = 2.0

_log = logs.get('daemon')


class Membership:
    """Append the join and leave records of the daemon to the log.

    :param writer: appends records to the log
    :param dispatcher: drained before the daemon leaves
    :param settings: the daemon's settings
    :param incarnation: unique id of this daemon process
    """

    name = 'membership'

    def __init__(self, writer, dispatcher, settings, incarnation):
        self._writer = writer
        self._dispatcher = dispatcher
        self._settings = settings
        self._incarnation = incarnation

    async def run(self):
        """Join, then wait until cancelled."""
        body = records.DaemonJoined(
            incarnation=self._incarnation,
            daemon=self._settings.daemon,
            zone=self._settings.zone,
            address=self._settings.control_address,
        )
        while not await self._try_join(body):
            await asyncio.sleep(JOIN_RETRY_S)
        await asyncio.Event().wait()

    async def _try_join(self, body):
        try:
            decision = await self._writer.commit(body, JOIN_TIMEOUT_S)
        except errors.PlatformError as error:
            _log.warning('Failed to join, retrying: %s', error)
            return False
        _log.info('Joined at offset %d.', decision.offset)
        return decision.is_accepted

    async def stop(self):
        """Drain the running requests, then leave."""
        await self._dispatcher.drain(
            self._settings.shutdown_grace_s, self._settings.shutdown_timeout_s
        )
        try:
            await self._writer.commit(
                records.DaemonLeft(incarnation=self._incarnation),
                LEAVE_TIMEOUT_S,
            )
        except errors.PlatformError as error:
            _log.warning('Failed to append the leave record: %s', error)


class Daemon:
    """Own the components of one running daemon.

    :param settings: validated settings
    """

    def __init__(self, settings):
        incarnation = uuid.uuid4().hex
        clock = clock_module.SystemClock()
        rng = random.Random(incarnation)
        self._metrics = metrics.Metrics(settings.statsd, settings.daemon)
        self._transports = [
            transport.Transport(url, settings.platform.call_timeout_s)
            for url in (
                settings.platform.log_url,
                settings.platform.hosts_url,
                settings.platform.workers_url,
            )
        ]
        log = log_module.HttpLog(self._transports[0])
        hosts = hosts_module.HttpHosts(self._transports[1])
        router = routing.Router(settings.zone)
        self._endpoints = endpoints.EndpointClient(
            settings.max_answer_bytes, clock
        )
        log_follower = follower.Follower(
            log, settings, clock, incarnation, loader.Loader(log, settings)
        )
        log_writer = writer.Writer(log, log_follower, incarnation, clock)
        peer_exchange = peers.Peers(
            log_follower,
            router,
            settings,
            incarnation,
            clock,
            rng,
            self._metrics,
        )
        checkpoint_writer = checkpointer.Checkpointer(
            log, log_follower, log_writer, settings, clock, rng
        )
        watch = host_watch.HostWatch(
            hosts,
            router,
            log_follower,
            log_writer,
            settings,
            incarnation,
            clock,
        )
        host_maintainer = maintainer.Maintainer(
            log_follower,
            log_writer,
            peer_exchange,
            hosts,
            watch,
            settings,
            incarnation,
            clock,
        )
        job_placer = placer.Placer(
            log_follower,
            log_writer,
            workers.HttpWorkers(self._transports[2]),
            settings,
            incarnation,
            clock,
            waves.maintenance_starts,
        )
        self._forwarder = forwarding.Forwarder(settings)
        claim_returner = claim_returns.ClaimReturner(log_writer, clock)
        request_dispatcher = dispatcher.Dispatcher(
            log_follower,
            log_writer,
            router,
            self._endpoints,
            claim_returner,
            self._forwarder,
            incarnation,
            settings,
            clock,
            rng,
        )
        self._supervisor = supervisor.Supervisor(
            'daemon',
            [
                log_follower,
                log_writer,
                claim_returner,
                web.WebServer(
                    'control',
                    lambda: forwarding.add_route(
                        control.make_app(
                            log_follower,
                            log_writer,
                            peer_exchange,
                            host_maintainer,
                            settings,
                        ),
                        request_dispatcher,
                        settings,
                    ),
                    settings.control_address,
                ),
                peer_exchange,
                checkpoint_writer,
                restarter.LogRestarter(
                    log,
                    log_follower,
                    checkpoint_writer,
                    peer_exchange,
                    settings,
                    incarnation,
                    clock,
                ),
                watch,
                web.WebServer(
                    'callers',
                    lambda: callers.make_app(
                        request_dispatcher,
                        log_follower,
                        log_writer,
                        settings,
                        self._metrics,
                        clock,
                    ),
                    settings.callers_address,
                    settings.max_callers,
                ),
                Membership(
                    log_writer, request_dispatcher, settings, incarnation
                ),
                host_maintainer,
                *([job_placer] if settings.platform.workers_url else []),
                gauges.Gauges(log_follower, self._metrics, settings, clock),
            ],
            clock,
        )

    async def run(self):
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        try:
            await self._run_until(stopping)
        finally:
            await self._close()

    async def _run_until(self, stopping):
        running = asyncio.create_task(self._supervisor.run())
        waiting = asyncio.create_task(stopping.wait())
        await asyncio.wait(
            [running, waiting], return_when=asyncio.FIRST_COMPLETED
        )
        waiting.cancel()
        await self._supervisor.stop()
        await running

    async def _close(self):
        await self._endpoints.close()
        await self._forwarder.close()
        for connection in self._transports:
            await connection.close()
        self._metrics.close()
