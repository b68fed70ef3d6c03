"""Derives the history of jobs, runs and owners from log lines."""

import bisect
import collections

import attrs

# Events that only a daemon at work as the owner writes.
_OWNER_EVENTS = frozenset(
    {'owner_at_work', 'pool_load', 'run_started', 'run_over', 'host_moved'}
)

_END_EVENTS = frozenset({'owner_lost', 'owner_released', 'stopped'})


@attrs.frozen
class Span:
    """A span of time; times are wall-clock times in seconds.

    :ivar label: what held during it
    """

    begin_s: float
    end_s: float
    label: str = ''

    @property
    def length_s(self):
        """Length of the span; 0 if it is empty."""
        return max(0.0, self.end_s - self.begin_s)

    def clip(self, begin_s, end_s):
        """Return the part of the span within two times."""
        return attrs.evolve(
            self,
            begin_s=max(begin_s, self.begin_s),
            end_s=min(end_s, self.end_s),
        )


@attrs.define
class Run:
    """One run of a task.

    :ivar planned_s: when it was planned
    :ivar started_s: when its start was acknowledged
    :ivar ended_s: when its end was known; None if no line tells
    :ivar cause: how it ended
    """

    task: str
    executor: str
    planned_s: float
    started_s: float
    ended_s: float | None = None
    cause: str = ''

    @property
    def job_id(self):
        """Id of the job."""
        return self.task.split('.')[0]

    @property
    def step(self):
        """Number of the step."""
        return int(self.task.split('.')[2])


@attrs.define
class Job:
    """A job that was accepted or refused.

    :ivar sent_s: when it was first accepted or refused
    :ivar accepted_s: when it was accepted; None if it never was
    :ivar refusal: why it was last refused; empty if it never was
    :ivar objective_s: time within which it is of full use
    :ivar work_core_s: declared work of the steps that end by themselves
    :ivar ended_s: when its end was known; None if it has not ended
    :ivar state: its final state
    :ivar why: why it has failed
    """

    job_id: str
    sent_s: float
    accepted_s: float | None = None
    refusal: str = ''
    pool: str = ''
    objective_s: float = 0.0
    work_core_s: float = 0.0
    is_lasting: bool = False
    is_cancelled: bool = False
    ended_s: float | None = None
    state: str = ''
    why: str = ''
    runs: list[Run] = attrs.Factory(list)


@attrs.frozen
class PoolSample:
    """What an owner knew of a pool at one moment.

    :ivar hosts: hosts in the pool, as listed
    :ivar arriving: hosts that were being moved to it
    """

    time_s: float
    pool: str
    hosts: int
    arriving: int
    is_standby: bool


class History:
    """What a set of log lines tells.

    :param lines: parsed lines, sorted by time
    :ivar jobs: jobs by id
    :ivar halts: spans in which an owner started nothing, with the reason
    :ivar absences: spans in which no owner was at work
    :ivar left_out: number of lines that daemons left out, by kind
    """

    def __init__(self, lines):
        self.jobs = {}
        self.halts = []
        self.left_out = collections.Counter()
        self._runs = {}
        self._samples = collections.defaultdict(list)
        self._halted = {}
        self.end_s = lines[-1].time_s if lines else 0.0
        for line in lines:
            handle = getattr(self, f'_handle_{line.event}', None)
            if handle is not None:
                handle(line)
        for daemon in list(self._halted):
            self._end_halt(daemon, self.end_s)
        self.absences = list(_find_absences(lines))
        self.halts += _find_idle_ends(lines)

    # Jobs

    def _handle_job_accepted(self, line):
        job = self._job(line.fields['job'], line.time_s)
        if job.accepted_s is None:
            job.accepted_s = line.time_s
        job.pool = line.fields.get('pool', job.pool)
        job.objective_s = line.fields.get('objective_s', job.objective_s)
        job.work_core_s = line.fields.get('work_core_s', job.work_core_s)
        job.is_lasting = line.fields.get('is_lasting', job.is_lasting)

    def _job(self, job_id, time_s):
        return self.jobs.setdefault(job_id, Job(job_id, time_s))

    def _handle_request_refused(self, line):
        job_id = line.fields.get('path', '').rpartition('/')[2]
        if line.fields.get('method') != 'POST' or not job_id:
            return
        job = self._job(job_id, line.time_s)
        job.refusal = line.fields.get('reason', '')

    def _handle_job_cancelled(self, line):
        if line.fields['job'] in self.jobs:
            self.jobs[line.fields['job']].is_cancelled = True

    def _handle_job_ended(self, line):
        job = self.jobs.get(line.fields['job'])
        if job is None or job.ended_s is not None:
            return
        job.ended_s = line.time_s
        job.state = line.fields['state']
        job.why = line.fields.get('why', '')

    # Runs

    def _handle_run_started(self, line):
        fields = line.fields
        run = Run(
            fields['task'],
            fields['executor'],
            line.time_s - fields.get('planned_s', 0.0),
            line.time_s,
        )
        self._runs[fields['task'], fields['run']] = run
        if run.job_id in self.jobs:
            self.jobs[run.job_id].runs.append(run)

    def _handle_run_over(self, line):
        run = self._runs.get((line.fields['task'], line.fields['run']))
        if run is not None and run.ended_s is None:
            run.ended_s = line.time_s
            run.cause = line.fields['cause']

    @property
    def runs(self):
        """All runs whose start was acknowledged."""
        return list(self._runs.values())

    # Owners and pools

    def _handle_starts_halted(self, line):
        self._end_halt(line.daemon, line.time_s)
        self._halted[line.daemon] = line

    def _handle_starts_resumed(self, line):
        self._end_halt(line.daemon, line.time_s)

    _handle_owner_lost = _handle_owner_released = _handle_starts_resumed
    _handle_started = _handle_starts_resumed

    def _end_halt(self, daemon, time_s):
        begun = self._halted.pop(daemon, None)
        if begun is not None:
            why = begun.fields.get('why', '')
            self.halts.append(Span(begun.time_s, time_s, why))

    def _handle_pool_load(self, line):
        fields = line.fields
        self._samples[fields['pool']].append(
            PoolSample(
                line.time_s,
                fields['pool'],
                fields.get('hosts', 0),
                fields['arriving_hosts'],
                fields.get('is_standby', False),
            )
        )

    def _handle_lines_left_out(self, line):
        self.left_out.update(line.fields.get('kinds', {}))

    def samples_around(self, pool, time_s):
        """Return the last sample of a pool before a time, and the next one."""
        samples = self._samples.get(pool, ())
        at = bisect.bisect_right(samples, time_s, key=lambda s: s.time_s)
        return samples[max(0, at - 1) : at + 1]

    @property
    def standby_pools(self):
        """Names of the pools whose hosts are on standby."""
        return {
            pool
            for pool, samples in self._samples.items()
            if samples[-1].is_standby
        }


def _find_absences(lines):
    """Yield the spans between the end of an owner and the next owner."""
    for before, end, after in _changes_of_owner(lines):
        begin_s = before.time_s if end is None else end.time_s
        yield Span(begin_s, after.time_s, 'no owner')


def _find_idle_ends(lines):
    """Yield the spans between the last act of an owner and its end."""
    for before, end, _ in _changes_of_owner(lines):
        if end is not None:
            yield Span(before.time_s, end.time_s, 'the owner did nothing')


def _changes_of_owner(lines):
    """Yield the last act of each owner, its end, and the next beginning.

    The end is None where no line tells, since the owner was killed.
    """
    before = end = None
    for line in lines:
        if line.event == 'owner_at_work' and before is not None:
            yield before, end, line
        if line.event in _OWNER_EVENTS:
            before, end = line, None
        elif line.event in _END_EVENTS and before is not None:
            if line.daemon == before.daemon:
                end = line
