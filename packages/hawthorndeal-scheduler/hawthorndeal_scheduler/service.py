"""Scheduling daemon: its components and its lifecycle."""

import asyncio
import logging
import pathlib
import signal

import attrs

from hawthorndeal_daemon import supervisor
from hawthorndeal_daemon import web
from hawthorndeal_fleet import errors

from . import call_handler
from . import callers
from . import callers_app
from . import candidate as candidate_module
from . import decision_log
from . import offerer
from . import parts as parts_module
from . import relay
from . import settings as settings_module

SETTINGS_PERIOD_S = 1.0
GAUGES_PERIOD_S = 1.0
# Time between the planned exit and the end of the grace period.
EXIT_MARGIN_S = 1.5
# Time for the last answers to reach callers before the exit.
ANSWER_MARGIN_S = 0.2


class SettingsWatcher:
    """Task that reloads the settings file when it changes.

    :param path: path of the settings file
    :param parts: shared components of the daemon
    :ivar asked: event that triggers an immediate check
    """

    name = 'settings'

    def __init__(self, path, parts):
        self._path = pathlib.Path(path)
        self._parts = parts
        self._last = None
        self.asked = asyncio.Event()

    async def run(self):
        """Check the file periodically and on request; also update gauges."""
        self._last = self._path.read_bytes()
        while True:
            try:
                await asyncio.wait_for(self.asked.wait(), SETTINGS_PERIOD_S)
            except asyncio.TimeoutError:
                pass
            else:
                self._parts.events.write('reload_asked')
            self.asked.clear()
            self._parts.set_gauges()
            self._reload()

    def _reload(self):
        try:
            text = self._path.read_bytes()
            if text == self._last:
                return
            self._last = text
            reloaded = settings_module.parse(text, str(self._path))
        except (OSError, errors.InvalidFile) as error:
            self._parts.events.write('settings_ignored', why=str(error)[:200])
            return
        current = self._parts.settings
        changed = [
            field.name
            for field in attrs.fields(settings_module.Settings)
            if getattr(current, field.name) != getattr(reloaded, field.name)
        ]
        self._parts.settings = reloaded
        self._parts.events.write('settings_reloaded', changed=changed)

    async def stop(self):
        """Do nothing."""


class Service:
    """One scheduling daemon.

    :param settings: validated settings
    :param settings_path: file the settings were read from
    :param adapter: a :class:`parts.Adapter`
    """

    def __init__(self, settings, settings_path, adapter):
        self._adapter = adapter
        self._parts = parts = parts_module.Parts(settings, adapter)
        self._interface = callers.CallersInterface(parts, adapter.formats)
        handler = call_handler.CallHandler(
            self._interface, parts, relay.Relay(parts)
        )
        self._settings_watcher = SettingsWatcher(settings_path, parts)
        self._candidate = candidate_module.Candidate(parts)
        self._supervisor = supervisor.Supervisor(
            'daemon',
            [
                parts.operators_follower,
                *parts.status_followers,
                parts.log_probe,
                parts.submitter,
                web.WebServer(
                    'readiness',
                    lambda: callers_app.make_readiness_app(self._interface),
                    settings.readiness_address,
                ),
                web.WebServer(
                    'metrics',
                    lambda: callers_app.make_metrics_app(parts.metrics),
                    settings.metrics_address,
                ),
                web.WebServer(
                    'callers',
                    lambda: callers_app.make_app(
                        self._interface, handler, parts
                    ),
                    settings.callers_address,
                    settings.max_callers,
                ),
                self._settings_watcher,
                self._candidate,
                offerer.Offerer(parts, self._interface),
                *self._relay_parts(handler),
            ],
            parts.clock,
        )

    def _relay_parts(self, handler):
        parts = self._parts
        if not parts.settings.relay_address:
            return []
        return [
            relay.Announcer(parts),
            web.WebServer(
                'relay',
                lambda: callers_app.make_relay_app(
                    self._interface, handler, parts
                ),
                parts.settings.relay_address,
            ),
        ]

    async def run(self):
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        self._parts.events.open()
        logging.basicConfig(
            handlers=[decision_log.LibraryHandler(self._parts.events)]
        )
        self._parts.events.write('started', zone=self._parts.settings.zone)
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(
            signal.SIGHUP, self._settings_watcher.asked.set
        )
        running = asyncio.create_task(self._supervisor.run())
        waiting = asyncio.create_task(stopping.wait())
        await asyncio.wait(
            [running, waiting], return_when=asyncio.FIRST_COMPLETED
        )
        if not running.done():
            await self._drain()
        waiting.cancel()
        await self._supervisor.stop()
        await self._adapter.close()
        await running

    async def _drain(self):
        parts = self._parts
        left_s = parts.settings.shutdown_grace_s - EXIT_MARGIN_S
        parts.events.write('stopping', grace_s=left_s)
        exit_s = parts.clock.monotonic_s() + left_s
        self._interface.begin_draining(exit_s - ANSWER_MARGIN_S)
        await self._candidate.stop()
        # Open connections are served until the exit.
        await asyncio.sleep(max(0.0, exit_s - parts.clock.monotonic_s()))
        parts.events.write('stopped')
