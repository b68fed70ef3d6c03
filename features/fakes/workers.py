"""Fake of the platform's workers, which run tasks under leases."""

import argparse
import asyncio
import collections
import pathlib
import time

from aiohttp import web
import attrs
import yaml

from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import tasks

from . import faults

_State = tasks.TaskState
THROTTLED_SHARE = 0.25


@attrs.define
class Task:
    """A task and its progress.

    :ivar until_s: end of the lease
    :ivar work_s: run time that the task needs at full speed
    :ivar seen_s: time up to which the progress has been computed
    :ivar done_s: run time at full speed that has been completed
    :ivar version: version of the last throttle or resume order
    """

    order: tasks.TaskOrder
    host: str
    state: _State
    until_s: float
    work_s: float
    seen_s: float
    done_s: float = 0.0
    version: int = -1
    detail: str = ''

    @property
    def is_live(self):
        """Return whether the task occupies its worker."""
        return self.state in tasks.LIVE

    @property
    def cpu_millicores(self):
        """Return the CPU allocation of the task."""
        share = THROTTLED_SHARE if self.state is _State.THROTTLED else 1.0
        return self.order.cpu_millicores * share if self.is_live else 0

    def status(self):
        """Return the status as reported by the platform."""
        used = job_records.JobUsage(
            self.order.cpu_millicores / 1000, self.order.memory_bytes
        )
        return tasks.TaskStatus(
            self.order.token, self.state, used, self.done_s, self.detail
        )

    def run_until(self, now_s):
        """Advance the task to a time; end it if done or its lease expired."""
        if not self.is_live:
            return
        share = THROTTLED_SHARE if self.state is _State.THROTTLED else 1.0
        passed_s = min(now_s, self.until_s) - self.seen_s
        self.done_s += passed_s * share
        self.seen_s = now_s
        if self.done_s >= self.work_s:
            self.state = _State.DONE
        elif now_s >= self.until_s:
            self.state = _State.LAPSED


class Workers:
    """Runs tasks on all hosts, and checks invariants.

    :param hosts: number of cores of each host, by name
    :param now: function that returns seconds since the epoch
    :param report_lag_s: delay of task reports
    :ivar run_s: run time of a job's task at full speed, by job id
    :ivar failing_hosts: hosts on which every task fails
    :ivar unresponsive_hosts: hosts on which every call times out
    :ivar removed_hosts: hosts that the platform no longer knows
    :ivar cancelled: jobs whose tasks may be stopped
    :ivar faults: verb and fault of calls to come; the first applies to the
        next call of its verb
    :ivar violations: violated invariants that were detected
    :ivar starts: number of started tasks, by job id
    """

    def __init__(self, hosts, now, report_lag_s=0.0):
        self.hosts = dict(hosts)
        self.now = now
        self._report_lag_s = report_lag_s
        self.tasks = {}
        self._reported_states = {}
        self._reports = []
        self.run_s = {}
        self.default_run_s = 60.0
        self.failing_hosts = set()
        self.unresponsive_hosts = set()
        self.cancelled = set()
        self.removed_hosts = set()
        self.faults = collections.deque()
        self.violations = []
        self.calls = 0
        self._updated_s = 0.0
        self._delayed_calls = []
        self.starts = collections.Counter()

    def lose_answer(self, verb):
        """Lose the response to the next call of a verb, after its effect."""
        self.faults.append((verb, 'lost'))

    def delay_call(self, verb):
        """Make the next call of a verb time out, and delay its effect.

        :returns: event that makes the call take effect
        """
        release = asyncio.Event()
        self.faults.append((verb, release))
        return release

    def crash(self, host):
        """Lose all tasks of a host, including the record of their tokens."""
        self.tasks = {t: k for t, k in self.tasks.items() if k.host != host}

    async def _call(self, host, verb, operation):
        self.calls += 1
        fault = None
        if self.faults and self.faults[0][0] == verb:
            fault = self.faults.popleft()[1]
        if isinstance(fault, asyncio.Event):
            self._delayed_calls.append(
                asyncio.create_task(self._run_delayed(fault, operation))
            )
            raise errors.OutcomeUnknown(f'{host}: {verb}: timed out')
        if host in self.unresponsive_hosts:
            raise errors.OutcomeUnknown(f'{host}: timed out')
        if host in self.removed_hosts:
            raise errors.PlatformUnavailable(f'{host}: no such host')
        self.advance()
        result = operation()
        if verb in ('start', 'resume'):
            # Only these calls can increase the load of a host.
            self.check()
        if fault == 'lost':
            raise errors.OutcomeUnknown(f'{host}: {verb}: response lost')
        return result

    async def _run_delayed(self, release, operation):
        await release.wait()
        self.advance()
        operation()
        self.check()

    def advance(self):
        """Advance all tasks to the current time."""
        if self.now() == self._updated_s:
            return
        self._updated_s = self.now()
        for task in self.tasks.values():
            task.run_until(self.now())

    def _add_reports(self):
        for token, task in self.tasks.items():
            if self._reported_states.get(token) is not task.state:
                self._reported_states[token] = task.state
                report = tasks.TaskReport(
                    task.order.job_id, task.host, task.status()
                )
                due_s = self.now() + self._report_lag_s
                self._reports.append((due_s, report))

    def check(self):
        """Record jobs that run twice and hosts that are over-committed."""
        live = [task for task in self.tasks.values() if task.is_live]
        runs = collections.Counter(task.order.job_id for task in live)
        self.violations += [
            f'{j} runs twice' for j, n in runs.items() if n > 1
        ]
        used = collections.Counter()
        for task in live:
            used[task.host] += task.cpu_millicores
        self.violations += [
            f'{host} is over-committed: {millicores}'
            for host, millicores in used.items()
            if millicores > self.hosts[host] * 1000 + len(live)
        ]

    def live_jobs(self):
        """Return the host of each running job."""
        self.advance()
        live = (task for task in self.tasks.values() if task.is_live)
        return {task.order.job_id: task.host for task in live}

    async def reports(self, cursor):
        """Return the reports after a cursor that are old enough to be seen."""
        self.advance()
        self._add_reports()
        due = [r for due_s, r in self._reports if due_s <= self.now()]
        return tasks.ReportPage(tuple(due[cursor:]), len(due))

    async def tasks_of(self, host):
        """Return the status of each task of a host."""
        return await self._call(host, 'tasks', lambda: self._statuses(host))

    def _statuses(self, host):
        return {
            token: task.status()
            for token, task in self.tasks.items()
            if task.host == host
        }

    async def start(self, host, order):
        """Start a task, unless its token is known or its lease expired."""
        return await self._call(
            host, 'start', lambda: self._start(host, order)
        )

    def _start(self, host, order):
        if order.token not in self.tasks:
            state = _State.RUNNING
            if self.now() >= order.until_s:
                state = _State.REFUSED
            elif host in self.failing_hosts:
                state = _State.FAILED
            else:
                self.starts[order.job_id] += 1
            self._add(host, order, state)
        return self.tasks[order.token].status()

    def _add(self, host, order, state):
        self.tasks[order.token] = Task(
            order=order,
            host=host,
            state=state,
            until_s=order.until_s,
            work_s=self.run_s.get(order.job_id, self.default_run_s),
            seen_s=self.now(),
        )

    async def renew(self, host, until_s):
        """Extend leases, and return the status of each known token."""
        return await self._call(
            host, 'renew', lambda: self._renew(host, until_s)
        )

    def _renew(self, host, until_s):
        for token, end_s in until_s.items():
            if token in self.tasks:
                task = self.tasks[token]
                task.until_s = max(task.until_s, end_s)
        return self._statuses(host)

    async def throttle(self, host, token, version):
        """Throttle a task; ignored if the version is not newer."""
        return await self._set_state(
            host, 'throttle', token, version, _State.THROTTLED
        )

    async def resume(self, host, token, version):
        """Resume a throttled task; ignored if the version is not newer."""
        return await self._set_state(
            host, 'resume', token, version, _State.RUNNING
        )

    async def _set_state(self, host, verb, token, version, state):
        def operation():
            task = self._get_task(host, token)
            if task.is_live and version > task.version:
                task.state = state
                task.version = version
            return task.status()

        return await self._call(host, verb, operation)

    def _get_task(self, host, token):
        if token not in self.tasks:
            raise errors.PlatformRefused(f'{host}: unknown token {token}')
        return self.tasks[token]

    async def checkpoint(self, host, token):
        """Save the progress of a task and end it."""

        def operation():
            task = self._get_task(host, token)
            if task.is_live:
                task.state = _State.CHECKPOINTED
            return task.status()

        return await self._call(host, 'checkpoint', operation)

    async def stop(self, host, token):
        """Stop a task, or prevent it from starting later."""
        return await self._call(host, 'stop', lambda: self._stop(host, token))

    def _stop(self, host, token):
        if token not in self.tasks:
            order = tasks.TaskOrder(token, '', 0, 0, 0, 0.0)
            self._add(host, order, _State.STOPPED)
        task = self.tasks[token]
        if task.is_live:
            if task.order.job_id not in self.cancelled:
                self.violations.append(f'{task.order.job_id} was killed')
            task.state = _State.STOPPED
        return task.status()


class Adapter:
    """Access of one daemon to the workers.

    :ivar unreachable_hosts: hosts that only this daemon can't reach
    """

    _VERBS = ('start', 'renew', 'throttle', 'resume', 'checkpoint', 'stop')

    def __init__(self, workers):
        self.unreachable_hosts = set()
        self.reports = workers.reports
        self.tasks = self._guarded(workers.tasks_of)
        for verb in self._VERBS:
            setattr(self, verb, self._guarded(getattr(workers, verb)))

    def _guarded(self, method):
        async def call(host, *rest):
            if host in self.unreachable_hosts:
                raise errors.OutcomeUnknown(f'{host}: timed out')
            return await method(host, *rest)

        return call


def _encode_tasks(statuses):
    return {'tasks': [codec.to_plain(one) for one in statuses.values()]}


def make_app(workers):
    """Return the application that serves the workers."""
    app = faults.make_app()

    async def reports(request):
        page = await workers.reports(int(request.query['cursor']))
        return web.json_response(codec.to_plain(page))

    async def list_tasks(request):
        statuses = await workers.tasks_of(request.match_info['host'])
        return web.json_response(_encode_tasks(statuses))

    async def renew(request):
        until_s = dict((await request.json())['until_s'])
        statuses = await workers.renew(request.match_info['host'], until_s)
        return web.json_response(_encode_tasks(statuses))

    async def handle_task_verb(request):
        verb = request.match_info['verb']
        host, token = request.match_info['host'], request.match_info['token']
        body = await request.json()
        if verb == 'start':
            order = codec.from_plain(body, tasks.TaskOrder)
            status = await workers.start(host, order)
        else:
            call = getattr(workers, verb)
            status = await call(host, int(token), **body)
        return web.json_response(codec.to_plain(status))

    async def live(request):
        return web.json_response(
            {'live': workers.live_jobs(), 'violations': workers.violations}
        )

    app.router.add_get('/v1/reports', reports)
    app.router.add_get('/v1/workers/{host}/tasks', list_tasks)
    app.router.add_post('/v1/workers/{host}/renew', renew)
    app.router.add_post(
        '/v1/workers/{host}/tasks/{token}/{verb}', handle_task_verb
    )
    app.router.add_get('/admin/live', live)
    return app


def main():
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--fleet', required=True)
    parser.add_argument('--run-s', type=float, default=60.0)
    options = parser.parse_args()
    fleet = yaml.safe_load(pathlib.Path(options.fleet).read_text())
    cores = {name: host['cpu_cores'] for name, host in fleet['hosts'].items()}
    workers = Workers(cores, time.time, report_lag_s=0.5)
    workers.default_run_s = options.run_s
    web.run_app(
        make_app(workers),
        host=options.host,
        port=options.port,
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
